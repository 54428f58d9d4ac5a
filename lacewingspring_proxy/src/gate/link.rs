//! The side of the gate that asks: keeps a link to the instance that decides.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use futures_util::StreamExt;
use lacewingspring_core::{
    dispatch::{End, Grant, Reason, Refusal, SlotRequest, StoredUsage},
    names::{InstanceName, UpstreamName},
};
use log::{info, warn};
use tokio::{
    sync::{
        mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
        oneshot,
    },
    time::{interval, timeout},
};

use super::{
    host::Host,
    message::{Frames, FromGate, ToGate, decode, frames, send_all},
};
use crate::{
    clock,
    members::{Member, SharedMembers},
    net,
    replica::{ByTopic, Replicas, Topic},
};

/// Longest time to connect to a gate.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Time between looks at the link.
const CHECK: Duration = Duration::from_millis(200);

/// Silence after which a gate is asked for a sign of life.
const QUIET: Duration = Duration::from_millis(400);

/// Time between questions for a proof that the gate's copies are fresh.
const PROOF_INTERVAL: Duration = Duration::from_millis(500);

/// Instances from which on the gate follows the key-value service for the others.
const FOLLOW_GATE_FROM: usize = 17;

/// Silence after which a gate is taken to be dead.
const SILENT: Duration = Duration::from_millis(1_000);

/// Time in which a gate answers an ask.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which a gate that failed is not tried again.
const SUSPICION: Duration = Duration::from_millis(1_500);

/// Time in which a message is written.
const WRITE_TIMEOUT: Duration = Duration::from_millis(300);

/// Reason for which a sound gate is given up.
const MOVED: &str = "moved";

/// Instances that failed as a gate a short time ago.
#[derive(Debug, Default)]
struct Suspects(HashMap<(InstanceName, u64), Duration>);

impl Suspects {
    fn add(&mut self, now: Duration, member: Member) {
        self.0.retain(|_, until| *until > now);
        self.0.insert((member.instance, member.incarnation), now + SUSPICION);
    }

    fn contains(&self, now: Duration, member: &Member) -> bool {
        let until = self.0.get(&(member.instance.clone(), member.incarnation));
        until.is_some_and(|until| *until > now)
    }
}

#[derive(Debug)]
struct Pending {
    ask: SlotRequest,
    asked_at: Duration,
    is_known: bool,
    tx: oneshot::Sender<Result<Grant, Refusal>>,
}

#[derive(Debug)]
struct Running {
    ask: SlotRequest,
    upstream: UpstreamName,
}

#[derive(Debug, Default)]
struct State {
    pending: HashMap<u64, Pending>,
    running: HashMap<u64, Running>,
    out: Option<UnboundedSender<ToGate>>,
    /// What the gate gave out of limits, as it told last.
    usage: Vec<StoredUsage>,
    /// When it told.
    usage_at: Duration,
    pinged: Option<Pinged>,
}

/// Asks the gate for slots.
#[derive(Debug)]
pub struct Gate {
    state: Mutex<State>,
    next: AtomicU64,
    instance: InstanceName,
    members: SharedMembers,
    replicas: Arc<Replicas>,
    host: Arc<Host>,
}

/// The last ping on a link.
#[derive(Clone, Copy, Debug)]
struct Pinged {
    number: u64,
    at: Duration,
}

/// A request that waits for a slot.
#[derive(Debug)]
pub struct Waiting {
    gate: Arc<Gate>,
    number: u64,
    rx: oneshot::Receiver<Result<Grant, Refusal>>,
    is_settled: bool,
}

/// A slot at an upstream; it is given back when dropped.
#[derive(Debug)]
pub struct Slot {
    gate: Arc<Gate>,
    number: u64,
    grant: Grant,
    is_ended: bool,
}

