//! Roll-outs that this instance holds as the gate, and versions that it must not use in any role.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use lacewingspring_core::{
    dispatch::{KnownStreams, VersionUse},
    names::{InstanceName, ServiceName, SoftwareVersion},
    roll_out::{Block, Bounds, Counts, Order, OrderId, RollOut, Stage},
};

use super::{FromGate, GateHost, State, Trailing};
use crate::{
    clock,
    gate::{
        message::EncodedRollOuts,
        roll_out::{
            ColdUpstream, DeclaredOrder, DeclaredOrders,
            record::RollOutRecord,
            rules::{KeptRule, Role, RollOutRules},
        },
    },
    replica::Topic,
    store::Revision,
};

/// Time for which a gate may use the targets of its roll-outs after it was last known to decide for
/// a majority: shorter than the time after which a silent gate is given up.
const HOLD_TIME: Duration = Duration::from_millis(500);

/// Minimum time between two confirmations of the copy of the orders for the same version.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(200);

/// Age of the copy of the registry at which it is confirmed while a roll-out is decided on.
const MAX_REGISTRY_AGE: Duration = Duration::from_secs(1);

/// Time after a link in which its instance reports the requests that run.
const REPORT_TIME: Duration = Duration::from_secs(3);

/// What the copy of the orders has for a service.
#[derive(Clone, Debug)]
pub(in crate::gate) struct KnownOrder {
    /// The order, and the time at which it was seen first.
    pub order: Option<(DeclaredOrder, Duration)>,
    /// Whether the key has a value that can't be read.
    pub is_unreadable: bool,
    /// Revision up to which the copy is complete.
    pub orders_revision: Revision,
}

/// Record of a roll-out that this instance wrote or was told of.
#[derive(Debug)]
struct KnownRecord {
    record: RollOutRecord,
    /// Time at which the order had the age that the record states.
    at: Duration,
}

impl KnownRecord {
    /// Returns the record with the present age of its order.
    fn at(&self, now: Duration) -> RollOutRecord {
        self.record.aged(now.saturating_sub(self.at))
    }
}

/// Roll-outs at this instance.
#[derive(Debug)]
pub(super) struct RollOuts {
    rules: RollOutRules,
    /// Records that this instance wrote or was told of, with decisions that are not recorded yet.
    known: BTreeMap<ServiceName, KnownRecord>,
    /// Time since which this instance holds the roll-outs.
    tenure_since: Option<Duration>,
    /// Revision of the copy of the registry.
    registry_revision: Revision,
    confirmation_requested_at: Duration,
    /// Time at which the copy of the orders was confirmed last, as far as known here.
    orders_confirmed_at: Option<Duration>,
    /// Links over which an instance has introduced itself.
    introduced_links: BTreeSet<u64>,
    /// Time at which the last of them was seen first.
    introduced_at: Duration,
}

impl GateHost {
    /// Handles roll-outs within these bounds from now on.
    pub fn enable_roll_outs(&self, bounds: Bounds) {
        let rules = RollOutRules::new(bounds);
        self.state().roll_outs = Some(RollOuts {
            rules,
            known: BTreeMap::new(),
            tenure_since: None,
            registry_revision: Revision::default(),
            confirmation_requested_at: Duration::ZERO,
            orders_confirmed_at: None,
            introduced_links: BTreeSet::new(),
            introduced_at: Duration::ZERO,
        });
    }

    /// Returns whether this instance handles roll-outs.
    pub(in crate::gate) fn handles_roll_outs(&self) -> bool {
        self.state().roll_outs.is_some()
    }

    /// Notes the revision of the copy of the registry whose upstreams are set next.
    pub fn set_registry_revision(&self, revision: Revision) {
        if let Some(roll_outs) = &mut self.state().roll_outs {
            roll_outs.registry_revision = revision;
        }
    }

    /// Replaces the orders by those of a copy at a revision.
    pub fn set_orders(&self, now: Duration, orders: DeclaredOrders, revision: Revision) {
        self.change_rules(now, |rules| rules.set_orders(now, orders, revision));
    }

