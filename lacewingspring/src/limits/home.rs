//! Share ledgers of the workspaces whose home is this instance.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use lacewingspring_core::{
    catalog::Catalog,
    limits::{Demand, Share, ShareConfig, ShareLedger},
    membership::View,
    names::{InstanceName, WorkspaceName},
    resources::WorkspaceLimits,
};

use super::collect::Term;
use crate::{
    daemon::Node,
    membership::{is_up, peer},
    peers::PeerAddress,
};

/// Share ledger of one workspace, kept by its home.
#[derive(Debug)]
struct HeldLedger {
    ledger: ShareLedger,
    limits: WorkspaceLimits,
    /// Latest known incarnation of each instance that has sent a demand or a report.
    incarnations: HashMap<InstanceName, u64>,
    /// Number of the [`Term`] in which this instance keeps the ledger.
    term: u64,
    collecting_reports: bool,
}

impl HeldLedger {
    fn new(cfg: ShareConfig, limits: WorkspaceLimits, term: u64, now: Duration) -> Self {
        let ledger = ShareLedger::new(cfg, limits.clone(), now);
        Self { ledger, limits, incarnations: HashMap::new(), term, collecting_reports: false }
    }

    fn refresh(&mut self, limits: &WorkspaceLimits, view: &View) {
        if self.limits != *limits {
            self.limits = limits.clone();
            self.ledger.set_limits(limits.clone());
        }
        let known = view.members.len();
        let down = view.members.iter().filter(|member| !is_up(member));
        let down: Vec<_> = down.map(|member| member.name.clone()).collect();
        self.ledger.set_member_counts(known - down.len(), known);
        self.ledger.set_unreachable(down);
    }

    /// Removes the shares of an instance's earlier incarnation. Returns false if `incarnation` is
    /// itself an earlier one.
    fn observe_incarnation(&mut self, instance: &InstanceName, incarnation: u64) -> bool {
        let known = self.incarnations.insert(instance.clone(), incarnation);
        match known {
            Some(known) if known > incarnation => {
                self.incarnations.insert(instance.clone(), known);
                return false;
            }
            Some(known) if known < incarnation => self.ledger.remove_instance(instance),
            _ => {}
        }
        true
    }
}

/// Share ledgers of the workspaces whose home is this instance.
#[derive(Debug)]
pub(super) struct ShareHome {
    cfg: ShareConfig,
    held: Mutex<Held>,
}

#[derive(Debug, Default)]
struct Held {
    ledgers: HashMap<WorkspaceName, HeldLedger>,
    last_term: u64,
}

impl ShareHome {
    pub(super) fn new(cfg: ShareConfig) -> Self {
        Self { cfg, held: Mutex::default() }
    }

    /// Takes up and gives up the home role of each workspace by the current view. Returns the terms
    /// for which the members' shares have to be collected.
    pub(super) fn refresh(&self, now: Duration, node: &Node, catalog: &Catalog) -> Vec<Term> {
        let view = node.fleet.view();
        let mut held = self.lock();
        held.ledgers
            .retain(|name, _| catalog.workspaces.contains_key(name) && is_home(node, &view, name));
        let mut terms = Vec::new();
        let may_collect = node.fleet.has_instance_list() && view.members.iter().all(is_up);
        for (name, spec) in &catalog.workspaces {
            if !is_home(node, &view, name) {
                continue;
            }
            let ledger = held.ledger(name, &self.cfg, &spec.limits, now);
            ledger.refresh(&spec.limits, &view);
            if may_collect && ledger.ledger.is_in_grace_period(now) && !ledger.collecting_reports {
                ledger.collecting_reports = true;
                terms.push(Term { workspace: name.clone(), number: ledger.term });
            }
        }
        terms
    }

    /// Grants an instance its share. Returns `None` if this instance is not the home of the
    /// workspace, or if the demand is from an earlier incarnation.
    pub(super) fn grant(
        &self,
        now: Duration,
        node: &Node,
        workspace: &WorkspaceName,
        instance: &InstanceName,
        incarnation: u64,
        demand: Demand,
    ) -> Option<Share> {
        let view = node.fleet.view();
        if !is_home(node, &view, workspace) {
            return None;
        }
        let catalog = node.catalog();
        let limits = &catalog.workspaces.get(workspace)?.limits;
        let mut held = self.lock();
        let ledger = held.ledger(workspace, &self.cfg, limits, now);
        ledger.refresh(limits, &view);
        if !ledger.observe_incarnation(instance, incarnation) {
            return None;
        }
        Some(ledger.ledger.grant(now, instance, demand))
    }

    /// Gives up the home role of a workspace, since another instance has taken it.
    pub(super) fn give_up(&self, workspace: &WorkspaceName) {
        self.lock().ledgers.remove(workspace);
    }

    /// Records the share that a member reports to hold.
    pub(super) fn record_report(
        &self,
        now: Duration,
        term: &Term,
        instance: &InstanceName,
        incarnation: u64,
        demand: Demand,
    ) {
        let mut held = self.lock();
        let Some(ledger) = held.ledger_of_term(term) else { return };
        if ledger.observe_incarnation(instance, incarnation) {
            ledger.ledger.record_report(now, instance, demand);
        }
    }

    /// Ends the collection of reports; ends the grace period of the ledger if all were received.
    pub(super) fn finish_reports(&self, now: Duration, term: &Term, complete: bool) {
        let mut held = self.lock();
        let Some(ledger) = held.ledger_of_term(term) else { return };
        ledger.collecting_reports = false;
        if complete {
            ledger.ledger.end_grace_period(now);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Held {
    fn ledger(
        &mut self,
        workspace: &WorkspaceName,
        cfg: &ShareConfig,
        limits: &WorkspaceLimits,
        now: Duration,
    ) -> &mut HeldLedger {
        let last_term = &mut self.last_term;
        self.ledgers.entry(workspace.clone()).or_insert_with(|| {
            *last_term += 1;
            HeldLedger::new(cfg.clone(), limits.clone(), *last_term, now)
        })
    }

    fn ledger_of_term(&mut self, term: &Term) -> Option<&mut HeldLedger> {
        let ledger = self.ledgers.get_mut(&term.workspace)?;
        (ledger.term == term.number).then_some(ledger)
    }
}

/// Returns the home of a workspace.
pub(super) fn holder(node: &Node, workspace: &WorkspaceName) -> Option<PeerAddress> {
    node.fleet.view().holder(workspace, None).map(peer)
}

fn is_home(node: &Node, view: &View, workspace: &WorkspaceName) -> bool {
    let holder = view.holder(workspace, None);
    holder.is_some_and(|holder| holder.name == node.settings.instance)
}
