//! Admits requests within the limits of one workspace; runs at each instance.

use std::time::Duration;

use super::{Demand, Share, ShareConfig};

/// Time constant of the moving average of the demand.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// Longest retry-after time of a refusal for lack of rate.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Whether a request is within the limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request counts as in progress until [`ShareLimiter::release`] is called.
    Admitted,
    /// The workspace has reached its limit at this instance.
    LimitReached {
        /// Time after which there may be capacity.
        retry_after: Duration,
    },
}

/// A share and the time at which it expires.
#[derive(Clone, Copy, Debug)]
struct HeldShare {
    share: Share,
    expires: Duration,
}

/// A demand that the home has not answered yet.
#[derive(Clone, Copy, Debug)]
struct SentDemand {
    ask: u64,
    sent_at: Duration,
}

/// Limiter for the requests of one workspace at one instance.
///
/// A token bucket limits the rate, and a counter the requests in progress, both to the share that
/// the home has granted.
#[derive(Debug)]
pub struct ShareLimiter {
    cfg: ShareConfig,
    held: Option<HeldShare>,
    pending: Vec<SentDemand>,
    last_ask: u64,
    last_sent_at: Option<Duration>,
    is_renewal_urgent: bool,
    /// Whether the latest share is smaller than the one before it and not yet confirmed.
    was_reduced: bool,
    tokens: f64,
    refilled_at: Duration,
    in_use: u32,
    /// Requests that were refused or began to wait since the last demand.
    refused: u32,
    /// Exponentially decaying count of arrivals.
    arrivals: f64,
    arrivals_updated_at: Duration,
}

impl ShareLimiter {
    /// Creates the limiter of a workspace from which no request has arrived yet.
    pub fn new(cfg: ShareConfig, now: Duration) -> Self {
        Self {
            cfg,
            held: None,
            pending: Vec::new(),
            last_ask: 0,
            last_sent_at: None,
            is_renewal_urgent: false,
            was_reduced: false,
            tokens: 1.0,
            refilled_at: now,
            in_use: 0,
            refused: 0,
            arrivals: 0.0,
            arrivals_updated_at: now,
        }
    }

    /// Admits and counts a request if the share allows it.
    pub fn admit(&mut self, now: Duration) -> Admission {
        self.decay_arrivals(now);
        self.arrivals += 1.0;
        self.refill(now);
        let Some(share) = self.share(now) else {
            return self.refuse(self.cfg.renew_after);
        };
        if self.in_use >= share.concurrency {
            return self.refuse(self.cfg.renew_after);
        }
        if self.tokens < 1.0 {
            let wait = (1.0 - self.tokens) / share.rate.max(f64::MIN_POSITIVE);
            let wait = wait.min(MAX_RETRY_AFTER.as_secs_f64());
            return self.refuse(Duration::from_secs_f64(wait));
        }
        self.tokens -= 1.0;
        self.in_use += 1;
        Admission::Admitted
    }

    /// Ends an admitted request, which no longer counts as in progress.
    pub fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Returns the demand to send to the home, if one is due.
    pub fn poll_demand(&mut self, now: Duration) -> Option<Demand> {
        if !self.is_due(now) {
            return None;
        }
        self.decay_arrivals(now);
        self.last_ask += 1;
        self.last_sent_at = Some(now);
        self.is_renewal_urgent = false;
        self.was_reduced = false;
        let limit = self.cfg.valid_for;
        self.pending.retain(|sent| now.saturating_sub(sent.sent_at) < limit);
        self.pending.push(SentDemand { ask: self.last_ask, sent_at: now });
        let refused = std::mem::take(&mut self.refused);
        Some(Demand {
            ask: self.last_ask,
            rate: self.arrivals / DEMAND_WINDOW.as_secs_f64(),
            concurrency: self.in_use + refused,
            in_use: self.in_use,
            held: self.share(now),
        })
    }

    /// Applies a share that the home has granted; ignores it unless its demand is pending.
    pub fn apply_share(&mut self, now: Duration, share: Share) {
        let Some(sent) = self.pending.iter().find(|sent| sent.ask == share.ask) else { return };
        let expires = sent.sent_at + share.valid_for;
        self.refill(now);
        self.pending.retain(|sent| sent.ask > share.ask);
        let old = self.held.map(|held| held.share);
        self.was_reduced =
            old.is_some_and(|old| old.rate > share.rate || old.concurrency > share.concurrency);
        self.held = Some(HeldShare { share, expires });
        self.tokens = self.tokens.min(self.max_tokens(share));
    }

    /// Returns a report of what is held, for a new home. Replies to earlier demands are ignored
    /// from now on.
    pub fn report(&mut self, now: Duration) -> Demand {
        self.decay_arrivals(now);
        self.pending.clear();
        Demand {
            ask: self.last_ask,
            rate: self.arrivals / DEMAND_WINDOW.as_secs_f64(),
            concurrency: self.in_use,
            in_use: self.in_use,
            held: self.share(now),
        }
    }

    /// Returns whether a request would be admitted.
    pub fn has_room(&mut self, now: Duration) -> bool {
        self.refill(now);
        let share = self.share(now);
        share.is_some_and(|share| self.in_use < share.concurrency) && self.tokens >= 1.0
    }

    /// Counts a request that waits for a larger share, so that the next demand is sent soon.
    pub fn count_waiting(&mut self, now: Duration) {
        self.decay_arrivals(now);
        self.arrivals += 1.0;
        self.refused = self.refused.saturating_add(1);
        self.is_renewal_urgent = true;
    }

    /// Makes the next demand due soon, since the membership has changed.
    pub fn renew_soon(&mut self) {
        self.is_renewal_urgent = true;
    }

    /// Returns the share in force.
    pub fn share(&self, now: Duration) -> Option<Share> {
        let held = self.held?;
        (held.expires > now || !self.cfg.policy.expire).then_some(held.share)
    }

    /// Returns the number of requests in progress.
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    fn refuse(&mut self, retry_after: Duration) -> Admission {
        self.refused = self.refused.saturating_add(1);
        self.is_renewal_urgent = true;
        Admission::LimitReached { retry_after }
    }

    /// Returns whether a demand is due. A reduced share is confirmed soon, so that the home can
    /// grant the difference to others.
    fn is_due(&self, now: Duration) -> bool {
        let Some(last) = self.last_sent_at else { return true };
        let soon = self.is_renewal_urgent || self.was_reduced;
        let pause = if soon { self.cfg.urgent_renew_after } else { self.cfg.renew_after };
        now.saturating_sub(last) >= pause
    }

    fn refill(&mut self, now: Duration) {
        let start = std::mem::replace(&mut self.refilled_at, now);
        let Some(held) = self.held else { return };
        let end = if self.cfg.policy.expire { now.min(held.expires) } else { now };
        let time = end.saturating_sub(start).as_secs_f64();
        let tokens = self.tokens + time * held.share.rate;
        self.tokens = tokens.min(self.max_tokens(held.share).max(self.tokens));
    }

    /// Returns the largest number of tokens that accumulate under a share.
    fn max_tokens(&self, share: Share) -> f64 {
        (share.rate * self.cfg.burst.as_secs_f64()).max(1.0)
    }

    /// Decays the count of arrivals, so that it approximates those of the last window.
    fn decay_arrivals(&mut self, now: Duration) {
        let start = std::mem::replace(&mut self.arrivals_updated_at, now);
        let windows = now.saturating_sub(start).as_secs_f64() / DEMAND_WINDOW.as_secs_f64();
        self.arrivals *= (-windows).exp();
    }
}
