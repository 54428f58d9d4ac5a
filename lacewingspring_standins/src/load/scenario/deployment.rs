//! Deployment of a scenario, with the names and addresses of its processes.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::ScenarioError;

/// Port of the key-value service.
const KEY_VALUE_PORT: u16 = 2_379;

/// Port of the instance list.
const INSTANCE_LIST_PORT: u16 = 8_500;

/// Port on which the first instance serves callers; further instances count up from it.
const FIRST_CALLER_PORT: u16 = 7_000;

/// Port on which the first instance serves its peers; further instances count up from it.
const FIRST_PEER_PORT: u16 = 7_500;

/// Port of the first engine; further engines count up from it.
const FIRST_ENGINE_PORT: u16 = 9_000;

/// Port of the first plain server; further servers count up from it.
const FIRST_PLAIN_PORT: u16 = 9_500;

/// Instances, upstreams, services, workspaces and network delays of one installation.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Loopback address on which all processes listen.
    pub ip: IpAddr,
    /// Names of the data centres.
    pub data_centres: Vec<String>,
    /// Number of instances, assigned to the data centres in turn.
    pub instances: usize,
    /// Simulated network delays.
    pub delays: Delays,
    /// Time until a change of the instance list becomes visible, in milliseconds.
    #[serde(default)]
    pub instance_list_lag_ms: u64,
    /// Groups of equal engines.
    pub engines: Vec<EngineGroup>,
    /// Plain servers, assigned to the data centres in turn.
    pub plain: PlainGroup,
    /// Tiers of the services.
    pub tiers: Vec<Tier>,
    /// Workspaces of the callers.
    pub workspaces: Vec<Workspace>,
    /// Request classes; each one is declared as a service.
    pub classes: Vec<Class>,
}

/// One-way network delays.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delays {
    /// Delay between callers and the instances of their data centre, in milliseconds.
    pub clients_ms: f64,
    /// Additional delay between data centres, in milliseconds.
    pub data_centres_ms: f64,
}

/// Engines with equal speed and memory.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineGroup {
    /// Number of engines.
    pub count: usize,
    /// Sequences that an engine runs at once.
    pub slots: u32,
    /// Prefill speed, in prompt tokens per second.
    pub prefill_tokens_per_second: f64,
    /// Duration of a decode step with one sequence, in milliseconds.
    pub decode_ms: f64,
    /// Increase of a decode step per further sequence, in milliseconds.
    pub decode_ms_per_sequence: f64,
    /// KV cache for the running sequences, in tokens.
    pub kv_tokens: u64,
    /// Prefix cache, in tokens.
    pub cache_tokens: u64,
    /// Delay of the metrics and cache events of an engine, in milliseconds.
    pub report_lag_ms: u64,
}

/// Plain servers with equal capacity.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainGroup {
    /// Number of servers.
    pub count: usize,
    /// Calls that a server runs at once.
    pub slots: u32,
    /// Service time of a call, in milliseconds.
    pub latency_ms: u64,
}

/// Tier with its latency target.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Name.
    pub name: String,
    /// Rank; the tier of rank 0 is dispatched first.
    pub rank: u8,
    /// Longest time in the queue before dispatch, in milliseconds.
    pub max_wait_ms: u64,
    /// Target for the time to first token, in milliseconds; a later response does not count as in
    /// time.
    pub first_token_ms: u64,
}

/// Workspace with its share of the load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Name.
    pub name: String,
    /// Bearer token of its callers.
    pub token: String,
    /// Weight of the workspace among the arrivals.
    pub share: f64,
}

/// Class of requests, declared as a service of the same name.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class and its service.
    pub name: String,
    /// Tier of the service.
    pub tier: String,
    /// Weight of the class among the arrivals.
    pub share: f64,
    /// Whether a request may run more than once without harm.
    pub idempotent: bool,
    /// Time from arrival after which callers give up, in milliseconds.
    pub deadline_ms: u64,
    /// Kind and size of the requests.
    pub body: ClassBody,
}

/// Kind and size of the requests of a class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum ClassBody {
    /// Completion on an engine.
    Completion {
        /// Length of the prompt in words, without the shared prefix.
        prompt: Lengths,
        /// Length of the output in tokens.
        output: Lengths,
        /// Prefixes that the prompts share.
        #[serde(default)]
        prefixes: Prefixes,
    },
    /// Call to a plain server.
    Plain,
}

