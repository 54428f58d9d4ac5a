//! Speed of one upstream, learned as observed over declared seconds.

/// Samples from which the normal speed is taken without judging the upstream.
const WARM_UP_SAMPLES: u32 = 8;

/// Weight of a new sample in the recent ratio.
const RECENT_WEIGHT: f64 = 0.3;

/// Weight of a new sample in the normal ratio.
const NORMAL_WEIGHT: f64 = 0.05;

/// Declared seconds at which a sample counts half; shorter ones say more of the network.
const HALF_WEIGHT_SECONDS: f64 = 0.2;

/// Bounds of the normal ratio; an upstream beyond them is judged against its declaration.
const NORMAL_BOUNDS: (f64, f64) = (0.25, 3.0);

/// Largest ratio that one sample can show.
const MAX_SAMPLE_RATIO: f64 = 100.0;

/// Part of the way back to normal that a second without samples makes.
const DECAY_PER_SECOND: f64 = 0.03;

/// Score from which an upstream counts as slow and its normal speed is no longer learned.
pub(super) const SLOW_SCORE: f64 = 1.5;

/// Observed over declared seconds.
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
    /// Returns the factor by which declared seconds are multiplied.
    pub fn factor(&self) -> f64 {
        self.recent
    }

    /// Returns the normal factor, within the bounds in which an upstream is not judged.
    pub fn normal(&self) -> f64 {
        let (low, high) = NORMAL_BOUNDS;
        self.normal.clamp(low, high)
    }

    /// Returns how many times slower than normal the upstream is.
    pub fn score(&self) -> f64 {
        self.recent / self.normal()
    }

    /// Learns from one run.
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

    /// Learns that a run takes at least `observed` seconds and goes on.
    pub fn observe_at_least(&mut self, observed: f64, declared: f64) {
        if observed > declared * self.recent {
            self.observe(observed, declared);
        }
    }

    /// Moves back to normal, so that an upstream without samples is tried again.
    pub fn decay_to_normal(&mut self, seconds: f64) {
        let part = (DECAY_PER_SECOND * seconds).min(1.0);
        self.recent += part * (self.normal - self.recent);
    }

    /// Takes the normal speed as the recent one.
    pub fn reset(&mut self) {
        self.recent = self.normal;
    }
}
