//! Part of the fleet's slots and limits that a gate may use.
//!
//! Two gates may decide at the same time, each for the instances on its side of a network
//! partition. Each uses a part, such that the parts of the limits add up to the whole at most. An
//! instance whose entry vanished although it did not leave may still decide on its own, so a
//! majority's gate goes on reserving for it what a minority's gate may hand out.

use std::{cmp::Reverse, collections::HashMap, time::Duration};

use crate::names::InstanceName;

/// Factor on the fraction of the workspace limits that a gate hands out while it decides for a
/// minority of the fleet only. A majority's gate reserves this much for each instance that is not
/// linked to it.
const MINORITY_LIMIT_FACTOR: f64 = 0.5;

/// Time after which an instance without an entry no longer counts as one that may decide alone.
const MISSING_RETENTION: Duration = Duration::from_secs(600);

/// Part of the fleet's slots and limits that a gate may use, each from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetShare {
    /// Fraction of all slots.
    pub slots: f64,
    /// Fraction of all limits.
    pub limits: f64,
    /// Fraction of all slots that the gates of instances apart from this one may use at the same
    /// time, as far as the gate of a majority knows. A minority keeps to its own fraction.
    pub slots_of_others: f64,
}

impl FleetShare {
    /// The whole fleet.
    pub const WHOLE: Self = Self { slots: 1.0, limits: 1.0, slots_of_others: 0.0 };

    /// Creates the share of a gate that schedules a minority of the fleet.
    pub fn of_minority(fraction: f64) -> Self {
        Self { slots: fraction, limits: fraction * MINORITY_LIMIT_FACTOR, slots_of_others: 0.0 }
    }

    /// Returns whether this is the share of a gate that schedules more than half of the fleet.
    pub fn is_majority(&self) -> bool {
        self.slots >= Self::WHOLE.slots
    }

    /// Returns whether nothing of the limits is reserved for other gates.
    pub fn has_all_limits(&self) -> bool {
        self.limits >= Self::WHOLE.limits
    }
}

/// An instance of the fleet, as far as the shares of gates depend on it.
#[derive(Clone, Debug)]
pub struct RegisteredInstance {
    /// Name of the instance.
    pub name: InstanceName,
    /// Number that distinguishes its process from earlier ones.
    pub incarnation: u64,
    /// Whether it is about to stop.
    pub is_leaving: bool,
}

/// An instance that vanished although it did not leave: it crashed, or is cut off.
#[derive(Debug)]
struct Missing {
    /// Its process; `None` if this gate never saw its entry.
    incarnation: Option<u64>,
    since: Duration,
    /// Time since which it is linked here; zero if it was when it vanished, `None` if it is not
    /// linked.
    linked_since: Option<Duration>,
}

impl Missing {
    /// Returns whether it may decide alone, or has handed out units that still count: until it has
    /// been linked for a whole window.
    fn is_apart(&self, now: Duration, limit_window: Duration) -> bool {
        self.linked_since.is_none_or(|since| now.saturating_sub(since) < limit_window)
    }
}

/// The instances that may hand out slots and limits.
#[derive(Debug, Default)]
pub struct FleetRoster {
    registered: HashMap<InstanceName, RegisteredInstance>,
    missing: HashMap<InstanceName, Missing>,
    linked: HashMap<InstanceName, LinkedInstance>,
}

/// An instance that is linked.
#[derive(Debug)]
struct LinkedInstance {
    /// Number of its links.
    links: usize,
    /// Time of its last message.
    heard_at: Duration,
}

impl FleetRoster {
    /// Replaces the registered instances.
    pub fn set_registered<I>(&mut self, now: Duration, instances: I)
    where
        I: IntoIterator<Item = RegisteredInstance>,
    {
        let instances = instances.into_iter().map(|instance| (instance.name.clone(), instance));
        let before = std::mem::replace(&mut self.registered, instances.collect());
        for (name, instance) in before {
            if !instance.is_leaving && !self.registered.contains_key(&name) {
                let incarnation = Some(instance.incarnation);
                let linked_since = self.linked.contains_key(&name).then_some(Duration::ZERO);
                self.missing.insert(name, Missing { incarnation, since: now, linked_since });
            }
        }
        // A new process of an instance has taken the place of the one that is missing.
        let registered = &self.registered;
        self.missing.retain(|name, missing| {
            let is_other = |known: &RegisteredInstance| {
                missing.incarnation.is_some_and(|i| i != known.incarnation)
            };
            !registered.get(name).is_some_and(is_other)
        });
    }

