//! Tells the large requests of a kind from the others, by the sizes seen last.

use super::work::Work;

/// Sizes that are remembered.
const MOST_SIZES: usize = 256;

/// Sizes from which on requests are told apart.
const FEWEST_SIZES: usize = 32;

/// Requests between two looks at the remembered sizes.
const LOOK_EACH: usize = 32;

/// Part of the requests that is smaller than the middle ones.
const SMALL_PART: f64 = 0.7;

/// Part of the requests that is smaller than the largest.
const NOT_LARGE_PART: f64 = 0.9;

/// Prompt tokens that weigh as much as one output token.
const OUTPUT_WEIGHT: u64 = 10;

/// How large a request is among those of its kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Band {
    /// Smaller than three in ten of its kind.
    #[default]
    Small,
    /// Among the fifth below the largest tenth.
    Middle,
    /// Among the largest tenth.
    Large,
}

impl Band {
    /// Served part of its requests under overload, relative to that of small ones: a small request
    /// takes less from others, a large one must not starve.
    pub const fn weight(self) -> f64 {
        match self {
            Self::Small => 1.0,
            Self::Middle => 0.8,
            Self::Large => 0.6,
        }
    }
}

/// Sizes of the latest requests of one kind.
#[derive(Debug, Default)]
pub(super) struct Sizes {
    latest: Vec<u64>,
    seen: usize,
    /// Largest size of small requests.
    middle_above: u64,
    /// Largest size of those that aren't large.
    large_above: u64,
}

impl Sizes {
    /// Takes the size of a request and returns its band.
    pub fn add(&mut self, size: u64) -> Band {
        if self.latest.len() < MOST_SIZES {
            self.latest.push(size);
        } else {
            self.latest[self.seen % MOST_SIZES] = size;
        }
        self.seen += 1;
        if self.seen.is_multiple_of(LOOK_EACH) {
            self.look();
        }
        self.band(size)
    }

    fn look(&mut self) {
        let mut sorted = self.latest.clone();
        sorted.sort_unstable();
        let at = |part: f64| sorted[(sorted.len() as f64 * part) as usize - 1];
        self.middle_above = at(SMALL_PART);
        self.large_above = at(NOT_LARGE_PART);
    }

    fn band(&self, size: u64) -> Band {
        if self.seen < FEWEST_SIZES || size <= self.middle_above {
            Band::Small
        } else if size <= self.large_above {
            Band::Middle
        } else {
            Band::Large
        }
    }
}

/// Returns the size of a request; none where all are alike.
pub(super) fn size(work: &Work) -> Option<u64> {
    match work {
        Work::Plain => None,
        Work::Generation { prompt_tokens, output_tokens, .. } => {
            Some(u64::from(*prompt_tokens) + OUTPUT_WEIGHT * u64::from(*output_tokens))
        }
    }
}
