//! Two gates hand out the limit of one workspace while the fleet is parted.

use std::{collections::HashMap, sync::Arc, time::Duration};

use lacewingspring_core::{
    dispatch::{
        Decision, Dispatcher, FleetRoster, FleetShare, Limits, Quota, QuotaBounds,
        RegisteredInstance, SlotRequest, Ticket,
    },
    names::{InstanceName, WorkspaceName},
};

use crate::dispatch_support::{finished, ms, request, upstream};

mod dispatch_support;

const WINDOW: Duration = Duration::from_secs(8);
const RATE: f64 = 1_500.0;
const BURST: f64 = 1_500.0;
/// Units that a workspace may take in a window.
const LIMIT: f64 = RATE * 8.0 + BURST;
const STEP: Duration = Duration::from_millis(10);

/// A gate that is asked for more than the limit at every step, or for a part of it.
struct Gate {
    dispatcher: Dispatcher,
    roster: FleetRoster,
    /// Units that are requested in a second.
    demand: f64,
    requested: f64,
}

impl Gate {
    /// Creates a gate without links, which knows all instances of the fleet.
    fn new(fleet: &Fleet, demand: f64) -> Self {
        let mut dispatcher = Dispatcher::default();
        dispatcher.set_upstreams(fleet.now, [upstream("u", 10_000)]);
        let quota = Quota { rate: Some(RATE), burst: BURST };
        let quotas = HashMap::from([(WorkspaceName::from("w"), quota)]);
        dispatcher.set_limits(Limits {
            quotas: QuotaBounds { quotas, window: WINDOW },
            ..Limits::default()
        });
        let mut roster = FleetRoster::default();
        roster.set_registered(fleet.now, fleet.instances(0..fleet.size));
        Self { dispatcher, roster, demand, requested: 0.0 }
    }

    fn link(&mut self, now: Duration, instances: std::ops::Range<usize>) {
        for index in instances {
            self.roster.link(now, name(index), true);
            self.update_share(now);
        }
    }

    fn unlink(&mut self, now: Duration, instances: std::ops::Range<usize>) {
        for index in instances {
            self.roster.unlink(&name(index));
            self.update_share(now);
        }
    }

    fn update_share(&mut self, now: Duration) {
        let share = self.roster.share(now, WINDOW);
        self.dispatcher.set_fleet_share(now, share);
    }

    /// Plays one step; returns the units that were handed out.
    fn step(&mut self, now: Duration, next_number: &mut u64) -> f64 {
        self.requested += self.demand * STEP.as_secs_f64();
        let mut taken = 0.0;
        while self.requested >= 150.0 {
            self.requested -= 150.0;
            *next_number += 1;
            let ticket = Ticket { link: 1, number: *next_number };
            let request = SlotRequest { class: Arc::from("a"), ..request("a") };
            let decisions = self.dispatcher.request_slot(now, ticket, request);
            if matches!(decisions[..], [Decision::Granted(..)]) {
                taken += 150.0;
                let end = finished(1, 1);
                self.dispatcher.end(now, ticket, end);
            }
        }
        taken
    }
}

/// What all gates together hand out, in virtual time.
struct Fleet {
    size: usize,
    now: Duration,
    next_number: u64,
    taken: Vec<(Duration, f64)>,
}

impl Fleet {
    fn new(size: usize) -> Self {
        Self { size, now: Duration::from_secs(100), next_number: 0, taken: Vec::new() }
    }

    fn instances(&self, indices: std::ops::Range<usize>) -> Vec<RegisteredInstance> {
        let instance = |index| RegisteredInstance {
            name: name(index),
            incarnation: index as u64,
            is_leaving: false,
        };
        indices.map(instance).collect()
    }

    fn play(&mut self, time: Duration, gates: &mut [&mut Gate]) {
        let end = self.now + time;
        while self.now < end {
            for gate in gates.iter_mut() {
                let units = gate.step(self.now, &mut self.next_number);
                self.taken.push((self.now, units));
            }
            self.now += STEP;
        }
    }

