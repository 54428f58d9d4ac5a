//! Hands what a gate knows on to the next gate: the usage of the workspaces' limits, which requests
//! crash upstreams, and which software versions began streams.
//!
//! The gate sends it to other instances, at once when it matters, and these report it to the next
//! gate. It also stores it in the key-value service, for the case that all instances end together.
//! As the service counts its calls, a record is written at most twice a second, and the usage as
//! often as it is published.

use std::{sync::Arc, time::Duration};

use lacewingspring_core::dispatch::{HandOver, KnownStreams, StoredUsage};
use log::{info, warn};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{sync::watch, time::sleep};

use super::{
    host::GateHost,
    record::{Record, Stored},
    version_recorder::VersionRecorder,
};
use crate::{
    clock,
    record_checks::RecordReader,
    store::{Revision, Store},
};

/// Key of the stored usage.
const USAGE_KEY: &str = "lacewingspring/usage";

/// Key of what else the next gate must know.
const HAND_OVER_KEY: &str = "lacewingspring/hand-over";

/// Key of the software versions that began streams, stored while there are several.
const STREAMS_KEY: &str = "lacewingspring/streams";

/// Key of the streams that were noted since those under [`STREAMS_KEY`] were stored.
const RECENT_STREAMS_KEY: &str = "lacewingspring/recent-streams";

/// Interval at which the usage is published if little of the limits is used.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(1_000);

/// Minimum time between two publications of what else the next gate must know.
const MIN_HAND_OVER_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum time between two writes of the usage.
const MIN_USAGE_WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum time between two writes of another record.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum time between two writes of the recent streams: less than it takes from the grant of a
/// slot until the caller has an event that it could continue after.
const MIN_RECENT_WRITE_INTERVAL: Duration = Duration::from_millis(50);

/// Interval of the checks whether this instance is the gate and whether something is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which an instance grants slots to a minority before it loads streams: one that has just
/// started is linked to the gate by then, which knows them.
const MIN_ALONE_TIME: Duration = Duration::from_millis(400);

/// Publishes and stores what the next gate must know while this instance is the gate.
pub struct Ledger<S> {
    /// The key-value service.
    pub store: Arc<S>,
    /// Gate host of this instance.
    pub host: Arc<GateHost>,
}

/// State of something that was published last.
#[derive(Debug, Default)]
struct Publication {
    version: u64,
    at: Duration,
}

impl Publication {
    /// Returns whether there is another version and the last one is old enough.
    fn is_due(&self, now: Duration, version: u64) -> bool {
        version != self.version && now.saturating_sub(self.at) >= MIN_HAND_OVER_INTERVAL
    }
}

/// What was published last of what the next gate must know, besides the usage.
#[derive(Debug, Default)]
struct Published {
    hand_over: Publication,
    streams: Publication,
}

/// What is to be stored, each the latest that was published.
#[derive(Clone, Debug, Default)]
struct Latest {
    usage: Vec<StoredUsage>,
    hand_over: HandOver,
    streams: KnownStreams,
    /// Time of the streams.
    streams_at: Duration,
}

/// State of an instance while it does not serve a majority.
#[derive(Debug, Default)]
struct Minority {
    /// Time since which it grants slots; `None` if it does not.
    granting_since: Option<Duration>,
    /// Whether it has loaded the streams since then.
    has_streams: bool,
}

impl Minority {
    /// Returns whether the streams are to be loaded.
    fn needs_streams(&mut self, now: Duration, grants_slots: bool) -> bool {
        if !grants_slots {
            *self = Self::default();
            return false;
        }
        let since = *self.granting_since.get_or_insert(now);
        !self.has_streams && now.saturating_sub(since) >= MIN_ALONE_TIME
    }
}

/// The streams that are stored.
#[derive(Clone, Copy, Debug)]
struct StoredStreams {
    /// Time up to which they are stored under [`STREAMS_KEY`].
    until: Duration,
    /// Revision that the record under [`RECENT_STREAMS_KEY`] had when it was loaded.
    recent_revision: Option<Revision>,
}

/// Revisions of the records of streams; `None` for a record that does not exist.
#[derive(Clone, Copy, Debug)]
struct StreamRevisions {
    /// That of [`STREAMS_KEY`].
    all: Option<Revision>,
    /// That of [`RECENT_STREAMS_KEY`].
    recent: Option<Revision>,
}

