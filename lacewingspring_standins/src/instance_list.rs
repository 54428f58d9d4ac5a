//! Instance list that speaks the registration and health part of the HTTP API of Consul.

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
    http::{AbortError, Call, Reply, accept, error, json, lock},
    time::now_ms,
};

/// Settings of the instance list.
#[derive(Clone, Debug, Args)]
pub struct Settings {
    /// Propagation delay between a change and its visibility, in milliseconds.
    #[arg(long, default_value_t = 1000)]
    pub lag_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { lag_ms: 1000 }
    }
}

/// Fault settings of the instance list.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ListFaults {
    /// Requests get status 503.
    down: bool,
    /// Propagation delay between a change and its visibility, in milliseconds.
    lag_ms: u64,
}

/// Registered service, in the format of Consul.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, rename_all = "PascalCase")]
struct Registration {
    /// Identifier; defaults to the name if empty.
    #[serde(rename = "ID")]
    id: String,
    /// Name of the service.
    name: String,
    /// IP address.
    address: String,
    port: u16,
    /// Metadata; the key `data_centre` holds the name of the data centre.
    meta: BTreeMap<String, String>,
}

/// Registration or deregistration that is not visible yet.
struct Change {
    /// Time from which the change is visible, in milliseconds of the process clock.
    visible_ms: u64,
    /// Identifier of the changed service.
    id: String,
    /// New registration; `None` for a deregistration.
    service: Option<Registration>,
}

/// Visible services by identifier, and pending changes in order of arrival.
#[derive(Default)]
struct Services {
    visible: BTreeMap<String, Registration>,
    pending: VecDeque<Change>,
}

struct InstanceList {
    faults: Faults<ListFaults>,
    services: Mutex<Services>,
}

/// Runs one instance list until the future is dropped.
pub async fn serve(listener: TcpListener, settings: Settings) -> io::Result<()> {
    let faults = Faults::new(ListFaults { down: false, lag_ms: settings.lag_ms });
    let list = Arc::new(InstanceList { faults, services: Mutex::default() });
    accept(listener, Arc::default(), move |call| {
        let list = list.clone();
        async move { Ok::<Reply, AbortError>(handle(&list, &call)) }
    })
    .await
}

fn handle(list: &InstanceList, call: &Call) -> Reply {
    let segments: Vec<&str> = call.path.trim_matches('/').split('/').collect();
    match (call.method.as_str(), segments.as_slice()) {
        ("GET" | "PUT", ["faults"]) => list.faults.handle(call),
        _ if list.faults.get().down => error(503, "down"),
        ("PUT", ["v1", "agent", "service", "register"]) => register(list, call),
        ("PUT", ["v1", "agent", "service", "deregister", id]) => list.enqueue_change(id, None),
        ("GET", ["v1", "health", "service", name]) => list.list_healthy(name),
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
    list.enqueue_change(&id, Some(service))
}

impl InstanceList {
    fn enqueue_change(&self, id: &str, service: Option<Registration>) -> Reply {
        let visible_ms = now_ms() + self.faults.get().lag_ms;
        let change = Change { visible_ms, id: id.to_owned(), service };
        lock(&self.services).pending.push_back(change);
        json(200, &json!({}))
    }

    fn list_healthy(&self, name: &str) -> Reply {
        let mut services = lock(&self.services);
        services.apply_due(now_ms());
        let named = services.visible.values().filter(|service| service.name == name);
        let entries: Vec<Value> = named.map(health_entry).collect();
        json(200, &entries)
    }
}

impl Services {
    /// Applies the due changes in order of arrival. A change waits for all earlier ones, also if
    /// the delay has been lowered since.
    fn apply_due(&mut self, now: u64) {
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

fn health_entry(service: &Registration) -> Value {
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
