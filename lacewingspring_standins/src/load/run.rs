//! Runs the load of a scenario under one policy.

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
    addresses::AddressCache,
    arrivals::{Arrival, generate},
    baseline::{Baseline, EngineSelection},
    caller::{Caller, Route, RunContext},
    client::{OutgoingRequest, exchange_json},
    deploy, journals,
    outcome::{Outcome, Verdict},
    report::Report,
    scenario::{Deployment, Fault, Scenario},
    stats::Stats,
};
use crate::engine;

/// Time allowed for creating the callers before the load starts.
const START_DELAY: Duration = Duration::from_millis(300);

/// Delay after the last outcome before the journals are read.
const JOURNAL_READ_DELAY: Duration = Duration::from_millis(1_500);

/// File created in the report folder shortly before the load starts; scripts wait for it.
const STARTED_FILE: &str = "started";

/// Runs the load and returns its report.
///
/// # Errors
///
/// Fails if the fleet isn't ready in time or the folder can't be written.
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
    let route = build_route(&scenario.deployment, policy);
    let start = Instant::now() + START_DELAY;
    if let Some(folder) = out {
        fs::create_dir_all(folder)?;
        fs::write(folder.join(STARTED_FILE), "")?;
    }
    let context = Arc::new(RunContext { scenario, route, start, seed });
    let faults = tokio::spawn(inject_faults(context.clone()));
    let outcomes = run_callers(&context, &arrivals).await;
    faults.abort();
    sleep(JOURNAL_READ_DELAY).await;
    Ok(build_report(&context, policy, &arrivals, &outcomes).await)
}

fn build_route(deployment: &Deployment, policy: Policy) -> Route {
    match policy {
        Policy::Fleet => Route::Fleet(AddressCache::new(deployment)),
        Policy::RoundRobin => {
            Route::Upstreams(Baseline::start(deployment, EngineSelection::RoundRobin))
        }
        Policy::LeastLoad => {
            Route::Upstreams(Baseline::start(deployment, EngineSelection::LeastLoad))
        }
    }
}

async fn run_callers(context: &Arc<RunContext>, arrivals: &[Arrival]) -> Vec<Outcome> {
    let mut callers = JoinSet::new();
    for arrival in arrivals {
        callers.spawn(Caller::new(context.clone(), arrival.clone()).run());
    }
    callers.join_all().await
}

/// Sends each fault to its stand-in at its time; a rejected fault is reported and skipped.
async fn inject_faults(context: Arc<RunContext>) {
    let mut faults: Vec<&Fault> = context.scenario.load.faults.iter().collect();
    faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    for fault in faults {
        sleep_until((context.start + Duration::from_secs_f64(fault.at_s)).into()).await;
        let Ok(address) = context.scenario.deployment.address_of(&fault.stand_in) else { continue };
        let request = OutgoingRequest {
            body: fault.faults.to_string(),
            ..OutgoingRequest::new("PUT", "/faults")
        };
        if exchange_json(address, request).await.is_none() {
            eprintln!(
                "Stand-in {} did not accept a scheduled fault; the load continues without it.",
                fault.stand_in
            );
        }
    }
}

async fn build_report(
    context: &RunContext,
    policy: Policy,
    arrivals: &[Arrival],
    outcomes: &[Outcome],
) -> Report {
    let deployment = &context.scenario.deployment;
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
        scenario: context.scenario.name.clone(),
        policy: policy.name().to_owned(),
        seed: context.seed,
        groups: stats.report(),
        work: journals::collect(deployment, &answered).await,
    }
}
