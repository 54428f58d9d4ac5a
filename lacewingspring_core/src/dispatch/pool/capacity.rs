//! Number of requests that the upstreams of a service may have in progress.

use std::time::Duration;

use super::{Pool, UpstreamInfo};

/// Number of declared slots per extra request: an upstream with this many slots is sent one request
/// more than it has slots, so that no slot is idle while the next request is on its way.
const SLOTS_PER_EXTRA_REQUEST: u32 = 8;

/// As [`SLOTS_PER_EXTRA_REQUEST`], for short service times: there the time on the way is a larger
/// fraction of the service time.
const SLOTS_PER_EXTRA_SHORT_CALL: u32 = 6;

/// Mean service time up to which calls count as short.
const SHORT_SERVICE_TIME: Duration = Duration::from_millis(150);

impl Pool {
    /// Returns the number of requests that all upstreams together can have in progress.
    pub(super) fn total_slots(&self, now: Duration, fleet_fraction: f64) -> u32 {
        let open = self.upstreams.values().filter(|state| !state.info.draining);
        open.map(|state| self.expected_in_progress(now, &state.info, fleet_fraction)).sum()
    }

    /// Returns the number of requests that can be in progress at an upstream under its limit.
    fn expected_in_progress(&self, now: Duration, info: &UpstreamInfo, fleet_fraction: f64) -> u32 {
        let max = self.max_in_progress(now, info, fleet_fraction);
        let Some(rate) = self.rate_limits.rate(&info.name) else { return max };
        let expected = rate * fleet_fraction * self.service_time.as_secs_f64();
        max.min(expected.ceil() as u32)
    }

    /// Returns the number of requests that this gate may have in progress at an upstream.
    pub(super) fn max_in_progress(
        &self,
        now: Duration,
        info: &UpstreamInfo,
        fleet_fraction: f64,
    ) -> u32 {
        let slots_per_extra = if self.service_time <= SHORT_SERVICE_TIME {
            SLOTS_PER_EXTRA_SHORT_CALL
        } else {
            SLOTS_PER_EXTRA_REQUEST
        };
        let sent = if self.brittle.holds(now) {
            info.slots.saturating_sub(1)
        } else {
            info.slots + info.slots / slots_per_extra
        };
        ((f64::from(sent) * fleet_fraction).floor() as u32).max(1)
    }
}