    /// Returns the most that was handed out in a window.
    fn most_in_a_window(&self) -> f64 {
        let mut most = 0.0_f64;
        let (mut sum, mut first) = (0.0, 0);
        for (at, units) in &self.taken {
            sum += units;
            while self.taken[first].0 + WINDOW <= *at {
                sum -= self.taken[first].1;
                first += 1;
            }
            most = most.max(sum);
        }
        most
    }

    fn taken_since(&self, since: Duration) -> f64 {
        self.taken.iter().filter(|(at, _)| *at >= since).map(|(_, units)| units).sum()
    }
}

fn name(index: usize) -> InstanceName {
    InstanceName::from(format!("i{index}").as_str())
}

/// What the new gate is told of the usage before.
#[derive(Clone, Copy, Debug)]
enum Told {
    /// Nothing.
    Nothing,
    /// What the old gate published until then, with the interval at which it is checked whether it
    /// must publish; the usage is as old as the last publication.
    Published(Duration),
    /// What the old gate published 3.5 s ago.
    Old,
}

/// The old gate, instance 0, and 29 others of 87 lose the key-value service, their entries lapse,
/// and the rest follows a new gate.
fn part(demand: f64, told: Told) -> (Fleet, Gate, Gate) {
    let mut fleet = Fleet::new(87);
    let mut old = Gate::new(&fleet, demand);
    old.link(fleet.now, 0..87);
    let mut new = Gate::new(&fleet, 0.0);
    fleet.play(WINDOW, &mut [&mut old]);
    let mut published_at = fleet.now;
    let mut usage = old.dispatcher.export_usage(fleet.now);
    let end = fleet.now + ms(3_500);
    while fleet.now < end {
        let Told::Published(interval) = told else {
            fleet.play(ms(3_500), &mut [&mut old]);
            break;
        };
        fleet.play(interval, &mut [&mut old]);
        if old.dispatcher.must_publish_usage() {
            published_at = fleet.now;
            usage = old.dispatcher.export_usage(fleet.now);
        }
    }
    let now = fleet.now;
    new.roster.set_registered(now, fleet.instances(30..87));
    old.unlink(now, 30..87);
    new.link(now, 30..87);
    match told {
        Told::Nothing => new.dispatcher.import_usage(now, now, &[]),
        Told::Published(_) | Told::Old => {
            new.dispatcher.import_usage(now, now - published_at, &usage);
        }
    }
    new.demand = demand;
    (fleet, old, new)
}

#[test]
fn a_parted_fleet_keeps_a_limit_at_each_moment() {
    let (mut fleet, mut old, mut new) = part(RATE * 10.0, Told::Published(ms(100)));
    fleet.play(Duration::from_secs(30), &mut [&mut old, &mut new]);
    let most = fleet.most_in_a_window();
    assert!(most <= LIMIT, "{most} units in a window, the limit is {LIMIT}");
    let since = fleet.now - WINDOW;
    let taken = fleet.taken_since(since);
    assert!(taken >= 0.95 * LIMIT, "{taken} units in the last window of {LIMIT}");
}

#[test]
fn a_parted_fleet_keeps_a_limit_with_usage_that_was_published_before() {
    for told in [Told::Published(ms(100)), Told::Old] {
        let (mut fleet, mut old, mut new) = part(RATE * 0.9, told);
        new.demand = RATE * 10.0;
        fleet.play(Duration::from_secs(20), &mut [&mut old, &mut new]);
        let most = fleet.most_in_a_window();
        assert!(most <= LIMIT, "{told:?}: {most} units in a window, the limit is {LIMIT}");
    }
}

#[test]
fn an_instance_that_was_told_no_usage_proves_none() {
    let (mut fleet, mut old, mut new) = part(RATE, Told::Nothing);
    new.demand = RATE * 10.0;
    fleet.play(Duration::from_secs(20), &mut [&mut old, &mut new]);
    let most = fleet.most_in_a_window();
    assert!(most <= LIMIT, "{most} units in a window, the limit is {LIMIT}");
}

