//! Scheduler of one service: its upstreams, its running requests and its queue.

use std::{collections::HashMap, sync::Arc, time::Duration};

use self::overload::{max_wait, refuse_without_upstream};
use super::{
    brittle::BrittleUpstreams,
    fleet_share::FleetShare,
    queue::{Queue, WaitingRequest},
    rate_limits::RateLimits,
    reported_load::LoadReports,
    upstream::UpstreamInfo,
    upstream_state::{Run, Speed, UpstreamState},
    version_choice::{TargetRoom, VersionChoice, VersionSet},
    work::{Decision, End, Grant, SlotRequest, Ticket, Work},
    workspace_shares::{ShareConfig, ShareRefusal, SlotCharge},
};
use crate::names::UpstreamName;

mod capacity;
mod choice;
mod load;
mod named_limits;
mod overload;
mod shares;
mod versions;

/// Weight of a new sample in the moving average of the service time.
const SERVICE_TIME_SAMPLE_WEIGHT: f64 = 0.05;

/// Service time assumed until a request has finished.
const ASSUMED_SERVICE_TIME: Duration = Duration::from_millis(500);

/// A circuit that opened or closed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct CircuitChange {
    pub upstream: UpstreamName,
    pub is_open: bool,
}

impl CircuitChange {
    /// Returns the change of an upstream's circuit since it `was_open`, if there is one.
    fn since(was_open: bool, state: &UpstreamState) -> Option<Self> {
        let is_open = state.is_circuit_open;
        (is_open != was_open).then(|| Self { upstream: state.info.name.clone(), is_open })
    }
}

/// A request that holds a slot.
#[derive(Debug)]
struct Running {
    upstream: UpstreamName,
    run: Run,
    /// What its workspace was charged; `None` if no shares were kept at its grant.
    charge: Option<SlotCharge>,
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
    /// Software versions that may be used.
    pub versions: VersionChoice,
    /// Load reports of the upstreams.
    pub load_reports: LoadReports,
    /// Refusals that are not reported yet, with the use of shares at that time.
    share_refusals: Vec<ShareRefusal>,
    /// Time by which the requests are expected to be served that waited when one was refused.
    contended_until: Duration,
    /// Part of the slots and limits that this gate may use.
    pub fleet_share: FleetShare,
    /// Circuits that opened or closed and are not reported yet.
    circuit_changes: Vec<CircuitChange>,
}

impl Pool {
    /// Creates the scheduler of a service whose workspaces have these weights.
    pub fn new(fleet_share: FleetShare, share_config: Arc<ShareConfig>) -> Self {
        Self {
            upstreams: HashMap::new(),
            runs: HashMap::new(),
            queue: Queue::new(share_config),
            rate_limits: RateLimits::default(),
            service_time: ASSUMED_SERVICE_TIME,
            last_retry_at: Duration::ZERO,
            brittle: BrittleUpstreams::default(),
            versions: VersionChoice::default(),
            load_reports: LoadReports::default(),
            share_refusals: Vec::new(),
            contended_until: Duration::ZERO,
            fleet_share,
            circuit_changes: Vec::new(),
        }
    }

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
        self.update_reported();
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

    /// Queues a request and dispatches what can be sent.
    ///
    /// If the request still waits and can't be answered on time, one request is refused. One that
    /// resumes a stream waits ahead of the others, for the slots of one software version.
    pub fn request_slot(
        &mut self,
        now: Duration,
        ticket: Ticket,
        request: SlotRequest,
    ) -> Vec<Decision> {
        let band = self.queue.classify(&request);
        if request.sends == 0 {
            self.queue.count_arrival(now, &request, band);
        }
        if !self.has_upstream_for(now, &request) {
            return vec![refuse_without_upstream(ticket, &request)];
        }
        let first_output_ms = self.expected_first_output_ms(now, ticket, &request.work);
        let first_output = Duration::from_secs_f64(first_output_ms / 1_000.0);
        let class = request.class.clone();
        let waiting = WaitingRequest {
            ticket,
            band,
            due: now + request.target_left.saturating_sub(first_output),
            expires: now + max_wait(&request),
            deadline: now.saturating_add(request.time_left),
            number: 0,
            account: None,
            request,
        };
        let arrived = self.queue.push(now, waiting);
        let mut decisions = self.dispatch_waiting(now);
        decisions.extend(self.refuse_if_unservable(now, &class, &arrived, first_output));
        decisions
    }

    /// Dispatches waiting requests until no upstream has a slot for one of them; refuses expired
    /// ones.
    pub fn dispatch_waiting(&mut self, now: Duration) -> Vec<Decision> {
        let mut decisions = self.expire(now);
        loop {
            if !self.has_free_slot(now) {
                return decisions;
            }
            let heads = self.queue.heads(self.urgent_by(now));
            let next = heads.into_iter().find_map(|waiting| {
                Some((waiting.head(), self.choose_upstream(now, &waiting.request)?))
            });
            let Some((head, upstream)) = next else { return decisions };
            let Some(waiting) = self.queue.dequeue(now, &head) else { return decisions };
            decisions.extend(self.grant(now, &waiting, upstream));
        }
    }

