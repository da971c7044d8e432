//! The bytes of a segment. Pure functions; docs/design/store.md has the layout.

use crate::{Invalid, MAX_BATCH, MAX_KEY, MAX_VALUE};
use crc32fast::Hasher;
use std::hash::Hasher as _;

/// The version of the format that is written and read.
pub const VERSION: u16 = 1;
const MAGIC: [u8; 8] = *b"MOTHLOG\0";
const FRAME_MAGIC: u32 = 0x4d46_5241;
const FOOTER_MAGIC: u32 = 0x4d46_4f4f;
const TRAILER_MAGIC: u32 = 0x4d54_5241;
/// One copy of the header; a segment begins with two.
const HEADER_COPY: usize = 64;
/// Where the frames of a segment begin.
pub const HEADER: usize = 2 * HEADER_COPY;
/// The head of a frame.
pub const FRAME_HEAD: usize = 40;
/// What stands before the entries of a footer, and behind them.
pub const FOOTER_HEAD: usize = 16;
pub const TRAILER: usize = 44;
/// A sealed segment ends in this, which is no zero: a footer that was cut off may have been filled up with zeros.
const END: [u8; 4] = [0xa5; 4];
/// Fingerprints of the frame before are carried for so many keys at most.
pub const MOST_PRINTS: usize = 1024;

/// The fingerprint of a key: what tells, where a record is damaged, which key it may have been.
pub fn fingerprint(key: &[u8]) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    hasher.write(key);
    hasher.write_u64(key.len() as u64);
    // Fx leaves its entropy in the high bits; one round of a finaliser spreads it.
    let mut x = hasher.finish();
    x = (x ^ (x >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    x ^ (x >> 32)
}

fn crc(parts: &[&[u8]]) -> u32 {
    let mut hasher = Hasher::new();
    parts.iter().for_each(|part| hasher.update(part));
    hasher.finalize()
}

fn u16_at(bytes: &[u8], at: usize) -> Option<u16> {
    Some(u16::from_le_bytes(bytes.get(at..at + 2)?.try_into().ok()?))
}

fn u32_at(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?))
}

fn u64_at(bytes: &[u8], at: usize) -> Option<u64> {
    Some(u64::from_le_bytes(bytes.get(at..at + 8)?.try_into().ok()?))
}

/// Appends a number, seven bits a byte, the lowest first.
pub fn put_varint(out: &mut Vec<u8>, mut n: u64) {
    while n >= 0x80 {
        out.push(n as u8 | 0x80);
        n >>= 7;
    }
    out.push(n as u8);
}

/// Reads such a number and moves past it.
pub fn varint(bytes: &[u8], at: &mut usize) -> Option<u64> {
    let mut n = 0u64;
    for shift in (0..64).step_by(7) {
        let byte = *bytes.get(*at)?;
        *at += 1;
        n |= u64::from(byte & 0x7f) << shift;
        if byte < 0x80 {
            return Some(n);
        }
    }
    None
}

/// What a segment's header says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The first and the last number that this segment stands for: it replaces what had those.
    pub lo: u64,
    /// See `lo`.
    pub hi: u64,
    /// Mixed into its checksums, so that no bytes of a value can pass for a frame.
    pub salt: u64,
    /// Up to where the segment before it is to be believed, in bytes; what lies behind was never acknowledged.
    pub prev_len: u64,
    /// The number of its first operation.
    pub first_seq: u64,
    /// It was made by a compaction: it got its name only once it was whole.
    pub merged: bool,
}

/// Why a header cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeaderFault {
    /// Neither copy is whole.
    Unreadable,
    /// It is of another version.
    Version(u16),
}

impl Header {
    /// Both copies.
    pub fn encode(&self) -> Vec<u8> {
        let mut copy = MAGIC.to_vec();
        copy.extend(VERSION.to_le_bytes());
        copy.extend([u8::from(self.merged), 0, 0, 0, 0, 0]);
        for field in [self.lo, self.hi, self.salt, self.prev_len, self.first_seq] {
            copy.extend(field.to_le_bytes());
        }
        copy.extend(crc(&[&copy]).to_le_bytes());
        copy.resize(HEADER_COPY, 0);
        [copy.clone(), copy].concat()
    }

