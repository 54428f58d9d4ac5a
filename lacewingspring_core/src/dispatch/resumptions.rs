//! Requests that take a stream up again, which may go on only at the software version that began
//! it.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    finding::Finding,
    known_streams::{KnownStreams, ServedVersion, UpstreamProcess},
    stream_versions::StreamVersions,
    upstream::UpstreamInfo,
    work::{Grant, Reason, Refusal, SlotRequest, StreamRef, Ticket},
};
use crate::names::{ServiceName, SoftwareVersion};

/// Longest wait of a request until the version that began its stream is known.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Time after a link was opened in which it may still tell which version began a stream.
const LINK_SETTLE_TIME: Duration = Duration::from_secs(2);

/// Time after which the caller of a stream whose version is not known may retry: an instance that
/// knows it may be linked by then.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The versions at which streams may have begun of which this gate has no record.
#[derive(Debug)]
struct RecordedPast {
    at: Duration,
    /// Versions by service; a service that is missing had no streams.
    services: BTreeMap<ServiceName, BTreeSet<SoftwareVersion>>,
    /// Services of which further versions may have served.
    incomplete: BTreeSet<ServiceName>,
    /// Whether all streams that began since are known here.
    is_current: bool,
}

/// A request whose version is not known yet.
#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    request: SlotRequest,
    since: Duration,
    until: Duration,
}

/// What follows for a request.
#[derive(Debug)]
pub(super) enum Resolution {
    /// It may be queued.
    Queue(Box<SlotRequest>),
    /// It waits until the version is known.
    Wait,
    /// The version is not known.
    Refuse(Refusal),
}

/// Which versions began the streams that callers may take up, and the requests that wait to know
/// it.
#[derive(Debug, Default)]
pub(super) struct Resumptions {
    streams: StreamVersions,
    waiting: Vec<Waiting>,
    findings: Vec<Finding>,
    /// Time since which all versions that served are known; `None` before the first update of the
    /// registry.
    knows_since: Option<Duration>,
    /// What was recorded when this gate took over; `None` before it is loaded.
    recorded: Option<RecordedPast>,
    /// Whether all instances that may grant slots are linked here.
    sees_all: bool,
    linked_at: Option<Duration>,
    /// Latest time for which the copy of the registry is known to be complete.
    registry_complete_at: Option<Duration>,
}

impl Resumptions {
    /// Applies a change of the registered upstreams.
    pub fn set_upstreams(&mut self, now: Duration, infos: &[UpstreamInfo]) {
        self.knows_since.get_or_insert(now);
        self.streams.set_upstreams(now, infos);
        self.note_newly_mixed(now);
    }

    fn note_newly_mixed(&mut self, now: Duration) {
        let services = self.streams.take_newly_mixed(now).into_iter();
        self.findings.extend(services.map(|service| Finding::SeveralVersions { service }));
    }

    /// Records that the copy of the registry was complete at the time `at`.
    pub fn confirm_registry(&mut self, at: Duration) {
        self.registry_complete_at = self.registry_complete_at.max(Some(at));
    }

    /// Returns whether a waiting request depends on a registry that is complete up to its arrival.
    pub fn needs_registry(&self) -> bool {
        self.waiting.iter().any(|waiting| !self.is_registry_complete_since(waiting.since))
    }

    fn is_registry_complete_since(&self, since: Duration) -> bool {
        self.registry_complete_at.is_some_and(|at| at >= since)
    }

    /// Records that a link was opened, which may tell of streams.
    pub fn record_link(&mut self, now: Duration) {
        self.linked_at = Some(now);
    }

    /// Decides on a request by what is known of its stream.
    pub fn resolve(
        &mut self,
        now: Duration,
        ticket: Ticket,
        mut request: SlotRequest,
    ) -> Resolution {
        let resumed = request.stream.filter(|stream| stream.is_resumed);
        let Some(stream) = resumed.filter(|_| request.software.is_none()) else {
            return Resolution::Queue(Box::new(request));
        };
        request.software = self.software_of(now, now, &request.service, stream);
        if request.software.is_some() {
            return Resolution::Queue(Box::new(request));
        }
        let may_infer = self.inferred_version(now, &request.service, stream).is_some();
        if !may_infer && !self.may_learn(now, &request.service) {
            return Resolution::Refuse(unknown(&request));
        }
        let until = now + MAX_WAIT.min(request.time_left);
        self.waiting.push(Waiting { ticket, request, since: now, until });
        Resolution::Wait
    }

