//! Role holders, caller addresses and list handling in a member's view, and freeze detection.

mod support;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use lacewingspring_core::{
    membership::{
        Digest, FreezeDetector, ListedInstance, Member, Membership, MembershipConfig, View,
    },
    names::DataCentreName,
};
use quickcheck::{Gen, QuickCheck};

use support::Rng;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn member(i: usize, centre: u64, incarnation: u64) -> Member {
    let address = SocketAddr::from(([10, 0, 0, 1], 1_000 + i as u16));
    Member {
        name: format!("i{i}").as_str().into(),
        data_centre: format!("dc{centre}").as_str().into(),
        caller_address: address,
        peer_address: address,
        incarnation,
    }
}

/// Members that exchange digests without loss or delay.
struct Group {
    members: Vec<Membership>,
    now: Duration,
}

impl Group {
    fn new(centres: &[u64]) -> Self {
        let cfg = MembershipConfig::default();
        let all = centres.iter().enumerate();
        let listed: Vec<ListedInstance> = all
            .map(|(i, centre)| {
                let Member { name, data_centre, caller_address, peer_address, .. } =
                    member(i, *centre, 0);
                ListedInstance { name, data_centre, caller_address, peer_address, leaving: false }
            })
            .collect();
        let mut members = Vec::new();
        for (i, centre) in centres.iter().enumerate() {
            let mut own = Membership::new(cfg.clone(), member(i, *centre, 1), i as u64);
            own.observe_list(Duration::ZERO, listed.clone());
            members.push(own);
        }
        let mut group = Self { members, now: Duration::ZERO };
        group.rounds(15, &[]);
        group
    }

    fn rounds(&mut self, rounds: usize, down: &[usize]) {
        for _ in 0..rounds {
            self.now += ms(200);
            for i in (0..self.members.len()).filter(|i| !down.contains(i)) {
                for outgoing in self.members[i].round(self.now) {
                    let to = usize::from(outgoing.to.port()) - 1_000;
                    if !down.contains(&to) {
                        self.exchange(i, to, outgoing.digest);
                    }
                }
            }
        }
    }

    fn exchange(&mut self, from: usize, to: usize, digest: Digest) {
        if let Some(reply) = self.members[to].receive(self.now, digest) {
            self.members[from].receive(self.now, reply);
        }
    }

    fn view(&self, i: usize) -> View {
        self.members[i].view(self.now)
    }
}

/// Returns each instance's share of the load if callers are spread evenly over the data centres
/// that have instances.
fn loads(view: &View) -> BTreeMap<SocketAddr, f64> {
    let centres: std::collections::BTreeSet<DataCentreName> =
        view.eligible().map(|member| member.data_centre.clone()).collect();
    let mut loads = BTreeMap::new();
    for centre in &centres {
        let addresses = view.addresses(Some(centre));
        let sum: f64 = addresses.iter().map(|address| f64::from(address.weight)).sum();
        for address in addresses {
            let share = f64::from(address.weight) / sum / centres.len() as f64;
            *loads.entry(address.address).or_insert(0.0) += share;
        }
    }
    loads
}

#[test]
fn address_weights_balance_load_within_10_percent() {
    fn property(seed: u64) -> bool {
        let mut rng = Rng(seed);
        let size = 1 + rng.below(12) as usize;
        let centres: Vec<u64> = (0..size).map(|_| rng.below(4)).collect();
        let group = Group::new(&centres);
        let even = 1.0 / size as f64;
        let loads = loads(&group.view(0));
        loads.len() == size && loads.values().all(|load| (load / even - 1.0).abs() < 0.1)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 0x6164_6472))
        .tests(50)
        .quickcheck(property as fn(u64) -> bool);
}

#[test]
fn leaving_member_gets_no_callers_and_holds_no_role() {
    let mut group = Group::new(&[0, 0, 0, 1, 1, 1, 2, 2, 2]);
    let now = group.now;
    group.members[4].leave(now);
    assert!(group.view(4).addresses(None).iter().all(|address| address.address.port() != 1_004));
    group.rounds(2, &[]);
    for i in 0..9 {
        let view = group.view(i);
        assert!(view.addresses(None).iter().all(|address| address.address.port() != 1_004));
        assert!(
            (0..100).all(|role| view.holder(&role, None).expect("a holder").name.as_str() != "i4")
        );
    }
}

