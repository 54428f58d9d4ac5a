//! Load shedding: evicts queued requests and parks runs.

use std::time::Duration;

use super::{
    Gate, GrantStop,
    fleet::LongPrefillLimit,
    memory::Shortfalls,
    parking::ParkKey,
    queue::Head,
    retry_after::add_jitter,
    upstream::Demand,
    work::{Decision, Ticket},
};
use crate::error::ErrorKind;

/// Maximum number of new requests in the queue for each declared slot.
const QUEUED_PER_SLOT: usize = 8;

/// Multiple of the queue bound up to which a request may wait while work of a lower tier is in
/// progress.
const QUEUE_OVERFLOW_FACTOR: usize = 4;

/// Ratio of expected wait to remaining time above which a request is refused at once.
const EARLY_REFUSAL_FACTOR: f64 = 1.25;

impl Gate {
    /// Performs the work that is due by time: deadlines, probes, and repeats of orders to park.
    pub fn tick(&mut self, now: Duration) -> Vec<Decision> {
        self.learn_from_late_runs(now);
        self.refresh_upstreams(now);
        self.fleet.refresh();
        self.reserve.refresh(now, self.fleet.serving_slots());
        let mut decisions = self.schedule(now);
        self.expire(now, &mut decisions);
        self.refuse_unmeetable(now, &mut decisions);
        let repeats = self.parks.due_repeats(now);
        decisions.extend(repeats.into_iter().map(Decision::Park));
        decisions
    }

    /// Parks runs of lower tiers for queued requests for which no slot is being freed yet.
    pub(super) fn park_for_waiting(
        &mut self,
        now: Duration,
        stop: &GrantStop,
        decisions: &mut Vec<Decision>,
    ) {
        if !self.policy.parking {
            return;
        }
        if let Some(head) = &stop.blocked_on_memory
            && self.park_for_memory(now, head, decisions)
        {
            return;
        }
        let long_limit = self.fleet.long_limit() as usize;
        for rank in self.queue.ranks() {
            while self.queue.waiting_up_to(rank, stop.skip_long_from, long_limit)
                > self.parks.pending_len()
            {
                let Some(ticket) = self.park_below(now, rank, false) else { break };
                decisions.push(Decision::Park(ticket));
            }
        }
    }

    /// Parks runs of lower tiers on the upstream that then has the memory for a request; returns
    /// false if no upstream would.
    fn park_for_memory(
        &mut self,
        now: Duration,
        head: &Head,
        decisions: &mut Vec<Decision>,
    ) -> bool {
        let Some(keys) = self.runs_to_park_for_memory(now, head) else { return false };
        for key in keys {
            self.parks.mark_pending(now, key);
            decisions.push(Decision::Park(key.ticket));
        }
        true
    }

    fn runs_to_park_for_memory(&self, now: Duration, head: &Head) -> Option<Vec<ParkKey>> {
        let waiting = self.queue.get(head.ticket)?;
        let demand = Demand::new(&waiting.request, head.long);
        let bounded = self.long_limit_for(now, waiting, head) != LongPrefillLimit::Unlimited;
        let mut shortfalls = Shortfalls::new(&self.fleet, &demand, bounded);
        for ticket in self.parks.pending() {
            let Some(run) = self.runs.get(ticket) else { continue };
            if shortfalls.count_pending(&self.fleet, run) {
                return Some(Vec::new());
            }
        }
        let keys = self.parks.all_below(head.rank);
        let mut sufficient = keys.filter_map(|key| {
            let run = self.runs.get(&key.ticket)?;
            shortfalls.count_candidate(&self.fleet, run, *key)
        });
        sufficient.next()
    }

    /// Evicts queued requests, lowest tier first, until the queue is within its bound.
    pub(super) fn shed_excess(&mut self, now: Duration, decisions: &mut Vec<Decision>) {
        while self.queue.new_len() > self.queue_bound() + self.parks.pending_len() {
            let Some(ticket) = self.next_victim() else { return };
            let rank = self.queue.get(ticket).map_or(u8::MAX, |waiting| waiting.request.rank);
            if self.policy.parking
                && let Some(parked) = self.park_below(now, rank, true)
            {
                decisions.push(Decision::Park(parked));
                continue;
            }
            if self.may_exceed_bound(rank) {
                return;
            }
            let no_slots = self.fleet.declared_slots() == 0;
            let kind = if no_slots { ErrorKind::NoUpstream } else { ErrorKind::Overloaded };
            self.refuse(now, ticket, kind, decisions);
        }
    }

    /// Refuses a request at once if it is of the lowest tier and cannot meet its deadline.
    ///
    /// A request of a higher tier stays queued, since queued requests and runs below it have to
    /// yield first.
    pub(super) fn refuse_if_unmeetable(
        &mut self,
        now: Duration,
        ticket: Ticket,
        decisions: &mut Vec<Decision>,
    ) -> bool {
        if !self.policy.early_refusal || !self.cannot_meet_deadline(now, ticket) {
            return false;
        }
        self.refuse(now, ticket, ErrorKind::Overloaded, decisions);
        true
    }

