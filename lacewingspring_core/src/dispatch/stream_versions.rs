//! Which process of an upstream began which stream.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use super::{
    forgotten_versions::ForgottenVersions,
    known_streams::{KnownStream, KnownStreams, ServedVersion, StreamGroup, UpstreamProcess},
    served_versions::ServedVersions,
    upstream::UpstreamInfo,
    work::StreamRef,
};
use crate::names::{ServiceName, SoftwareVersion};

/// Largest number of streams that are remembered.
const MAX_STREAMS: usize = 65_536;

/// Largest number of streams that are stored, so that the value stays below half a mebibyte.
const MAX_STORED_STREAMS: usize = 8_192;

/// Fraction of the streams that is forgotten above [`MAX_STREAMS`].
const EVICTED_FRACTION: usize = 4;

/// Longest time for which a stream is remembered.
const MAX_LIFETIME: Duration = Duration::from_secs(600);

/// Time for which a stream is remembered after its caller's time is over.
const LIFETIME_MARGIN: Duration = Duration::from_secs(2);

/// Interval at which streams are forgotten whose time is over.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time for which the entry of an upstream may show an earlier process of its name.
const MAX_ENTRY_LAG: Duration = Duration::from_secs(2);

/// Step to which the rest of a stream's time is rounded up, so that streams share a group.
const LEFT_STEP_MS: u64 = 1_000;

/// A stream that may be taken up again.
#[derive(Debug)]
struct StreamRecord {
    process: Arc<UpstreamProcess>,
    /// Number of the last attempt to get a slot for it.
    attempt: u64,
    /// Time at which its slot was granted here, or at which it became known here.
    granted_at: Duration,
    expires: Duration,
    /// Whether a process of the same name and another version may have written its first event.
    is_ambiguous: bool,
}

impl StreamRecord {
    fn new(now: Duration, process: Arc<UpstreamProcess>, attempt: u64, expires: Duration) -> Self {
        Self { process, attempt, granted_at: now, expires, is_ambiguous: false }
    }

    fn is_known(&self, now: Duration) -> bool {
        !self.is_ambiguous && self.expires > now
    }
}

/// The processes that began streams, and the software versions that served.
#[derive(Debug, Default)]
pub(super) struct StreamVersions {
    streams: HashMap<u64, StreamRecord>,
    served: ServedVersions,
    forgotten: ForgottenVersions,
    /// Streams of mixed services that were not published yet.
    unpublished: Vec<u64>,
    pruned_at: Duration,
    /// Number of changes to what is published.
    version: u64,
}

impl StreamVersions {
    /// Applies a change of the registered upstreams.
    pub fn set_upstreams(&mut self, now: Duration, infos: &[UpstreamInfo]) {
        self.mark_ambiguous(now, infos);
        let versions = infos.iter().map(|info| (info.service.clone(), info.software.clone()));
        self.served.set_registered(now, versions);
    }

    /// Marks the streams of which a process of the same name and another version may have written
    /// the first event.
    fn mark_ambiguous(&mut self, now: Duration, infos: &[UpstreamInfo]) {
        let by_name: HashMap<_, _> = infos.iter().map(|info| (&info.name, info)).collect();
        let is_recent =
            |stream: &&mut StreamRecord| now.saturating_sub(stream.granted_at) < MAX_ENTRY_LAG;
        for stream in self.streams.values_mut().filter(is_recent) {
            let process = &stream.process;
            let other = by_name.get(&process.upstream).filter(|info| {
                info.started_at_ms != process.started_at_ms && info.software != process.software
            });
            stream.is_ambiguous |= other.is_some();
        }
    }

    /// Returns the services that have upstreams of several versions and had not at the last call;
    /// all their streams are to be published.
    pub fn take_newly_mixed(&mut self, now: Duration) -> Vec<ServiceName> {
        let newly_mixed = self.served.take_newly_mixed(now);
        if !newly_mixed.is_empty() {
            self.version += 1;
            let streams = self.streams.iter();
            let of_mixed =
                streams.filter(|(_, stream)| newly_mixed.contains(&stream.process.service));
            self.unpublished = of_mixed.map(|(id, _)| *id).collect();
        }
        newly_mixed
    }

