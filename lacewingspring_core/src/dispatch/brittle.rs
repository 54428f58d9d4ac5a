//! Upstreams of a service that may crash if they have to decline requests.

use std::{collections::HashMap, time::Duration};

use crate::names::UpstreamName;

/// Time after the last statement of an upstream for which all of its service count as brittle.
const RETENTION: Duration = Duration::from_secs(2);

/// Time for which a brittle upstream that declined a request gets no further ones.
const DECLINED_PAUSE: Duration = Duration::from_secs(1);

/// Whether the upstreams of one service are brittle, and which of them get no requests for that.
#[derive(Debug, Default)]
pub(super) struct BrittleUpstreams {
    until: Duration,
    /// Time until which each upstream that has declined a request would be paused.
    paused_until: HashMap<UpstreamName, Duration>,
}

impl BrittleUpstreams {
    /// Records that an upstream said that it is brittle; returns whether none had said so lately.
    pub fn record(&mut self, now: Duration) -> bool {
        let is_new = !self.holds(now);
        self.until = now + RETENTION;
        is_new
    }

    /// Records that an upstream declined a request.
    pub fn record_declined(&mut self, now: Duration, upstream: &UpstreamName) {
        self.paused_until.retain(|_, until| now < *until);
        self.paused_until.insert(upstream.clone(), now + DECLINED_PAUSE);
    }

    /// Returns whether the upstreams count as brittle.
    pub fn holds(&self, now: Duration) -> bool {
        now < self.until
    }

    /// Returns whether an upstream gets no requests, as it is brittle and has declined one.
    pub fn is_paused(&self, now: Duration, upstream: &UpstreamName) -> bool {
        self.holds(now) && self.paused_until.get(upstream).is_some_and(|until| now < *until)
    }
}
