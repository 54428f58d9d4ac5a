//! Pool controllers against real processes: roll-outs, a frozen holder, a bad version, an outage.

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

/// Time of a load, in milliseconds.
const LOAD_MS: u64 = 400;

/// Time of a load that two pools which start within seconds of each other make at once, in
/// milliseconds.
const LONG_LOAD_MS: u64 = 3_000;

/// Longest wait for a roll-out, with the lease of a holder that died.
const ROLL_OUT: Duration = Duration::from_secs(30);

/// Time in which a late order must be undone: a round that finds it, the drain and the load.
const UNDONE: Duration = Duration::from_secs(4);

fn load_flags(load_ms: u64) -> Vec<String> {
    vec!["--load-ms".to_owned(), load_ms.to_string()]
}

fn plan(engines: usize, switch_off: &'static [&'static str]) -> FleetConfig {
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

/// The pool with all engines of the fleet, ordered to serve a version.
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

async fn state(engine: SocketAddr) -> Value {
    get(engine, "/v1/state").await.map_or(Value::Null, |answer| answer.json())
}

async fn serve(engine: SocketAddr, version: &str) -> bool {
    let state = state(engine).await;
    state["version"] == version && state["loading"] == false
}

async fn wait_for(fleet: &Fleet, version: &str, limit: Duration) {
    let all = async {
        for engine in &fleet.engines {
            while !serve(*engine, version).await {
                sleep(Duration::from_millis(20)).await;
            }
        }
    };
    timeout(limit, all).await.expect("every engine serves the version in time");
}

async fn describe(fleet: &Fleet) -> Value {
    let at = fleet.instances[0].caller_address;
    let path = "/operator/v1/resources/engine_pool/engines";
    call(at, "GET", path, &[operator_credential()], String::new()).await.unwrap().json()
}

/// Returns the reason of the condition once it is the wanted one.
async fn wait_for_reason(fleet: &Fleet, reason: &str) -> Value {
    let told = timeout(ROLL_OUT, async {
        loop {
            let detail = describe(fleet).await;
            let conditions = detail["status"]["conditions"].as_array().unwrap();
            if conditions.iter().any(|it| it["type"] == "RolledOut" && it["reason"] == reason) {
                return detail;
            }
            sleep(Duration::from_millis(50)).await;
        }
    });
    told.await.expect("the reason is told in time")
}

/// Asks for completions until told to stop; returns those that were not answered.
async fn ask(at: SocketAddr, name: String, stop: Arc<AtomicBool>) -> (usize, Vec<CallerOutcome>) {
    let (mut answered, mut others) = (0, Vec::new());
    for i in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        match complete(at, "lookup", &format!("{name}/{i}"), &format!("{name} {i}"), 20).await {
            CallerOutcome::Answer(_) => answered += 1,
            other => others.push(other),
        }
    }
    (answered, others)
}

/// Rolls a version out under load; returns what callers got beside answers, and the most engines
/// that loaded at once.
async fn roll_out_under_load(fleet: &Fleet) -> (Vec<CallerOutcome>, usize) {
    fleet.declare(vec![pool(fleet, "1", &[])]).await;
    wait_for(fleet, "1", ROLL_OUT).await;
    let stop = Arc::new(AtomicBool::new(false));
    let asking = (0..8).map(|i| {
        let at = fleet.instances[i % 3].caller_address;
        tokio::spawn(ask(at, format!("asker-{i}"), stop.clone()))
    });
    let asking: Vec<_> = asking.collect();
    sleep(Duration::from_millis(300)).await;
    fleet.declare(vec![pool(fleet, "2", &[])]).await;
    let mut most = 0;
    let started = now();
    loop {
        let (mut loading, mut done) = (0, 0);
        for engine in &fleet.engines {
            let state = state(*engine).await;
            loading += usize::from(state["loading"] == true);
            done += usize::from(state["loading"] == false && state["version"] == "2");
        }
        most = most.max(loading);
        if done == fleet.engines.len() {
            break;
        }
        assert!(started.elapsed() < ROLL_OUT, "the roll-out ends in time");
        sleep(Duration::from_millis(10)).await;
    }
    stop.store(true, Ordering::Relaxed);
    let mut others = Vec::new();
    for asking in asking {
        let (answered, rest) = asking.await.unwrap();
        assert!(answered > 0);
        others.extend(rest);
    }
    (others, most)
}

