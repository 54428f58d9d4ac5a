//! Number of requests that the upstreams of a service may have in progress.

use std::time::Duration;

use super::{FleetShare, Pool, UpstreamState};

/// Number of declared slots per extra request: an upstream with this many slots is sent one request
/// more than it has slots, so that no slot is idle while the next request is on its way.
const SLOTS_PER_EXTRA_REQUEST: u32 = 8;

/// As [`SLOTS_PER_EXTRA_REQUEST`], for short service times: there the time on the way is a larger
/// fraction of the service time.
const SLOTS_PER_EXTRA_SHORT_CALL: u32 = 6;

/// Mean service time up to which calls count as short.
const SHORT_SERVICE_TIME: Duration = Duration::from_millis(150);

/// Number of requests that this gate may have in progress at an upstream, by its slots. It is the
/// same for all upstreams of a service, so that a search over them determines it once.
#[derive(Clone, Copy, Debug)]
pub(super) struct InProgressLimit {
    is_brittle: bool,
    slots_per_extra: u32,
    fleet_share: FleetShare,
}

impl InProgressLimit {
    /// Returns the number of requests for an upstream.
    ///
    /// Two gates that both use all slots fill the queues of the upstreams. So the gate of a
    /// majority leaves the slots that requests of others take, at most as many as another gate may
    /// use. It leaves none where no requests of others are reported, as when the instances that
    /// are apart have ended.
    ///
    /// An upstream that broke one run after the other gets one request at a time, which shows
    /// whether it responds again. Streams that it began earlier may go on meanwhile.
    pub(super) fn of(self, now: Duration, state: &UpstreamState) -> u32 {
        let limit = self.without_others(state.info.slots);
        if state.is_circuit_open {
            return limit.min(1 + state.running_with_output);
        }
        let slots_of_others = self.fleet_share.slots_of_others;
        if slots_of_others <= 0.0 {
            return limit;
        }
        let max_others = (f64::from(limit) * slots_of_others) as u32;
        limit.saturating_sub(state.reported.most_others(now).min(max_others)).max(1)
    }

    fn without_others(self, slots: u32) -> u32 {
        let sent = if self.is_brittle {
            slots.saturating_sub(1)
        } else {
            slots + slots / self.slots_per_extra
        };
        if self.fleet_share.is_majority() {
            return sent.max(1);
        }
        ((f64::from(sent) * self.fleet_share.slots) as u32).max(1)
    }
}

impl Pool {
    /// Returns how many requests this gate may have in progress at the upstreams.
    pub(super) fn in_progress_limit(&self, now: Duration) -> InProgressLimit {
        let slots_per_extra = if self.service_time <= SHORT_SERVICE_TIME {
            SLOTS_PER_EXTRA_SHORT_CALL
        } else {
            SLOTS_PER_EXTRA_REQUEST
        };
        InProgressLimit {
            is_brittle: self.brittle.holds(now),
            slots_per_extra,
            fleet_share: self.fleet_share,
        }
    }

    /// Returns the number of requests that all upstreams together can have in progress.
    pub(super) fn total_slots(&self, now: Duration) -> u32 {
        let limit = self.in_progress_limit(now);
        let open = self.upstreams.values().filter(|state| {
            !state.info.draining && self.versions.serves(now, &state.info.software)
        });
        open.map(|state| self.expected_in_progress(now, limit, state)).sum()
    }

    /// Returns the number of requests that can be in progress at an upstream under its limit.
    fn expected_in_progress(
        &self,
        now: Duration,
        limit: InProgressLimit,
        state: &UpstreamState,
    ) -> u32 {
        let max = limit.of(now, state);
        let Some(rate) = self.rate_limits.rate(&state.info.name) else { return max };
        let expected = rate * limit.fleet_share.slots * self.service_time.as_secs_f64();
        max.min(expected.ceil() as u32)
    }
}
