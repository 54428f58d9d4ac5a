//! Scheduler of one service: its upstreams, its running requests and its queue.

use std::{collections::HashMap, time::Duration};

use super::{
    brittle::BrittleUpstreams,
    queue::{Queue, WaitingRequest},
    rate_limits::RateLimits,
    upstream::UpstreamInfo,
    upstream_state::{Run, Speed, UpstreamState},
    work::{Decision, End, Grant, Reason, Refusal, SlotRequest, Ticket, Work},
};
use crate::names::UpstreamName;

mod capacity;

/// Weight of a new sample in the moving average of the service time.
const SERVICE_TIME_SAMPLE_WEIGHT: f64 = 0.05;

/// Service time assumed until a request has finished.
const ASSUMED_SERVICE_TIME: Duration = Duration::from_millis(500);

/// Longest wait of a request, as a fraction of the time left until its caller must have the first
/// output.
const MAX_WAIT_FRACTION: f64 = 0.6;

/// As [`MAX_WAIT_FRACTION`], for a request whose latency target has passed.
const LATE_MAX_WAIT_FRACTION: f64 = 0.1;

/// Longest wait of a request, as a multiple of the time left to its latency target.
const MAX_WAIT_TARGET_FACTOR: f64 = 1.5;

/// Fraction of a request's remaining time that its answer may be expected to take. The margin is
/// wide because output lengths are known only roughly.
const MAX_ANSWER_TIME_FRACTION: f64 = 0.5;

/// Upstreams whose completion time exceeds that of the fastest by no more than this factor count as
/// fast.
const FASTEST_MARGIN_FACTOR: f64 = 1.2;

/// Factor by which the expected wait is raised as a safety margin.
const WAIT_MARGIN_FACTOR: f64 = 1.3;

/// Shortest time that an overload is assumed to last; a caller that retries sooner would be refused
/// again.
const MIN_OVERLOAD: Duration = Duration::from_secs(3);

/// Shortest retry-after time of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Retry-after time of a refusal because no upstream is usable.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Number of upstreams from which the expected time to the first event is averaged.
const MAX_SAMPLED_UPSTREAMS: usize = 32;

/// A request that holds a slot.
#[derive(Debug)]
struct Running {
    upstream: UpstreamName,
    run: Run,
}

/// Upstreams, running requests and queue of one service; not to be confused with an engine pool.
#[derive(Debug)]
pub(super) struct Pool {
    upstreams: HashMap<UpstreamName, UpstreamState>,
    runs: HashMap<Ticket, Running>,
    queue: Queue,
    /// Limits that upstreams named.
    pub rate_limits: RateLimits,
    /// Moving average of the service times of finished requests.
    service_time: Duration,
    /// Time at which the latest refused caller is expected to retry.
    last_retry_at: Duration,
    /// Whether the upstreams may crash if they decline requests.
    pub brittle: BrittleUpstreams,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            upstreams: HashMap::new(),
            runs: HashMap::new(),
            queue: Queue::default(),
            rate_limits: RateLimits::default(),
            service_time: ASSUMED_SERVICE_TIME,
            last_retry_at: Duration::ZERO,
            brittle: BrittleUpstreams::default(),
        }
    }
}

impl Pool {
    /// Replaces the known upstreams. Upstreams that were not restarted keep their learned state.
    pub fn set_upstreams(&mut self, infos: Vec<UpstreamInfo>) {
        let speed = self.median_speed();
        let mut earlier = std::mem::take(&mut self.upstreams);
        for info in infos {
            self.rate_limits.remove_of_other_process(&info.name, info.started_at_ms);
            let known = earlier
                .remove(&info.name)
                .filter(|known| known.info.started_at_ms == info.started_at_ms);
            let mut state = match known {
                Some(known) => known,
                None => self.new_upstream(info.clone(), speed),
            };
            state.info = info;
            self.upstreams.insert(state.info.name.clone(), state);
        }
    }

