//! For how long a reported pace holds.

use std::time::Duration;

/// Bounds of the correlation, so that its logarithm is finite and not zero.
const MIN_CORRELATION: f64 = 0.01;
const MAX_CORRELATION: f64 = 0.99;

/// Time constant of the decay of a report, until reports show for how long the pace holds.
const INITIAL_TIME_CONSTANT_MS: f64 = 250.0;

/// Bounds of the time constant. An upstream that gets no requests, and so reports nothing, is tried
/// again after the longest one.
const MIN_TIME_CONSTANT_MS: f64 = 20.0;
const MAX_TIME_CONSTANT_MS: f64 = 1_000.0;

/// Time constant of the decay of reported requests of others, which end with their service time.
const QUEUE_TIME_CONSTANT_MS: f64 = 500.0;

/// Longest time between two reports that are compared.
const MAX_GAP: Duration = Duration::from_millis(500);

/// Shortest time between two reports that are compared. Reports of about the same moment show no
/// change.
const MIN_GAP: Duration = Duration::from_millis(25);

/// Age from which on a report counts for nothing, so that an upstream that reports to be slow is
/// tried again.
pub(super) const MAX_AGE: Duration = Duration::from_secs(1);

/// Weight of a new pair of reports in the moving averages.
const PAIR_WEIGHT: f64 = 0.05;

/// Smallest variance of the pace, as a logarithm, from which its changes are judged.
const MIN_VARIANCE: f64 = 0.005;

/// Correlation of the paces of two successive reports, and the decay that follows from it.
#[derive(Debug)]
pub(super) struct Persistence {
    /// Report that the next one is compared with.
    anchor: Option<(Duration, f64)>,
    gap_ms: f64,
    mean: f64,
    variance: f64,
    /// Mean of half the squared differences of successive paces.
    half_change: f64,
    time_constant_ms: f64,
}

impl Default for Persistence {
    fn default() -> Self {
        Self {
            anchor: None,
            gap_ms: 0.0,
            mean: 0.0,
            variance: 0.0,
            half_change: 0.0,
            time_constant_ms: INITIAL_TIME_CONSTANT_MS,
        }
    }
}

impl Persistence {
    /// Records the logarithm of the pace in a report.
    pub fn record(&mut self, received_at: Duration, log_pace: f64) {
        let Some((at, before)) = self.anchor else {
            self.anchor = Some((received_at, log_pace));
            return;
        };
        let gap = received_at.saturating_sub(at);
        if gap < MIN_GAP {
            return;
        }
        self.anchor = Some((received_at, log_pace));
        if gap <= MAX_GAP {
            self.compare(gap, before, log_pace);
        }
    }

    fn compare(&mut self, gap: Duration, before: f64, after: f64) {
        let change = after - before;
        let deviation = after - self.mean;
        self.mean += deviation * PAIR_WEIGHT;
        self.variance += (deviation * deviation - self.variance) * PAIR_WEIGHT;
        self.half_change += (change * change / 2.0 - self.half_change) * PAIR_WEIGHT;
        self.gap_ms += (gap.as_secs_f64() * 1_000.0 - self.gap_ms) * PAIR_WEIGHT;
        if self.variance < MIN_VARIANCE {
            return;
        }
        let correlation =
            (1.0 - self.half_change / self.variance).clamp(MIN_CORRELATION, MAX_CORRELATION);
        let time_constant_ms = self.gap_ms / -correlation.ln();
        let target = time_constant_ms.clamp(MIN_TIME_CONSTANT_MS, MAX_TIME_CONSTANT_MS);
        self.time_constant_ms += (target - self.time_constant_ms) * PAIR_WEIGHT;
    }

    /// Returns the weight of a pace reported `age` ago against what was learned.
    pub fn weight(&self, age: Duration) -> f64 {
        decay(age, self.time_constant_ms)
    }

    /// Returns the weight of the requests of others that were reported `age` ago.
    pub fn queue_weight(&self, age: Duration) -> f64 {
        decay(age, QUEUE_TIME_CONSTANT_MS)
    }
}

/// Returns about `exp(-age / time constant)`, without its cost: it is computed for each candidate
/// of each placement.
fn decay(age: Duration, time_constant_ms: f64) -> f64 {
    if age >= MAX_AGE {
        return 0.0;
    }
    let x = age.as_secs_f64() * 1_000.0 / time_constant_ms;
    1.0 / (1.0 + x * (1.0 + x * (0.5 + x / 6.0)))
}
