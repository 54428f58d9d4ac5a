//! Record of a roll-out in the key-value service, by which a successor continues it.

use std::{collections::BTreeSet, time::Duration};

use lacewingspring_core::{
    names::{ServiceName, SoftwareVersion},
    roll_out::{Counts, Order, OrderId, Stage},
};
use serde::{Deserialize, Serialize};

use super::DeclaredOrder;

/// Prefix of the keys; the service follows.
pub(super) const PREFIX: &str = "lacewingspring/roll-outs/";

/// Longest time that may have passed between two holders of a record by their wall clocks; a longer
/// one is a fault of a clock.
const MAX_CLOCK_STEP_MS: u64 = 3_600_000;

/// Record of the latest order of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(in crate::gate) struct RollOutRecord {
    /// Service whose traffic moves.
    pub service: ServiceName,
    /// Version to which it moves.
    pub target: SoftwareVersion,
    /// Identity of the order.
    pub order: OrderId,
    /// Time that the operator allows.
    pub allowed_ms: u64,
    /// Age of the order when the record was written.
    pub age_ms: u64,
    /// Wall-clock time at which it was written, in Unix milliseconds.
    pub wall_ms: u64,
    /// Stage of the roll-out.
    pub stage: Stage,
    /// Requests and responses; those reserved for the target count as granted.
    pub counts: Counts,
    /// Versions that were rolled back, the target of this order not included.
    #[serde(default)]
    pub rolled_back: BTreeSet<SoftwareVersion>,
    /// Versions that served when the roll-out was completed.
    #[serde(default)]
    pub left: BTreeSet<SoftwareVersion>,
    /// Versions in service: those that served when the order was taken up, with which the target is
    /// compared, or the target once it is completed. `None` if none was registered then, or in a
    /// record of an earlier build.
    #[serde(default)]
    pub in_service: Option<BTreeSet<SoftwareVersion>>,
}

impl RollOutRecord {
    /// Creates the record of an order that replaces an earlier one. `registered` is ordered by
    /// start, the earliest first; `serving_again` are rolled-back versions that serve again.
    pub fn new(
        order: &DeclaredOrder,
        before: Option<&Self>,
        registered: &[SoftwareVersion],
        serving_again: &BTreeSet<SoftwareVersion>,
    ) -> Self {
        let target = &order.target;
        let mut rolled_back = before.map(Self::excluded).unwrap_or_default();
        rolled_back.retain(|version| version != target && !serving_again.contains(version));
        let mut others = registered.iter().filter(|version| *version != target);
        let usable = others.clone().filter(|version| !rolled_back.contains(*version));
        let mut in_service: BTreeSet<SoftwareVersion> = usable.cloned().collect();
        if in_service.is_empty() && before.is_none_or(|before| before.may_serve(target)) {
            in_service.extend(registered.contains(target).then(|| target.clone()));
        } else if in_service.is_empty()
            && let Some(first) = others.next()
        {
            // All other versions were rolled back and the target is new, so the one that was
            // started first must have served.
            rolled_back.remove(first);
            in_service.insert(first.clone());
        }
        let is_target_in_service = in_service.contains(target);
        Self {
            service: order.service.clone(),
            target: target.clone(),
            order: order.id(),
            allowed_ms: order.allowed.as_millis() as u64,
            age_ms: 0,
            wall_ms: 0,
            stage: if is_target_in_service { Stage::Shifting } else { Stage::Observing },
            counts: Counts::default(),
            rolled_back,
            left: BTreeSet::new(),
            in_service: Some(in_service).filter(|versions| !versions.is_empty()),
        }
    }

    /// Returns the versions that get nothing by this order and earlier ones.
    fn excluded(&self) -> BTreeSet<SoftwareVersion> {
        let target = Some(&self.target)
            .filter(|_| self.stage != Stage::Completed && !self.is_target_in_service());
        self.rolled_back.iter().chain(target).cloned().collect()
    }

    /// Returns whether the target is in service, as of an order that returns to that version.
    pub fn is_target_in_service(&self) -> bool {
        self.in_service.as_ref().is_some_and(|versions| versions.contains(&self.target))
    }

    /// Returns whether a version is in service as far as the record tells.
    fn may_serve(&self, version: &SoftwareVersion) -> bool {
        self.in_service.as_ref().is_none_or(|versions| versions.contains(version))
    }