#[tokio::test(flavor = "multi_thread")]
async fn rolls_a_version_out_while_requests_are_answered() {
    let fleet = Fleet::start(plan(3, &[])).await;
    let (others, most) = roll_out_under_load(&fleet).await;
    assert_eq!((others, most), (Vec::new(), 1));
    let detail = wait_for_reason(&fleet, "RolledOut").await;
    let events = detail["events"].as_array().unwrap();
    assert!(events.iter().any(|event| event["reason"] == "Rolling"), "{events:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn loses_requests_without_the_drain() {
    let fleet = Fleet::start(plan(3, &["engine_drain"])).await;
    let (others, _) = roll_out_under_load(&fleet).await;
    assert!(!others.is_empty());
}

/// Rolls a version out in two pools at once; returns the most engines that loaded at once.
async fn roll_out_two_pools(load_ms: u64, switch_off: &'static [&'static str]) -> usize {
    let engine_flags = load_flags(load_ms);
    let plan = FleetConfig { loads_at_once: 1, engine_flags, ..plan(4, switch_off) };
    let fleet = Fleet::start(plan).await;
    let pools = [("engines", [0, 1]), ("others", [2, 3])];
    let pools = pools.map(|(name, engines)| pool_of(&fleet, name, &engines, "1", &[]));
    fleet.declare(pools.to_vec()).await;
    let started = now();
    let (mut most, mut done) = (0, 0);
    while done < fleet.engines.len() {
        assert!(started.elapsed() < ROLL_OUT, "the roll-outs end in time");
        let mut loading = 0;
        done = 0;
        for engine in &fleet.engines {
            let state = state(*engine).await;
            loading += usize::from(state["loading"] == true);
            done += usize::from(state["loading"] == false && state["version"] == "1");
        }
        most = most.max(loading);
    }
    sleep(Duration::from_secs(2)).await;
    let client = KeyValue::new(vec![fleet.key_value], Duration::from_secs(2));
    assert_eq!(client.range("/lacewingspring/weight_loads/").await.unwrap().entries, []);
    most
}

#[tokio::test(flavor = "multi_thread")]
async fn pools_share_the_loads_of_the_fleet() {
    assert_eq!(roll_out_two_pools(LOAD_MS, &[]).await, 1);
    assert_eq!(roll_out_two_pools(LONG_LOAD_MS, &["load_slots"]).await, 2);
}

/// Rolls a version out that can't be loaded; returns how many engines were ordered to load it.
async fn roll_out_bad(fleet: &Fleet) -> usize {
    fleet.declare(vec![pool(fleet, "1", &[])]).await;
    wait_for(fleet, "1", ROLL_OUT).await;
    fleet.declare(vec![pool(fleet, "bad", &[])]).await;
    sleep(Duration::from_secs(3)).await;
    // A successor must not try the version again.
    let controller = holder(fleet).await.expect("a controller");
    let index = fleet.instances.iter().position(|it| it.name == controller).unwrap();
    fleet.instances[index].process.signal(Signal::STOP);
    sleep(Duration::from_secs(8)).await;
    fleet.instances[index].process.signal(Signal::CONT);
    let mut loads = 0;
    for engine in &fleet.engines {
        loads += fleet.journal(*engine).await["loads_failed"].as_u64().unwrap_or(0) as usize;
    }
    loads
}

#[tokio::test(flavor = "multi_thread")]
async fn halts_when_an_engine_crashes_in_its_load() {
    let fleet = Fleet::start(plan(3, &[])).await;
    fleet.declare(vec![pool(&fleet, "1", &[])]).await;
    wait_for(&fleet, "1", ROLL_OUT).await;
    fleet.declare(vec![pool(&fleet, "2", &[])]).await;
    while state(fleet.engines[0]).await["loading"] != true {
        sleep(Duration::from_millis(5)).await;
    }
    fleet.inject_faults(fleet.engines[0], json!({ "crash_now": true })).await;
    wait_for_reason(&fleet, "EngineCrashed").await;
    sleep(Duration::from_secs(3)).await;
    for engine in &fleet.engines[1..] {
        assert!(serve(*engine, "1").await);
    }
    let at = fleet.instances[0].caller_address;
    let status =
        call(at, "GET", "/operator/v1/status", &[operator_credential()], String::new()).await;
    let status = status.unwrap().json();
    assert_eq!(status["roles"][0]["holder"].as_str().map(str::to_owned), holder(&fleet).await);
    let calls = status["key_value_calls"].as_array().unwrap();
    assert_eq!(calls.iter().filter(|it| it["calls"].is_u64()).count(), 5, "{calls:?}");
}

