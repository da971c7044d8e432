//! Pseudo-random numbers from a seed.

/// The increment of splitmix64.
const INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// One round of splitmix64.
pub(crate) fn splitmix64(state: u64) -> u64 {
    let mixed = state.wrapping_add(INCREMENT);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// A small pseudo-random number generator. A seed gives the same sequence on every platform.
#[derive(Clone, Debug)]
pub struct Rng(u64);

impl Rng {
    /// A generator from a seed.
    pub fn new(seed: u64) -> Rng {
        Rng(seed ^ 0x6a09_e667_f3bc_c908)
    }

    /// The next number.
    pub fn next_u64(&mut self) -> u64 {
        let number = splitmix64(self.0);
        self.0 = self.0.wrapping_add(INCREMENT);
        number
    }

    /// A number below `bound`; 0 if `bound` is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        if bound == 0 { 0 } else { self.next_u64() % bound }
    }

    /// True with a probability of one in `calls`.
    pub fn once_in(&mut self, calls: u64) -> bool {
        self.below(calls) == 0
    }
}
