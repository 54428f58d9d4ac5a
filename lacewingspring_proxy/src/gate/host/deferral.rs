//! Defers slot requests that are better decided on a little later.
//!
//! Right after a pause it is not known yet who still follows this gate ([`Pauses`](super::Pauses)).
//!
//! A process that just started decides for its own callers until it is linked to the gate, and
//! knows nothing of the usage of limits. A gate of a minority hands out a part of each limit, which
//! grows while instances that start again link to it. Neither refuses for a limit at once.
//!
//! A gate that has known the upstreams of a service for less than a second may not have recorded
//! their software versions yet, as when it takes over right after its start. It does not refuse a
//! request because these upstreams are [withheld](super::versions).
//!
//! A process that has not read the entries of upstreams yet defers all requests, until it has read
//! them or the requests end.

use std::time::Duration;

use lacewingspring_core::dispatch::{SlotRequest, Ticket};

use super::{FromGate, GateHost, State};

/// Longest time for which a slot request is deferred after a pause or for a limit: a process that
/// gets too little processor time pauses again and again.
const MAX_DEFERRAL: Duration = Duration::from_millis(300);

/// Time after the start of the process, or after an instance linked to the gate of a minority, in
/// which further instances may link, or the usage of limits be loaded.
const JOIN_TIME: Duration = Duration::from_millis(300);

/// A slot request that was deferred.
#[derive(Debug)]
struct Deferred {
    link: u64,
    number: u64,
    request: SlotRequest,
    since: Duration,
}

/// The deferred requests, and when the fleet last grew.
#[derive(Debug, Default)]
pub(super) struct Deferral {
    /// Time of the first heartbeat; `None` before it.
    started_at: Option<Duration>,
    /// Time at which an instance linked last; `None` before the first.
    linked_at: Option<Duration>,
    deferred: Vec<Deferred>,
}

impl Deferral {
    /// Notes that the process runs at `now`; the first time is that of its start.
    pub(super) fn record_heartbeat(&mut self, now: Duration) {
        self.started_at.get_or_insert(now);
    }

    /// Notes that an instance linked.
    pub(super) fn record_link(&mut self, now: Duration) {
        self.linked_at = Some(now);
    }

    /// Returns whether the process has just started.
    fn is_starting(&self, now: Duration) -> bool {
        self.started_at.is_some_and(|at| now.saturating_sub(at) < JOIN_TIME)
    }

    /// Returns whether an instance has just linked.
    fn has_new_link(&self, now: Duration) -> bool {
        self.linked_at.is_some_and(|at| now.saturating_sub(at) < JOIN_TIME)
    }

    /// Removes a deferred request; returns whether there was one.
    pub(super) fn remove(&mut self, link: u64, number: u64) -> bool {
        let before = self.deferred.len();
        self.deferred.retain(|deferred| (deferred.link, deferred.number) != (link, number));
        self.deferred.len() < before
    }

    /// Removes the deferred requests of a link.
    pub(super) fn end_link(&mut self, link: u64) {
        self.deferred.retain(|deferred| deferred.link != link);
    }
}

impl GateHost {
    /// Decides on the deferred requests that are due.
    pub(super) fn decide_deferred(&self, now: Duration) {
        let due = self.state().take_due(now, self.has_entries());
        for Deferred { link, number, mut request, since } in due {
            request.shorten_times(now.saturating_sub(since));
            self.decide(now, link, number, request);
        }
    }
}

impl State {
    /// Defers a slot request that is better decided on later; returns it otherwise.
    pub(super) fn defer(
        &mut self,
        now: Duration,
        link: u64,
        number: u64,
        request: SlotRequest,
        has_entries: bool,
    ) -> Option<SlotRequest> {
        self.use_overdue_upstreams(now);
        let deferred = Deferred { link, number, request, since: now };
        if has_entries && !self.must_wait(now, &deferred) {
            return Some(deferred.request);
        }
        self.deferral.deferred.push(deferred);
        self.send(link, FromGate::Queued { number });
        None
    }

    /// Removes the requests that are to be decided on.
    fn take_due(&mut self, now: Duration, has_entries: bool) -> Vec<Deferred> {
        if !has_entries {
            return Vec::new();
        }
        let deferred = std::mem::take(&mut self.deferral.deferred);
        if deferred.is_empty() {
            return deferred;
        }
        self.use_overdue_upstreams(now);
        let (waiting, due) =
            deferred.into_iter().partition(|deferred| self.must_wait(now, deferred));
        self.deferral.deferred = waiting;
        due
    }

    /// Returns whether a request is better decided on later. Upstreams are withheld for a second at
    /// most, however long their versions take to be recorded.
    fn must_wait(&mut self, now: Duration, deferred: &Deferred) -> bool {
        self.withheld_services.contains(&deferred.request.service)
            || self.must_wait_for_fleet(now, deferred)
    }

    /// Returns whether it is not known yet who follows this gate, or what it may hand out.
    fn must_wait_for_fleet(&mut self, now: Duration, deferred: &Deferred) -> bool {
        now.saturating_sub(deferred.since) < MAX_DEFERRAL
            && (self.pauses.is_settling(now) || self.must_wait_for_limit(now, deferred))
    }

    /// Returns whether a request would be refused for a limit of which more may soon be handed out
    /// here.
    fn must_wait_for_limit(&mut self, now: Duration, deferred: &Deferred) -> bool {
        let is_minority = !self.dispatcher.fleet_share().is_majority();
        let is_growing = is_minority && self.deferral.has_new_link(now);
        let ticket = Ticket { link: deferred.link, number: deferred.number };
        (is_growing || self.deferral.is_starting(now))
            && self.dispatcher.is_over_limit(now, ticket, &deferred.request)
    }
}