#[test]
fn a_parted_fleet_serves_a_workspace_far_below_its_limit_on_both_sides() {
    let (mut fleet, mut old, mut new) = part(RATE * 0.5, Told::Published(ms(100)));
    old.demand = RATE * 0.15;
    new.demand = RATE * 0.35;
    let since = fleet.now;
    fleet.play(Duration::from_secs(12), &mut [&mut old, &mut new]);
    let taken = fleet.taken_since(since);
    let wanted = RATE * 0.5 * 12.0;
    assert!(taken >= 0.95 * wanted, "{taken} of {wanted} units were handed out");
}

#[test]
fn a_fleet_that_meets_again_keeps_a_limit() {
    let (mut fleet, mut old, mut new) = part(RATE * 10.0, Told::Published(ms(100)));
    fleet.play(Duration::from_secs(12), &mut [&mut old, &mut new]);
    let now = fleet.now;
    old.unlink(now, 0..30);
    new.roster.set_registered(now, fleet.instances(0..87));
    new.link(now, 0..30);
    for _ in 0..12 {
        fleet.play(Duration::from_secs(1), &mut [&mut new]);
        new.update_share(fleet.now);
    }
    let most = fleet.most_in_a_window();
    assert!(most <= LIMIT, "{most} units in a window, the limit is {LIMIT}");
    assert_eq!(new.dispatcher.fleet_share(), FleetShare::WHOLE);
}

#[test]
fn crashed_instances_take_half_of_their_part_of_the_limits_with_them_until_they_are_back() {
    let fleet = Fleet::new(20);
    let mut gate = Gate::new(&fleet, 0.0);
    gate.link(fleet.now, 0..20);
    assert_eq!(gate.dispatcher.fleet_share(), FleetShare::WHOLE);
    gate.unlink(fleet.now, 12..20);
    gate.roster.set_registered(fleet.now, fleet.instances(0..12));
    gate.update_share(fleet.now);
    assert_eq!(gate.dispatcher.fleet_share().limits, 0.8);
    let mut restarted = fleet.instances(0..20);
    for instance in &mut restarted[12..] {
        instance.incarnation += 1_000;
    }
    gate.roster.set_registered(fleet.now, restarted);
    gate.link(fleet.now, 12..20);
    assert_eq!(gate.dispatcher.fleet_share(), FleetShare::WHOLE);
}

#[test]
fn an_instance_that_does_not_know_the_fleet_yet_hands_out_no_limits() {
    let mut fleet = Fleet::new(1);
    let mut gate = Gate::new(&fleet, RATE);
    gate.roster = FleetRoster::default();
    gate.roster.link(fleet.now, name(0), false);
    gate.update_share(fleet.now);
    fleet.play(Duration::from_secs(1), &mut [&mut gate]);
    assert_eq!(fleet.most_in_a_window(), 0.0);
    gate.roster.set_registered(fleet.now, fleet.instances(0..1));
    gate.update_share(fleet.now);
    assert_eq!(gate.dispatcher.fleet_share(), FleetShare::WHOLE);
}

#[test]
fn instances_that_lost_only_the_store_take_nothing_of_the_limits_with_them() {
    let fleet = Fleet::new(20);
    let mut gate = Gate::new(&fleet, 0.0);
    gate.link(fleet.now, 0..20);
    gate.roster.set_registered(fleet.now, fleet.instances(0..12));
    gate.update_share(fleet.now);
    assert_eq!(gate.dispatcher.fleet_share(), FleetShare::WHOLE);
    gate.unlink(fleet.now, 12..20);
    gate.update_share(fleet.now);
    assert_eq!(gate.dispatcher.fleet_share().limits, 0.8, "they may decide alone now");
}

