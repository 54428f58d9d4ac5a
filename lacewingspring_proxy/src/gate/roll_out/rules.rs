//! Which versions an instance must not use, by the orders that it knows and its role.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use lacewingspring_core::{
    dispatch::{BarredVersions, UpstreamInfo},
    names::{ServiceName, SoftwareVersion, UpstreamName},
    roll_out::{Bounds, OrderId},
};

use super::{ColdUpstream, DeclaredOrder, DeclaredOrders, confirmations::VersionConfirmations};
use crate::store::Revision;

/// Age of the copy of the orders up to which an instance that decides for a minority relies on it.
const MAX_ORDERS_AGE: Duration = Duration::from_millis(1_500);

/// What the keeper of this gate knows of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeptRule {
    /// Order that the record is for.
    pub order: OrderId,
    /// Target of the order.
    pub target: SoftwareVersion,
    /// Whether the target is free to be used: the gate holds the roll-out, or it is completed.
    pub is_target_usable: bool,
    /// Versions that were rolled back; they get nothing beside other versions until they have
    /// served alone.
    pub rolled_back: BTreeSet<SoftwareVersion>,
    /// Versions in service: those with which the target is compared, or the target once it is
    /// completed. The outcome of the order does not exclude them.
    pub in_service: BTreeSet<SoftwareVersion>,
    /// Versions that a completed roll-out has left; they get nothing beside other versions.
    pub left: BTreeSet<SoftwareVersion>,
}

/// Role of an instance, on which the versions that it may use depend.
#[derive(Clone, Copy, Debug)]
pub struct Role {
    /// Whether it decides for more than half of the fleet.
    pub is_majority: bool,
    /// Age of its copy of the orders; `None` before it was read.
    pub orders_age: Option<Duration>,
}

/// Orders, versions and what the keeper knows.
#[derive(Debug)]
pub struct RollOutRules {
    /// Bounds on what a bad version may get.
    pub bounds: Bounds,
    confirmations: VersionConfirmations,
    orders: DeclaredOrders,
    /// Time at which each order was seen first.
    seen: BTreeMap<OrderId, Duration>,
    /// Latest time given to [`Self::advance`], by which orders are past their deadline.
    now: Duration,
    /// Orders whose target has served alone since.
    freed: BTreeSet<OrderId>,
    /// Targets of orders that were deleted or replaced before their version served alone.
    former_targets: BTreeSet<(ServiceName, SoftwareVersion)>,
    /// Revision up to which the copy of the orders is complete.
    orders_revision: Revision,
    /// What the keeper knows of each service; `None` before it has read the records.
    kept: Option<BTreeMap<ServiceName, KeptRule>>,
    /// Upstreams that are slow after their start: the revision of the entry, and the time until
    /// which the upstream stays slow.
    cold: BTreeMap<UpstreamName, (Revision, Duration)>,
}

