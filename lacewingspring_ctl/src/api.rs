//! Messages of the server's interface for operators and callers.

use std::fmt::{self, Display, Formatter};

use lacewingspring_core::{
    error::{ErrorKind, RunState},
    resources::{Resource, ResourceId},
};
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;

/// Lowest status code of a server error.
const SERVER_ERROR: u16 = 500;

/// All declared resources, or those of one kind.
#[derive(Debug, Serialize, Deserialize)]
pub struct ResourceList {
    /// Generation of the configuration.
    pub generation: u64,
    /// Declared resources.
    pub resources: Vec<Resource>,
}

/// One resource, declared and reported.
#[derive(Debug, Serialize, Deserialize)]
pub struct ResourceDetail {
    /// Declared state.
    pub resource: Resource,
    /// Generation of the configuration.
    pub generation: u64,
    /// Reported state.
    #[serde(default)]
    pub status: ResourceStatus,
    /// What happened to the resource, oldest first.
    #[serde(default)]
    pub events: Vec<Event>,
}

/// Reported state of a resource.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct ResourceStatus {
    /// Conditions that the fleet reports.
    #[serde(default)]
    pub conditions: Vec<Condition>,
}

/// One statement about a resource and why it holds or not.
#[derive(Debug, Serialize, Deserialize)]
pub struct Condition {
    /// What is stated.
    #[serde(rename = "type")]
    pub kind: String,
    /// Whether it holds.
    pub status: ConditionStatus,
    /// Reason, one word.
    #[serde(default)]
    pub reason: String,
    /// Reason, in a sentence.
    #[serde(default)]
    pub message: String,
}

/// Whether a condition holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConditionStatus {
    /// It holds.
    #[serde(alias = "True")]
    True,
    /// It does not hold.
    #[serde(alias = "False")]
    False,
    /// The fleet does not know.
    #[serde(alias = "Unknown")]
    Unknown,
}

impl Display for ConditionStatus {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::True => "true",
            Self::False => "false",
            Self::Unknown => "unknown",
        })
    }
}

/// Something that happened to a resource.
#[derive(Debug, Serialize, Deserialize)]
pub struct Event {
    /// Time of the event.
    pub at: Timestamp,
    /// Reason, one word.
    pub reason: String,
    /// Reason, in a sentence.
    #[serde(default)]
    pub message: String,
}

/// Time as the server writes it.
#[derive(Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Timestamp {
    /// Milliseconds since the server's epoch.
    Millis(u64),
    /// Date and time as text.
    Text(String),
}

impl Display for Timestamp {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Millis(ms) => write!(f, "{ms}"),
            Self::Text(text) => f.write_str(text),
        }
    }
}

/// Changes that apply together or not at all.
#[derive(Debug, Serialize)]
pub struct Transaction {
    /// Changes, each of another resource.
    pub changes: Vec<Change>,
    /// Generation that the changes were made for; none accepts any.
    pub expect_generation: Option<u64>,
    /// Whether to check and compare only.
    pub dry_run: bool,
}

/// One change of a transaction.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Declares a resource.
    Put(Resource),
    /// Removes a resource.
    Delete(ResourceId),
}

/// What a transaction changed, or would change.
#[derive(Debug, Serialize, Deserialize)]
pub struct TransactionResult {
    /// Generation after the transaction.
    pub generation: u64,
    /// Changes by resource.
    pub diff: Vec<ResourceDiff>,
}

impl TransactionResult {
    /// Returns whether any resource changes.
    pub fn differs(&self) -> bool {
        self.diff.iter().any(|diff| diff.action != Action::None)
    }
}

/// What changes in one resource.
#[derive(Debug, Serialize, Deserialize)]
pub struct ResourceDiff {
    /// Resource that changes.
    pub resource: ResourceRef,
    /// What happens to it.
    pub action: Action,
    /// Fields that change.
    #[serde(default)]
    pub fields: Vec<FieldDiff>,
}

/// A resource as answers name it.
#[derive(Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum ResourceRef {
    /// By kind and name.
    Id(ResourceId),
    /// As `kind/name`.
    Text(String),
}

