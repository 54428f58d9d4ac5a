//! Requests that name where they run: on one upstream, or alone on one.

use std::time::Duration;

use lacewingspring_core::{
    error::ErrorKind,
    gate::{Decision, Gate, Outcome, PermitRequest, Placement, Ticket},
};

use self::gate_model::{Job, specs};

mod gate_model;

const NOW: Duration = Duration::from_secs(1);

const DONE: Outcome = Outcome::Finished(50);

fn ask(placement: Placement) -> PermitRequest {
    PermitRequest { placement, ..Job::new(0.0, 0, "bailiffs", 200, 50).ask() }
}

fn granted(decisions: &[Decision]) -> Vec<(u64, String)> {
    let grants = decisions.iter().filter_map(|decision| match decision {
        Decision::Granted(Ticket(id), upstream) => Some((*id, upstream.to_string())),
        _ => None,
    });
    grants.collect()
}

#[test]
fn runs_alone_once_the_upstream_is_drained_and_keeps_others_away() {
    let mut gate = Gate::new(specs(1, 4));
    assert_eq!(granted(&gate.request_permit(NOW, Ticket(1), ask(Placement::Any))).len(), 1);
    assert!(granted(&gate.request_permit(NOW, Ticket(2), ask(Placement::Alone))).is_empty());
    assert!(granted(&gate.request_permit(NOW, Ticket(3), ask(Placement::Any))).is_empty());
    let after = granted(&gate.ended(NOW, Ticket(1), DONE));
    assert_eq!(after.iter().map(|(id, _)| *id).collect::<Vec<_>>(), [2]);
    assert!(granted(&gate.request_permit(NOW, Ticket(4), ask(Placement::Any))).is_empty());
    let after = granted(&gate.ended(NOW, Ticket(2), DONE));
    assert_eq!(after.iter().map(|(id, _)| *id).collect::<Vec<_>>(), [3, 4]);
}

#[test]
fn keeps_one_upstream_at_a_time_and_the_others_go_on() {
    let mut gate = Gate::new(specs(3, 2));
    assert_eq!(granted(&gate.request_permit(NOW, Ticket(1), ask(Placement::Alone))).len(), 1);
    for id in 2..6 {
        assert_eq!(
            granted(&gate.request_permit(NOW, Ticket(id), ask(Placement::Any))).len(),
            1,
            "{id}"
        );
    }
    assert!(granted(&gate.request_permit(NOW, Ticket(6), ask(Placement::Any))).is_empty());
    assert_eq!(granted(&gate.ended(NOW, Ticket(1), DONE)), [(6, "up000".to_owned())]);
}

#[test]
fn keeps_no_second_upstream_while_a_request_runs_alone() {
    let mut gate = Gate::new(specs(2, 1));
    assert_eq!(granted(&gate.request_permit(NOW, Ticket(1), ask(Placement::Alone))).len(), 1);
    assert!(granted(&gate.request_permit(NOW, Ticket(2), ask(Placement::Alone))).is_empty());
    assert_eq!(granted(&gate.request_permit(NOW, Ticket(3), ask(Placement::Any))).len(), 1);
    let after = granted(&gate.ended(NOW, Ticket(1), DONE));
    assert_eq!(after.iter().map(|(id, _)| *id).collect::<Vec<_>>(), [2]);
}

#[test]
fn keeps_an_upstream_only_once_no_higher_work_waits_highest_tier_first() {
    let mut gate = Gate::new(specs(1, 1));
    let lower = |rank| PermitRequest { rank, ..ask(Placement::Alone) };
    for (id, ask) in [(1, ask(Placement::Any)), (2, ask(Placement::Any)), (3, lower(2))] {
        gate.request_permit(NOW, Ticket(id), ask);
    }
    gate.request_permit(NOW, Ticket(4), lower(1));
    let order = [1, 2, 4].map(|id| granted(&gate.ended(NOW, Ticket(id), DONE)));
    let order = order.iter().flatten().map(|(id, _)| *id);
    assert_eq!(order.collect::<Vec<_>>(), [2, 4, 3]);
}

#[test]
fn frees_the_upstream_when_the_request_that_waits_alone_leaves() {
    let mut gate = Gate::new(specs(1, 2));
    gate.request_permit(NOW, Ticket(1), ask(Placement::Any));
    gate.request_permit(NOW, Ticket(2), ask(Placement::Alone));
    gate.request_permit(NOW, Ticket(3), ask(Placement::Any));
    let after = granted(&gate.ended(NOW, Ticket(2), Outcome::Cancelled));
    assert_eq!(after, [(3, "up000".to_owned())]);
}

#[test]
fn runs_on_the_named_upstream_only_and_gives_up_in_time() {
    let mut gate = Gate::new(specs(2, 1));
    let on = Placement::On("up001".into());
    let first = granted(&gate.request_permit(NOW, Ticket(1), ask(on.clone())));
    assert_eq!(first, [(1, "up001".to_owned())]);
    assert!(granted(&gate.request_permit(NOW, Ticket(2), ask(on))).is_empty());
    let late = gate.tick(NOW + Duration::from_secs(3_600));
    let refused = Decision::Refused(Ticket(2), ErrorKind::DeadlineExceeded, Duration::ZERO);
    assert!(late.contains(&refused), "{late:?}");
    let unknown = gate.request_permit(NOW, Ticket(3), ask(Placement::On("elsewhere".into())));
    let refused = Decision::Refused(Ticket(3), ErrorKind::NoUpstream, Duration::ZERO);
    assert_eq!(unknown, [refused]);
}
