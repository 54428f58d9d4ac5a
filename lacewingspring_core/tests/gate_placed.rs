//! Tests of requests that name where they run: on one upstream, or alone on any.

use std::time::Duration;

use lacewingspring_core::{
    error::ErrorKind,
    gate::{Decision, Gate, Outcome, PermitRequest, Placement, Ticket},
};

use self::gate_model::{Job, specs};

mod gate_model;

const NOW: Duration = Duration::from_secs(1);

const DONE: Outcome = Outcome::Finished(50);

fn request(placement: Placement) -> PermitRequest {
    PermitRequest { placement, ..Job::new(0.0, 0, "bailiffs", 200, 50).request() }
}

fn granted(decisions: &[Decision]) -> Vec<(u64, String)> {
    let grants = decisions.iter().filter_map(|decision| match decision {
        Decision::Granted(Ticket(id), upstream) => Some((*id, upstream.to_string())),
        _ => None,
    });
    grants.collect()
}

#[test]
fn request_alone_starts_after_drain_and_blocks_others() {
    let mut gate = Gate::new(specs(1, 4));
    assert_eq!(granted(&gate.request_permit(NOW, Ticket(1), request(Placement::Any))).len(), 1);
    assert!(granted(&gate.request_permit(NOW, Ticket(2), request(Placement::Alone))).is_empty());
    assert!(granted(&gate.request_permit(NOW, Ticket(3), request(Placement::Any))).is_empty());
    let after = granted(&gate.ended(NOW, Ticket(1), DONE));
    assert_eq!(after.iter().map(|(id, _)| *id).collect::<Vec<_>>(), [2]);
    assert!(granted(&gate.request_permit(NOW, Ticket(4), request(Placement::Any))).is_empty());
    let after = granted(&gate.ended(NOW, Ticket(2), DONE));
    assert_eq!(after.iter().map(|(id, _)| *id).collect::<Vec<_>>(), [3, 4]);
}

#[test]
fn reserves_one_upstream_while_others_keep_serving() {
    let mut gate = Gate::new(specs(3, 2));
    assert_eq!(granted(&gate.request_permit(NOW, Ticket(1), request(Placement::Alone))).len(), 1);
    for id in 2..6 {
        assert_eq!(
            granted(&gate.request_permit(NOW, Ticket(id), request(Placement::Any))).len(),
            1,
            "{id}"
        );
    }
    assert!(granted(&gate.request_permit(NOW, Ticket(6), request(Placement::Any))).is_empty());
    assert_eq!(granted(&gate.ended(NOW, Ticket(1), DONE)), [(6, "up000".to_owned())]);
}

#[test]
fn reserves_no_second_upstream_while_a_request_runs_alone() {
    let mut gate = Gate::new(specs(2, 1));
    assert_eq!(granted(&gate.request_permit(NOW, Ticket(1), request(Placement::Alone))).len(), 1);
    assert!(granted(&gate.request_permit(NOW, Ticket(2), request(Placement::Alone))).is_empty());
    assert_eq!(granted(&gate.request_permit(NOW, Ticket(3), request(Placement::Any))).len(), 1);
    let after = granted(&gate.ended(NOW, Ticket(1), DONE));
    assert_eq!(after.iter().map(|(id, _)| *id).collect::<Vec<_>>(), [2]);
}

#[test]
fn reserves_an_upstream_after_higher_tiers_and_in_tier_order() {
    let mut gate = Gate::new(specs(1, 1));
    let lower = |rank| PermitRequest { rank, ..request(Placement::Alone) };
    for (id, request) in [(1, request(Placement::Any)), (2, request(Placement::Any)), (3, lower(2))]
    {
        gate.request_permit(NOW, Ticket(id), request);
    }
    gate.request_permit(NOW, Ticket(4), lower(1));
    let order = [1, 2, 4].map(|id| granted(&gate.ended(NOW, Ticket(id), DONE)));
    let order = order.iter().flatten().map(|(id, _)| *id);
    assert_eq!(order.collect::<Vec<_>>(), [2, 4, 3]);
}

#[test]
fn drops_the_reservation_when_its_request_is_cancelled() {
    let mut gate = Gate::new(specs(1, 2));
    gate.request_permit(NOW, Ticket(1), request(Placement::Any));
    gate.request_permit(NOW, Ticket(2), request(Placement::Alone));
    gate.request_permit(NOW, Ticket(3), request(Placement::Any));
    let after = granted(&gate.ended(NOW, Ticket(2), Outcome::Cancelled));
    assert_eq!(after, [(3, "up000".to_owned())]);
}

#[test]
fn runs_only_on_the_named_upstream_and_refuses_at_the_deadline() {
    let mut gate = Gate::new(specs(2, 1));
    let on = Placement::On("up001".into());
    let first = granted(&gate.request_permit(NOW, Ticket(1), request(on.clone())));
    assert_eq!(first, [(1, "up001".to_owned())]);
    assert!(granted(&gate.request_permit(NOW, Ticket(2), request(on))).is_empty());
    let late = gate.tick(NOW + Duration::from_secs(3_600));
    let refused = Decision::Refused(Ticket(2), ErrorKind::DeadlineExceeded, Duration::ZERO);
    assert!(late.contains(&refused), "{late:?}");
    let unknown = gate.request_permit(NOW, Ticket(3), request(Placement::On("elsewhere".into())));
    let refused = Decision::Refused(Ticket(3), ErrorKind::NoUpstream, Duration::ZERO);
    assert_eq!(unknown, [refused]);
}
