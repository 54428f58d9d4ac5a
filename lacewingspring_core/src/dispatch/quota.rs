//! Usage limits of workspaces over the whole fleet, counted in a sliding window.
//!
//! A gate publishes and stores the usage it has handed out, so that its successor can import it. A
//! successor counts usage that it can't know of as if the limit had been used up.
//!
//! Two gates may hand out one limit at the same time ([`FleetShare`]). That of a majority hands out
//! its part at most, in which all that it knows to be used counts. That of a minority hands out its
//! part at most, and no more than is left of the whole.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{fleet_share::FleetShare, open_request::Charge, work::Ticket};
use crate::names::WorkspaceName;

/// Time after its reset in which a new gate imports the usage of earlier gates.
const IMPORT_PERIOD: Duration = Duration::from_secs(2);

/// Fraction of a window's limit that an earlier gate is assumed to have handed out after it last
/// published its usage. Usage is published at once when half of it has been handed out.
const MAX_UNPUBLISHED_FRACTION: f64 = 1.0 / 16.0;

/// Age up to which imported usage lacks no more than [`MAX_UNPUBLISHED_FRACTION`]: the longest
/// interval at which a gate publishes its usage, and the time of the message.
const MAX_FRESH_AGE: Duration = Duration::from_millis(1_500);

/// Time resolution of exported usage.
const EXPORT_STEP: Duration = Duration::from_millis(250);

/// Usage limit of one workspace, in the units that requests are charged; the proxy charges tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Units per second; `None` if the workspace has no limit.
    pub rate: Option<f64>,
    /// Units allowed in any window in addition to the rate.
    pub burst: f64,
}

/// Usage limits of all workspaces.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaBounds {
    /// Limits by workspace.
    pub quotas: HashMap<WorkspaceName, Quota>,
    /// Length of the sliding window in which units are counted.
    pub window: Duration,
}

/// Usage of one workspace in time steps, as it is published and stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredUsage {
    /// Workspace that used the units.
    pub workspace: WorkspaceName,
    /// Age of each step in milliseconds, and its units; the oldest step first.
    pub steps: Vec<(u64, u64)>,
}

#[derive(Clone, Copy, Debug)]
struct UsageEntry {
    at: Duration,
    /// Request that took the units; `None` if the entry was imported.
    ticket: Option<Ticket>,
    units: f64,
}

/// Usage of one workspace.
#[derive(Debug, Default)]
struct Account {
    /// Entries in the order of their time.
    entries: VecDeque<UsageEntry>,
    /// Sum of the units of all entries.
    sum: f64,
    /// Units that were handed out and not yet published.
    unpublished: f64,
}

impl Account {
    fn remove_expired(&mut self, now: Duration, window: Duration) {
        while let Some(oldest) = self.entries.front().filter(|entry| entry.at + window <= now) {
            self.sum -= oldest.units;
            self.entries.pop_front();
        }
    }

    fn insert(&mut self, entry: UsageEntry) {
        let index = self.entries.partition_point(|other| other.at <= entry.at);
        self.sum += entry.units;
        self.entries.insert(index, entry);
    }

    /// Discards all units but those that were handed out here since a time.
    fn retain_handed_out_since(&mut self, since: Duration) {
        self.entries.retain(|entry| entry.ticket.is_some() && entry.at >= since);
        self.sum = self.entries.iter().map(|entry| entry.units).sum();
    }

    /// Returns the units that were handed out here since a time.
    fn handed_out_since(&self, since: Duration) -> f64 {
        let recent = self.entries.iter().rev().take_while(|entry| entry.at >= since);
        recent.filter(|entry| entry.ticket.is_some()).map(|entry| entry.units).sum()
    }

    fn remove(&mut self, ticket: Ticket) {
        let index = self.entries.iter().rposition(|entry| entry.ticket == Some(ticket));
        if let Some(removed) = index.and_then(|index| self.entries.remove(index)) {
            self.sum -= removed.units;
        }
    }

    /// Replaces the imported entries if the new ones have more units in total.
    fn import(&mut self, imported: Vec<UsageEntry>) {
        let units = |entry: &UsageEntry| entry.units;
        let before = self.entries.iter().filter(|entry| entry.ticket.is_none());
        let before: f64 = before.map(units).sum();
        if imported.iter().map(units).sum::<f64>() <= before {
            return;
        }
        self.entries.retain(|entry| entry.ticket.is_some());
        self.sum -= before;
        for entry in imported {
            self.insert(entry);
        }
    }

    /// Returns the time until enough entries have left the window for the sum to be at most `room`.
    fn time_until_room(&self, now: Duration, window: Duration, room: f64) -> Duration {
        let mut sum = self.sum;
        for entry in &self.entries {
            sum -= entry.units;
            if sum <= room {
                return (entry.at + window).saturating_sub(now);
            }
        }
        window
    }
}