/// Returns the instance that has the lease of the pool.
async fn holder(fleet: &Fleet) -> Option<String> {
    let client = KeyValue::new(vec![fleet.key_value], Duration::from_secs(2));
    let entry = client.get("/lacewingspring/pool_controllers/engines").await.ok()??;
    Some(String::from_utf8_lossy(&entry.value).into_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn halts_a_bad_version_on_its_first_engine() {
    let fleet = Fleet::start(plan(3, &[])).await;
    assert_eq!(roll_out_bad(&fleet).await, 1);
    let detail = wait_for_reason(&fleet, "LoadFailed").await;
    let events = detail["events"].as_array().unwrap();
    assert!(events.iter().any(|event| event["reason"] == "LoadFailed"), "{events:?}");
    for engine in &fleet.engines {
        assert!(serve(*engine, "1").await);
    }
    // A declaration of a sound version goes on.
    fleet.declare(vec![pool(&fleet, "2", &[])]).await;
    wait_for(&fleet, "2", ROLL_OUT).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn tries_a_bad_version_again_without_the_halt() {
    let fleet = Fleet::start(plan(3, &["roll_out_halt"])).await;
    assert!(roll_out_bad(&fleet).await > 1);
}

/// Freezes the controller in mid roll-out, lets its successor roll out another version, thaws it,
/// and sends the order that it might have had under way. Returns the status of that order at each
/// engine and whether all serve the successor's version soon after.
async fn freeze_in_mid_roll_out(fleet: &mut Fleet) -> (Vec<u16>, bool) {
    let checking = SocketAddr::new(fleet.engines[0].ip(), 9_100);
    let flags = ["--slots", "64", "--model", "judge", "--checks-fencing", "--load-ms", "400"];
    fleet.start_stand_in("engine", &[checking], &flags.map(String::from));
    fleet.engines.push(checking);
    while get(checking, "/faults").await.is_err() {
        sleep(Duration::from_millis(20)).await;
    }
    fleet.declare(vec![pool(fleet, "1", &[checking])]).await;
    wait_for(fleet, "1", ROLL_OUT).await;
    fleet.declare(vec![pool(fleet, "2", &[checking])]).await;
    let first = fleet.engines[0];
    while state(first).await["loading"] != true {
        sleep(Duration::from_millis(5)).await;
    }
    let fencing = state(first).await["fencing"].clone();
    let frozen = holder(fleet).await.expect("a controller");
    let index = fleet.instances.iter().position(|it| it.name == frozen).unwrap();
    fleet.instances[index].process.signal(Signal::STOP);
    fleet.declare(vec![pool(fleet, "3", &[checking])]).await;
    wait_for(fleet, "3", ROLL_OUT).await;
    assert_ne!(holder(fleet).await, Some(frozen));
    fleet.instances[index].process.signal(Signal::CONT);
    let watched = now();
    while watched.elapsed() < Duration::from_secs(3) {
        for engine in &fleet.engines {
            assert_eq!(state(*engine).await["version"], "3", "the thawed holder gave an order");
        }
        sleep(Duration::from_millis(20)).await;
    }
    let late = json!({ "model": "judge", "version": "2", "fencing": fencing }).to_string();
    let mut statuses = Vec::new();
    for engine in &fleet.engines {
        let answer = call(*engine, "PUT", "/v1/state", &[], late.clone()).await;
        statuses.push(answer.expect("an answer").status);
    }
    let until: Instant = now() + UNDONE;
    while now() < until {
        sleep(Duration::from_millis(100)).await;
    }
    let mut undone = true;
    for engine in &fleet.engines {
        undone &= serve(*engine, "3").await;
    }
    (statuses, undone)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_holder_changes_nothing_for_long() {
    let mut fleet = Fleet::start(plan(1, &[])).await;
    assert_eq!(freeze_in_mid_roll_out(&mut fleet).await, (vec![200, 409], true));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_order_stays_without_reconciling() {
    let mut fleet = Fleet::start(plan(1, &["reconcile"])).await;
    assert_eq!(freeze_in_mid_roll_out(&mut fleet).await, (vec![200, 409], false));
}

/// Changes an engine by hand while the key-value service is out; returns whether it was ordered
/// back during the outage.
async fn change_in_outage(fleet: &Fleet) -> bool {
    fleet.declare(vec![pool(fleet, "1", &[])]).await;
    wait_for(fleet, "1", ROLL_OUT).await;
    fleet.inject_faults(fleet.key_value, json!({ "down": true })).await;
    sleep(Duration::from_secs(4)).await;
    let by_hand = json!({ "model": "judge", "version": "0" }).to_string();
    call(fleet.engines[0], "PUT", "/v1/state", &[], by_hand).await.expect("an answer");
    sleep(UNDONE).await;
    let ordered = !serve(fleet.engines[0], "0").await;
    let told =
        complete(fleet.instances[0].caller_address, "lookup", "outage", "in the outage", 3).await;
    assert!(matches!(told, CallerOutcome::Answer(_)), "{told:?}");
    fleet.inject_faults(fleet.key_value, json!({ "down": false })).await;
    wait_for(fleet, "1", ROLL_OUT).await;
    ordered
}

#[tokio::test(flavor = "multi_thread")]
async fn gives_no_order_while_the_key_value_service_is_out() {
    let fleet = Fleet::start(plan(2, &[])).await;
    assert!(!change_in_outage(&fleet).await);
    // One renewal a pool each third of the time to live of three seconds, and nothing else.
    sleep(Duration::from_secs(2)).await;
    call(fleet.key_value, "DELETE", "/calls", &[], String::new()).await.expect("an answer");
    sleep(Duration::from_secs(6)).await;
    let calls = get(fleet.key_value, "/calls").await.unwrap().json();
    let (leases, writes) = (calls["leases"].as_u64(), calls["writes"].as_u64());
    assert!((5..=7).contains(&leases.unwrap()) && writes == Some(0), "{calls}");
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_in_an_outage_without_the_look_at_the_lease() {
    let fleet = Fleet::start(plan(2, &["lease_clock"])).await;
    assert!(change_in_outage(&fleet).await);
}
