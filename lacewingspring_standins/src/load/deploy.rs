//! Sets up a deployment: stand-ins, settings of the daemons, declared resources.

use std::{
    fs, io,
    net::SocketAddr,
    path::Path,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tokio::{net::TcpListener, task::JoinSet, time::sleep};

use super::{
    caller::MODEL,
    client::{OutgoingRequest, exchange_json, send_request},
    scenario::{Class, ClassBody, Deployment, EngineGroup},
};
use crate::{engine, instance_list, key_value, plain};

/// Bearer token of the operator.
const OPERATOR_TOKEN: &str = "operator-token";

/// File with the resources to declare.
const RESOURCES_FILE: &str = "resources.json";

/// Path of the instance list that registers an instance.
const REGISTER_PATH: &str = "/v1/agent/service/register";

/// Longest wait until all instances are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause between two readiness checks of an instance.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Serves all stand-ins of a deployment in this process until one fails.
///
/// # Errors
///
/// Fails if an address is already in use or a stand-in fails.
pub async fn serve(deployment: &Deployment) -> io::Result<()> {
    let mut running = JoinSet::new();
    let listener = TcpListener::bind(deployment.key_value_address()).await?;
    running.spawn(key_value::serve(listener, key_value::Settings::default()));
    let listener = TcpListener::bind(deployment.instance_list_address()).await?;
    let lag_ms = deployment.instance_list_lag_ms;
    running.spawn(instance_list::serve(listener, instance_list::Settings { lag_ms }));
    for placed in deployment.engines() {
        let listener = TcpListener::bind(placed.address).await?;
        running.spawn(engine::serve(listener, engine_settings(placed.group)));
    }
    for placed in deployment.plain_servers() {
        let listener = TcpListener::bind(placed.address).await?;
        let latency_ms = deployment.plain.latency_ms;
        running.spawn(plain::serve(listener, plain::Settings { latency_ms }));
    }
    println!("serving");
    running.join_next().await.map_or(Ok(()), |ended| ended?)
}

/// Writes the settings of each daemon, and the resources to declare, into the folder that holds the
/// authority.
///
/// # Errors
///
/// Fails if the folder can't be written.
pub fn write_settings(deployment: &Deployment, folder: &Path) -> io::Result<()> {
    for (index, placed) in deployment.instances().iter().enumerate() {
        let settings = json!({
            "instance": placed.name, "data_centre": placed.data_centre,
            "listen": { "callers": placed.address, "peers": deployment.peer_address(index) },
            "key_value": { "endpoints": [deployment.key_value_address()], "timeout_ms": 500 },
            "instance_list": { "endpoint": deployment.instance_list_address() },
            "authority": {
                "certificate": folder.join("authority.pem"), "key": folder.join("authority.key")
            },
            "operators": [{
                "name": "root", "role": "change", "credential": sha256_hex(OPERATOR_TOKEN)
            }],
            "log": { "level": "warn" }
        });
        let path = folder.join(format!("{}.json", placed.name));
        fs::write(path, serde_json::to_string_pretty(&settings)?)?;
    }
    let resources = json!({ "resources": resources(deployment) });
    fs::write(folder.join(RESOURCES_FILE), serde_json::to_string_pretty(&resources)?)
}

/// Registers the instances in the instance list.
///
/// # Errors
///
/// Fails if the instance list does not accept a registration.
pub async fn register_instances(deployment: &Deployment) -> io::Result<()> {
    for (index, placed) in deployment.instances().iter().enumerate() {
        let body = json!({
            "ID": placed.name, "Name": "lacewingspring",
            "Address": placed.address.ip().to_string(), "Port": placed.address.port(),
            "Meta": {
                "peers": deployment.peer_address(index).to_string(),
                "data_centre": placed.data_centre, "state": "live"
            }
        });
        let request = OutgoingRequest {
            body: body.to_string(),
            ..OutgoingRequest::new("PUT", REGISTER_PATH)
        };
        let registered = exchange_json(deployment.instance_list_address(), request).await;
        registered
            .ok_or_else(|| io::Error::other("the instance list did not accept a registration"))?;
    }
    Ok(())
}

/// Waits until each instance lists all instances and answers a probe of the first completion
/// service and of the first plain service.
///
/// # Errors
///
/// Fails if an instance isn't ready within `READY_TIMEOUT`.
pub async fn wait_until_ready(deployment: &Deployment) -> io::Result<()> {
    let deadline = Instant::now() + READY_TIMEOUT;
    for placed in deployment.instances() {
        while !is_ready(deployment, placed.address).await {
            if Instant::now() > deadline {
                return Err(io::Error::other(format!(
                    "{} did not become ready within the time limit",
                    placed.name
                )));
            }
            sleep(READY_POLL_INTERVAL).await;
        }
    }
    Ok(())
}

/// Creates a completion request for one token, as a caller sends it to an instance.
///
/// `None` if the deployment has no completion service or no workspace.
pub fn completion_probe(deployment: &Deployment, prompt: &str) -> Option<OutgoingRequest> {
    let mut classes = deployment.classes.iter();
    let class = classes.find(|class| matches!(class.body, ClassBody::Completion { .. }))?;
    let token = &deployment.workspaces.first()?.token;
    let body = json!({ "model": class.name, "prompt": prompt, "max_tokens": 1, "stream": true });
    Some(OutgoingRequest {
        method: "POST",
        path: "/v1/completions".to_owned(),
        headers: vec![("authorization", format!("Bearer {token}"))],
        body: body.to_string(),
    })
}

async fn is_ready(deployment: &Deployment, instance: SocketAddr) -> bool {
    let reply = exchange_json(instance, OutgoingRequest::new("GET", "/v1/addresses"))
        .await
        .unwrap_or_default();
    let listed = reply["addresses"].as_array().map_or(0, Vec::len);
    if listed != deployment.instances {
        return false;
    }
    let probes = [completion_probe(deployment, "ready"), plain_call_probe(deployment, instance)];
    for probe in probes.into_iter().flatten() {
        let response = send_request(instance, &probe).await;
        if !response.is_ok_and(|response| response.status == 200) {
            return false;
        }
    }
    true
}

/// Creates a plain call, as a caller sends it to an instance, so that readiness also covers the
/// gates, which grant the slots of the plain servers.
///
/// `None` if the deployment has no plain service or no workspace.
fn plain_call_probe(deployment: &Deployment, instance: SocketAddr) -> Option<OutgoingRequest> {
    let mut classes = deployment.classes.iter();
    let class = classes.find(|class| matches!(class.body, ClassBody::Plain))?;
    let token = &deployment.workspaces.first()?.token;
    let headers = vec![
        ("authorization", format!("Bearer {token}")),
        ("idempotency-key", format!("ready-{instance}")),
    ];
    let body = json!({ "seat": format!("ready-{instance}"), "client": "ready" }).to_string();
    Some(OutgoingRequest {
        method: "POST",
        path: format!("/services/{}/act", class.name),
        headers,
        body,
    })
}

fn resources(deployment: &Deployment) -> Vec<Value> {
    let tiers = deployment.tiers.iter().map(|tier| {
        let spec = json!({ "rank": tier.rank, "max_wait_ms": tier.max_wait_ms });
        json!({ "kind": "tier", "name": tier.name, "spec": spec })
    });
    let workspaces = deployment.workspaces.iter().map(|workspace| {
        let spec = json!({ "credentials": [sha256_hex(&workspace.token)] });
        json!({ "kind": "workspace", "name": workspace.name, "spec": spec })
    });
    let pools = [engine_pool(deployment), plain_pool(deployment)];
    let services = deployment.classes.iter().map(service);
    tiers.chain(pools).chain(services).chain(workspaces).collect()
}

fn engine_pool(deployment: &Deployment) -> Value {
    let engines = deployment.engines();
    let upstream = engines.iter().map(|placed| {
        let group = placed.group;
        json!({
            "name": placed.name, "address": placed.address.to_string(),
            "data_centre": placed.data_centre, "slots": group.slots,
            "prefill_tokens_per_second": group.prefill_tokens_per_second,
            "decode_ms": group.decode_ms,
            "kv_tokens": group.kv_tokens
        })
    });
    let upstreams: Vec<_> = upstream.collect();
    json!({ "kind": "engine_pool", "name": "engines", "spec": {
        "type": "engine", "model": MODEL, "upstreams": upstreams } })
}

fn plain_pool(deployment: &Deployment) -> Value {
    let upstreams: Vec<_> = deployment
        .plain_servers()
        .iter()
        .map(|placed| {
            json!({
                "name": placed.name, "address": placed.address.to_string(),
                "data_centre": placed.data_centre, "slots": deployment.plain.slots
            })
        })
        .collect();
    json!({ "kind": "engine_pool", "name": "plain", "spec": {
        "type": "plain", "upstreams": upstreams } })
}

fn service(class: &Class) -> Value {
    let (protocol, pool) = match class.body {
        ClassBody::Completion { .. } => ("completions", "engines"),
        ClassBody::Plain => ("plain", "plain"),
    };
    let mut spec = json!({
        "protocol": protocol, "pool": pool, "tier": class.tier, "idempotent": class.idempotent
    });
    match &class.body {
        ClassBody::Completion { output, .. } => spec["expected_tokens"] = json!(output.max),
        ClassBody::Plain if !class.idempotent => spec["act_fields"] = json!(["seat", "client"]),
        ClassBody::Plain => {}
    }
    json!({ "kind": "service", "name": class.name, "spec": spec })
}

fn engine_settings(group: &EngineGroup) -> engine::Settings {
    engine::Settings {
        prefill_tokens_per_second: group.prefill_tokens_per_second,
        decode_ms: group.decode_ms,
        decode_ms_per_sequence: group.decode_ms_per_sequence,
        slots: group.slots as usize,
        kv_tokens: group.kv_tokens,
        cache_tokens: group.cache_tokens,
        models: vec![MODEL.to_owned()],
        report_lag_ms: group.report_lag_ms,
        ..engine::Settings::default()
    }
}

fn sha256_hex(token: &str) -> String {
    Sha256::digest(token).iter().map(|byte| format!("{byte:02x}")).collect()
}
