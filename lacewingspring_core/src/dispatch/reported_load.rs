//! Load and pace that an upstream reports in its responses, and what predictions make of them.
//!
//! Figures may be wrong. So their effect is bounded, weighed by how well they fitted the responses
//! since, and decays with their age to what was learned from responses alone.

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use self::counts::LoadReports;
use self::{
    fit::{PaceFit, QueueFit},
    persistence::{MAX_AGE, Persistence},
    run_history::RunHistory,
};

mod counts;
mod fit;
mod learning;
mod persistence;
mod run_history;

/// Lowest and highest plausible pace; a report with another one is ignored.
const MIN_PACE: f64 = 0.01;
const MAX_PACE: f64 = 1_000.0;

/// Largest number of requests that is taken for a figure.
const MAX_REQUESTS: u32 = 1_000_000;

/// Bounds of the slowdown that is assumed for an upstream. Slowdowns of more than ten occur; an
/// upstream is rarely much faster than usual.
const MIN_SLOWDOWN: f64 = 0.125;
const MAX_SLOWDOWN: f64 = 32.0;

/// Largest number of requests of others, as a multiple of the upstream's slots.
const MAX_OTHERS_FACTOR: u32 = 2;

/// Weight of the reported queue below which its reports are taken to be false: first events then
/// waited for less than a tenth of it.
const MIN_QUEUE_WEIGHT: f64 = 0.1;

/// Time in which a request of this fleet that begins or ends may be missing in a report, or still
/// be in it, as it is on its way.
const REPORT_SLACK: Duration = Duration::from_millis(100);

/// Longest wait that is assumed for requests of others, in milliseconds. Callers want the first
/// event within some hundred milliseconds, so longer ones make no difference.
const MAX_QUEUE_MS: f64 = 1_500.0;

/// Furthest moment that a slowdown is predicted for, in milliseconds; a report tells nothing of
/// later ones.
const MAX_LOOK_AHEAD_MS: f64 = 10_000.0;

/// Weight of a new sample in the moving average of the service time.
const SERVICE_TIME_SAMPLE_WEIGHT: f64 = 0.1;

/// Load of an upstream, as it reports it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// Requests that run there, of all callers.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Time that work takes at present, as a multiple of the usual time; `None` if not reported.
    pub pace: Option<f64>,
}

/// What became of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reception {
    /// It is the newest one.
    Used,
    /// It has no pace, is older than one before, or is of another process.
    Skipped,
    /// Its figures are implausible; `is_first` if none was before.
    Ignored { is_first: bool },
}

/// Figures of the newest report.
#[derive(Clone, Copy, Debug)]
struct Report {
    received_at: Duration,
    /// Logarithm of the pace, within the bounds of a slowdown.
    log_pace: f64,
    /// Requests there that are not of this fleet.
    others: f64,
    /// Requests that waited there, besides those that this fleet sent above the slots.
    waiting: f64,
}

/// What was expected of a run when it was sent, from the reports of its upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RunForecast {
    /// Logarithm of the pace when the run was sent.
    pub log_pace_at_start: f64,
    /// Logarithm of the pace at its first event.
    pub log_pace_at_output: f64,
    /// Expected wait for requests of others, in milliseconds.
    pub queue_ms: f64,
    /// The same if the reported queue is not weighed by its fit.
    pub unweighted_queue_ms: f64,
    /// Expected time to the first event; `None` if the upstream had not reported its load.
    pub first_output: Option<Duration>,
}

/// Reports of one process of an upstream.
#[derive(Debug)]
pub(super) struct ReportedLoad {
    latest: Option<Report>,
    /// Most requests of others, and when they were reported. It is replaced by a report of as many,
    /// or by the first report that comes [`MAX_AGE`] after it.
    most_others: (u32, Duration),
    pace_fit: PaceFit,
    queue_fit: QueueFit,
    persistence: Persistence,
    runs: RunHistory,
    /// Slowdown by the newest report, at its time.
    reported_slowdown: f64,
    /// Slowdown without a report, relative to the learned speeds.
    usual_slowdown: f64,
    /// Mean time for which a request of this fleet holds its slot at the usual pace.
    service_ms: Option<f64>,
    was_ignored: bool,
}

