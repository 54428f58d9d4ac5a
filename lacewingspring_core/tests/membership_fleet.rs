//! Gossip between many members over a simulated lossy network in virtual time.

mod support;

use std::{net::SocketAddr, time::Duration};

use lacewingspring_core::membership::{
    Digest, ListedInstance, Member, MemberState, Membership, MembershipConfig, MembershipPolicy,
    View,
};
use quickcheck::{Gen, QuickCheck};

use support::Wire;

const PERIOD: Duration = Duration::from_millis(200);

struct Node {
    membership: Membership,
    up: bool,
    next_round: Duration,
}

struct Fleet {
    cfg: MembershipConfig,
    centres: usize,
    now: Duration,
    nodes: Vec<Node>,
    wire: Wire<Digest>,
}

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + i as u16))
}

fn member(i: usize, centres: usize, incarnation: u64) -> Member {
    Member {
        name: format!("i{i:03}").as_str().into(),
        data_centre: format!("dc{}", i % centres).as_str().into(),
        caller_address: address(i),
        peer_address: address(i),
        incarnation,
    }
}

fn listed(i: usize, centres: usize) -> ListedInstance {
    let Member { name, data_centre, caller_address, peer_address, .. } = member(i, centres, 0);
    ListedInstance { name, data_centre, caller_address, peer_address, leaving: false }
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

impl Fleet {
    fn new(size: usize, centres: usize, seed: u64, policy: MembershipPolicy) -> Self {
        let cfg = MembershipConfig { policy, ..MembershipConfig::default() };
        let mut wire = Wire::new(seed);
        let mut nodes = Vec::new();
        for i in 0..size {
            let own = member(i, centres, 1);
            let mut membership = Membership::new(cfg.clone(), own, wire.rng.next());
            membership
                .observe_list(Duration::ZERO, (0..size).map(|j| listed(j, centres)).collect());
            let next_round = Duration::from_micros(wire.rng.below(200_000));
            nodes.push(Node { membership, up: true, next_round });
        }
        let mut fleet = Self { cfg, centres, now: Duration::ZERO, nodes, wire };
        fleet.run(ms(4_000));
        fleet
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += ms(1);
            self.deliver();
            for i in 0..self.nodes.len() {
                self.round(i);
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(delivery) = self.wire.next_until(self.now) {
            let node = &mut self.nodes[delivery.to];
            if !node.up {
                continue;
            }
            let reply = node.membership.receive(self.now, delivery.message);
            if let Some(reply) = reply {
                self.wire.send(self.now, delivery.to, delivery.from, reply);
            }
        }
    }

    fn round(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        if !node.up || node.next_round > self.now {
            return;
        }
        node.next_round = self.now + PERIOD;
        for outgoing in node.membership.round(self.now) {
            let to = usize::from(outgoing.to.port()) - 1_000;
            self.wire.send(self.now, i, to, outgoing.digest);
        }
    }

    fn view(&self, i: usize) -> View {
        self.nodes[i].membership.view(self.now)
    }

    fn state(&self, observer: usize, subject: usize) -> MemberState {
        self.view(observer)
            .member(&format!("i{subject:03}"))
            .expect("the member is in the view")
            .state
    }

    fn observers(&self, subject: usize) -> Vec<usize> {
        (0..self.nodes.len()).filter(|i| *i != subject && self.nodes[*i].up).collect()
    }

    /// Runs until all other members see the subject in the state and returns the time it took;
    /// `None` if that takes longer than `limit` milliseconds.
    fn time_until(&mut self, subject: usize, state: MemberState, limit: u64) -> Option<Duration> {
        let start = self.now;
        while self.now < start + ms(limit) {
            if self.observers(subject).iter().all(|i| self.state(*i, subject) == state) {
                return Some(self.now - start);
            }
            self.run(ms(10));
        }
        None
    }

    /// Runs for `millis` milliseconds; returns whether all members see the subjects as live at each
    /// check.
    fn stays_live(&mut self, subjects: &[usize], millis: u64) -> bool {
        let names: Vec<String> = subjects.iter().map(|i| format!("i{i:03}")).collect();
        // A check builds the view of every member, so larger fleets are checked less often.
        let step = 10 * self.nodes.len() as u64 / 9;
        for _ in 0..millis / step {
            self.run(ms(step));
            for observer in 0..self.nodes.len() {
                let view = self.view(observer);
                let sees =
                    |name: &String| view.member(name).expect("the member is in the view").state;
                let all_live = names.iter().all(|name| sees(name) == MemberState::Live);
                if self.nodes[observer].up && !all_live {
                    return false;
                }
            }
        }
        true
    }

    fn restart(&mut self, i: usize, incarnation: u64) {
        let own = member(i, self.centres, incarnation);
        let mut membership = Membership::new(self.cfg.clone(), own, self.wire.rng.next());
        let all = 0..self.nodes.len();
        membership.observe_list(self.now, all.map(|j| listed(j, self.centres)).collect());
        self.nodes[i] = Node { membership, up: true, next_round: self.now };
    }
}

fn check<A>(tests: u64, property: A)
where
    A: quickcheck::Testable,
{
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 0x6d65_6d62))
        .tests(tests)
        .quickcheck(property);
}

