//! Checks of transactions and declared state against the constraints.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use super::{
    declared::DeclaredState,
    transaction::{Change, Transaction},
    violation::{Rule, Violation},
};
use crate::resources::{
    EnginePoolSpec, OperatorSpec, PoolKind, Resource, ResourceId, ResourceKind, ServiceProtocol,
    ServiceSpec, Spec, TierSpec, UpstreamSpec, WorkspaceSpec,
};

/// Most changes in a transaction; the key-value service limits the writes of one of its
/// transactions.
const MAX_CHANGES: usize = 100;

/// Most resources of all kinds together.
const MAX_RESOURCES: usize = 4_096;

/// Largest size of one resource as JSON, in bytes.
const MAX_RESOURCE_BYTES: usize = 256 << 10;

/// Most bytes of JSON that one transaction may write; the key-value service limits the size of a
/// request.
const MAX_WRITTEN_BYTES: usize = 1 << 20;

/// Largest size of all resources as JSON, in bytes. Together with the commit records they must fit
/// into one message between instances.
const MAX_STATE_BYTES: usize = 3 << 20;

/// Longest name, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// Most upstreams of a pool; also the largest `at_once`.
const MAX_UPSTREAMS: usize = 1_024;

/// Most credentials of one workspace or operator.
const MAX_CREDENTIALS: usize = 16;

/// Most act fields of a service.
const MAX_ACT_FIELDS: usize = 16;

/// Length of a SHA-256 digest in hexadecimal digits.
const DIGEST_DIGITS: usize = 64;

/// Longest wait before dispatch that a tier may declare, in milliseconds.
const MAX_WAIT_MS: u64 = 3_600_000;

/// Largest weight of a workspace in the fair shares of a tier.
const MAX_WEIGHT: u64 = 1_000;

/// Largest limit of a workspace, in requests per second or concurrent requests.
const MAX_LIMIT: u64 = 1_000_000;

/// Largest number of slots of an upstream.
const MAX_SLOTS: u64 = 4_096;

/// Largest KV memory of an upstream, in tokens.
const MAX_KV_TOKENS: u64 = 1 << 32;

/// Largest expected output of a request, in tokens.
const MAX_EXPECTED_TOKENS: u64 = 1_000_000;

/// Returns the constraints on the form of a transaction that it violates.
pub(super) fn transaction(before: &DeclaredState, transaction: &Transaction) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut violate = |rule| {
        violations.push(Violation { resource: None, field: "changes".into(), rule });
    };
    if transaction.changes.is_empty() {
        violate(Rule::Empty);
    }
    if transaction.changes.len() > MAX_CHANGES {
        violate(Rule::TooMany(MAX_CHANGES));
    }
    let written = transaction.changes.iter().map(|change| match change {
        Change::Put(resource) => json_len(resource),
        Change::Delete(_) => 0,
    });
    if written.fold(0, usize::saturating_add) > MAX_WRITTEN_BYTES {
        violate(Rule::TooLarge(MAX_WRITTEN_BYTES));
    }
    let mut seen = BTreeSet::new();
    for change in &transaction.changes {
        let id = change.id();
        if matches!(change, Change::Delete(_)) && !before.resources.contains_key(&id) {
            violations.push(Violation::of(&id, "", Rule::Absent));
        }
        if !seen.insert(id.clone()) {
            violations.push(Violation::of(&id, "", Rule::NamedTwice));
        }
    }
    violations
}

/// Returns the constraints that a state violates. `deleted` has the resources that the transaction
/// removed.
pub(super) fn state(declared: &DeclaredState, deleted: &BTreeSet<&ResourceId>) -> Vec<Violation> {
    let mut checker = Checker { declared, deleted, violations: Vec::new() };
    checker.whole_state();
    for (id, resource) in &declared.resources {
        checker.resource(id, resource);
    }
    checker.unique_values();
    checker.violations
}

/// Returns the length of a resource as JSON, in bytes; `usize::MAX` if it can't be serialised.
fn json_len(resource: &Resource) -> usize {
    serde_json::to_vec(resource).map_or(usize::MAX, |json| json.len())
}

/// Collects the violations of a declared state.
struct Checker<'a> {
    declared: &'a DeclaredState,
    deleted: &'a BTreeSet<&'a ResourceId>,
    violations: Vec<Violation>,
}