impl Default for ReportedLoad {
    fn default() -> Self {
        Self {
            latest: None,
            most_others: (0, Duration::ZERO),
            pace_fit: PaceFit::default(),
            queue_fit: QueueFit::default(),
            persistence: Persistence::default(),
            runs: RunHistory::default(),
            reported_slowdown: 1.0,
            usual_slowdown: 1.0,
            service_ms: None,
            was_ignored: false,
        }
    }
}

impl ReportedLoad {
    /// Records a report that an instance received at `received_at`; `running` requests of this
    /// fleet are at the upstream now.
    pub fn record(
        &mut self,
        received_at: Duration,
        load: &UpstreamLoad,
        slots: u32,
        running: u32,
    ) -> Reception {
        let Some(pace) = load.pace else { return Reception::Skipped };
        if !is_plausible(load, pace) {
            let is_first = !std::mem::replace(&mut self.was_ignored, true);
            return Reception::Ignored { is_first };
        }
        if self.latest.is_some_and(|latest| latest.received_at > received_at) {
            return Reception::Skipped;
        }
        let log_pace = pace.clamp(MIN_SLOWDOWN, MAX_SLOWDOWN).ln();
        self.persistence.record(received_at, log_pace);
        let own = self.runs.most_around(received_at, REPORT_SLACK).unwrap_or(running);
        let max_others = slots.max(1).saturating_mul(MAX_OTHERS_FACTOR);
        let in_progress = load.running.saturating_add(load.waiting);
        let others = in_progress.saturating_sub(own).min(max_others);
        let own_waiting = own.saturating_sub(slots);
        let waiting = load.waiting.saturating_sub(own_waiting).min(others);
        self.latest = Some(Report {
            received_at,
            log_pace,
            others: f64::from(others),
            waiting: f64::from(waiting),
        });
        let (most, most_at) = self.most_others;
        if others >= most || received_at.saturating_sub(most_at) >= MAX_AGE {
            self.most_others = (others, received_at);
        }
        self.update_slowdowns();
        Reception::Used
    }

    /// Returns whether the upstream has reported its load.
    pub fn is_known(&self) -> bool {
        self.latest.is_some()
    }

