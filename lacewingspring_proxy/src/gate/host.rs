//! Server side of the gate: schedules the requests of all instances linked to it.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::{Arc, Mutex, MutexGuard, Once, PoisonError},
    time::Duration,
};

use lacewingspring_core::{
    dispatch::{
        Decision, Dispatcher, FleetRoster, FleetShare, Limits, LoadReports, ServiceCounts,
        SlotRequest, Ticket,
    },
    names::{InstanceName, ServiceName, WorkspaceName},
};
use tokio::{
    sync::{Notify, mpsc::UnboundedSender, watch},
    time::sleep,
};

use self::{
    declared_limits::DeclaredLimits, deferral::Deferral, pause::Pauses, roll_outs::RollOuts,
};
use super::{
    allowance::Allowance,
    findings::log_finding,
    message::{EndDetails, FromGate, ReceivedLoad, ToGate, Trailing},
    recorded_versions::RecordedVersions,
};
use crate::{
    clock,
    members::SharedMembers,
    outage::Outage,
    replica::{ByTopic, Replicas},
    store::Revision,
};

mod declared_limits;
mod deferral;
mod entries;
mod next_gate;
mod pause;
mod roll_outs;
mod serve;
mod share;
mod streams;
mod updates;
mod versions;

/// Interval of the dispatcher's ticks while requests are queued.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Link from an instance.
#[derive(Debug)]
struct Link {
    tx: UnboundedSender<FromGate>,
    /// Instance at the other end; `None` until its first message arrives.
    instance: Option<InstanceName>,
    /// Revision of each topic up to which updates were sent; `None` for a topic that the link does
    /// not follow here.
    sent_revisions: ByTopic<Option<Revision>>,
}

#[derive(Debug)]
struct State {
    dispatcher: Dispatcher,
    declared_limits: DeclaredLimits,
    roster: FleetRoster,
    pauses: Pauses,
    deferral: Deferral,
    versions: RecordedVersions,
    /// Time at which upstreams whose version is not recorded are used all the same; `None` if none
    /// is withheld.
    withheld_until: Option<Duration>,
    /// Services all of whose upstreams for new requests are withheld.
    withheld_services: BTreeSet<ServiceName>,
    /// Share that was logged last.
    logged_share: FleetShare,
    links: HashMap<u64, Link>,
    next_link: u64,
    /// Bandwidth for replica updates.
    allowance: Allowance,
    /// Roll-outs; `None` where they are not handled.
    roll_outs: Option<RollOuts>,
}

/// Schedules the dispatch of requests for the instances linked to this one.
#[derive(Debug)]
pub struct GateHost {
    state: Mutex<State>,
    members: SharedMembers,
    replicas: Arc<Replicas>,
    /// Wakes the ticking task when a request is queued.
    queued: Notify,
    /// Wakes the task that tells other instances of streams.
    streams_changed: Notify,
    /// Wakes the task that records versions.
    versions_changed: Notify,
    /// Whether the entries of upstreams have been read, or need not be.
    has_entries: watch::Sender<bool>,
    /// Logs that links are refused because the entries have not been read.
    log_refused_link: Once,
}

