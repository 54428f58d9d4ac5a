//! Chooses the gate, connects to it and exchanges messages with it until the link fails or another
//! instance takes precedence.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use futures_util::StreamExt;
use log::{info, warn};
use tokio::{
    sync::mpsc::{UnboundedReceiver, unbounded_channel},
    time::{interval, timeout},
};

use super::GateClient;
use crate::{
    clock,
    gate::{
        liveness::Liveness,
        message::{Frames, ToGate, decode, frames, send_all},
        suspects::Suspects,
    },
    members::Member,
    net,
};

/// Time limit of connecting to a gate.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Interval of the checks of the link and of the choice of gate.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time limit of writing to the gate.
const WRITE_TIMEOUT: Duration = Duration::from_millis(300);

/// Reason for closing a link to a working gate: another instance takes precedence.
const MOVED: &str = "moved";

impl GateClient {
    /// Keeps a link to the gate. Never returns.
    pub async fn run(self: Arc<Self>) {
        let mut suspects = Suspects::default();
        // Whether another gate must be told what this instance learned while it was the gate.
        let mut was_gate = false;
        loop {
            let candidate = self.first_candidate(clock::now(), &suspects);
            let remote = candidate.filter(|member| member.instance != self.instance);
            let Some(member) = remote else {
                self.link_to_self(&suspects).await;
                was_gate = true;
                continue;
            };
            let reason = self.link_to(&member, &suspects, &mut was_gate).await;
            let gate = member.instance.as_str();
            if reason == MOVED {
                info!(gate; "Another instance takes precedence as the gate.");
            } else {
                warn!(gate, reason; "The link to the gate failed; the next candidate is tried.");
                suspects.add(clock::now(), member);
            }
        }
    }

    /// Keeps a link to another instance, which is the gate, until the link ends; returns the reason
    /// for the log.
    async fn link_to(
        &self,
        member: &Member,
        suspects: &Suspects,
        was_gate: &mut bool,
    ) -> &'static str {
        let Ok(stream) = net::connect(member.peer_address, CONNECT_TIMEOUT).await else {
            return "unreachable";
        };
        info!(gate = member.instance.as_str(); "The gate is at another instance.");
        let mut frames = frames(stream);
        let rx = self.open_link();
        if std::mem::take(was_gate) {
            self.pass_on_own_hand_over(clock::now());
        }
        let reason = self.exchange(member, suspects, &mut frames, rx).await;
        self.state().gate_tx = None;
        reason
    }

    async fn exchange(
        &self,
        member: &Member,
        suspects: &Suspects,
        frames: &mut Frames,
        mut rx: UnboundedReceiver<ToGate>,
    ) -> &'static str {
        let mut check = interval(CHECK_INTERVAL);
        let mut liveness = Liveness::new(clock::now());
        let mut sent_at = clock::now();
        loop {
            tokio::select! {
                next = frames.next() => match next {
                    Some(Ok(bytes)) => match decode(&bytes) {
                        Ok(message) => {
                            liveness.record_message(clock::now());
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
                    sent_at = clock::now();
                }
                _ = check.tick() => {
                    let now = clock::now();
                    if liveness.has_failed(now, self.unacknowledged_since()) {
                        return "silent";
                    }
                    if !self.is_first_candidate(now, member, suspects) {
                        return MOVED;
                    }
                    let unsent = now.saturating_sub(sent_at);
                    if self.is_ping_due(now, liveness.silence(now), unsent) {
                        self.ping(now);
                    }
                }
            }
        }
    }

    /// Returns whether a member is still the [`first_candidate`](Self::first_candidate), with the
    /// same process.
    fn is_first_candidate(&self, now: Duration, member: &Member, suspects: &Suspects) -> bool {
        self.first_candidate(now, suspects).is_some_and(|first| {
            first.instance == member.instance && first.incarnation == member.incarnation
        })
    }

    /// Returns the instance that is to act as the gate: the first candidate that is not suspected.
    /// This one is left out until it has read the entries of upstreams.
    fn first_candidate(&self, now: Duration, suspects: &Suspects) -> Option<Member> {
        let members = self.members.load();
        let is_usable = |member: &&Member| {
            !suspects.contains(now, member)
                && (member.instance != self.instance || self.host.has_entries())
        };
        members.gate_candidates().find(is_usable).cloned()
    }

    /// Returns the time at which the oldest request without an acknowledgement was sent.
    fn unacknowledged_since(&self) -> Option<Duration> {
        let state = self.state();
        let open = state.pending.values().filter(|pending| !pending.is_acknowledged);
        open.map(|pending| pending.requested_at).min()
    }

    /// Keeps a link to the host of this instance while no other instance takes precedence.
    async fn link_to_self(&self, suspects: &Suspects) {
        info!("The gate is at this instance.");
        let (tx, mut from_gate) = unbounded_channel();
        let link = self.host.connect(tx);
        self.is_gate_here.store(true, Ordering::Relaxed);
        let mut rx = self.open_link();
        let mut check = interval(CHECK_INTERVAL);
        loop {
            tokio::select! {
                Some(message) = rx.recv() => self.host.handle(clock::now(), link, message),
                Some(message) = from_gate.recv() => self.handle(message),
                _ = check.tick() => {
                    let now = clock::now();
                    self.host.hear(now, link);
                    if self.prefers_other(now, suspects) {
                        break;
                    }
                }
            }
        }
        self.state().gate_tx = None;
        self.is_gate_here.store(false, Ordering::Relaxed);
        self.host.disconnect(clock::now(), link);
    }

    /// Returns whether another instance takes precedence as the gate.
    fn prefers_other(&self, now: Duration, suspects: &Suspects) -> bool {
        self.first_candidate(now, suspects).is_some_and(|member| member.instance != self.instance)
    }

    /// Tells another gate what this instance learned while it was the gate.
    fn pass_on_own_hand_over(&self, now: Duration) {
        let hand_over = self.host.hand_over(now);
        if !hand_over.is_empty() {
            let hand_over = Arc::new(hand_over);
            self.state().send(ToGate::HandOver { hand_over, age: Duration::ZERO });
        }
    }
}
