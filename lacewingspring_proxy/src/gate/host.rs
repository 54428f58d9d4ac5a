//! The side of the gate that decides.

use std::{
    collections::{BTreeSet, HashMap},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use futures_util::StreamExt;
use lacewingspring_core::{
    dispatch::{Decision, Dispatcher, Limits, ServiceCounts, StoredUsage, Ticket, UpstreamInfo},
    names::{InstanceName, ServiceName},
};
use log::{info, warn};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{
        Notify,
        mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    },
    time::{sleep, timeout},
};

use super::{
    allowance::Allowance,
    message::{Frames, FromGate, ToGate, decode, frames, send_all},
};
use crate::{
    clock,
    members::SharedMembers,
    net,
    replica::{ByTopic, Replicas, Topic, Update},
};

/// Time between looks at what waits.
const TICK: Duration = Duration::from_millis(20);

/// Silence after which an instance is taken to be gone.
const LINK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Links that are told what was given out of limits, the longest open first.
const USAGE_HOLDERS: usize = 10;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct Link {
    tx: UnboundedSender<FromGate>,
    instance: Option<InstanceName>,
    /// Revisions up to which it was told of changes; none of what it doesn't follow here.
    told: ByTopic<Option<u64>>,
}

#[derive(Debug)]
struct State {
    dispatcher: Dispatcher,
    links: HashMap<u64, Link>,
    next_link: u64,
    /// Bytes for telling others of changes.
    allowance: Allowance,
}

/// Decides for all instances that ask.
#[derive(Debug)]
pub struct Host {
    state: Mutex<State>,
    members: SharedMembers,
    replicas: Arc<Replicas>,
    waiting: Notify,
}

