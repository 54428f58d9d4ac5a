//! Command line: options, commands and their help.

use std::{env, fs, net::SocketAddr, path::PathBuf, time::Duration};

use clap::{ArgAction, Args, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use lacewingspring_core::resources::ResourceKind;

use crate::error::Error;

/// Environment variable that holds the bearer token.
const TOKEN_VARIABLE: &str = "LACEWINGSPRING_TOKEN";

/// Shortest accepted `--timeout`.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);

/// Longest accepted `--timeout`: one day.
const MAX_TIMEOUT: Duration = Duration::from_secs(86_400);

/// Longest accepted `--deadline-ms`, in milliseconds: one day.
const MAX_DEADLINE_MS: u64 = 86_400_000;

const AFTER_HELP: &str = "\
EXIT STATUS:
  0  Done.
  1  The declared state differs, or is not in force everywhere.
  2  The command line or a file cannot be used.
  3  A constraint refuses the change or the request.
  4  Another change or another request came first.
  5  Not authorised.
  6  Nothing by this name.
  7  Unavailable or timed out; nothing was run or changed, come back.
  8  The request may have run; `request KEY` or `diff` tells more.

ENVIRONMENT:
  LACEWINGSPRING_ADDRESSES  Comma-separated addresses, used if --address is not given.
  LACEWINGSPRING_TOKEN      Bearer token, used if --token-file is not given.

EXAMPLES:
  lacewingspring_ctl diff -f services.json
  lacewingspring_ctl apply -f services.json workspaces.json --expect-generation 7 --wait
  lacewingspring_ctl get service --output json | lacewingspring_ctl apply --dry-run -f -
  lacewingspring_ctl ask tutor \"Where is the nearest exit?\" --deadline-ms 2000";

/// Manages resources of a lacewingspring fleet, shows its state and sends requests to services.
#[derive(Debug, Parser)]
#[command(version, after_help = AFTER_HELP, max_term_width = 100)]
pub struct Cli {
    /// Options of all commands.
    #[command(flatten)]
    pub global: GlobalOptions,
    /// Command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Options of all commands.
#[derive(Debug, Args)]
pub struct GlobalOptions {
    /// Address of an instance; the next one is tried if it is unreachable or leaving
    #[arg(
        long = "address",
        value_name = "IP:PORT",
        env = "LACEWINGSPRING_ADDRESSES",
        value_delimiter = ',',
        action = ArgAction::Append,
        global = true,
        hide_env = true
    )]
    pub addresses: Vec<SocketAddr>,
    /// File with the bearer token
    #[arg(long, value_name = "PATH", global = true)]
    pub token_file: Option<PathBuf>,
    /// Output format
    #[arg(long, short, value_enum, default_value_t, global = true)]
    pub output: Format,
    /// Longest time to wait for a response, in seconds
    #[arg(
        long,
        value_name = "SECONDS",
        default_value = "30",
        value_parser = parse_seconds,
        global = true
    )]
    pub timeout: Duration,
}

impl GlobalOptions {
    /// Returns the bearer token. The token file takes precedence over the environment variable.
    pub fn token(&self) -> Result<Option<String>, Error> {
        let Some(path) = &self.token_file else {
            return Ok(env::var(TOKEN_VARIABLE).ok().filter(|token| !token.is_empty()));
        };
        let token = fs::read_to_string(path);
        let token = token.map_err(|source| Error::Token { path: path.clone(), source })?;
        Ok(Some(token))
    }
}

/// Output formats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// Human-readable tables.
    #[default]
    Table,
    /// JSON for scripts.
    Json,
}

/// Commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Declare the resources listed in files, in one transaction
    Apply(ApplyArgs),
    /// Show what apply would change; exits with status 1 if there are differences
    Diff(FileArgs),
    /// List declared resources
    Get(GetArgs),
    /// Show declared state, reported state and why they differ
    Describe(ResourceArgs),
    /// Remove a resource
    Delete(DeleteArgs),
    /// Wait until every live instance applies a generation
    Wait(WaitArgs),
    /// Show instances and roles
    Status,
    /// Show the addresses that callers should use
    Addresses,
    /// Send a request to a service and print the response as it arrives
    Ask(AskArgs),
    /// Show the state of a request by its key; an unknown key is voided and never runs
    Request(RequestArgs),
    /// Show histograms by workspace and tier
    Metrics,
    /// Show the scheduling decisions about a request and their reasons
    Explain(ExplainArgs),
    /// Print a completion script
    Completion(CompletionArgs),
}

/// Arguments of `apply`.
#[derive(Debug, Args)]
pub struct ApplyArgs {
    /// Files with the resources to declare.
    #[command(flatten)]
    pub input: FileArgs,
    /// Options of the change.
    #[command(flatten)]
    pub change: ChangeArgs,
}