    /// Creates the state of an upstream. Requests that were already sent to an upstream of that
    /// name are counted on it.
    fn new_upstream(&self, info: UpstreamInfo, speed: Speed) -> UpstreamState {
        let name = info.name.clone();
        let mut state = UpstreamState::new(info, speed);
        for running in self.runs.values().filter(|running| running.upstream == name) {
            state.add_run(&running.run);
        }
        state
    }

    /// Returns the speed assumed for a new upstream: that of the upstream with the median decoding
    /// speed.
    fn median_speed(&self) -> Speed {
        let mut speeds: Vec<Speed> = self.upstreams.values().map(|state| state.speed).collect();
        speeds.sort_by(|a, b| a.decode_ms_per_token.total_cmp(&b.decode_ms_per_token));
        speeds.get(speeds.len() / 2).copied().unwrap_or(Speed::ASSUMED)
    }

    /// Keeps a request from some upstreams if another one has a free slot for it.
    pub fn avoid_if_others(
        &self,
        now: Duration,
        fleet_fraction: f64,
        request: &mut SlotRequest,
        avoided: Vec<UpstreamName>,
    ) {
        let avoided_too = SlotRequest {
            avoid: request.avoid.iter().cloned().chain(avoided).collect(),
            ..request.clone()
        };
        if self.choose_upstream(now, fleet_fraction, &avoided_too).is_some() {
            *request = avoided_too;
        }
    }

    /// Queues a request and dispatches what can be sent.
    ///
    /// If the request still waits and can't be answered on time, one request is refused: the newest
    /// of a better served class if there is one and this request isn't late, else this request. One
    /// that resumes a stream waits ahead of the others, for the slots of one software version.
    pub fn request_slot(
        &mut self,
        now: Duration,
        fleet_fraction: f64,
        ticket: Ticket,
        request: SlotRequest,
    ) -> Vec<Decision> {
        let band = self.queue.classify(&request);
        if request.sends == 0 {
            self.queue.count_arrival(now, &request, band);
        }
        if !self.upstreams.values().any(|state| is_eligible(state, &request)) {
            let retry_after = clamp_retry_after(NO_UPSTREAM_RETRY_AFTER, &request);
            let refusal = Refusal::new(Reason::NoUpstream, retry_after);
            return vec![Decision::Refused(ticket, refusal)];
        }
        let first_output_ms = self.expected_first_output_ms(now, ticket, &request.work);
        let first_output = Duration::from_secs_f64(first_output_ms / 1_000.0);
        let due = now + request.target_left.saturating_sub(first_output);
        let class = request.class.clone();
        let is_late = request.target_left.is_zero();
        let waiting =
            WaitingRequest { ticket, due, expires: now + max_wait(&request), request, band };
        self.queue.push(now, waiting);
        let mut decisions = self.dispatch_waiting(now, fleet_fraction);
        let waiting = self.queue.get(ticket).filter(|waiting| !waiting.request.is_resumed());
        let refusal = waiting.and_then(|waiting| {
            self.unservable_wait(now, fleet_fraction, first_output, &waiting.request)
        });
        let Some(wait) = refusal else { return decisions };
        let better = self.queue.newest_of_better_served(&class, band).filter(|_| !is_late);
        let victim = better.unwrap_or(ticket);
        if let Some(waiting) = self.queue.remove(victim) {
            decisions.push(self.refuse(now, fleet_fraction, wait, &waiting));
        }
        decisions
    }

    /// Returns the expected wait of a queued request if it can't be answered within its latency
    /// target or, if that has passed already, before its caller leaves; else `None`.
    ///
    /// A caller that is refused at once can retry when there is room; one that waits in vain can't.
    fn unservable_wait(
        &self,
        now: Duration,
        fleet_fraction: f64,
        first_output: Duration,
        request: &SlotRequest,
    ) -> Option<Duration> {
        let slots = f64::from(self.total_slots(now, fleet_fraction).max(1));
        let wait_for = |ahead: usize| self.service_time.mul_f64(ahead as f64 / slots);
        if request.target_left.is_zero() {
            let wait = wait_for(self.queue.len() - 1);
            return (wait > max_wait(request)).then_some(wait);
        }
        let wait = wait_for(self.queue.timely_len().saturating_sub(1));
        (wait.mul_f64(WAIT_MARGIN_FACTOR) + first_output > request.target_left)
            .then(|| wait_for(self.queue.len() - 1))
    }

