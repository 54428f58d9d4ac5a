//! Services, faults of their target versions, and what came of their roll-outs.

use std::time::Duration;

use lacewingspring_core::roll_out::Stage;

/// What is wrong with a version.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// Portion of its responses that fail.
    pub failing: f64,
    /// Portion of its responses that are slower by [`Self::factor`].
    pub slow: f64,
    pub factor: f64,
    /// Only this route.
    pub route: Option<usize>,
    /// Only from this response of the version on.
    pub from: u64,
    /// Only with a larger fraction of slots in use.
    pub above_load: f64,
}

impl Fault {
    pub const NONE: Self =
        Self { failing: 0.0, slow: 0.0, factor: 1.0, route: None, from: 0, above_load: 0.0 };

    pub const fn failing(portion: f64) -> Self {
        Self { failing: portion, ..Self::NONE }
    }

    pub const fn slow(portion: f64, factor: f64) -> Self {
        Self { slow: portion, factor, ..Self::NONE }
    }

    pub const fn on_route(self, route: usize) -> Self {
        Self { route: Some(route), ..self }
    }

    pub const fn from(self, from: u64) -> Self {
        Self { from, ..self }
    }

    pub const fn above_load(self, above_load: f64) -> Self {
        Self { above_load, ..self }
    }
}

/// A simulated service and its roll-out.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub requests_per_second: f64,
    pub deadline: Duration,
    /// Weight of each route. Odd ones call a plain service, even ones an inference engine.
    pub routes: Vec<f64>,
    pub upstreams: usize,
    pub slots: usize,
    pub fault: Fault,
    /// Portion of the responses of either version that fail.
    pub base_failing: f64,
    /// Portion of the responses of either version that are lost.
    pub lost: f64,
    /// Time in which [`Self::lost`] holds.
    pub lost_within: (Duration, Duration),
    /// Old upstreams that are slow by a factor of five, and that fail half of their requests.
    pub slow_old: usize,
    pub failing_old: usize,
    /// Time between two crashes of upstreams of either version, by upstream.
    pub crash_interval: Option<Duration>,
    /// Time for which the upstreams of the target are three times slower and say so.
    pub cold: Duration,
    /// Prompt tokens that old upstreams have in their caches, of those of each request.
    pub cached_part: f64,
    /// Standard deviation of the logarithm of times.
    pub noise: f64,
    /// Time after which an incomplete response ends, as its request times out.
    pub timeout: Duration,
    /// Times at which another holder continues from the record.
    pub hand_overs: Vec<Duration>,
    /// Whether the record that it reads lacks the latest write.
    pub lagging: bool,
    /// Portion of requests that are repeated once after a failure.
    pub retries: bool,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            requests_per_second: 100.0,
            deadline: Duration::from_secs(12),
            routes: vec![1.0, 1.0, 0.4],
            upstreams: 6,
            slots: 16,
            fault: Fault::NONE,
            base_failing: 0.002,
            lost: 0.0,
            lost_within: (Duration::ZERO, Duration::MAX),
            slow_old: 0,
            failing_old: 0,
            crash_interval: None,
            cold: Duration::ZERO,
            cached_part: 0.0,
            noise: 0.3,
            timeout: Duration::MAX,
            hand_overs: Vec::new(),
            lagging: false,
            retries: true,
        }
    }
}

impl Scenario {
    /// A service with 25 requests a second.
    pub fn small() -> Self {
        Self { requests_per_second: 25.0, upstreams: 3, slots: 12, ..Self::default() }
    }

    /// A service with 300 requests a second.
    pub fn large() -> Self {
        Self { requests_per_second: 300.0, upstreams: 20, ..Self::default() }
    }
}

/// What came of a simulated roll-out.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub stage: Stage,
    pub ended_at: Duration,
    pub shifted_at: Option<Duration>,
    /// True counts, also of requests that no record has.
    pub requests: u64,
    pub target_requests: u64,
    /// Responses of the target, and bad ones as its fault makes them, at the end.
    pub target_responses: u64,
    pub target_bad: u64,
    /// Largest excess of requests to the target over the bound before the shift.
    pub excess: f64,
}

impl Outcome {
    pub fn is_completed(&self) -> bool {
        self.stage == Stage::Completed
    }

    pub fn is_rolled_back(&self) -> bool {
        matches!(self.stage, Stage::RolledBack(_))
    }
}
