//! Commands, one module each.

use tokio::runtime::Builder;

use crate::{
    cli::{Cli, Command, GlobalOptions},
    client::Client,
    error::Error,
    exit::Exit,
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
mod transaction;
mod wait;

/// Runs the command of a command line.
pub fn run(cli: Cli) -> Result<Exit, Error> {
    if let Command::Completion(args) = cli.command {
        return completion::run(args.shell);
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
        Command::Status => status::run(&client, format).await,
        Command::Addresses => addresses::run(&client, format).await,
        Command::Ask(args) => ask::run(&client, format, args).await,
        Command::Request(args) => request::run(&client, format, &args).await,
        Command::Metrics => metrics::run(&client, format).await,
        Command::Explain(args) => explain::run(&client, format, &args).await,
        // It needs no server and was handled before.
        Command::Completion(_) => Ok(Exit::Done),
    }
}