    /// Refuses a request and assigns its retry-after time.
    ///
    /// Each refused caller gets a time of its own. The times are as far apart as slots become free.
    fn refuse(
        &mut self,
        now: Duration,
        fleet_fraction: f64,
        wait: Duration,
        waiting: &WaitingRequest,
    ) -> Decision {
        let slots = f64::from(self.total_slots(now, fleet_fraction).max(1));
        let soonest = now + wait.max(MIN_OVERLOAD);
        self.last_retry_at = self.last_retry_at.max(soonest) + self.service_time.div_f64(slots);
        let retry_after =
            clamp_retry_after(self.last_retry_at.saturating_sub(now), &waiting.request);
        let refusal = Refusal {
            reason: Reason::Overload,
            retry_after,
            waiting: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            expected_wait: wait,
        };
        Decision::Refused(waiting.ticket, refusal)
    }

    /// Returns the expected time from a send to the first event, in milliseconds, averaged over the
    /// usable upstreams by how often their slots become free: a waiting request goes to the
    /// upstream that has a free slot first, which is mostly a fast one.
    ///
    /// Of many upstreams it takes a sample, a different one for each request, so that its cost does
    /// not grow with the fleet.
    fn expected_first_output_ms(&self, now: Duration, ticket: Ticket, work: &Work) -> f64 {
        let interval = self.upstreams.len().div_ceil(MAX_SAMPLED_UPSTREAMS).max(1);
        let first = (ticket.number % interval as u64) as usize;
        let sampled = self.upstreams.values().skip(first).step_by(interval);
        let usable = sampled.filter(|state| state.is_usable(now));
        let times =
            usable.map(|state| (state.first_output_ms(now, work), state.slot_turnover(work)));
        let (sum, weight) =
            times.fold((0.0, 0.0), |(sum, weight), (first_output_ms, slot_turnover)| {
                (sum + first_output_ms * slot_turnover, weight + slot_turnover)
            });
        if weight > 0.0 { sum / weight } else { 0.0 }
    }

    /// Dispatches waiting requests until no upstream has a slot for one of them; refuses expired
    /// ones.
    pub fn dispatch_waiting(&mut self, now: Duration, fleet_fraction: f64) -> Vec<Decision> {
        let mut decisions = self.expire(now, fleet_fraction);
        loop {
            if !self.has_free_slot(now, fleet_fraction) {
                return decisions;
            }
            let heads = self.queue.heads();
            let next = heads.into_iter().find_map(|waiting| {
                Some((waiting.ticket, self.choose_upstream(now, fleet_fraction, &waiting.request)?))
            });
            let Some((ticket, upstream)) = next else { return decisions };
            let Some(waiting) = self.queue.dequeue(now, ticket) else { return decisions };
            decisions.extend(self.grant(now, fleet_fraction, &waiting, upstream));
        }
    }

    fn expire(&mut self, now: Duration, fleet_fraction: f64) -> Vec<Decision> {
        let expired = self.queue.expire(now);
        expired
            .iter()
            .map(|waiting| self.refuse(now, fleet_fraction, Duration::ZERO, waiting))
            .collect()
    }

    /// Returns whether any upstream has a free slot.
    fn has_free_slot(&self, now: Duration, fleet_fraction: f64) -> bool {
        let limit = self.in_progress_limit(now, fleet_fraction);
        self.upstreams.values().any(|state| {
            state.has_slot(now, limit.of(state.info.slots))
                && self.rate_limits.allows(now, fleet_fraction, &state.info.name)
                && !self.brittle.is_paused(now, &state.info.name)
        })
    }

