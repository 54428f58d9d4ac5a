//! Client side of the gate: keeps a link to the current gate and asks it for slots.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use lacewingspring_core::{
    dispatch::{End, Grant, HandOver, Refusal, SlotRequest, StoredUsage},
    names::{InstanceName, UpstreamName},
};
use tokio::sync::{
    mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    oneshot,
};

use super::{
    host::GateHost,
    message::{DeclaredQuota, EndDetails, FromGate, ReceivedLoad, ToGate, Trailing},
    slot::PendingSlot,
};
use crate::{
    clock,
    members::SharedMembers,
    replica::{ByTopic, Replicas, Topic},
    store::Revision,
};

mod connection;

/// Time without a message from the gate after which it is pinged.
const PING_AFTER: Duration = Duration::from_millis(400);

/// Time without a message to the gate after which it is pinged, even if the gate sends messages: a
/// gate sends nothing to an instance that it has not heard for its link timeout of 1.5 s.
const PING_AFTER_UNSENT: Duration = Duration::from_millis(1_000);

/// Interval of the pings that have the gate confirm how fresh its replicas are.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum number of instances in a fleet that follows the gate's replicas instead of the key-value
/// service.
const MIN_MEMBERS_TO_FOLLOW_GATE: usize = 17;

/// Request that the gate has not decided yet.
#[derive(Debug)]
struct Pending {
    request: SlotRequest,
    quota: Trailing<DeclaredQuota>,
    /// Time from which the durations in the request count.
    requested_at: Duration,
    /// Whether the current gate confirmed that the request is queued.
    is_acknowledged: bool,
    tx: oneshot::Sender<Result<Grant, Refusal>>,
}

/// Request with a granted slot.
#[derive(Debug)]
struct Running {
    request: SlotRequest,
    upstream: UpstreamName,
}

#[derive(Debug, Default)]
struct State {
    pending: HashMap<u64, Pending>,
    running: HashMap<u64, Running>,
    /// Sender to the current gate; `None` between links.
    gate_tx: Option<UnboundedSender<ToGate>>,
    /// Usage of limits that the gate last reported.
    usage: Vec<StoredUsage>,
    /// Time at which the gate reported it.
    usage_received_at: Duration,
    /// What the gate handed over last, and when.
    hand_over: Option<ReceivedHandOver>,
    last_ping: Option<LastPing>,
}

/// What a gate handed over.
#[derive(Clone, Debug)]
struct ReceivedHandOver {
    hand_over: Arc<HandOver>,
    at: Duration,
}

/// Asks the current gate for slots at upstreams.
#[derive(Debug)]
pub struct GateClient {
    state: Mutex<State>,
    next_number: AtomicU64,
    instance: InstanceName,
    members: SharedMembers,
    replicas: Arc<Replicas>,
    host: Arc<GateHost>,
    /// Whether the gate is at this instance.
    is_gate_here: AtomicBool,
}

/// Last ping sent on a link.
#[derive(Clone, Copy, Debug)]
struct LastPing {
    number: u64,
    at: Duration,
}

