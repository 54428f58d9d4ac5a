//! `get`: lists declared resources.

use std::fmt::{self, Formatter};

use lacewingspring_core::resources::{Resource, ResourceKind, Spec};
use serde::Serialize;

use crate::{
    api::{ResourceDetail, ResourceList},
    cli::{Format, GetArgs},
    client::{Call, Client, encode},
    error::Error,
    exit::Exit,
    output::{self, Render, table::Table},
};

/// Resource kinds in the order in which they are printed.
const KINDS: [ResourceKind; 5] = ResourceKind::ALL;

/// Runs the command.
pub async fn run(client: &Client, format: Format, args: GetArgs) -> Result<Exit, Error> {
    let kind = args.kind.map(ResourceKind::from);
    let list = match (kind, args.name) {
        (Some(kind), Some(name)) => {
            let detail = fetch(client, kind, &name).await?;
            ResourceList { generation: detail.generation, resources: vec![detail.resource] }
        }
        (Some(kind), None) => {
            let path = format!("/operator/v1/resources?kind={}", kind.as_str());
            client.fetch(Call::get(&path)?).await?
        }
        (None, _) => client.fetch(Call::get("/operator/v1/resources")?).await?,
    };
    output::print(format, &list)?;
    Ok(Exit::Done)
}

/// Fetches one resource.
pub async fn fetch(
    client: &Client,
    kind: ResourceKind,
    name: &str,
) -> Result<ResourceDetail, Error> {
    let path = format!("/operator/v1/resources/{}/{}", kind.as_str(), encode(name));
    client.fetch(Call::get(&path)?).await
}

impl Render for ResourceList {
    fn render(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for kind in KINDS {
            let of_kind = |resource: &&Resource| resource.spec.kind() == kind;
            if self.resources.iter().any(|resource| of_kind(&resource)) {
                writeln!(f, "{}", table(kind, self.resources.iter().filter(of_kind)))?;
            }
        }
        writeln!(f, "{} declared, generation {}", self.resources.len(), self.generation)
    }
}

fn table<'a, I>(kind: ResourceKind, resources: I) -> Table
where
    I: Iterator<Item = &'a Resource>,
{
    let mut table = Table::new(titles(kind));
    for resource in resources {
        add_row(&mut table, resource);
    }
    table
}

const fn titles(kind: ResourceKind) -> &'static [&'static str] {
    match kind {
        ResourceKind::Tier => &["TIER", "RANK", "MAX-WAIT-MS"],
        ResourceKind::EnginePool => &["ENGINE-POOL", "TYPE", "MODEL", "VERSION", "UPSTREAMS"],
        ResourceKind::Service => &["SERVICE", "PROTOCOL", "POOL", "TIER", "IDEMPOTENT"],
        ResourceKind::Workspace => {
            &["WORKSPACE", "WEIGHT", "REQUESTS/S", "CONCURRENCY", "CREDENTIALS"]
        }
        ResourceKind::Operator => &["OPERATOR", "ROLE", "CREDENTIALS"],
    }
}

fn add_row(table: &mut Table, resource: &Resource) {
    let name = &resource.name;
    match &resource.spec {
        Spec::Tier(spec) => table.row([name, &spec.rank, &spec.max_wait_ms]),
        Spec::EnginePool(spec) => {
            let kind = variant_name(&spec.kind);
            table.row([name, &kind, &spec.model, &spec.version, &spec.upstreams.len()]);
        }
        Spec::Service(spec) => {
            let protocol = variant_name(&spec.protocol);
            table.row([name, &protocol, &spec.pool, &spec.tier, &spec.idempotent]);
        }
        Spec::Workspace(spec) => {
            let limits = &spec.limits;
            let credentials = spec.credentials.len();
            let (rate, concurrency) = (limits.requests_per_second, limits.concurrency);
            table.row([name, &spec.weight, &rate, &concurrency, &credentials]);
        }
        Spec::Operator(spec) => {
            table.row([name, &variant_name(&spec.role), &spec.credentials.len()])
        }
    }
}

/// Returns the name that a unit variant has in JSON.
fn variant_name<T>(variant: &T) -> String
where
    T: Serialize,
{
    let value = serde_json::to_value(variant).unwrap_or_default();
    output::value::inline_text(&value)
}
