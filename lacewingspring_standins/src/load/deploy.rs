//! Sets a deployment up: stand-ins, settings of the daemons, declared resources.

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
    client::{Send, control, open},
    scenario::{Class, ClassBody, Deployment, EngineGroup},
};
use crate::{engine, instance_list, key_value, plain};

/// Bearer token of the operator.
const OPERATOR_TOKEN: &str = "operator-token";

/// File with the resources.
const RESOURCES: &str = "resources.json";

/// Path at which instances are listed.
const REGISTER_PATH: &str = "/v1/agent/service/register";

/// Longest wait for the fleet to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two looks at the fleet.
const READY_INTERVAL: Duration = Duration::from_millis(100);

/// Serves all stand-ins of a deployment in this process until one fails.
///
/// # Errors
///
/// Fails when an address is taken.
pub async fn serve(deployment: &Deployment) -> io::Result<()> {
    let mut running = JoinSet::new();
    let listener = TcpListener::bind(deployment.key_value()).await?;
    running.spawn(key_value::serve(listener, key_value::Settings::default()));
    let listener = TcpListener::bind(deployment.list()).await?;
    let lag_ms = deployment.instance_list_lag_ms;
    running.spawn(instance_list::serve(listener, instance_list::Settings { lag_ms }));
    for placed in deployment.engines() {
        let listener = TcpListener::bind(placed.address).await?;
        running.spawn(engine::serve(listener, engine_settings(placed.group)));
    }
    for placed in deployment.plain() {
        let listener = TcpListener::bind(placed.address).await?;
        let latency_ms = deployment.plain.latency_ms;
        running.spawn(plain::serve(listener, plain::Settings { latency_ms }));
    }
    println!("serving");
    running.join_next().await.map_or(Ok(()), |ended| ended?)
}

/// Writes the settings of each daemon and the resources into a folder that holds the authority.
///
/// # Errors
///
/// Fails when the folder can't be written.
pub fn write_settings(deployment: &Deployment, folder: &Path) -> io::Result<()> {
    for (index, placed) in deployment.instances().iter().enumerate() {
        let settings = json!({
            "instance": placed.name, "data_centre": placed.data_centre,
            "listen": { "callers": placed.address, "peers": deployment.peers(index) },
            "key_value": { "endpoints": [deployment.key_value()], "timeout_ms": 500 },
            "instance_list": { "endpoint": deployment.list() },
            "authority": {
                "certificate": folder.join("authority.pem"), "key": folder.join("authority.key")
            },
            "operators": [{
                "name": "root", "role": "change", "credential": digest(OPERATOR_TOKEN)
            }],
            "log": { "level": "warn" }
        });
        let path = folder.join(format!("{}.json", placed.name));
        fs::write(path, serde_json::to_string_pretty(&settings)?)?;
    }
    let resources = json!({ "resources": resources(deployment) });
    fs::write(folder.join(RESOURCES), serde_json::to_string_pretty(&resources)?)
}

/// Writes the instances into the instance list.
///
/// # Errors
///
/// Fails when the list refuses.
pub async fn list(deployment: &Deployment) -> io::Result<()> {
    for (index, placed) in deployment.instances().iter().enumerate() {
        let body = json!({
            "ID": placed.name, "Name": "lacewingspring",
            "Address": placed.address.ip().to_string(), "Port": placed.address.port(),
            "Meta": {
                "peers": deployment.peers(index).to_string(),
                "data_centre": placed.data_centre, "state": "live"
            }
        });
        let send = Send { body: body.to_string(), ..Send::new("PUT", REGISTER_PATH) };
        let listed = control(deployment.list(), send).await;
        listed.ok_or_else(|| io::Error::other("the instance list refuses"))?;
    }
    Ok(())
}

/// Waits until each instance sees all others and serves each completion service.
///
/// # Errors
///
/// Fails when the fleet isn't ready in time.
pub async fn wait_until_ready(deployment: &Deployment) -> io::Result<()> {
    let end = Instant::now() + READY_TIMEOUT;
    for placed in deployment.instances() {
        while !ready(deployment, placed.address).await {
            if Instant::now() > end {
                return Err(io::Error::other(format!("{} is not ready in time", placed.name)));
            }
            sleep(READY_INTERVAL).await;
        }
    }
    Ok(())
}

/// Sends a completion of one token through an instance, as a caller of a deployment would.
pub fn probe(deployment: &Deployment, prompt: &str) -> Option<Send> {
    let mut classes = deployment.classes.iter();
    let class = classes.find(|class| matches!(class.body, ClassBody::Completion { .. }))?;
    let token = &deployment.workspaces.first()?.token;
    let body = json!({ "model": class.name, "prompt": prompt, "max_tokens": 1, "stream": true });
    Some(Send {
        method: "POST",
        path: "/v1/completions".to_owned(),
        headers: vec![("authorization", format!("Bearer {token}"))],
        body: body.to_string(),
    })
}

async fn ready(deployment: &Deployment, instance: SocketAddr) -> bool {
    let told = control(instance, Send::new("GET", "/v1/addresses")).await.unwrap_or_default();
    let seen = told["addresses"].as_array().map_or(0, Vec::len);
    if seen != deployment.instances {
        return false;
    }
    let probes = [probe(deployment, "ready"), plain_probe(deployment, instance)];
    for probe in probes.into_iter().flatten() {
        let answer = open(instance, &probe).await;
        if !answer.is_ok_and(|answer| answer.status == 200) {
            return false;
        }
    }
    true
}

/// Makes a plain call through an instance, so that the gates before plain servers are held too.
fn plain_probe(deployment: &Deployment, instance: SocketAddr) -> Option<Send> {
    let mut classes = deployment.classes.iter();
    let class = classes.find(|class| matches!(class.body, ClassBody::Plain))?;
    let token = &deployment.workspaces.first()?.token;
    let headers = vec![
        ("authorization", format!("Bearer {token}")),
        ("idempotency-key", format!("ready-{instance}")),
    ];
    let body = json!({ "seat": format!("ready-{instance}"), "client": "ready" }).to_string();
    Some(Send { method: "POST", path: format!("/services/{}/act", class.name), headers, body })
}

fn resources(deployment: &Deployment) -> Vec<Value> {
    let tiers = deployment.tiers.iter().map(|tier| {
        let spec = json!({ "rank": tier.rank, "max_wait_ms": tier.max_wait_ms });
        json!({ "kind": "tier", "name": tier.name, "spec": spec })
    });
    let workspaces = deployment.workspaces.iter().map(|workspace| {
        let spec = json!({ "credentials": [digest(&workspace.token)] });
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
        .plain()
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

fn digest(token: &str) -> String {
    Sha256::digest(token).iter().map(|byte| format!("{byte:02x}")).collect()
}
