//! Measures the size of messages between instances and the memory and traffic of connections and
//! of the declared state.
//!
//! Run with `cargo run --release -p lacewingspring --example capacity_wire`. Bytes on the wire are
//! UDP payloads counted by QUIC over loopback, without IP and UDP headers.

use std::{
    error::Error,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use capacity_support::{
    BATCHES, Series, mean_call_time, memory_in_new_process, print_header, requested_measurement,
    resident_bytes_each,
};
use hdrhistogram::Histogram;
use lacewingspring::{
    declared::{DeclaredPolicy, DeclaredStore},
    peers::{
        Authority, GateId, GatePermitRequest, KeyCall, KeyReply, Message, ShareCall, ShareReply,
        codec,
    },
    platform::key_value::KeyValue,
};
use lacewingspring_core::{
    catalog::digest_hex,
    config::{Change, DeclaredState, Head, Transaction},
    gate::{Cost, Outcome as RunOutcome, PermitRequest, Prefix},
    key_index::{DispatchVerdict, KeyId, Outcome, RegisterVerdict, Runner},
    limits::{Demand, Share},
    resources::Resource,
};
use quinn::{Connection, Endpoint, TransportConfig};
use serde_json::json;
use tokio::time::sleep;

#[path = "../../lacewingspring_core/examples/capacity_support/mod.rs"]
mod capacity_support;

/// Keep-alive interval of a connection, as in the daemon.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// Time over which the keep-alive traffic of idle connections is measured.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// Numbers of idle connections to measure.
const CONNECTIONS: [usize; 4] = [1, 4, 16, 64];

/// Numbers of connections to measure with the daemon's stream limit.
const WIDE_CONNECTIONS: [usize; 4] = [1, 4, 8, 16];

/// Most concurrent streams per connection, as in the daemon.
const STREAMS: u32 = 65_536;

/// Most concurrent streams per connection, the default of `quinn`.
const FEW_STREAMS: u32 = 100;

/// Numbers of exchanges over one connection to measure.
const EXCHANGES: [usize; 4] = [50, 100, 200, 400];

/// Numbers of workspaces and upstreams of the declared states to measure.
const STATES: [(usize, usize); 4] = [(100, 500), (300, 1_000), (610, 2_000), (1_200, 4_000)];

/// Commit records in a snapshot, as in the daemon.
const HISTORY: u64 = 64;

/// Most changes in one transaction.
const MAX_CHANGES: usize = 100;

/// Numbers of histogram series to measure.
const SERIES: [usize; 4] = [100, 400, 1_000, 2_000];

/// Largest time that a histogram of the daemon records, in microseconds.
const MAX_MICROS: u64 = 600_000_000;

/// Significant decimal digits of a histogram of the daemon.
const SIGNIFICANT_DIGITS: u8 = 1;

type AnyError = Box<dyn Error>;

#[tokio::main]
async fn main() -> Result<(), AnyError> {
    if let Some((kind, size)) = requested_measurement() {
        let bytes = match kind.as_str() {
            "connections" => wide_connections(size).await?,
            _ => memory(&kind, size)?,
        };
        println!("{bytes}");
        return Ok(());
    }
    messages()?;
    println!();
    print_header();
    snapshots()?;
    histograms();
    connections().await
}

/// Returns the resident memory, in bytes, of one kind of state at a size.
fn memory(kind: &str, size: usize) -> Result<f64, AnyError> {
    if kind == "histograms" {
        let build = || Histogram::<u32>::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS);
        return Ok(resident_bytes_each(1, || (0..size).map(|_| build()).collect::<Vec<_>>()));
    }
    let upstreams = STATES.iter().find(|(workspaces, _)| *workspaces == size);
    let upstreams = upstreams.map_or(0, |(_, upstreams)| *upstreams);
    let (_, encoded) = state(size, upstreams)?;
    Ok(resident_bytes_each(10, || install_snapshot(&encoded)))
}

/// Installs a snapshot as an instance does that receives it from a peer.
fn install_snapshot(encoded: &[u8]) -> DeclaredStore {
    let unused = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let kv = KeyValue::new(vec![unused], Duration::from_secs(1));
    let store = DeclaredStore::new(kv, "/p/", DeclaredPolicy::default());
    store.offer_snapshot(encoded).expect("the snapshot is valid");
    store
}

