//! Refusals of requests that can't be served in time.

use std::time::Duration;

use super::{
    super::{
        queue::WaitingRequest,
        work::{Decision, Reason, Refusal, SlotRequest, Ticket, Work},
    },
    Pool, max_wait,
};

/// Factor by which the expected wait is raised as a safety margin.
const WAIT_MARGIN_FACTOR: f64 = 1.3;

/// Shortest time that an overload is assumed to last; a caller that retries sooner would be refused
/// again.
const MIN_OVERLOAD: Duration = Duration::from_secs(3);

/// Shortest retry-after time of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Number of upstreams from which the expected time to the first event is averaged.
const MAX_SAMPLED_UPSTREAMS: usize = 32;

impl Pool {
    /// Returns the expected wait of a queued request if it can't be answered within its latency
    /// target or, if that has passed already, before its caller leaves; else `None`.
    ///
    /// A caller that is refused at once can retry when there is room; one that waits in vain can't.
    pub(super) fn unservable_wait(
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

/// Returns the retry-after time for an expected wait. It is at most a third of the time that the
/// request has left, so that the caller can still retry.
pub(super) fn clamp_retry_after(wait: Duration, request: &SlotRequest) -> Duration {
    wait.max(MIN_RETRY_AFTER).min(request.time_left / 3)
}