    /// Returns whether it is the record of an order.
    pub fn is_of(&self, order: &DeclaredOrder) -> bool {
        self.has_order(&order.target, order.allowed.as_millis() as u64, order.id())
    }

    /// Returns whether it is the record of an order with these properties. An order that was
    /// restored from a copy of the key-value service, or written again after that, has another
    /// revision.
    fn has_order(&self, target: &SoftwareVersion, allowed_ms: u64, id: OrderId) -> bool {
        let is_alike = self.target == *target && self.allowed_ms == allowed_ms;
        self.order == id || (is_alike && self.order.era != id.era)
    }

    /// Returns the age of the order at a wall-clock time.
    pub fn age(&self, wall: Duration) -> Duration {
        let since_ms = (wall.as_millis() as u64).saturating_sub(self.wall_ms);
        Duration::from_millis(self.age_ms + since_ms.min(MAX_CLOCK_STEP_MS))
    }

    /// Returns the record as it is when `passed` has gone by, measured by a clock without steps.
    /// The time that its reader adds by wall clocks begins then.
    pub fn aged(&self, passed: Duration) -> Self {
        let passed_ms = passed.as_millis() as u64;
        Self {
            age_ms: self.age_ms.saturating_add(passed_ms),
            wall_ms: self.wall_ms.saturating_add(passed_ms),
            ..self.clone()
        }
    }

    /// Takes the age of the order from another record of it in which the order is older: the age
    /// was measured later there.
    pub fn take_later_age(&mut self, other: &Self) {
        if self.order == other.order && self.age_ms < other.age_ms {
            (self.age_ms, self.wall_ms) = (other.age_ms, other.wall_ms);
        }
    }

    /// Returns whether two records are equal but for the age of the order.
    pub fn is_equal_but_for_age(&self, other: &Self) -> bool {
        *self == Self { age_ms: self.age_ms, wall_ms: self.wall_ms, ..other.clone() }
    }

    /// Returns the record as it is written when the order is of this age.
    pub fn stamped(&self, age: Duration, wall: Duration) -> Self {
        let (age_ms, wall_ms) = (age.as_millis() as u64, wall.as_millis() as u64);
        Self { age_ms, wall_ms, ..self.clone() }
    }

    /// Returns the order with the times of this process.
    pub fn order_at(&self, now: Duration, wall: Duration) -> Order {
        let received_at = now.saturating_sub(self.age(wall));
        Order {
            service: self.service.clone(),
            target: self.target.clone(),
            received_at,
            deadline: received_at + Duration::from_millis(self.allowed_ms),
            id: self.order,
        }
    }

    /// Adds what was known before the key-value service was restored from an older copy: neither
    /// counts nor the stage go back.
    pub fn merged(stored: Option<Self>, known: Option<Self>) -> Option<Self> {
        let (Some(stored), Some(known)) = (stored.clone(), known.clone()) else {
            return stored.or(known);
        };
        if stored.order != known.order {
            let (earlier, later) =
                if stored.order < known.order { (&stored, &known) } else { (&known, &stored) };
            // A gate that did not know of the roll-back may have taken the restored order up. A
            // completion does not count, as the order may be a new one for an earlier target.
            let is_rolled_back = matches!(earlier.stage, Stage::RolledBack(_));
            if !is_rolled_back || !earlier.has_order(&later.target, later.allowed_ms, later.order) {
                return Some(later.clone());
            }
        }
        let is_known_later = rank(&known.stage) > rank(&stored.stage);
        let (mut latest, other) = if is_known_later { (known, stored) } else { (stored, known) };
        latest.order = latest.order.max(other.order);
        latest.counts = largest(latest.counts, other.counts);
        latest.rolled_back.extend(other.rolled_back);
        latest.left.extend(other.left);
        Some(latest)
    }
}

/// Returns a number that grows with the stages of a roll-out.
fn rank(stage: &Stage) -> u8 {
    match stage {
        Stage::Observing => 0,
        Stage::Shifting => 1,
        Stage::Completed | Stage::RolledBack(_) => 2,
    }
}

fn largest(a: Counts, b: Counts) -> Counts {
    let most = if a.target.responses >= b.target.responses { a } else { b };
    Counts {
        requests: a.requests.max(b.requests),
        target_requests: a.target_requests.max(b.target_requests),
        bad: a.bad.max(b.bad),
        ..most
    }
}