impl Gate {
    /// Creates a link that is not connected yet.
    pub fn new(
        instance: InstanceName,
        members: SharedMembers,
        replicas: Arc<Replicas>,
        host: Arc<Host>,
    ) -> Self {
        Self { state: Mutex::default(), next: AtomicU64::new(0), instance, members, replicas, host }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Asks for a slot.
    pub fn ask(self: &Arc<Self>, now: Duration, ask: SlotRequest) -> Waiting {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        let mut state = self.state();
        state.send(ToGate::Ask { number, ask: ask.clone() });
        state.pending.insert(number, Pending { ask, asked_at: now, is_known: false, tx });
        Waiting { gate: self.clone(), number, rx, is_settled: false }
    }

    fn end(&self, number: u64, end: End) {
        let mut state = self.state();
        let was_pending = state.pending.remove(&number).is_some();
        let was_running = state.running.remove(&number).is_some();
        if was_pending || was_running {
            state.send(ToGate::End { number, end });
        }
    }

    fn handle(&self, message: FromGate) {
        let mut state = self.state();
        match message {
            FromGate::Granted { number, grant } => {
                let Some(pending) = state.pending.remove(&number) else { return };
                let running = Running { ask: pending.ask, upstream: grant.upstream.clone() };
                state.running.insert(number, running);
                // The receiver is gone only together with its request, whose end is told too.
                let _ = pending.tx.send(Ok(grant));
            }
            FromGate::Refused { number, refusal } => {
                if let Some(pending) = state.pending.remove(&number) {
                    let _ = pending.tx.send(Err(refusal));
                }
            }
            FromGate::Waits { number } => {
                if let Some(pending) = state.pending.get_mut(&number) {
                    pending.is_known = true;
                }
            }
            FromGate::Usage(usage) => {
                state.usage = usage;
                state.usage_at = clock::now();
            }
            FromGate::Update(update) => {
                let update = Arc::unwrap_or_clone(update);
                self.replicas.of(update.topic).tell(update);
            }
            FromGate::Pong { number, ages } => {
                if let Some(pinged) = state.pinged.filter(|pinged| pinged.number == number) {
                    self.take_proof(pinged.at, &ages);
                }
            }
        }
    }

    /// Notes how fresh the gate's copies were when it answered a ping, whose changes were told
    /// before that answer.
    fn take_proof(&self, pinged_at: Duration, ages: &ByTopic<Option<Duration>>) {
        for topic in Topic::ALL {
            if let Some(age) = ages.get(topic) {
                self.replicas.of(topic).prove(pinged_at.saturating_sub(*age));
            }
        }
    }

    /// Returns the revisions after which the gate is to tell of changes.
    fn follows(&self) -> ByTopic<Option<u64>> {
        if self.is_following() { self.replicas.revisions() } else { ByTopic::default() }
    }

    /// Returns whether the fleet is so large that the gate follows the service for the others.
    fn is_following(&self) -> bool {
        self.members.load().len() >= FOLLOW_GATE_FROM
    }

    fn ping(&self, now: Duration) {
        let follow = self.follows();
        let mut state = self.state();
        let number = state.pinged.map_or(0, |pinged| pinged.number + 1);
        state.pinged = Some(Pinged { number, at: now });
        state.send(ToGate::Ping { number, follow });
    }

    /// Returns whether the gate is to be asked for a sign of life or a proof.
    fn must_ping(&self, now: Duration, silence: Duration) -> bool {
        let last = self.state().pinged.map_or(Duration::ZERO, |pinged| pinged.at);
        let since = now.saturating_sub(last);
        let is_proof_due = since >= PROOF_INTERVAL && self.is_following();
        silence >= QUIET || is_proof_due
    }

    /// Keeps a link to the gate for ever.
    pub async fn run(self: Arc<Self>) {
        let mut suspects = Suspects::default();
        loop {
            let candidate = self.first(clock::now(), &suspects);
            let remote = candidate.filter(|member| member.instance != self.instance);
            let Some(member) = remote else {
                self.link_here(&suspects).await;
                continue;
            };
            let reason = self.link_to(&member, &suspects).await;
            let gate = member.instance.as_str();
            if reason == MOVED {
                info!(gate; "The gate is given up for another.");
            } else {
                warn!(gate, reason; "The link to the gate failed.");
                suspects.add(clock::now(), member);
            }
        }
    }

    /// Uses another instance's gate until that ends; returns why.
    async fn link_to(&self, member: &Member, suspects: &Suspects) -> &'static str {
        let Ok(stream) = net::connect(member.peers, CONNECT_TIMEOUT).await else {
            return "unreachable";
        };
        info!(gate = member.instance.as_str(); "The gate is at another instance.");
        let mut frames = frames(stream);
        let rx = self.open();
        let reason = self.exchange(member, suspects, &mut frames, rx).await;
        self.state().out = None;
        reason
    }

