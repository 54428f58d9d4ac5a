//! Runs the load of a scenario with one policy.

use std::{
    collections::HashSet,
    fs, io,
    path::Path,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::{
    task::JoinSet,
    time::{sleep, sleep_until},
};

use super::{
    Policy,
    addresses::AddressBooks,
    arrivals::{Arrival, generate},
    baseline::{Baseline, Choice},
    caller::{Caller, Route, Shared},
    client::{Send, control},
    deploy, journals,
    outcome::{Outcome, Verdict},
    report::Report,
    scenario::{Deployment, Fault, Scenario},
    stats::Stats,
};
use crate::engine;

/// Time before the first arrival.
const LEAD: Duration = Duration::from_millis(300);

/// Time after the last answer until the journals are read.
const SETTLE: Duration = Duration::from_millis(1_500);

/// File that appears in the folder when the load starts.
const STARTED: &str = "started";

/// Runs the load and returns what was measured.
///
/// # Errors
///
/// Fails when the fleet isn't ready, or the folder can't be written.
pub async fn run(
    scenario: Scenario,
    policy: Policy,
    seed: u64,
    out: Option<&Path>,
) -> io::Result<Report> {
    if policy == Policy::Fleet {
        deploy::wait_until_ready(&scenario.deployment).await?;
        journals::reset(&scenario.deployment).await;
    }
    let arrivals = generate(&scenario, seed);
    let route = route(&scenario.deployment, policy);
    let start = Instant::now() + LEAD;
    if let Some(folder) = out {
        fs::create_dir_all(folder)?;
        fs::write(folder.join(STARTED), "")?;
    }
    let shared = Arc::new(Shared { scenario, route, start, seed });
    let faults = tokio::spawn(give_faults(shared.clone()));
    let outcomes = call(&shared, &arrivals).await;
    faults.abort();
    sleep(SETTLE).await;
    Ok(report(&shared, policy, &arrivals, &outcomes).await)
}

fn route(deployment: &Deployment, policy: Policy) -> Route {
    match policy {
        Policy::Fleet => Route::Fleet(AddressBooks::new(deployment)),
        Policy::RoundRobin => Route::Upstreams(Baseline::start(deployment, Choice::RoundRobin)),
        Policy::LeastLoad => Route::Upstreams(Baseline::start(deployment, Choice::LeastLoad)),
    }
}

async fn call(shared: &Arc<Shared>, arrivals: &[Arrival]) -> Vec<Outcome> {
    let mut callers = JoinSet::new();
    for arrival in arrivals {
        callers.spawn(Caller::new(shared.clone(), arrival.clone()).run());
    }
    callers.join_all().await
}

async fn give_faults(shared: Arc<Shared>) {
    let mut faults: Vec<&Fault> = shared.scenario.load.faults.iter().collect();
    faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    for fault in faults {
        sleep_until((shared.start + Duration::from_secs_f64(fault.at_s)).into()).await;
        let Ok(stand_in) = shared.scenario.deployment.stand_in(&fault.stand_in) else { continue };
        let send = Send { body: fault.faults.to_string(), ..Send::new("PUT", "/faults") };
        if control(stand_in, send).await.is_none() {
            eprintln!("The fault of {} was not taken.", fault.stand_in);
        }
    }
}

async fn report(
    shared: &Shared,
    policy: Policy,
    arrivals: &[Arrival],
    outcomes: &[Outcome],
) -> Report {
    let deployment = &shared.scenario.deployment;
    let mut stats = Stats::new(deployment);
    let mut answered = HashSet::new();
    for outcome in outcomes {
        let arrival = &arrivals[outcome.number];
        stats.add(arrival, outcome);
        if outcome.verdict == Verdict::Answered {
            answered.insert(engine::sha8(&arrival.text));
        }
    }
    Report {
        scenario: shared.scenario.name.clone(),
        policy: policy.name().to_owned(),
        seed: shared.seed,
        groups: stats.report(),
        work: journals::collect(deployment, &answered).await,
    }
}