fn all_enabled() -> MembershipPolicy {
    MembershipPolicy::default()
}

#[test]
fn suspects_a_killed_member_within_1500_ms() {
    fn property(seed: u64, victim: u8, centres: u8) -> bool {
        let mut fleet = Fleet::new(9, 3 + usize::from(centres % 2), seed, all_enabled());
        fleet.wire.loss_percent = 2;
        let victim = usize::from(victim) % 9;
        fleet.nodes[victim].up = false;
        fleet.time_until(victim, MemberState::Suspect, 1_500).is_some()
    }
    check(60, property as fn(u64, u8, u8) -> bool);
}

fn tolerates_one_way_cut(seed: u64, policy: MembershipPolicy) -> bool {
    let mut fleet = Fleet::new(9, 3, seed, policy);
    let from = fleet.wire.rng.below(9) as usize;
    let to = (from + 1 + fleet.wire.rng.below(8) as usize) % 9;
    fleet.wire.cuts.insert((from, to));
    fleet.wire.loss_percent = 2;
    fleet.stays_live(&[from, to], 10_000)
}

#[test]
fn one_way_cut_between_two_members_causes_no_suspicion() {
    check(30, (|seed| tolerates_one_way_cut(seed, all_enabled())) as fn(u64) -> bool);
}

#[test]
fn one_way_cut_causes_suspicion_without_relayed_heartbeats() {
    let policy = MembershipPolicy { relay_heartbeats: false, ..all_enabled() };
    assert!((0..10).any(|seed| !tolerates_one_way_cut(seed, policy)));
}

fn restart_replaces_old_run(seed: u64, policy: MembershipPolicy) -> bool {
    let mut fleet = Fleet::new(9, 3, seed, policy);
    fleet.wire.loss_percent = 5;
    let victim = (seed % 9) as usize;
    fleet.nodes[victim].up = false;
    let pause = fleet.wire.rng.below(3_000);
    fleet.run(ms(pause));
    fleet.restart(victim, 2);
    fleet.run(ms(2_500));
    fleet.observers(victim).iter().all(|i| {
        let view = fleet.view(*i);
        let seen = view.member(&format!("i{victim:03}")).expect("the member is in the view");
        seen.incarnation == 2 && seen.state == MemberState::Live
    })
}

#[test]
fn restarted_member_replaces_the_old_run() {
    check(40, (|seed| restart_replaces_old_run(seed, all_enabled())) as fn(u64) -> bool);
    let policy = MembershipPolicy { replace_older_runs: false, ..all_enabled() };
    assert!(!restart_replaces_old_run(1, policy));
}

#[test]
fn older_run_of_a_restarted_member_is_superseded() {
    let mut fleet = Fleet::new(9, 3, 5, all_enabled());
    let node = Node { up: false, ..fleet.nodes.swap_remove(8) };
    fleet.nodes.push(node);
    fleet.restart(8, 2);
    fleet.run(ms(2_000));
    fleet.restart(8, 1);
    fleet.run(ms(2_000));
    assert!(fleet.view(8).superseded);
}

fn recovers_from_freeze(seed: u64, policy: MembershipPolicy) -> bool {
    let mut fleet = Fleet::new(9, 3, seed, policy);
    let victim = (seed % 9) as usize;
    fleet.nodes[victim].up = false;
    let frozen = 1_500 + fleet.wire.rng.below(90_000);
    fleet.run(ms(frozen));
    fleet.nodes[victim].up = true;
    let now = fleet.now;
    fleet.nodes[victim].membership.round(now);
    let others = fleet.observers(victim);
    let sees_all_live = others.iter().all(|i| fleet.state(victim, *i) == MemberState::Live);
    sees_all_live && fleet.time_until(victim, MemberState::Live, 2_500).is_some()
}

#[test]
fn frozen_member_recovers_without_suspecting_others() {
    check(12, (|seed| recovers_from_freeze(seed, all_enabled())) as fn(u64) -> bool);
    let policy = MembershipPolicy { freeze_grace: false, ..all_enabled() };
    assert!((0..5).any(|seed| !recovers_from_freeze(seed, policy)));
}