/// Part of the limits that may be handed out here.
#[derive(Clone, Copy, Debug)]
enum LimitPart {
    /// This fraction, in which all that is known to be used counts.
    Majority(f64),
    /// This fraction of what is handed out since a time, if the whole limit has that much left.
    Minority { fraction: f64, since: Duration },
}

/// Usage and limits of all workspaces.
#[derive(Debug)]
pub(super) struct Quotas {
    bounds: QuotaBounds,
    accounts: HashMap<WorkspaceName, Account>,
    part: LimitPart,
    /// Time since which all usage is known, but for that between `known_until` and `began_at`.
    known_since: Duration,
    /// Time until which imported usage is known; `None` if none was imported.
    known_until: Option<Duration>,
    /// Time at which this gate began to decide for its part of the fleet.
    began_at: Duration,
}

impl Default for Quotas {
    fn default() -> Self {
        Self {
            bounds: QuotaBounds::default(),
            accounts: HashMap::new(),
            part: LimitPart::Majority(0.0),
            known_since: Duration::ZERO,
            known_until: None,
            began_at: Duration::ZERO,
        }
    }
}

impl Quotas {
    /// Replaces the limits and drops the usage of workspaces that have none.
    pub fn set_bounds(&mut self, bounds: QuotaBounds) {
        self.accounts.retain(|workspace, _| bounds.quotas.contains_key(workspace));
        self.bounds = bounds;
    }

    /// Replaces the limit of one workspace; returns whether it was another one.
    pub fn set_quota(&mut self, workspace: &WorkspaceName, quota: Quota) -> bool {
        self.bounds.quotas.insert(workspace.clone(), quota) != Some(quota)
    }

    /// Returns the declared limits.
    pub fn declared(&self) -> &HashMap<WorkspaceName, Quota> {
        &self.bounds.quotas
    }

    /// Returns the length of the sliding window.
    pub fn window(&self) -> Duration {
        self.bounds.window
    }

    /// Sets the part of the limits that may be handed out here. What was handed out since the
    /// majority was last linked, at `majority_at`, counts to the part of a minority.
    pub fn set_share(&mut self, share: FleetShare, majority_at: Duration) {
        let fraction = share.limits;
        self.part = match self.part {
            _ if share.is_majority() => LimitPart::Majority(fraction),
            LimitPart::Minority { since, .. } => LimitPart::Minority { fraction, since },
            LimitPart::Majority(_) => LimitPart::Minority { fraction, since: majority_at },
        };
    }

    /// Begins to count for a larger part of the fleet, for which another gate may have handed out
    /// limits until now. What was counted or imported long ago is discarded, except for what only
    /// this gate can know: what it handed out to a minority.
    pub fn begin(&mut self, now: Duration) {
        if now.saturating_sub(self.began_at) > IMPORT_PERIOD {
            let own_since = match self.part {
                LimitPart::Minority { since, .. } => since,
                LimitPart::Majority(_) => now,
            };
            for account in self.accounts.values_mut() {
                account.retain_handed_out_since(own_since);
            }
            self.known_until = None;
        }
        if self.known_until.is_none() {
            self.known_since = now;
        }
        self.began_at = now;
    }

    /// Imports usage that an earlier gate published `age` ago.
    ///
    /// The same usage may arrive from several sources; for each workspace the largest total counts.
    /// It is accepted only for a short time after the begin, since later it repeats what is already
    /// known. Usage from before the window says nothing.
    pub fn import_usage(&mut self, now: Duration, age: Duration, stored: &[StoredUsage]) {
        let is_too_late = now.saturating_sub(self.began_at) > IMPORT_PERIOD;
        // Before the first configuration the window is not known.
        if is_too_late || age >= self.bounds.window.max(MAX_FRESH_AGE) {
            return;
        }
        self.known_since = Duration::ZERO;
        self.known_until = self.known_until.max(Some(now.saturating_sub(age)));
        for StoredUsage { workspace, steps } in stored {
            // The earlier gate may have handed out this much after it last published its usage.
            let unpublished = self.window_limit(workspace) * MAX_UNPUBLISHED_FRACTION;
            let unpublished = UsageEntry { at: now, ticket: None, units: unpublished };
            let imported = steps.iter().map(|(ago, units)| UsageEntry {
                at: now.saturating_sub(age + Duration::from_millis(*ago)),
                ticket: None,
                units: *units as f64,
            });
            self.accounts
                .entry(workspace.clone())
                .or_default()
                .import(imported.chain([unpublished]).collect());
        }
    }