fn messages() -> Result<(), AnyError> {
    println!("| message | frame, bytes |");
    println!("| --- | ---: |");
    let id = KeyId { workspace: "workspace-123".into(), key: format!("{:036x}", 7).into() };
    let runner = Runner { instance: "instance-123".into(), incarnation: 1_700_000_000_000 };
    let upstream = || "upstream-1234".into();
    let demand = Demand { ask: 300, rate: 2.5, concurrency: 3, in_use: 2, held: Some(share()) };
    let register = KeyCall::Register {
        id: id.clone(),
        fingerprint: digest_hex(b"body").into(),
        runner: runner.clone(),
        minted: false,
    };
    let dispatching =
        KeyCall::Dispatching { id: id.clone(), runner: runner.clone(), upstream: upstream() };
    let finished = KeyCall::Finished { id, runner: runner.clone(), outcome: Outcome::Answered };
    let share_request = ShareCall::Request {
        workspace: "workspace-123".into(),
        instance: runner.instance.clone(),
        incarnation: runner.incarnation,
        demand,
    };
    let all = [
        ("Ask", Message::RequestPermit(permit_request())),
        ("Granted", Message::Granted(upstream())),
        ("FirstToken", Message::FirstToken),
        ("Ended", Message::Ended(RunOutcome::Finished(290))),
        ("Key Register", Message::Key(register)),
        ("KeyReply Registered", Message::KeyReply(KeyReply::Register(RegisterVerdict::Registered))),
        ("Key Dispatching", Message::Key(dispatching)),
        ("KeyReply Proceed", Message::KeyReply(KeyReply::Dispatch(DispatchVerdict::Proceed))),
        ("Key Finished", Message::Key(finished.clone())),
        ("Key Copy of Finished", Message::Key(KeyCall::Copy(Box::new(finished)))),
        ("Share Ask", Message::Share(share_request)),
        ("ShareReply Granted", Message::ShareReply(ShareReply::Granted(share()))),
    ];
    for (name, message) in all {
        println!("| {name} | {} |", codec::encode(&message)?.len());
    }
    Ok(())
}

fn share() -> Share {
    Share { ask: 299, rate: 4.2, concurrency: 9, valid_for: Duration::from_secs(5) }
}

fn permit_request() -> GatePermitRequest {
    let gate = GateId { pool: "pool-3".into(), data_centre: "data-centre-3".into() };
    let cost = Cost { prompt_tokens: 600, output_tokens: 256 };
    let prefixes = (0..4).map(|i| Prefix { hash: u64::MAX - i, tokens: 64 << i }).collect();
    let max_wait = Duration::from_millis(29_900);
    GatePermitRequest {
        gate,
        request: PermitRequest {
            prefixes,
            max_wait,
            ..PermitRequest::new(1, "workspace-123".into(), cost)
        },
    }
}

fn snapshots() -> Result<(), AnyError> {
    let mut bytes = Series::new("snapshot by workspaces (with 500 to 4,000 upstreams), kB");
    let mut time = Series::new("taking a peer's snapshot by workspaces, us");
    let mut memory = Series::new("state in force by workspaces, kB");
    let mut changes = Series::new("one change of a workspace in the service by workspaces, bytes");
    let mut change_bytes = Series::new("one change between peers by workspaces, bytes");
    let mut change_time = Series::new("taking one change of a peer by workspaces, us");
    let mut pool = Series::new("largest of 12 pools by upstreams, bytes");
    for (workspaces, upstreams) in STATES {
        let (declared, encoded) = state(workspaces, upstreams)?;
        bytes.add(workspaces, encoded.len() as f64 / 1e3);
        let take = || install_snapshot(&encoded);
        let spent = mean_call_time(10, |_| drop(take()));
        time.add(workspaces, spent.as_secs_f64() * 1e6);
        memory.add(workspaces, memory_in_new_process("state", workspaces) / 1e3);
        let ids = declared.resources.keys();
        let sizes = ids.filter_map(|id| Some((id, declared.stored(id)?)));
        let sizes: Vec<_> = sizes
            .map(|(id, stored)| {
                (id.to_string(), serde_json::to_vec(&stored).map_or(0, |v| v.len()))
            })
            .collect();
        let size_of = |kind: &str| {
            sizes.iter().filter(|(id, _)| id.starts_with(kind)).map(|(_, len)| *len).max()
        };
        let head = serde_json::to_vec(&head(&declared, 1))?.len();
        changes.add(workspaces, (size_of("workspace").unwrap_or_default() + 2 * head) as f64);
        let (len, spent) = one_change(&declared, &encoded)?;
        change_bytes.add(workspaces, len as f64);
        change_time.add(workspaces, spent.as_secs_f64() * 1e6);
        pool.add(upstreams, size_of("engine_pool").unwrap_or_default() as f64);
    }
    for line in [bytes, time, memory, changes, change_bytes, change_time, pool] {
        line.print();
    }
    Ok(())
}

