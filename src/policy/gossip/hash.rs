//! Hashes that are the same at every dispatcher.

/// A number that looks random and is the same at every dispatcher: the finalizer of SplitMix64 (Steele, Lea, Flood 2014).
///
/// `crates/membership` has the same function for its own hash. Both stay apart: each is part of a wire format with a version
/// of its own, and a change of one must not change the other.
pub(super) fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