    fn refuse_unmeetable(&mut self, now: Duration, decisions: &mut Vec<Decision>) {
        loop {
            let Some(rank) = self.queue.lowest_rank() else { return };
            let newest = self.queue.newest_by_workspace(rank);
            let mut refused = false;
            for ticket in newest {
                refused |= self.refuse_if_unmeetable(now, ticket, decisions);
            }
            if !refused {
                return;
            }
        }
    }

    fn cannot_meet_deadline(&self, now: Duration, ticket: Ticket) -> bool {
        let Some(waiting) = self.queue.get(ticket) else { return false };
        let slots = f64::from(self.fleet.serving_slots());
        let rank = waiting.request.rank;
        if slots == 0.0 || !waiting.order_key.is_new || self.has_yieldable_below(rank) {
            return false;
        }
        let ahead = self.queue.seconds_ahead(waiting) - waiting.seconds;
        let left = waiting.deadline.saturating_sub(now).as_secs_f64();
        self.parks.pending_len() == 0 && ahead / slots > left * EARLY_REFUSAL_FACTOR
    }

    /// Refuses new requests whose deadline passed, and moves parked ones ahead of all others.
    fn expire(&mut self, now: Duration, decisions: &mut Vec<Decision>) {
        while let Some(ticket) = self.queue.expired(now) {
            let is_new = self.queue.get(ticket).is_some_and(|waiting| waiting.order_key.is_new);
            if is_new {
                self.refuse(now, ticket, ErrorKind::DeadlineExceeded, decisions);
            } else {
                self.queue.promote(ticket);
            }
        }
    }

    /// Returns the maximum number of new requests in the queue.
    pub(super) fn queue_bound(&self) -> usize {
        self.fleet.declared_slots() as usize * QUEUED_PER_SLOT
    }

    /// Returns whether a request of this rank may wait beyond the queue bound until work of a lower
    /// tier is evicted or parked.
    fn may_exceed_bound(&self, rank: u8) -> bool {
        let yields = self.policy.parking && self.policy.eviction_order;
        let bound = self.queue_bound() * QUEUE_OVERFLOW_FACTOR;
        yields && self.queue.new_len() < bound && self.has_lower_in_progress(rank)
    }

    /// Returns whether work of a tier below `rank` runs, is being parked, or waits to resume. A
    /// request is not refused beside such work.
    fn has_lower_in_progress(&self, rank: u8) -> bool {
        let waits = self.queue.ranks().into_iter().any(|waiting| waiting > rank);
        waits || self.runs.values().any(|run| run.request.rank > rank)
    }

    fn next_victim(&self) -> Option<Ticket> {
        if self.policy.eviction_order {
            self.queue.victim(self.queue.lowest_rank()?)
        } else {
            self.queue.newest_of_all()
        }
    }

    /// Orders the run below `rank` with the least loss to be parked.
    fn park_below(&mut self, now: Duration, rank: u8, with_last_resort: bool) -> Option<Ticket> {
        let key = self.parks.first_below(rank, with_last_resort)?;
        self.parks.mark_pending(now, key);
        Some(key.ticket)
    }

    /// Returns whether a new request of a tier below `rank` is queued, or a run of one can be
    /// parked.
    pub fn has_yieldable_below(&self, rank: u8) -> bool {
        self.queue.lowest_rank().is_some_and(|lowest| lowest > rank)
            || self.parks.first_below(rank, true).is_some()
    }

    fn refuse(
        &mut self,
        now: Duration,
        ticket: Ticket,
        kind: ErrorKind,
        decisions: &mut Vec<Decision>,
    ) {
        let Some(waiting) = self.queue.get(ticket) else { return };
        let rank = waiting.request.rank;
        let seconds = waiting.seconds;
        let ahead = self.queue.seconds_ahead(waiting);
        if kind == ErrorKind::Overloaded && self.has_yieldable_below(rank) {
            self.violations += 1;
            let guarded = self.policy.eviction_order && self.policy.parking;
            debug_assert!(
                !guarded,
                "a request was refused as overloaded while lower-tier work is queued or parkable"
            );
        }
        if kind == ErrorKind::DeadlineExceeded && self.parks.first_below(rank, false).is_some() {
            self.late_beside_lower += 1;
        }
        let slots = f64::from(self.fleet.serving_slots());
        let after = self.retry_backlog.schedule_retry(now, ahead, seconds, slots);
        let after = if self.policy.retry_jitter { add_jitter(after, ticket) } else { after };
        self.queue.remove(ticket);
        decisions.push(Decision::Refused(ticket, kind, after));
    }

    fn refresh_upstreams(&mut self, now: Duration) {
        let earlier = self.last_tick_at.replace(now).unwrap_or(now);
        let seconds = now.saturating_sub(earlier).as_secs_f64();
        self.fleet.for_each_mut(|upstream| {
            upstream.expire_report(now);
            if upstream.is_healthy() && upstream.running == 0 {
                upstream.decay_to_normal(seconds);
                if self.policy.probation {
                    upstream.update_health(now);
                }
            }
        });
    }
}
