//! Status reports of pool controllers, kept at every instance for operators.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Mutex, MutexGuard, PoisonError},
};

use lacewingspring_core::{names::PoolName, pool_control::Status, resources::ResourceId};

use crate::{
    operators::{Condition, ConditionStatus, Event, RoleView},
    peers::PoolReport,
};

/// Most events kept for one pool.
const MAX_EVENTS: usize = 64;

/// Last report and past events of each pool whose controller reported to this instance.
#[derive(Debug, Default)]
pub struct PoolReports(Mutex<BTreeMap<PoolName, PoolHistory>>);

#[derive(Debug)]
struct PoolHistory {
    last: PoolReport,
    events: VecDeque<Event>,
}

impl PoolHistory {
    fn has_lease(&self) -> bool {
        !matches!(self.last.status, Status::NoLease | Status::Superseded)
    }
}

impl PoolReports {
    /// Records a report unless a later one, by fencing number and report number, is known.
    pub fn record(&self, report: PoolReport) {
        let mut known = self.lock();
        let Some(entry) = known.get_mut(&report.pool) else {
            let events = VecDeque::from([event(&report)]);
            known.insert(report.pool.clone(), PoolHistory { last: report, events });
            return;
        };
        let order = |report: &PoolReport| (report.fencing, report.number);
        if order(&report) <= order(&entry.last) {
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

    /// Returns the controller of each pool, as of its last report.
    pub fn controllers(&self) -> Vec<RoleView> {
        let known = self.lock();
        let roles = known.iter().map(|(pool, history)| RoleView {
            role: format!("pool_controller/{pool}"),
            holder: Some(history.last.controller.clone()).filter(|_| history.has_lease()),
        });
        roles.collect()
    }

    /// Returns the `RolledOut` condition of a pool: whether its engines serve the declared weights.
    pub fn condition(&self, id: &ResourceId) -> Option<Condition> {
        let known = self.lock();
        let status = &known.get(id.name.as_str())?.last.status;
        let rolled_out = match status {
            Status::Done(_) => ConditionStatus::True,
            Status::NoLease | Status::Superseded => ConditionStatus::Unknown,
            _ => ConditionStatus::False,
        };
        let (reason, message) = (status.reason(), status.to_string());
        Some(Condition { kind: "RolledOut", status: rolled_out, reason, message })
    }

    /// Returns the status changes that controllers reported for a pool, oldest first.
    pub fn events(&self, id: &ResourceId) -> Vec<Event> {
        let known = self.lock();
        let events = known.get(id.name.as_str()).map(|history| history.events.iter().cloned());
        events.into_iter().flatten().collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<PoolName, PoolHistory>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn event(report: &PoolReport) -> Event {
    let message = format!("{} says: {}", report.controller, report.status);
    Event { at: report.at_ms, reason: report.status.reason(), message }
}
