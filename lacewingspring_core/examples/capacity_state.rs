//! Measures the memory and processor time of each role's state at several sizes.
//!
//! Run with `cargo run --release -p lacewingspring_core --example capacity_state`. Memory is the
//! growth of the resident set per copy of the state; times are means per call.

use std::{hint::black_box, net::SocketAddr, time::Duration};

use capacity_support::{
    Series, mean_call_time, memory_in_new_process, print_header, requested_measurement,
    resident_bytes_each,
};
use lacewingspring_core::{
    catalog::Catalog,
    gate::{Cost, Gate, PermitRequest, Prefix, Ticket},
    key_index::{HomeTenure, KeyId, KeyIndex, KeyIndexConfig, Outcome, Runner},
    limits::{Demand, ShareConfig, ShareLedger, ShareLimiter},
    membership::{ListedInstance, Member, Membership, MembershipConfig, View},
    names::WorkspaceName,
    resources::{EnginePoolSpec, PoolKind, Resource, Spec, UpstreamSpec, WorkspaceSpec},
};

mod capacity_support;

/// Numbers of upstreams of the measured gates.
const GATE_UPSTREAMS: [usize; 4] = [16, 64, 230, 460];

/// Permits granted on each upstream of a measured gate.
const PERMITS: u64 = 8;

/// Numbers of settled keys in the measured key indexes.
const KEYS: [usize; 4] = [1_000, 10_000, 50_000, 200_000];

/// Numbers of instances that hold shares of one workspace.
const HOLDERS: [usize; 4] = [9, 40, 120, 350];

/// Numbers of workspaces and upstreams of the measured catalogs, with 3 to 5 upstreams per workspace.
const CATALOGS: [(usize, usize); 4] = [(100, 500), (300, 1_000), (610, 2_000), (1_200, 4_000)];

/// Numbers of members of the views in which role holders are looked up.
const MEMBERS: [usize; 4] = [9, 40, 120, 350];

fn main() {
    if let Some((kind, size)) = requested_measurement() {
        println!("{}", memory_of(&kind, size));
        return;
    }
    print_header();
    gates();
    indexes();
    ledgers();
    catalogs();
    views();
}

/// Returns the resident memory of one kind of state at a size, in bytes.
fn memory_of(kind: &str, size: usize) -> f64 {
    match kind {
        "gate" => resident_bytes_each(10, || busy_gate(size)),
        "index" => resident_bytes_each(1, || filled_index(size)),
        "ledger" => resident_bytes_each(100, || ledger(size)),
        "limiters" => resident_bytes_each(20, || share_limiters(size)),
        "view" => resident_bytes_each(20, || (membership(size), view(size))),
        "catalog" => {
            let resources = CATALOGS.iter().find(|(workspaces, _)| *workspaces == size);
            let resources =
                resources.map(|(workspaces, upstreams)| resources_of(*workspaces, *upstreams));
            let resources = resources.unwrap_or_default();
            resident_bytes_each(10, || Catalog::new(1, &resources))
        }
        _ => 0.0,
    }
}

fn share_limiters(workspaces: usize) -> Vec<ShareLimiter> {
    (0..workspaces).map(|_| ShareLimiter::new(ShareConfig::default(), Duration::ZERO)).collect()
}

fn gates() {
    let mut memory = Series::new("gate with 8 permits an upstream by upstreams, kB");
    for count in GATE_UPSTREAMS {
        memory.add(count, memory_in_new_process("gate", count) / 1e3);
    }
    memory.print();
}

fn busy_gate(count: usize) -> Gate {
    let mut gate = Gate::new((0..count).map(upstream));
    for call in 0..count as u64 * PERMITS {
        gate.request_permit(Duration::from_millis(call), Ticket(call), permit_request(call));
    }
    gate
}

fn permit_request(call: u64) -> PermitRequest {
    let prefixes = (0..4).map(|i| Prefix { hash: call * 4 + i, tokens: 64 << i }).collect();
    let cost = Cost { prompt_tokens: 400, output_tokens: 256 };
    let workspace = WorkspaceName::from(format!("workspace-{:03}", call % 610));
    PermitRequest {
        prefixes,
        max_wait: Duration::from_secs(30),
        ..PermitRequest::new((call % 4) as u8, workspace, cost)
    }
}

