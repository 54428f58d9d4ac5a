//! Broken connections, of which those of one crash count once.

use std::{collections::HashMap, time::Duration};

use crate::names::UpstreamName;

/// Time within which broken connections of one upstream count as one failure. A crash breaks all
/// that run there; instances report them within the delays of their links.
const CRASH_WINDOW: Duration = Duration::from_millis(300);

/// Number of upstreams from which on those without a recent break are forgotten.
const MAX_UPSTREAMS: usize = 256;

/// Times of the first broken connection of each upstream's latest crash.
#[derive(Debug, Default)]
pub(super) struct Breaks {
    first_at: HashMap<UpstreamName, Duration>,
}

impl Breaks {
    /// Records a broken connection. Returns whether it is the first one of a crash.
    pub fn record(&mut self, now: Duration, upstream: &UpstreamName) -> bool {
        let is_recent = |at: &Duration| now.saturating_sub(*at) < CRASH_WINDOW;
        if self.first_at.get(upstream).is_some_and(is_recent) {
            return false;
        }
        if self.first_at.len() >= MAX_UPSTREAMS {
            self.first_at.retain(|_, at| is_recent(at));
        }
        self.first_at.insert(upstream.clone(), now);
        true
    }
}
