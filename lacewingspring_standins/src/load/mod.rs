//! Load tool: open-loop arrivals on a deployment, with the fleet's policy or a baseline.
//!
//! Network delays are slept at the callers: one way between a caller and the data centre of the
//! instance it uses. Delays between instances, and between instances and upstreams or platform
//! services, are not simulated, for any policy.

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

/// How requests reach the upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Policy {
    /// Through the instances.
    Fleet,
    /// Straight to the upstreams, one after the other.
    RoundRobin,
    /// Straight to the less loaded of two engines, by their reports.
    LeastLoad,
}

impl Policy {
    /// Name on the command line and in reports.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Fleet => "fleet",
            Self::RoundRobin => "round-robin",
            Self::LeastLoad => "least-load",
        }
    }
}

/// Arguments of a load.
#[derive(Debug, Args)]
pub struct LoadArgs {
    /// Scenario file.
    #[arg(long)]
    pub scenario: PathBuf,
    /// How requests reach the upstreams.
    #[arg(long, value_enum, default_value = "fleet")]
    pub policy: Policy,
    /// Seed of the arrivals.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Folder for the report.
    #[arg(long)]
    pub out: Option<PathBuf>,
    /// Instead of a load, compares the first token with direct calls.
    #[arg(long)]
    pub compare_direct: bool,
    /// Requests of a comparison on each path.
    #[arg(long, default_value_t = 1_000)]
    pub requests: usize,
}

/// Arguments of the set-up of a deployment.
#[derive(Debug, Args)]
pub struct DeployArgs {
    /// Scenario file.
    #[arg(long)]
    pub scenario: PathBuf,
    /// Step of the set-up.
    #[arg(value_enum)]
    pub step: DeployStep,
    /// Folder for the settings of the daemons; holds the authority.
    #[arg(long, required_if_eq("step", "settings"))]
    pub folder: Option<PathBuf>,
}

/// Step of the set-up of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum DeployStep {
    /// Serves the stand-ins until stopped.
    Serve,
    /// Writes the settings of the daemons and the resources to declare.
    Settings,
    /// Lists the instances.
    List,
    /// Waits until the fleet serves.
    Ready,
    /// Prints a line for each instance to kill: the seconds after the one before, and its name.
    Kills,
}

/// Arguments of a comparison of reports.
#[derive(Debug, Args)]
pub struct CompareArgs {
    /// Reports of one scenario.
    #[arg(required = true)]
    pub reports: Vec<PathBuf>,
    /// SVG file with percentiles of the first token.
    #[arg(long)]
    pub plot: Option<PathBuf>,
}

/// Runs a load and prints its report.
///
/// # Errors
///
/// Fails when the scenario can't be read, the fleet isn't ready or a file can't be written.
pub async fn load(args: LoadArgs) -> io::Result<()> {
    let scenario = Scenario::read(&args.scenario).map_err(io::Error::other)?;
    if args.compare_direct {
        return direct::compare(&scenario.deployment, args.requests).await;
    }
    let report = run::run(scenario, args.policy, args.seed, args.out.as_deref()).await?;
    print!("{report}");
    args.out.map_or(Ok(()), |folder| report.write(&folder))
}

/// Carries out a step of the set-up of a deployment.
///
/// # Errors
///
/// Fails when the scenario can't be read or the step fails.
pub async fn deploy(args: DeployArgs) -> io::Result<()> {
    let scenario = Scenario::read(&args.scenario).map_err(io::Error::other)?;
    let deployment = &scenario.deployment;
    match args.step {
        DeployStep::Serve => deploy::serve(deployment).await,
        DeployStep::Settings => {
            deploy::write_settings(deployment, &args.folder.unwrap_or_default())
        }
        DeployStep::List => deploy::list(deployment).await,
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
    let mut before = 0.0;
    for kill in kills {
        println!("{} {}", kill.at_s - before, instances[kill.instance].name);
        before = kill.at_s;
    }
}

/// Prints reports side by side and plots them.
///
/// # Errors
///
/// Fails when a report can't be read or the plot can't be written.
pub fn compare(args: &CompareArgs) -> io::Result<()> {
    let reports: Result<Vec<_>, _> = args.reports.iter().map(|path| Report::read(path)).collect();
    let reports = reports?;
    print!("{}", Comparison(&reports));
    args.plot.as_ref().map_or(Ok(()), |path| fs::write(path, plot::first_token(&reports)))
}
