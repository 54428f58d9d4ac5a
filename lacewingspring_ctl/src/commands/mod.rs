//! Commands, one module each.

use serde::de::DeserializeOwned;
use tokio::runtime::Builder;

use crate::{
    api::{AddressList, FleetStatus, MetricsReport},
    cli::{Cli, Command, Format, GlobalOptions},
    client::{Call, Client},
    error::Error,
    exit::Exit,
    output::{self, Render},
};

mod addresses;
mod apply;
mod ask;
mod completion;
mod delete;
mod describe;
mod diff;
mod explain;
mod get;
mod metrics;
mod request;
mod status;
mod timeline;
mod transaction;
mod wait;

/// Sends a read-only call and prints its response.
async fn fetch_and_print<T>(client: &Client, format: Format, call: Call) -> Result<Exit, Error>
where
    T: Render + DeserializeOwned,
{
    let response: T = client.fetch(call).await?;
    output::print(format, &response)?;
    Ok(Exit::Done)
}

/// Runs the command that the command line names. Completion scripts and the timeline from logs need
/// no instance.
pub fn run(cli: Cli) -> Result<Exit, Error> {
    if let Command::Completion(args) = cli.command {
        return completion::run(args.shell);
    }
    if let Command::Explain(args) = &cli.command
        && !args.logs.is_empty()
    {
        return timeline::run(cli.global.output, &args.request, &args.logs);
    }
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(run_remote(&cli.global, cli.command))
}

async fn run_remote(global: &GlobalOptions, command: Command) -> Result<Exit, Error> {
    let token = global.token()?;
    let client = Client::new(global.addresses.clone(), token.as_deref(), global.timeout)?;
    let format = global.output;
    match command {
        Command::Apply(args) => apply::run(&client, format, &args).await,
        Command::Diff(args) => diff::run(&client, format, &args).await,
        Command::Get(args) => get::run(&client, format, args).await,
        Command::Describe(args) => describe::run(&client, format, &args).await,
        Command::Delete(args) => delete::run(&client, format, args).await,
        Command::Wait(args) => wait::run(&client, format, args.generation).await,
        Command::Status => {
            fetch_and_print::<FleetStatus>(&client, format, Call::get("/operator/v1/status")?).await
        }
        Command::Addresses => {
            fetch_and_print::<AddressList>(&client, format, Call::get("/v1/addresses")?).await
        }
        Command::Ask(args) => ask::run(&client, format, args).await,
        Command::Request(args) => request::run(&client, format, &args).await,
        Command::Metrics => {
            fetch_and_print::<MetricsReport>(&client, format, Call::get("/operator/v1/metrics")?)
                .await
        }
        Command::Explain(args) => explain::run(&client, format, &args).await,
        // Handled in `run`, since it needs no instance.
        Command::Completion(_) => Ok(Exit::Done),
    }
}