    fn choose_upstream(
        &self,
        now: Duration,
        fleet_fraction: f64,
        request: &SlotRequest,
    ) -> Option<UpstreamName> {
        let needed_tokens = memory_tokens(&request.work);
        // The conditions are ordered by their cost, as under load most upstreams have no room.
        let limit = self.in_progress_limit(now, fleet_fraction);
        let open = self.upstreams.values().filter(|state| {
            state.has_room(now, limit.of(state.info.slots), needed_tokens)
                && is_eligible(state, request)
                && self.rate_limits.allows(now, fleet_fraction, &state.info.name)
                && !self.brittle.is_paused(now, &state.info.name)
        });
        let mut max_answer_ms = None;
        let candidates = open.filter(|state| {
            let completion_ms = state.completion_ms(now, &request.work);
            completion_ms <= longest_answer_ms(request)
                || completion_ms
                    <= *max_answer_ms.get_or_insert_with(|| self.max_answer_ms(now, request))
        });
        let costs = candidates.map(|state| (state.cost_ms(now, request), &state.info.name));
        let best = costs.min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)))?;
        Some(best.1.clone())
    }

    /// Returns the longest expected answer time, in milliseconds, with which an answer is likely to
    /// be complete before its request times out.
    ///
    /// An answer that is cut off before its end has used a slot for nothing. If all upstreams are
    /// too slow, those about as fast as the fastest are still allowed.
    fn max_answer_ms(&self, now: Duration, request: &SlotRequest) -> f64 {
        let usable =
            self.upstreams.values().filter(|state| state.is_usable(now) && runs(state, request));
        let fastest =
            usable.map(|state| state.completion_ms(now, &request.work)).min_by(f64::total_cmp);
        longest_answer_ms(request).max(fastest.unwrap_or_default() * FASTEST_MARGIN_FACTOR)
    }

    fn grant(
        &mut self,
        now: Duration,
        fleet_fraction: f64,
        waiting: &WaitingRequest,
        upstream: UpstreamName,
    ) -> Option<Decision> {
        let state = self.upstreams.get_mut(&upstream)?;
        let run = state.start_run(now, &waiting.request.work);
        let UpstreamInfo { address, ref software, started_at_ms, .. } = state.info;
        let software = software.clone();
        self.runs.insert(waiting.ticket, Running { upstream: upstream.clone(), run });
        self.rate_limits.take(now, fleet_fraction, &upstream);
        let is_limited = self.rate_limits.rate(&upstream).is_some();
        Some(Decision::Granted(
            waiting.ticket,
            Grant { upstream, address, software, started_at_ms, is_limited },
        ))
    }

    /// Registers a request that already runs under a grant of another gate.
    pub fn adopt(&mut self, now: Duration, ticket: Ticket, upstream: UpstreamName, work: &Work) {
        let Some(state) = self.upstreams.get_mut(&upstream) else { return };
        let run = state.start_run(now, work);
        self.runs.insert(ticket, Running { upstream, run });
    }

    /// Records that the first event of a run arrived `took` after its send.
    pub fn first_output(&mut self, ticket: Ticket, took: Duration) {
        let Some(running) = self.runs.get_mut(&ticket) else { return };
        if let Some(state) = self.upstreams.get_mut(&running.upstream) {
            state.first_output(&mut running.run, took);
        }
    }

    /// Ends a request, whether it waits or runs, and dispatches to the slot that it frees.
    pub fn end(
        &mut self,
        now: Duration,
        fleet_fraction: f64,
        ticket: Ticket,
        end: End,
    ) -> Vec<Decision> {
        match self.runs.remove(&ticket) {
            Some(running) => self.end_run(now, &running, end),
            None => {
                self.queue.remove(ticket);
            }
        }
        self.dispatch_waiting(now, fleet_fraction)
    }

    fn end_run(&mut self, now: Duration, running: &Running, end: End) {
        if let End::Finished { took, .. } = end {
            let mean = self.service_time.as_secs_f64();
            let mean = mean + (took.as_secs_f64() - mean) * SERVICE_TIME_SAMPLE_WEIGHT;
            self.service_time = Duration::from_secs_f64(mean);
        }
        if end == End::Declined {
            self.brittle.record_declined(now, &running.upstream);
        }
        if let Some(state) = self.upstreams.get_mut(&running.upstream) {
            state.end_run(now, &running.run, end);
        }
    }

    /// Ends all requests of an instance whose connection to the gate is lost.
    pub fn end_link(&mut self, now: Duration, link: u64) {
        self.queue.remove_link(link);
        let tickets: Vec<Ticket> =
            self.runs.keys().filter(|ticket| ticket.link == link).copied().collect();
        for ticket in tickets {
            if let Some(running) = self.runs.remove(&ticket) {
                self.end_run(now, &running, End::Cancelled);
            }
        }
    }

    /// Removes a request from the queue; returns whether it waited there.
    pub fn remove_waiting(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket).is_some()
    }

    /// Records that the response to a run named the requests a second that its upstream takes, or
    /// named no limit; returns the upstream if that differs from what was known.
    pub fn set_rate_limit(
        &mut self,
        now: Duration,
        ticket: Ticket,
        rate: Option<f64>,
    ) -> Option<&UpstreamName> {
        let upstream = &self.runs.get(&ticket)?.upstream;
        let info = self.upstreams.get(upstream).map(|state| &state.info);
        let is_changed = match rate {
            Some(rate) => {
                let started_at_ms = info.map(|info| info.started_at_ms);
                self.rate_limits.set(now, upstream, started_at_ms, rate)
            }
            None => self.rate_limits.remove(upstream),
        };
        is_changed.then_some(upstream)
    }

    /// Returns the upstream at which a request holds a slot.
    pub fn upstream_of(&self, ticket: Ticket) -> Option<&UpstreamName> {
        self.runs.get(&ticket).map(|running| &running.upstream)
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.runs.len()
    }
}

