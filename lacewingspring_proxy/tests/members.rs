//! How an instance keeps its key in the key-value service, and what is read from the keys.

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
    members::{Member, Members, Registration},
    mirror::{LEASE_EXPIRY_GRACE, Mirror},
    store::{Batch, Change, Item, LeaseId, Page, Store, StoreError},
};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

/// A service that refuses writes from the second on.
#[derive(Debug, Default)]
struct Refusing {
    puts: AtomicUsize,
    ended: AtomicUsize,
}

impl Store for Refusing {
    async fn range(&self, _: &str, _: Option<&str>) -> Result<Page, StoreError> {
        Err(StoreError::Refused(503))
    }

    async fn watch(&self, _: &str, _: u64, _: Duration) -> Result<Batch, StoreError> {
        Err(StoreError::Refused(503))
    }

    async fn grant_lease(&self, _: Duration) -> Result<LeaseId, StoreError> {
        Ok(LeaseId(7))
    }

    async fn keep_lease(&self, _: LeaseId) -> Result<(), StoreError> {
        Ok(())
    }

    async fn end_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        assert_eq!(lease, LeaseId(7));
        self.ended.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    async fn put(&self, _: &str, _: Bytes, _: Option<LeaseId>) -> Result<(), StoreError> {
        match self.puts.fetch_add(1, Ordering::Relaxed) {
            0 => Ok(()),
            _ => Err(StoreError::Refused(503)),
        }
    }
}

fn member(name: &str, data_centre: &str, last: u8) -> Member {
    Member {
        instance: InstanceName::from(name),
        incarnation: 1,
        data_centre: DataCentreName::from(data_centre),
        millicores: 120,
        callers: SocketAddr::from(([10, 0, 0, last], 80)),
        peers: SocketAddr::from(([10, 0, 0, last], 81)),
        is_leaving: false,
    }
}

#[tokio::test]
async fn does_not_press_a_service_that_refuses_writes() {
    let store = Arc::new(Refusing::default());
    let (member_tx, rx) = watch::channel(member("i1", "a", 1));
    let (ending_tx, ending) = watch::channel(false);
    let min_lease = Duration::from_secs(1);
    let registration =
        Registration { store: store.clone(), member: rx, min_lease, shutdown: ending };
    let task = tokio::spawn(registration.run());
    sleep(Duration::from_millis(100)).await;
    member_tx.send_modify(|member| member.is_leaving = true);
    sleep(Duration::from_secs(1)).await;
    let puts = store.puts.load(Ordering::Relaxed);
    assert!((2..=5).contains(&puts), "{puts} writes in a second");
    ending_tx.send_replace(true);
    timeout(Duration::from_secs(1), task).await.expect("ends").expect("no panic");
    assert_eq!(store.ended.load(Ordering::Relaxed), 1, "the lease is ended");
}

fn item(member: &Member, revision: u64) -> Item {
    let value = serde_json::to_vec(member).expect("a value");
    let key = format!("lacewingspring/instances/{}", member.instance);
    Item { key, value: Bytes::from(value), revision, created_revision: revision }
}

#[test]
fn names_the_callers_data_centre_and_others_when_too_few_are_there() {
    let mut mirror = Mirror::default();
    let items = [("a1", "a", 1), ("a2", "a", 2), ("b1", "b", 3)];
    let items = items.iter().enumerate().map(|(at, (name, data_centre, last))| {
        item(&member(name, data_centre, *last), at as u64 + 1)
    });
    let mut items: Vec<Item> = items.collect();
    items.push(Item {
        key: "lacewingspring/instances/odd".into(),
        value: Bytes::from_static(b"no member"),
        revision: 9,
        created_revision: 9,
    });
    mirror.load(Duration::ZERO, items, 9);
    let members = Members::from_mirror(&mirror);
    let near = |name: &str| {
        let mut found = members.addresses(Some(&DataCentreName::from(name)), None);
        found.sort();
        found.iter().map(ToString::to_string).collect::<Vec<_>>()
    };
    assert_eq!(near("a"), ["10.0.0.1:80", "10.0.0.2:80"]);
    assert_eq!(near("b").len(), 3);
    let without = members.addresses(None, Some(&InstanceName::from("a1")));
    assert_eq!(without.len(), 2);
    let first = members.staying().next().expect("a member");
    assert_eq!(first.instance.as_str(), "a1", "the longest known comes first");
}

#[test]
fn keeps_lapsed_keys_for_a_while_after_an_outage_only() {
    let deleted = |key: &Item, revision| Batch {
        changes: vec![Change::Deleted { key: key.key.clone(), revision }],
        revision,
    };
    let one = item(&member("a1", "a", 1), 1);
    let two = item(&member("a2", "a", 2), 2);
    let mut mirror = Mirror::default();
    mirror.load(Duration::ZERO, vec![one.clone(), two.clone()], 2);
    let at = Duration::from_secs(10);
    mirror.reached(at);
    mirror.apply(at, deleted(&one, 3));
    assert_eq!(mirror.items().count(), 1, "without an outage it is gone at once");
    assert!(mirror.lost() && !mirror.lost(), "an outage is new once");
    assert!(mirror.reached(at));
    mirror.apply(at, deleted(&two, 4));
    assert_eq!(mirror.items().count(), 1, "it may come back");
    assert!(!mirror.sweep(at + LEASE_EXPIRY_GRACE - Duration::from_millis(1)));
    assert!(mirror.sweep(at + LEASE_EXPIRY_GRACE));
    assert_eq!(mirror.items().count(), 0);
}

#[test]
fn a_lapsed_key_that_comes_back_stays() {
    let one = item(&member("a1", "a", 1), 1);
    let mut mirror = Mirror::default();
    mirror.load(Duration::ZERO, vec![one.clone()], 1);
    mirror.lost();
    let at = Duration::from_secs(10);
    mirror.reached(at);
    // The history was forgotten, and a whole read does not show it.
    mirror.load(at, Vec::new(), 5);
    let back = Item { revision: 6, ..one };
    mirror.apply(at, Batch { changes: vec![Change::Put(back)], revision: 6 });
    assert!(!mirror.sweep(at + LEASE_EXPIRY_GRACE * 2));
    assert_eq!(mirror.items().count(), 1);
    assert_eq!(mirror.revision(), 6);
}

fn entry(member: &Member, revision: u64) -> Item {
    Item {
        key: format!("lacewingspring/instances/{}", member.instance),
        value: Bytes::from(serde_json::to_vec(member).expect("a member is JSON")),
        revision,
        created_revision: revision,
    }
}

#[test]
fn names_larger_machines_before_older_instances() {
    let small = |name, last| member(name, "a", last);
    let large = |name, last| Member { millicores: 500, ..member(name, "a", last) };
    let items =
        [entry(&small("i1", 1), 1), entry(&large("i2", 2), 2), entry(&large("i3", 3), 3)].into();
    let mut mirror = Mirror::default();
    mirror.load(Duration::ZERO, items, 3);
    let members = Members::from_mirror(&mirror);
    let names: Vec<&str> = members.staying().map(|member| member.instance.as_str()).collect();
    assert_eq!(names, ["i2", "i3", "i1"], "the gate of a fleet takes more than a small machine");
}
