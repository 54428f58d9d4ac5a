//! Tells other instances which software versions began which streams, so that streams can be
//! resumed when this instance is gone.

use std::{sync::Arc, time::Duration};

use lacewingspring_core::dispatch::{Grant, KnownStreams, SlotRequest};
use tokio::time::sleep;

use super::{FromGate, GateHost, Link, State, Trailing};
use crate::{clock, replica::Topic};

/// Time for which streams are gathered before other instances are told of them.
const GATHER_TIME: Duration = Duration::from_millis(20);

/// Maximum number of links over which streams are told, the longest open first.
const MAX_RECEIVERS: usize = 16;

impl GateHost {
    /// Tells other instances of streams when there are new ones. Never returns.
    pub async fn publish_streams(self: Arc<Self>) {
        loop {
            self.streams_changed.notified().await;
            sleep(GATHER_TIME).await;
            let now = clock::now();
            let mut state = self.state();
            let known = state.dispatcher.take_unpublished_streams(now);
            if !known.is_empty() {
                state.publish_streams(Arc::new(known));
            }
        }
    }

    /// Notes where a stream that is sent by this instance is about to run.
    pub fn note_stream(&self, now: Duration, request: &SlotRequest, grant: &Grant) {
        self.state().dispatcher.note_stream(now, request, grant);
    }

    /// Returns what this instance knows of the stream that a request resumes.
    pub fn known_stream(&self, now: Duration, request: &SlotRequest) -> Option<KnownStreams> {
        self.state().dispatcher.known_stream(now, request)
    }

    /// Returns all that this instance knows of streams.
    pub fn known_streams(&self, now: Duration) -> KnownStreams {
        self.state().dispatcher.known_streams(now)
    }

    /// Adds what the gate knows of streams.
    pub fn learn_streams(&self, now: Duration, known: &KnownStreams) {
        self.state().dispatcher.learn_streams(now, known);
    }

    /// Adds what an earlier gate stored of streams.
    pub fn take_over_streams(&self, now: Duration, known: &KnownStreams) {
        let mut state = self.state();
        let decisions = state.dispatcher.take_over_streams(now, known);
        state.send_decisions(decisions);
    }

    /// Returns what must be known of streams if all instances end together.
    pub fn mixed_streams(&self, now: Duration) -> KnownStreams {
        self.state().dispatcher.mixed_streams(now)
    }

    /// As [`mixed_streams`](Self::mixed_streams), of the streams that were noted at `since` or
    /// later.
    pub fn mixed_streams_since(&self, now: Duration, since: Duration) -> KnownStreams {
        self.state().dispatcher.mixed_streams_since(now, since)
    }

    /// Returns whether some service has upstreams of several software versions, or had lately.
    pub fn has_mixed_software(&self, now: Duration) -> bool {
        self.state().dispatcher.has_mixed_software(now)
    }

    /// Returns a number that changes when something else must be known of streams.
    pub fn streams_version(&self) -> u64 {
        self.state().dispatcher.streams_version()
    }

    /// Has the copy of the registry confirmed while a request waits to know its software version.
    pub(super) fn request_confirmation(&self, state: &State) {
        if state.dispatcher.needs_registry() {
            self.replicas.get(Topic::Upstreams).request_confirmation();
        }
    }

    /// Passes each confirmation of the registry on to the dispatcher. Never returns.
    pub async fn follow_confirmations(self: Arc<Self>) {
        let mut confirmations = self.replicas.get(Topic::Upstreams).confirmations();
        while confirmations.changed().await.is_ok() {
            let at = *confirmations.borrow_and_update();
            let mut state = self.state();
            let decisions = state.dispatcher.confirm_registry(clock::now(), at);
            state.send_decisions(decisions);
        }
    }
}

impl State {
    /// Tells a new link which versions served, and which streams they began if there are several
    /// and not enough other instances know them.
    pub(super) fn tell_streams(&mut self, now: Duration, link: u64) {
        let is_receiver = self.links.len() <= MAX_RECEIVERS;
        let known = if is_receiver && self.dispatcher.has_mixed_software(now) {
            self.dispatcher.mixed_streams(now)
        } else {
            self.dispatcher.served_versions(now)
        };
        self.send(link, FromGate::Streams(Arc::new(known), self.told_roll_outs(now)));
    }

    fn publish_streams(&self, known: Arc<KnownStreams>) {
        let mut links: Vec<(&u64, &Link)> = self.links.iter().collect();
        links.sort_unstable_by_key(|(id, _)| **id);
        for (_, link) in links.into_iter().take(MAX_RECEIVERS) {
            // A closed receiver means that the link is about to be removed.
            let _ = link.tx.send(FromGate::Streams(known.clone(), Trailing(None)));
        }
    }
}