/// Files that list resources.
#[derive(Debug, Args)]
pub struct FileArgs {
    /// JSON file with one resource, an array of them or {"resources": [..]}; - reads standard input
    #[arg(short = 'f', long = "file", value_name = "FILE", num_args = 1.., required = true)]
    pub files: Vec<PathBuf>,
}

/// Options of commands that change resources.
#[derive(Clone, Copy, Debug, Args)]
pub struct ChangeArgs {
    /// Validate the change and show the differences without applying it
    #[arg(long)]
    pub dry_run: bool,
    /// Reject the change unless this is the latest generation
    #[arg(long, value_name = "N")]
    pub expect_generation: Option<u64>,
    /// Wait until every live instance applies the change
    #[arg(long, conflicts_with = "dry_run")]
    pub wait: bool,
}

/// Arguments of `get`.
#[derive(Debug, Args)]
pub struct GetArgs {
    /// Kind of the resources
    pub kind: Option<Kind>,
    /// Name of one resource
    pub name: Option<String>,
}

/// Kind and name of one resource.
#[derive(Debug, Args)]
pub struct ResourceArgs {
    /// Kind of the resource
    pub kind: Kind,
    /// Name of the resource
    pub name: String,
}

/// Arguments of `delete`.
#[derive(Debug, Args)]
pub struct DeleteArgs {
    /// Resource to remove.
    #[command(flatten)]
    pub resource: ResourceArgs,
    /// Options of the change.
    #[command(flatten)]
    pub change: ChangeArgs,
}

/// Arguments of `wait`.
#[derive(Debug, Args)]
pub struct WaitArgs {
    /// Generation to wait for, for at most --timeout
    #[arg(long, value_name = "N")]
    pub generation: u64,
}

/// Arguments of `ask`.
#[derive(Debug, Args)]
pub struct AskArgs {
    /// Name of the service
    pub service: String,
    /// Prompt, or the JSON body with --plain; - reads standard input
    pub prompt: String,
    /// Idempotency key; if absent, a random one is generated and printed
    #[arg(long)]
    pub key: Option<String>,
    /// Maximum number of tokens to generate
    #[arg(long, value_name = "N", conflicts_with = "plain")]
    pub max_tokens: Option<u32>,
    /// Longest wait before dispatch, in milliseconds; defaults to --timeout
    #[arg(
        long,
        value_name = "MS",
        value_parser = clap::value_parser!(u64).range(1..=MAX_DEADLINE_MS)
    )]
    pub deadline_ms: Option<u64>,
    /// Send the request to this path of a plain service
    #[arg(long, value_name = "PATH")]
    pub plain: Option<String>,
}

/// Arguments of `request`.
#[derive(Debug, Args)]
pub struct RequestArgs {
    /// Idempotency key
    pub key: String,
}

/// Arguments of `explain`.
#[derive(Debug, Args)]
pub struct ExplainArgs {
    /// Workspace of the request or, with --log, the id of the request
    #[arg(value_name = "WORKSPACE|ID")]
    pub request: String,
    /// Idempotency key
    #[arg(required_unless_present = "logs", conflicts_with = "logs")]
    pub key: Option<String>,
    /// Instance log to read instead of querying the fleet; - reads standard input
    #[arg(long = "log", value_name = "PATH", num_args = 1..)]
    pub logs: Vec<PathBuf>,
}

/// Arguments of `completion`.
#[derive(Debug, Args)]
pub struct CompletionArgs {
    /// Shell that the script is for
    pub shell: Shell,
}

/// Resource kinds, with the aliases that the command line accepts.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum Kind {
    /// A priority tier
    #[value(alias = "tiers")]
    Tier,
    /// A pool of inference engines or plain servers
    #[value(name = "engine_pool", aliases = ["engine_pools", "engine-pool", "pool", "pools"])]
    EnginePool,
    /// A service that callers address
    #[value(alias = "services")]
    Service,
    /// A workspace
    #[value(alias = "workspaces")]
    Workspace,
    /// An operator
    #[value(alias = "operators")]
    Operator,
}

impl From<Kind> for ResourceKind {
    fn from(kind: Kind) -> Self {
        match kind {
            Kind::Tier => Self::Tier,
            Kind::EnginePool => Self::EnginePool,
            Kind::Service => Self::Service,
            Kind::Workspace => Self::Workspace,
            Kind::Operator => Self::Operator,
        }
    }
}

fn parse_seconds(text: &str) -> Result<Duration, String> {
    let seconds = text.parse().ok().and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    match seconds {
        Some(timeout) if (MIN_TIMEOUT..=MAX_TIMEOUT).contains(&timeout) => Ok(timeout),
        _ => Err("expected a number of seconds from 0.001 to 86400".to_owned()),
    }
}
