//! Starts a fleet of daemons and stand-ins as processes on a loopback address.

#![allow(dead_code)]

use std::{
    cmp::Reverse,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU8, Ordering},
    time::Duration,
};

use lacewingspring::{
    declared::{Author, DeclaredPolicy, DeclaredStore},
    peers::Authority,
    platform::key_value::KeyValue,
};
use lacewingspring_core::{
    catalog::digest_hex,
    key_index::KeyId,
    names::{InstanceName, RequestKey},
    rendezvous,
};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::time::{Instant, sleep, timeout};

pub use self::http::{call, get};

use self::relay::NetworkPartition;

pub mod caller;
pub mod history;
pub mod http;
pub mod relay;
pub mod timed;

/// Bearer token of the workspace `desk`.
pub const DESK_TOKEN: &str = "desk-token";

/// Bearer token of the workspace `bank`.
pub const BANK_TOKEN: &str = "bank-token";

/// Bearer token of the operator `root`.
pub const OPERATOR_TOKEN: &str = "operator-token";

/// Longest wait for a fleet or its stand-ins to be ready, or for a stand-in to accept faults.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of the next fleet of this process, part of its loopback address.
static NEXT_FLEET_ID: AtomicU8 = AtomicU8::new(1);

/// A process that is killed when dropped.
#[derive(Debug)]
pub struct Process(pub Child);

impl Process {
    /// Sends a signal to the process.
    pub fn signal(&self, signal: rustix::process::Signal) {
        let pid = rustix::process::Pid::from_child(&self.0);
        rustix::process::kill_process(pid, signal).expect("signals a process");
    }

    /// Stops the process until it gets `Signal::CONT`, and waits until all threads have stopped.
    ///
    /// On a busy machine a process still handles requests for some milliseconds after the signal.
    pub fn freeze(&self) {
        let pid = rustix::process::Pid::from_child(&self.0);
        self.signal(rustix::process::Signal::STOP);
        let options = rustix::process::WaitOptions::UNTRACED;
        let status = rustix::process::waitpid(Some(pid), options).expect("waits for a process");
        assert!(status.is_some_and(|(_, status)| status.stopped()), "the process has ended");
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// One instance of the fleet.
#[derive(Debug)]
pub struct Instance {
    /// Name of the instance.
    pub name: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Address on which the instance serves callers.
    pub caller_address: SocketAddr,
    /// Address to which other instances send: that of the relay if the fleet uses relays.
    pub peer_address: SocketAddr,
    /// Process of the daemon.
    pub process: Process,
    settings: PathBuf,
}

/// Size and settings of a test fleet.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Number of instances.
    pub instances: usize,
    /// Number of data centres; instances and upstreams are assigned to them round-robin.
    pub data_centres: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of plain upstreams.
    pub plain_upstreams: usize,
    /// Declared slots of each engine; the stand-in itself has 64, so only the daemon limits how
    /// many runs are concurrent.
    pub slots: u32,
    /// Additional command-line flags of the engine stand-in.
    pub engine_flags: Vec<String>,
    /// Mechanisms of the daemon that the test settings switch off.
    pub switch_off: &'static [&'static str],
    /// Whether instances reach each other through relays, which can drop their datagrams.
    pub use_relays: bool,
    /// Retention of claims, in seconds.
    pub claim_retention_s: u64,
    /// Incarnation of all instances; `None` if each derives it from its start time.
    pub incarnation: Option<u64>,
    /// Most engines of the fleet that may load weights at the same time.
    pub loads_at_once: u32,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            instances: 2,
            data_centres: 1,
            engines: 1,
            plain_upstreams: 1,
            slots: 8,
            engine_flags: Vec::new(),
            switch_off: &[],
            use_relays: false,
            claim_retention_s: 604_800,
            incarnation: None,
            loads_at_once: 4,
        }
    }
}

/// A running fleet with its stand-ins.
#[derive(Debug)]
pub struct Fleet {
    /// Address of the key-value stand-in.
    pub key_value: SocketAddr,
    /// Address of the instance list stand-in.
    pub instance_list: SocketAddr,
    /// Addresses of the engines.
    pub engines: Vec<SocketAddr>,
    /// Addresses of the plain upstreams.
    pub plain_upstreams: Vec<SocketAddr>,
    /// Instances by index.
    pub instances: Vec<Instance>,
    /// Control of the relays between instances; `None` without relays.
    pub partition: Option<NetworkPartition>,
    stand_ins: Vec<Process>,
    loads_at_once: u32,
    ip: IpAddr,
    folder: TempDir,
    switch_off: &'static [&'static str],
    claim_retention_s: u64,
    incarnation: Option<u64>,
}