#[test]
fn view_lists_the_previous_holder_after_a_role_moves() {
    let mut group = Group::new(&[0, 0, 0, 1, 1, 1, 2, 2, 2]);
    let local = DataCentreName::from("dc1");
    group.rounds(30, &[]);
    let before = group.view(0);
    let role =
        (0..).find(|role| before.holder(role, None).expect("a holder").name.as_str() == "i4");
    let role = role.expect("a role held by i4");
    assert!(before.previous_holders(&role, None).is_empty());
    group.rounds(7, &[4]);
    let after = group.view(0);
    let holder = &after.holder(&role, None).expect("a holder").name;
    assert_eq!(*holder, before.holders(&role, 2, None)[1].name);
    assert_eq!(after.previous_holders(&role, None)[0].name.as_str(), "i4");
    assert_eq!(after.holder(&role, Some(&local)).expect("a holder").data_centre, local);
    group.rounds(40, &[4]);
    assert!(group.view(0).previous_holders(&role, None).is_empty());
    group.rounds(10, &[3, 4, 5]);
    assert_ne!(group.view(0).holder(&role, Some(&local)).expect("a holder").data_centre, local);
}

#[test]
fn restarted_member_lists_the_previous_holders_of_its_roles() {
    let mut group = Group::new(&[0, 0, 0, 0]);
    group.rounds(40, &[0]);
    let before = group.view(1);
    let mut started = Membership::new(MembershipConfig::default(), member(0, 0, 2), 9);
    let listed = (1..4).map(|i| {
        let Member { name, data_centre, caller_address, peer_address, .. } = member(i, 0, 0);
        ListedInstance { name, data_centre, caller_address, peer_address, leaving: false }
    });
    started.observe_list(group.now, listed.collect());
    group.members[0] = started;
    group.rounds(5, &[]);
    let after = group.view(0);
    assert_eq!(after.eligible().count(), 4);
    for role in 0..200 {
        if after.holder(&role, None).expect("a holder").name.as_str() != "i0" {
            continue;
        }
        let previous = &before.holder(&role, None).expect("a holder").name;
        let listed_holders = after.previous_holders(&role, None);
        assert!(
            listed_holders.iter().any(|member| member.name == *previous),
            "{role}: {listed_holders:?}"
        );
    }
    group.rounds(40, &[]);
    assert!((0..200).all(|role| group.view(0).previous_holders(&role, None).is_empty()));
}

#[test]
fn members_stay_without_a_list_entry_unless_listed_as_leaving() {
    let mut group = Group::new(&[0, 0, 0]);
    let now = group.now;
    group.members[0].observe_list(now, Vec::new());
    assert_eq!(group.view(0).eligible().count(), 3);
    let Member { name, data_centre, caller_address, peer_address, .. } = member(1, 0, 0);
    let leaving = ListedInstance { name, data_centre, caller_address, peer_address, leaving: true };
    group.members[0].observe_list(now, vec![leaving]);
    assert_eq!(group.view(0).eligible().count(), 2);
}

#[test]
fn view_after_a_fixed_sequence_of_events() {
    let mut group = Group::new(&[0, 0, 1, 1, 2]);
    group.members[1].set_applied_generation(3);
    let now = group.now;
    group.members[2].leave(now);
    group.rounds(7, &[3]);
    let view = group.view(0);
    let lines = view.members.iter().map(|member| {
        let (name, state, generation) = (&member.name, member.state, member.applied_generation);
        let age = member.heartbeat_age.map_or(0, |age| age.as_millis());
        format!("{name} {state:?} generation {generation} age {age} ms")
    });
    insta::assert_snapshot!(lines.collect::<Vec<_>>().join("\n"));
}

#[test]
fn detects_a_freeze_with_and_before_the_next_tick() {
    let mut detector = FreezeDetector::new(ms(700));
    assert_eq!(detector.tick(ms(100)), None);
    assert_eq!(detector.tick(ms(300)), None);
    assert!(!detector.is_frozen(ms(900)));
    assert!(detector.is_frozen(ms(1_100)));
    assert_eq!(detector.tick(ms(1_100)).map(|freeze| freeze.gap), Some(ms(800)));
    assert_eq!(detector.tick(ms(1_300)), None);
}
