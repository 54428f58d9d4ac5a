//! The dispatcher's side of streams that callers take up again.

use std::time::Duration;

use super::{
    Dispatcher,
    known_streams::{KnownStreams, ServedVersion},
    resumptions::Resolution,
    upstream::UpstreamInfo,
    work::{Decision, Grant, SlotRequest, Ticket},
};

impl Dispatcher {
    /// Records where the stream of a request is about to run.
    pub(super) fn record_stream(&mut self, now: Duration, ticket: Ticket, grant: &Grant) {
        let Some(open) = self.open.get(&ticket) else { return };
        if let Some(stream) = open.stream {
            self.resumptions.record_grant(now, &open.service, stream, grant);
            self.resumptions.publish(now, [stream.id]);
        }
    }

    /// Queues the requests of which the software version is known by now, and refuses those that
    /// have waited too long for it.
    pub(super) fn queue_resolved(&mut self, now: Duration) -> Vec<Decision> {
        if !self.resumptions.is_waiting() {
            return Vec::new();
        }
        let resolved = self.resumptions.take_resolved(now);
        resolved
            .into_iter()
            .flat_map(|(ticket, resolution)| self.follow_resolution(now, ticket, resolution))
            .collect()
    }

    /// Queues or refuses a request by what is known of its stream.
    pub(super) fn follow_resolution(
        &mut self,
        now: Duration,
        ticket: Ticket,
        resolution: Resolution,
    ) -> Vec<Decision> {
        match resolution {
            Resolution::Queue(request) => self.queue_request(now, ticket, *request),
            Resolution::Wait => Vec::new(),
            Resolution::Refuse(refusal) => vec![Decision::Refused(ticket, refusal)],
        }
    }

    /// Notes at the instance that sends a request where its stream is about to run.
    pub fn note_stream(&mut self, now: Duration, request: &SlotRequest, grant: &Grant) {
        if let Some(stream) = request.stream {
            self.resumptions.record_grant(now, &request.service, stream, grant);
        }
    }

    /// Returns what is noted here of the stream that a request resumes, for the gate, which may
    /// know a later attempt.
    pub fn known_stream(&self, now: Duration, request: &SlotRequest) -> Option<KnownStreams> {
        let stream = request.stream.filter(|stream| stream.is_resumed)?;
        self.resumptions.export_stream(now, stream.id)
    }

    /// Records that the copy of the registry was complete at the time `at`, and queues the requests
    /// whose software version follows from it.
    pub fn confirm_registry(&mut self, now: Duration, at: Duration) -> Vec<Decision> {
        self.resumptions.confirm_registry(at);
        self.queue_resolved(now)
    }

    /// Returns whether a request waits for a registry that is complete up to its arrival.
    pub fn needs_registry(&self) -> bool {
        self.resumptions.needs_registry()
    }

    /// Records that an instance has linked to this one and may tell of streams.
    pub fn record_link(&mut self, now: Duration) {
        self.resumptions.record_link(now);
    }

    /// Notes all upstreams that are registered, also those that are not used yet: other gates may
    /// send streams to them.
    pub fn note_registered(&mut self, now: Duration, upstreams: &[UpstreamInfo]) {
        self.resumptions.set_upstreams(now, upstreams);
    }

    /// Adds the versions that were recorded before this gate took over, and queues the requests
    /// whose software version follows from it. Records of services with an `incomplete` version may
    /// be lost.
    pub fn learn_recorded(
        &mut self,
        now: Duration,
        complete: &[ServedVersion],
        incomplete: &[ServedVersion],
    ) -> Vec<Decision> {
        self.resumptions.learn_recorded(now, complete, incomplete);
        self.queue_resolved(now)
    }

    /// Returns the time for which versions that no longer serve are remembered.
    pub fn stream_retention(&self) -> Duration {
        self.resumptions.retention()
    }

    /// Returns all that is known here of streams, for another gate.
    pub fn known_streams(&self, now: Duration) -> KnownStreams {
        self.resumptions.export(now)
    }

    /// Returns the versions that served, without the streams that they began.
    pub fn served_versions(&self, now: Duration) -> KnownStreams {
        self.resumptions.export_versions(now)
    }

    /// Returns what must be known of streams if all instances end together: nothing while each
    /// service has upstreams of one software version, and had within the time in which callers may
    /// take streams up.
    pub fn mixed_streams(&self, now: Duration) -> KnownStreams {
        self.mixed_streams_since(now, Duration::ZERO)
    }

    /// As [`mixed_streams`](Self::mixed_streams), with the streams that were noted at `since` or
    /// later.
    pub fn mixed_streams_since(&self, now: Duration, since: Duration) -> KnownStreams {
        if self.has_mixed_software(now) {
            self.resumptions.export_mixed(now, since)
        } else {
            KnownStreams::default()
        }
    }

    /// Returns whether some service has upstreams of several software versions, or had within the
    /// time in which callers may take streams up.
    pub fn has_mixed_software(&self, now: Duration) -> bool {
        self.resumptions.has_mixed(now)
    }

    /// Returns the streams that other instances must know of and were not returned before.
    pub fn take_unpublished_streams(&mut self, now: Duration) -> KnownStreams {
        self.resumptions.take_unpublished(now)
    }

    /// Returns whether there are streams that other instances must be told of.
    pub fn has_unpublished_streams(&self) -> bool {
        self.resumptions.has_unpublished()
    }

    /// Returns a number that changes when something else must be known of streams.
    pub fn streams_version(&self) -> u64 {
        self.resumptions.version()
    }

    /// Adds what the gate knows of streams.
    pub fn learn_streams(&mut self, now: Duration, known: &KnownStreams) {
        self.resumptions.import(now, known);
    }

    /// Adds what an instance or an earlier gate knows of streams, which others must know, too.
    pub fn take_over_streams(&mut self, now: Duration, known: &KnownStreams) -> Vec<Decision> {
        let new = self.resumptions.import(now, known);
        self.resumptions.publish(now, new);
        self.queue_resolved(now)
    }
}
