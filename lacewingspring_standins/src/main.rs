//! Command line of the stand-ins and the load tool.

use std::{future::Future, io, net::SocketAddr};

use clap::{Args, Parser, Subcommand};
use tokio::{net::TcpListener, task::JoinSet};

use lacewingspring_standins::{engine, instance_list, key_value, load, plain, weights};

/// Simulates the external systems of the scheduler and runs loads on a deployment.
#[derive(Parser)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs key-value services that speak the JSON gateway protocol of etcd v3.
    KeyValue(StandInArgs<key_value::Settings>),
    /// Runs simulated inference engines with continuous batching and the OpenAI completions API.
    Engine(StandInArgs<engine::Settings>),
    /// Runs plain HTTP services that record the calls they receive.
    Plain(StandInArgs<plain::Settings>),
    /// Runs instance lists that speak the HTTP API of Consul.
    InstanceList(StandInArgs<instance_list::Settings>),
    /// Runs weight stores with a limited bandwidth.
    Weights(StandInArgs<weights::Settings>),
    /// Runs a load on a deployment.
    Load(load::LoadArgs),
    /// Sets up the deployment of a scenario, in steps.
    Deploy(load::DeployArgs),
    /// Prints reports of loads side by side.
    Compare(load::CompareArgs),
}

#[derive(Args)]
struct StandInArgs<S>
where
    S: Args,
{
    /// Address to listen on. Repeat it to run several independent stand-ins; port 0 binds a free
    /// port.
    #[arg(long, required = true)]
    listen: Vec<SocketAddr>,
    #[command(flatten)]
    settings: S,
}

impl<S> StandInArgs<S>
where
    S: Args + Clone,
{
    /// Serves one stand-in per address until the first of them stops, and returns its result.
    async fn serve_all<F, Fut>(self, serve: F) -> io::Result<()>
    where
        F: Fn(TcpListener, S) -> Fut,
        Fut: Future<Output = io::Result<()>> + Send + 'static,
    {
        let mut servers = JoinSet::new();
        for addr in self.listen {
            let listener = TcpListener::bind(addr).await?;
            println!("listening on {}", listener.local_addr()?);
            servers.spawn(serve(listener, self.settings.clone()));
        }
        match servers.join_next().await {
            Some(result) => result?,
            None => Ok(()),
        }
    }
}

#[tokio::main]
async fn main() -> io::Result<()> {
    match Cli::parse().command {
        Command::KeyValue(args) => args.serve_all(key_value::serve).await,
        Command::Engine(args) => args.serve_all(engine::serve).await,
        Command::Plain(args) => args.serve_all(plain::serve).await,
        Command::InstanceList(args) => args.serve_all(instance_list::serve).await,
        Command::Weights(args) => args.serve_all(weights::serve).await,
        Command::Load(args) => load::load(args).await,
        Command::Deploy(args) => load::deploy(args).await,
        Command::Compare(args) => load::compare(&args),
    }
}