    /// Replaces the upstreams that are slow after their start.
    pub fn set_cold_upstreams(&self, now: Duration, cold: Vec<ColdUpstream>) {
        self.change_rules(now, |rules| rules.set_cold(now, cold));
    }

    /// Passes each confirmation of the copy of the orders on. Never returns.
    pub async fn follow_order_confirmations(self: Arc<Self>) {
        let replica = self.replicas.get(Topic::Declared);
        let mut confirmations = replica.confirmations();
        while confirmations.changed().await.is_ok() {
            let revision = replica.mirror().revision();
            let now = clock::now();
            self.change_rules(now, |rules| {
                rules.confirm(revision);
            });
        }
    }

    /// Has the copy of the orders confirmed if a version at this gate waits for that.
    pub(super) fn request_order_confirmation(&self, now: Duration) {
        let mut state = self.state();
        let grants_slots = state.dispatcher.fleet_share().slots > 0.0;
        let Some(roll_outs) = &mut state.roll_outs else { return };
        let is_due = now >= roll_outs.confirmation_requested_at + CONFIRMATION_INTERVAL;
        if grants_slots && is_due && roll_outs.rules.has_unconfirmed() {
            roll_outs.confirmation_requested_at = now;
            self.replicas.get(Topic::Declared).request_confirmation();
        }
    }

    fn change_rules<F>(&self, now: Duration, change: F)
    where
        F: FnOnce(&mut RollOutRules),
    {
        let orders_age = self.replicas.get(Topic::Declared).age(now);
        let mut state = self.state();
        let Some(roll_outs) = &mut state.roll_outs else { return };
        change(&mut roll_outs.rules);
        state.apply_rules(now, orders_age);
    }

    /// Begins to hold roll-outs.
    pub(in crate::gate) fn begin_roll_out_tenure(&self, now: Duration) {
        if let Some(roll_outs) = &mut self.state().roll_outs {
            roll_outs.tenure_since = Some(now);
        }
        self.change_rules(now, RollOutRules::begin_tenure);
    }

    /// Stops holding roll-outs.
    pub(in crate::gate) fn end_roll_out_tenure(&self, now: Duration) {
        self.state().dispatcher.release_roll_outs();
        self.change_rules(now, |rules| {
            rules.end_tenure();
        });
    }

    /// Returns the services with an order.
    pub(in crate::gate) fn ordered_services(&self) -> Vec<ServiceName> {
        let state = self.state();
        let rules = state.roll_outs.as_ref().map(|roll_outs| &roll_outs.rules);
        rules.map_or_else(Vec::new, |rules| rules.ordered_services().cloned().collect())
    }

    /// Returns the services of which this instance knows a record.
    pub(in crate::gate) fn known_roll_outs(&self) -> Vec<ServiceName> {
        let state = self.state();
        let known = state.roll_outs.as_ref().map(|roll_outs| &roll_outs.known);
        known.map_or_else(Vec::new, |known| known.keys().cloned().collect())
    }

    /// Returns the record of a service as this instance knows it, with the present age of the
    /// order.
    pub(in crate::gate) fn known_roll_out(
        &self,
        now: Duration,
        service: &ServiceName,
    ) -> Option<RollOutRecord> {
        Some(self.state().roll_outs.as_ref()?.known.get(service)?.at(now))
    }

    /// Tells all instances a record that says more than the one known so far, so that the next gate
    /// knows it although the key-value service is restored from an older copy. One that was just
    /// written is told in any case: what it says may be known from one instance only.
    pub(in crate::gate) fn tell_roll_out(
        &self,
        now: Duration,
        record: &RollOutRecord,
        is_written: bool,
    ) {
        let mut state = self.state();
        let is_changed = state.learn_roll_out(now, record.clone(), true);
        if !is_changed && !is_written {
            return;
        }
        let mut record = record.clone();
        let known = state.roll_outs.as_ref().and_then(|known| known.known.get(&record.service));
        if let Some(known) = known {
            record.take_later_age(&known.record);
        }
        let told = Trailing(encode_records([record]));
        for link in state.links.values() {
            let streams = Arc::new(KnownStreams::default());
            // A closed receiver means that the link is about to be removed.
            let _ = link.tx.send(FromGate::Streams(streams, told.clone()));
        }
    }

