//! Shares of the workspaces in the upstream time of one service.
//!
//! Upstream time is the time for which requests hold slots: predicted at the grant, corrected at
//! the end. Among requests of one class and size band, the next slot goes to the workspace that
//! has used the least of it relative to its weight, and the one that is the furthest above its
//! share is refused first. What was used decays, and is not handed over to another gate.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::{
    quota::Quota,
    work::{End, Ticket},
};
use crate::names::WorkspaceName;

/// Time constant of the exponential decay of used upstream time: a few times as long as a request,
/// so that the use of a single one matters little, and shorter than a burst of some seconds.
const USE_DECAY_TIME: Duration = Duration::from_secs(4);

/// Time for which a workspace that has nothing waiting keeps what it leaves unused: it may use so
/// much of its share in advance of others when it returns.
const MAX_CREDIT: Duration = Duration::from_secs(1);

/// Time after which the unit of used time is renewed. It grows by a factor of e in each decay time.
const EPOCH_LENGTH: Duration = Duration::from_secs(60 * USE_DECAY_TIME.as_secs());

/// Smallest weight as a fraction of the mean, so that a workspace with a quota of next to nothing
/// gets slots within its quota.
const MIN_WEIGHT_FRACTION: f64 = 0.001;

/// Weight of each workspace while none has a quota.
const EQUAL_WEIGHT: f64 = 1.0;

/// Weights of the workspaces, which are their declared rates, and whether a setting asks for
/// shares.
#[derive(Clone, Debug)]
pub(super) struct ShareConfig {
    is_enabled: bool,
    declared: HashMap<WorkspaceName, Quota>,
    mean_rate: f64,
}

impl Default for ShareConfig {
    fn default() -> Self {
        Self { is_enabled: false, declared: HashMap::new(), mean_rate: EQUAL_WEIGHT }
    }
}

impl ShareConfig {
    /// Returns the same weights, with shares for all services, also those whose upstreams do not
    /// report a pace.
    pub fn with_shares_enabled(&self) -> Self {
        Self { is_enabled: true, ..self.clone() }
    }

    /// Returns the weights by these quotas.
    pub fn with_quotas(&self, declared: &HashMap<WorkspaceName, Quota>) -> Self {
        let rates = declared.values().filter_map(|quota| quota.rate);
        let (sum, count) = rates.fold((0.0, 0_u32), |(sum, count), rate| (sum + rate, count + 1));
        let mean_rate = if sum > 0.0 { sum / f64::from(count) } else { EQUAL_WEIGHT };
        Self { is_enabled: self.is_enabled, declared: declared.clone(), mean_rate }
    }

    /// Returns the weight of a workspace, or of the requests without one.
    fn weight(&self, workspace: Option<&WorkspaceName>) -> f64 {
        let quota = workspace.and_then(|workspace| self.declared.get(workspace));
        let rate = quota.and_then(|quota| quota.rate).unwrap_or(self.mean_rate);
        rate.max(self.mean_rate * MIN_WEIGHT_FRACTION)
    }
}

/// Identifies the account of a workspace in one service, or that of the requests without one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AccountId(usize);

/// What one workspace has used of a service.
#[derive(Debug)]
struct Account {
    workspace: Option<WorkspaceName>,
    weight: f64,
    /// Used upstream time in seconds, as of the epoch, with what is predicted of running requests.
    used: f64,
    /// Part of it that is predicted.
    predicted: f64,
    /// Credit that was withdrawn, as used time for each unit of weight, as of the epoch.
    withdrawn: f64,
    /// Requests that wait.
    waiting: usize,
    /// Requests that hold a slot.
    running: usize,
    /// Upstream time of all runs that ended.
    granted: Duration,
}

impl Account {
    /// Returns used time for each unit of weight; the lowest is served next.
    fn level(&self) -> f64 {
        self.used / self.weight + self.withdrawn
    }

    /// As [`Self::level`], without what is only predicted and may be taken back.
    fn settled_level(&self) -> f64 {
        (self.used - self.predicted) / self.weight + self.withdrawn
    }

    fn has_open_requests(&self) -> bool {
        self.waiting > 0 || self.running > 0
    }
}

/// Upstream time that a workspace was charged for a run.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlotCharge {
    account: AccountId,
    granted_at: Duration,
    predicted: Duration,
}

/// How much a workspace used compared with its share, when one of its requests was refused.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareUse {
    /// The workspace; `None` for requests without one.
    pub workspace: Option<WorkspaceName>,
    /// Fraction of the recently used upstream time of the workspaces with open requests.
    pub used: f64,
    /// Fraction of the weights of these workspaces.
    pub share: f64,
    /// Requests of the workspace that still wait.
    pub waiting: usize,
}

