//! Pool controllers against daemon processes: roll-outs, a frozen controller, a version that fails
//! to load and an outage of the key-value service. The controller of a pool is the instance that
//! holds the pool's lease; it orders engines to load a version.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use lacewingspring::platform::key_value::KeyValue;
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, timeout};

use crate::support::{
    Fleet, FleetConfig, call, caller::complete, get, history::CallerOutcome, now,
    operator_credential,
};

mod support;

/// Time that an engine takes to load a version, in milliseconds.
const LOAD_MS: u64 = 400;

/// Load time, in milliseconds, with which the loads of two pools overlap although they may start
/// some seconds apart.
const LONG_LOAD_MS: u64 = 3_000;

/// Longest wait for a roll-out, including the expiry of a dead controller's lease.
const ROLL_OUT_TIMEOUT: Duration = Duration::from_secs(30);

/// Time within which a late order must be undone: the round that detects it, the drain and the
/// load.
const RECONCILE_TIME: Duration = Duration::from_secs(4);

fn load_flags(load_ms: u64) -> Vec<String> {
    vec!["--load-ms".to_owned(), load_ms.to_string()]
}

fn fleet_config(engines: usize, switch_off: &'static [&'static str]) -> FleetConfig {
    let engine_flags = load_flags(LOAD_MS);
    FleetConfig {
        instances: 3,
        engines,
        plain_upstreams: 0,
        engine_flags,
        switch_off,
        ..FleetConfig::default()
    }
}

/// Returns a pool of all engines of the fleet that is to serve a version; those in `checking` check
/// the fencing token.
fn pool(fleet: &Fleet, version: &str, checking: &[SocketAddr]) -> Value {
    let all: Vec<_> = (0..fleet.engines.len()).collect();
    pool_of(fleet, "engines", &all, version, checking)
}

fn pool_of(
    fleet: &Fleet,
    name: &str,
    engines: &[usize],
    version: &str,
    checking: &[SocketAddr],
) -> Value {
    let upstream = |i: &usize| {
        let at = &fleet.engines[*i];
        json!({
            "name": format!("engine-{i}"), "address": at.to_string(), "data_centre": "dc0",
            "slots": 8, "checks_fencing": checking.contains(at)
        })
    };
    let upstreams: Vec<_> = engines.iter().map(upstream).collect();
    json!({ "kind": "engine_pool", "name": name, "spec": {
        "type": "engine", "model": "judge", "version": version, "managed": true,
        "upstreams": upstreams } })
}

async fn engine_state(engine: SocketAddr) -> Value {
    get(engine, "/v1/state").await.map_or(Value::Null, |answer| answer.json())
}

async fn serves_version(engine: SocketAddr, version: &str) -> bool {
    let state = engine_state(engine).await;
    state["version"] == version && state["loading"] == false
}

async fn wait_for_version(fleet: &Fleet, version: &str, limit: Duration) {
    let all = async {
        for engine in &fleet.engines {
            while !serves_version(*engine, version).await {
                sleep(Duration::from_millis(20)).await;
            }
        }
    };
    timeout(limit, all).await.expect("every engine serves the version within the time-out");
}

async fn describe(fleet: &Fleet) -> Value {
    let at = fleet.instances[0].caller_address;
    let path = "/operator/v1/resources/engine_pool/engines";
    call(at, "GET", path, &[operator_credential()], String::new()).await.unwrap().json()
}

/// Waits until the pool's condition `RolledOut` has the reason; returns the description of the
/// pool.
async fn wait_for_reason(fleet: &Fleet, reason: &str) -> Value {
    let described = timeout(ROLL_OUT_TIMEOUT, async {
        loop {
            let detail = describe(fleet).await;
            let conditions = detail["status"]["conditions"].as_array().unwrap();
            if conditions.iter().any(|it| it["type"] == "RolledOut" && it["reason"] == reason) {
                return detail;
            }
            sleep(Duration::from_millis(50)).await;
        }
    });
    described.await.expect("the condition has the reason within the time-out")
}

/// Requests completions until `stop` is set; returns how many were answered, and the outcomes of
/// the others.
async fn request_until_stopped(
    at: SocketAddr,
    name: String,
    stop: Arc<AtomicBool>,
) -> (usize, Vec<CallerOutcome>) {
    let (mut answered, mut unanswered) = (0, Vec::new());
    for i in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        match complete(at, "lookup", &format!("{name}/{i}"), &format!("{name} {i}"), 20).await {
            CallerOutcome::Answer(_) => answered += 1,
            other => unanswered.push(other),
        }
    }
    (answered, unanswered)
}