fn indexes() {
    let mut memory = Series::new("key index by settled keys, bytes a key");
    let mut time = Series::new("register, dispatch and finish of one key by keys, ns");
    let mut view_change = Series::new("change of the view by open keys, 350 members, ms");
    let view = view(350);
    for count in KEYS {
        memory.add(count, memory_in_new_process("index", count) / count as f64);
        let mut index = filled_index(count);
        let spent = mean_call_time(4_000, |i| run_key(&mut index, count + i as usize));
        time.add(count, spent.as_nanos() as f64);
        let ids: Vec<_> = (0..(count / 40).min(1_000)).map(key).collect();
        let spent = mean_call_time(1, |_| {
            black_box(ids.iter().filter(|id| view.holders(*id, 2, None).len() == 2).count());
        });
        view_change.add(ids.len(), spent.as_secs_f64() * 1e3);
    }
    memory.print();
    time.print();
    view_change.print();
}

fn filled_index(count: usize) -> KeyIndex {
    let cfg = KeyIndexConfig { learning: Duration::ZERO, ..KeyIndexConfig::default() };
    let mut index = KeyIndex::new(cfg, Duration::ZERO);
    for i in 0..count {
        run_key(&mut index, i);
    }
    index
}

fn run_key(index: &mut KeyIndex, i: usize) {
    let now = Duration::from_micros(i as u64);
    let id = key(i);
    let runner = Runner { instance: format!("instance-{:03}", i % 350).into(), incarnation: 1 };
    let fingerprint = format!("{i:064x}").into();
    index.register(now, id.clone(), fingerprint, runner.clone(), HomeTenure::Established);
    index.request_dispatch(now, &id, &runner, format!("upstream-{:04}", i % 2_000).into());
    index.record_outcome(now, &id, &runner, Outcome::Answered);
}

fn key(i: usize) -> KeyId {
    KeyId { workspace: format!("workspace-{:03}", i % 610).into(), key: format!("{i:036x}").into() }
}

fn ledgers() {
    let mut memory = Series::new("share ledger of a workspace by holders, kB");
    let mut time = Series::new("grant of a share by holders, ns");
    for count in HOLDERS {
        memory.add(count, memory_in_new_process("ledger", count) / 1e3);
        let mut ledger = ledger(count);
        let spent = mean_call_time(1_000, |i| {
            let now = Duration::from_millis(2_000 + u64::from(i) * 1_000 / count as u64);
            let name = format!("instance-{:03}", i as usize % count);
            black_box(ledger.grant(now, &name.as_str().into(), demand(u64::from(i) + 2)));
        });
        time.add(count, spent.as_nanos() as f64);
    }
    memory.print();
    time.print();
    let mut limiters = Series::new("share limiters of an instance by workspaces, kB");
    for (count, _) in CATALOGS {
        limiters.add(count, memory_in_new_process("limiters", count) / 1e3);
    }
    limiters.print();
}

fn ledger(holders: usize) -> ShareLedger {
    let spec = WorkspaceSpec { credentials: vec![], weight: 1, limits: Default::default() };
    let mut ledger = ShareLedger::new(ShareConfig::default(), spec.limits, Duration::ZERO);
    ledger.end_grace_period(Duration::ZERO);
    ledger.set_member_counts(holders, holders);
    for i in 0..holders {
        let name = format!("instance-{i:03}");
        ledger.grant(Duration::from_secs(1), &name.as_str().into(), demand(1));
    }
    ledger
}

fn demand(ask: u64) -> Demand {
    Demand { ask, rate: 2.0, concurrency: 3, in_use: 2, held: None }
}