/// Bounds of a log-uniform distribution of lengths.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lengths {
    /// Shortest.
    pub min: u32,
    /// Longest.
    pub max: u32,
}

/// Prefixes that the prompts of a class share.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Prefixes {
    /// Number of prefixes, one of which starts each prompt; 0 for prompts without a shared prefix.
    pub count: u32,
    /// Words per prefix.
    pub words: u32,
}

/// Engine with its name, address and data centre.
#[derive(Clone, Debug)]
pub struct PlacedEngine<'a> {
    /// Name.
    pub name: String,
    /// Address.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: &'a str,
    /// Group that sets the speed and the memory.
    pub group: &'a EngineGroup,
}

/// Plain server or instance with its name, address and data centre.
#[derive(Clone, Debug, Serialize)]
pub struct PlacedProcess<'a> {
    /// Name.
    pub name: String,
    /// Address.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: &'a str,
}

impl Deployment {
    /// Address of the key-value service.
    pub fn key_value_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, KEY_VALUE_PORT)
    }

    /// Address of the instance list.
    pub fn instance_list_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, INSTANCE_LIST_PORT)
    }

    /// Instances with the addresses on which they serve callers.
    pub fn instances(&self) -> Vec<PlacedProcess<'_>> {
        self.place("instance", FIRST_CALLER_PORT, self.instances)
    }

    /// Address on which an instance serves its peers.
    pub fn peer_address(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip, FIRST_PEER_PORT + index as u16)
    }

    /// Plain servers.
    pub fn plain_servers(&self) -> Vec<PlacedProcess<'_>> {
        self.place("plain", FIRST_PLAIN_PORT, self.plain.count)
    }

    /// Engines, one of each group in turn, so that each data centre has engines of all speeds.
    pub fn engines(&self) -> Vec<PlacedEngine<'_>> {
        let max_count = self.engines.iter().map(|group| group.count).max().unwrap_or(0);
        let groups =
            (0..max_count).flat_map(|round| self.engines.iter().filter(move |g| round < g.count));
        let place = |(index, group)| PlacedEngine {
            name: format!("engine-{index}"),
            address: SocketAddr::new(self.ip, FIRST_ENGINE_PORT + index as u16),
            // Consecutive engines, one of each group, share a data centre.
            data_centre: self.data_centre(index / self.engines.len()),
            group,
        };
        groups.enumerate().map(place).collect()
    }

    /// Finds a tier by name.
    ///
    /// # Errors
    ///
    /// Fails if the deployment has none of that name.
    pub fn tier(&self, name: &str) -> Result<&Tier, ScenarioError> {
        let tier = self.tiers.iter().find(|tier| tier.name == name);
        tier.ok_or_else(|| ScenarioError::Unknown { kind: "tier", name: name.to_owned() })
    }

    /// Finds the address of a stand-in by its name.
    ///
    /// # Errors
    ///
    /// Fails if the deployment has none of that name.
    pub fn address_of(&self, name: &str) -> Result<SocketAddr, ScenarioError> {
        let address = match name {
            "key-value" => Some(self.key_value_address()),
            "instance-list" => Some(self.instance_list_address()),
            _ => {
                let engines = self.engines().into_iter().map(|e| (e.name, e.address));
                let plain = self.plain_servers().into_iter().map(|p| (p.name, p.address));
                engines
                    .chain(plain)
                    .find(|(candidate, _)| candidate == name)
                    .map(|(_, address)| address)
            }
        };
        address.ok_or_else(|| ScenarioError::Unknown { kind: "stand-in", name: name.to_owned() })
    }

    fn place(&self, kind: &str, port: u16, count: usize) -> Vec<PlacedProcess<'_>> {
        let place = |index| PlacedProcess {
            name: format!("{kind}-{index}"),
            address: SocketAddr::new(self.ip, port + index as u16),
            data_centre: self.data_centre(index),
        };
        (0..count).map(place).collect()
    }

    fn data_centre(&self, index: usize) -> &str {
        &self.data_centres[index % self.data_centres.len()]
    }
}

impl Delays {
    /// One-way delay between a caller and an instance.
    pub fn one_way(&self, same_data_centre: bool) -> Duration {
        let between_data_centres = if same_data_centre { 0.0 } else { self.data_centres_ms };
        Duration::from_secs_f64((self.clients_ms + between_data_centres) / 1_000.0)
    }
}