    fn expire(&mut self, now: Duration) -> Vec<Decision> {
        let expired = self.queue.expire(now);
        expired.iter().map(|waiting| self.refuse(now, Duration::ZERO, waiting)).collect()
    }

    fn grant(
        &mut self,
        now: Duration,
        waiting: &WaitingRequest,
        upstream: UpstreamName,
    ) -> Option<Decision> {
        let charge = self.charge(now, waiting, &upstream);
        let state = self.upstreams.get_mut(&upstream)?;
        let run = state.start_run(now, &waiting.request.work);
        self.load_reports.count_use(state.reported.age(now));
        let UpstreamInfo { address, ref software, started_at_ms, .. } = state.info;
        let software = software.clone();
        let slot_use = state.slot_use();
        let tokens = run.prefill_tokens;
        self.versions.record_grant(now, waiting, &state.info, tokens, slot_use);
        self.runs.insert(waiting.ticket, Running { upstream: upstream.clone(), run, charge });
        self.rate_limits.take(now, self.fleet_share.slots, &upstream);
        let is_limited = self.rate_limits.rate(&upstream).is_some();
        Some(Decision::Granted(
            waiting.ticket,
            Grant { upstream, address, software, started_at_ms, is_limited },
        ))
    }

    /// Registers a request that already runs under a grant of another gate. Its upstream may be
    /// unknown, as instances report before the registry is read.
    pub fn adopt(&mut self, now: Duration, ticket: Ticket, upstream: UpstreamName, work: &Work) {
        let run = match self.upstreams.get_mut(&upstream) {
            Some(state) => state.start_run(now, work),
            None => Run::on_unknown(work),
        };
        self.runs.insert(ticket, Running { upstream, run, charge: None });
    }

    /// Records that the first event of a run arrived `took` after its send.
    pub fn first_output(&mut self, now: Duration, ticket: Ticket, took: Duration) {
        let Some(running) = self.runs.get_mut(&ticket) else { return };
        self.versions.record_first_output(ticket, took);
        if let Some(state) = self.upstreams.get_mut(&running.upstream) {
            self.load_reports.count_prediction(&running.run, took);
            let was_open = state.is_circuit_open;
            state.first_output(now, &mut running.run, took);
            self.circuit_changes.extend(CircuitChange::since(was_open, state));
        }
    }

    /// Records that the upstream answers a run with a status that is an error of its own.
    pub fn record_error_status(&mut self, ticket: Ticket, status: u16) {
        self.versions.record_error_status(ticket, status);
    }

    /// Ends a request, whether it waits or runs, and dispatches to the slot that it frees.
    pub fn end(&mut self, now: Duration, ticket: Ticket, end: End) -> Vec<Decision> {
        match self.runs.remove(&ticket) {
            Some(running) => {
                self.versions.record_end(now, ticket, end);
                self.end_run(now, &running, end);
            }
            None => {
                self.queue.remove(ticket);
            }
        }
        self.dispatch_waiting(now)
    }

    /// Sends an upstream nothing for a while, and then one request at a time until it responds, as
    /// it breaks one run after the other.
    pub fn open_circuit(&mut self, now: Duration, upstream: &UpstreamName) {
        if let Some(state) = self.upstreams.get_mut(upstream) {
            let was_open = state.is_circuit_open;
            state.open_circuit(now);
            self.circuit_changes.extend(CircuitChange::since(was_open, state));
        }
    }

    fn end_run(&mut self, now: Duration, running: &Running, end: End) {
        if let End::Finished { took, .. } = end {
            let mean = self.service_time.as_secs_f64();
            let mean = mean + (took.as_secs_f64() - mean) * SERVICE_TIME_SAMPLE_WEIGHT;
            self.service_time = Duration::from_secs_f64(mean);
        }
        if let Some(charge) = running.charge {
            self.queue.shares.correct(now, charge, end);
        }
        if end == End::Declined {
            self.brittle.record_declined(now, &running.upstream);
        }
        if let Some(state) = self.upstreams.get_mut(&running.upstream) {
            let was_open = state.is_circuit_open;
            state.end_run(now, &running.run, end);
            self.circuit_changes.extend(CircuitChange::since(was_open, state));
        }
    }

    /// Returns the circuits of upstreams that opened or closed since the last call.
    pub fn take_circuit_changes(&mut self) -> Vec<CircuitChange> {
        std::mem::take(&mut self.circuit_changes)
    }

    /// Ends all requests of an instance whose connection to the gate is lost.
    pub fn end_link(&mut self, now: Duration, link: u64) {
        self.queue.remove_link(link);
        let tickets: Vec<Ticket> =
            self.runs.keys().filter(|ticket| ticket.link == link).copied().collect();
        for ticket in tickets {
            if let Some(running) = self.runs.remove(&ticket) {
                self.versions.forget_run(ticket);
                self.end_run(now, &running, End::Cancelled);
            }
        }
    }

    /// Removes a request from the queue; returns whether it waited there.
    pub fn remove_waiting(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket).is_some()
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