impl ShareUse {
    /// Returns whether the workspace used more than its share.
    pub fn is_above(&self) -> bool {
        self.used > self.share
    }
}

/// Accounts of the workspaces that send requests to one service.
#[derive(Debug, Default)]
pub(super) struct WorkspaceShares {
    config: Arc<ShareConfig>,
    /// Whether an upstream of the service reports its load with a pace.
    is_reported: bool,
    accounts: Vec<Account>,
    /// Level of each account, so that a comparison of all reads little memory.
    levels: Vec<f64>,
    ids: HashMap<Option<WorkspaceName>, AccountId>,
    /// Accounts of workspaces that are no longer declared.
    free: Vec<AccountId>,
    /// Time to which used time is scaled: time used then has the factor 1.
    epoch: Duration,
}

impl WorkspaceShares {
    /// Creates the accounts of a service.
    pub fn new(config: Arc<ShareConfig>) -> Self {
        Self { config, ..Self::default() }
    }

    /// Returns whether shares are kept.
    pub fn are_active(&self) -> bool {
        self.is_reported || self.config.is_enabled
    }

    /// Sets whether an upstream reports a pace.
    pub fn set_reported(&mut self, is_reported: bool) {
        self.is_reported = is_reported;
    }

    /// Replaces the weights, also those of workspaces that wait, and removes the accounts of
    /// workspaces that are no longer declared.
    pub fn set_config(&mut self, config: Arc<ShareConfig>) {
        for account in &mut self.accounts {
            account.weight = config.weight(account.workspace.as_ref());
        }
        let Self { accounts, ids, free, .. } = self;
        ids.retain(|workspace, id| {
            let is_declared =
                workspace.as_ref().is_none_or(|name| config.declared.contains_key(name));
            let is_kept = is_declared || accounts[id.0].has_open_requests();
            if !is_kept {
                free.push(*id);
            }
            is_kept
        });
        self.config = config;
        self.update_levels();
    }

    /// Returns the account of a workspace; `None` if no shares are kept.
    pub fn account(&mut self, workspace: Option<&WorkspaceName>) -> Option<AccountId> {
        if !self.are_active() {
            return None;
        }
        let workspace = workspace.cloned();
        if let Some(id) = self.ids.get(&workspace) {
            return Some(*id);
        }
        let account = Account {
            workspace: workspace.clone(),
            weight: self.config.weight(workspace.as_ref()),
            used: 0.0,
            predicted: 0.0,
            withdrawn: 0.0,
            waiting: 0,
            running: 0,
            granted: Duration::ZERO,
        };
        let id = self.free.pop().unwrap_or(AccountId(self.accounts.len()));
        match self.accounts.get_mut(id.0) {
            Some(free) => *free = account,
            None => self.accounts.push(account),
        }
        self.levels.resize(self.accounts.len(), 0.0);
        self.update_level(id);
        self.ids.insert(workspace, id);
        Some(id)
    }

    fn get(&self, id: Option<AccountId>) -> Option<&Account> {
        self.accounts.get(id?.0)
    }

    fn get_mut(&mut self, id: Option<AccountId>) -> Option<&mut Account> {
        self.accounts.get_mut(id?.0)
    }

    /// Returns the level by which workspaces are compared: the lowest is served next.
    pub fn level(&self, id: Option<AccountId>) -> f64 {
        id.and_then(|id| self.levels.get(id.0)).copied().unwrap_or_default()
    }

    /// Updates the level of an account after a change.
    fn update_level(&mut self, id: AccountId) {
        let level = self.accounts.get(id.0).map(Account::level);
        if let (Some(level), Some(stored)) = (level, self.levels.get_mut(id.0)) {
            *stored = level;
        }
    }

    fn update_levels(&mut self) {
        self.levels.clear();
        self.levels.extend(self.accounts.iter().map(Account::level));
    }

    /// Returns what a run that is granted now adds to used time, if it takes `service_time`.
    pub fn run_time(&self, now: Duration, service_time: Duration) -> f64 {
        service_time.as_secs_f64() * self.scale_at(now)
    }

    /// As [`Self::level`], as if all that waits had been granted slots and added `run_time` each:
    /// the workspace with the highest has the request that would be served last.
    pub fn level_when_served(&self, id: Option<AccountId>, run_time: f64) -> f64 {
        let Some(account) = self.get(id) else { return 0.0 };
        self.level(id) + account.waiting as f64 * run_time / account.weight
    }

    /// Counts a request that begins to wait.
    ///
    /// A workspace that had none waiting keeps no more credit than [`MAX_CREDIT`] against the
    /// others that wait.
    pub fn begin_wait(&mut self, id: Option<AccountId>) {
        if self.get(id).is_some_and(|account| account.waiting == 0) {
            self.withdraw_credit(id);
        }
        if let Some(account) = self.get_mut(id) {
            account.waiting += 1;
        }
    }

