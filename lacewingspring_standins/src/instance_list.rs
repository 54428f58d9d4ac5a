//! Instance list: the part of the HTTP API of Consul that registers and finds services.

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    sync::{Arc, Mutex},
};

use clap::Args;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::net::TcpListener;

use crate::{
    faults::Faults,
    http::{Call, CutError, Reply, accept, error, json, lock},
    time::now_ms,
};

/// Settings of the instance list.
#[derive(Clone, Debug, Args)]
pub struct Settings {
    /// Time until a change is visible, in milliseconds.
    #[arg(long, default_value_t = 1000)]
    pub lag_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { lag_ms: 1000 }
    }
}

/// Faults of the instance list.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ListFaults {
    /// Requests get 503.
    down: bool,
    /// Time until a change is visible, in milliseconds.
    lag_ms: u64,
}

/// Service as it is registered.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, rename_all = "PascalCase")]
struct Registration {
    /// Identifier, the name when empty.
    #[serde(rename = "ID")]
    id: String,
    /// Name of the service.
    name: String,
    /// IP number.
    address: String,
    /// Port.
    port: u16,
    /// Further properties; `data_centre` names the data centre.
    meta: BTreeMap<String, String>,
}

/// Change that waits to be visible.
struct Change {
    /// Time from which it is visible, in milliseconds since process start.
    visible_ms: u64,
    /// Identifier of the service.
    id: String,
    /// Service, none when it is deregistered.
    service: Option<Registration>,
}

/// Visible services and the changes to come.
#[derive(Default)]
struct Services {
    visible: BTreeMap<String, Registration>,
    pending: VecDeque<Change>,
}

struct InstanceList {
    faults: Faults<ListFaults>,
    services: Mutex<Services>,
}

/// Serves one instance list until the future is dropped.
pub async fn serve(listener: TcpListener, settings: Settings) -> io::Result<()> {
    let faults = Faults::new(ListFaults { down: false, lag_ms: settings.lag_ms });
    let list = Arc::new(InstanceList { faults, services: Mutex::default() });
    accept(listener, Arc::default(), move |call| {
        let list = list.clone();
        async move { Ok::<Reply, CutError>(answer(&list, &call)) }
    })
    .await
}

fn answer(list: &InstanceList, call: &Call) -> Reply {
    let segments: Vec<&str> = call.path.trim_matches('/').split('/').collect();
    match (call.method.as_str(), segments.as_slice()) {
        ("GET" | "PUT", ["faults"]) => list.faults.answer(call),
        _ if list.faults.get().down => error(503, "down"),
        ("PUT", ["v1", "agent", "service", "register"]) => register(list, call),
        ("PUT", ["v1", "agent", "service", "deregister", id]) => list.change(id, None),
        ("GET", ["v1", "health", "service", name]) => list.healthy(name),
        _ => error(404, "not found"),
    }
}

fn register(list: &InstanceList, call: &Call) -> Reply {
    let mut service: Registration = match call.json() {
        Ok(service) => service,
        Err(e) => return error(400, &e.to_string()),
    };
    if service.name.is_empty() {
        return error(400, "Missing service name");
    }
    if service.id.is_empty() {
        service.id = service.name.clone();
    }
    let id = service.id.clone();
    list.change(&id, Some(service))
}

impl InstanceList {
    fn change(&self, id: &str, service: Option<Registration>) -> Reply {
        let visible_ms = now_ms() + self.faults.get().lag_ms;
        let change = Change { visible_ms, id: id.to_owned(), service };
        lock(&self.services).pending.push_back(change);
        json(200, &json!({}))
    }

    fn healthy(&self, name: &str) -> Reply {
        let mut services = lock(&self.services);
        services.apply(now_ms());
        let named = services.visible.values().filter(|service| service.name == name);
        let entries: Vec<Value> = named.map(entry).collect();
        json(200, &entries)
    }
}

impl Services {
    /// Applies the changes that are due, in the order of their arrival.
    fn apply(&mut self, now: u64) {
        while self.pending.front().is_some_and(|change| change.visible_ms <= now)
            && let Some(change) = self.pending.pop_front()
        {
            match change.service {
                Some(service) => self.visible.insert(change.id, service),
                None => self.visible.remove(&change.id),
            };
        }
    }
}

fn entry(service: &Registration) -> Value {
    let data_centre = service.meta.get("data_centre").map_or("", String::as_str);
    json!({
        "Node": { "Node": service.address, "Datacenter": data_centre },
        "Service": {
            "ID": service.id,
            "Service": service.name,
            "Address": service.address,
            "Port": service.port,
            "Meta": service.meta,
        },
    })
}