fn head(declared: &DeclaredState, generation: u64) -> Head {
    Head {
        generation,
        digest: declared.digest(),
        changed: declared.resources.keys().next_back().cloned().into_iter().collect(),
        nonce: u64::MAX,
        operator: "operator".into(),
        at_ms: 1_700_000_000_000,
    }
}

fn state(workspaces: usize, upstreams: usize) -> Result<(DeclaredState, Vec<u8>), AnyError> {
    let mut resources = vec![json!({ "kind": "tier", "name": "tier-0", "spec": { "rank": 0 } })];
    for i in 0..workspaces {
        let credentials = [digest_hex(format!("token-{i}").as_bytes())];
        resources.push(json!({ "kind": "workspace", "name": format!("workspace-{i:04}"),
            "spec": { "credentials": credentials } }));
    }
    for i in 0..12 {
        let upstream = |n: usize| {
            json!({ "name": format!("upstream-{n:04}"),
            "address": format!("10.20.{}.{}:9000", n / 250, n % 250),
            "data_centre": format!("data-centre-{}", n % 9) })
        };
        let upstreams: Vec<_> = (i..upstreams).step_by(12).map(upstream).collect();
        resources.push(json!({ "kind": "engine_pool", "name": format!("pool-{i:02}"),
            "spec": { "type": "engine", "model": format!("model-{i}"), "upstreams": upstreams } }));
    }
    let put =
        |value| Ok::<_, serde_json::Error>(Change::Put(serde_json::from_value::<Resource>(value)?));
    let changes = resources.into_iter().map(put).collect::<Result<Vec<_>, _>>()?;
    let mut declared = DeclaredState::default();
    for part in changes.chunks(MAX_CHANGES) {
        let transaction = Transaction { changes: part.to_vec(), expect_generation: None };
        let checked = declared.apply(&transaction);
        declared = checked.map_err(|violations| format!("{violations:?}"))?;
    }
    declared.generation = HISTORY;
    let encoded = encoded(&declared)?;
    Ok((declared, encoded))
}

/// Encodes a state as an instance sends it to a peer.
fn encoded(declared: &DeclaredState) -> Result<Vec<u8>, AnyError> {
    let last = declared.generation;
    let history: Vec<_> =
        (last + 1 - HISTORY..=last).map(|generation| head(declared, generation)).collect();
    let ids = declared.resources.keys();
    let stored: Vec<_> = ids.filter_map(|id| declared.stored(id)).collect();
    let whole = json!({ "head_revision": 1, "resources": stored, "history": history });
    Ok(serde_json::to_vec(&json!({ "whole": whole }))?)
}

/// Returns the size, in bytes, of the message with one changed workspace, and the time to install
/// it.
fn one_change(declared: &DeclaredState, base: &[u8]) -> Result<(usize, Duration), AnyError> {
    let workspace = json!({ "kind": "workspace", "name": "workspace-0001",
        "spec": { "credentials": [digest_hex(b"another token")] } });
    let change = Change::Put(serde_json::from_value(workspace)?);
    let transaction = Transaction { changes: vec![change], expect_generation: None };
    let next = declared.apply(&transaction);
    let next = next.map_err(|violations| format!("{violations:?}"))?;
    let changes = install_snapshot(&encoded(&next)?).encode_since(declared.generation);
    let changes = changes.ok_or("no state is in force")?;
    // A store refuses a second offer of the same changes, so each batch uses a store of its own.
    let stores: Vec<_> = (0..BATCHES).map(|_| install_snapshot(base)).collect();
    let spent = mean_call_time(1, |batch| drop(stores[batch as usize].offer_snapshot(&changes)));
    Ok((changes.len(), spent))
}

fn histograms() {
    let mut memory = Series::new("histograms by series, kB");
    for count in SERIES {
        memory.add(count, memory_in_new_process("histograms", count) / 1e3);
    }
    memory.print();
}

/// A client and a server endpoint with the daemon's transport settings.
struct EndpointPair {
    client: Endpoint,
    server: Endpoint,
}