    fn withdraw_credit(&mut self, id: Option<AccountId>) {
        let waiting = self.accounts.iter().filter(|account| account.waiting > 0);
        let Some(lowest) = waiting.map(Account::settled_level).min_by(f64::total_cmp) else {
            return;
        };
        let kept = 1.0 - MAX_CREDIT.as_secs_f64() / USE_DECAY_TIME.as_secs_f64();
        if let Some(account) = self.get_mut(id) {
            account.withdrawn += (lowest * kept - account.level()).max(0.0);
        }
        id.into_iter().for_each(|id| self.update_level(id));
    }

    /// Counts a request that no longer waits.
    pub fn end_wait(&mut self, id: Option<AccountId>) {
        if let Some(account) = self.get_mut(id) {
            account.waiting = account.waiting.saturating_sub(1);
        }
    }

    /// Charges a run that is expected to hold its slot for so long.
    pub fn charge(
        &mut self,
        now: Duration,
        id: Option<AccountId>,
        predicted: Duration,
    ) -> Option<SlotCharge> {
        self.renew_epoch(now);
        let time = self.time_as_of_epoch(now, predicted);
        let account = self.get_mut(id)?;
        account.used += time;
        account.predicted += time;
        account.running += 1;
        self.update_level(id?);
        Some(SlotCharge { account: id?, granted_at: now, predicted })
    }

    /// Replaces the predicted time of a run by the time for which it held its slot; that is none
    /// if it did not run.
    pub fn correct(&mut self, now: Duration, charge: SlotCharge, end: End) {
        let held = match end {
            End::Finished { .. } | End::Failed | End::Broken | End::Cancelled => {
                now.saturating_sub(charge.granted_at)
            }
            End::Declined | End::Unreachable | End::Misdirected | End::Leaving | End::Unused => {
                Duration::ZERO
            }
        };
        let predicted = self.time_as_of_epoch(charge.granted_at, charge.predicted);
        let used = self.time_as_of_epoch(charge.granted_at, held);
        let Some(account) = self.get_mut(Some(charge.account)) else { return };
        account.used = (account.used + used - predicted).max(0.0);
        account.predicted = (account.predicted - predicted).max(0.0);
        account.running = account.running.saturating_sub(1);
        account.granted += held;
        self.update_level(charge.account);
    }

    /// Returns the factor by which time used at `at` counts as of the epoch. It grows with `at`
    /// instead of all earlier use shrinking, so that nothing is updated as time passes.
    fn scale_at(&self, at: Duration) -> f64 {
        ((at.as_secs_f64() - self.epoch.as_secs_f64()) / USE_DECAY_TIME.as_secs_f64()).exp()
    }

    /// Returns a time for which a slot is held from `begin` on, as of the epoch.
    ///
    /// It counts as used in its middle, so that long runs weigh as much as several short ones one
    /// after the other; one longer than the decay time counts as used at half of that.
    fn time_as_of_epoch(&self, begin: Duration, held: Duration) -> f64 {
        held.as_secs_f64() * self.scale_at(begin + held.min(USE_DECAY_TIME) / 2)
    }

    /// Begins another epoch before the unit of used time becomes too large a number.
    fn renew_epoch(&mut self, now: Duration) {
        if now.saturating_sub(self.epoch) < EPOCH_LENGTH {
            return;
        }
        let scale = self.scale_at(now);
        for account in &mut self.accounts {
            account.used /= scale;
            account.predicted /= scale;
            account.withdrawn /= scale;
        }
        self.epoch = now;
        self.update_levels();
    }

    /// Returns how much a workspace used compared with its share.
    pub fn share_use(&self, id: Option<AccountId>) -> Option<ShareUse> {
        let account = self.get(id)?;
        let others = self.accounts.iter().enumerate().filter(|(other, account)| {
            account.has_open_requests() && id.is_some_and(|id| id.0 != *other)
        });
        let own = (account.used, account.weight);
        let (used, weight) = others
            .fold(own, |(used, weight), (_, other)| (used + other.used, weight + other.weight));
        Some(ShareUse {
            workspace: account.workspace.clone(),
            used: if used > 0.0 { account.used / used } else { 0.0 },
            share: account.weight / weight,
            waiting: account.waiting,
        })
    }

    /// Returns the upstream time of all runs that ended, by workspace.
    pub fn granted(&self) -> impl Iterator<Item = (Option<&WorkspaceName>, Duration)> {
        self.ids.iter().map(|(workspace, id)| (workspace.as_ref(), self.accounts[id.0].granted))
    }
}

/// A refusal of a request that waited for a service with shares.
#[derive(Clone, Debug)]
pub(super) struct ShareRefusal {
    pub ticket: Ticket,
    pub share_use: ShareUse,
}