impl GateHost {
    /// Creates a host without upstreams, on a machine with a bandwidth of `link_bytes_per_s`;
    /// `None` if it is not known.
    pub fn new(
        members: SharedMembers,
        replicas: Arc<Replicas>,
        link_bytes_per_s: Option<f64>,
    ) -> Self {
        let state = State {
            dispatcher: Dispatcher::default(),
            declared_limits: DeclaredLimits::default(),
            roster: FleetRoster::default(),
            pauses: Pauses::default(),
            deferral: Deferral::default(),
            versions: RecordedVersions::default(),
            withheld_until: None,
            withheld_services: BTreeSet::new(),
            logged_share: FleetShare::default(),
            links: HashMap::new(),
            next_link: 0,
            allowance: Allowance::new(link_bytes_per_s),
            roll_outs: None,
        };
        Self {
            state: Mutex::new(state),
            members,
            replicas,
            queued: Notify::new(),
            streams_changed: Notify::new(),
            versions_changed: Notify::new(),
            has_entries: watch::Sender::new(true),
            log_refused_link: Once::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the limits of the operators' configuration, which is of this version.
    pub fn set_limits(&self, version: u64, limits: Limits) {
        self.state().set_limits(version, limits);
    }

    /// Keeps shares of workspaces in all services from now on.
    pub fn enable_shares(&self) {
        self.state().dispatcher.enable_shares();
    }

    /// Returns the upstream time of the runs that ended in services with shares, by workspace.
    pub fn granted_time(&self) -> BTreeMap<Option<WorkspaceName>, Duration> {
        self.state().dispatcher.granted_time()
    }

    /// Opens a link whose messages are sent to `tx`; returns its number.
    pub fn connect(&self, tx: UnboundedSender<FromGate>) -> u64 {
        let mut state = self.state();
        let id = state.next_link;
        state.next_link += 1;
        state.links.insert(id, Link { tx, instance: None, sent_revisions: ByTopic::default() });
        id
    }

    /// Closes a link and ends its requests.
    pub fn disconnect(&self, now: Duration, id: u64) {
        let mut state = self.state();
        let link = state.links.remove(&id);
        state.deferral.end_link(id);
        if let Some(instance) = link.and_then(|link| link.instance) {
            state.roster.unlink(&instance);
        }
        self.update_followed(&state);
        let decisions = state.dispatcher.end_link(now, id);
        state.send_decisions(decisions);
        state.update_fleet_share(now);
    }

    /// Handles a message received over a link.
    pub fn handle(&self, now: Duration, link: u64, message: ToGate) {
        if let ToGate::Ping { number, follow } = message {
            self.hear(now, link);
            self.answer_ping(now, link, number, follow);
            return;
        }
        let mut state = self.state();
        state.hear(now, link);
        let ticket = |number| Ticket { link, number };
        let decisions = match message {
            ToGate::Hello { instance, usage, usage_age } => {
                state.greet(now, link, instance, !usage.is_empty());
                state.dispatcher.import_usage(now, usage_age, &usage);
                Vec::new()
            }
            ToGate::RateLimit { number, per_s } => {
                state.dispatcher.set_rate_limit(now, ticket(number), per_s);
                Vec::new()
            }
            ToGate::Brittle { number } => {
                state.dispatcher.set_brittle(now, ticket(number));
                Vec::new()
            }
            ToGate::HandOver { hand_over, age } => {
                state.dispatcher.take_over(now, age, &hand_over);
                Vec::new()
            }
            ToGate::Streams(known, roll_outs) => {
                state.learn_roll_outs(now, &roll_outs, false);
                state.dispatcher.take_over_streams(now, &known)
            }
            ToGate::Running { number, request, upstream } => {
                state.dispatcher.adopt(now, ticket(number), &request, upstream);
                Vec::new()
            }
            ToGate::RequestSlot { number, request, quota } => {
                state.apply_told_limit(&request, quota.0);
                let has_entries = self.has_entries();
                if let Some(request) = state.defer(now, link, number, request, has_entries) {
                    drop(state);
                    self.decide(now, link, number, request);
                }
                return;
            }
            ToGate::FirstOutput { number, took, load } => {
                state.record_load(now, ticket(number), load);
                state.dispatcher.first_output(now, ticket(number), took);
                Vec::new()
            }
            ToGate::End { number, end, details } => {
                if state.deferral.remove(link, number) {
                    return;
                }
                state.record_details(now, ticket(number), details);
                state.dispatcher.end(now, ticket(number), end)
            }
            ToGate::Ping { .. } => Vec::new(),
        };
        state.send_decisions(decisions);
        if state.dispatcher.has_unpublished_streams() {
            self.streams_changed.notify_one();
        }
    }

    /// Decides on a slot request, or queues it.
    fn decide(&self, now: Duration, link: u64, number: u64, request: SlotRequest) {
        let mut state = self.state();
        if !state.links.contains_key(&link) {
            return;
        }
        state.use_overdue_upstreams(now);
        let ticket = Ticket { link, number };
        let decisions = state.dispatcher.request_slot(now, ticket, request);
        if !decisions.iter().any(|decision| ticket_of(decision) == ticket) {
            state.send(link, FromGate::Queued { number });
            self.queued.notify_one();
        }
        state.send_decisions(decisions);
        if state.dispatcher.has_unpublished_streams() {
            self.streams_changed.notify_one();
        }
    }

    /// Returns whether more than half of the fleet is linked to this instance, as far as it knows:
    /// not right after its process stood still.
    pub fn serves_majority(&self, now: Duration) -> bool {
        let mut state = self.state();
        state.pauses.observe(now);
        let is_majority = state.dispatcher.fleet_share().is_majority() && !state.links.is_empty();
        is_majority && !state.pauses.is_settling(now)
    }

    /// Returns whether this instance grants slots, to its own callers at least.
    pub fn grants_slots(&self) -> bool {
        self.state().dispatcher.fleet_share().slots > 0.0
    }

    /// Returns the schedules of the calls that check whether the key-value service is available
    /// again.
    pub fn outage(&self) -> &Outage {
        self.replicas.outage()
    }

    /// Returns the request counts of each service.
    pub fn counts(&self) -> Vec<(ServiceName, ServiceCounts)> {
        let state = self.state();
        state.dispatcher.counts().map(|(name, counts)| (name.clone(), counts)).collect()
    }

    /// Returns how the loads that upstreams reported were used.
    pub fn load_reports(&self) -> LoadReports {
        self.state().dispatcher.load_reports()
    }

    /// Ticks the dispatcher while requests are queued. Never returns.
    pub async fn run_ticks(self: Arc<Self>) {
        loop {
            if !self.state().dispatcher.is_waiting() {
                self.queued.notified().await;
            }
            sleep(TICK_INTERVAL).await;
            let now = clock::now();
            let mut state = self.state();
            state.pauses.observe(now);
            state.use_overdue_upstreams(now);
            let decisions = state.dispatcher.tick(now);
            state.send_decisions(decisions);
            self.request_confirmation(&state);
            if state.dispatcher.has_unpublished_streams() {
                self.streams_changed.notify_one();
            }
        }
    }
}

impl State {
    /// Takes in an instance that has just linked, and tells it what the next gate must know.
    fn greet(&mut self, now: Duration, link: u64, instance: InstanceName, knows_usage: bool) {
        let hand_over = self.dispatcher.hand_over(now);
        self.introduce(now, link, instance, knows_usage);
        self.deferral.record_link(now);
        if !hand_over.is_empty() {
            self.send(link, FromGate::HandOver(Arc::new(hand_over)));
        }
        self.tell_streams(now, link);
        self.dispatcher.record_link(now);
        self.update_fleet_share(now);
    }

    fn send_decisions(&mut self, decisions: Vec<Decision>) {
        for finding in self.dispatcher.take_findings() {
            log_finding(&finding);
        }
        for decision in decisions {
            let link = ticket_of(&decision).link;
            let message = match decision {
                Decision::Granted(ticket, grant) => {
                    FromGate::Granted { number: ticket.number, grant }
                }
                Decision::Refused(ticket, refusal) => {
                    FromGate::Refused { number: ticket.number, refusal }
                }
            };
            self.send(link, message);
        }
    }

    fn record_load(&mut self, now: Duration, ticket: Ticket, load: Trailing<ReceivedLoad>) {
        let Some(ReceivedLoad { load, age }) = load.0 else { return };
        self.dispatcher.record_load(now.saturating_sub(age), ticket, load);
    }

    /// Records what the response to a request told besides its end.
    fn record_details(&mut self, now: Duration, ticket: Ticket, details: EndDetails) {
        self.record_load(now, ticket, details.load);
        if let Some(status) = details.error_status.0 {
            self.dispatcher.record_error_status(ticket, status);
        }
    }

    fn send(&mut self, link: u64, message: FromGate) {
        let Some(target) = self.links.get(&link) else { return };
        // A closed receiver means that the link is about to be removed.
        let _ = target.tx.send(message);
    }
}

fn ticket_of(decision: &Decision) -> Ticket {
    match decision {
        Decision::Granted(ticket, _) | Decision::Refused(ticket, _) => *ticket,
    }
}
