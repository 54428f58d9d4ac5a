//! Ledgers of the workspaces whose home this instance is.

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

use super::learn::Term;
use crate::{
    daemon::Node,
    membership::{is_up, peer},
    peers::PeerAddress,
};

/// Ledger of one workspace with what its home needs to keep it.
#[derive(Debug)]
struct HeldLedger {
    ledger: ShareLedger,
    limits: WorkspaceLimits,
    incarnations: HashMap<InstanceName, u64>,
    term: u64,
    learning: bool,
}

impl HeldLedger {
    fn new(cfg: ShareConfig, limits: WorkspaceLimits, term: u64, now: Duration) -> Self {
        let ledger = ShareLedger::new(cfg, limits.clone(), now);
        Self { ledger, limits, incarnations: HashMap::new(), term, learning: false }
    }

    fn refresh(&mut self, limits: &WorkspaceLimits, view: &View) {
        if self.limits != *limits {
            self.limits = limits.clone();
            self.ledger.set_limits(limits.clone());
        }
        let known = view.members.len();
        let away = view.members.iter().filter(|member| !is_up(member));
        let away: Vec<_> = away.map(|member| member.name.clone()).collect();
        self.ledger.set_member_counts(known - away.len(), known);
        self.ledger.set_unreachable(away);
    }

    /// Forgets the earlier run of an instance; false when the incarnation is that run.
    fn observe(&mut self, instance: &InstanceName, incarnation: u64) -> bool {
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

/// Ledgers of the workspaces whose home this instance is.
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

    /// Takes and gives up the role of home by the present view; returns the terms to learn for.
    pub(super) fn refresh(&self, now: Duration, node: &Node, catalog: &Catalog) -> Vec<Term> {
        let view = node.fleet.view();
        let mut held = self.lock();
        held.ledgers
            .retain(|name, _| catalog.workspaces.contains_key(name) && is_home(node, &view, name));
        let mut terms = Vec::new();
        let may_learn = node.fleet.is_listed() && view.members.iter().all(is_up);
        for (name, spec) in &catalog.workspaces {
            if !is_home(node, &view, name) {
                continue;
            }
            let ledger = held.ledger(name, &self.cfg, &spec.limits, now);
            ledger.refresh(&spec.limits, &view);
            if may_learn && ledger.ledger.is_in_grace_period(now) && !ledger.learning {
                ledger.learning = true;
                terms.push(Term { workspace: name.clone(), number: ledger.term });
            }
        }
        terms
    }

    /// Gives an instance its share; none when this instance is not the home.
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
        if !ledger.observe(instance, incarnation) {
            return None;
        }
        Some(ledger.ledger.grant(now, instance, demand))
    }

    /// Gives up the role of home: another instance has taken it.
    pub(super) fn give_up(&self, workspace: &WorkspaceName) {
        self.lock().ledgers.remove(workspace);
    }

    /// Takes what a member reports to hold.
    pub(super) fn learn(
        &self,
        now: Duration,
        term: &Term,
        instance: &InstanceName,
        incarnation: u64,
        demand: Demand,
    ) {
        let mut held = self.lock();
        let Some(ledger) = held.of_term(term) else { return };
        if ledger.observe(instance, incarnation) {
            ledger.ledger.record_report(now, instance, demand);
        }
    }

    /// Ends a round of learning, whole or not.
    pub(super) fn learned(&self, now: Duration, term: &Term, whole: bool) {
        let mut held = self.lock();
        let Some(ledger) = held.of_term(term) else { return };
        ledger.learning = false;
        if whole {
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

    fn of_term(&mut self, term: &Term) -> Option<&mut HeldLedger> {
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
