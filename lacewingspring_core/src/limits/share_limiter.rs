//! An instance's side of the limits of one workspace.

use std::time::Duration;

use super::{Demand, Share, ShareConfig};

/// Time over which the demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// Longest time after which a refused caller is told to come back.
const LONGEST_WAIT: Duration = Duration::from_secs(5);

/// Whether a request is within the limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is counted until `release` is called.
    Admitted,
    /// The workspace is at its limit.
    LimitReached {
        /// Time after which there may be room.
        retry_after: Duration,
    },
}

/// A share with the time at which it runs out.
#[derive(Clone, Copy, Debug)]
struct Held {
    share: Share,
    expires: Duration,
}

/// Question on its way to the home.
#[derive(Clone, Copy, Debug)]
struct Asked {
    ask: u64,
    at: Duration,
}

/// Use of the limits of one workspace at one instance.
#[derive(Debug)]
pub struct ShareLimiter {
    cfg: ShareConfig,
    held: Option<Held>,
    asks: Vec<Asked>,
    asked: u64,
    last_asked: Option<Duration>,
    starved: bool,
    reduced: bool,
    tokens: f64,
    filled_at: Duration,
    in_use: u32,
    refused: u32,
    arrivals: f64,
    averaged_at: Duration,
}

impl ShareLimiter {
    /// Creates the use of a workspace that no request has come from yet.
    pub fn new(cfg: ShareConfig, now: Duration) -> Self {
        Self {
            cfg,
            held: None,
            asks: Vec::new(),
            asked: 0,
            last_asked: None,
            starved: false,
            reduced: false,
            tokens: 1.0,
            filled_at: now,
            in_use: 0,
            refused: 0,
            arrivals: 0.0,
            averaged_at: now,
        }
    }

    /// Counts a request if it is within the share.
    pub fn admit(&mut self, now: Duration) -> Admission {
        self.average(now);
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
            let wait = wait.min(LONGEST_WAIT.as_secs_f64());
            return self.refuse(Duration::from_secs_f64(wait));
        }
        self.tokens -= 1.0;
        self.in_use += 1;
        Admission::Admitted
    }

    /// Ends a request that was admitted.
    pub fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Returns the question for the home when one is due.
    pub fn poll_demand(&mut self, now: Duration) -> Option<Demand> {
        if !self.is_due(now) {
            return None;
        }
        self.average(now);
        self.asked += 1;
        self.last_asked = Some(now);
        self.starved = false;
        self.reduced = false;
        let limit = self.cfg.valid_for;
        self.asks.retain(|asked| now.saturating_sub(asked.at) < limit);
        self.asks.push(Asked { ask: self.asked, at: now });
        let refused = std::mem::take(&mut self.refused);
        Some(Demand {
            ask: self.asked,
            rate: self.arrivals / DEMAND_WINDOW.as_secs_f64(),
            concurrency: self.in_use + refused,
            in_use: self.in_use,
            held: self.share(now),
        })
    }

    /// Takes the home's answer.
    pub fn apply_share(&mut self, now: Duration, share: Share) {
        let Some(asked) = self.asks.iter().find(|asked| asked.ask == share.ask) else { return };
        let expires = asked.at + share.valid_for;
        self.refill(now);
        self.asks.retain(|asked| asked.ask > share.ask);
        let old = self.held.map(|held| held.share);
        self.reduced =
            old.is_some_and(|old| old.rate > share.rate || old.concurrency > share.concurrency);
        self.held = Some(Held { share, expires });
        self.tokens = self.tokens.min(self.depth(share));
    }

    /// Reports what is held to a new home; answers of earlier homes are taken no more.
    pub fn report(&mut self, now: Duration) -> Demand {
        self.average(now);
        self.asks.clear();
        Demand {
            ask: self.asked,
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

    /// Counts a request that waits for a larger share, so that the home is asked soon.
    pub fn count_waiting(&mut self, now: Duration) {
        self.average(now);
        self.arrivals += 1.0;
        self.refused = self.refused.saturating_add(1);
        self.starved = true;
    }

    /// Asks the home soon, since the members have changed.
    pub fn renew_soon(&mut self) {
        self.starved = true;
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
        self.starved = true;
        Admission::LimitReached { retry_after }
    }

    /// Whether it is time to ask; a smaller share is confirmed at once, to free the difference.
    fn is_due(&self, now: Duration) -> bool {
        let Some(last) = self.last_asked else { return true };
        let soon = self.starved || self.reduced;
        let pause = if soon { self.cfg.ask_again_after } else { self.cfg.renew_after };
        now.saturating_sub(last) >= pause
    }

    fn refill(&mut self, now: Duration) {
        let start = std::mem::replace(&mut self.filled_at, now);
        let Some(held) = self.held else { return };
        let end = if self.cfg.policy.expire { now.min(held.expires) } else { now };
        let time = end.saturating_sub(start).as_secs_f64();
        let tokens = self.tokens + time * held.share.rate;
        self.tokens = tokens.min(self.depth(held.share).max(self.tokens));
    }

    /// Tokens that may be saved up.
    fn depth(&self, share: Share) -> f64 {
        (share.rate * self.cfg.burst.as_secs_f64()).max(1.0)
    }

    /// Lets the count of arrivals decay, so that it is that of about the last window.
    fn average(&mut self, now: Duration) {
        let start = std::mem::replace(&mut self.averaged_at, now);
        let windows = now.saturating_sub(start).as_secs_f64() / DEMAND_WINDOW.as_secs_f64();
        self.arrivals *= (-windows).exp();
    }
}