impl Display for ResourceRef {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Id(id) => Display::fmt(id, f),
            Self::Text(text) => f.write_str(text),
        }
    }
}

/// What happens to a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// It is declared for the first time.
    Create,
    /// Some of its fields change.
    Change,
    /// It is removed.
    Delete,
    /// It stays as it is.
    None,
}

/// A field before and after.
#[derive(Debug, Serialize, Deserialize)]
pub struct FieldDiff {
    /// Path of the field in the resource.
    pub path: String,
    /// Value before; null for none.
    #[serde(default)]
    pub before: Value,
    /// Value after; null for none.
    #[serde(default)]
    pub after: Value,
}

/// State of the fleet as one instance sees it.
#[derive(Debug, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Instance that answers.
    pub instance: String,
    /// Data centre of that instance.
    pub data_centre: String,
    /// Generation that the instance applies.
    pub generation: u64,
    /// Instances of the fleet.
    #[serde(default)]
    pub instances: Vec<InstanceStatus>,
    /// Roles and who holds them.
    #[serde(default)]
    pub roles: Vec<RoleStatus>,
}

/// State of one instance.
#[derive(Debug, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Name of the instance.
    pub name: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Address for callers.
    pub address: String,
    /// State of its life cycle.
    pub state: String,
    /// Generation that it applies; none when unknown.
    #[serde(default)]
    pub generation: Option<u64>,
    /// Time since its last heartbeat, in milliseconds; none when unknown.
    #[serde(default)]
    pub heartbeat_age_ms: Option<u64>,
}

/// A role and the instance that holds it.
#[derive(Debug, Serialize, Deserialize)]
pub struct RoleStatus {
    /// Name of the role.
    pub role: String,
    /// Instance that holds it; none when nobody does.
    #[serde(default)]
    pub holder: Option<String>,
}

/// Whether a generation is in force everywhere.
#[derive(Debug, Serialize, Deserialize)]
pub struct WaitResult {
    /// Whether every live instance applies it.
    pub in_force: bool,
    /// Generation that was waited for.
    pub generation: u64,
    /// Instances that do not apply it yet.
    #[serde(default)]
    pub laggards: Vec<Laggard>,
}

/// An instance that applies an older generation.
#[derive(Debug, Serialize, Deserialize)]
pub struct Laggard {
    /// Name of the instance.
    pub instance: String,
    /// Generation that it applies; none when unknown.
    #[serde(default)]
    pub generation: Option<u64>,
}

/// Addresses that callers should use.
#[derive(Debug, Serialize, Deserialize)]
pub struct AddressList {
    /// How long the answer may be kept, in milliseconds.
    pub ttl_ms: u64,
    /// Addresses with their weights.
    pub addresses: Vec<WeightedAddress>,
}

/// An address and its share of the callers.
#[derive(Debug, Serialize, Deserialize)]
pub struct WeightedAddress {
    /// Address as `IP:port`.
    pub address: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Share relative to the other addresses.
    pub weight: f64,
}

/// Status of an idempotency key.
#[derive(Debug, Serialize, Deserialize)]
pub struct RequestStatus {
    /// Idempotency key.
    pub key: String,
    /// What became of the request.
    pub state: KeyState,
}

/// What became of the request of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyState {
    /// It was not run.
    NotRun,
    /// It ran to its end.
    Ran,
    /// It was dispatched and its end is unknown.
    MayHaveRun,
    /// It waits or runs now.
    InProgress,
}

impl Display for KeyState {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not run",
            Self::Ran => "ran",
            Self::MayHaveRun => "may have run",
            Self::InProgress => "in progress",
        })
    }
}

/// Histograms of one instance.
#[derive(Debug, Serialize, Deserialize)]
pub struct MetricsReport {
    /// Instance that measured them.
    #[serde(default)]
    pub instance: String,
    /// Histograms by metric, workspace and tier.
    pub histograms: Vec<Histogram>,
}

/// Percentiles of one metric for one workspace and tier.
#[derive(Debug, Serialize, Deserialize)]
pub struct Histogram {
    /// Name of the metric.
    pub metric: String,
    /// Unit of the values.
    pub unit: String,
    /// Workspace that was measured.
    pub workspace: String,
    /// Tier that was measured.
    pub tier: String,
    /// Values recorded.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Largest value.
    pub max: f64,
}

