//! The upstreams of one service and what waits for them.

use std::{collections::HashMap, time::Duration};

use super::{
    queue::{Queue, Waiting},
    upstream::UpstreamInfo,
    upstream_state::{Run, Server, Speed},
    work::{Decision, End, Grant, Reason, Refusal, SlotRequest, Ticket, Work},
};
use crate::names::UpstreamName;

/// Weight of a new sample in the mean time that a slot is taken.
const HOLD_WEIGHT: f64 = 0.05;

/// Mean time that a slot is taken while nothing was observed.
const ASSUMED_HOLD: Duration = Duration::from_millis(500);

/// Part of the time in which the first part of an answer must come that a request waits at most.
const WAITING_PART: f64 = 0.6;

/// As [`WAITING_PART`], for a request that comes back late.
const LATE_WAITING_PART: f64 = 0.1;

/// Multiple of the time to be on time that a request waits at most.
const WAITING_AIMS: f64 = 1.5;

/// Part of a request's time that its answer may be expected to take, as lengths are not known well.
const WHOLE_PART: f64 = 0.5;

/// Upstreams that are slower than the fastest by no more than this factor count as fast.
const FASTEST_MARGIN: f64 = 1.2;

/// Part of the expected wait that is added as a margin.
const WAIT_MARGIN: f64 = 1.3;

/// Time that an overload lasts at least; a caller that comes back sooner is refused again.
const SHORTEST_OVERLOAD: Duration = Duration::from_secs(3);

/// Slots of an upstream for which one request more is sent, so that none is free while the next
/// request is on its way.
const SLOTS_A_SPARE: u32 = 8;

/// As [`SLOTS_A_SPARE`], where slots are taken for a short time only: there the way of the next
/// request is a larger part of it.
const SHORT_SLOTS_A_SPARE: u32 = 6;

/// Mean time that a slot is taken up to which it counts as short.
const SHORT_HOLD: Duration = Duration::from_millis(150);

/// Shortest time after which a refused caller is told to come back.
const SHORTEST_RETRY: Duration = Duration::from_millis(200);

/// Time after which callers come back when no upstream is usable.
const NO_UPSTREAM_RETRY: Duration = Duration::from_millis(500);

/// A request that holds a slot.
#[derive(Debug)]
struct Running {
    upstream: UpstreamName,
    run: Run,
}

/// The upstreams of one service and what waits for them.
#[derive(Debug)]
pub(super) struct Pool {
    servers: HashMap<UpstreamName, Server>,
    runs: HashMap<Ticket, Running>,
    queue: Queue,
    hold: Duration,
    /// Time at which the caller refused last is told to come back.
    return_at: Duration,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            servers: HashMap::new(),
            runs: HashMap::new(),
            queue: Queue::default(),
            hold: ASSUMED_HOLD,
            return_at: Duration::ZERO,
        }
    }
}

impl Pool {
    /// Replaces the known upstreams; what was learned of those that stay is kept.
    pub fn set_upstreams(&mut self, infos: Vec<UpstreamInfo>) {
        let speed = self.typical_speed();
        let mut earlier = std::mem::take(&mut self.servers);
        for info in infos {
            let known = earlier
                .remove(&info.name)
                .filter(|known| known.info.started_at_ms == info.started_at_ms);
            let mut server = match known {
                Some(known) => known,
                None => self.new_server(info.clone(), speed),
            };
            server.info = info;
            self.servers.insert(server.info.name.clone(), server);
        }
    }

    /// Creates an upstream; what runs there, as it was known before, is counted.
    fn new_server(&self, info: UpstreamInfo, speed: Speed) -> Server {
        let name = info.name.clone();
        let mut server = Server::new(info, speed);
        for running in self.runs.values().filter(|running| running.upstream == name) {
            server.carry(&running.run);
        }
        server
    }

    /// Speed that a new upstream is given: the median of the others.
    fn typical_speed(&self) -> Speed {
        let mut speeds: Vec<Speed> = self.servers.values().map(|server| server.speed).collect();
        speeds.sort_by(|a, b| a.decode_ms.total_cmp(&b.decode_ms));
        speeds.get(speeds.len() / 2).copied().unwrap_or(Speed::ASSUMED)
    }

