//! Roll-outs as controllers tell them, kept at every instance for operators.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Mutex, MutexGuard, PoisonError},
};

use lacewingspring_core::{names::PoolName, pool_control::Status, resources::ResourceId};

use crate::{
    operators::{Condition, ConditionStatus, Event, RoleView},
    peers::PoolReport,
};

/// Most events kept of one pool.
const MAX_EVENTS: usize = 64;

/// Roll-outs of all pools, as far as they were told here.
#[derive(Debug, Default)]
pub struct PoolReports(Mutex<BTreeMap<PoolName, Known>>);

#[derive(Debug)]
struct Known {
    last: PoolReport,
    events: VecDeque<Event>,
}

impl Known {
    fn has_lease(&self) -> bool {
        !matches!(self.last.status, Status::NoLease | Status::Superseded)
    }
}

impl PoolReports {
    /// Takes a report unless a later one is known.
    pub fn take(&self, report: PoolReport) {
        let mut known = self.lock();
        let Some(entry) = known.get_mut(&report.pool) else {
            let events = VecDeque::from([event(&report)]);
            known.insert(report.pool.clone(), Known { last: report, events });
            return;
        };
        let place = |report: &PoolReport| (report.fencing, report.number);
        if place(&report) <= place(&entry.last) {
            return;
        }
        if report.status != entry.last.status || report.controller != entry.last.controller {
            entry.events.push_back(event(&report));
        }
        if entry.events.len() > MAX_EVENTS {
            entry.events.pop_front();
        }
        entry.last = report;
    }

    /// Returns the controllers of the pools, as they last said.
    pub fn controllers(&self) -> Vec<RoleView> {
        let known = self.lock();
        let roles = known.iter().map(|(pool, known)| RoleView {
            role: format!("pool_controller/{pool}"),
            holder: Some(known.last.controller.clone()).filter(|_| known.has_lease()),
        });
        roles.collect()
    }

    /// Returns whether the engines of a pool serve what is declared, and why not.
    pub fn condition(&self, id: &ResourceId) -> Option<Condition> {
        let known = self.lock();
        let status = &known.get(id.name.as_str())?.last.status;
        let holds = match status {
            Status::Done(_) => ConditionStatus::True,
            Status::NoLease | Status::Superseded => ConditionStatus::Unknown,
            _ => ConditionStatus::False,
        };
        let (reason, message) = (status.reason(), status.to_string());
        Some(Condition { kind: "RolledOut", status: holds, reason, message })
    }

    /// Returns what controllers did to a pool, oldest first.
    pub fn events(&self, id: &ResourceId) -> Vec<Event> {
        let known = self.lock();
        let events = known.get(id.name.as_str()).map(|known| known.events.iter().cloned());
        events.into_iter().flatten().collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<PoolName, Known>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn event(report: &PoolReport) -> Event {
    let message = format!("{} says: {}", report.controller, report.status);
    Event { at: report.at_ms, reason: report.status.reason(), message }
}