    /// Returns the age of the newest report.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.latest?.received_at))
    }

    /// Returns whether the upstream has reported its load, and not recently.
    pub fn is_outdated(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age >= MAX_AGE)
    }

    /// Records the number of requests of this fleet there from `now` on.
    pub fn record_running(&mut self, now: Duration, running: u32) {
        if self.is_known() {
            self.runs.record(now, running);
        }
    }

    /// Returns the expected factor on learned times at `at`.
    pub fn slowdown(&self, at: Duration) -> f64 {
        let Some(latest) = self.latest else { return 1.0 };
        let weight = self.persistence.weight(at.saturating_sub(latest.received_at));
        self.usual_slowdown + (self.reported_slowdown - self.usual_slowdown) * weight
    }

    /// Returns the logarithm of the pace as known at `now`, before it is weighed by its fit.
    pub fn log_pace(&self, now: Duration) -> f64 {
        let Some(latest) = self.latest else { return 0.0 };
        let weight = self.persistence.weight(now.saturating_sub(latest.received_at));
        let usual = self.pace_fit.usual_log_pace();
        usual + (latest.log_pace - usual) * weight
    }

    /// Returns the expected factor on a time of `usual_ms` that begins in `delay_ms`.
    pub fn slowdown_within(&self, now: Duration, delay_ms: f64, usual_ms: f64) -> f64 {
        if self.latest.is_none() {
            return 1.0;
        }
        let middle_ms = (delay_ms + usual_ms / 2.0).min(MAX_LOOK_AHEAD_MS);
        self.slowdown(now + Duration::from_secs_f64(middle_ms / 1_000.0))
    }

    /// Returns the expected number of requests of others there.
    pub fn others(&self, now: Duration) -> f64 {
        let Some(latest) = self.latest else { return 0.0 };
        latest.others * self.freshness(now, &latest) * self.queue_fit.weight()
    }

    /// Returns how many requests of others may be there now: the most that were reported of late,
    /// as others replace their requests when these end. Returns 0 if the reports prove false: first
    /// events are not late by the reported queue.
    pub fn most_others(&self, now: Duration) -> u32 {
        let (most, most_at) = self.most_others;
        let is_recent = now.saturating_sub(most_at) < MAX_AGE;
        if is_recent && self.queue_fit.weight() >= MIN_QUEUE_WEIGHT { most } else { 0 }
    }

    /// Returns the expected wait for requests of others of a request that is sent now, while
    /// `running` requests of this fleet are there, in milliseconds.
    pub fn queue_ms(&self, now: Duration, running: u32, slots: u32) -> f64 {
        self.weighted_queue_ms(now, running, slots, self.queue_fit.weight())
    }

    /// As [`Self::queue_ms`], with this weight for the reported queue.
    fn weighted_queue_ms(&self, now: Duration, running: u32, slots: u32, fit_weight: f64) -> f64 {
        let (Some(latest), Some(service_ms)) = (self.latest, self.service_ms) else { return 0.0 };
        if latest.others <= 0.0 {
            return 0.0;
        }
        let weight = self.freshness(now, &latest) * fit_weight;
        let slots = f64::from(slots.max(1));
        let above_slots = f64::from(running) + latest.others * weight + 1.0 - slots;
        let ahead = above_slots.min(latest.others * weight).max(latest.waiting * weight).max(0.0);
        (ahead / slots * service_ms * self.slowdown(now)).min(MAX_QUEUE_MS)
    }

    fn freshness(&self, now: Duration, latest: &Report) -> f64 {
        self.persistence.queue_weight(now.saturating_sub(latest.received_at))
    }

    /// Returns what is expected of a run that is sent now, without the time to its first event.
    pub fn forecast(&self, now: Duration, running: u32, slots: u32) -> RunForecast {
        let log_pace = self.log_pace(now);
        RunForecast {
            log_pace_at_start: log_pace,
            log_pace_at_output: log_pace,
            queue_ms: self.queue_ms(now, running, slots),
            unweighted_queue_ms: self.weighted_queue_ms(now, running, slots, 1.0),
            first_output: None,
        }
    }

    /// Learns for how long a run held its slot, in milliseconds at the usual pace.
    pub fn learn_service_time(&mut self, usual_ms: f64) {
        let mean = self.service_ms.get_or_insert(usual_ms);
        *mean += (usual_ms - *mean) * SERVICE_TIME_SAMPLE_WEIGHT;
    }

    /// Returns the factor on the time of a run during which the pace had this logarithm.
    pub fn slowdown_of_run(&self, log_pace: f64) -> f64 {
        (self.pace_fit.weight() * log_pace).exp()
    }

    /// Learns how well the pace fits from a run during which it had this logarithm, and which took
    /// `time_ratio` of the time by the learned speeds.
    ///
    /// Returns the factor by which the learned speeds must change, so that they still explain the
    /// times from which they were learned.
    pub fn learn_pace(&mut self, log_pace: f64, time_ratio: f64) -> f64 {
        let weight = self.pace_fit.weight();
        let mean = self.pace_fit.usual_log_pace();
        self.pace_fit.learn(log_pace, time_ratio);
        let change = weight - self.pace_fit.weight();
        self.update_slowdowns();
        (change * mean).exp()
    }

    /// Learns how well the queue fits from a first event that was expected to be late by this part
    /// of its time without a queue, and was late by `lateness` of it.
    pub fn learn_queue(&mut self, expected_lateness: f64, lateness: f64) {
        self.queue_fit.learn(expected_lateness, lateness);
    }

    fn update_slowdowns(&mut self) {
        let Some(latest) = self.latest else { return };
        self.reported_slowdown = self.slowdown_of_run(latest.log_pace);
        self.usual_slowdown = self.slowdown_of_run(self.pace_fit.usual_log_pace());
    }
}

fn is_plausible(load: &UpstreamLoad, pace: f64) -> bool {
    let is_pace = (MIN_PACE..=MAX_PACE).contains(&pace);
    is_pace && load.slots > 0 && load.running.max(load.waiting).max(load.slots) <= MAX_REQUESTS
}