/// The next gate is a process that started while some instances had lost the store: it never saw
/// their entries. They come from another gate, which may have been one of a minority.
#[test]
fn a_new_process_reserves_for_instances_without_entries() {
    let mut fleet = Fleet::new(7);
    let mut minority = Gate::new(&fleet, RATE * 10.0);
    minority.link(fleet.now, 0..3);
    let mut majority = Gate::new(&fleet, RATE * 10.0);
    majority.roster.set_registered(fleet.now, fleet.instances(3..7));
    majority.link(fleet.now, 3..6);
    fleet.play(Duration::from_secs(10), &mut [&mut minority, &mut majority]);
    let mut usage = majority.dispatcher.export_usage(fleet.now);
    usage.retain(|usage| !usage.steps.is_empty());
    let mut new = Gate::new(&fleet, RATE * 10.0);
    new.roster = FleetRoster::default();
    new.roster.set_registered(fleet.now, fleet.instances(3..7));
    new.link(fleet.now, 0..7);
    new.dispatcher.import_usage(fleet.now, ms(0), &usage);
    fleet.play(Duration::from_secs(12), &mut [&mut new]);
    let most = fleet.most_in_a_window();
    assert!(most <= LIMIT, "{most} units in a window, the limit is {LIMIT}");
}

/// After all instances were killed, each is its own gate until it has linked to the next one.
#[test]
fn instances_that_start_again_hand_out_no_parts_before_they_know_the_usage() {
    let mut fleet = Fleet::new(9);
    let mut old = Gate::new(&fleet, RATE);
    old.link(fleet.now, 0..9);
    fleet.play(WINDOW, &mut [&mut old]);
    let mut gates: Vec<Gate> = (0..9).map(|_| Gate::new(&fleet, RATE * 10.0)).collect();
    for (index, gate) in gates.iter_mut().enumerate() {
        gate.link(fleet.now, index..index + 1);
    }
    fleet.play(ms(200), &mut gates.iter_mut().collect::<Vec<&mut Gate>>());
    let most = fleet.most_in_a_window();
    assert!(most <= LIMIT, "{most} units in a window, the limit is {LIMIT}");
}

/// How the gate loses its role without noticing.
#[derive(Clone, Copy, Debug)]
enum Interruption {
    /// Its process stands still.
    Frozen,
    /// It is cut off from all others, and decides on for its own callers.
    Cut,
}

/// Time after which a gate that is cut off notices it.
const LINK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The gate of four instances loses the three others for a while; these follow another gate, and
/// come back as soon as it can be reached.
fn play_interruption(interruption: Interruption, away: Duration, hot: f64) -> Fleet {
    let mut fleet = Fleet::new(4);
    let mut first = Gate::new(&fleet, RATE * 0.55);
    first.link(fleet.now, 0..4);
    fleet.play(WINDOW * 2, &mut [&mut first]);
    first.dispatcher.confirm_whole_fleet(fleet.now);
    let usage = first.dispatcher.export_usage(fleet.now);
    let mut second = Gate::new(&fleet, 0.0);
    second.link(fleet.now, 1..4);
    second.dispatcher.import_usage(fleet.now, ms(0), &usage);
    let is_linked = match interruption {
        Interruption::Frozen => {
            second.demand = hot;
            fleet.play(away, &mut [&mut second]);
            first.requested = 0.0;
            true
        }
        Interruption::Cut => {
            (first.demand, second.demand) = (hot / 4.0, hot * 3.0 / 4.0);
            fleet.play(away.min(LINK_TIMEOUT), &mut [&mut first, &mut second]);
            let notices = away > LINK_TIMEOUT;
            if notices {
                first.unlink(fleet.now, 1..4);
                fleet.play(away - LINK_TIMEOUT, &mut [&mut first, &mut second]);
            }
            !notices
        }
    };
    let usage = second.dispatcher.export_usage(fleet.now);
    if is_linked {
        first.unlink(fleet.now, 1..4);
    }
    first.link(fleet.now, 1..4);
    first.dispatcher.import_usage(fleet.now, ms(0), &usage);
    first.demand = hot;
    fleet.play(Duration::from_secs(12), &mut [&mut first]);
    fleet
}

#[test]
fn a_gate_that_stood_still_goes_on_with_the_usage_of_the_gate_meanwhile() {
    for away in [ms(700), ms(2_300), ms(5_000)] {
        let fleet = play_interruption(Interruption::Frozen, away, RATE * 4.0);
        let most = fleet.most_in_a_window();
        assert!(most <= LIMIT, "{away:?}: {most} units in a window, the limit is {LIMIT}");
    }
}

