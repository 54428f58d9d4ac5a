//! Distribution of the requests to the target over the routes of the service.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::order::Block;

/// Part of the requests of a route that the target may get. The others are compared with them.
const MAX_ROUTE_SHARE: f64 = 0.5;

/// Requests by which a route must be behind for requests to be left to it.
const MIN_DEFICIT: u64 = 2;

/// Part of what is left in a block that is left to scarcer routes at most.
const MAX_RESERVED: f64 = 0.5;

/// Requests of one route.
#[derive(Clone, Copy, Debug, Default)]
struct RouteCounts {
    requests: u64,
    target: u64,
}

impl RouteCounts {
    fn may_take(&self) -> bool {
        self.target as f64 <= MAX_ROUTE_SHARE * self.requests as f64
    }
}

/// Requests of all routes since this holder took the order over.
#[derive(Debug)]
pub(super) struct RouteGrants {
    since: Duration,
    routes: BTreeMap<Arc<str>, RouteCounts>,
}

impl RouteGrants {
    pub const fn new(since: Duration) -> Self {
        Self { since, routes: BTreeMap::new() }
    }

    pub fn record(&mut self, route: &Arc<str>, is_target: bool, is_repeat: bool) {
        let counts = self.routes.entry(Arc::clone(route)).or_default();
        counts.requests += u64::from(!is_repeat);
        counts.target += u64::from(is_target);
    }

    /// Returns the routes with their numbers of requests.
    pub fn requests(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        self.routes.iter().map(|(route, counts)| (route, counts.requests))
    }

    /// Returns whether a request of the route may use one of the requests left in the block. It
    /// leaves one for each request that is expected of a route with fewer requests at the target.
    pub fn takes(&self, now: Duration, block: Block, route: &str) -> bool {
        let own = self.routes.get(route).copied().unwrap_or_default();
        if !own.may_take() {
            return false;
        }
        let elapsed_s = now.saturating_sub(self.since).as_secs_f64();
        let remaining_s = block.expires_at.saturating_sub(now).as_secs_f64();
        let is_scarcer = |other: &&RouteCounts| other.target + MIN_DEFICIT <= own.target;
        let reserved = self.routes.values().filter(is_scarcer).map(|other| {
            let expected =
                MAX_ROUTE_SHARE * other.requests as f64 * remaining_s / elapsed_s.max(remaining_s);
            expected.ceil().min((own.target - other.target) as f64)
        });
        let most = (MAX_RESERVED * block.size as f64).ceil();
        block.size as f64 > reserved.sum::<f64>().min(most)
    }
}