    /// Returns the version that began the stream of a request that arrived at `since`.
    ///
    /// Without a record of the stream it is inferred, but only from a registry that is complete up
    /// to the arrival: a version that registered later can't have begun the stream. An older copy
    /// may lack the version that did, whichever part of the fleet is scheduled here.
    fn software_of(
        &self,
        now: Duration,
        since: Duration,
        service: &ServiceName,
        stream: StreamRef,
    ) -> Option<SoftwareVersion> {
        if let Some(software) = self.streams.version_of(now, stream.id) {
            return Some(software.clone());
        }
        let inferred = self.inferred_version(now, service, stream);
        inferred.filter(|_| self.is_registry_complete_since(since)).cloned()
    }

    /// Returns the version that must have begun a stream of which there is no record, if the
    /// registry lacks none: the only one that served, or else the only one at which streams may
    /// have begun before this gate took over, as it has records of all since.
    fn inferred_version(
        &self,
        now: Duration,
        service: &ServiceName,
        stream: StreamRef,
    ) -> Option<&SoftwareVersion> {
        if !self.knows_past(now, service) || self.streams.is_ambiguous(stream.id) {
            return None;
        }
        let only = self.streams.only_version(now, service);
        only.or_else(|| self.only_recorded_version(now, service, stream.id))
    }

    fn only_recorded_version(
        &self,
        now: Duration,
        service: &ServiceName,
        stream: u64,
    ) -> Option<&SoftwareVersion> {
        let is_lasting = |past: &&RecordedPast| {
            past.is_current
                && self.sees_all
                && now.saturating_sub(past.at) < self.streams.retention()
        };
        let past = self.recorded.as_ref().filter(is_lasting)?;
        let recorded = past.services.get(service)?;
        let only = recorded.first().filter(|_| recorded.len() == 1)?;
        // A caller who returns after its time may ask for a stream that began since and of which
        // there is no record any more.
        let may_be_other = self.streams.may_be_forgotten(past.at, service, stream, only);
        (!may_be_other).then_some(only)
    }

    /// Adds the versions that are recorded as ones at which streams may have begun, as they were
    /// loaded at `now`; no version is used before it is recorded. Records of services with an
    /// `incomplete` version may be lost.
    pub fn learn_recorded(
        &mut self,
        now: Duration,
        complete: &[ServedVersion],
        incomplete: &[ServedVersion],
    ) {
        let mut services: BTreeMap<ServiceName, BTreeSet<SoftwareVersion>> = BTreeMap::new();
        for version in complete {
            services.entry(version.service.clone()).or_default().insert(version.software.clone());
        }
        let versions = [complete, incomplete].concat();
        let incomplete = incomplete.iter().map(|version| version.service.clone()).collect();
        self.recorded = Some(RecordedPast { at: now, services, incomplete, is_current: true });
        self.import(now, &KnownStreams { versions, ..KnownStreams::default() });
    }

    /// Records whether all instances that may grant slots are linked here, so that it is known
    /// where each stream begins.
    pub fn set_sees_all(&mut self, sees_all: bool) {
        if self.sees_all && !sees_all {
            self.outdate_recorded();
        }
        self.sees_all = sees_all;
    }

    /// Records that streams may have begun elsewhere since the recorded versions were loaded.
    pub fn outdate_recorded(&mut self) {
        if let Some(recorded) = &mut self.recorded {
            recorded.is_current = false;
        }
    }

    /// Returns whether all versions of a service are known that served within the longest time in
    /// which a caller may take a stream up.
    fn knows_past(&self, now: Duration, service: &ServiceName) -> bool {
        let recorded = self.recorded.as_ref();
        recorded.is_some_and(|past| !past.incomplete.contains(service))
            || self.has_followed_long(now)
    }

    fn has_followed_long(&self, now: Duration) -> bool {
        let retention = self.streams.retention();
        self.knows_since.is_some_and(|since| now.saturating_sub(since) >= retention)
    }

    /// Returns whether an instance that linked lately, or a record, may still tell the version.
    fn may_learn(&self, now: Duration, service: &ServiceName) -> bool {
        let is_settled = self.linked_at.is_none_or(|at| now.saturating_sub(at) >= LINK_SETTLE_TIME);
        !is_settled || !self.knows_past(now, service)
    }

    /// Returns whether this instance can tell others all versions that served.
    fn can_tell_past(&self, now: Duration) -> bool {
        self.recorded.as_ref().is_some_and(|past| past.incomplete.is_empty())
            || self.has_followed_long(now)
    }