    /// Takes a request; the decisions are those that follow from it.
    pub fn ask(
        &mut self,
        now: Duration,
        part: f64,
        ticket: Ticket,
        ask: SlotRequest,
    ) -> Vec<Decision> {
        let band = self.queue.band(&ask);
        if ask.sends == 0 {
            self.queue.count_asked(now, &ask, band);
        }
        if !self.servers.values().any(|server| is_allowed(server, &ask)) {
            let retry_after = return_in(NO_UPSTREAM_RETRY, &ask);
            let refusal = Refusal::new(Reason::NoUpstream, retry_after);
            return vec![Decision::Refused(ticket, refusal)];
        }
        let first_ms = self.expected_first_ms(now, &ask.work);
        let first = Duration::from_secs_f64(first_ms / 1_000.0);
        let due = now + ask.target_left.saturating_sub(first);
        let class = ask.class.clone();
        let is_late = ask.target_left.is_zero();
        let waiting = Waiting { ticket, due, expires: now + longest_wait(&ask), ask, band };
        self.queue.push(now, waiting);
        let mut decisions = self.fill(now, part);
        let waiting = self.queue.get(ticket);
        let refusal = waiting.and_then(|waiting| self.foresee(part, first, &waiting.ask));
        let Some(wait) = refusal else { return decisions };
        let better = self.queue.newest_of_better_served(&class, band).filter(|_| !is_late);
        let victim = better.unwrap_or(ticket);
        if let Some(waiting) = self.queue.remove(victim) {
            decisions.push(self.give_up(now, part, wait, &waiting));
        }
        decisions
    }

    /// Returns the expected wait of a waiting request that can't be answered on time, or that comes
    /// back late and can't be answered before its caller leaves.
    ///
    /// A caller that is told so at once can come back when there is room; one that is kept waiting
    /// in vain can't.
    fn foresee(&self, part: f64, first: Duration, ask: &SlotRequest) -> Option<Duration> {
        let slots = f64::from(self.slots(part).max(1));
        let wait_for = |ahead: usize| self.hold.mul_f64(ahead as f64 / slots);
        if ask.target_left.is_zero() {
            let wait = wait_for(self.queue.len() - 1);
            return (wait > longest_wait(ask)).then_some(wait);
        }
        let wait = wait_for(self.queue.timely_len().saturating_sub(1));
        (wait.mul_f64(WAIT_MARGIN) + first > ask.target_left)
            .then(|| wait_for(self.queue.len() - 1))
    }

    /// Refuses a request and finds a time for its return.
    ///
    /// Each refused caller is given a time of its own, as far apart as slots become free.
    fn give_up(&mut self, now: Duration, part: f64, wait: Duration, waiting: &Waiting) -> Decision {
        let slots = f64::from(self.slots(part).max(1));
        let soonest = now + wait.max(SHORTEST_OVERLOAD);
        self.return_at = self.return_at.max(soonest) + self.hold.div_f64(slots);
        let retry_after = return_in(self.return_at.saturating_sub(now), &waiting.ask);
        let refusal = Refusal {
            reason: Reason::Overload,
            retry_after,
            waiting: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            expected_wait: wait,
        };
        Decision::Refused(waiting.ticket, refusal)
    }

    /// Returns milliseconds from a send to the first event, at the mean of the upstreams: a request
    /// that waits goes to the one that has a slot first, which is mostly a fast one.
    fn expected_first_ms(&self, now: Duration, work: &Work) -> f64 {
        let usable = self.servers.values().filter(|server| server.is_usable(now));
        let times = usable.map(|server| (server.first_ms(now, work), server.pace(work)));
        let (sum, weight) = times.fold((0.0, 0.0), |(sum, weight), (first_ms, pace)| {
            (sum + first_ms * pace, weight + pace)
        });
        if weight > 0.0 { sum / weight } else { 0.0 }
    }

    /// Sends what waits to upstreams with room.
    pub fn fill(&mut self, now: Duration, part: f64) -> Vec<Decision> {
        let mut decisions = self.expire(now, part);
        loop {
            if !self.has_room(now, part) {
                return decisions;
            }
            let heads = self.queue.heads();
            let next = heads
                .into_iter()
                .find_map(|waiting| Some((waiting.ticket, self.choose(now, part, &waiting.ask)?)));
            let Some((ticket, upstream)) = next else { return decisions };
            let Some(waiting) = self.queue.take(now, ticket) else { return decisions };
            decisions.extend(self.grant(now, &waiting, upstream));
        }
    }

    fn expire(&mut self, now: Duration, part: f64) -> Vec<Decision> {
        let gone = self.queue.expire(now);
        gone.iter().map(|waiting| self.give_up(now, part, Duration::ZERO, waiting)).collect()
    }

    /// Returns whether any upstream has a free slot.
    fn has_room(&self, now: Duration, part: f64) -> bool {
        self.servers
            .values()
            .any(|server| server.has_slot(now, self.sent_at_once(&server.info, part)))
    }