    /// The first copy that is whole, and whether both are.
    pub fn decode(bytes: &[u8]) -> Result<(Header, bool), HeaderFault> {
        let copies = [bytes.get(..HEADER_COPY), bytes.get(HEADER_COPY..HEADER)];
        let read = copies.map(|copy| copy.and_then(Header::one));
        match (read[0], read[1]) {
            (Some(a), b) if a.1 == VERSION => Ok((a.0, b.is_some_and(|b| b == a))),
            (None, Some(b)) if b.1 == VERSION => Ok((b.0, false)),
            (Some((_, version)), _) | (None, Some((_, version))) => Err(HeaderFault::Version(version)),
            (None, None) => Err(HeaderFault::Unreadable),
        }
    }

    fn one(copy: &[u8]) -> Option<(Header, u16)> {
        let whole = copy[..8] == MAGIC && u32_at(copy, 56)? == crc(&[&copy[..56]]) && copy[60..] == [0; 4];
        let field = |n: usize| u64_at(copy, 16 + 8 * n);
        let header = Header {
            lo: field(0)?,
            hi: field(1)?,
            salt: field(2)?,
            prev_len: field(3)?,
            first_seq: field(4)?,
            merged: copy[10] != 0,
        };
        whole.then_some((header, u16_at(copy, 8)?))
    }
}

/// One write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Op {
    /// The key.
    pub key: Vec<u8>,
    /// Its value; `None` deletes.
    pub value: Option<Vec<u8>>,
    /// When it ceases to count, Unix time in milliseconds.
    pub expires: Option<u64>,
}

const DELETES: u8 = 1;
const EXPIRES: u8 = 2;

impl Op {
    /// Whether it may be written at all.
    pub fn check(&self) -> Result<(), Invalid> {
        match (self.key.len(), self.value.as_ref().map_or(0, Vec::len)) {
            (0, _) => Err(Invalid::EmptyKey),
            (n, _) if n > MAX_KEY => Err(Invalid::KeyTooLong(n)),
            (_, n) if n > MAX_VALUE => Err(Invalid::ValueTooLong(n)),
            _ => Ok(()),
        }
    }

    /// An upper bound of its length in a frame.
    pub fn size(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Vec::len) + 25
    }

    fn encode(&self, salt: u64, out: &mut Vec<u8>) {
        let start = out.len();
        let deletes = if self.value.is_none() { DELETES } else { 0 };
        out.push(deletes | if self.expires.is_some() { EXPIRES } else { 0 });
        put_varint(out, self.key.len() as u64);
        put_varint(out, self.value.as_ref().map_or(0, Vec::len) as u64);
        if let Some(at) = self.expires {
            put_varint(out, at);
        }
        out.extend(&self.key);
        out.extend(self.value.iter().flatten());
        let sum = crc(&[&salt.to_le_bytes(), &out[start..]]);
        out.extend(sum.to_le_bytes());
    }
}

/// Key, length of the record, whether it deletes, when it ceases to count.
pub type EncodedLine = (Box<[u8]>, u32, bool, Option<u64>);

/// Operations worded as they stand in a frame. Made by whoever writes them, so that the one thread that writes for all only
/// copies.
#[derive(Clone, Debug)]
pub struct Encoded {
    /// What the index takes.
    pub lines: Vec<EncodedLine>,
    pub bytes: Vec<u8>,
    pub prints: Vec<u64>,
}

impl Encoded {
    /// Words operations for segments of this salt.
    pub fn new(ops: &[Op], salt: u64) -> Encoded {
        let mut bytes = Vec::with_capacity(ops.iter().map(Op::size).sum());
        let line = |op: &Op| {
            let start = bytes.len();
            op.encode(salt, &mut bytes);
            let len = (bytes.len() - start) as u32;
            (op.key.as_slice().into(), len, op.value.is_none(), op.expires)
        };
        let lines = ops.iter().map(line).collect();
        Encoded { lines, bytes, prints: ops.iter().map(|op| fingerprint(&op.key)).collect() }
    }
}

