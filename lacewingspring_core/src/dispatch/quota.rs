//! Limits of workspaces over the whole fleet, counted in a sliding window.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::names::{InstanceName, WorkspaceName};

/// Limit of one workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Quota {
    /// Units a second; none when the workspace has no limit.
    pub rate: Option<f64>,
    /// Units beyond the rate in any window.
    pub burst: f64,
}

/// Bounds that hold for the limits of all workspaces.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Limits by workspace.
    pub quotas: HashMap<WorkspaceName, Quota>,
    /// Window in which units are counted.
    pub window: Duration,
    /// Units in a window that each workspace may take beyond its limit.
    pub slack: f64,
}

impl Default for QuotaBounds {
    fn default() -> Self {
        Self { quotas: HashMap::new(), window: Duration::from_secs(1), slack: 0.0 }
    }
}

/// Units that an instance's requests took.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Workspace of the request.
    pub workspace: WorkspaceName,
    /// Time since then.
    pub ago: Duration,
    /// Units.
    pub units: u64,
}

#[derive(Debug)]
struct Taken {
    at: Duration,
    instance: InstanceName,
    units: u64,
}

/// Units that were taken, by workspace.
#[derive(Debug, Default)]
pub(super) struct Quotas {
    bounds: QuotaBounds,
    taken: HashMap<WorkspaceName, VecDeque<Taken>>,
    /// Time from which on all usage is known; none while no instance has told it.
    known_since: Option<Duration>,
}

impl Quotas {
    /// Replaces the limits.
    pub fn set(&mut self, bounds: QuotaBounds) {
        self.taken.retain(|workspace, _| bounds.quotas.contains_key(workspace));
        self.bounds = bounds;
    }

    /// Replaces what is known of an instance's usage by what it tells itself.
    ///
    /// It remembers what happened within `uptime`. When all instances were restarted, what was
    /// taken before is unknown, and the rate is given out only for the time that is known.
    pub fn replace(
        &mut self,
        now: Duration,
        instance: &InstanceName,
        uptime: Duration,
        usage: Vec<Usage>,
    ) {
        let since = now.saturating_sub(uptime);
        self.known_since = Some(self.known_since.map_or(since, |known| known.min(since)));
        for taken in self.taken.values_mut() {
            taken.retain(|entry| entry.instance != *instance);
        }
        for Usage { workspace, ago, units } in usage {
            let taken = self.taken.entry(workspace).or_default();
            let at = now.saturating_sub(ago);
            let place = taken.partition_point(|entry| entry.at <= at);
            taken.insert(place, Taken { at, instance: instance.clone(), units });
        }
    }

    /// Takes the units of a request; the error is the time until there are enough.
    pub fn take(
        &mut self,
        now: Duration,
        part: f64,
        instance: &InstanceName,
        workspace: &WorkspaceName,
        units: u64,
    ) -> Result<(), Duration> {
        let window = self.bounds.window;
        let Some(quota) = self.bounds.quotas.get(workspace) else { return Ok(()) };
        let Some(rate) = quota.rate else { return Ok(()) };
        let known = now.saturating_sub(self.known_since.unwrap_or(now)).min(window);
        let limit = rate * known.as_secs_f64() + quota.burst + self.bounds.slack;
        let room = limit * part - units as f64;
        let taken = self.taken.entry(workspace.clone()).or_default();
        while taken.front().is_some_and(|entry| now.saturating_sub(entry.at) >= window) {
            taken.pop_front();
        }
        let mut sum: f64 = taken.iter().map(|entry| entry.units as f64).sum();
        if sum <= room {
            taken.push_back(Taken { at: now, instance: instance.clone(), units });
            return Ok(());
        }
        for entry in taken.iter() {
            sum -= entry.units as f64;
            if sum <= room {
                return Err((entry.at + window).saturating_sub(now));
            }
        }
        Err(window)
    }
}
