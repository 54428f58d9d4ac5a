//! Usage limits of workspaces over the whole fleet, counted in a sliding window.
//!
//! A gate publishes and stores the usage it has handed out, so that its successor can import it. A
//! successor counts usage that it can't know of as if the limit had been used up.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{open_request::Charge, work::Ticket};
use crate::names::WorkspaceName;

/// Time after its reset in which a new gate imports the usage of earlier gates.
const IMPORT_PERIOD: Duration = Duration::from_secs(2);

/// Fraction of a window's limit that an earlier gate is assumed to have handed out after it last
/// published its usage. Usage is published at once when half of it has been handed out.
const MAX_UNPUBLISHED_FRACTION: f64 = 1.0 / 16.0;

/// Time resolution of exported usage.
const EXPORT_STEP: Duration = Duration::from_millis(250);

/// Usage limit of one workspace, in the units that requests are charged; the proxy charges tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
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

/// Usage and limits of all workspaces.
#[derive(Debug, Default)]
pub(super) struct Quotas {
    bounds: QuotaBounds,
    accounts: HashMap<WorkspaceName, Account>,
    /// Time since which all usage is known.
    usage_known_since: Duration,
    /// Time at which this gate began to decide for the whole fleet.
    reset_at: Duration,
}

impl Quotas {
    /// Replaces the limits and drops the usage of workspaces that have none.
    pub fn set_bounds(&mut self, bounds: QuotaBounds) {
        self.accounts.retain(|workspace, _| bounds.quotas.contains_key(workspace));
        self.bounds = bounds;
    }

    /// Discards all usage, since it is not known what other gates have handed out in the meantime.
    pub fn reset(&mut self, now: Duration) {
        self.accounts.clear();
        self.usage_known_since = now;
        self.reset_at = now;
    }

    /// Imports usage that an earlier gate published `age` ago.
    ///
    /// The same usage may arrive from several sources; for each workspace the largest total counts.
    /// It is accepted only for a short time after a reset, since later it repeats what is already
    /// known.
    pub fn import_usage(&mut self, now: Duration, age: Duration, stored: &[StoredUsage]) {
        if now.saturating_sub(self.reset_at) > IMPORT_PERIOD {
            return;
        }
        self.usage_known_since = now.saturating_sub(self.bounds.window + age);
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

    /// Exports the usage for a later gate and marks it as published.
    pub fn export_usage(&mut self, now: Duration) -> Vec<StoredUsage> {
        let window = self.bounds.window;
        let mut stored = Vec::new();
        for (workspace, account) in &mut self.accounts {
            account.remove_expired(now, window);
            account.unpublished = 0.0;
            let mut steps: Vec<(u64, u64)> = Vec::new();
            for entry in &account.entries {
                let ago = now.saturating_sub(entry.at).as_millis() as u64;
                let units = entry.units as u64;
                match steps.last_mut() {
                    Some((start, sum)) if *start - ago < EXPORT_STEP.as_millis() as u64 => {
                        *sum += units
                    }
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

    /// Takes the units of a request from `fraction` of the limit. The error is the time until
    /// enough units are available.
    pub fn take(&mut self, now: Duration, fraction: f64, charge: &Charge) -> Result<(), Duration> {
        let window = self.bounds.window;
        let Some(quota) = self.bounds.quotas.get(&charge.workspace) else { return Ok(()) };
        let Some(rate) = quota.rate else { return Ok(()) };
        // Usage before that time is unknown and counts as if the rate had been used up.
        let known = now.saturating_sub(self.usage_known_since);
        let known = known.min(window).as_secs_f64();
        let limit = (rate * known + quota.burst) * fraction;
        let account = self.accounts.entry(charge.workspace.clone()).or_default();
        account.remove_expired(now, window);
        let room = limit - charge.units as f64;
        if account.sum > room {
            let refill = Duration::try_from_secs_f64((account.sum - room) / rate);
            return Err(account.time_until_room(now, window, room).min(refill.unwrap_or(window)));
        }
        let entry = UsageEntry { at: now, ticket: Some(charge.ticket), units: charge.units as f64 };
        account.insert(entry);
        account.unpublished += charge.units as f64;
        Ok(())
    }

    /// Refunds the units of a request that was not sent.
    pub fn refund(&mut self, charge: &Charge) {
        if let Some(account) = self.accounts.get_mut(&charge.workspace) {
            account.remove(charge.ticket);
        }
    }
}