/// A batch that is within bounds.
pub fn check_batch(ops: &[Op]) -> Result<(), Invalid> {
    ops.iter().try_for_each(Op::check)?;
    let size = ops.iter().map(Op::size).sum();
    if size > MAX_BATCH { Err(Invalid::BatchTooLarge(size)) } else { Ok(()) }
}

/// A record in place: its fields as ranges of the bytes it was read from.
#[derive(Clone, Copy, Debug)]
pub struct Record<'a> {
    /// The key.
    pub key: &'a [u8],
    /// The value; `None` deletes.
    pub value: Option<&'a [u8]>,
    /// When it ceases to count.
    pub expires: Option<u64>,
    /// Its length with everything.
    pub len: usize,
}

/// The record at the start of these bytes. `checked` where its checksum is still to be looked at.
pub fn record(bytes: &[u8], salt: u64, checked: bool) -> Option<Record<'_>> {
    let (flags, mut at) = (*bytes.first()?, 1);
    if flags & !(DELETES | EXPIRES) != 0 {
        return None;
    }
    let key_len = varint(bytes, &mut at).filter(|n| (1..=MAX_KEY as u64).contains(n))? as usize;
    let value_len = varint(bytes, &mut at).filter(|n| *n <= MAX_VALUE as u64)? as usize;
    let expires = if flags & EXPIRES != 0 { Some(varint(bytes, &mut at)?) } else { None };
    let (key_end, end) = (at + key_len, at + key_len + value_len);
    let sum = u32_at(bytes, end)?;
    if checked && sum != crc(&[&salt.to_le_bytes(), &bytes[..end]]) {
        return None;
    }
    let value = (flags & DELETES == 0).then(|| &bytes[key_end..end]);
    Some(Record { key: &bytes[at..key_end], value, expires, len: end + 4 })
}

/// What a frame's head says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameHead {
    /// The length of its body in bytes.
    pub body: u32,
    /// The checksum of its body.
    pub body_crc: u32,
    /// The number of its first operation.
    pub seq: u64,
    /// Up to where this segment was durable when the frame was written, in bytes.
    pub durable: u32,
    /// When it was written, Unix time in milliseconds.
    pub stamp: u64,
    /// How many operations it has.
    pub count: u32,
}

fn frame_crc(fields: &[u8], salt: u64, offset: u64) -> u32 {
    crc(&[&salt.to_le_bytes(), &offset.to_le_bytes(), fields])
}

/// A frame of these batches, and where the first record begins in it; the others follow.
pub fn frame(
    batches: &[&Encoded],
    prints: &[u64],
    place: (u64, u64),
    seq: u64,
    durable: u32,
    stamp: u64,
) -> (Vec<u8>, u32) {
    let (salt, offset) = place;
    let records: usize = batches.iter().map(|b| b.bytes.len()).sum();
    let mut out = Vec::with_capacity(FRAME_HEAD + 10 + 8 * prints.len() + records);
    out.resize(FRAME_HEAD, 0);
    put_varint(&mut out, prints.len() as u64);
    prints.iter().for_each(|p| out.extend(p.to_le_bytes()));
    let first = out.len() as u32;
    batches.iter().for_each(|b| out.extend_from_slice(&b.bytes));
    let count: usize = batches.iter().map(|b| b.lines.len()).sum();
    let body = &out[FRAME_HEAD..];
    let mut head = FRAME_MAGIC.to_le_bytes().to_vec();
    head.extend([0; 4]);
    head.extend((body.len() as u32).to_le_bytes());
    head.extend(crc(&[body]).to_le_bytes());
    head.extend(seq.to_le_bytes());
    head.extend(durable.to_le_bytes());
    head.extend(stamp.to_le_bytes());
    head.extend((count as u32).to_le_bytes());
    let sum = frame_crc(&head[8..], salt, offset);
    head[4..8].copy_from_slice(&sum.to_le_bytes());
    out[..FRAME_HEAD].copy_from_slice(&head);
    (out, first)
}