/// Rolls a version out under load; returns the outcomes of requests that were not answered, and the
/// largest number of engines that loaded at once.
async fn roll_out_under_load(fleet: &Fleet) -> (Vec<CallerOutcome>, usize) {
    fleet.declare(vec![pool(fleet, "1", &[])]).await;
    wait_for_version(fleet, "1", ROLL_OUT_TIMEOUT).await;
    let stop = Arc::new(AtomicBool::new(false));
    let callers = (0..8).map(|i| {
        let at = fleet.instances[i % 3].caller_address;
        tokio::spawn(request_until_stopped(at, format!("asker-{i}"), stop.clone()))
    });
    let callers: Vec<_> = callers.collect();
    sleep(Duration::from_millis(300)).await;
    fleet.declare(vec![pool(fleet, "2", &[])]).await;
    let mut max_loading = 0;
    let started = now();
    loop {
        let (mut loading, mut done) = (0, 0);
        for engine in &fleet.engines {
            let state = engine_state(*engine).await;
            loading += usize::from(state["loading"] == true);
            done += usize::from(state["loading"] == false && state["version"] == "2");
        }
        max_loading = max_loading.max(loading);
        if done == fleet.engines.len() {
            break;
        }
        assert!(started.elapsed() < ROLL_OUT_TIMEOUT, "the roll-out ends within the time-out");
        sleep(Duration::from_millis(10)).await;
    }
    stop.store(true, Ordering::Relaxed);
    let mut unanswered = Vec::new();
    for caller in callers {
        let (answered, rest) = caller.await.unwrap();
        assert!(answered > 0);
        unanswered.extend(rest);
    }
    (unanswered, max_loading)
}

#[tokio::test(flavor = "multi_thread")]
async fn rolls_a_version_out_while_requests_are_answered() {
    let fleet = Fleet::start(fleet_config(3, &[])).await;
    let (unanswered, max_loading) = roll_out_under_load(&fleet).await;
    assert_eq!((unanswered, max_loading), (Vec::new(), 1));
    let detail = wait_for_reason(&fleet, "RolledOut").await;
    let events = detail["events"].as_array().unwrap();
    assert!(events.iter().any(|event| event["reason"] == "Rolling"), "{events:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn loses_requests_with_engine_drain_off() {
    let fleet = Fleet::start(fleet_config(3, &["engine_drain"])).await;
    let (unanswered, _) = roll_out_under_load(&fleet).await;
    assert!(!unanswered.is_empty());
}

/// Rolls a version out in two pools at once; returns the largest number of engines that loaded at
/// once.
async fn roll_out_two_pools(load_ms: u64, switch_off: &'static [&'static str]) -> usize {
    let engine_flags = load_flags(load_ms);
    let config = FleetConfig { loads_at_once: 1, engine_flags, ..fleet_config(4, switch_off) };
    let fleet = Fleet::start(config).await;
    let pools = [("engines", [0, 1]), ("others", [2, 3])];
    let pools = pools.map(|(name, engines)| pool_of(&fleet, name, &engines, "1", &[]));
    fleet.declare(pools.to_vec()).await;
    let started = now();
    let (mut max_loading, mut done) = (0, 0);
    while done < fleet.engines.len() {
        assert!(started.elapsed() < ROLL_OUT_TIMEOUT, "the roll-outs end within the time-out");
        let mut loading = 0;
        done = 0;
        for engine in &fleet.engines {
            let state = engine_state(*engine).await;
            loading += usize::from(state["loading"] == true);
            done += usize::from(state["loading"] == false && state["version"] == "1");
        }
        max_loading = max_loading.max(loading);
    }
    // No load slot stays held after the roll-outs.
    sleep(Duration::from_secs(2)).await;
    let client = KeyValue::new(vec![fleet.key_value], Duration::from_secs(2));
    assert_eq!(client.range("/lacewingspring/weight_loads/").await.unwrap().entries, []);
    max_loading
}

#[tokio::test(flavor = "multi_thread")]
async fn load_slots_bound_the_loads_of_all_pools() {
    assert_eq!(roll_out_two_pools(LOAD_MS, &[]).await, 1);
    assert_eq!(roll_out_two_pools(LONG_LOAD_MS, &["load_slots"]).await, 2);
}

