//! Prints the traffic and CPU time of gossip for fleets of several sizes.
//!
//! All members run in one process in virtual time. Digests are encoded as in the daemon; datagram
//! and encryption headers are not counted.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use lacewingspring_core::membership::{
    Digest, ListedInstance, Member, MemberState, Membership, MembershipConfig,
};

/// Fleets to measure, each with its number of members and of data centres.
const FLEETS: [(usize, usize); 4] = [(9, 3), (40, 4), (120, 6), (350, 9)];

/// Maximum time until all members of a fleet that start at once know each other.
const JOIN_LIMIT: Duration = Duration::from_secs(120);

/// Time between joining and the start of the measurement.
const SETTLE: Duration = Duration::from_secs(10);

/// Duration of the measurement.
const MEASURE: Duration = Duration::from_secs(20);

/// Step of virtual time, which is also the delay of each message.
const STEP: Duration = Duration::from_millis(2);

/// Time between two checks of all views.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Port of the first member; the ports of the others follow.
const FIRST_PORT: u16 = 1_000;

/// Traffic and CPU time of all members of a fleet.
#[derive(Default)]
struct Cost {
    /// Bytes sent by each member.
    bytes: Vec<usize>,
    /// Size of the largest digest in bytes.
    largest: usize,
    messages: usize,
    rounds: usize,
    cpu: Duration,
}

/// A digest in flight.
struct Datagram {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

struct Fleet {
    now: Duration,
    members: Vec<Membership>,
    up: Vec<bool>,
    in_flight: BTreeMap<Duration, Vec<Datagram>>,
    cost: Cost,
}

impl Fleet {
    fn new(size: usize, centres: usize) -> Self {
        let list: Vec<ListedInstance> = (0..size).map(|i| listed(i, centres)).collect();
        let members = list.iter().enumerate().map(|(i, listed)| {
            let own = Member {
                name: listed.name.clone(),
                data_centre: listed.data_centre.clone(),
                caller_address: listed.caller_address,
                peer_address: listed.peer_address,
                incarnation: 1,
            };
            let mut member = Membership::new(MembershipConfig::default(), own, i as u64);
            member.observe_list(Duration::ZERO, list.clone());
            member
        });
        let members = members.collect();
        let cost = Cost { bytes: vec![0; size], ..Cost::default() };
        let up = vec![true; size];
        Self { now: Duration::ZERO, members, up, in_flight: BTreeMap::new(), cost }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for datagram in self.in_flight.remove(&self.now).unwrap_or_default() {
                self.deliver(datagram);
            }
            self.rounds();
        }
    }

    /// Runs the rounds that are due; the rounds of the members are spread over the period.
    fn rounds(&mut self) {
        let steps = MembershipConfig::default().period.as_millis() / STEP.as_millis();
        let step = (self.now.as_millis() / STEP.as_millis()) % steps;
        for i in 0..self.members.len() {
            if !self.up[i] || (i * 37) as u128 % steps != step {
                continue;
            }
            let now = self.now;
            let outgoing = self.timed(|fleet| fleet.members[i].round(now));
            self.cost.rounds += 1;
            for outgoing in outgoing {
                self.send(i, usize::from(outgoing.to.port() - FIRST_PORT), &outgoing.digest);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, digest: &Digest) {
        let bytes = postcard::to_stdvec(digest).expect("digests can be encoded");
        self.cost.bytes[from] += bytes.len();
        self.cost.largest = self.cost.largest.max(bytes.len());
        self.cost.messages += 1;
        let datagram = Datagram { from, to, bytes };
        self.in_flight.entry(self.now + STEP).or_default().push(datagram);
    }

    fn deliver(&mut self, datagram: Datagram) {
        if !self.up[datagram.to] {
            return;
        }
        let digest = postcard::from_bytes(&datagram.bytes).expect("digests can be decoded");
        let now = self.now;
        let reply = self.timed(|fleet| fleet.members[datagram.to].receive(now, digest));
        if let Some(reply) = reply {
            self.send(datagram.to, datagram.from, &reply);
        }
    }

    #[expect(clippy::disallowed_methods, reason = "the example measures CPU time")]
    fn timed<T, F>(&mut self, work: F) -> T
    where
        F: FnOnce(&mut Self) -> T,
    {
        let start = Instant::now();
        let done = work(self);
        self.cost.cpu += start.elapsed();
        done
    }

    /// Runs until every member sees all members as live and returns the time that it took.
    fn join(&mut self) -> Duration {
        let size = self.members.len();
        while self.now < JOIN_LIMIT {
            self.run(CHECK_INTERVAL);
            let knows_all = |member: &Membership| member.view(self.now).eligible().count() == size;
            if self.members.iter().all(knows_all) {
                break;
            }
        }
        self.now
    }

    /// Kills a member; returns the time until all others suspect it, and how often a check found
    /// another member suspected.
    fn detect(&mut self, victim: usize) -> (Duration, usize) {
        let start = self.now;
        self.up[victim] = false;
        let name = format!("instance-{victim:03}");
        let mut false_suspicions = 0;
        while self.now < start + Duration::from_secs(20) {
            self.run(CHECK_INTERVAL);
            let views = (0..self.members.len()).filter(|i| *i != victim);
            let views: Vec<_> = views.map(|i| self.members[i].view(self.now)).collect();
            let down = views.iter().flat_map(|view| &view.members);
            let down = down.filter(|member| member.state != MemberState::Live);
            false_suspicions += down.filter(|member| member.name.as_str() != name).count();
            let knows = |state| state != Some(MemberState::Live);
            if views.iter().all(|view| knows(view.member(&name).map(|member| member.state))) {
                break;
            }
        }
        (self.now - start, false_suspicions)
    }
}

fn listed(i: usize, centres: usize) -> ListedInstance {
    let address = SocketAddr::from(([10, 20, 30, 40], FIRST_PORT + i as u16));
    ListedInstance {
        name: format!("instance-{i:03}").as_str().into(),
        data_centre: format!("data-centre-{}", i % centres).as_str().into(),
        caller_address: address,
        peer_address: address,
        leaving: false,
    }
}

fn main() {
    println!(
        "members  centres  B/s mean  B/s max  digests/s  largest B  us/round  join ms  detect ms   false"
    );
    for (size, centres) in FLEETS {
        let mut fleet = Fleet::new(size, centres);
        let joined = fleet.join();
        fleet.run(SETTLE);
        fleet.cost = Cost { bytes: vec![0; size], ..Cost::default() };
        fleet.run(MEASURE);
        let cost = std::mem::take(&mut fleet.cost);
        fleet.cost.bytes = vec![0; size];
        let (detected, false_suspicions) = fleet.detect(size / 2);
        let seconds = MEASURE.as_secs_f64();
        let sum: usize = cost.bytes.iter().sum();
        let max = cost.bytes.iter().max().copied().unwrap_or_default();
        println!(
            "{size:>7}  {centres:>7}  {:>8.0}  {:>7.0}  {:>9.1}  {:>9}  {:>8.1}  {:>7}  {:>9}  {false_suspicions:>6}",
            sum as f64 / seconds / size as f64,
            max as f64 / seconds,
            cost.messages as f64 / seconds / size as f64,
            cost.largest,
            cost.cpu.as_secs_f64() * 1e6 / cost.rounds as f64,
            joined.as_millis(),
            detected.as_millis(),
        );
    }
}
