//! Small seeded random number generator.

/// SplitMix64: fast, seeded, and good enough to choose peers.
#[derive(Clone, Debug)]
pub(super) struct SmallRng(u64);

impl SmallRng {
    /// Creates a generator; the same seed gives the same numbers.
    pub(super) fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns the next number.
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number below `bound`; zero when the bound is zero.
    pub(super) fn below(&mut self, bound: usize) -> usize {
        if bound == 0 { 0 } else { (self.next() % bound as u64) as usize }
    }

    /// Puts the items in random order.
    pub(super) fn shuffle<T>(&mut self, items: &mut [T]) {
        for i in (1..items.len()).rev() {
            items.swap(i, self.below(i + 1));
        }
    }
}