/// Rolls out a version that fails to load, then freezes the controller until another instance can
/// take over its lease; returns how many loads failed.
async fn roll_out_bad_version(fleet: &Fleet) -> usize {
    fleet.declare(vec![pool(fleet, "1", &[])]).await;
    wait_for_version(fleet, "1", ROLL_OUT_TIMEOUT).await;
    fleet.declare(vec![pool(fleet, "bad", &[])]).await;
    sleep(Duration::from_secs(3)).await;
    // The successor must not retry the version.
    let controller = lease_holder(fleet).await.expect("an instance holds the lease");
    let index = fleet.instances.iter().position(|it| it.name == controller).unwrap();
    fleet.instances[index].process.signal(Signal::STOP);
    sleep(Duration::from_secs(8)).await;
    fleet.instances[index].process.signal(Signal::CONT);
    let mut failed_loads = 0;
    for engine in &fleet.engines {
        failed_loads += fleet.journal(*engine).await["loads_failed"].as_u64().unwrap_or(0) as usize;
    }
    failed_loads
}

#[tokio::test(flavor = "multi_thread")]
async fn halts_when_an_engine_crashes_while_loading() {
    let fleet = Fleet::start(fleet_config(3, &[])).await;
    fleet.declare(vec![pool(&fleet, "1", &[])]).await;
    wait_for_version(&fleet, "1", ROLL_OUT_TIMEOUT).await;
    fleet.declare(vec![pool(&fleet, "2", &[])]).await;
    while engine_state(fleet.engines[0]).await["loading"] != true {
        sleep(Duration::from_millis(5)).await;
    }
    fleet.inject_faults(fleet.engines[0], json!({ "crash_now": true })).await;
    wait_for_reason(&fleet, "EngineCrashed").await;
    sleep(Duration::from_secs(3)).await;
    for engine in &fleet.engines[1..] {
        assert!(serves_version(*engine, "1").await);
    }
    let at = fleet.instances[0].caller_address;
    let status =
        call(at, "GET", "/operator/v1/status", &[operator_credential()], String::new()).await;
    let status = status.unwrap().json();
    assert_eq!(
        status["roles"][0]["holder"].as_str().map(str::to_owned),
        lease_holder(&fleet).await
    );
    let calls = status["key_value_calls"].as_array().unwrap();
    assert_eq!(calls.iter().filter(|it| it["calls"].is_u64()).count(), 5, "{calls:?}");
}

