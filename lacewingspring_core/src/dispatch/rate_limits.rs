//! Limits that upstreams name on the requests that they take from all instances together.

use std::{collections::HashMap, time::Duration};

use super::hand_over::{MAX_ENTRIES, UpstreamLimit};
use crate::names::{ServiceName, UpstreamName};

/// Time for which an upstream's requests may be saved up, though one always may.
const BURST_TIME: Duration = Duration::from_millis(500);

/// Lowest rate that is kept to, in requests a second: only a response tells that a limit is gone.
const MIN_RATE: f64 = 0.25;

/// Relative change of a rate from which on the next gate must know of it.
const SIGNIFICANT_CHANGE: f64 = 0.1;

/// Time after which a limit that no response names again is forgotten.
const RETENTION: Duration = Duration::from_secs(600);

/// Limit of one upstream, kept by a token bucket.
#[derive(Clone, Copy, Debug)]
struct RateLimit {
    /// Requests a second.
    rate: f64,
    /// Start of the process of the upstream in Unix milliseconds; `None` if it is not known.
    started_at_ms: Option<u64>,
    /// Time at which a response named it last.
    named_at: Duration,
    /// Requests that may be sent at once, as of `counted_at`.
    tokens: f64,
    counted_at: Duration,
}

impl RateLimit {
    /// Creates a limit under which nothing may be sent at once.
    fn new(now: Duration, rate: f64, started_at_ms: Option<u64>) -> Self {
        Self { rate, started_at_ms, named_at: now, tokens: 0.0, counted_at: now }
    }

    fn tokens(&self, now: Duration, fleet_fraction: f64) -> f64 {
        let rate = self.rate * fleet_fraction;
        let gained = rate * now.saturating_sub(self.counted_at).as_secs_f64();
        (self.tokens + gained).min((rate * BURST_TIME.as_secs_f64()).max(1.0))
    }
}

/// Limits of the upstreams of one service.
#[derive(Debug, Default)]
pub(super) struct RateLimits {
    limits: HashMap<UpstreamName, RateLimit>,
    /// Number of changes that the next gate must know of.
    version: u64,
}

impl RateLimits {
    /// Records that a response named the requests a second that its upstream takes; returns whether
    /// that differs from what was known.
    pub fn set(
        &mut self,
        now: Duration,
        upstream: &UpstreamName,
        started_at_ms: Option<u64>,
        rate: f64,
    ) -> bool {
        self.limits.retain(|_, limit| now.saturating_sub(limit.named_at) < RETENTION);
        let rate = rate.max(MIN_RATE);
        let before = self.limits.get_mut(upstream);
        let before = before.filter(|limit| limit.started_at_ms == started_at_ms);
        let Some(limit) = before else {
            self.limits.insert(upstream.clone(), RateLimit::new(now, rate, started_at_ms));
            self.version += 1;
            return true;
        };
        limit.named_at = now;
        let is_changed = (rate - limit.rate).abs() >= limit.rate * SIGNIFICANT_CHANGE;
        limit.rate = rate;
        self.version += u64::from(is_changed);
        is_changed
    }

    /// Removes the limit of an upstream; returns whether it had one.
    pub fn remove(&mut self, upstream: &UpstreamName) -> bool {
        let had_one = self.limits.remove(upstream).is_some();
        self.version += u64::from(had_one);
        had_one
    }

    /// Removes the limit of an upstream if another process of it named the limit.
    pub fn remove_of_other_process(&mut self, upstream: &UpstreamName, started_at_ms: u64) {
        let limit = self.limits.get(upstream);
        if limit.and_then(|limit| limit.started_at_ms).is_some_and(|start| start != started_at_ms) {
            self.remove(upstream);
        }
    }

    /// Returns the requests a second that an upstream takes; `None` if it has named no limit.
    pub fn rate(&self, upstream: &UpstreamName) -> Option<f64> {
        self.limits.get(upstream).map(|limit| limit.rate)
    }

    /// Returns whether a request may be sent to an upstream now.
    pub fn allows(&self, now: Duration, fleet_fraction: f64, upstream: &UpstreamName) -> bool {
        self.limits.get(upstream).is_none_or(|limit| limit.tokens(now, fleet_fraction) >= 1.0)
    }

    /// Counts a request that is sent to an upstream.
    pub fn take(&mut self, now: Duration, fleet_fraction: f64, upstream: &UpstreamName) {
        if let Some(limit) = self.limits.get_mut(upstream) {
            limit.tokens = limit.tokens(now, fleet_fraction) - 1.0;
            limit.counted_at = now;
        }
    }

    /// Returns the number of changes that the next gate must know of.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits for the next gate.
    pub fn export(&self, service: &ServiceName) -> Vec<UpstreamLimit> {
        let exported = self.limits.iter().map(|(upstream, limit)| UpstreamLimit {
            service: service.clone(),
            upstream: upstream.clone(),
            started_at_ms: limit.started_at_ms,
            per_s: limit.rate,
        });
        let mut exported: Vec<UpstreamLimit> = exported.collect();
        exported.sort_unstable_by(|a, b| a.upstream.cmp(&b.upstream));
        exported.truncate(MAX_ENTRIES);
        exported
    }

    /// Adds a limit that an earlier gate knew, unless a response has named another one since.
    pub fn import(&mut self, now: Duration, imported: &UpstreamLimit) {
        if !self.limits.contains_key(&imported.upstream) {
            self.set(now, &imported.upstream, imported.started_at_ms, imported.per_s);
        }
    }
}