    fn choose(&self, now: Duration, part: f64, ask: &SlotRequest) -> Option<UpstreamName> {
        let memory = memory_tokens(&ask.work);
        let mut open = self.servers.values().filter(|server| {
            is_allowed(server, ask)
                && server.has_room(now, self.sent_at_once(&server.info, part), memory)
        });
        let first = open.next()?;
        let longest_ms = self.longest_ms(now, ask);
        let servers = std::iter::once(first).chain(open);
        let servers = servers.filter(|server| server.whole_ms(now, &ask.work) <= longest_ms);
        let costs = servers.map(|server| (server.cost_ms(now, ask), &server.info.name));
        let best = costs.min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)))?;
        Some(best.1.clone())
    }

    /// Returns how long an answer may take, so that it comes to its end in time.
    ///
    /// An answer that is cut at its end has taken a slot for nothing. Where all upstreams are too
    /// slow, the fastest may try.
    fn longest_ms(&self, now: Duration, ask: &SlotRequest) -> f64 {
        let usable = self.servers.values().filter(|server| server.is_usable(now));
        let fastest = usable.map(|server| server.whole_ms(now, &ask.work)).min_by(f64::total_cmp);
        let longest = ask.time_left.as_secs_f64() * 1_000.0 * WHOLE_PART;
        longest.max(fastest.unwrap_or_default() * FASTEST_MARGIN)
    }

    fn grant(
        &mut self,
        now: Duration,
        waiting: &Waiting,
        upstream: UpstreamName,
    ) -> Option<Decision> {
        let server = self.servers.get_mut(&upstream)?;
        let run = server.start(now, &waiting.ask.work);
        let address = server.info.address;
        self.runs.insert(waiting.ticket, Running { upstream: upstream.clone(), run });
        Some(Decision::Granted(waiting.ticket, Grant { upstream, address }))
    }

    /// Counts a request that runs by the grant of another gate.
    pub fn adopt(&mut self, now: Duration, ticket: Ticket, upstream: UpstreamName, work: &Work) {
        let Some(server) = self.servers.get_mut(&upstream) else { return };
        let run = server.start(now, work);
        self.runs.insert(ticket, Running { upstream, run });
    }

    /// Notes the first event of a run.
    pub fn first_output(&mut self, ticket: Ticket, took: Duration) {
        let Some(running) = self.runs.get_mut(&ticket) else { return };
        if let Some(server) = self.servers.get_mut(&running.upstream) {
            server.first_output(&mut running.run, took);
        }
    }

    /// Ends a request, whether it waits or runs.
    pub fn end(&mut self, now: Duration, part: f64, ticket: Ticket, end: End) -> Vec<Decision> {
        match self.runs.remove(&ticket) {
            Some(running) => self.end_run(now, &running, end),
            None => {
                self.queue.remove(ticket);
            }
        }
        self.fill(now, part)
    }

    fn end_run(&mut self, now: Duration, running: &Running, end: End) {
        if let End::Finished { took, .. } = end {
            let held = self.hold.as_secs_f64();
            let held = held + (took.as_secs_f64() - held) * HOLD_WEIGHT;
            self.hold = Duration::from_secs_f64(held);
        }
        if let Some(server) = self.servers.get_mut(&running.upstream) {
            server.end(now, &running.run, end);
        }
    }

    /// Ends all requests of an instance that is gone.
    pub fn end_link(&mut self, now: Duration, link: u64) {
        self.queue.remove_link(link);
        let gone: Vec<Ticket> =
            self.runs.keys().filter(|ticket| ticket.link == link).copied().collect();
        for ticket in gone {
            if let Some(running) = self.runs.remove(&ticket) {
                self.end_run(now, &running, End::Cancelled);
            }
        }
    }

    /// Returns whether a request holds a slot.
    pub fn is_running(&self, ticket: Ticket) -> bool {
        self.runs.contains_key(&ticket)
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns how many requests run.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    fn slots(&self, part: f64) -> u32 {
        let open = self.servers.values().filter(|server| !server.info.draining);
        open.map(|server| self.sent_at_once(&server.info, part)).sum()
    }

    /// Requests that this gate may send to an upstream at once.
    fn sent_at_once(&self, info: &UpstreamInfo, part: f64) -> u32 {
        let slots_a_spare =
            if self.hold <= SHORT_HOLD { SHORT_SLOTS_A_SPARE } else { SLOTS_A_SPARE };
        let sent = info.slots + info.slots / slots_a_spare;
        ((f64::from(sent) * part).floor() as u32).max(1)
    }
}

fn is_allowed(server: &Server, ask: &SlotRequest) -> bool {
    !server.info.draining && !ask.avoid.contains(&server.info.name)
}

/// Returns how long a request waits at most.
fn longest_wait(ask: &SlotRequest) -> Duration {
    let first_left = ask.first_output_left.min(ask.time_left);
    if ask.target_left.is_zero() {
        return first_left.mul_f64(LATE_WAITING_PART);
    }
    ask.target_left.mul_f64(WAITING_AIMS).min(first_left.mul_f64(WAITING_PART))
}

fn memory_tokens(work: &Work) -> u64 {
    match work {
        Work::Plain => 0,
        Work::Generation { prompt_tokens, output_tokens, .. } => {
            u64::from(*prompt_tokens) + u64::from(*output_tokens)
        }
    }
}

/// Returns when a caller is to come back, within what it can wait.
fn return_in(wait: Duration, ask: &SlotRequest) -> Duration {
    wait.max(SHORTEST_RETRY).min(ask.time_left / 3)
}