impl Fleet {
    /// Starts a fleet and waits until all instances see each other and serve requests.
    pub async fn start(config: FleetConfig) -> Self {
        let ip = unique_loopback_ip();
        let folder = tempfile::tempdir().expect("creates a temporary folder");
        let at = |port| SocketAddr::new(ip, port);
        let ports = |base: u16, count: usize| -> Vec<_> {
            (0..count).map(|i| at(base + i as u16)).collect()
        };
        let mut fleet = Self {
            key_value: at(2_379),
            instance_list: at(8_500),
            engines: ports(9_000, config.engines),
            plain_upstreams: ports(9_500, config.plain_upstreams),
            instances: Vec::new(),
            partition: config.use_relays.then(NetworkPartition::default),
            stand_ins: Vec::new(),
            loads_at_once: config.loads_at_once,
            ip,
            folder,
            switch_off: config.switch_off,
            claim_retention_s: config.claim_retention_s,
            incarnation: config.incarnation,
        };
        Authority::create()
            .and_then(|ca| ca.write(fleet.folder.path()))
            .expect("creates an authority");
        fleet.start_stand_in("key-value", &[fleet.key_value], &[]);
        fleet.start_stand_in(
            "instance-list",
            &[fleet.instance_list],
            &["--lag-ms".into(), "200".into()],
        );
        let mut flags: Vec<String> = ["--slots", "64", "--model", "judge"].map(String::from).into();
        flags.extend(config.engine_flags.clone());
        fleet.start_stand_in("engine", &fleet.engines.clone(), &flags);
        fleet.start_stand_in("plain", &fleet.plain_upstreams.clone(), &[]);
        fleet.wait_for_stand_ins().await;
        fleet.declare(resources(&fleet, &config)).await;
        for index in 0..config.instances {
            fleet.add_instance(index, format!("dc{}", index % config.data_centres)).await;
        }
        fleet.wait_until_ready(config.instances).await;
        fleet
    }

    /// Starts a stand-in process that listens on the given addresses; does nothing without any.
    pub fn start_stand_in(&mut self, kind: &str, listen: &[SocketAddr], flags: &[String]) {
        if listen.is_empty() {
            return;
        }
        let mut command = Command::new(binary("lacewingspring_standins"));
        command.arg(kind);
        for address in listen {
            command.arg("--listen").arg(address.to_string());
        }
        command.args(flags).stdout(Stdio::null());
        self.stand_ins.push(Process(command.spawn().expect("starts a stand-in")));
    }

    /// Writes resources to the declared state in one transaction.
    pub async fn declare(&self, resources: Vec<Value>) {
        let client = KeyValue::new(vec![self.key_value], Duration::from_secs(2));
        let store = DeclaredStore::new(client, "/lacewingspring/", DeclaredPolicy::default());
        let changes: Vec<Value> = resources.into_iter().map(|it| json!({ "put": it })).collect();
        let transaction = serde_json::from_value(json!({ "changes": changes }));
        let transaction = transaction.expect("resources of known kinds");
        let author = Author { operator: "root", at_ms: 0 };
        store.commit(&transaction, author).await.expect("commits the resources");
    }

    /// Adds an instance to the fleet: registers it in the instance list and starts its daemon.
    pub async fn add_instance(&mut self, index: usize, data_centre: String) {
        let name = format!("instance-{index}");
        let caller_address = SocketAddr::new(self.ip, 7_000 + index as u16);
        let listen_address = SocketAddr::new(self.ip, 7_500 + index as u16);
        let peer_address = match &self.partition {
            Some(partition) => relay::start(
                SocketAddr::new(self.ip, 7_600 + index as u16),
                listen_address,
                partition,
            ),
            None => listen_address,
        };
        let settings =
            self.write_settings(&name, &data_centre, caller_address, listen_address, peer_address);
        self.register_instance(&name, &data_centre, caller_address, peer_address, "live").await;
        let process = start_daemon(&settings);
        self.instances.push(Instance {
            name,
            data_centre,
            caller_address,
            peer_address,
            process,
            settings,
        });
    }

