//! Snapshots of the gate's decisions in small fixed scenarios.

use std::{fmt::Write, time::Duration};

use lacewingspring_core::gate::{Decision, Gate, Outcome, PermitRequest, Resume, Ticket};

use self::gate_model::{Job, specs};

mod gate_model;

/// Writes one line for a call and one for each decision that it returned.
fn log_call(log: &mut String, call: &str, decisions: &[Decision]) {
    writeln!(log, "{call}").unwrap();
    for decision in decisions {
        match decision {
            Decision::Granted(Ticket(id), name) => writeln!(log, "  {id} granted {name}").unwrap(),
            Decision::Park(Ticket(id)) => writeln!(log, "  {id} ordered to park").unwrap(),
            Decision::Refused(Ticket(id), kind, after) => {
                let seconds = after.as_secs_f64();
                writeln!(log, "  {id} refused {kind:?}, retry after {seconds:.2} s").unwrap();
            }
        }
    }
}

fn request(rank: u8, workspace: &'static str) -> PermitRequest {
    Job::new(0.0, rank, workspace, 200, 50).request()
}

#[test]
fn top_tier_request_parks_lowest_tier_run_which_resumes() {
    let mut gate = Gate::new(specs(1, 2));
    let mut log = String::new();
    let now = Duration::from_secs(1);
    log_call(
        &mut log,
        "request 1, tier 1",
        &gate.request_permit(now, Ticket(1), request(1, "notaries")),
    );
    let longer = PermitRequest {
        cost: Job::new(0.0, 2, "", 900, 50).request().cost,
        ..request(2, "notaries")
    };
    log_call(&mut log, "request 2, tier 2", &gate.request_permit(now, Ticket(2), longer.clone()));
    log_call(
        &mut log,
        "request 3, tier 2, waits",
        &gate.request_permit(now, Ticket(3), request(2, "notaries")),
    );
    log_call(
        &mut log,
        "request 4, tier 0",
        &gate.request_permit(now, Ticket(4), request(0, "bailiffs")),
    );
    log_call(&mut log, "2 is parked", &gate.parked(now, Ticket(2)));
    let resume = Some(Resume { kv_exported: true, generated_tokens: 10 });
    log_call(
        &mut log,
        "2 requests a permit again",
        &gate.request_permit(now, Ticket(2), PermitRequest { resume, ..longer }),
    );
    let done = Outcome::Finished(50);
    log_call(&mut log, "4 ends", &gate.ended(now, Ticket(4), done));
    log_call(&mut log, "1 ends", &gate.ended(now, Ticket(1), done));
    insta::assert_snapshot!(log, @"
    request 1, tier 1
      1 granted up000
    request 2, tier 2
      2 granted up000
    request 3, tier 2, waits
    request 4, tier 0
      2 ordered to park
    2 is parked
      4 granted up000
    2 requests a permit again
    4 ends
    1 ends
      2 granted up000
    ");
}

#[test]
fn overload_evicts_from_lowest_tier_and_largest_workspace() {
    let mut gate = Gate::new(specs(1, 1));
    let mut log = String::new();
    let now = Duration::from_secs(1);
    for (id, rank, workspace) in [
        (1, 1, "large"),
        (2, 1, "large"),
        (3, 1, "large"),
        (4, 1, "large"),
        (5, 1, "small"),
        (6, 0, "small"),
        (7, 1, "large"),
        (8, 1, "large"),
        (9, 1, "large"),
        (10, 1, "small"),
        (11, 0, "small"),
        (12, 0, "small"),
    ] {
        let request = PermitRequest { parkable: false, ..request(rank, workspace) };
        let call = format!("request {id}, tier {rank}, {workspace}");
        log_call(&mut log, &call, &gate.request_permit(now, Ticket(id), request));
    }
    insta::assert_snapshot!(log, @"
    request 1, tier 1, large
      1 granted up000
    request 2, tier 1, large
    request 3, tier 1, large
    request 4, tier 1, large
    request 5, tier 1, small
    request 6, tier 0, small
    request 7, tier 1, large
    request 8, tier 1, large
    request 9, tier 1, large
    request 10, tier 1, small
      9 refused Overloaded, retry after 8.56 s
    request 11, tier 0, small
      8 refused Overloaded, retry after 9.06 s
    request 12, tier 0, small
      7 refused Overloaded, retry after 8.49 s
    ");
}

#[test]
fn crashed_upstream_gets_no_grants_until_its_probe() {
    let mut gate = Gate::new(specs(2, 1));
    let mut log = String::new();
    let mut now = Duration::from_secs(1);
    log_call(&mut log, "request 1", &gate.request_permit(now, Ticket(1), request(0, "south")));
    gate.upstream_failed(now, &"up000".into());
    log_call(&mut log, "up000 crashes, 1 fails", &gate.ended(now, Ticket(1), Outcome::Failed));
    log_call(&mut log, "request 2", &gate.request_permit(now, Ticket(2), request(0, "south")));
    log_call(&mut log, "request 3", &gate.request_permit(now, Ticket(3), request(1, "south")));
    now += Duration::from_secs(1);
    log_call(&mut log, "a second later", &gate.tick(now));
    gate.upstream_failed(now, &"up000".into());
    log_call(&mut log, "up000 crashes, 3 fails", &gate.ended(now, Ticket(3), Outcome::Failed));
    gate.first_token(now, Ticket(2));
    log_call(&mut log, "request 4", &gate.request_permit(now, Ticket(4), request(1, "south")));
    now += Duration::from_secs(1);
    log_call(&mut log, "a second later", &gate.tick(now));
    now += Duration::from_secs(1);
    log_call(&mut log, "two seconds later", &gate.tick(now));
    now += Duration::from_millis(20);
    log_call(&mut log, "first token of 4", &gate.first_token(now, Ticket(4)));
    log_call(&mut log, "4 ends", &gate.ended(now, Ticket(4), Outcome::Finished(50)));
    log_call(&mut log, "request 5", &gate.request_permit(now, Ticket(5), request(0, "south")));
    insta::assert_snapshot!(log, @"
    request 1
      1 granted up000
    up000 crashes, 1 fails
    request 2
      2 granted up001
    request 3
    a second later
      3 granted up000
    up000 crashes, 3 fails
    request 4
    a second later
    two seconds later
      4 granted up000
    first token of 4
    4 ends
    request 5
      5 granted up000
    ");
}