impl EndpointPair {
    fn bind(streams: u32) -> Result<Self, AnyError> {
        let authority = Authority::create()?;
        let mut transport = TransportConfig::default();
        transport.keep_alive_interval(Some(KEEP_ALIVE));
        transport.max_concurrent_bidi_streams(streams.into());
        let transport = Arc::new(transport);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let identity = authority.issue(&"server".into())?;
        let mut config = identity.server_config()?;
        config.transport_config(transport.clone());
        let server = Endpoint::server(config, address)?;
        let mut client = Endpoint::client(address)?;
        let mut config = authority.issue(&"client".into())?.client_config()?;
        config.transport_config(transport);
        client.set_default_client_config(config);
        tokio::spawn(echo_all(server.clone()));
        Ok(Self { client, server })
    }

    async fn connect(&self) -> Result<Connection, AnyError> {
        Ok(self.client.connect(self.server.local_addr()?, "server")?.await?)
    }
}

/// Echoes every message of every stream.
async fn echo_all(server: Endpoint) {
    while let Some(incoming) = server.accept().await {
        tokio::spawn(async move {
            let Ok(connection) = incoming.await else { return };
            while let Ok((mut tx, mut rx)) = connection.accept_bi().await {
                tokio::spawn(async move {
                    let Ok(message) = codec::read(&mut rx).await else { return };
                    let _ = codec::write(&mut tx, &message).await;
                    let _ = tx.finish();
                });
            }
        });
    }
}

fn wire_bytes(connection: &Connection) -> u64 {
    let stats = connection.stats();
    stats.udp_tx.bytes + stats.udp_rx.bytes
}

async fn connections() -> Result<(), AnyError> {
    let mut handshakes = Series::new("handshakes by connections, both ways, bytes");
    let mut time = Series::new("handshakes by connections, both ends, us of one thread's time");
    let mut idle = Series::new("keep-alive by connections, both ways, bytes/s");
    let mut memory = Series::new("memory of connections, both ends, kB");
    for count in CONNECTIONS {
        let pair = EndpointPair::bind(FEW_STREAMS)?;
        let before = capacity_support::resident_bytes();
        let cpu = process_time();
        let mut open = Vec::new();
        for _ in 0..count {
            open.push(pair.connect().await?);
        }
        time.add(count, (process_time() - cpu) * 1e6);
        sleep(Duration::from_millis(500)).await;
        let total = || open.iter().map(wire_bytes).sum::<u64>();
        let handshake_bytes = total();
        handshakes.add(count, handshake_bytes as f64);
        sleep(IDLE_TIME).await;
        idle.add(count, (total() - handshake_bytes) as f64 / IDLE_TIME.as_secs_f64());
        memory.add(count, (capacity_support::resident_bytes() - before) / 1e3);
    }
    let mut wide = Series::new("memory at the daemon's limit of 65,536 streams, kB");
    for count in WIDE_CONNECTIONS {
        wide.add(count, memory_in_new_process("connections", count) / 1e3);
    }
    for line in [handshakes, time, idle, memory, wide] {
        line.print();
    }
    exchanges().await
}

/// Returns the memory, in bytes, of open connections at both ends.
async fn wide_connections(count: usize) -> Result<f64, AnyError> {
    let pair = EndpointPair::bind(STREAMS)?;
    let before = capacity_support::resident_bytes();
    let mut open = Vec::new();
    for _ in 0..count {
        open.push(pair.connect().await?);
    }
    sleep(Duration::from_millis(200)).await;
    Ok(capacity_support::resident_bytes() - before)
}

async fn exchanges() -> Result<(), AnyError> {
    let mut wire = Series::new("exchanges of a 5-byte frame and its echo, both ways, bytes");
    let mut time = Series::new("processor time of these exchanges, both ends, us");
    let pair = EndpointPair::bind(FEW_STREAMS)?;
    let connection = pair.connect().await?;
    sleep(Duration::from_millis(300)).await;
    for count in EXCHANGES {
        let (before, cpu) = (wire_bytes(&connection), process_time());
        for _ in 0..count {
            let (mut tx, mut rx) = connection.open_bi().await?;
            codec::write(&mut tx, &Message::FirstToken).await?;
            tx.finish()?;
            codec::read(&mut rx).await?;
        }
        wire.add(count, (wire_bytes(&connection) - before) as f64);
        time.add(count, (process_time() - cpu) * 1e6);
    }
    wire.print();
    time.print();
    Ok(())
}

/// Returns the CPU time that this process has used, in seconds.
fn process_time() -> f64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ProcessCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}