/// What lies at a place of a segment.
#[derive(Debug, PartialEq)]
pub enum Found {
    /// A whole frame.
    Frame(FrameHead),
    /// A frame whose head is whole, and whose body is cut off or damaged.
    Broken(FrameHead),
    /// The start of a footer: no frame comes after it.
    Footer,
    /// Nothing that can be read.
    Nothing,
}

/// What lies at an offset of a segment's bytes.
pub fn look(bytes: &[u8], salt: u64, offset: usize) -> Found {
    let read = || {
        let head = bytes.get(offset..offset + FRAME_HEAD)?;
        let sound = u32_at(head, 4)? == frame_crc(&head[8..], salt, offset as u64);
        let fields = FrameHead {
            body: u32_at(head, 8)?,
            body_crc: u32_at(head, 12)?,
            seq: u64_at(head, 16)?,
            durable: u32_at(head, 24)?,
            stamp: u64_at(head, 28)?,
            count: u32_at(head, 36)?,
        };
        (sound && u32_at(head, 0)? == FRAME_MAGIC).then_some(fields)
    };
    let Some(head) = read() else {
        return if footer_head(bytes, salt, offset).is_some() { Found::Footer } else { Found::Nothing };
    };
    let start = offset + FRAME_HEAD;
    match bytes.get(start..start + head.body as usize) {
        Some(body) if crc(&[body]) == head.body_crc => Found::Frame(head),
        _ => Found::Broken(head),
    }
}

/// Where the next whole head of a frame, or a footer, begins after damage.
pub fn resync(bytes: &[u8], salt: u64, from: usize) -> Option<usize> {
    // Zeros that were written ahead are passed over in one go; a magic may begin in the last of them.
    let zeros = bytes.get(from..)?.iter().position(|b| *b != 0)?;
    let from = from + zeros.saturating_sub(3);
    let magics = [FRAME_MAGIC.to_le_bytes(), FOOTER_MAGIC.to_le_bytes()];
    let heads = bytes.get(from..)?.windows(4).enumerate();
    let mut places = heads.filter(|(_, w)| magics.iter().any(|m| m == w)).map(|(n, _)| from + n);
    places.find(|at| look(bytes, salt, *at) != Found::Nothing)
}

/// The fingerprints that a frame's body begins with, and where its records begin.
pub fn prints(body: &[u8]) -> Option<(Vec<u64>, usize)> {
    let mut at = 0;
    let count = varint(body, &mut at).filter(|n| *n <= MOST_PRINTS as u64)? as usize;
    let prints = (0..count).map(|n| u64_at(body, at + 8 * n)).collect::<Option<_>>()?;
    Some((prints, at + 8 * count))
}

/// One line of a footer: a key and where its newest record of this segment lies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Line<'a> {
    /// The key.
    pub key: &'a [u8],
    /// Where the record begins, in bytes.
    pub offset: u32,
    /// Its length.
    pub len: u32,
    /// It deletes.
    pub deletes: bool,
    /// When it ceases to count.
    pub expires: Option<u64>,
}

/// What the end of a sealed segment says of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trailer {
    /// Where the footer begins, in bytes.
    pub data_end: u64,
    /// Keys in it.
    pub count: u32,
    /// The number after that of its last operation.
    pub next_seq: u64,
    /// When it was sealed, Unix time in milliseconds.
    pub stamp: u64,
}

