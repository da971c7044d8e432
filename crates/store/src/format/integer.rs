//! Encoding of integers: little-endian with a fixed width, and varints.

pub(super) fn u16_at(bytes: &[u8], at: usize) -> Option<u16> {
    Some(u16::from_le_bytes(bytes.get(at..at + 2)?.try_into().ok()?))
}

pub(super) fn u32_at(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?))
}

pub(super) fn u64_at(bytes: &[u8], at: usize) -> Option<u64> {
    Some(u64::from_le_bytes(bytes.get(at..at + 8)?.try_into().ok()?))
}

/// Appends a varint: seven bits per byte, the lowest first.
pub(super) fn put_varint(out: &mut Vec<u8>, mut number: u64) {
    while number >= 0x80 {
        out.push(number as u8 | 0x80);
        number >>= 7;
    }
    out.push(number as u8);
}

/// Reads a varint written by [`put_varint`] and moves `at` past it; `None` if there is none.
pub(super) fn varint(bytes: &[u8], at: &mut usize) -> Option<u64> {
    let mut number = 0u64;
    for shift in (0..64).step_by(7) {
        let byte = *bytes.get(*at)?;
        *at += 1;
        number |= u64::from(byte & 0x7f) << shift;
        if byte < 0x80 {
            return Some(number);
        }
    }
    None
}