impl RollOutRules {
    /// Creates rules without orders and versions.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            confirmations: VersionConfirmations::default(),
            orders: DeclaredOrders::default(),
            seen: BTreeMap::new(),
            now: Duration::ZERO,
            freed: BTreeSet::new(),
            former_targets: BTreeSet::new(),
            orders_revision: Revision::default(),
            kept: None,
            cold: BTreeMap::new(),
        }
    }

    /// Notes the time, by which orders are in progress or past their deadline.
    pub fn advance(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    /// Replaces the orders by those of a copy at a revision.
    pub fn set_orders(&mut self, now: Duration, orders: DeclaredOrders, revision: Revision) {
        self.advance(now);
        let ids: BTreeSet<OrderId> = orders.orders.iter().map(DeclaredOrder::id).collect();
        self.seen.retain(|id, _| ids.contains(id));
        for id in ids {
            self.seen.entry(id).or_insert(now);
        }
        let before = std::mem::replace(&mut self.orders, orders);
        for DeclaredOrder { service, target, .. } in before.orders {
            self.former_targets.insert((service, target));
        }
        self.forget_former_targets();
        self.free_targets();
        self.confirm(revision);
    }

    /// Notes the orders whose target is the only registered version of its service. An instance
    /// without records then no longer bars the target, also if other versions are registered later,
    /// unless [`Self::restrict_targets`] withdraws that.
    fn free_targets(&mut self) {
        let Self { freed, orders, confirmations, .. } = self;
        freed.retain(|id| orders.orders.iter().any(|order| order.id() == *id));
        let is_alone =
            |order: &&DeclaredOrder| confirmations.registered(&order.service).eq([&order.target]);
        freed.extend(orders.orders.iter().filter(is_alone).map(DeclaredOrder::id));
    }

    /// Withdraws that a target served alone if a version that it appeared beside is back before the
    /// deadline: the entries of the old upstreams were gone for a moment only.
    fn restrict_targets(&mut self) {
        let Self { now, freed, seen, orders, confirmations, .. } = self;
        for order in &orders.orders {
            let seen_at = seen.get(&order.id()).copied().unwrap_or_default();
            let is_in_progress = *now < seen_at + order.allowed;
            if is_in_progress && confirmations.restore_beside(&order.service, &order.target) {
                freed.remove(&order.id());
            }
        }
    }

    /// Forgets the former targets that are ordered again, have left or have served alone since.
    fn forget_former_targets(&mut self) {
        let Self { former_targets, orders, confirmations, .. } = self;
        former_targets.retain(|(service, target)| {
            let is_ordered = orders
                .orders
                .iter()
                .any(|order| order.service == *service && order.target == *target);
            !is_ordered && confirmations.is_beside(service, target)
        });
    }

    /// Replaces the registered upstreams by those of a copy at a revision.
    pub fn set_registered(&mut self, upstreams: &[UpstreamInfo], revision: Revision) {
        self.confirmations.set_registered(upstreams, revision);
        self.confirmations.confirm(self.orders_revision);
        self.restrict_targets();
        self.forget_former_targets();
        self.free_targets();
        let Self { kept, confirmations, .. } = self;
        for (service, rule) in kept.iter_mut().flatten() {
            rule.left.retain(|left| confirmations.registered(service).any(|known| known == left));
        }
    }

    /// Replaces the upstreams that are slow after their start.
    pub fn set_cold(&mut self, now: Duration, cold: Vec<ColdUpstream>) {
        let before = std::mem::take(&mut self.cold);
        for ColdUpstream { name, remaining, revision } in cold {
            let known = before.get(&name).filter(|(at, _)| *at == revision);
            let until = known.map_or(now + remaining, |(_, until)| *until);
            self.cold.insert(name, (revision, until));
        }
    }

    /// Returns the time until which each new upstream stays slow.
    pub fn cold_until(&self) -> BTreeMap<UpstreamName, Duration> {
        self.cold.iter().map(|(name, (_, until))| (name.clone(), *until)).collect()
    }

    /// Notes that the copy of the orders is complete up to a revision; returns whether a version
    /// is confirmed by it.
    pub fn confirm(&mut self, revision: Revision) -> bool {
        self.orders_revision = self.orders_revision.max(revision);
        self.confirmations.confirm(self.orders_revision)
    }

    /// Returns whether a registered version waits for a confirmation.
    pub fn has_unconfirmed(&self) -> bool {
        self.confirmations.has_unconfirmed()
    }

    /// Returns the order for a service with the time at which it was seen first.
    pub fn order(&self, service: &ServiceName) -> Option<(&DeclaredOrder, Duration)> {
        let order = self.orders.orders.iter().find(|order| order.service == *service)?;
        Some((order, self.seen.get(&order.id()).copied().unwrap_or_default()))
    }

    /// Returns the services with an order.
    pub fn ordered_services(&self) -> impl Iterator<Item = &ServiceName> {
        self.orders.orders.iter().map(|order| &order.service)
    }

    /// Returns whether the key of a service's order has a value that can't be read.
    pub fn is_unreadable(&self, service: &ServiceName) -> bool {
        self.orders.unreadable.contains(service)
    }

    /// Returns the revision up to which the copy of the orders is complete.
    pub fn orders_revision(&self) -> Revision {
        self.orders_revision
    }

    /// Returns the registered versions of a service.
    pub fn registered(&self, service: &ServiceName) -> impl Iterator<Item = &SoftwareVersion> {
        self.confirmations.registered(service)
    }

    /// Returns the registered versions of a service, ordered by start, the earliest first.
    pub fn registered_by_start(&self, service: &ServiceName) -> Vec<SoftwareVersion> {
        let mut versions: Vec<SoftwareVersion> = self.registered(service).cloned().collect();
        versions.sort_by_key(|version| self.confirmations.started_at_ms(service, version));
        versions
    }

    /// Begins a tenure of the keeper, whose records are read.
    pub fn begin_tenure(&mut self) {
        self.kept.get_or_insert_default();
    }

    /// Ends the tenure of the keeper; returns whether there was one. Versions that its records
    /// exclude stay excluded.
    pub fn end_tenure(&mut self) -> bool {
        let Some(kept) = self.kept.take() else { return false };
        for (service, rule) in kept {
            let unusable = Some(rule.target).filter(|_| !rule.is_target_usable);
            let excluded = rule.rolled_back.into_iter().chain(unusable);
            self.former_targets.extend(excluded.map(|version| (service.clone(), version)));
        }
        self.forget_former_targets();
        true
    }

    /// Sets what the keeper knows of a service; `None` while its record is not known.
    pub fn set_kept(&mut self, service: &ServiceName, rule: Option<KeptRule>) {
        let Some(kept) = &mut self.kept else { return };
        match rule {
            Some(rule) => kept.insert(service.clone(), rule),
            None => kept.remove(service),
        };
    }

    /// Returns the versions that get no request at this instance.
    pub fn barred(&self, role: Role) -> BarredVersions {
        let mut barred = BarredVersions::new();
        let mut bar = |service: &ServiceName, version: &SoftwareVersion| {
            barred.entry(service.clone()).or_default().insert(version.clone());
        };
        let has_old_orders = role.orders_age.is_none_or(|age| age > MAX_ORDERS_AGE);
        let kept = self.kept.as_ref().filter(|_| role.is_majority);
        // The record of a service says more than former targets, once it is read.
        let has_rule = |service| kept.is_some_and(|kept| kept.contains_key(service));
        for (service, version) in
            self.former_targets.iter().filter(|(service, _)| !has_rule(service))
        {
            bar(service, version);
        }
        for order in &self.orders.orders {
            let rule = kept.and_then(|kept| kept.get(&order.service));
            let is_usable =
                rule.is_some_and(|rule| rule.is_target_usable && rule.target == order.target);
            let is_freed = match rule {
                Some(rule) => {
                    rule.target == order.target
                        && self.serves_again(&order.service, rule, &order.target)
                }
                None => kept.is_none() && self.freed.contains(&order.id()),
            };
            if !is_usable && !is_freed && self.has_others(&order.service, &order.target) {
                bar(&order.service, &order.target);
            }
        }
        for (service, rule) in kept.into_iter().flatten() {
            // Nothing else can serve instead of the only version.
            for version in self.excluded(service, rule).filter(|v| self.has_others(service, v)) {
                bar(service, version);
            }
        }
        self.bar_doubtful(&mut barred, !role.is_majority && has_old_orders, kept);
        barred
    }

    /// Returns the versions that get nothing beside others by what the keeper knows.
    fn excluded<'a>(
        &'a self,
        service: &'a ServiceName,
        rule: &'a KeptRule,
    ) -> impl Iterator<Item = &'a SoftwareVersion> {
        let unusable = Some(&rule.target).filter(|_| !rule.is_target_usable);
        let rolled_back = rule.rolled_back.iter().chain(unusable);
        let excluded = rolled_back.filter(|version| !self.serves_again(service, rule, version));
        excluded.chain(&rule.left)
    }

    /// Returns whether a version that was rolled back is in service again: it has served alone
    /// since, and none of the versions that were in service at the order is registered.
    fn serves_again(
        &self,
        service: &ServiceName,
        rule: &KeptRule,
        version: &SoftwareVersion,
    ) -> bool {
        let registered: BTreeSet<&SoftwareVersion> = self.registered(service).collect();
        let mut others = rule.in_service.iter().filter(|other| *other != version);
        registered.contains(version)
            && !self.confirmations.is_beside(service, version)
            && !others.any(|other| registered.contains(other))
    }

    /// Returns the versions of a service that were rolled back and are in service all the same.
    pub fn serving_again(&self, service: &ServiceName) -> BTreeSet<SoftwareVersion> {
        let Some(rule) = self.kept.as_ref().and_then(|kept| kept.get(service)) else {
            return BTreeSet::new();
        };
        let rolled_back = rule.rolled_back.iter().chain([&rule.target]);
        rolled_back.filter(|version| self.serves_again(service, rule, version)).cloned().collect()
    }

    /// Adds the versions that may be the target of an order which this instance has not seen. If no
    /// version would be left to serve without limits, the one in service is used.
    fn bar_doubtful(
        &self,
        barred: &mut BarredVersions,
        includes_beside: bool,
        kept: Option<&BTreeMap<ServiceName, KeptRule>>,
    ) {
        let named = barred.clone();
        for (service, version) in self.confirmations.doubtful(includes_beside) {
            barred.entry(service.clone()).or_default().insert(version.clone());
        }
        for (service, versions) in &mut *barred {
            let rule = kept.and_then(|kept| kept.get(service));
            let named = named.get(service);
            if let Some(spared) = self.version_in_service(service, versions, named, rule) {
                versions.remove(&spared);
            }
        }
        barred.retain(|_, versions| !versions.is_empty());
    }

    /// Returns the barred version that is in service, if all versions are barred but a target that
    /// gets only what its roll-out gives it.
    ///
    /// A version that was there first, or alone, comes before one that appeared beside another, as
    /// a target does; then one that no order names; then the one that was started first.
    fn version_in_service(
        &self,
        service: &ServiceName,
        barred: &BTreeSet<SoftwareVersion>,
        named: Option<&BTreeSet<SoftwareVersion>>,
        rule: Option<&KeptRule>,
    ) -> Option<SoftwareVersion> {
        let is_limited = |version: &SoftwareVersion| {
            let rule = rule.filter(|rule| rule.is_target_usable && rule.target == *version);
            rule.is_some_and(|rule| !rule.in_service.contains(version))
        };
        let mut registered = self.registered(service);
        if !registered.all(|version| barred.contains(version) || is_limited(version)) {
            return None;
        }
        let candidates = self.registered(service).filter(|version| barred.contains(*version));
        let spared = candidates.min_by_key(|version| {
            let is_excluded = rule
                .is_some_and(|rule| self.excluded(service, rule).any(|other| other == *version));
            let is_named = named.is_some_and(|named| named.contains(*version));
            let started_at_ms = self.confirmations.started_at_ms(service, version);
            (is_excluded, self.confirmations.is_beside(service, version), is_named, started_at_ms)
        });
        spared.cloned()
    }

    /// Returns whether another version of a service than this is registered.
    fn has_others(&self, service: &ServiceName, version: &SoftwareVersion) -> bool {
        self.registered(service).any(|other| other != version)
    }
}