impl Checker<'_> {
    fn add<F>(&mut self, id: &ResourceId, field: F, rule: Rule)
    where
        F: Into<String>,
    {
        self.violations.push(Violation::of(id, field, rule));
    }

    fn whole_state(&mut self) {
        let resources = &self.declared.resources;
        let mut violate = |rule| {
            self.violations.push(Violation { resource: None, field: String::new(), rule });
        };
        if resources.len() > MAX_RESOURCES {
            violate(Rule::TooMany(MAX_RESOURCES));
        }
        if resources.values().map(json_len).fold(0, usize::saturating_add) > MAX_STATE_BYTES {
            violate(Rule::TooLarge(MAX_STATE_BYTES));
        }
        if !resources.keys().any(|id| id.kind == ResourceKind::Tier) {
            violate(Rule::LastOfKind(ResourceKind::Tier));
        }
    }

    fn resource(&mut self, id: &ResourceId, resource: &Resource) {
        self.name(id, "name", &id.name);
        if json_len(resource) > MAX_RESOURCE_BYTES {
            self.add(id, "", Rule::TooLarge(MAX_RESOURCE_BYTES));
        }
        match &resource.spec {
            Spec::Tier(spec) => self.tier(id, spec),
            Spec::EnginePool(spec) => self.pool(id, spec),
            Spec::Service(spec) => self.service(id, spec),
            Spec::Workspace(spec) => self.workspace(id, spec),
            Spec::Operator(spec) => self.operator(id, spec),
        }
    }

    fn tier(&mut self, id: &ResourceId, spec: &TierSpec) {
        self.range(id, "max_wait_ms", spec.max_wait_ms, MAX_WAIT_MS);
    }

    fn pool(&mut self, id: &ResourceId, spec: &EnginePoolSpec) {
        self.at_most(id, "upstreams", spec.upstreams.len(), MAX_UPSTREAMS);
        self.range(id, "at_once", spec.at_once.into(), MAX_UPSTREAMS as u64);
        if spec.managed && spec.kind != PoolKind::Engine {
            self.add(id, "managed", Rule::NotEngines);
        }
        if spec.managed && spec.model.is_empty() {
            self.add(id, "model", Rule::NeededToManage);
        }
        if spec.managed && spec.version.is_empty() {
            self.add(id, "version", Rule::NeededToManage);
        }
        for (i, upstream) in spec.upstreams.iter().enumerate() {
            self.upstream(id, &format!("upstreams[{i}]"), upstream);
        }
    }

    fn upstream(&mut self, id: &ResourceId, path: &str, spec: &UpstreamSpec) {
        self.name(id, &format!("{path}.name"), spec.name.as_str());
        self.name(id, &format!("{path}.data_centre"), spec.data_centre.as_str());
        if !spec.address.parse::<SocketAddr>().is_ok_and(|address| address.port() > 0) {
            self.add(id, format!("{path}.address"), Rule::NotAddress);
        }
        self.range(id, &format!("{path}.slots"), spec.slots.into(), MAX_SLOTS);
        self.range(id, &format!("{path}.kv_tokens"), spec.kv_tokens, MAX_KV_TOKENS);
        let prefill = spec.prefill_tokens_per_second;
        self.positive(id, &format!("{path}.prefill_tokens_per_second"), prefill);
        self.positive(id, &format!("{path}.decode_ms"), spec.decode_ms);
    }

    fn service(&mut self, id: &ResourceId, spec: &ServiceSpec) {
        self.reference(id, "tier", ResourceKind::Tier, spec.tier.as_str());
        self.reference(id, "pool", ResourceKind::EnginePool, spec.pool.as_str());
        self.pool_type(id, spec);
        self.at_most(id, "act_fields", spec.act_fields.len(), MAX_ACT_FIELDS);
        if spec.idempotent && !spec.act_fields.is_empty() {
            self.add(id, "act_fields", Rule::ActFields);
        }
        self.range(id, "expected_tokens", spec.expected_tokens.into(), MAX_EXPECTED_TOKENS);
    }

    fn pool_type(&mut self, id: &ResourceId, spec: &ServiceSpec) {
        let pool = ResourceId { kind: ResourceKind::EnginePool, name: spec.pool.to_string() };
        let Some(resource) = self.declared.resources.get(&pool) else { return };
        let Spec::EnginePool(found) = &resource.spec else { return };
        let matches = match spec.protocol {
            ServiceProtocol::Completions => found.kind == PoolKind::Engine,
            ServiceProtocol::Plain => found.kind == PoolKind::Plain,
        };
        if !matches {
            self.add(id, "pool", Rule::PoolType(pool));
        }
    }

    fn workspace(&mut self, id: &ResourceId, spec: &WorkspaceSpec) {
        self.credentials(id, &spec.credentials);
        self.range(id, "weight", spec.weight.into(), MAX_WEIGHT);
        let limits = &spec.limits;
        let rate = limits.requests_per_second.into();
        self.range(id, "limits.requests_per_second", rate, MAX_LIMIT);
        self.range(id, "limits.concurrency", limits.concurrency.into(), MAX_LIMIT);
    }

    fn operator(&mut self, id: &ResourceId, spec: &OperatorSpec) {
        self.credentials(id, &spec.credentials);
    }

    fn credentials(&mut self, id: &ResourceId, credentials: &[String]) {
        self.at_most(id, "credentials", credentials.len(), MAX_CREDENTIALS);
        for (i, text) in credentials.iter().enumerate() {
            let digits = text.bytes().all(|byte| byte.is_ascii_hexdigit());
            if text.len() != DIGEST_DIGITS || !digits {
                self.add(id, format!("credentials[{i}]"), Rule::NotDigest);
            }
        }
    }

    fn name(&mut self, id: &ResourceId, field: &str, name: &str) {
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b".-_".contains(&byte);
        let starts = name.bytes().next().is_some_and(|byte| byte.is_ascii_alphanumeric());
        if !starts || name.len() > MAX_NAME_BYTES || !name.bytes().all(allowed) {
            self.add(id, field, Rule::Name(MAX_NAME_BYTES));
        }
    }

    fn range(&mut self, id: &ResourceId, field: &str, value: u64, max: u64) {
        if value == 0 || value > max {
            self.add(id, field, Rule::Range(1, max));
        }
    }

    fn positive(&mut self, id: &ResourceId, field: &str, value: f64) {
        if !value.is_finite() || value <= 0.0 {
            self.add(id, field, Rule::NotPositive);
        }
    }

    fn at_most(&mut self, id: &ResourceId, field: &str, len: usize, max: usize) {
        if len > max {
            self.add(id, field, Rule::TooMany(max));
        }
    }

    /// Checks that the target of a reference exists. If this transaction removed the target, the
    /// violation is reported on the target, else on the referring field.
    fn reference(&mut self, id: &ResourceId, field: &str, kind: ResourceKind, name: &str) {
        let target = ResourceId { kind, name: name.to_owned() };
        if self.declared.resources.contains_key(&target) {
            return;
        }
        if self.deleted.contains(&target) {
            self.add(&target, "", Rule::Referenced(id.clone()));
        } else {
            self.add(id, field, Rule::Reference(target));
        }
    }

    fn unique_values(&mut self) {
        let mut ranks = Unique::default();
        let mut credentials = Unique::default();
        let mut names = Unique::default();
        let mut addresses = Unique::default();
        for (id, resource) in &self.declared.resources {
            match &resource.spec {
                Spec::Tier(spec) => ranks.insert(id, "rank".into(), spec.rank.to_string()),
                Spec::EnginePool(spec) => {
                    for (i, upstream) in spec.upstreams.iter().enumerate() {
                        let path = format!("upstreams[{i}]");
                        names.insert(id, format!("{path}.name"), upstream.name.to_string());
                        addresses.insert(id, format!("{path}.address"), upstream.address.clone());
                    }
                }
                Spec::Service(_) => {}
                Spec::Workspace(WorkspaceSpec { credentials: digests, .. })
                | Spec::Operator(OperatorSpec { credentials: digests, .. }) => {
                    for (i, digest) in digests.iter().enumerate() {
                        let digest = digest.to_ascii_lowercase();
                        credentials.insert(id, format!("credentials[{i}]"), digest);
                    }
                }
            }
        }
        for unique in [ranks, credentials, names, addresses] {
            self.violations.extend(unique.violations);
        }
    }
}

/// Values that must be unique, with the resource that uses each.
#[derive(Default)]
struct Unique {
    users: BTreeMap<String, ResourceId>,
    violations: Vec<Violation>,
}

impl Unique {
    fn insert(&mut self, id: &ResourceId, field: String, value: String) {
        match self.users.get(&value) {
            Some(user) => {
                self.violations.push(Violation::of(id, field, Rule::NotUnique(user.clone())));
            }
            None => {
                self.users.insert(value, id.clone());
            }
        }
    }
}