/// Both decide until the first notices, for a workspace that asks for 4.2 times its limit.
#[test]
fn a_gate_that_was_cut_off_goes_on_with_the_usage_of_the_gate_meanwhile() {
    for away in [ms(700), ms(1_400), ms(1_900), ms(2_300), ms(5_000)] {
        let fleet = play_interruption(Interruption::Cut, away, RATE * 4.2);
        let most = fleet.most_in_a_window();
        assert!(most <= LIMIT, "{away:?}: {most} units in a window, the limit is {LIMIT}");
    }
}

#[test]
fn callers_below_their_limit_are_served_after_an_interruption() {
    for interruption in [Interruption::Frozen, Interruption::Cut] {
        let demand = RATE * 0.55;
        let fleet = play_interruption(interruption, ms(2_300), demand);
        let since = fleet.now - Duration::from_secs(12);
        let (taken, wanted) = (fleet.taken_since(since), demand * 12.0);
        assert!(taken >= 0.98 * wanted, "{interruption:?}: {taken} of {wanted} units");
    }
}

#[test]
fn a_link_that_is_lost_for_a_moment_changes_nothing() {
    let mut fleet = Fleet::new(4);
    let mut gate = Gate::new(&fleet, RATE * 10.0);
    gate.link(fleet.now, 0..4);
    fleet.play(WINDOW, &mut [&mut gate]);
    gate.dispatcher.confirm_whole_fleet(fleet.now);
    fleet.now += ms(100);
    gate.unlink(fleet.now, 1..4);
    gate.link(fleet.now, 1..4);
    fleet.play(Duration::from_secs(12), &mut [&mut gate]);
    let most = fleet.most_in_a_window();
    assert!(most <= LIMIT, "{most} units in a window, the limit is {LIMIT}");
    let taken = fleet.taken_since(fleet.now - WINDOW);
    assert!(taken >= 0.95 * LIMIT, "{taken} units in the last window of {LIMIT}");
}

#[test]
fn a_majority_was_linked_when_the_last_of_it_was_heard() {
    let fleet = Fleet::new(4);
    let mut roster = FleetRoster::default();
    roster.set_registered(ms(0), fleet.instances(0..4));
    roster.link(ms(10), name(0), false);
    roster.link(ms(20), name(1), false);
    assert_eq!(roster.majority_heard_at(), None, "half of the fleet is none");
    roster.link(ms(30), name(2), false);
    assert_eq!(roster.majority_heard_at(), Some(ms(10)));
    roster.hear(ms(50), &name(0));
    assert_eq!(roster.majority_heard_at(), Some(ms(20)));
    roster.link(ms(60), name(3), false);
    assert_eq!(roster.majority_heard_at(), Some(ms(30)));
}

/// Guards against a fleet that hands out nothing while all of its instances leave, and against two
/// gates of it that hand out more than the whole together.
#[test]
fn leaving_instances_count_if_none_stays() {
    let instance =
        |index, is_leaving| RegisteredInstance { name: name(index), incarnation: 1, is_leaving };
    let share_of = |linked: std::ops::Range<usize>, leaving: [bool; 3]| {
        let mut roster = FleetRoster::default();
        let registered = leaving.into_iter().enumerate();
        let registered = registered.map(|(index, is_leaving)| instance(index, is_leaving));
        roster.set_registered(ms(0), registered);
        linked.for_each(|index| roster.link(ms(0), name(index), false));
        roster.share(ms(0), WINDOW)
    };
    assert_eq!(share_of(0..3, [true; 3]), FleetShare::WHOLE);
    assert_eq!(share_of(0..1, [true; 3]), FleetShare::of_minority(1.0 / 3.0));
    let majority = share_of(0..2, [true; 3]);
    assert!(majority.is_majority());
    let minority = share_of(2..3, [true; 3]);
    assert!(majority.limits + minority.limits <= 1.0, "{majority:?} {minority:?}");
    assert_eq!(share_of(0..1, [false, true, true]), FleetShare::WHOLE, "the one that stays");
}