    /// Adds records that the gate told.
    pub(in crate::gate) fn learn_roll_outs(&self, now: Duration, told: &Trailing<EncodedRollOuts>) {
        self.state().learn_roll_outs(now, told, true);
    }

    /// Returns the records that this instance knows, for the gate.
    pub(in crate::gate) fn told_roll_outs(&self, now: Duration) -> Trailing<EncodedRollOuts> {
        self.state().told_roll_outs(now)
    }

    /// Returns what the copy of the orders has for a service.
    pub(in crate::gate) fn declared_order(&self, service: &ServiceName) -> Option<KnownOrder> {
        let state = self.state();
        let rules = &state.roll_outs.as_ref()?.rules;
        Some(KnownOrder {
            order: rules.order(service).map(|(order, seen_at)| (order.clone(), seen_at)),
            is_unreadable: rules.is_unreadable(service),
            orders_revision: rules.orders_revision(),
        })
    }

    /// Returns the registered versions of a service, ordered by start, the earliest first.
    pub(in crate::gate) fn registered_versions(
        &self,
        service: &ServiceName,
    ) -> Vec<SoftwareVersion> {
        let state = self.state();
        let rules = state.roll_outs.as_ref().map(|roll_outs| &roll_outs.rules);
        rules.map_or_else(Vec::new, |rules| rules.registered_by_start(service))
    }

    /// Returns the versions of a service that were rolled back and are in service all the same.
    pub(in crate::gate) fn versions_serving_again(
        &self,
        service: &ServiceName,
    ) -> BTreeSet<SoftwareVersion> {
        let state = self.state();
        let rules = state.roll_outs.as_ref().map(|roll_outs| &roll_outs.rules);
        rules.map_or_else(BTreeSet::new, |rules| rules.serving_again(service))
    }

    /// Sets what the keeper knows of a service.
    pub(in crate::gate) fn set_roll_out_rule(
        &self,
        now: Duration,
        service: &ServiceName,
        rule: Option<KeptRule>,
    ) {
        self.change_rules(now, |rules| rules.set_kept(service, rule));
    }

    /// Holds a roll-out, and adds the counts of its record if it is held already.
    pub(in crate::gate) fn hold_roll_out(
        &self,
        now: Duration,
        order: Order,
        record: &RollOutRecord,
        version_use: VersionUse,
    ) {
        let mut state = self.state();
        let State { dispatcher, roll_outs, .. } = &mut *state;
        let Some(roll_outs) = roll_outs else { return };
        let service = order.service.clone();
        match dispatcher.roll_out_mut(&service).filter(|held| held.order().id == order.id) {
            Some(held) => held.merge_record(record.counts),
            None => {
                let bounds = roll_outs.rules.bounds;
                let roll_out = RollOut::new(order, bounds, record.counts, record.stage.clone());
                dispatcher.hold_roll_out(&service, roll_out, version_use);
                dispatcher.set_cold_upstreams(&roll_outs.rules.cold_until());
            }
        }
        let decisions = dispatcher.set_version_use(now, &service, version_use);
        state.send_decisions(decisions);
    }

    /// Stops holding the roll-out of a service.
    pub(in crate::gate) fn release_roll_out(&self, service: &ServiceName) {
        self.state().dispatcher.release_roll_out(service);
    }

    /// Returns whether the roll-out of a service is held.
    pub(in crate::gate) fn holds_roll_out(&self, service: &ServiceName) -> bool {
        self.state().dispatcher.roll_out(service).is_some()
    }

    /// Returns the counts of a roll-out that is held.
    pub(in crate::gate) fn roll_out_counts(&self, service: &ServiceName) -> Option<Counts> {
        Some(self.state().dispatcher.roll_out(service)?.counts())
    }

    /// Notes that counts of a roll-out that is held are in the record of its order.
    pub(in crate::gate) fn note_roll_out_written(
        &self,
        service: &ServiceName,
        order: OrderId,
        counts: Counts,
    ) {
        let mut state = self.state();
        let held = state.dispatcher.roll_out_mut(service);
        if let Some(held) = held.filter(|held| held.order().id == order) {
            held.note_written(counts);
        }
    }