    /// Kills the daemon of an instance, if it runs, and starts it with the same settings, in a new
    /// incarnation unless the settings fix it.
    pub fn restart(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.process.kill();
        instance.process = start_daemon(&instance.settings);
    }

    /// Registers an instance in the instance list.
    pub async fn register_instance(
        &self,
        name: &str,
        data_centre: &str,
        caller_address: SocketAddr,
        peer_address: SocketAddr,
        state: &str,
    ) {
        let body = json!({
            "ID": name, "Name": "lacewingspring", "Address": caller_address.ip().to_string(),
            "Port": caller_address.port(),
            "Meta": {
                "peers": peer_address.to_string(), "data_centre": data_centre, "state": state
            }
        });
        let path = "/v1/agent/service/register";
        let answer = call(self.instance_list, "PUT", path, &[], body.to_string()).await;
        assert!(answer.expect("registers an instance").status < 300);
    }

    /// Sets faults at a stand-in; retries until the stand-in answers, for at most `READY_TIMEOUT`.
    pub async fn inject_faults(&self, stand_in: SocketAddr, faults: Value) {
        let answer = timeout(READY_TIMEOUT, async {
            loop {
                // A stand-in that is down after a crash closes each connection.
                let answer = call(stand_in, "PUT", "/faults", &[], faults.to_string()).await;
                if let Ok(answer) = answer {
                    return answer;
                }
                sleep(Duration::from_millis(50)).await;
            }
        });
        assert_eq!(answer.await.expect("sets the faults in time").status, 200);
    }

    /// Fetches the journal of a stand-in.
    pub async fn journal(&self, stand_in: SocketAddr) -> Value {
        get(stand_in, "/journal").await.expect("a journal").json()
    }

    /// Waits until each instance sees `members` instances and serves a completion.
    pub async fn wait_until_ready(&self, members: usize) {
        timeout(READY_TIMEOUT, async {
            for instance in &self.instances {
                while !is_ready(instance.caller_address, members).await {
                    sleep(Duration::from_millis(50)).await;
                }
            }
        })
        .await
        .expect("the fleet is ready in time");
    }

    async fn wait_for_stand_ins(&self) {
        let all =
            [self.key_value, self.instance_list].into_iter().chain(self.engines.iter().copied());
        timeout(READY_TIMEOUT, async {
            for address in all.chain(self.plain_upstreams.iter().copied()) {
                while get(address, "/faults").await.is_err() {
                    sleep(Duration::from_millis(20)).await;
                }
            }
        })
        .await
        .expect("the stand-ins are ready in time");
    }

    fn write_settings(
        &self,
        name: &str,
        data_centre: &str,
        caller_address: SocketAddr,
        listen_address: SocketAddr,
        peer_address: SocketAddr,
    ) -> PathBuf {
        let folder = self.folder.path();
        let settings = json!({
            "instance": name, "data_centre": data_centre,
            "listen": {
                "callers": caller_address, "peers": listen_address, "advertised_peers": peer_address
            },
            "key_value": {
                "endpoints": [self.key_value], "timeout_ms": 500,
                "claim_retention_s": self.claim_retention_s
            },
            "instance_list": { "endpoint": self.instance_list },
            "authority": {
                "certificate": folder.join("authority.pem"), "key": folder.join("authority.key")
            },
            "operators": [{
                "name": "root", "role": "change",
                "credential": digest_hex(OPERATOR_TOKEN.as_bytes())
            }],
            "log": { "level": "warn" },
            "timing": { "instance_list_ms": 200, "address_ttl_ms": 1000, "orphan_ms": 1000 },
            "pool_control": { "loads_at_once": self.loads_at_once },
            "test": { "switch_off": self.switch_off, "incarnation": self.incarnation }
        });
        let path = folder.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).expect("writes settings");
        path
    }
}

