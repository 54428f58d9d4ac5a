//! How well reported figures predict what responses take.

/// Weight of a new sample in the moving averages of the fit.
const FIT_SAMPLE_WEIGHT: f64 = 0.1;

/// Weight of a new sample in the usual pace. It is lower than that of the learned speeds: the
/// mean stands for an upstream of which nothing recent is known.
const USUAL_SAMPLE_WEIGHT: f64 = 0.04;

/// Variance of the logarithm of the pace that counts as evidence for the weight so far: a few
/// samples with a pace of 1.5 outweigh it, while a pace that stays the same leaves the weight as it
/// is.
const PRIOR_VARIANCE: f64 = 0.02;

/// Largest logarithm of the ratio of a time to the expected one that is taken from a sample.
const MAX_LOG_RATIO: f64 = 3.5;

/// Weight with which a sample without evidence brings the weight of the pace back to 1, so that an
/// upstream whose pace became accurate regains its effect.
const RECOVERY_SAMPLE_WEIGHT: f64 = 0.05;

/// Smallest expected lateness from which the queue is judged, as a part of the time without it.
const MIN_LATENESS: f64 = 0.05;

/// Largest lateness that is taken from a sample.
const MAX_LATENESS: f64 = 10.0;

/// Squared lateness that counts as evidence for the figures before there are samples.
const PRIOR_LATENESS: f64 = 0.1;

/// Regression of the times of runs on the reported pace, both as logarithms.
///
/// It begins with one sample of the usual pace and time, so that already the first response shows
/// whether a pace that is far from usual is true.
#[derive(Debug)]
pub(super) struct PaceFit {
    samples: u32,
    /// Moving averages of pace, time and their products.
    pace: f64,
    time: f64,
    pace_pace: f64,
    pace_time: f64,
    /// Mean of the pace over a longer time.
    usual_log_pace: f64,
    weight: f64,
}

impl Default for PaceFit {
    fn default() -> Self {
        Self {
            samples: 0,
            pace: 0.0,
            time: 0.0,
            pace_pace: 0.0,
            pace_time: 0.0,
            usual_log_pace: 0.0,
            weight: 1.0,
        }
    }
}

impl PaceFit {
    /// Adds a run during which the pace had this logarithm.
    pub fn learn(&mut self, log_pace: f64, time_ratio: f64) {
        let log_time = time_ratio.max(f64::MIN_POSITIVE).ln().clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO);
        let weight = fit_sample_weight(&mut self.samples);
        average(&mut self.pace, log_pace, weight);
        average(&mut self.time, log_time, weight);
        average(&mut self.pace_pace, log_pace * log_pace, weight);
        average(&mut self.pace_time, log_pace * log_time, weight);
        average(&mut self.usual_log_pace, log_pace, USUAL_SAMPLE_WEIGHT);
        let variance = (self.pace_pace - self.pace * self.pace).max(0.0);
        let covariance = self.pace_time - self.pace * self.time;
        average(&mut self.weight, 1.0, RECOVERY_SAMPLE_WEIGHT);
        let evidence = covariance + PRIOR_VARIANCE * self.weight;
        self.weight = (evidence / (variance + PRIOR_VARIANCE)).clamp(0.0, 1.0);
    }

    /// Returns the part of a change of the pace that times followed, from 0 to 1.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// Returns the mean logarithm of the pace over a longer time.
    pub fn usual_log_pace(&self) -> f64 {
        self.usual_log_pace
    }
}

/// Regression of the lateness of first events on the reported queue.
#[derive(Debug, Default)]
pub(super) struct QueueFit {
    samples: u32,
    expected_expected: f64,
    expected_actual: f64,
}

impl QueueFit {
    /// Adds a first event.
    pub fn learn(&mut self, expected_lateness: f64, lateness: f64) {
        if expected_lateness < MIN_LATENESS {
            return;
        }
        let expected = expected_lateness.min(MAX_LATENESS);
        let actual = lateness.clamp(-1.0, MAX_LATENESS);
        let weight = fit_sample_weight(&mut self.samples);
        average(&mut self.expected_expected, expected * expected, weight);
        average(&mut self.expected_actual, expected * actual, weight);
    }

    /// Returns the part of the queue that first events waited for, from 0 to 1.
    pub fn weight(&self) -> f64 {
        let explained = self.expected_actual + PRIOR_LATENESS;
        (explained / (self.expected_expected + PRIOR_LATENESS)).clamp(0.0, 1.0)
    }
}

/// Counts a sample, and returns its weight: that of an even mean with what is assumed at the
/// beginning, until the moving average is long enough.
fn fit_sample_weight(samples: &mut u32) -> f64 {
    *samples = samples.saturating_add(1);
    FIT_SAMPLE_WEIGHT.max(1.0 / (f64::from(*samples) + 1.0))
}

fn average(value: &mut f64, sample: f64, weight: f64) {
    *value += (sample - *value) * weight;
}