    /// Returns the requests that no longer wait: those whose version is known by now, and those
    /// that have waited too long.
    pub fn take_resolved(&mut self, now: Duration) -> Vec<(Ticket, Resolution)> {
        let mut resolved = Vec::new();
        for mut waiting in std::mem::take(&mut self.waiting) {
            let Waiting { ticket, ref mut request, since, until } = waiting;
            let Some(stream) = request.stream else { continue };
            request.software = self.software_of(now, since, &request.service, stream);
            if request.software.is_some() {
                request.shorten_times(now.saturating_sub(since));
                resolved.push((ticket, Resolution::Queue(Box::new(waiting.request))));
            } else if now >= until {
                resolved.push((ticket, Resolution::Refuse(unknown(request))));
            } else {
                self.waiting.push(waiting);
            }
        }
        resolved
    }

    /// Removes a request that no longer waits.
    pub fn remove(&mut self, ticket: Ticket) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
    }

    /// Removes the requests of an instance whose connection to the gate is lost.
    pub fn end_link(&mut self, link: u64) {
        self.waiting.retain(|waiting| waiting.ticket.link != link);
    }

    /// Returns whether requests wait to know their version.
    pub fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Records where a stream is about to begin or go on.
    pub fn record_grant(
        &mut self,
        now: Duration,
        service: &ServiceName,
        stream: StreamRef,
        grant: &Grant,
    ) {
        let process = UpstreamProcess {
            service: service.clone(),
            upstream: grant.upstream.clone(),
            started_at_ms: grant.started_at_ms,
            software: grant.software.clone(),
        };
        self.streams.record(now, stream, process);
    }

    /// Marks streams as ones that other instances must know of, if their services have upstreams of
    /// several versions.
    pub fn publish<I>(&mut self, now: Duration, ids: I)
    where
        I: IntoIterator<Item = u64>,
    {
        self.streams.publish(now, ids);
    }

    /// Returns what is known of one stream.
    pub fn export_stream(&self, now: Duration, id: u64) -> Option<KnownStreams> {
        let groups = vec![self.streams.export_stream(now, id)?];
        Some(KnownStreams { groups, ..KnownStreams::default() })
    }

    /// Returns the streams that other instances must know of and were not returned before.
    pub fn take_unpublished(&mut self, now: Duration) -> KnownStreams {
        let groups = self.streams.take_unpublished(now);
        KnownStreams { knows_past: false, versions: Vec::new(), groups }
    }

    /// Returns whether there are streams that other instances must be told of.
    pub fn has_unpublished(&self) -> bool {
        self.streams.has_unpublished()
    }

    /// Returns all that is known here, for a new gate.
    pub fn export(&self, now: Duration) -> KnownStreams {
        KnownStreams { knows_past: self.can_tell_past(now), ..self.streams.export(now) }
    }

    /// Returns the versions that served.
    pub fn export_versions(&self, now: Duration) -> KnownStreams {
        KnownStreams {
            knows_past: self.can_tell_past(now),
            versions: self.streams.export_versions(now),
            groups: Vec::new(),
        }
    }

    /// Returns what must outlive this instance: the streams of services with upstreams of several
    /// versions that were noted at `since` or later.
    pub fn export_mixed(&self, now: Duration, since: Duration) -> KnownStreams {
        let known = self.streams.export_mixed(now, since);
        KnownStreams { knows_past: self.can_tell_past(now), ..known }
    }

    /// Returns the time for which versions that no longer serve are remembered.
    pub fn retention(&self) -> Duration {
        self.streams.retention()
    }

    /// Returns whether some service has upstreams of several versions, or had lately.
    pub fn has_mixed(&self, now: Duration) -> bool {
        self.streams.has_mixed(now)
    }

    /// Returns a number that changes when there is something else to publish.
    pub fn version(&self) -> u64 {
        self.streams.version()
    }

    /// Adds what another instance or a record knows; returns the streams that are new here.
    pub fn import(&mut self, now: Duration, known: &KnownStreams) -> Vec<u64> {
        let new = self.streams.import(now, known);
        self.note_newly_mixed(now);
        new
    }

    /// Returns what was learned since the last call.
    pub fn take_findings(&mut self) -> Vec<Finding> {
        std::mem::take(&mut self.findings)
    }
}

fn unknown(request: &SlotRequest) -> Refusal {
    Refusal::new(Reason::UnknownSoftware, UNKNOWN_RETRY_AFTER.min(request.time_left / 3))
}