    /// Records a link of an instance, which may have been told the usage of limits before.
    ///
    /// If it was and has no entry, it lost the key-value service, and may have decided alone.
    pub fn link(&mut self, now: Duration, instance: InstanceName, knows_usage: bool) {
        if knows_usage && !self.registered.contains_key(&instance) {
            let new = Missing { incarnation: None, since: now, linked_since: None };
            self.missing.entry(instance.clone()).or_insert(new);
        }
        let new = LinkedInstance { links: 0, heard_at: now };
        let linked = self.linked.entry(instance).or_insert(new);
        linked.links += 1;
        linked.heard_at = now;
    }

    /// Records a message of an instance.
    pub fn hear(&mut self, now: Duration, instance: &InstanceName) {
        if let Some(linked) = self.linked.get_mut(instance) {
            linked.heard_at = now;
        }
    }

    /// Returns the latest time at which more than half of the fleet was known to be linked: each of
    /// them was heard then or later. `None` if no majority is linked.
    pub fn majority_heard_at(&self) -> Option<Duration> {
        let mut heard: Vec<Duration> = self.linked.values().map(|linked| linked.heard_at).collect();
        heard.sort_unstable_by_key(|at| Reverse(*at));
        heard.get(self.counted().count() / 2).copied()
    }

    /// Records that a link of an instance was closed.
    pub fn unlink(&mut self, instance: &InstanceName) {
        let Some(linked) = self.linked.get_mut(instance) else { return };
        linked.links -= 1;
        if linked.links == 0 {
            self.linked.remove(instance);
        }
    }

    /// Returns the number of linked instances.
    pub fn linked(&self) -> usize {
        self.linked.len()
    }

    /// Returns the number of registered instances that are not leaving.
    pub fn active(&self) -> usize {
        self.registered.values().filter(|instance| !instance.is_leaving).count()
    }

    /// Returns the registered instances that shares are relative to: those that stay or, if all
    /// leave, those that leave, as they serve until they stop.
    fn counted(&self) -> impl Iterator<Item = &RegisteredInstance> {
        let all_leave = self.active() == 0;
        self.registered.values().filter(move |instance| all_leave || !instance.is_leaving)
    }

    /// Returns the share of the gate with these links, where limits are counted in windows of
    /// `limit_window`.
    pub fn share(&mut self, now: Duration, limit_window: Duration) -> FleetShare {
        self.track_missing(now);
        let counted = self.counted().count();
        if counted == 0 {
            // Before it knows the fleet, each instance of it might take itself for the only one.
            return FleetShare::of_minority(0.0);
        }
        let linked = self.linked.len();
        if linked * 2 <= counted {
            return FleetShare::of_minority(linked as f64 / counted as f64);
        }
        let unlinked = self.counted().filter(|instance| {
            let name = &instance.name;
            !self.linked.contains_key(name) && !self.missing.contains_key(name)
        });
        let missing = self.missing.values().filter(|known| known.is_apart(now, limit_window));
        let unlinked = unlinked.count();
        let apart = unlinked + missing.count();
        // Limits stay reserved for a window after an instance links again; its slots do not.
        let cut_off = self.missing.values().filter(|known| known.linked_since.is_none()).count();
        let unregistered = |name: &&InstanceName| !self.registered.contains_key(*name);
        let known = counted + self.missing.keys().filter(unregistered).count();
        let reserved = MINORITY_LIMIT_FACTOR * apart as f64 / known.max(apart) as f64;
        FleetShare {
            limits: FleetShare::WHOLE.limits - reserved,
            slots_of_others: (unlinked + cut_off) as f64 / known.max(apart) as f64,
            ..FleetShare::WHOLE
        }
    }

    /// Notes which missing instances are linked, and forgets those that have been missing for long.
    fn track_missing(&mut self, now: Duration) {
        let linked = &self.linked;
        self.missing.retain(|name, missing| {
            if linked.contains_key(name) {
                missing.linked_since.get_or_insert(now);
            } else {
                missing.linked_since = None;
            }
            now.saturating_sub(missing.since) < MISSING_RETENTION
        });
    }
}
