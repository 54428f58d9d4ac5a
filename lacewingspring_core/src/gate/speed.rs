//! Speed of one upstream, learned as the ratio of observed to declared seconds.

/// Number of first samples that set the normal ratio; the upstream is not rated during these.
const WARM_UP_SAMPLES: u32 = 8;

/// Weight of a new sample in the moving average of the recent ratio.
const RECENT_WEIGHT: f64 = 0.3;

/// Weight of a new sample in the moving average of the normal ratio.
const NORMAL_WEIGHT: f64 = 0.05;

/// Declared seconds at which a sample has half weight; shorter runs mostly measure the network.
const HALF_WEIGHT_SECONDS: f64 = 0.2;

/// Bounds of the normal ratio; an upstream beyond them is rated against the nearer bound, that is,
/// against a fixed multiple of its declaration.
const NORMAL_BOUNDS: (f64, f64) = (0.25, 3.0);

/// Largest ratio that one sample can show; the smallest is its inverse.
const MAX_SAMPLE_RATIO: f64 = 100.0;

/// Fraction of the distance to the normal ratio that the recent one regains per second without
/// samples.
const DECAY_PER_SECOND: f64 = 0.03;

/// Score from which an upstream counts as slow and its normal ratio is no longer learned.
pub(super) const SLOW_SCORE: f64 = 1.5;

/// Ratio of observed to declared seconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct TimeRatio {
    normal: f64,
    recent: f64,
    samples: u32,
}

impl Default for TimeRatio {
    fn default() -> Self {
        Self { normal: 1.0, recent: 1.0, samples: 0 }
    }
}

impl TimeRatio {
    /// Returns the recent ratio, by which declared seconds are multiplied.
    pub fn factor(&self) -> f64 {
        self.recent
    }

    /// Returns the normal ratio within its bounds.
    pub fn normal(&self) -> f64 {
        let (low, high) = NORMAL_BOUNDS;
        self.normal.clamp(low, high)
    }

    /// Returns how many times slower than normal the upstream is.
    pub fn score(&self) -> f64 {
        self.recent / self.normal()
    }

    /// Adds the sample of one run.
    pub fn observe(&mut self, observed: f64, declared: f64) {
        if declared <= 0.0 || !observed.is_finite() {
            return;
        }
        let sample = (observed / declared).clamp(1.0 / MAX_SAMPLE_RATIO, MAX_SAMPLE_RATIO);
        let trust = declared / (declared + HALF_WEIGHT_SECONDS);
        self.samples = self.samples.saturating_add(1);
        if self.samples <= WARM_UP_SAMPLES {
            let weight = (1.0 / f64::from(self.samples)).max(RECENT_WEIGHT) * trust;
            self.normal += weight * (sample - self.normal);
            self.recent = self.normal;
            return;
        }
        self.recent += RECENT_WEIGHT * trust * (sample - self.recent);
        if self.score() < SLOW_SCORE {
            self.normal += NORMAL_WEIGHT * trust * (sample - self.normal);
        }
    }

    /// Adds a sample of a run that has taken `observed` seconds and continues.
    pub fn observe_at_least(&mut self, observed: f64, declared: f64) {
        if observed > declared * self.recent {
            self.observe(observed, declared);
        }
    }

    /// Moves the recent ratio towards normal, so that an upstream without samples is tried again.
    pub fn decay_to_normal(&mut self, seconds: f64) {
        let part = (DECAY_PER_SECOND * seconds).min(1.0);
        self.recent += part * (self.normal - self.recent);
    }

    /// Sets the recent ratio to the normal one.
    pub fn reset(&mut self) {
        self.recent = self.normal;
    }
}
