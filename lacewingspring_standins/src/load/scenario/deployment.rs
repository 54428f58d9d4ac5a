//! What is deployed, with names and addresses.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::ScenarioError;

/// Port of the key-value service.
const KEY_VALUE_PORT: u16 = 2_379;

/// Port of the instance list.
const LIST_PORT: u16 = 8_500;

/// Port of the first instance for callers.
const CALLERS_PORT: u16 = 7_000;

/// Port of the first instance for other instances.
const PEERS_PORT: u16 = 7_500;

/// Port of the first engine.
const ENGINE_PORT: u16 = 9_000;

/// Port of the first plain server.
const PLAIN_PORT: u16 = 9_500;

/// Instances, upstreams, services, workspaces and callers of one user.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Loopback address of all processes.
    pub ip: IpAddr,
    /// Names of the data centres.
    pub data_centres: Vec<String>,
    /// Instances, spread over the data centres in turn.
    pub instances: usize,
    /// Delays of the network.
    pub delays: Delays,
    /// Lag of the instance list, in milliseconds.
    #[serde(default)]
    pub instance_list_lag_ms: u64,
    /// Engines.
    pub engines: Vec<EngineGroup>,
    /// Plain servers, spread over the data centres in turn.
    pub plain: PlainGroup,
    /// Tiers.
    pub tiers: Vec<Tier>,
    /// Workspaces.
    pub workspaces: Vec<Workspace>,
    /// Classes of requests, each a service of its own.
    pub classes: Vec<Class>,
}

/// One-way delays of the network.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delays {
    /// Between callers and the instances of their data centre, in milliseconds.
    pub clients_ms: f64,
    /// Between data centres, in milliseconds.
    pub data_centres_ms: f64,
}

/// Engines of one speed.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineGroup {
    /// Number of engines, spread over the data centres in turn.
    pub count: usize,
    /// Running sequences.
    pub slots: u32,
    /// Prompt tokens computed a second.
    pub prefill_tokens_per_second: f64,
    /// Time of a decode step with one sequence, in milliseconds.
    pub decode_ms: f64,
    /// Time added by each further sequence, in milliseconds.
    pub decode_ms_per_sequence: f64,
    /// Tokens that the running sequences may hold.
    pub kv_tokens: u64,
    /// Tokens that the prefix cache may hold.
    pub cache_tokens: u64,
    /// Lag of the load report, in milliseconds.
    pub report_lag_ms: u64,
}

/// Plain servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainGroup {
    /// Number of servers.
    pub count: usize,
    /// Calls at once.
    pub slots: u32,
    /// Time of a call, in milliseconds.
    pub latency_ms: u64,
}

/// Tier with its target.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Name.
    pub name: String,
    /// Rank; 0 is served first.
    pub rank: u8,
    /// Longest wait before dispatch, in milliseconds.
    pub max_wait_ms: u64,
    /// Time to the first token within which an answer counts as in time, in milliseconds.
    pub first_token_ms: u64,
}

/// Workspace and its share of the load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Name.
    pub name: String,
    /// Bearer token of its callers.
    pub token: String,
    /// Share of the arrivals, relative to the others.
    pub share: f64,
}

/// Class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class and its service.
    pub name: String,
    /// Tier of the service.
    pub tier: String,
    /// Share of the arrivals, relative to the others.
    pub share: f64,
    /// Whether a request may be run again without harm.
    pub idempotent: bool,
    /// Time after which callers give up, in milliseconds.
    pub deadline_ms: u64,
    /// What is asked.
    pub body: ClassBody,
}

/// What the requests of a class ask for.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum ClassBody {
    /// A completion.
    Completion {
        /// Words of the prompt, without the shared prefix.
        prompt: Lengths,
        /// Tokens of the answer.
        output: Lengths,
        /// Prefixes that prompts share.
        #[serde(default)]
        prefixes: Prefixes,
    },
    /// A call to a plain server.
    Plain,
}

/// Range of lengths, log-uniform.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lengths {
    /// Shortest.
    pub min: u32,
    /// Longest.
    pub max: u32,
}

/// Prefixes that prompts share.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Prefixes {
    /// Number of prefixes, one of which each prompt starts with; 0 for none.
    pub count: u32,
    /// Words of a prefix.
    pub words: u32,
}

/// Engine with its name and place.
#[derive(Clone, Debug)]
pub struct PlacedEngine<'a> {
    /// Name.
    pub name: String,
    /// Address.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: &'a str,
    /// Speed and memory.
    pub group: &'a EngineGroup,
}

/// Plain server or instance with its name and place.
#[derive(Clone, Debug, Serialize)]
pub struct Placed<'a> {
    /// Name.
    pub name: String,
    /// Address.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: &'a str,
}

impl Deployment {
    /// Address of the key-value service.
    pub fn key_value(&self) -> SocketAddr {
        SocketAddr::new(self.ip, KEY_VALUE_PORT)
    }

    /// Address of the instance list.
    pub fn list(&self) -> SocketAddr {
        SocketAddr::new(self.ip, LIST_PORT)
    }

    /// Instances at their addresses for callers.
    pub fn instances(&self) -> Vec<Placed<'_>> {
        self.placed("instance", CALLERS_PORT, self.instances)
    }

    /// Address of an instance for other instances.
    pub fn peers(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip, PEERS_PORT + index as u16)
    }

    /// Plain servers.
    pub fn plain(&self) -> Vec<Placed<'_>> {
        self.placed("plain", PLAIN_PORT, self.plain.count)
    }

    /// Engines; the groups take turns, so that each data centre has engines of all speeds.
    pub fn engines(&self) -> Vec<PlacedEngine<'_>> {
        let most = self.engines.iter().map(|group| group.count).max().unwrap_or(0);
        let turns = (0..most).flat_map(|turn| self.engines.iter().filter(move |g| turn < g.count));
        let place = |(index, group)| PlacedEngine {
            name: format!("engine-{index}"),
            address: SocketAddr::new(self.ip, ENGINE_PORT + index as u16),
            // Halved, so that neighbours of different speed share a data centre.
            data_centre: self.data_centre(index / self.engines.len()),
            group,
        };
        turns.enumerate().map(place).collect()
    }

    /// Finds a tier by name.
    ///
    /// # Errors
    ///
    /// Fails when there is none.
    pub fn tier(&self, name: &str) -> Result<&Tier, ScenarioError> {
        let tier = self.tiers.iter().find(|tier| tier.name == name);
        tier.ok_or_else(|| ScenarioError::Unknown { kind: "tier", name: name.to_owned() })
    }

    /// Finds the address of a stand-in by name.
    ///
    /// # Errors
    ///
    /// Fails when there is none.
    pub fn stand_in(&self, name: &str) -> Result<SocketAddr, ScenarioError> {
        let address = match name {
            "key-value" => Some(self.key_value()),
            "instance-list" => Some(self.list()),
            _ => {
                let engines = self.engines().into_iter().map(|e| (e.name, e.address));
                let plain = self.plain().into_iter().map(|p| (p.name, p.address));
                engines.chain(plain).find(|(known, _)| known == name).map(|(_, address)| address)
            }
        };
        address.ok_or_else(|| ScenarioError::Unknown { kind: "stand-in", name: name.to_owned() })
    }

    fn placed(&self, kind: &str, port: u16, count: usize) -> Vec<Placed<'_>> {
        let place = |index| Placed {
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
        let between = if same_data_centre { 0.0 } else { self.data_centres_ms };
        Duration::from_secs_f64((self.clients_ms + between) / 1_000.0)
    }
}
