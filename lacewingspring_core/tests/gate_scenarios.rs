//! Snapshots of decisions in small fixed scenarios.

use std::{fmt::Write, time::Duration};

use lacewingspring_core::gate::{Decision, Gate, Outcome, PermitRequest, Resume, Ticket};

use self::gate_model::{Job, specs};

mod gate_model;

/// Writes one line for a call and one for each of its decisions.
fn note(log: &mut String, call: &str, decisions: &[Decision]) {
    writeln!(log, "{call}").unwrap();
    for decision in decisions {
        match decision {
            Decision::Granted(Ticket(id), name) => writeln!(log, "  {id} granted {name}").unwrap(),
            Decision::Park(Ticket(id)) => writeln!(log, "  {id} to park").unwrap(),
            Decision::Refused(Ticket(id), kind, after) => {
                let seconds = after.as_secs_f64();
                writeln!(log, "  {id} refused {kind:?}, back in {seconds:.2} s").unwrap();
            }
        }
    }
}

fn ask(rank: u8, workspace: &'static str) -> PermitRequest {
    Job::new(0.0, rank, workspace, 200, 50).ask()
}

#[test]
fn a_lookup_parks_a_summary_which_resumes() {
    let mut gate = Gate::new(specs(1, 2));
    let mut log = String::new();
    let now = Duration::from_secs(1);
    note(&mut log, "ask 1, tier 1", &gate.request_permit(now, Ticket(1), ask(1, "notaries")));
    let longer =
        PermitRequest { cost: Job::new(0.0, 2, "", 900, 50).ask().cost, ..ask(2, "notaries") };
    note(&mut log, "ask 2, tier 2", &gate.request_permit(now, Ticket(2), longer.clone()));
    note(
        &mut log,
        "ask 3, tier 2, waits",
        &gate.request_permit(now, Ticket(3), ask(2, "notaries")),
    );
    note(&mut log, "ask 4, tier 0", &gate.request_permit(now, Ticket(4), ask(0, "bailiffs")));
    note(&mut log, "2 is parked", &gate.parked(now, Ticket(2)));
    let resume = Some(Resume { kv_exported: true, generated_tokens: 10 });
    note(
        &mut log,
        "2 asks again",
        &gate.request_permit(now, Ticket(2), PermitRequest { resume, ..longer }),
    );
    let done = Outcome::Finished(50);
    note(&mut log, "4 ends", &gate.ended(now, Ticket(4), done));
    note(&mut log, "1 ends", &gate.ended(now, Ticket(1), done));
    insta::assert_snapshot!(log, @"
    ask 1, tier 1
      1 granted up000
    ask 2, tier 2
      2 granted up000
    ask 3, tier 2, waits
    ask 4, tier 0
      2 to park
    2 is parked
      4 granted up000
    2 asks again
    4 ends
    1 ends
      2 granted up000
    ");
}

#[test]
fn an_overloaded_gate_refuses_the_lowest_tier_and_the_largest_workspace() {
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
        let ask = PermitRequest { parkable: false, ..ask(rank, workspace) };
        let call = format!("ask {id}, tier {rank}, {workspace}");
        note(&mut log, &call, &gate.request_permit(now, Ticket(id), ask));
    }
    insta::assert_snapshot!(log, @"
    ask 1, tier 1, large
      1 granted up000
    ask 2, tier 1, large
    ask 3, tier 1, large
    ask 4, tier 1, large
    ask 5, tier 1, small
    ask 6, tier 0, small
    ask 7, tier 1, large
    ask 8, tier 1, large
    ask 9, tier 1, large
    ask 10, tier 1, small
      9 refused Overloaded, back in 8.56 s
    ask 11, tier 0, small
      8 refused Overloaded, back in 9.06 s
    ask 12, tier 0, small
      7 refused Overloaded, back in 8.49 s
    ");
}

#[test]
fn a_crash_closes_an_upstream_until_its_probe() {
    let mut gate = Gate::new(specs(2, 1));
    let mut log = String::new();
    let mut now = Duration::from_secs(1);
    note(&mut log, "ask 1", &gate.request_permit(now, Ticket(1), ask(0, "south")));
    gate.upstream_failed(now, &"up000".into());
    note(&mut log, "up000 crashes, 1 fails", &gate.ended(now, Ticket(1), Outcome::Failed));
    note(&mut log, "ask 2", &gate.request_permit(now, Ticket(2), ask(0, "south")));
    note(&mut log, "ask 3", &gate.request_permit(now, Ticket(3), ask(1, "south")));
    now += Duration::from_secs(1);
    note(&mut log, "a second later", &gate.tick(now));
    gate.upstream_failed(now, &"up000".into());
    note(&mut log, "up000 crashes, 3 fails", &gate.ended(now, Ticket(3), Outcome::Failed));
    gate.first_token(now, Ticket(2));
    note(&mut log, "ask 4", &gate.request_permit(now, Ticket(4), ask(1, "south")));
    now += Duration::from_secs(1);
    note(&mut log, "a second later", &gate.tick(now));
    now += Duration::from_secs(1);
    note(&mut log, "two seconds later", &gate.tick(now));
    now += Duration::from_millis(20);
    note(&mut log, "first token of 4", &gate.first_token(now, Ticket(4)));
    note(&mut log, "4 ends", &gate.ended(now, Ticket(4), Outcome::Finished(50)));
    note(&mut log, "ask 5", &gate.request_permit(now, Ticket(5), ask(0, "south")));
    insta::assert_snapshot!(log, @"
    ask 1
      1 granted up000
    up000 crashes, 1 fails
    ask 2
      2 granted up001
    ask 3
    a second later
      3 granted up000
    up000 crashes, 3 fails
    ask 4
    a second later
    two seconds later
      4 granted up000
    first token of 4
    4 ends
    ask 5
      5 granted up000
    ");
}