impl GateClient {
    /// Creates a client without a link; [`run`](Self::run) connects it.
    pub fn new(
        instance: InstanceName,
        members: SharedMembers,
        replicas: Arc<Replicas>,
        host: Arc<GateHost>,
    ) -> Self {
        Self {
            state: Mutex::default(),
            next_number: AtomicU64::new(0),
            instance,
            members,
            replicas,
            host,
            is_gate_here: AtomicBool::new(false),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the gate hands out slots and limits. It does not if it is at this instance
    /// and knows no instance of the fleet.
    pub fn can_get_slots(&self) -> bool {
        !self.is_gate_here.load(Ordering::Relaxed) || self.host.grants_slots()
    }

    /// Asks for a slot for a request, whose workspace has this limit if it is known; the request is
    /// sent again on the next link if this one fails.
    pub fn request_slot(
        self: &Arc<Self>,
        now: Duration,
        mut request: SlotRequest,
        quota: Option<DeclaredQuota>,
    ) -> PendingSlot {
        let quota = Trailing(quota);
        let known = self.host.known_stream(now, &request);
        let number = self.next_number();
        request.number_attempt(number);
        let (tx, rx) = oneshot::channel();
        let mut state = self.state();
        if let Some(known) = known {
            state.send(ToGate::Streams(known, Trailing(None)));
        }
        state.send(ToGate::RequestSlot { number, request: request.clone(), quota });
        let pending = Pending { request, quota, requested_at: now, is_acknowledged: false, tx };
        state.pending.insert(number, pending);
        PendingSlot::new(self.clone(), number, rx)
    }

    /// Returns the number of the last attempt to get a slot.
    pub fn last_attempt(&self) -> u64 {
        self.next_number.load(Ordering::Relaxed).saturating_sub(1)
    }

    /// Gives later attempts higher numbers than one of another instance, which tried to get a slot
    /// for the same stream before.
    pub fn number_attempts_after(&self, attempt: u64) {
        self.next_number.fetch_max(attempt.saturating_add(1), Ordering::Relaxed);
    }

    fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Reports the first event of a response, and the load in it.
    pub(super) fn first_output(&self, number: u64, took: Duration, load: Option<ReceivedLoad>) {
        self.state().send(ToGate::FirstOutput { number, took, load: Trailing(load) });
    }

    /// Reports the limit in the head of a response; `None` if it names none.
    pub(super) fn rate_limit(&self, number: u64, per_s: Option<f64>) {
        self.state().send(ToGate::RateLimit { number, per_s });
    }

    /// Reports that an upstream may crash if it has to decline requests.
    pub(super) fn brittle(&self, number: u64) {
        self.state().send(ToGate::Brittle { number });
    }

    /// Ends a request that waits or has a slot. The status of an error response is told only where
    /// roll-outs are handled.
    pub(super) fn end(&self, number: u64, end: End, mut details: EndDetails) {
        if !self.host.handles_roll_outs() {
            details.error_status = Trailing(None);
        }
        let mut state = self.state();
        let was_pending = state.pending.remove(&number).is_some();
        let was_running = state.running.remove(&number).is_some();
        if was_pending || was_running {
            state.send(ToGate::End { number, end, details });
        }
    }

    fn handle(&self, message: FromGate) {
        let mut state = self.state();
        match message {
            FromGate::Granted { number, grant } => {
                let Some(pending) = state.pending.remove(&number) else { return };
                self.host.note_stream(clock::now(), &pending.request, &grant);
                let running =
                    Running { request: pending.request, upstream: grant.upstream.clone() };
                state.running.insert(number, running);
                // The receiver is dropped only together with its request, whose end is reported
                // too.
                let _ = pending.tx.send(Ok(grant));
            }
            FromGate::Refused { number, refusal } => {
                if let Some(pending) = state.pending.remove(&number) {
                    let _ = pending.tx.send(Err(refusal));
                }
            }
            FromGate::Queued { number } => {
                if let Some(pending) = state.pending.get_mut(&number) {
                    pending.is_acknowledged = true;
                }
            }
            FromGate::Usage(usage) => {
                state.usage = usage;
                state.usage_received_at = clock::now();
            }
            FromGate::HandOver(hand_over) => {
                state.hand_over = Some(ReceivedHandOver { hand_over, at: clock::now() });
            }
            FromGate::Streams(known, roll_outs) => {
                let now = clock::now();
                self.host.learn_streams(now, &known);
                self.host.learn_roll_outs(now, &roll_outs);
            }
            FromGate::Update(update) => {
                let update = Arc::unwrap_or_clone(update);
                self.replicas.get(update.topic).push_update(update);
            }
            FromGate::Pong { number, ages } => {
                if let Some(ping) = state.last_ping.filter(|ping| ping.number == number) {
                    self.confirm_replicas(ping.at, &ages);
                }
            }
        }
    }

    /// Notes how fresh the gate's replicas were when it answered a ping; it sent all their changes
    /// before the pong.
    fn confirm_replicas(&self, pinged_at: Duration, ages: &ByTopic<Option<Duration>>) {
        for topic in Topic::ALL {
            if let Some(age) = ages.get(topic) {
                self.replicas.get(topic).confirm_by_gate(pinged_at.saturating_sub(*age));
            }
        }
    }

    /// Returns the revisions after which the gate is to send updates.
    fn followed_revisions(&self) -> ByTopic<Option<Revision>> {
        if self.follows_gate() { self.replicas.revisions() } else { ByTopic::default() }
    }

    /// Returns whether the fleet is large enough to follow the gate's replicas instead of the
    /// key-value service.
    fn follows_gate(&self) -> bool {
        self.members.load().len() >= MIN_MEMBERS_TO_FOLLOW_GATE
    }

    fn ping(&self, now: Duration) {
        let follow = self.followed_revisions();
        let mut state = self.state();
        let number = state.last_ping.map_or(0, |ping| ping.number + 1);
        state.last_ping = Some(LastPing { number, at: now });
        state.send(ToGate::Ping { number, follow });
    }

    /// Returns whether the gate must be pinged: it sent nothing for [`PING_AFTER`], it was sent
    /// nothing for [`PING_AFTER_UNSENT`], or its confirmation is due.
    fn is_ping_due(&self, now: Duration, silence: Duration, unsent: Duration) -> bool {
        let last = self.state().last_ping.map_or(Duration::ZERO, |ping| ping.at);
        let since = now.saturating_sub(last);
        let is_confirmation_due = since >= CONFIRMATION_INTERVAL && self.follows_gate();
        silence >= PING_AFTER || unsent >= PING_AFTER_UNSENT || is_confirmation_due
    }

    /// Opens a link and reports all running and queued requests on it.
    fn open_link(&self) -> UnboundedReceiver<ToGate> {
        let (tx, rx) = unbounded_channel();
        let now = clock::now();
        let mut state = self.state();
        state.gate_tx = Some(tx);
        let hello = ToGate::Hello {
            instance: self.instance.clone(),
            usage: state.usage.clone(),
            usage_age: now.saturating_sub(state.usage_received_at),
        };
        state.send(hello);
        if let Some(received) = state.hand_over.clone() {
            let age = now.saturating_sub(received.at);
            state.send(ToGate::HandOver { hand_over: received.hand_over, age });
        }
        let known = self.host.known_streams(now);
        state.send(ToGate::Streams(known, self.host.told_roll_outs(now)));
        let State { pending, running, gate_tx, .. } = &mut *state;
        let Some(gate_tx) = gate_tx else { return rx };
        for (number, running) in running.iter() {
            let request = running.request.clone();
            let upstream = running.upstream.clone();
            let _ = gate_tx.send(ToGate::Running { number: *number, request, upstream });
        }
        for (number, pending) in pending.iter_mut() {
            let waited = now.saturating_sub(pending.requested_at);
            pending.request.shorten_times(waited);
            // The gate before may have granted a slot without this instance having learned of it.
            pending.request.number_attempt(self.next_number());
            pending.requested_at = now;
            pending.is_acknowledged = false;
            let (request, quota) = (pending.request.clone(), pending.quota);
            let _ = gate_tx.send(ToGate::RequestSlot { number: *number, request, quota });
        }
        rx
    }
}

impl State {
    fn send(&mut self, message: ToGate) {
        if let Some(gate_tx) = &self.gate_tx {
            // A closed receiver means that the link is being replaced; the next one reports all
            // again.
            let _ = gate_tx.send(message);
        }
    }
}
