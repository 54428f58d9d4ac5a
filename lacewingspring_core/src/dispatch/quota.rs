//! Limits of workspaces over the whole fleet, counted in a sliding window.
//!
//! A gate tells and stores what it gave out, so that its successor learns it. What a successor does
//! not know of the time before is taken to have been used up.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{Charge, Ticket};
use crate::names::WorkspaceName;

/// Time in which a new gate learns what was given out before.
const LEARNING: Duration = Duration::from_secs(2);

/// Part of a window's limit that is given out at most before it is told and stored.
const UNTOLD_PART: f64 = 1.0 / 16.0;

/// Length of the steps in which usage is stored.
const STEP: Duration = Duration::from_millis(250);

/// Limit of one workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Quota {
    /// Units a second; none when the workspace has no limit.
    pub rate: Option<f64>,
    /// Units beyond the rate in any window.
    pub burst: f64,
}

/// Limits of all workspaces.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaBounds {
    /// Limits by workspace.
    pub quotas: HashMap<WorkspaceName, Quota>,
    /// Window in which units are counted.
    pub window: Duration,
}

/// Units that a workspace took in steps of time, as they are stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredUsage {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Milliseconds since each step, and its units; the oldest first.
    pub steps: Vec<(u64, u64)>,
}

#[derive(Clone, Copy, Debug)]
struct Taken {
    at: Duration,
    /// Request that took it; none when it was read from the store.
    ticket: Option<Ticket>,
    units: f64,
}

/// What the requests of one workspace took.
#[derive(Debug, Default)]
struct Account {
    /// In order of time.
    taken: VecDeque<Taken>,
    /// Units of all that is in `taken`.
    sum: f64,
    /// Units that were given out and not yet told.
    untold: f64,
}

impl Account {
    fn forget(&mut self, now: Duration, window: Duration) {
        while let Some(oldest) = self.taken.front().filter(|taken| taken.at + window <= now) {
            self.sum -= oldest.units;
            self.taken.pop_front();
        }
    }

    fn insert(&mut self, taken: Taken) {
        let place = self.taken.partition_point(|other| other.at <= taken.at);
        self.sum += taken.units;
        self.taken.insert(place, taken);
    }

    fn remove(&mut self, ticket: Ticket) {
        let place = self.taken.iter().rposition(|taken| taken.ticket == Some(ticket));
        if let Some(removed) = place.and_then(|place| self.taken.remove(place)) {
            self.sum -= removed.units;
        }
    }

    /// Takes what was told, if it is more than what was told before.
    fn learn(&mut self, told: Vec<Taken>) {
        let units = |taken: &Taken| taken.units;
        let before = self.taken.iter().filter(|taken| taken.ticket.is_none());
        let before: f64 = before.map(units).sum();
        if told.iter().map(units).sum::<f64>() <= before {
            return;
        }
        self.taken.retain(|taken| taken.ticket.is_some());
        self.sum -= before;
        for taken in told {
            self.insert(taken);
        }
    }

    /// Returns the time until units were forgotten so that the sum is at most `room`.
    fn wait(&self, now: Duration, window: Duration, room: f64) -> Duration {
        let mut sum = self.sum;
        for taken in &self.taken {
            sum -= taken.units;
            if sum <= room {
                return (taken.at + window).saturating_sub(now);
            }
        }
        window
    }
}

/// Limits of all workspaces.
#[derive(Debug, Default)]
pub(super) struct Quotas {
    bounds: QuotaBounds,
    accounts: HashMap<WorkspaceName, Account>,
    /// Time from which on all usage is known.
    known_since: Duration,
    /// Time at which this gate began to decide for the fleet.
    restarted_at: Duration,
}

impl Quotas {
    /// Replaces the limits.
    pub fn set(&mut self, bounds: QuotaBounds) {
        self.accounts.retain(|workspace, _| bounds.quotas.contains_key(workspace));
        self.bounds = bounds;
    }

