//! Registration of an instance in the key-value service.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use lacewingspring_core::names::{DataCentreName, InstanceName};
use lacewingspring_proxy::{
    clock,
    members::Member,
    metrics::SharedMetrics,
    mirror::Mirror,
    own_entry::{Difference, OwnEntry},
    registration::Registration,
    replica::{Replicas, Topic},
    store::{Batch, Change, Era, Item, Lease, Page, Revision, Store, StoreError},
};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

/// Key of the entry in the tests of decisions.
const KEY: &str = "lacewingspring/instances/i1";

/// Store that accepts the first write and refuses the others.
#[derive(Debug, Default)]
struct RefusingStore {
    puts: AtomicUsize,
    ended_leases: AtomicUsize,
}

const LEASE: Lease = Lease { era: Era(0), id: 7 };

impl Store for RefusingStore {
    fn era(&self) -> Era {
        LEASE.era
    }

    async fn range(&self, _: &str, _: Option<&str>) -> Result<Page, StoreError> {
        Err(StoreError::Refused(503))
    }

    async fn watch(&self, _: &str, _: Revision, _: Duration) -> Result<Batch, StoreError> {
        Err(StoreError::Refused(503))
    }

    async fn grant_lease(&self, _: Duration) -> Result<Lease, StoreError> {
        Ok(LEASE)
    }

    async fn keep_lease(&self, _: Lease) -> Result<(), StoreError> {
        Ok(())
    }

    async fn end_lease(&self, lease: Lease) -> Result<(), StoreError> {
        assert_eq!(lease, LEASE);
        self.ended_leases.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    async fn put_if(
        &self,
        _: &str,
        _: Bytes,
        _: Option<Revision>,
        lease: Option<Lease>,
    ) -> Result<Revision, StoreError> {
        assert_eq!(lease, Some(LEASE));
        match self.puts.fetch_add(1, Ordering::Relaxed) {
            0 => Ok(Revision { era: LEASE.era, number: 1 }),
            _ => Err(StoreError::Refused(503)),
        }
    }
}

fn member() -> Member {
    Member {
        instance: InstanceName::from("i1"),
        incarnation: 1,
        data_centre: DataCentreName::from("a"),
        millicores: 120,
        caller_address: SocketAddr::from(([10, 0, 0, 1], 80)),
        peer_address: SocketAddr::from(([10, 0, 0, 1], 81)),
        is_leaving: false,
    }
}

/// Returns copies of which that of the fleet has been read.
fn read_copies() -> Arc<Replicas> {
    let replicas = Replicas::default();
    replicas.get(Topic::Members).confirm_complete(clock::now());
    Arc::new(replicas)
}

/// A failed write leaves the entry marked as changed; retried without a delay, it would flood the
/// service with calls.
#[tokio::test]
async fn limits_the_write_rate_while_writes_are_refused() {
    let store = Arc::new(RefusingStore::default());
    let (member_tx, rx) = watch::channel(member());
    let (shutdown_tx, shutdown) = watch::channel(false);
    let registration = Registration::new(
        store.clone(),
        rx,
        Duration::from_secs(1),
        shutdown,
        read_copies(),
        SharedMetrics::default(),
    );
    let task = tokio::spawn(registration.run());
    sleep(Duration::from_millis(100)).await;
    member_tx.send_modify(|member| member.is_leaving = true);
    sleep(Duration::from_secs(1)).await;
    let puts = store.puts.load(Ordering::Relaxed);
    assert!((2..=5).contains(&puts), "{puts} writes in a second");
    shutdown_tx.send_replace(true);
    timeout(Duration::from_secs(1), task)
        .await
        .expect("the task ends in time")
        .expect("the task does not panic");
    assert_eq!(store.ended_leases.load(Ordering::Relaxed), 1, "the lease is ended");
}

const fn rev(era: u64, number: u64) -> Revision {
    Revision { era: Era(era), number }
}

/// Returns a copy of the fleet at a revision, with the entry at another one if it exists.
fn copy(revision: Revision, entry: Option<Revision>) -> Mirror {
    let item = |revision| Item {
        key: KEY.to_owned(),
        value: Bytes::new(),
        revision,
        created_revision: revision,
    };
    let mut mirror = Mirror::default();
    mirror.load(Duration::ZERO, entry.map(item).into_iter().collect(), revision);
    mirror
}

#[test]
fn an_entry_is_compared_only_with_a_copy_that_is_not_older() {
    let mut entry = OwnEntry::default();
    assert_eq!(entry.difference(&copy(rev(0, 9), None), KEY), None, "nothing was written");
    entry.set_written(rev(0, 5));
    let difference = |revision, found| entry.difference(&copy(revision, found), KEY);
    assert_eq!(difference(rev(0, 4), None), None, "the copy is older than the write");
    assert_eq!(difference(rev(0, 4), Some(rev(0, 3))), None);
    assert_eq!(difference(rev(0, 8), Some(rev(0, 5))), None);
    assert_eq!(difference(rev(0, 8), None), Some(Difference::Missing));
    assert_eq!(difference(rev(0, 8), Some(rev(0, 7))), Some(Difference::Replaced));
    assert_eq!(difference(rev(1, 2), None), Some(Difference::Missing), "a later era");
}

#[test]
fn the_next_write_replaces_the_latest_entry_that_is_known() {
    let mut entry = OwnEntry::default();
    let expected = |entry: &OwnEntry, found| entry.expected(&copy(rev(0, 9), found), KEY);
    assert_eq!(expected(&entry, None), None);
    assert_eq!(expected(&entry, Some(rev(0, 2))), Some(rev(0, 2)), "that of an earlier process");
    entry.set_written(rev(0, 5));
    assert_eq!(expected(&entry, Some(rev(0, 2))), Some(rev(0, 5)), "the copy is older");
    assert_eq!(expected(&entry, Some(rev(0, 7))), Some(rev(0, 7)), "a late write");
    entry.set_deleted();
    assert_eq!(expected(&entry, Some(rev(0, 5))), None, "its lease has ended");
    assert_eq!(expected(&entry, Some(rev(0, 7))), Some(rev(0, 7)));
    entry.set_present(Some(rev(0, 8)));
    assert_eq!(expected(&entry, Some(rev(0, 7))), Some(rev(0, 8)), "as the service rejected");
    entry.set_present(None);
    assert_eq!(expected(&entry, Some(rev(0, 8))), None);
}

/// Guards against an entry that is taken to be there because it is kept in a grace period.
#[test]
fn an_entry_that_is_kept_after_its_deletion_is_missing() {
    let mut mirror = copy(rev(0, 5), Some(rev(0, 5)));
    let mut entry = OwnEntry::default();
    entry.set_written(rev(0, 5));
    mirror.mark_unreachable();
    mirror.mark_reachable(Duration::from_secs(1));
    let deleted = Change::Deleted { key: KEY.to_owned(), revision: rev(0, 6) };
    let batch = Batch { changes: vec![deleted], revision: rev(0, 6) };
    mirror.apply(Duration::from_secs(1), batch);
    assert_eq!(mirror.items().count(), 1);
    assert_eq!(entry.difference(&mirror, KEY), Some(Difference::Missing));
}