    /// Records the process at which a stream is about to begin or go on.
    pub fn record(&mut self, now: Duration, stream: StreamRef, process: UpstreamProcess) {
        let lifetime = stream.lifetime.min(MAX_LIFETIME) + LIFETIME_MARGIN;
        self.served.lengthen_retention(lifetime);
        let known = self.streams.get_mut(&stream.id);
        if let Some(known) = known.filter(|_| stream.is_resumed) {
            known.expires = known.expires.max(now + lifetime);
            return;
        }
        let (process, expires) = (Arc::new(process), now + lifetime);
        let StreamRef { id, attempt, .. } = stream;
        self.insert(now, id, StreamRecord::new(now, process, attempt, expires));
    }

    /// Marks streams as to be published if their services have upstreams of several versions.
    pub fn publish<I>(&mut self, now: Duration, ids: I)
    where
        I: IntoIterator<Item = u64>,
    {
        for id in ids {
            let service = self.streams.get(&id).map(|stream| &stream.process.service);
            if service.is_some_and(|service| self.served.is_mixed(now, service)) {
                self.unpublished.push(id);
                self.version += 1;
            }
        }
    }

    /// Adds a stream, unless the same or a later attempt at it is known; returns whether it was
    /// added.
    fn insert(&mut self, now: Duration, id: u64, stream: StreamRecord) -> bool {
        self.prune(now);
        if self.streams.get(&id).is_some_and(|known| known.attempt >= stream.attempt) {
            return false;
        }
        self.streams.insert(id, stream);
        true
    }

    fn prune(&mut self, now: Duration) {
        if now.saturating_sub(self.pruned_at) >= PRUNE_INTERVAL {
            self.pruned_at = now;
            self.forgotten.prune(now, self.retention());
            self.forget_until(now, now);
        }
        if self.streams.len() >= MAX_STREAMS {
            let mut ends: Vec<Duration> = self.streams.values().map(|s| s.expires).collect();
            let (_, last_evicted, _) = ends.select_nth_unstable(MAX_STREAMS / EVICTED_FRACTION);
            let last_evicted = *last_evicted;
            self.forget_until(now, last_evicted);
        }
    }

    /// Forgets the streams whose time ends at `until` or earlier, and notes their versions.
    fn forget_until(&mut self, now: Duration, until: Duration) {
        let Self { streams, forgotten, .. } = self;
        streams.retain(|_, stream| {
            let is_kept = stream.expires > until;
            if !is_kept {
                let software = (!stream.is_ambiguous).then_some(&stream.process.software);
                forgotten.record(now, &stream.process.service, software);
            }
            is_kept
        });
    }

    /// Returns the version that began a stream; `None` if it is not known.
    pub fn version_of(&self, now: Duration, id: u64) -> Option<&SoftwareVersion> {
        let stream = self.streams.get(&id).filter(|stream| stream.is_known(now))?;
        Some(&stream.process.software)
    }

    /// Returns whether it can't be known which version began a stream.
    pub fn is_ambiguous(&self, id: u64) -> bool {
        self.streams.get(&id).is_some_and(|stream| stream.is_ambiguous)
    }

    /// Returns whether another version than `software` may have begun a stream that is forgotten
    /// here since the time `since`: that stream itself if its time is over, or if there is no
    /// record of it any stream of the service.
    pub fn may_be_forgotten(
        &self,
        since: Duration,
        service: &ServiceName,
        id: u64,
        software: &SoftwareVersion,
    ) -> bool {
        match self.streams.get(&id) {
            Some(stream) => stream.process.software != *software,
            None => self.forgotten.has_others(since, service, software),
        }
    }

    /// Returns the version of a service if no other one served within the longest time in which a
    /// caller may take a stream up.
    pub fn only_version(&self, now: Duration, service: &ServiceName) -> Option<&SoftwareVersion> {
        self.served.only_version(now, service)
    }

    /// Returns the time for which versions that no longer serve are remembered.
    pub fn retention(&self) -> Duration {
        self.served.retention()
    }

