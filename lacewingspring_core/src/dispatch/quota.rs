//! Limits of workspaces over the whole fleet, as token buckets.

use std::{collections::HashMap, time::Duration};

use crate::names::WorkspaceName;

/// Limit of one workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Quota {
    /// Units a second; none when the workspace has no limit.
    pub rate: Option<f64>,
    /// Units that may be taken at once beyond the rate.
    pub burst: f64,
}

#[derive(Debug)]
struct Bucket {
    quota: Quota,
    level: f64,
    filled_at: Duration,
}

impl Bucket {
    fn refill(&mut self, now: Duration, part: f64, slack: f64) {
        let passed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.filled_at = now;
        let rate = self.quota.rate.unwrap_or_default();
        let room = (self.quota.burst + slack) * part;
        self.level = (self.level + passed * rate * part).min(room);
    }
}

/// Limits of all workspaces.
#[derive(Debug, Default)]
pub(super) struct Quotas {
    buckets: HashMap<WorkspaceName, Bucket>,
    slack: f64,
}

impl Quotas {
    /// Replaces the limits; `slack` are units that each may take beyond its burst.
    pub fn set(
        &mut self,
        now: Duration,
        part: f64,
        slack: f64,
        quotas: &HashMap<WorkspaceName, Quota>,
    ) {
        self.slack = slack;
        self.buckets.retain(|workspace, _| quotas.contains_key(workspace));
        for (workspace, quota) in quotas {
            let bucket = self.buckets.entry(workspace.clone()).or_insert(Bucket {
                quota: *quota,
                level: f64::INFINITY,
                filled_at: now,
            });
            bucket.refill(now, part, slack);
            bucket.quota = *quota;
            bucket.refill(now, part, slack);
        }
    }

    /// Takes the units of a request; the error is the time until there are enough.
    pub fn take(
        &mut self,
        now: Duration,
        part: f64,
        workspace: &WorkspaceName,
        units: u64,
    ) -> Result<(), Duration> {
        let slack = self.slack;
        let Some(bucket) = self.buckets.get_mut(workspace) else { return Ok(()) };
        let Some(rate) = bucket.quota.rate else { return Ok(()) };
        bucket.refill(now, part, slack);
        let units = units as f64;
        if bucket.level >= units {
            bucket.level -= units;
            return Ok(());
        }
        let missing = (units - bucket.level) / (rate * part).max(f64::MIN_POSITIVE);
        Err(Duration::try_from_secs_f64(missing).unwrap_or(Duration::MAX))
    }
}