    /// Returns the part of the window that ends at `now` of which the usage is known.
    fn known_time(&self, now: Duration) -> Duration {
        let window = self.bounds.window;
        let start = now.saturating_sub(window).max(self.known_since);
        let imported_until = self.known_until.unwrap_or(self.began_at);
        let is_fresh = self.began_at.saturating_sub(imported_until) <= MAX_FRESH_AGE;
        let unknown_from = if is_fresh { self.began_at } else { imported_until.max(start) };
        let unknown = self.began_at.saturating_sub(unknown_from);
        now.saturating_sub(start).min(window).saturating_sub(unknown)
    }

    /// Exports the usage for a later gate and marks it as published.
    pub fn export_usage(&mut self, now: Duration) -> Vec<StoredUsage> {
        let window = self.bounds.window;
        let mut stored = Vec::new();
        for (workspace, account) in &mut self.accounts {
            account.remove_expired(now, window);
            account.unpublished = 0.0;
            let mut steps: Vec<(u64, u64)> = Vec::new();
            let mut step_began = Duration::ZERO;
            for entry in &account.entries {
                let ago = now.saturating_sub(entry.at).as_millis() as u64;
                let units = entry.units as u64;
                match steps.last_mut() {
                    // A step is as old as its newest entry, so that none leaves the window early.
                    Some(step) if entry.at - step_began < EXPORT_STEP => {
                        *step = (ago, step.1 + units);
                    }
                    _ => {
                        step_began = entry.at;
                        steps.push((ago, units));
                    }
                }
            }
            if !steps.is_empty() {
                stored.push(StoredUsage { workspace: workspace.clone(), steps });
            }
        }
        stored.sort_by(|a, b| a.workspace.cmp(&b.workspace));
        stored
    }

    /// Returns whether so much usage is unpublished that it must be published at once.
    pub fn must_publish(&self) -> bool {
        self.accounts.iter().any(|(workspace, account)| {
            account.unpublished > self.window_limit(workspace) * MAX_UNPUBLISHED_FRACTION / 2.0
        })
    }

    /// Returns the units that a workspace may take in a whole window; 0 if it has no limit.
    fn window_limit(&self, workspace: &WorkspaceName) -> f64 {
        let Some(quota) = self.bounds.quotas.get(workspace) else { return 0.0 };
        quota.rate.map_or(0.0, |rate| rate * self.bounds.window.as_secs_f64() + quota.burst)
    }

    /// Takes the units of a request from the limit. The error is the time until enough units are
    /// available.
    pub fn take(&mut self, now: Duration, charge: &Charge) -> Result<(), Duration> {
        if let Some(account) = self.account_with_room(now, charge)? {
            let units = charge.units as f64;
            account.insert(UsageEntry { at: now, ticket: Some(charge.ticket), units });
            account.unpublished += units;
        }
        Ok(())
    }

    /// Returns whether the limit has too few units left for a request.
    pub fn is_exceeded_by(&mut self, now: Duration, charge: &Charge) -> bool {
        self.account_with_room(now, charge).is_err()
    }

    /// Returns the account that the units of a request are taken from; `None` if its workspace has
    /// no limit. The error is the time until enough units are available.
    fn account_with_room(
        &mut self,
        now: Duration,
        charge: &Charge,
    ) -> Result<Option<&mut Account>, Duration> {
        let window = self.bounds.window;
        let known = self.known_time(now).as_secs_f64();
        let Some(quota) = self.bounds.quotas.get(&charge.workspace) else { return Ok(None) };
        let Some(rate) = quota.rate else { return Ok(None) };
        let whole = rate * window.as_secs_f64() + quota.burst;
        // Usage that is not known counts as if the rate had been used up.
        let known_limit = rate * known + quota.burst;
        let units = charge.units as f64;
        let account = self.accounts.entry(charge.workspace.clone()).or_default();
        account.remove_expired(now, window);
        let (reserved, excess_here) = match self.part {
            LimitPart::Majority(fraction) => (whole * (1.0 - fraction), 0.0),
            LimitPart::Minority { fraction, since } => {
                // Other instances that know as little hand out their parts, too.
                let part = whole * fraction * known / window.as_secs_f64();
                (0.0, account.handed_out_since(since) + units - part)
            }
        };
        let room = known_limit - reserved - units;
        if account.sum > room || excess_here > 0.0 {
            let excess = (account.sum - room).max(excess_here);
            let refill = Duration::try_from_secs_f64(excess / rate).unwrap_or(window);
            return Err(account.time_until_room(now, window, account.sum - excess).min(refill));
        }
        Ok(Some(account))
    }

    /// Refunds the units of a request that was not sent.
    pub fn refund(&mut self, charge: &Charge) {
        if let Some(account) = self.accounts.get_mut(&charge.workspace) {
            account.remove(charge.ticket);
        }
    }
}
