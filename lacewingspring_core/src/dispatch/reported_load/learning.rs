//! What the times of runs tell of an upstream that reports its load.

use std::time::Duration;

use crate::dispatch::upstream_state::{Run, UpstreamState};

/// Largest part of the time to the first event that is taken for a wait for others.
const MAX_QUEUE_PART: f64 = 0.8;

/// Smallest expected time, in milliseconds, with which an actual one is compared.
const MIN_EXPECTED_MS: f64 = 0.1;

impl UpstreamState {
    /// Learns how well the reports fitted the time to the first event of a run. Returns the time,
    /// in milliseconds, that it would have taken at the usual pace and without requests of others.
    pub(in crate::dispatch) fn learn_first_output_ms(
        &mut self,
        now: Duration,
        run: &mut Run,
        tokens: f64,
        took_ms: f64,
    ) -> f64 {
        if !self.learns_pace_from(run) {
            return took_ms;
        }
        let log_pace = self.mean_log_pace(now, run.forecast.log_pace_at_start);
        run.forecast.log_pace_at_output = self.reported.log_pace(now);
        if run.memory_tokens > 0 {
            let expected_ms = tokens * self.speed.prefill_ms_per_token + self.speed.startup_ms;
            self.learn_fit(run, log_pace, expected_ms, took_ms);
        }
        let own_ms = without_queue_ms(run, took_ms);
        own_ms / self.reported.slowdown_of_run(log_pace)
    }

    /// Learns how well pace and queue fitted a time that was expected to be `expected_ms` at the
    /// usual pace without a queue.
    fn learn_fit(&mut self, run: &Run, log_pace: f64, expected_ms: f64, took_ms: f64) {
        let expected_ms = expected_ms.max(MIN_EXPECTED_MS);
        let slowed_ms = expected_ms * self.reported.slowdown_of_run(log_pace);
        let lateness = (took_ms - slowed_ms) / slowed_ms;
        self.reported.learn_queue(run.forecast.unweighted_queue_ms / slowed_ms, lateness);
        let own_ms = without_queue_ms(run, took_ms);
        self.learn_pace(log_pace, own_ms / expected_ms);
    }

    /// Learns how well the reports fitted the time per output token of a run. Returns the time, in
    /// milliseconds, that it would have taken at the usual pace.
    pub(in crate::dispatch) fn learn_decode_ms(
        &mut self,
        now: Duration,
        run: &Run,
        ms_per_token: f64,
    ) -> f64 {
        if !self.learns_pace_from(run) {
            return ms_per_token;
        }
        let log_pace = self.mean_log_pace(now, run.forecast.log_pace_at_output);
        let expected_ms = self.speed.decode_ms_per_token.max(MIN_EXPECTED_MS);
        self.learn_pace(log_pace, ms_per_token / expected_ms);
        ms_per_token / self.reported.slowdown_of_run(log_pace)
    }

    /// Learns how well the reports fitted the time of a plain call. Returns the time, in
    /// milliseconds, that it would have taken at the usual pace and without requests of others.
    pub(in crate::dispatch) fn learn_plain_call_ms(
        &mut self,
        now: Duration,
        run: &Run,
        took_ms: f64,
    ) -> f64 {
        if !self.learns_pace_from(run) {
            return took_ms;
        }
        let log_pace = self.mean_log_pace(now, run.forecast.log_pace_at_start);
        self.learn_fit(run, log_pace, self.speed.plain_call_ms, took_ms);
        let own_ms = without_queue_ms(run, took_ms);
        own_ms / self.reported.slowdown_of_run(log_pace)
    }

    /// Learns for how long a finished run held its slot.
    pub(in crate::dispatch) fn record_service_time(
        &mut self,
        now: Duration,
        run: &Run,
        took_ms: f64,
    ) {
        if self.learns_pace_from(run) {
            let log_pace = self.mean_log_pace(now, run.forecast.log_pace_at_start);
            self.reported.learn_service_time(took_ms / self.reported.slowdown_of_run(log_pace));
        }
    }

    /// Returns whether the process that a run was sent to is the present one and reports its load.
    fn learns_pace_from(&self, run: &Run) -> bool {
        self.reported.is_known() && run.started_at_ms == self.info.started_at_ms
    }

    /// Returns the mean logarithm of the pace from a time when it was `log_pace_before` until now.
    fn mean_log_pace(&self, now: Duration, log_pace_before: f64) -> f64 {
        f64::midpoint(log_pace_before, self.reported.log_pace(now))
    }

    fn learn_pace(&mut self, log_pace: f64, time_ratio: f64) {
        let factor = self.reported.learn_pace(log_pace, time_ratio);
        self.speed.prefill_ms_per_token *= factor;
        self.speed.startup_ms *= factor;
        self.speed.decode_ms_per_token *= factor;
        self.speed.plain_call_ms *= factor;
    }
}

/// Returns the time of a run without its expected wait for requests of others, in milliseconds.
fn without_queue_ms(run: &Run, took_ms: f64) -> f64 {
    (took_ms - run.forecast.queue_ms).max(took_ms * (1.0 - MAX_QUEUE_PART))
}