impl Host {
    /// Creates a host that knows no upstreams yet, on a machine whose link carries so many bytes a
    /// second; none when that isn't known.
    pub fn new(members: SharedMembers, replicas: Arc<Replicas>, link_bytes: Option<f64>) -> Self {
        let state = State {
            dispatcher: Dispatcher::default(),
            links: HashMap::new(),
            next_link: 0,
            allowance: Allowance::new(link_bytes),
        };
        Self { state: Mutex::new(state), members, replicas, waiting: Notify::new() }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the known upstreams.
    pub fn set_upstreams<I>(&self, now: Duration, upstreams: I)
    where
        I: IntoIterator<Item = UpstreamInfo>,
    {
        let mut state = self.state();
        let decisions = state.dispatcher.set_upstreams(now, upstreams);
        state.tell(decisions);
    }

    /// Replaces the declared limits.
    pub fn set_limits(&self, limits: Limits) {
        self.state().dispatcher.set_limits(limits);
    }

    /// Takes note of changed members.
    pub fn members_changed(&self, now: Duration) {
        let mut state = self.state();
        self.set_part(now, &mut state);
    }

    /// An instance that hears of most of the fleet decides for all of it, else for its part.
    fn set_part(&self, now: Duration, state: &mut State) {
        let members = self.members.load().len().max(1);
        let linked = state.links.values().filter(|link| link.instance.is_some()).count();
        let part = if linked * 2 > members { 1.0 } else { linked as f64 / members as f64 };
        if (part - state.dispatcher.fleet_fraction()).abs() > f64::EPSILON {
            info!(linked, members, share = part; "The part of the fleet that is decided here changes.");
            let decisions = state.dispatcher.set_fleet_fraction(now, part);
            state.tell(decisions);
        }
    }

    /// Opens a link; decisions are told to `tx`.
    pub fn connect(&self, tx: UnboundedSender<FromGate>) -> u64 {
        let mut state = self.state();
        let id = state.next_link;
        state.next_link += 1;
        state.links.insert(id, Link { tx, instance: None, told: ByTopic::default() });
        id
    }

    /// Closes a link; its requests are ended.
    pub fn disconnect(&self, now: Duration, id: u64) {
        let mut state = self.state();
        state.links.remove(&id);
        self.note_followers(&state);
        let decisions = state.dispatcher.end_link(now, id);
        state.tell(decisions);
        self.set_part(now, &mut state);
    }

    /// Takes a message of a link.
    pub fn handle(&self, now: Duration, link: u64, message: ToGate) {
        if let ToGate::Ping { number, follow } = message {
            self.answer_ping(now, link, number, follow);
            return;
        }
        let mut state = self.state();
        let ticket = |number| Ticket { link, number };
        let decisions = match message {
            ToGate::Hello { instance, usage, usage_age } => {
                if let Some(known) = state.links.get_mut(&link) {
                    known.instance = Some(instance);
                }
                self.set_part(now, &mut state);
                state.dispatcher.learn_usage(now, usage_age, &usage);
                Vec::new()
            }
            ToGate::Running { number, ask, upstream } => {
                state.dispatcher.adopt(now, ticket(number), &ask, upstream);
                Vec::new()
            }
            ToGate::Ask { number, ask } => {
                let decisions = state.dispatcher.request_slot(now, ticket(number), ask);
                if !decisions.iter().any(|decision| of(decision) == ticket(number)) {
                    state.send(link, FromGate::Waits { number });
                    self.waiting.notify_one();
                }
                decisions
            }
            ToGate::FirstOutput { number, took } => {
                state.dispatcher.first_output(ticket(number), took);
                Vec::new()
            }
            ToGate::End { number, end } => state.dispatcher.end(now, ticket(number), end),
            ToGate::Ping { .. } => Vec::new(),
        };
        state.tell(decisions);
    }

    /// Tells a link of what it doesn't know yet, and how fresh that is.
    fn answer_ping(&self, now: Duration, link: u64, number: u64, follow: ByTopic<Option<u64>>) {
        let Some(told) = self.subscribe(link, &follow) else { return };
        let updates = self.updates_after(now, &told);
        let mut state = self.state();
        let State { links, allowance, .. } = &mut *state;
        let Some(known) = links.get_mut(&link) else { return };
        let mut ages = ByTopic::default();
        for update in updates {
            let topic = update.topic;
            if known.tell(now, allowance, Arc::new(update)) {
                *ages.get_mut(topic) = self.replicas.of(topic).age(now);
            }
        }
        // A closed receiver means that the link is about to be removed.
        let _ = known.tx.send(FromGate::Pong { number, ages });
        self.note_followers(&state);
    }

    /// Notes what a link follows here; returns the revisions up to which it was told.
    fn subscribe(&self, link: u64, follow: &ByTopic<Option<u64>>) -> Option<ByTopic<Option<u64>>> {
        let mut state = self.state();
        let known = state.links.get_mut(&link)?;
        for topic in Topic::ALL {
            let told = known.told.get_mut(topic);
            // What was told may still be on its way, so that a link can be behind what it was told.
            *told = follow.get(topic).map(|at| told.unwrap_or_default().max(at));
        }
        Some(known.told)
    }

    /// Returns what changed in each topic that is followed and covered.
    ///
    /// Called without the lock of the state, as a changed copy is handed on under its own lock.
    fn updates_after(&self, now: Duration, told: &ByTopic<Option<u64>>) -> Vec<Update> {
        let followed =
            Topic::ALL.into_iter().filter_map(|topic| Some((topic, (*told.get(topic))?)));
        followed.filter_map(|(topic, from)| self.replicas.update_after(now, topic, from)).collect()
    }

    fn note_followers(&self, state: &State) {
        self.replicas.set_followed(state.links.values().any(Link::is_following));
    }

    /// Tells those that follow the copies here of changes, for ever.
    pub async fn tell_changes(self: Arc<Self>) {
        let mut changes = self.replicas.changes();
        while changes.changed().await.is_ok() {
            let now = clock::now();
            for topic in Topic::ALL {
                self.tell_topic(now, topic);
            }
        }
    }

    fn tell_topic(&self, now: Duration, topic: Topic) {
        let told = |link: &Link| *link.told.get(topic);
        let revisions: BTreeSet<u64> = self.state().links.values().filter_map(told).collect();
        for from in revisions {
            let Some(update) = self.replicas.update_after(now, topic, from) else { continue };
            let update = Arc::new(update);
            let mut state = self.state();
            let State { links, allowance, .. } = &mut *state;
            for link in links.values_mut().filter(|link| told(link) == Some(from)) {
                link.tell(now, allowance, update.clone());
            }
        }
    }

    /// Returns whether most of the fleet asks here.
    pub fn is_main(&self) -> bool {
        let state = self.state();
        state.dispatcher.fleet_fraction() >= 1.0 && !state.links.is_empty()
    }

    /// Learns what an earlier gate gave out of limits.
    pub fn learn_usage(&self, now: Duration, usage: &[StoredUsage]) {
        self.state().dispatcher.learn_usage(now, Duration::ZERO, usage);
    }

    /// Returns whether so much was given out of a limit that it is to be told at once.
    pub fn must_tell_usage(&self) -> bool {
        self.state().dispatcher.must_publish_usage()
    }

    /// Returns what was given out of limits, and tells it to a few instances, whose word the next
    /// gate takes.
    pub fn tell_usage(&self, now: Duration) -> Vec<StoredUsage> {
        let mut state = self.state();
        let usage = state.dispatcher.usage(now);
        let mut links: Vec<(&u64, &Link)> = state.links.iter().collect();
        links.sort_unstable_by_key(|(id, _)| **id);
        for (_, link) in links.into_iter().take(USAGE_HOLDERS) {
            // A closed receiver means that the link is about to be removed.
            let _ = link.tx.send(FromGate::Usage(usage.clone()));
        }
        usage
    }

    /// Returns the counts of each service.
    pub fn counts(&self) -> Vec<(ServiceName, ServiceCounts)> {
        let state = self.state();
        state.dispatcher.counts().map(|(name, counts)| (name.clone(), counts)).collect()
    }

    /// Looks at what waits, for ever.
    pub async fn tick(self: Arc<Self>) {
        loop {
            if !self.state().dispatcher.is_waiting() {
                self.waiting.notified().await;
            }
            sleep(TICK).await;
            let mut state = self.state();
            let decisions = state.dispatcher.tick(clock::now());
            state.tell(decisions);
        }
    }

    /// Serves other instances for ever.
    ///
    /// # Errors
    ///
    /// Fails when the address is taken.
    pub async fn serve(self: Arc<Self>, address: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(address).await?;
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(self.clone().serve_link(stream));
                }
                Err(e) => {
                    warn!(error:% = e; "A connection of an instance was not accepted.");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn serve_link(self: Arc<Self>, stream: TcpStream) {
        if let Err(e) = net::tune(&stream) {
            warn!(error:% = e; "A connection of an instance was not set up.");
            return;
        }
        let (tx, rx) = unbounded_channel();
        let link = self.connect(tx);
        let reason = self.exchange(link, frames(stream), rx).await;
        info!(link, reason; "The link of an instance is closed.");
        self.disconnect(clock::now(), link);
    }

    /// Exchanges messages until the link ends; returns why it ended.
    async fn exchange(
        &self,
        link: u64,
        mut frames: Frames,
        mut rx: UnboundedReceiver<FromGate>,
    ) -> &'static str {
        loop {
            tokio::select! {
                next = timeout(LINK_TIMEOUT, frames.next()) => match next {
                    Ok(Some(Ok(bytes))) => match decode(&bytes) {
                        Ok(message) => self.handle(clock::now(), link, message),
                        Err(_) => return "unreadable",
                    },
                    Ok(Some(Err(_)) | None) => return "closed",
                    Err(_) => return "silent",
                },
                Some(message) = rx.recv() => {
                    let sent = timeout(LINK_TIMEOUT, send_all(&mut frames, message, &mut rx));
                    if !matches!(sent.await, Ok(Ok(()))) {
                        return "unwritable";
                    }
                }
            }
        }
    }
}

impl Link {
    fn is_following(&self) -> bool {
        Topic::ALL.iter().any(|topic| self.told.get(*topic).is_some())
    }

    /// Tells of changes, if there are any; returns whether all was told.
    ///
    /// What the machine's link can't carry is not told; the other end follows the service then,
    /// until it asks again.
    fn tell(&mut self, now: Duration, allowance: &mut Allowance, update: Arc<Update>) -> bool {
        if update.is_empty() {
            return true;
        }
        let is_told = allowance.spend(now, update.len());
        *self.told.get_mut(update.topic) = is_told.then_some(update.at);
        if is_told {
            // A closed receiver means that the link is about to be removed.
            let _ = self.tx.send(FromGate::Update(update));
        }
        is_told
    }
}

impl State {
    fn tell(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            let link = of(&decision).link;
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

    fn send(&mut self, link: u64, message: FromGate) {
        let Some(known) = self.links.get(&link) else { return };
        // A closed receiver means that the link is about to be removed.
        let _ = known.tx.send(message);
    }
}

fn of(decision: &Decision) -> Ticket {
    match decision {
        Decision::Granted(ticket, _) | Decision::Refused(ticket, _) => *ticket,
    }
}
