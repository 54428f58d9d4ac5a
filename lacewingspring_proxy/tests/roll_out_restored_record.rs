//! A key-value service that is restored from an older copy and then does not answer a write, or
//! while the gate ends that knew more.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use arc_swap::ArcSwap;
use bytes::Bytes;
use lacewingspring_core::{dispatch::KnownStreams, names::InstanceName};
use lacewingspring_proxy::{
    clock,
    gate::message::{EncodedRollOuts, FromGate, ToGate, Trailing},
};
use roll_out_support::{
    BOUNDS, RECORD, STATUS, SharedStore, aged_record, is_granted, record, record_with, rev,
    start_keeper, upstream,
};
use support::{host, host_in, members, open_link, open_link_of};
use tokio::{
    sync::mpsc::{UnboundedReceiver, unbounded_channel},
    time::sleep,
};

mod roll_out_support;
mod support;

/// Guards against a roll-out that begins again because the write after a restore failed: the next
/// read took the older copy for the truth.
#[tokio::test]
async fn a_rolled_back_version_stays_so_when_the_write_after_a_restore_fails() {
    let store = Arc::new(SharedStore::default());
    store.set(STATUS, Bytes::from("RolledBack"));
    store.set(RECORD, record(r#"{"RolledBack":"DeadlinePassed"}"#));
    let host = host();
    let (_link, _rx) = open_link(&host, Vec::new(), Duration::from_secs(3_600));
    start_keeper(&store, &host);
    sleep(Duration::from_secs(1)).await;
    store.begin_era();
    store.failing_writes.store(1, Ordering::Relaxed);
    store.set(STATUS, Bytes::from("InProgress"));
    store.set(RECORD, record(r#""Observing""#));
    sleep(Duration::from_secs(2)).await;
    assert_eq!(store.text(STATUS), "RolledBack");
    assert!(store.text(RECORD).contains("DeadlinePassed"), "{}", store.text(RECORD));
}

const ROLLED_BACK: &str = r#"{"RolledBack":"DeadlinePassed"}"#;

/// Returns the records that a link was told last.
fn told(rx: &mut UnboundedReceiver<FromGate>) -> EncodedRollOuts {
    let messages = std::iter::from_fn(|| rx.try_recv().ok());
    let told = messages.filter_map(|message| match message {
        FromGate::Streams(_, told) => told.0,
        _ => None,
    });
    told.last().unwrap_or_default()
}

/// Guards against a new gate that takes an older copy of the record for the truth although another
/// instance knows of the roll-back, also if a gate before did and wrote the record of the order
/// with the order's new revision.
#[tokio::test]
async fn a_new_gate_learns_of_a_roll_back_from_another_instance() {
    let older = record(r#""Observing""#);
    let text = String::from_utf8_lossy(&older);
    let rewritten = text.replace(r#""era":0,"revision":5"#, r#""era":1,"revision":4"#);
    assert_ne!(rewritten, text);
    for stored in [older.clone(), Bytes::from(rewritten)] {
        let store = Arc::new(SharedStore::default());
        store.begin_era();
        store.set(STATUS, Bytes::from("InProgress"));
        store.set(RECORD, stored);
        let host = host();
        let (link, _rx) = open_link(&host, Vec::new(), Duration::from_secs(3_600));
        start_keeper(&store, &host);
        let told = Trailing(Some(vec![record(ROLLED_BACK).to_vec()]));
        host.handle(clock::now(), link, ToGate::Streams(KnownStreams::default(), told));
        sleep(Duration::from_secs(1)).await;
        assert_eq!(store.text(STATUS), "RolledBack");
        assert!(store.text(RECORD).contains("DeadlinePassed"), "{}", store.text(RECORD));
    }
}

/// Guards against a roll-back that only the gate knows, and against an instance that does not learn
/// of it because it was linked later.
#[tokio::test]
async fn the_gate_tells_all_instances_of_a_roll_back() {
    let store = Arc::new(SharedStore::default());
    store.set(STATUS, Bytes::from("InProgress"));
    store.set(RECORD, record(ROLLED_BACK));
    let host = host();
    let (_link, mut rx) = open_link(&host, Vec::new(), Duration::from_secs(3_600));
    start_keeper(&store, &host);
    sleep(Duration::from_secs(1)).await;
    let (_link, mut later) = open_link(&host, Vec::new(), Duration::from_secs(3_600));
    for rx in [&mut rx, &mut later] {
        let [record] = &told(rx)[..] else { panic!("one record is told") };
        assert!(String::from_utf8_lossy(record).contains("DeadlinePassed"));
    }
}

/// Guards against a roll-back that was told before another gate recorded the completion, and that
/// instances would go on telling.
#[tokio::test]
async fn a_recorded_completion_replaces_a_roll_back_that_was_told() {
    let store = Arc::new(SharedStore::default());
    store.set(STATUS, Bytes::from("Completed"));
    store.set(RECORD, record(r#""Completed""#));
    let host = host();
    let (link, mut rx) = open_link(&host, Vec::new(), Duration::from_secs(3_600));
    let rolled_back = Trailing(Some(vec![record(ROLLED_BACK).to_vec()]));
    host.handle(clock::now(), link, ToGate::Streams(KnownStreams::default(), rolled_back));
    start_keeper(&store, &host);
    sleep(Duration::from_secs(1)).await;
    let [record] = &told(&mut rx)[..] else { panic!("one record is told") };
    assert!(String::from_utf8_lossy(record).contains("Completed"));
}

/// Guards against an instance that tells the age that an order had when the gate told it last,
/// which is hours ago if the roll-out has stayed in one stage since.
#[test]
fn an_instance_tells_the_present_age_of_an_order() {
    let host = host();
    host.enable_roll_outs(BOUNDS);
    let (link, _rx) = open_link(&host, Vec::new(), Duration::from_secs(3_600));
    let told_at = clock::now();
    let before = record(r#""Shifting""#);
    let streams = ToGate::Streams(KnownStreams::default(), Trailing(Some(vec![before.to_vec()])));
    host.handle(told_at, link, streams.clone());
    // A late copy of what was told does not make the order younger.
    host.handle(told_at + Duration::from_secs(3_600), link, streams);
    let (tx, mut rx) = unbounded_channel();
    let later = host.connect(tx);
    let hello = ToGate::Hello {
        instance: InstanceName::from("j"),
        usage: Vec::new(),
        usage_age: Duration::ZERO,
    };
    host.handle(told_at + Duration::from_secs(3 * 3_600), later, hello);
    let [record] = &told(&mut rx)[..] else { panic!("one record is told") };
    let parse =
        |record: &[u8]| -> serde_json::Value { serde_json::from_slice(record).expect("a record") };
    let (before, record) = (parse(&before), parse(record));
    let passed_ms = |field: &str| record[field].as_u64().zip(before[field].as_u64());
    assert_eq!(passed_ms("age_ms"), Some((3 * 3_600_000 + 1_000, 1_000)));
    let (wall_ms, wall_ms_before) = passed_ms("wall_ms").expect("a wall-clock time");
    assert_eq!(wall_ms - wall_ms_before, 3 * 3_600_000, "its reader adds the rest");
}

/// Guards against a new gate that takes an order to be younger than it is: a record that was
/// written more than an hour ago tells no more than that hour, and the roll-out went on past its
/// deadline.
#[tokio::test]
async fn a_new_gate_learns_the_age_of_an_order_from_another_instance() {
    let hours = |count: u64| Duration::from_secs(count * 3_600);
    let store = Arc::new(SharedStore::default());
    store.set(STATUS, Bytes::from("InProgress"));
    store.set(RECORD, aged_record(r#""Observing""#, Duration::from_secs(1), hours(3), hours(2)));
    let host = host();
    let (link, _rx) = open_link(&host, Vec::new(), Duration::from_secs(3_600));
    start_keeper(&store, &host);
    let present = aged_record(r#""Observing""#, hours(3), Duration::ZERO, hours(2));
    let told = Trailing(Some(vec![present.to_vec()]));
    host.handle(clock::now(), link, ToGate::Streams(KnownStreams::default(), told));
    sleep(Duration::from_secs(2)).await;
    assert_eq!(store.text(STATUS), "RolledBack", "{}", store.text(RECORD));
}

/// Guards against a process that starts right after the store was restored from an older copy and
/// takes itself for the whole fleet: it continued a roll-out that was rolled back since.
#[tokio::test]
async fn a_gate_that_starts_alone_after_a_restore_waits_for_the_other_instances() {
    let store = Arc::new(SharedStore::default());
    store.begin_era();
    store.set(STATUS, Bytes::from("InProgress"));
    store.set(RECORD, record(r#""Observing""#));
    let fleet = Arc::new(ArcSwap::from_pointee(members(&["i"])));
    let host = host_in(fleet.clone());
    let (_link, mut rx) = open_link(&host, Vec::new(), Duration::from_secs(3_600));
    start_keeper(&store, &host);
    sleep(Duration::from_millis(900)).await;
    assert!(told(&mut rx).is_empty(), "the roll-out is not taken up");
    fleet.store(Arc::new(members(&["i", "j", "k"])));
    host.on_members_changed(clock::now());
    sleep(Duration::from_millis(300)).await;
    assert!(told(&mut rx).is_empty(), "most instances are not linked");
    let (other, _rx) = open_link_of("j", &host, Vec::new(), Duration::from_secs(3_600));
    let rolled_back = Trailing(Some(vec![record(ROLLED_BACK).to_vec()]));
    host.handle(clock::now(), other, ToGate::Streams(KnownStreams::default(), rolled_back));
    sleep(Duration::from_secs(1)).await;
    assert_eq!(store.text(STATUS), "RolledBack");
    let told = told(&mut rx);
    let is_rolled_back =
        |record: &Vec<u8>| String::from_utf8_lossy(record).contains("DeadlinePassed");
    assert!(told.len() == 1 && told.iter().all(is_rolled_back), "all instances are told");
}

/// Guards against requests to a version that an earlier order rolled back while the gate waits.
#[tokio::test]
async fn a_waiting_gate_uses_no_version_that_the_record_excludes() {
    let store = Arc::new(SharedStore::default());
    store.begin_era();
    store.set(STATUS, Bytes::from("InProgress"));
    store.set(RECORD, record_with(r#""Observing""#, r#""rolled_back":["v0"]"#));
    let host = host();
    let (link, mut rx) = open_link(&host, Vec::new(), Duration::from_secs(3_600));
    start_keeper(&store, &host);
    host.set_registry_revision(rev(7));
    host.set_upstreams(clock::now(), [upstream("v1", 1), upstream("v0", 2), upstream("v2", 3)]);
    sleep(Duration::from_secs(1)).await;
    let granted = (1..=12).filter(|number| is_granted(&host, link, *number, &mut rx)).count();
    assert_eq!(granted, 4, "only the slots of v1 are used");
}

/// Guards against a wait without end in a fleet of one instance, or if the instances that know more
/// have ended.
#[tokio::test]
async fn a_gate_that_stays_alone_after_a_restore_continues_from_the_record() {
    let store = Arc::new(SharedStore::default());
    store.begin_era();
    store.set(STATUS, Bytes::from("InProgress"));
    store.set(RECORD, record(r#""Observing""#));
    let host = host();
    let (_link, mut rx) = open_link(&host, Vec::new(), Duration::from_secs(3_600));
    start_keeper(&store, &host);
    sleep(Duration::from_secs(4)).await;
    let [record] = &told(&mut rx)[..] else { panic!("one record is told") };
    assert!(String::from_utf8_lossy(record).contains("Observing"));
}

/// Guards against a wait where the store was not restored, or where another instance is registered.
#[tokio::test]
async fn a_gate_that_starts_waits_only_if_the_store_was_restored_and_it_is_alone() {
    for (is_restored, instances) in [(false, &["i"][..]), (true, &["i", "j"])] {
        let store = Arc::new(SharedStore::default());
        if is_restored {
            store.begin_era();
        }
        store.set(STATUS, Bytes::from("InProgress"));
        store.set(RECORD, record(r#""Observing""#));
        let host = host_in(Arc::new(ArcSwap::from_pointee(members(instances))));
        let links: Vec<_> = instances
            .iter()
            .map(|name| open_link_of(name, &host, Vec::new(), Duration::from_secs(3_600)))
            .collect();
        start_keeper(&store, &host);
        sleep(Duration::from_secs(1)).await;
        for (_, mut rx) in links {
            assert_eq!(told(&mut rx).len(), 1, "restored: {is_restored}");
        }
    }
}
