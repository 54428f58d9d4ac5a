//! Sorts the requests of a class into size bands, by the sizes of its latest requests.

use super::work::Work;

/// Number of latest sizes that are kept.
const MAX_SAMPLES: usize = 256;

/// Number of requests of a class that are needed to derive its size bands; before, all count as
/// small.
const MIN_SAMPLES: usize = 32;

/// Number of requests between two computations of the bounds of the bands.
const BOUNDS_INTERVAL: usize = 32;

/// Fraction of the requests that are small.
const SMALL_FRACTION: f64 = 0.7;

/// Fraction of the requests that are small or of middle size.
const BELOW_LARGE_FRACTION: f64 = 0.9;

/// Prompt tokens that count as much as one output token.
const OUTPUT_TOKEN_WEIGHT: u64 = 10;

/// Size of a request relative to the others of its class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum SizeBand {
    /// Among the smallest seven tenths.
    #[default]
    Small,
    /// Among the fifth below the largest tenth.
    Middle,
    /// Among the largest tenth.
    Large,
}

impl SizeBand {
    /// Returns the fraction served under overload, relative to small requests. Small requests take
    /// less capacity from others, but large ones must not starve.
    pub const fn weight(self) -> f64 {
        match self {
            Self::Small => 1.0,
            Self::Middle => 0.8,
            Self::Large => 0.6,
        }
    }
}

/// Sizes of the latest requests of one class, and the bounds of its size bands.
#[derive(Debug, Default)]
pub(super) struct ClassSizes {
    latest: Vec<u64>,
    seen: usize,
    /// Largest size of a small request.
    small_max: u64,
    /// Largest size of a request of middle size.
    middle_max: u64,
}

impl ClassSizes {
    /// Adds the size of a request and returns its band.
    pub fn add(&mut self, size: u64) -> SizeBand {
        if self.latest.len() < MAX_SAMPLES {
            self.latest.push(size);
        } else {
            self.latest[self.seen % MAX_SAMPLES] = size;
        }
        self.seen += 1;
        if self.seen.is_multiple_of(BOUNDS_INTERVAL) {
            self.update_bounds();
        }
        self.band(size)
    }

    fn update_bounds(&mut self) {
        let mut sorted = self.latest.clone();
        sorted.sort_unstable();
        let quantile = |fraction: f64| sorted[(sorted.len() as f64 * fraction) as usize - 1];
        self.small_max = quantile(SMALL_FRACTION);
        self.middle_max = quantile(BELOW_LARGE_FRACTION);
    }

    fn band(&self, size: u64) -> SizeBand {
        if self.seen < MIN_SAMPLES || size <= self.small_max {
            SizeBand::Small
        } else if size <= self.middle_max {
            SizeBand::Middle
        } else {
            SizeBand::Large
        }
    }
}

/// Returns the size of a request, in weighted tokens; `None` for plain calls, which are all alike.
pub(super) fn size(work: &Work) -> Option<u64> {
    match work {
        Work::Plain => None,
        Work::Generation { prompt_tokens, output_tokens, .. } => {
            Some(u64::from(*prompt_tokens) + OUTPUT_TOKEN_WEIGHT * u64::from(*output_tokens))
        }
    }
}