fn is_eligible(state: &UpstreamState, request: &SlotRequest) -> bool {
    !state.info.draining && !request.avoid.contains(&state.info.name) && runs(state, request)
}

/// Returns whether an upstream has the software version that must run a request.
fn runs(state: &UpstreamState, request: &SlotRequest) -> bool {
    request.software.as_ref().is_none_or(|software| *software == state.info.software)
}

/// Returns the longest expected answer time of a request, in milliseconds, at an upstream that is
/// not too slow for it.
fn longest_answer_ms(request: &SlotRequest) -> f64 {
    request.time_left.as_secs_f64() * 1_000.0 * MAX_ANSWER_TIME_FRACTION
}

/// Returns the longest time that a request may wait in the queue before it is refused.
fn max_wait(request: &SlotRequest) -> Duration {
    let first_left = request.first_output_left.min(request.time_left);
    if request.is_resumed() {
        return first_left.mul_f64(MAX_WAIT_FRACTION);
    }
    if request.target_left.is_zero() {
        return first_left.mul_f64(LATE_MAX_WAIT_FRACTION);
    }
    request.target_left.mul_f64(MAX_WAIT_TARGET_FACTOR).min(first_left.mul_f64(MAX_WAIT_FRACTION))
}

fn memory_tokens(work: &Work) -> u64 {
    match work {
        Work::Plain => 0,
        Work::Generation { prompt_tokens, output_tokens, .. } => {
            u64::from(*prompt_tokens) + u64::from(*output_tokens)
        }
    }
}

/// Returns the retry-after time for an expected wait. It is at most a third of the time that the
/// request has left, so that the caller can still retry.
fn clamp_retry_after(wait: Duration, request: &SlotRequest) -> Duration {
    wait.max(MIN_RETRY_AFTER).min(request.time_left / 3)
}
