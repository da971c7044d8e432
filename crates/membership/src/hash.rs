//! The hash that all members share: for digests, checksums of datagrams and rendezvous hashing.
//!
//! The function is SplitMix64 (Steele, Lea, Flood 2014) over a sequence of words. The hash is part of the wire format: a
//! change of it needs a new [`crate::VERSION`].

/// The increment of SplitMix64: 2^64 divided by the golden ratio.
const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// The finalizer of SplitMix64: each bit of the input affects all bits of the output.
fn mix(word: u64) -> u64 {
    let word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}

/// Adds a word to a hash.
pub(crate) fn extend(hash: u64, word: u64) -> u64 {
    mix(hash ^ word).wrapping_add(GOLDEN_GAMMA)
}

/// The hash of several words.
pub(crate) fn hash(words: &[u64]) -> u64 {
    words.iter().fold(GOLDEN_GAMMA, |hash, word| extend(hash, *word))
}

/// Derives a 32-bit hash from a digest and a salt. If the hashes of two different states collide, they most likely differ
/// under the salt of the next exchange.
pub(crate) fn salted(digest: u64, salt: u16) -> u32 {
    (hash(&[digest, salt.into()]) >> 32) as u32
}