/// A footer of these lines, sorted by key.
pub fn footer<'a>(lines: impl Iterator<Item = Line<'a>>, salt: u64, trailer: Trailer) -> Vec<u8> {
    let (mut entries, mut last, mut end) = (Vec::new(), Vec::<u8>::new(), 0u32);
    for line in lines {
        let shared = last.iter().zip(line.key).take_while(|(a, b)| a == b).count();
        let flags = u64::from(line.deletes) | u64::from(line.expires.is_some()) << 1;
        // Where records lie one behind the other, as after a compaction, offsets need not be written out.
        let follows = line.offset == end;
        put_varint(&mut entries, flags | u64::from(follows) << 2 | (shared as u64) << 3);
        put_varint(&mut entries, (line.key.len() - shared) as u64);
        if !follows {
            put_varint(&mut entries, u64::from(line.offset));
        }
        put_varint(&mut entries, u64::from(line.len));
        if let Some(at) = line.expires {
            put_varint(&mut entries, at);
        }
        entries.extend(&line.key[shared..]);
        last.truncate(shared);
        last.extend(&line.key[shared..]);
        end = line.offset + line.len;
    }
    let sum = crc(&[&salt.to_le_bytes(), &entries]);
    let mut out = FOOTER_MAGIC.to_le_bytes().to_vec();
    out.extend((entries.len() as u32).to_le_bytes());
    out.extend(sum.to_le_bytes());
    out.extend(frame_crc(&out, salt, trailer.data_end).to_le_bytes());
    out.extend(&entries);
    let tail = out.len();
    out.extend(TRAILER_MAGIC.to_le_bytes());
    out.extend((trailer.data_end as u32).to_le_bytes());
    out.extend(trailer.count.to_le_bytes());
    out.extend((entries.len() as u32).to_le_bytes());
    out.extend(trailer.next_seq.to_le_bytes());
    out.extend(trailer.stamp.to_le_bytes());
    out.extend(sum.to_le_bytes());
    let whole = crc(&[&salt.to_le_bytes(), &out[tail..]]);
    out.extend(whole.to_le_bytes());
    out.extend(END);
    out
}

/// The length and checksum of the entries of a footer that begins here.
fn footer_head(bytes: &[u8], salt: u64, offset: usize) -> Option<(u32, u32)> {
    let head = bytes.get(offset..offset + FOOTER_HEAD)?;
    let sound =
        u32_at(head, 0)? == FOOTER_MAGIC && u32_at(head, 12)? == frame_crc(&head[..12], salt, offset as u64);
    sound.then_some((u32_at(head, 4)?, u32_at(head, 8)?))
}

/// The length of the whole footer that begins here.
pub fn footer_len(bytes: &[u8], salt: u64, offset: usize) -> Option<usize> {
    footer_head(bytes, salt, offset).map(|(entries, _)| FOOTER_HEAD + entries as usize + TRAILER)
}

/// The trailer in the last bytes of a segment, the length of its entries and their checksum.
pub fn trailer(tail: &[u8], salt: u64) -> Option<(Trailer, u32, u32)> {
    let tail = &tail[tail.len().checked_sub(TRAILER)?..];
    let sound = u32_at(tail, 0)? == TRAILER_MAGIC
        && u32_at(tail, 36)? == crc(&[&salt.to_le_bytes(), &tail[..36]])
        && tail[40..] == END;
    let read = Trailer {
        data_end: u64::from(u32_at(tail, 4)?),
        count: u32_at(tail, 8)?,
        next_seq: u64_at(tail, 16)?,
        stamp: u64_at(tail, 24)?,
    };
    sound.then_some((read, u32_at(tail, 12)?, u32_at(tail, 32)?))
}

/// Reads the entries of a footer, by key. `None` where they are not sound.
pub fn entries(bytes: &[u8], salt: u64, sum: u32, count: u32, mut each: impl FnMut(Line<'_>)) -> Option<()> {
    if crc(&[&salt.to_le_bytes(), bytes]) != sum {
        return None;
    }
    let (mut at, mut key, mut end, mut seen) = (0, Vec::new(), 0u32, 0);
    while at < bytes.len() {
        let head = varint(bytes, &mut at)?;
        let (flags, shared) = (head & 7, (head >> 3) as usize);
        let rest = varint(bytes, &mut at)? as usize;
        let offset = if flags & 4 != 0 { end } else { u32::try_from(varint(bytes, &mut at)?).ok()? };
        let len = u32::try_from(varint(bytes, &mut at)?).ok()?;
        let expires = if flags & 2 != 0 { Some(varint(bytes, &mut at)?) } else { None };
        if shared > key.len() {
            return None;
        }
        key.truncate(shared);
        key.extend(bytes.get(at..at + rest)?);
        at += rest;
        end = offset.checked_add(len)?;
        seen += 1;
        each(Line { key: &key, offset, len, deletes: flags & 1 != 0, expires });
    }
    (seen == count).then_some(())
}
