//! A hash function that gives the same result at every dispatcher.

/// Hashes a number with the finalizer of SplitMix64 (Steele, Lea, Flood 2014). The result is the same at every dispatcher.
///
/// `crates/membership` has the same function for its own hash. The two stay separate: each is part of a wire format with its
/// own version, and a change of one must not change the other.
pub(super) fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
