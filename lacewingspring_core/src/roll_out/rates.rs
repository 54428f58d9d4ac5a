//! Comparison of two rates of bad responses.

/// Responses and bad ones among them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Rate {
    pub responses: f64,
    pub bad: f64,
}

impl Rate {
    pub const fn new(responses: f64, bad: f64) -> Self {
        Self { responses, bad }
    }

    pub fn plus(self, other: Self) -> Self {
        Self { responses: self.responses + other.responses, bad: self.bad + other.bad }
    }

    pub fn portion(self) -> f64 {
        if self.responses > 0.0 { (self.bad / self.responses).min(1.0) } else { 0.0 }
    }

    /// Returns a rate of the same portion with this number of responses.
    pub fn scaled_to(self, responses: f64) -> Self {
        Self { responses, bad: self.portion() * responses }
    }

    /// Returns the rate with a multiple of its bad responses, at most all.
    pub fn with_more_bad(self, factor: f64) -> Self {
        Self { responses: self.responses, bad: (factor * self.bad).min(self.responses) }
    }

    fn log_likelihood(self, portion: f64) -> f64 {
        let term = |count: f64, portion: f64| if count > 0.0 { count * portion.ln() } else { 0.0 };
        term(self.bad, portion) + term(self.responses - self.bad, 1.0 - portion)
    }
}

/// Returns the logarithm of the likelihood ratio of two rates to a common one (half of the G
/// statistic); zero if the first rate is not the higher one.
pub(super) fn log_ratio(target: Rate, old: Rate) -> f64 {
    if target.portion() <= old.portion() {
        return 0.0;
    }
    let common = target.plus(old).portion();
    let apart = target.log_likelihood(target.portion()) + old.log_likelihood(old.portion());
    apart - target.log_likelihood(common) - old.log_likelihood(common)
}