/// Returns the declared resources of a fleet: two tiers, two engine pools, four services and two
/// workspaces.
fn resources(fleet: &Fleet, config: &FleetConfig) -> Vec<Value> {
    let upstream = |kind: &str, index: usize, address: &SocketAddr, slots: u32| {
        json!({
            "name": format!("{kind}-{index}"), "address": address.to_string(),
            "data_centre": format!("dc{}", index % config.data_centres), "slots": slots
        })
    };
    let engines = fleet.engines.iter().enumerate();
    let engines: Vec<_> = engines.map(|(i, at)| upstream("engine", i, at, config.slots)).collect();
    let plain = fleet.plain_upstreams.iter().enumerate();
    let plain: Vec<_> = plain.map(|(i, at)| upstream("plain", i, at, 8)).collect();
    let workspace = |name: &str, token: &str| {
        let credentials = [digest_hex(token.as_bytes())];
        json!({ "kind": "workspace", "name": name, "spec": { "credentials": credentials } })
    };
    let service = |name: &str, protocol: &str, pool: &str, tier: &str, idempotent: bool| {
        json!({ "kind": "service", "name": name, "spec": {
            "protocol": protocol, "pool": pool, "tier": tier, "idempotent": idempotent
        }})
    };
    let mut booking = service("booking", "plain", "plain", "counter", false);
    booking["spec"]["act_fields"] = json!(["seat", "client"]);
    vec![
        json!({ "kind": "tier", "name": "counter", "spec": { "rank": 0 } }),
        json!({ "kind": "tier", "name": "batch", "spec": { "rank": 1 } }),
        json!({ "kind": "engine_pool", "name": "engines", "spec": {
            "type": "engine", "model": "judge", "upstreams": engines } }),
        json!({ "kind": "engine_pool", "name": "plain", "spec": {
            "type": "plain", "upstreams": plain } }),
        service("lookup", "completions", "engines", "counter", true),
        service("summary", "completions", "engines", "batch", true),
        service("roster", "plain", "plain", "counter", true),
        booking,
        workspace("desk", DESK_TOKEN),
        workspace("bank", BANK_TOKEN),
    ]
}

/// Returns the credential header of the operator `root`.
pub fn operator_credential() -> (&'static str, String) {
    ("authorization", format!("Bearer {OPERATOR_TOKEN}"))
}

async fn is_ready(caller_address: SocketAddr, members: usize) -> bool {
    let Ok(answer) = get(caller_address, "/v1/addresses").await else { return false };
    if answer.status != 200 {
        return false;
    }
    let address_count = answer.json()["addresses"].as_array().map_or(0, Vec::len);
    let auth = [("authorization", format!("Bearer {DESK_TOKEN}"))];
    let body = json!({ "model": "lookup", "prompt": "ready", "max_tokens": 1 }).to_string();
    let answer = call(caller_address, "POST", "/v1/completions", &auth, body).await;
    address_count == members && answer.is_ok_and(|answer| answer.status == 200)
}

fn start_daemon(settings: &PathBuf) -> Process {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lacewingspring"));
    command.arg("--settings").arg(settings).env("LACEWINGSPRING_TEST", "1");
    Process(command.spawn().expect("starts a daemon"))
}

/// Returns the path of another binary of this Cargo workspace.
pub fn binary(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_lacewingspring")).with_file_name(name)
}

/// Returns a key of the workspace `desk` whose holders are these instances, given by index: first
/// its home, then its backup and the next ones.
pub fn key_with_holders(fleet: &Fleet, holders: &[usize]) -> String {
    let names: Vec<_> = fleet.instances.iter().map(|it| InstanceName::from(&*it.name)).collect();
    let has_holders = |key: &String| {
        let id = KeyId { workspace: "desk".into(), key: RequestKey::from(key.as_str()) };
        let mut ranked: Vec<usize> = (0..names.len()).collect();
        ranked.sort_by_key(|index| Reverse(rendezvous::weight(&id, &names[*index])));
        ranked.starts_with(holders)
    };
    let mut keys = (0..).map(|n| format!("held-{n}"));
    keys.find(has_holders).expect("a key of these holders")
}

/// Returns the current time. The lint against direct clock reads is for the code under test, whose
/// deciding functions take `now` as an argument.
#[allow(clippy::disallowed_methods)]
pub fn now() -> Instant {
    Instant::now()
}

/// Returns a loopback address for one fleet, derived from the process and the number of the fleet,
/// so that the fixed ports of concurrent fleets do not collide.
pub fn unique_loopback_ip() -> IpAddr {
    let pid = std::process::id();
    let fleet = NEXT_FLEET_ID.fetch_add(1, Ordering::Relaxed);
    IpAddr::V4(Ipv4Addr::new(127, fleet, (pid >> 8) as u8, (pid as u8).max(1)))
}