/// Returns the instance that holds the controller lease of the pool.
async fn lease_holder(fleet: &Fleet) -> Option<String> {
    let client = KeyValue::new(vec![fleet.key_value], Duration::from_secs(2));
    let entry = client.get("/lacewingspring/pool_controllers/engines").await.ok()??;
    Some(String::from_utf8_lossy(&entry.value).into_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn halts_after_a_bad_version_fails_on_the_first_engine() {
    let fleet = Fleet::start(fleet_config(3, &[])).await;
    assert_eq!(roll_out_bad_version(&fleet).await, 1);
    let detail = wait_for_reason(&fleet, "LoadFailed").await;
    let events = detail["events"].as_array().unwrap();
    assert!(events.iter().any(|event| event["reason"] == "LoadFailed"), "{events:?}");
    for engine in &fleet.engines {
        assert!(serves_version(*engine, "1").await);
    }
    // Declaring a valid version resumes the roll-out.
    fleet.declare(vec![pool(&fleet, "2", &[])]).await;
    wait_for_version(&fleet, "2", ROLL_OUT_TIMEOUT).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn retries_a_bad_version_with_roll_out_halt_off() {
    let fleet = Fleet::start(fleet_config(3, &["roll_out_halt"])).await;
    assert!(roll_out_bad_version(&fleet).await > 1);
}

/// Freezes the controller during a roll-out, lets its successor roll out another version, resumes
/// the first and sends the order that it may have had in flight. Returns the status of that order
/// at each engine, and whether all serve the successor's version after `RECONCILE_TIME`.
async fn freeze_during_roll_out(fleet: &mut Fleet) -> (Vec<u16>, bool) {
    let checking = SocketAddr::new(fleet.engines[0].ip(), 9_100);
    let flags = ["--slots", "64", "--model", "judge", "--checks-fencing", "--load-ms", "400"];
    fleet.start_stand_in("engine", &[checking], &flags.map(String::from));
    fleet.engines.push(checking);
    while get(checking, "/faults").await.is_err() {
        sleep(Duration::from_millis(20)).await;
    }
    fleet.declare(vec![pool(fleet, "1", &[checking])]).await;
    wait_for_version(fleet, "1", ROLL_OUT_TIMEOUT).await;
    fleet.declare(vec![pool(fleet, "2", &[checking])]).await;
    let first = fleet.engines[0];
    while engine_state(first).await["loading"] != true {
        sleep(Duration::from_millis(5)).await;
    }
    let fencing = engine_state(first).await["fencing"].clone();
    let frozen_controller = lease_holder(fleet).await.expect("an instance holds the lease");
    let index = fleet.instances.iter().position(|it| it.name == frozen_controller).unwrap();
    fleet.instances[index].process.signal(Signal::STOP);
    fleet.declare(vec![pool(fleet, "3", &[checking])]).await;
    wait_for_version(fleet, "3", ROLL_OUT_TIMEOUT).await;
    assert_ne!(lease_holder(fleet).await, Some(frozen_controller));
    fleet.instances[index].process.signal(Signal::CONT);
    let watched = now();
    while watched.elapsed() < Duration::from_secs(3) {
        for engine in &fleet.engines {
            assert_eq!(
                engine_state(*engine).await["version"],
                "3",
                "the resumed controller sent an order"
            );
        }
        sleep(Duration::from_millis(20)).await;
    }
    let late = json!({ "model": "judge", "version": "2", "fencing": fencing }).to_string();
    let mut statuses = Vec::new();
    for engine in &fleet.engines {
        let answer = call(*engine, "PUT", "/v1/state", &[], late.clone()).await;
        statuses.push(answer.expect("a response").status);
    }
    let until: Instant = now() + RECONCILE_TIME;
    while now() < until {
        sleep(Duration::from_millis(100)).await;
    }
    let mut undone = true;
    for engine in &fleet.engines {
        undone &= serves_version(*engine, "3").await;
    }
    (statuses, undone)
}

#[tokio::test(flavor = "multi_thread")]
async fn late_order_of_a_frozen_controller_is_undone() {
    let mut fleet = Fleet::start(fleet_config(1, &[])).await;
    assert_eq!(freeze_during_roll_out(&mut fleet).await, (vec![200, 409], true));
}

#[tokio::test(flavor = "multi_thread")]
async fn late_order_persists_with_reconcile_off() {
    let mut fleet = Fleet::start(fleet_config(1, &["reconcile"])).await;
    assert_eq!(freeze_during_roll_out(&mut fleet).await, (vec![200, 409], false));
}

/// Changes an engine's version by hand during an outage of the key-value service; returns whether a
/// controller changed it back during the outage.
async fn changed_back_in_outage(fleet: &Fleet) -> bool {
    fleet.declare(vec![pool(fleet, "1", &[])]).await;
    wait_for_version(fleet, "1", ROLL_OUT_TIMEOUT).await;
    fleet.inject_faults(fleet.key_value, json!({ "down": true })).await;
    sleep(Duration::from_secs(4)).await;
    let by_hand = json!({ "model": "judge", "version": "0" }).to_string();
    call(fleet.engines[0], "PUT", "/v1/state", &[], by_hand).await.expect("a response");
    sleep(RECONCILE_TIME).await;
    let changed_back = !serves_version(fleet.engines[0], "0").await;
    let outcome =
        complete(fleet.instances[0].caller_address, "lookup", "outage", "in the outage", 3).await;
    assert!(matches!(outcome, CallerOutcome::Answer(_)), "{outcome:?}");
    fleet.inject_faults(fleet.key_value, json!({ "down": false })).await;
    wait_for_version(fleet, "1", ROLL_OUT_TIMEOUT).await;
    changed_back
}

#[tokio::test(flavor = "multi_thread")]
async fn sends_no_order_during_a_key_value_outage() {
    let fleet = Fleet::start(fleet_config(2, &[])).await;
    assert!(!changed_back_in_outage(&fleet).await);
    // Only lease renewals are due: one a pool every second, a third of the lease's time to live of
    // three seconds.
    sleep(Duration::from_secs(2)).await;
    call(fleet.key_value, "DELETE", "/calls", &[], String::new()).await.expect("a response");
    sleep(Duration::from_secs(6)).await;
    let calls = get(fleet.key_value, "/calls").await.unwrap().json();
    let (leases, writes) = (calls["leases"].as_u64(), calls["writes"].as_u64());
    assert!((5..=7).contains(&leases.unwrap()) && writes == Some(0), "{calls}");
}

#[tokio::test(flavor = "multi_thread")]
async fn sends_orders_in_an_outage_with_lease_clock_off() {
    let fleet = Fleet::start(fleet_config(2, &["lease_clock"])).await;
    assert!(changed_back_in_outage(&fleet).await);
}