    /// Forgets what was taken, as it is not known what other gates have given out since.
    pub fn restart(&mut self, now: Duration) {
        self.accounts.clear();
        self.known_since = now;
        self.restarted_at = now;
    }

    /// Learns what an earlier gate gave out, `age` ago.
    ///
    /// It may come from several places; of each workspace the most that was told counts. It is
    /// heard only for a short time after the start, as later it tells what is known already.
    pub fn learn(&mut self, now: Duration, age: Duration, stored: &[StoredUsage]) {
        if now.saturating_sub(self.restarted_at) > LEARNING {
            return;
        }
        self.known_since = now.saturating_sub(self.bounds.window + age);
        for StoredUsage { workspace, steps } in stored {
            // What was not told before the end of the earlier gate is taken to have been used.
            let untold = self.window_limit(workspace) * UNTOLD_PART;
            let untold = Taken { at: now, ticket: None, units: untold };
            let told = steps.iter().map(|(ago, units)| Taken {
                at: now.saturating_sub(age + Duration::from_millis(*ago)),
                ticket: None,
                units: *units as f64,
            });
            self.accounts
                .entry(workspace.clone())
                .or_default()
                .learn(told.chain([untold]).collect());
        }
    }

    /// Returns what is to be stored for a later gate.
    pub fn given_out(&mut self, now: Duration) -> Vec<StoredUsage> {
        let window = self.bounds.window;
        let mut stored = Vec::new();
        for (workspace, account) in &mut self.accounts {
            account.forget(now, window);
            account.untold = 0.0;
            let mut steps: Vec<(u64, u64)> = Vec::new();
            for taken in &account.taken {
                let ago = now.saturating_sub(taken.at).as_millis() as u64;
                let units = taken.units as u64;
                match steps.last_mut() {
                    Some((start, sum)) if *start - ago < STEP.as_millis() as u64 => *sum += units,
                    _ => steps.push((ago, units)),
                }
            }
            if !steps.is_empty() {
                stored.push(StoredUsage { workspace: workspace.clone(), steps });
            }
        }
        stored.sort_by(|a, b| a.workspace.cmp(&b.workspace));
        stored
    }

    /// Returns whether so much was given out that it is to be told at once.
    pub fn must_tell(&self) -> bool {
        self.accounts.iter().any(|(workspace, account)| {
            account.untold > self.window_limit(workspace) * UNTOLD_PART / 2.0
        })
    }

    /// Returns the units that a workspace may take in a whole window; none without a limit.
    fn window_limit(&self, workspace: &WorkspaceName) -> f64 {
        let Some(quota) = self.bounds.quotas.get(workspace) else { return 0.0 };
        quota.rate.map_or(0.0, |rate| rate * self.bounds.window.as_secs_f64() + quota.burst)
    }

    /// Takes the units of a request; the error is the time until there are enough.
    pub fn take(&mut self, now: Duration, part: f64, charge: &Charge) -> Result<(), Duration> {
        let window = self.bounds.window;
        let Some(quota) = self.bounds.quotas.get(&charge.workspace) else { return Ok(()) };
        let Some(rate) = quota.rate else { return Ok(()) };
        let known = now.saturating_sub(self.known_since);
        let known = known.min(window).as_secs_f64();
        let limit = (rate * known + quota.burst) * part;
        let account = self.accounts.entry(charge.workspace.clone()).or_default();
        account.forget(now, window);
        let room = limit - charge.units as f64;
        if account.sum > room {
            let refill = Duration::try_from_secs_f64((account.sum - room) / rate);
            return Err(account.wait(now, window, room).min(refill.unwrap_or(window)));
        }
        let taken = Taken { at: now, ticket: Some(charge.ticket), units: charge.units as f64 };
        account.insert(taken);
        account.untold += charge.units as f64;
        Ok(())
    }

    /// Gives back the units of a request that was not sent.
    pub fn give_back(&mut self, charge: &Charge) {
        if let Some(account) = self.accounts.get_mut(&charge.workspace) {
            account.remove(charge.ticket);
        }
    }
}
