//! Refusals of requests that can't be served in time.

use std::{sync::Arc, time::Duration};

use super::{
    super::{
        queue::{Arrived, WaitingRequest},
        work::{Decision, Reason, Refusal, SlotRequest, Ticket, Work},
    },
    Pool,
};

/// Longest wait of a request, as a fraction of the time left until its caller must have the first
/// output.
const MAX_WAIT_FRACTION: f64 = 0.6;

/// As [`MAX_WAIT_FRACTION`], for a request whose latency target has passed.
const LATE_MAX_WAIT_FRACTION: f64 = 0.1;

/// Longest wait of a request, as a multiple of the time left to its latency target.
const MAX_WAIT_TARGET_FACTOR: f64 = 1.5;

/// Factor by which the expected wait is raised as a safety margin.
const WAIT_MARGIN_FACTOR: f64 = 1.3;

/// Shortest time that an overload is assumed to last; a caller that retries sooner would be refused
/// again.
const MIN_OVERLOAD: Duration = Duration::from_secs(3);

/// Shortest retry-after time of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Retry-after time of a refusal because no upstream is usable.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Number of upstreams from which the expected time to the first event is averaged.
const MAX_SAMPLED_UPSTREAMS: usize = 32;

impl Pool {
    /// Refuses one request if a request of `class` that has just arrived still waits and can't be
    /// answered on time.
    ///
    /// It is the newest one of the workspace that is furthest above its share, where shares are
    /// kept; else the newest one of a better served class if there is one and the arrived request
    /// isn't late; else the arrived request.
    pub(super) fn refuse_if_unservable(
        &mut self,
        now: Duration,
        class: &Arc<str>,
        arrived: &Arrived,
        first_output: Duration,
    ) -> Option<Decision> {
        let waiting = self.queue.get(class, arrived)?;
        let wait = self.unservable_wait(now, first_output, &waiting.request)?;
        let WaitingRequest { ticket, band, due, .. } = *waiting;
        let is_past_target = waiting.request.target_left.is_zero();
        // By shares, the request competes with those beside which it is queued.
        let is_late = due <= now;
        let by_share = self.queue.newest_above_share(now, self.service_time, class, band, is_late);
        let better = || {
            let better = self.queue.newest_of_better_served(class, band);
            better.filter(|_| !is_past_target)
        };
        let refused = by_share.or_else(better).unwrap_or(ticket);
        if !is_past_target {
            self.contended_until = self.contended_until.max(now + wait);
        }
        let refused = self.queue.remove(refused)?;
        Some(self.refuse(now, wait, &refused))
    }

    /// Returns the expected wait of a queued request if it can't be answered within its latency
    /// target or, if that has passed already, before its caller leaves; else `None`.
    ///
    /// A caller that is refused at once can retry when there is room; one that waits in vain can't.
    fn unservable_wait(
        &self,
        now: Duration,
        first_output: Duration,
        request: &SlotRequest,
    ) -> Option<Duration> {
        let wait_for = |ahead| self.expected_wait(now, ahead);
        if request.target_left.is_zero() {
            let wait = wait_for(self.queue.len() - 1);
            return (wait > max_wait(request)).then_some(wait);
        }
        let wait = wait_for(self.queue.timely_len().saturating_sub(1));
        (wait.mul_f64(WAIT_MARGIN_FACTOR) + first_output > request.target_left)
            .then(|| wait_for(self.queue.len() - 1))
    }

    /// Returns the expected wait of a request with so many others ahead of it.
    pub(super) fn expected_wait(&self, now: Duration, ahead: usize) -> Duration {
        let slots = f64::from(self.total_slots(now).max(1));
        self.service_time.mul_f64(ahead as f64 / slots)
    }

    /// Refuses a request and assigns its retry-after time.
    ///
    /// Each refused caller gets a time of its own. The times are as far apart as slots become free.
    pub(super) fn refuse(
        &mut self,
        now: Duration,
        wait: Duration,
        waiting: &WaitingRequest,
    ) -> Decision {
        let slots = f64::from(self.total_slots(now).max(1));
        let soonest = now + wait.max(MIN_OVERLOAD);
        self.last_retry_at = self.last_retry_at.max(soonest) + self.service_time.div_f64(slots);
        let retry_after =
            clamp_retry_after(self.last_retry_at.saturating_sub(now), &waiting.request);
        let refusal = Refusal {
            reason: Reason::Overload,
            retry_after,
            waiting: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            expected_wait: wait,
        };
        self.record_share_refusal(waiting);
        Decision::Refused(waiting.ticket, refusal)
    }

    /// Returns the expected time from a send to the first event, in milliseconds, averaged over the
    /// usable upstreams by how often their slots become free: a waiting request goes to the
    /// upstream that has a free slot first, which is mostly a fast one.
    ///
    /// Of many upstreams it takes a sample, a different one for each request, so that its cost does
    /// not grow with the fleet.
    pub(super) fn expected_first_output_ms(
        &self,
        now: Duration,
        ticket: Ticket,
        work: &Work,
    ) -> f64 {
        let interval = self.upstreams.len().div_ceil(MAX_SAMPLED_UPSTREAMS).max(1);
        let first = (ticket.number % interval as u64) as usize;
        let sampled = self.upstreams.values().skip(first).step_by(interval);
        let usable = sampled.filter(|state| state.is_usable(now));
        let times =
            usable.map(|state| (state.first_output_ms(now, work), state.slot_turnover(now, work)));
        let (sum, weight) =
            times.fold((0.0, 0.0), |(sum, weight), (first_output_ms, slot_turnover)| {
                (sum + first_output_ms * slot_turnover, weight + slot_turnover)
            });
        if weight > 0.0 { sum / weight } else { 0.0 }
    }
}

/// Returns the longest time that a request may wait in the queue before it is refused.
pub(super) fn max_wait(request: &SlotRequest) -> Duration {
    let first_left = request.first_output_left.min(request.time_left);
    if request.is_resumed() {
        return first_left.mul_f64(MAX_WAIT_FRACTION);
    }
    if request.target_left.is_zero() {
        return first_left.mul_f64(LATE_MAX_WAIT_FRACTION);
    }
    request.target_left.mul_f64(MAX_WAIT_TARGET_FACTOR).min(first_left.mul_f64(MAX_WAIT_FRACTION))
}

/// Refuses a request that no upstream may run.
pub(super) fn refuse_without_upstream(ticket: Ticket, request: &SlotRequest) -> Decision {
    let retry_after = clamp_retry_after(NO_UPSTREAM_RETRY_AFTER, request);
    Decision::Refused(ticket, Refusal::new(Reason::NoUpstream, retry_after))
}

/// Returns the retry-after time for an expected wait. It is at most a third of the time that the
/// request has left, so that the caller can still retry.
fn clamp_retry_after(wait: Duration, request: &SlotRequest) -> Duration {
    wait.max(MIN_RETRY_AFTER).min(request.time_left / 3)
}