/// What was decided about a request, and why.
#[derive(Debug, Serialize, Deserialize)]
pub struct Explanation {
    /// Workspace of the request.
    pub workspace: String,
    /// Idempotency key.
    pub key: String,
    /// Decisions, oldest first.
    pub steps: Vec<Event>,
}

/// Completion request in the OpenAI format.
#[derive(Debug, Serialize)]
pub struct CompletionRequest<'a> {
    /// Name of the service.
    pub model: &'a str,
    /// Prompt text.
    pub prompt: &'a str,
    /// Most tokens to answer with; none leaves it to the server.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Whether to stream the answer; the tool always does.
    pub stream: bool,
}

/// One message of a completion stream.
#[derive(Debug, Deserialize)]
pub struct CompletionChunk {
    /// Pieces of the answer.
    #[serde(default)]
    pub choices: Vec<Choice>,
    /// Problem that ends the stream.
    #[serde(default)]
    pub error: Option<Problem>,
}

/// A piece of the answer.
#[derive(Debug, Deserialize)]
pub struct Choice {
    /// Text of the piece.
    #[serde(default)]
    pub text: String,
    /// Why the answer ends here; none when it goes on.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// Problem details (RFC 9457) with the server's extensions.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Problem {
    /// Type URI of the problem.
    #[serde(rename = "type")]
    pub problem_type: String,
    /// Short text for people.
    pub title: String,
    /// HTTP status code.
    pub status: u16,
    /// What went wrong this time.
    #[serde(alias = "message")]
    pub detail: String,
    /// Kind of the error; none when this tool does not know it.
    #[serde(deserialize_with = "known_kind")]
    pub kind: Option<ErrorKind>,
    /// What became of the work.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub run: Option<RunState>,
    /// When to come back, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Constraints that were broken.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub violations: Vec<Violation>,
    /// The change that came first.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub conflict: Option<Conflict>,
}

impl Problem {
    /// Returns a problem for an answer that carries none.
    pub fn from_status(status: u16) -> Self {
        Self {
            title: format!("The server answered with status {status}."),
            status,
            ..Self::default()
        }
    }

    /// Returns what became of the work, the worst when the server does not say.
    pub fn run(&self) -> RunState {
        let by_kind = self.kind.map(|kind| kind.answer().run);
        self.run.or(by_kind).unwrap_or(match self.status {
            400..SERVER_ERROR => RunState::NotRun,
            _ => RunState::MayHaveRun,
        })
    }
}

impl Display for Problem {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(if self.title.is_empty() { "The server refused." } else { &self.title })?;
        if !self.detail.is_empty() {
            write!(f, " {}", self.detail)?;
        }
        for violation in &self.violations {
            write!(f, "\n  {violation}")?;
        }
        if let Some(conflict) = &self.conflict {
            write!(f, "\n  {conflict}")?;
        }
        match self.retry_after_ms {
            Some(ms) => write!(f, "\n  come back in {ms} ms"),
            None => Ok(()),
        }
    }
}

/// A broken constraint.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Violation {
    /// Resource that breaks it.
    pub resource: String,
    /// Field that breaks it.
    #[serde(default)]
    pub field: String,
    /// The constraint.
    pub rule: String,
}

impl Display for Violation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}", self.resource, self.field, self.rule)
    }
}

/// The change that came first.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Conflict {
    /// Generation in force.
    pub generation: u64,
    /// Resources that the other change touched.
    #[serde(default)]
    pub changed: Vec<String>,
}

impl Display for Conflict {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "generation {} changed {}", self.generation, self.changed.join(", "))
    }
}

/// Reads a kind; one that this tool does not know yet falls back to the status.
fn known_kind<'de, D>(deserializer: D) -> Result<Option<ErrorKind>, D::Error>
where
    D: Deserializer<'de>,
{
    let value = Value::deserialize(deserializer)?;
    Ok(serde_json::from_value(value).ok())
}