#[test]
fn member_is_not_revalidated_after_a_freeze_until_a_peer_answers() {
    let mut fleet = Fleet::new(9, 3, 7, all_enabled());
    fleet.nodes[0].up = false;
    fleet.run(ms(5_000));
    fleet.nodes[0].up = true;
    fleet.nodes[0].membership.round(fleet.now);
    assert!(!fleet.view(0).revalidated);
    fleet.run(ms(500));
    assert!(fleet.view(0).revalidated);
}

fn leave_reaches_all(seed: u64, policy: MembershipPolicy) -> bool {
    let size = 3 + (seed % 7) as usize;
    let mut fleet = Fleet::new(size, 3, seed, policy);
    let victim = (seed % size as u64) as usize;
    fleet.nodes[victim].membership.leave(fleet.now);
    fleet.wire.loss_percent = 70;
    fleet.run(ms(500));
    fleet.wire.loss_percent = 0;
    fleet.time_until(victim, MemberState::Leaving, 1_000).is_some()
}

#[test]
fn leave_reaches_all_members_despite_message_loss() {
    check(40, (|seed| leave_reaches_all(seed, all_enabled())) as fn(u64) -> bool);
    let policy = MembershipPolicy { acknowledge: false, ..all_enabled() };
    assert!((0..40).any(|seed| !leave_reaches_all(seed, policy)));
}

#[test]
fn applied_generation_reaches_every_view() {
    let mut fleet = Fleet::new(40, 9, 3, all_enabled());
    for node in &mut fleet.nodes {
        node.membership.set_applied_generation(7);
    }
    fleet.run(ms(5_000));
    for i in 0..40 {
        assert!(fleet.view(i).members.iter().all(|member| member.applied_generation == 7));
    }
}

#[test]
fn partitioned_data_centre_is_gone_and_recovers() {
    for (size, centres) in [(9, 3), (40, 9)] {
        let mut fleet = Fleet::new(size, centres, 11, all_enabled());
        let inside: Vec<usize> = (0..size).filter(|i| i % centres == 0).collect();
        let outside: Vec<usize> = (0..size).filter(|i| i % centres != 0).collect();
        for i in &inside {
            fleet.wire.cuts.extend(outside.iter().flat_map(|o| [(*i, *o), (*o, *i)]));
        }
        fleet.run(ms(12_000));
        assert_eq!(fleet.state(1, 0), MemberState::Gone);
        assert_eq!(fleet.state(0, centres), MemberState::Live);
        fleet.wire.cuts.clear();
        fleet.run(ms(6_000));
        let all: Vec<usize> = (0..size).collect();
        assert!(fleet.stays_live(&all, 2_000), "{size} members");
    }
}

#[test]
fn large_fleet_suspects_only_the_killed_member() {
    let mut fleet = Fleet::new(120, 9, 13, all_enabled());
    fleet.wire.loss_percent = 1;
    fleet.run(ms(6_000));
    let all: Vec<usize> = (0..120).collect();
    assert!(fleet.stays_live(&all, 3_000));
    fleet.nodes[17].up = false;
    assert!(fleet.time_until(17, MemberState::Suspect, 4_000).is_some());
    let others: Vec<usize> = all.into_iter().filter(|i| *i != 17).collect();
    assert!(fleet.stays_live(&others, 2_000));
}

/// Cuts the messages from a relay's data centre to that relay, so that it wrongly suspects the
/// other members there. Returns the share of the time, from 0 to 1, for which members of other data
/// centres see these as live.
fn live_share_with_isolated_relay(policy: MembershipPolicy) -> f64 {
    let mut fleet = Fleet::new(40, 9, 17, policy);
    fleet.run(ms(3_000));
    let local: Vec<usize> = (0..40).filter(|i| i % 9 == 0).collect();
    for i in &local[1..] {
        fleet.wire.cuts.insert((*i, local[0]));
    }
    fleet.run(ms(3_000));
    let (mut live, mut all) = (0, 0);
    for _ in 0..100 {
        fleet.run(ms(100));
        for (observer, subject) in (0..40).filter(|i| i % 9 != 0).zip(local[1..].iter().cycle()) {
            all += 1;
            live += usize::from(fleet.state(observer, *subject) == MemberState::Live);
        }
    }
    live as f64 / all as f64
}

#[test]
fn refutes_the_wrong_suspicions_of_a_relay() {
    let refuted = live_share_with_isolated_relay(all_enabled());
    let unrefuted =
        live_share_with_isolated_relay(MembershipPolicy { refute: false, ..all_enabled() });
    assert!(refuted > 0.8 && unrefuted < 0.8, "{refuted} with refutation, {unrefuted} without");
}
