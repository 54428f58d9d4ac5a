//! Load tool: sends open-loop arrivals to a deployment, through the fleet or a baseline policy.
//!
//! Callers simulate the network by sleeping for the one-way delay to the data centre of the
//! instance they use, before a request and after its response. No policy simulates delays between
//! instances, or between instances and upstreams or platform services.

use std::{fs, io, path::PathBuf};

use clap::{Args, ValueEnum};

use self::{
    report::{Comparison, Report},
    scenario::Scenario,
};

mod addresses;
pub mod arrivals;
mod baseline;
mod caller;
mod client;
mod deploy;
mod direct;
pub mod journals;
mod outcome;
pub mod plot;
pub mod report;
mod run;
pub mod scenario;
pub mod stats;

/// Path on which requests reach the upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Policy {
    /// Through the instances.
    Fleet,
    /// Directly to the upstreams, each in turn.
    RoundRobin,
    /// Directly to the less loaded of two random engines, by their metrics.
    LeastLoad,
}

impl Policy {
    /// Name of the policy on the command line and in reports.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Fleet => "fleet",
            Self::RoundRobin => "round-robin",
            Self::LeastLoad => "least-load",
        }
    }
}

/// Arguments of a load run.
#[derive(Debug, Args)]
pub struct LoadArgs {
    /// Scenario file.
    #[arg(long)]
    pub scenario: PathBuf,
    /// Path on which requests reach the upstreams.
    #[arg(long, value_enum, default_value = "fleet")]
    pub policy: Policy,
    /// Seed of the arrivals and of the idempotency keys.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Folder that receives the report.
    #[arg(long)]
    pub out: Option<PathBuf>,
    /// Compares the time to first token with direct calls instead of running the load.
    #[arg(long)]
    pub compare_direct: bool,
    /// Measured requests on each path of the comparison.
    #[arg(long, default_value_t = 1_000)]
    pub requests: usize,
}

/// Arguments of a set-up step.
#[derive(Debug, Args)]
pub struct DeployArgs {
    /// Scenario file.
    #[arg(long)]
    pub scenario: PathBuf,
    /// Step to carry out.
    #[arg(value_enum)]
    pub step: DeployStep,
    /// Folder that holds the authority and receives the settings of the daemons.
    #[arg(long, required_if_eq("step", "settings"))]
    pub folder: Option<PathBuf>,
}

/// Step of the set-up of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum DeployStep {
    /// Serves the stand-ins until one fails or the process is killed.
    Serve,
    /// Writes the settings of the daemons and the resources to declare.
    Settings,
    /// Registers the instances in the instance list.
    List,
    /// Waits until every instance serves requests.
    Ready,
    /// Prints a line for each instance to kill: the seconds since the previous kill, and its name.
    Kills,
}

/// Arguments of a comparison of reports.
#[derive(Debug, Args)]
pub struct CompareArgs {
    /// Report files of one scenario.
    #[arg(required = true)]
    pub reports: Vec<PathBuf>,
    /// SVG file to write, with percentiles of the time to first token.
    #[arg(long)]
    pub plot: Option<PathBuf>,
}

/// Runs the load of a scenario and prints its report.
///
/// # Errors
///
/// Fails if the scenario can't be read, the fleet isn't ready in time, a call of the comparison
/// fails or a file can't be written.
pub async fn load(args: LoadArgs) -> io::Result<()> {
    let scenario = Scenario::read(&args.scenario).map_err(io::Error::other)?;
    if args.compare_direct {
        return direct::compare(&scenario.deployment, args.requests).await;
    }
    let report = run::run(scenario, args.policy, args.seed, args.out.as_deref()).await?;
    print!("{report}");
    args.out.map_or(Ok(()), |folder| report.write(&folder))
}

/// Carries out one step of the set-up of a deployment.
///
/// # Errors
///
/// Fails if the scenario can't be read or the step fails.
pub async fn deploy(args: DeployArgs) -> io::Result<()> {
    let scenario = Scenario::read(&args.scenario).map_err(io::Error::other)?;
    let deployment = &scenario.deployment;
    match args.step {
        DeployStep::Serve => deploy::serve(deployment).await,
        DeployStep::Settings => {
            deploy::write_settings(deployment, &args.folder.unwrap_or_default())
        }
        DeployStep::List => deploy::register_instances(deployment).await,
        DeployStep::Ready => deploy::wait_until_ready(deployment).await,
        DeployStep::Kills => {
            print_kills(&scenario);
            Ok(())
        }
    }
}

fn print_kills(scenario: &Scenario) {
    let instances = scenario.deployment.instances();
    let mut kills = scenario.load.kills.clone();
    kills.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    let mut previous_s = 0.0;
    for kill in kills {
        println!("{} {}", kill.at_s - previous_s, instances[kill.instance].name);
        previous_s = kill.at_s;
    }
}

/// Prints reports side by side and, if asked to, plots them.
///
/// # Errors
///
/// Fails if a report can't be read or the plot can't be written.
pub fn compare(args: &CompareArgs) -> io::Result<()> {
    let reports: Result<Vec<_>, _> = args.reports.iter().map(|path| Report::read(path)).collect();
    let reports = reports?;
    print!("{}", Comparison(&reports));
    args.plot.as_ref().map_or(Ok(()), |path| fs::write(path, plot::first_token(&reports)))
}