    /// Returns the streams of mixed services that were not returned before.
    pub fn take_unpublished(&mut self, now: Duration) -> Vec<StreamGroup> {
        let ids = std::mem::take(&mut self.unpublished);
        let streams = ids.iter().filter_map(|id| Some((*id, self.streams.get(id)?)));
        group(now, streams.filter(|(_, stream)| stream.is_known(now)))
    }

    /// Returns what is known of one stream.
    pub fn export_stream(&self, now: Duration, id: u64) -> Option<StreamGroup> {
        let stream = self.streams.get(&id).filter(|stream| stream.is_known(now))?;
        group(now, [(id, stream)]).pop()
    }

    /// Returns all that another instance must know.
    pub fn export(&self, now: Duration) -> KnownStreams {
        let streams = self.streams.iter().map(|(id, stream)| (*id, stream));
        let groups = group(now, streams.filter(|(_, stream)| stream.is_known(now)));
        KnownStreams { knows_past: false, versions: self.served.export(now), groups }
    }

    /// Returns the versions that serve, or served within the longest time in which a caller may
    /// take a stream up.
    pub fn export_versions(&self, now: Duration) -> Vec<ServedVersion> {
        self.served.export(now)
    }

    /// Returns what a gate must know after all instances have ended: the streams of mixed services
    /// that were noted here at `since` or later, and of these at most [`MAX_STORED_STREAMS`], which
    /// end last.
    pub fn export_mixed(&self, now: Duration, since: Duration) -> KnownStreams {
        let streams = self.streams.iter().map(|(id, stream)| (*id, stream));
        let streams = streams.filter(|(_, stream)| {
            stream.granted_at >= since
                && stream.is_known(now)
                && self.served.is_mixed(now, &stream.process.service)
        });
        let mut streams: Vec<(u64, &StreamRecord)> = streams.collect();
        streams.sort_unstable_by_key(|(id, stream)| (Reverse(stream.expires), *id));
        streams.truncate(MAX_STORED_STREAMS);
        let groups = group(now, streams);
        KnownStreams { knows_past: false, versions: self.served.export(now), groups }
    }

    /// Returns whether some service has upstreams of several versions, or had within the longest
    /// time in which a caller may take a stream up.
    pub fn has_mixed(&self, now: Duration) -> bool {
        self.served.has_mixed(now)
    }

    /// Returns a number that changes when something else is to be published.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Adds what another instance knows; what is known here stays. Returns the streams that are
    /// new here.
    pub fn import(&mut self, now: Duration, known: &KnownStreams) -> Vec<u64> {
        self.served.import(now, &known.versions);
        let mut new = Vec::new();
        for StreamGroup { process, left_ms, streams } in &known.groups {
            let lifetime = Duration::from_millis(*left_ms).min(MAX_LIFETIME + LIFETIME_MARGIN);
            let (process, expires) = (Arc::new(process.clone()), now + lifetime);
            for KnownStream { id, attempt } in streams {
                let (process, attempt) = (process.clone(), *attempt);
                let stream = StreamRecord::new(now, process, attempt, expires);
                if self.insert(now, *id, stream) {
                    new.push(*id);
                }
            }
        }
        new
    }

    /// Returns whether there are streams to be published.
    pub fn has_unpublished(&self) -> bool {
        !self.unpublished.is_empty()
    }
}

/// Groups streams by their process and the rest of their time.
fn group<'a, I>(now: Duration, streams: I) -> Vec<StreamGroup>
where
    I: IntoIterator<Item = (u64, &'a StreamRecord)>,
{
    let mut groups: BTreeMap<(&UpstreamProcess, u64), Vec<KnownStream>> = BTreeMap::new();
    for (id, stream) in streams {
        let left_ms = stream.expires.saturating_sub(now).as_millis() as u64;
        let left_ms = left_ms.div_ceil(LEFT_STEP_MS) * LEFT_STEP_MS;
        let known = KnownStream { id, attempt: stream.attempt };
        groups.entry((&*stream.process, left_ms)).or_default().push(known);
    }
    let groups = groups.into_iter().map(|((process, left_ms), mut streams)| {
        streams.sort_unstable();
        StreamGroup { process: process.clone(), left_ms, streams }
    });
    groups.collect()
}