    async fn exchange(
        &self,
        member: &Member,
        suspects: &Suspects,
        frames: &mut Frames,
        mut rx: UnboundedReceiver<ToGate>,
    ) -> &'static str {
        let mut check = interval(CHECK);
        let mut heard_at = clock::now();
        loop {
            tokio::select! {
                next = frames.next() => match next {
                    Some(Ok(bytes)) => match decode(&bytes) {
                        Ok(message) => {
                            heard_at = clock::now();
                            self.handle(message);
                        }
                        Err(_) => return "unreadable",
                    },
                    Some(Err(_)) | None => return "closed",
                },
                Some(message) = rx.recv() => {
                    let sent = timeout(WRITE_TIMEOUT, send_all(frames, message, &mut rx)).await;
                    if !matches!(sent, Ok(Ok(()))) {
                        return "unwritable";
                    }
                }
                _ = check.tick() => {
                    let now = clock::now();
                    let silence = now.saturating_sub(heard_at);
                    if silence >= SILENT || self.is_unanswered(now) {
                        return "silent";
                    }
                    if !self.is_first(now, member, suspects) {
                        return MOVED;
                    }
                    if self.must_ping(now, silence) {
                        self.ping(now);
                    }
                }
            }
        }
    }

    /// Returns whether a member is the first that stays and isn't suspected.
    fn is_first(&self, now: Duration, member: &Member, suspects: &Suspects) -> bool {
        self.first(now, suspects).is_some_and(|first| {
            first.instance == member.instance && first.incarnation == member.incarnation
        })
    }

    fn first(&self, now: Duration, suspects: &Suspects) -> Option<Member> {
        let members = self.members.load();
        let first = members.staying().find(|member| !suspects.contains(now, member));
        first.cloned()
    }

    fn is_unanswered(&self, now: Duration) -> bool {
        let state = self.state();
        state.pending.values().any(|pending| {
            !pending.is_known && now.saturating_sub(pending.asked_at) > ANSWER_TIMEOUT
        })
    }

    /// Uses this instance's own gate while no other is to be used.
    async fn link_here(&self, suspects: &Suspects) {
        info!("The gate is at this instance.");
        let (tx, mut from_gate) = unbounded_channel();
        let link = self.host.connect(tx);
        let mut rx = self.open();
        let mut check = interval(CHECK);
        loop {
            tokio::select! {
                Some(message) = rx.recv() => self.host.handle(clock::now(), link, message),
                Some(message) = from_gate.recv() => self.handle(message),
                _ = check.tick() => {
                    if self.has_better(clock::now(), suspects) {
                        break;
                    }
                }
            }
        }
        self.state().out = None;
        self.host.disconnect(clock::now(), link);
    }

    /// Returns whether another instance comes before this one and may be tried.
    fn has_better(&self, now: Duration, suspects: &Suspects) -> bool {
        self.first(now, suspects).is_some_and(|member| member.instance != self.instance)
    }

    /// Opens a link and tells all that runs and waits.
    fn open(&self) -> UnboundedReceiver<ToGate> {
        let (tx, rx) = unbounded_channel();
        let now = clock::now();
        let mut state = self.state();
        state.out = Some(tx);
        let hello = ToGate::Hello {
            instance: self.instance.clone(),
            usage: state.usage.clone(),
            usage_age: now.saturating_sub(state.usage_at),
        };
        state.send(hello);
        let State { pending, running, out, .. } = &mut *state;
        let Some(out) = out else { return rx };
        for (number, running) in running.iter() {
            let ask = running.ask.clone();
            let upstream = running.upstream.clone();
            let _ = out.send(ToGate::Running { number: *number, ask, upstream });
        }
        for (number, pending) in pending.iter_mut() {
            let waited = now.saturating_sub(pending.asked_at);
            pending.ask.target_left = pending.ask.target_left.saturating_sub(waited);
            pending.ask.time_left = pending.ask.time_left.saturating_sub(waited);
            pending.ask.first_output_left = pending.ask.first_output_left.saturating_sub(waited);
            pending.asked_at = now;
            pending.is_known = false;
            let _ = out.send(ToGate::Ask { number: *number, ask: pending.ask.clone() });
        }
        rx
    }
}

impl State {
    fn send(&mut self, message: ToGate) {
        if let Some(out) = &self.out {
            // A closed receiver means that the link is being replaced; all is told again then.
            let _ = out.send(message);
        }
    }
}

impl Waiting {
    /// Waits for the decision.
    pub async fn decided(mut self) -> Result<Slot, Refusal> {
        let decided = (&mut self.rx).await;
        self.is_settled = true;
        let lost = Refusal::new(Reason::Overload, LOST_RETRY);
        let grant = decided.unwrap_or(Err(lost))?;
        Ok(Slot { gate: self.gate.clone(), number: self.number, grant, is_ended: false })
    }
}

/// Time after which a caller comes back whose request was dropped at the end of the process.
const LOST_RETRY: Duration = Duration::from_millis(500);

impl Drop for Waiting {
    fn drop(&mut self) {
        if !self.is_settled {
            self.gate.end(self.number, End::Cancelled);
        }
    }
}

impl Slot {
    /// Returns where the request is to be sent.
    pub fn grant(&self) -> &Grant {
        &self.grant
    }

    /// Notes the first event of the answer, `took` after the send.
    pub fn first_output(&self, took: Duration) {
        self.gate.state().send(ToGate::FirstOutput { number: self.number, took });
    }

    /// Gives the slot back.
    pub fn end(mut self, end: End) {
        self.is_ended = true;
        self.gate.end(self.number, end);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.is_ended {
            self.gate.end(self.number, End::Cancelled);
        }
    }
}