    /// Returns the size of the next block of a roll-out and the counts that reserve it; `None` if
    /// none is needed.
    pub(in crate::gate) fn next_block(
        &self,
        now: Duration,
        service: &ServiceName,
    ) -> Option<(u64, Counts)> {
        let state = self.state();
        let roll_out = state.dispatcher.roll_out(service)?;
        let size = roll_out.block_size(now);
        (size > 0).then(|| (size, roll_out.counts_with_block(size)))
    }

    /// Allows requests to the target of a roll-out that were reserved in the store.
    pub(in crate::gate) fn open_block(&self, now: Duration, service: &ServiceName, block: Block) {
        let mut state = self.state();
        let decisions = state.dispatcher.open_block(now, service, block);
        state.send_decisions(decisions);
    }

    /// Sets how a roll-out divides the requests of its service.
    pub(in crate::gate) fn set_version_use(
        &self,
        now: Duration,
        service: &ServiceName,
        version_use: VersionUse,
    ) {
        let mut state = self.state();
        let decisions = state.dispatcher.set_version_use(now, service, version_use);
        state.send_decisions(decisions);
    }

    /// Decides on a roll-out that is held.
    pub(in crate::gate) fn decide_roll_out(
        &self,
        now: Duration,
        service: &ServiceName,
    ) -> Option<Stage> {
        let registry = self.replicas.get(Topic::Upstreams);
        let age = registry.age(now).unwrap_or(now);
        if age > MAX_REGISTRY_AGE {
            registry.request_confirmation();
        }
        self.state().dispatcher.decide_roll_out(now, service, age)
    }

    /// Returns whether all instances have told this gate which requests run, those that are leaving
    /// included, and none is missing. An instance that is silent for the time limit of links is no
    /// longer linked.
    pub(in crate::gate) fn knows_all_runs(&self, now: Duration) -> bool {
        let mut state = self.state();
        // What is reserved for missing instances ends with time.
        state.update_fleet_share(now);
        state.note_introductions(now);
        let Some(roll_outs) = &state.roll_outs else { return false };
        let Some(tenure_since) = roll_outs.tenure_since else { return false };
        let settled_at = tenure_since.max(roll_outs.introduced_at) + REPORT_TIME;
        let share = state.dispatcher.fleet_share();
        let linked = state.linked_instances();
        let members = self.members.load();
        now >= settled_at
            && share.is_majority()
            && share.has_all_limits()
            && members.all().iter().all(|member| linked.contains(&member.instance))
    }

    /// Returns whether no request runs or waits at other versions than the target.
    pub(in crate::gate) fn is_old_idle(&self, now: Duration, service: &ServiceName) -> bool {
        let state = self.state();
        let fleet = state.dispatcher.roll_out_state(now, service, Duration::ZERO);
        fleet.is_some_and(|fleet| fleet.old_running == 0)
    }

    /// Returns whether no request runs or waits at the versions that the roll-out of a service to a
    /// target has left, or at one that is no longer registered.
    pub(in crate::gate) fn has_left(
        &self,
        service: &ServiceName,
        target: &SoftwareVersion,
        left: &BTreeSet<SoftwareVersion>,
    ) -> bool {
        self.state().dispatcher.has_left(service, target, left)
    }
}

/// Encodes records as in the key-value service; `None` if there is none.
fn encode_records<I>(records: I) -> Option<EncodedRollOuts>
where
    I: IntoIterator<Item = RollOutRecord>,
{
    let encoded = records.into_iter().filter_map(|record| serde_json::to_vec(&record).ok());
    Some(encoded.collect::<EncodedRollOuts>()).filter(|records| !records.is_empty())
}

impl State {
    /// Returns the records that this instance knows, with the present age of each order.
    pub(super) fn told_roll_outs(&self, now: Duration) -> Trailing<EncodedRollOuts> {
        let known = self.roll_outs.iter().flat_map(|roll_outs| roll_outs.known.values());
        Trailing(encode_records(known.map(|known| known.at(now))))
    }

