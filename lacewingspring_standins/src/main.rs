//! Runs stand-ins for the systems around the scheduler.

use std::{future::Future, io, net::SocketAddr};

use clap::{Args, Parser, Subcommand};
use tokio::{net::TcpListener, task::JoinSet};

use lacewingspring_standins::{engine, instance_list, key_value, load, plain, weights};

/// Stand-ins for the systems around the scheduler.
#[derive(Parser)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Key-value service with the JSON gateway of etcd v3.
    KeyValue(Instances<key_value::Settings>),
    /// Engine with continuous batching behind OpenAI completions.
    Engine(Instances<engine::Settings>),
    /// Plain HTTP service that records its calls.
    Plain(Instances<plain::Settings>),
    /// Instance list with the HTTP API of Consul.
    InstanceList(Instances<instance_list::Settings>),
    /// Weight store with a rate limit.
    Weights(Instances<weights::Settings>),
    /// Runs a load on a deployment.
    Load(load::LoadArgs),
    /// Sets up the deployment of a scenario, in steps.
    Deploy(load::DeployArgs),
    /// Prints reports of loads side by side.
    Compare(load::CompareArgs),
}

#[derive(Args)]
struct Instances<S>
where
    S: Args,
{
    /// Address to listen on; repeated for several independent ones, port 0 chooses a port.
    #[arg(long, required = true)]
    listen: Vec<SocketAddr>,
    #[command(flatten)]
    settings: S,
}

impl<S> Instances<S>
where
    S: Args + Clone,
{
    /// Serves all instances; returns the first error.
    async fn run<F, Fut>(self, serve: F) -> io::Result<()>
    where
        F: Fn(TcpListener, S) -> Fut,
        Fut: Future<Output = io::Result<()>> + Send + 'static,
    {
        let mut running = JoinSet::new();
        for addr in self.listen {
            let listener = TcpListener::bind(addr).await?;
            println!("listening on {}", listener.local_addr()?);
            running.spawn(serve(listener, self.settings.clone()));
        }
        match running.join_next().await {
            Some(ended) => ended?,
            None => Ok(()),
        }
    }
}

#[tokio::main]
async fn main() -> io::Result<()> {
    match Cli::parse().command {
        Command::KeyValue(instances) => instances.run(key_value::serve).await,
        Command::Engine(instances) => instances.run(engine::serve).await,
        Command::Plain(instances) => instances.run(plain::serve).await,
        Command::InstanceList(instances) => instances.run(instance_list::serve).await,
        Command::Weights(instances) => instances.run(weights::serve).await,
        Command::Load(args) => load::load(args).await,
        Command::Deploy(args) => load::deploy(args).await,
        Command::Compare(args) => load::compare(&args),
    }
}