fn catalogs() {
    let mut memory = Series::new("catalog by workspaces (with 500 to 4,000 upstreams), kB");
    let mut time = Series::new("build of the catalog by workspaces, us");
    for (workspaces, upstreams) in CATALOGS {
        let resources = resources_of(workspaces, upstreams);
        memory.add(workspaces, memory_in_new_process("catalog", workspaces) / 1e3);
        let spent = mean_call_time(20, |i| {
            black_box(Catalog::new(u64::from(i), &resources));
        });
        time.add(workspaces, spent.as_secs_f64() * 1e6);
    }
    memory.print();
    time.print();
}

fn resources_of(workspaces: usize, upstreams: usize) -> Vec<Resource> {
    let workspace = |i: usize| Resource {
        name: format!("workspace-{i:03}"),
        spec: Spec::Workspace(WorkspaceSpec {
            credentials: vec![format!("{i:064x}"); 2],
            weight: 1,
            limits: Default::default(),
        }),
    };
    let pool = |i: usize| Resource {
        name: format!("pool-{i}"),
        spec: Spec::EnginePool(EnginePoolSpec {
            kind: PoolKind::Engine,
            model: format!("model-{i}"),
            adapter: String::new(),
            version: "1".to_owned(),
            role: String::new(),
            managed: false,
            at_once: 1,
            upstreams: (i..upstreams).step_by(12).map(upstream).collect(),
        }),
    };
    (0..workspaces).map(workspace).chain((0..12).map(pool)).collect()
}

fn upstream(i: usize) -> UpstreamSpec {
    UpstreamSpec {
        name: format!("upstream-{i:04}").into(),
        address: format!("10.20.{}.{}:9000", i / 250, i % 250),
        data_centre: format!("data-centre-{}", i % 9).into(),
        slots: 16,
        prefill_tokens_per_second: 20_000.0,
        decode_ms: 10.0,
        kv_tokens: 400_000,
        checks_fencing: false,
        leaving: false,
    }
}

fn views() {
    let mut role_holder = Series::new("look-up of a role holder by members, ns");
    let mut workspace_homes = Series::new("look-up of the homes of 610 workspaces by members, us");
    let mut built = Series::new("build of the view by members, us");
    let mut memory = Series::new("membership and view by members, kB");
    let names: Vec<WorkspaceName> =
        (0..610).map(|i| WorkspaceName::from(format!("workspace-{i:03}"))).collect();
    for count in MEMBERS {
        let view = view(count);
        let spent = mean_call_time(1_000, |i| {
            black_box(view.holder(&i, None));
        });
        role_holder.add(count, spent.as_nanos() as f64);
        let spent = mean_call_time(10, |_| {
            black_box(names.iter().filter(|name| view.holder(*name, None).is_some()).count());
        });
        workspace_homes.add(count, spent.as_secs_f64() * 1e6);
        let membership = membership(count);
        let spent = mean_call_time(1_000, |_| {
            black_box(membership.view(Duration::from_secs(1)));
        });
        built.add(count, spent.as_secs_f64() * 1e6);
        memory.add(count, memory_in_new_process("view", count) / 1e3);
    }
    role_holder.print();
    workspace_homes.print();
    built.print();
    memory.print();
}

fn view(count: usize) -> View {
    let mut view = membership(count).view(Duration::from_secs(1));
    for member in &mut view.members {
        member.state = lacewingspring_core::membership::MemberState::Live;
    }
    view
}

fn membership(count: usize) -> Membership {
    let list: Vec<_> = (0..count).map(listed).collect();
    let own = Member {
        name: list[0].name.clone(),
        data_centre: list[0].data_centre.clone(),
        caller_address: list[0].caller_address,
        peer_address: list[0].peer_address,
        incarnation: 1,
    };
    let mut membership = Membership::new(MembershipConfig::default(), own, 1);
    membership.observe_list(Duration::ZERO, list);
    membership
}

fn listed(i: usize) -> ListedInstance {
    let address = SocketAddr::from(([10, 20, 30, 40], 1_000 + i as u16));
    ListedInstance {
        name: format!("instance-{i:03}").into(),
        data_centre: format!("data-centre-{}", i % 9).into(),
        caller_address: address,
        peer_address: address,
        leaving: false,
    }
}