    /// Adds records of another instance. One that can't be read is ignored: it is of a later build,
    /// and this build could not act on it.
    pub(super) fn learn_roll_outs(
        &mut self,
        now: Duration,
        told: &Trailing<EncodedRollOuts>,
        is_from_gate: bool,
    ) {
        for record in told.0.iter().flatten() {
            if let Ok(record) = serde_json::from_slice(record) {
                self.learn_roll_out(now, record, is_from_gate);
            }
        }
    }

    /// Adds a record; returns whether it says more than the one known so far, besides the age of
    /// the order. What the gate tells replaces another final stage of the same order, as only a
    /// gate writes records.
    fn learn_roll_out(&mut self, now: Duration, told: RollOutRecord, is_from_gate: bool) -> bool {
        let Some(roll_outs) = &mut self.roll_outs else { return false };
        let before = roll_outs.known.get(&told.service).map(|known| known.at(now));
        let (first, second) = if is_from_gate {
            (Some(told.clone()), before.clone())
        } else {
            (before.clone(), Some(told.clone()))
        };
        let Some(mut record) = RollOutRecord::merged(first, second) else { return false };
        for other in before.iter().chain([&told]) {
            record.take_later_age(other);
        }
        let is_changed = before.is_none_or(|before| !record.is_equal_but_for_age(&before));
        roll_outs.known.insert(told.service, KnownRecord { record, at: now });
        is_changed
    }

    fn linked_instances(&self) -> BTreeSet<&InstanceName> {
        self.links.values().filter_map(|link| link.instance.as_ref()).collect()
    }

    /// Notes when the last link was introduced.
    fn note_introductions(&mut self, now: Duration) {
        let Some(roll_outs) = &mut self.roll_outs else { return };
        let introduced = self.links.iter().filter(|(_, link)| link.instance.is_some());
        let introduced: BTreeSet<u64> = introduced.map(|(id, _)| *id).collect();
        if !introduced.is_subset(&roll_outs.introduced_links) {
            roll_outs.introduced_at = now;
        }
        roll_outs.introduced_links = introduced;
    }

    /// Tells the dispatcher which versions it must not use.
    pub(super) fn apply_rules(&mut self, now: Duration, orders_age: Option<Duration>) {
        let Some(roll_outs) = &mut self.roll_outs else { return };
        roll_outs.rules.advance(now);
        roll_outs.orders_confirmed_at = orders_age.map(|age| now.saturating_sub(age));
        let is_majority = self.dispatcher.fleet_share().is_majority();
        let barred = roll_outs.rules.barred(Role { is_majority, orders_age });
        self.dispatcher.set_cold_upstreams(&roll_outs.rules.cold_until());
        let decisions = self.dispatcher.set_barred_versions(now, barred);
        self.send_decisions(decisions);
    }

    /// Notes that the registry has changed.
    pub(super) fn note_registered_versions(&mut self, now: Duration, orders_age: Option<Duration>) {
        let Some(roll_outs) = &mut self.roll_outs else { return };
        let revision = roll_outs.registry_revision;
        roll_outs.rules.advance(now);
        roll_outs.rules.set_registered(self.versions.registered(), revision);
        self.apply_rules(now, orders_age);
    }

    /// Adapts the roll-outs to the share of the fleet: a gate of a minority holds none.
    pub(super) fn limit_roll_outs(&mut self, now: Duration) {
        let Some(roll_outs) = &self.roll_outs else { return };
        let orders_age = roll_outs.orders_confirmed_at.map(|at| now.saturating_sub(at));
        if !self.dispatcher.fleet_share().is_majority() {
            self.dispatcher.release_roll_outs();
        }
        self.apply_rules(now, orders_age);
    }

    /// Extends the use of targets while this gate decides for a majority.
    pub(super) fn extend_roll_outs(&mut self, now: Duration, orders_age: Option<Duration>) {
        self.note_introductions(now);
        self.apply_rules(now, orders_age);
        let is_majority = self.dispatcher.fleet_share().is_majority();
        if self.roll_outs.is_some() && is_majority && !self.pauses.is_settling(now) {
            self.dispatcher.extend_roll_outs(now + HOLD_TIME);
        }
    }
}