/// The streams that are stored; `None` before those of an earlier gate are loaded.
type LoadedStreams = Option<StoredStreams>;

impl<S> Ledger<S>
where
    S: Store,
{
    /// Loads what is stored at the start, and when this instance becomes the gate of a minority or
    /// of the fleet. Publishes and stores what it knows while it is the gate of the fleet. Never
    /// returns.
    pub async fn run(self) {
        let versions = VersionRecorder::new(&*self.store, &self.host);
        // An instance that does not reach the others yet may serve requests before it is the gate.
        versions.load(|| true).await;
        self.load_hand_over(|| true).await;
        loop {
            let mut minority = Minority::default();
            while !self.serves_majority() {
                if minority.needs_streams(clock::now(), self.host.grants_slots()) {
                    self.load_streams(|| self.host.grants_slots()).await;
                    minority.has_streams = true;
                }
                versions.wait_for_majority(CHECK_INTERVAL).await;
            }
            // The service may be slow or away while the other instances are not.
            let (tx, rx) = watch::channel(Latest::default());
            let (stored_tx, stored_rx) = watch::channel(None);
            // All end with the role; the one that notices first ends the others.
            tokio::select! {
                () = self.publish(tx) => {}
                () = self.load_and_write(rx, stored_tx) => {}
                () = self.write_recent_streams(stored_rx) => {}
                () = versions.run() => {}
            }
        }
    }

    fn serves_majority(&self) -> bool {
        self.host.serves_majority(clock::now())
    }

    /// Stores streams soon after they begin, so that few are lost if all instances end together.
    async fn write_recent_streams(&self, mut stored: watch::Receiver<LoadedStreams>) {
        let mut recent: Record<KnownStreams> =
            Record::new(RECENT_STREAMS_KEY, MIN_RECENT_WRITE_INTERVAL);
        let mut version = None;
        while self.serves_majority() {
            let known = *stored.borrow_and_update();
            let latest = Some(self.host.streams_version());
            if let Some(known) = known.filter(|_| latest != version) {
                if version.is_none() {
                    recent.set_revision(known.recent_revision);
                }
                version = latest;
                recent.set(self.host.mixed_streams_since(clock::now(), known.until));
            }
            recent.write(clock::now(), &*self.store).await;
            sleep(MIN_RECENT_WRITE_INTERVAL).await;
        }
    }

    /// Publishes what the next gate must know while this instance is the gate.
    async fn publish(&self, stored: watch::Sender<Latest>) {
        let mut published = Published::default();
        while self.serves_majority() {
            self.wait_until_due(&published).await;
            let now = clock::now();
            let usage = self.host.publish_usage(now);
            stored.send_modify(|stored| stored.usage = usage);
            if self.is_hand_over_due(now, &published) {
                let version = self.host.hand_over_version();
                published.hand_over = Publication { version, at: now };
                let hand_over = self.host.publish_hand_over(now);
                stored.send_modify(|stored| stored.hand_over = hand_over);
            }
            if self.are_streams_due(now, &published) {
                let version = self.host.streams_version();
                published.streams = Publication { version, at: now };
                let streams = self.host.mixed_streams(now);
                stored.send_modify(|stored| {
                    stored.streams = streams;
                    stored.streams_at = now;
                });
            } else if !self.host.has_mixed_software(now) {
                stored.send_modify(|stored| stored.streams = KnownStreams::default());
            }
        }
    }

    /// Loads what an earlier gate stored, then stores what is published while this instance is the
    /// gate.
    async fn load_and_write(
        &self,
        latest: watch::Receiver<Latest>,
        stored: watch::Sender<LoadedStreams>,
    ) {
        let mut usage: Record<Vec<StoredUsage>> = Record::new(USAGE_KEY, MIN_USAGE_WRITE_INTERVAL);
        let mut hand_over: Record<HandOver> = Record::new(HAND_OVER_KEY, MIN_WRITE_INTERVAL);
        let mut streams: Record<KnownStreams> = Record::new(STREAMS_KEY, MIN_WRITE_INTERVAL);
        usage.set_revision(self.load_usage().await);
        hand_over.set_revision(self.load_hand_over(|| self.serves_majority()).await);
        let revisions = self.load_streams(|| self.serves_majority()).await;
        streams.set_revision(revisions.all);
        let recent_revision = revisions.recent;
        stored.send_replace(Some(StoredStreams { until: Duration::ZERO, recent_revision }));
        // What was loaded is published before anything of an earlier gate is overwritten.
        sleep(MIN_HAND_OVER_INTERVAL + CHECK_INTERVAL).await;
        while self.serves_majority() {
            let latest = latest.borrow().clone();
            usage.set(latest.usage);
            hand_over.set(latest.hand_over);
            streams.set(latest.streams);
            usage.write(clock::now(), &*self.store).await;
            hand_over.write(clock::now(), &*self.store).await;
            streams.write(clock::now(), &*self.store).await;
            if streams.is_written() {
                let until = latest.streams_at;
                stored.send_replace(Some(StoredStreams { until, recent_revision }));
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Waits until something is due: the usage after the regular interval or as soon as much of a
    /// limit was used, the rest as soon as it has changed.
    async fn wait_until_due(&self, published: &Published) {
        let until = clock::now() + PUBLISH_INTERVAL;
        loop {
            let now = clock::now();
            let is_due = self.host.is_usage_due()
                || self.is_hand_over_due(now, published)
                || self.are_streams_due(now, published);
            if now >= until || is_due {
                return;
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    fn is_hand_over_due(&self, now: Duration, published: &Published) -> bool {
        published.hand_over.is_due(now, self.host.hand_over_version())
    }

    fn are_streams_due(&self, now: Duration, published: &Published) -> bool {
        published.streams.is_due(now, self.host.streams_version())
    }

    /// Loads the usage of limits; returns the revision of the record.
    async fn load_usage(&self) -> Option<Revision> {
        let usage: Record<Vec<StoredUsage>> = Record::new(USAGE_KEY, MIN_USAGE_WRITE_INTERVAL);
        let stored = self.read(usage, || self.serves_majority()).await?;
        if let Some(usage) = stored.value {
            info!(workspaces = usage.len(); "The stored usage of limits is loaded.");
            self.host.import_usage(clock::now(), &usage);
        }
        stored.revision
    }

    /// Loads what else an earlier gate handed over; returns the revision of the record.
    async fn load_hand_over<F>(&self, is_needed: F) -> Option<Revision>
    where
        F: Fn() -> bool,
    {
        let hand_over: Record<HandOver> = Record::new(HAND_OVER_KEY, MIN_WRITE_INTERVAL);
        let stored = self.read(hand_over, is_needed).await?;
        if let Some(hand_over) = stored.value {
            info!(
                requests = hand_over.blocked_requests.len(), parts = hand_over.blocked_parts.len();
                "The stored hand-over of an earlier gate is loaded."
            );
            self.host.take_over(clock::now(), &hand_over);
        }
        stored.revision
    }

    /// Loads the streams; returns the revisions of their records.
    async fn load_streams<F>(&self, is_needed: F) -> StreamRevisions
    where
        F: Fn() -> bool,
    {
        let all = self.load_streams_of(STREAMS_KEY, &is_needed).await;
        let recent = self.load_streams_of(RECENT_STREAMS_KEY, &is_needed).await;
        StreamRevisions { all, recent }
    }

    async fn load_streams_of<F>(&self, key: &'static str, is_needed: F) -> Option<Revision>
    where
        F: Fn() -> bool,
    {
        let streams: Record<KnownStreams> = Record::new(key, MIN_WRITE_INTERVAL);
        let stored = self.read(streams, is_needed).await?;
        if let Some(streams) = stored.value {
            info!(
                key, versions = streams.versions.len(), processes = streams.groups.len();
                "The stored software versions of streams are loaded."
            );
            // Whether all versions are known is told by their own records.
            let streams = KnownStreams { knows_past: false, ..streams };
            self.host.take_over_streams(clock::now(), &streams);
        }
        stored.revision
    }

    /// Reads a record until the service answers; `None` if it is no longer needed.
    async fn read<T, F>(&self, record: Record<T>, is_needed: F) -> Option<Stored<T>>
    where
        T: Clone + Default + PartialEq + Serialize + DeserializeOwned,
        F: Fn() -> bool,
    {
        let reader = RecordReader::new(self.host.outage());
        let read = || record.read(&*self.store);
        let stored = reader.read(is_needed, read, |e| {
            warn!(error:% = e; "Reading a record of an earlier gate failed; trying again.");
        });
        stored.await
    }
}
