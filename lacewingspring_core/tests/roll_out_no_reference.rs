//! Targets that nothing can be compared with, as no other upstream serves.

use std::{sync::Arc, time::Duration};

use lacewingspring_core::{
    names::{ServiceName, SoftwareVersion, UpstreamName},
    roll_out::{
        Block, Bounds, Counts, FleetState, GrantedRequest, Order, OrderId, ResponseTimes, RollOut,
        Sample, SampleOutcome, Stage,
    },
};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Guards against a bad target that is judged sound as nothing can be compared with it.
#[test]
fn a_bad_target_without_a_reference_is_not_shifted() {
    let order = Order {
        service: ServiceName::from("app"),
        target: SoftwareVersion::from("v2"),
        received_at: ms(0),
        deadline: ms(12_000),
        id: OrderId::default(),
    };
    let bounds = Bounds { share: 0.1, tolerance: 50.0, rollback_timeout: ms(5_000) };
    let mut roll_out = RollOut::new(order, bounds, Counts::default(), Stage::Observing);
    let state = FleetState { target_usable_slots: 12, drain_time: ms(50), ..FleetState::default() };
    let mut sent = 0;
    let mut last = Stage::Observing;
    for t in 0..12_100 {
        let now = ms(t);
        if t % 1_000 == 0 {
            let size = roll_out.block_size(now);
            roll_out.note_written(roll_out.counts_with_block(size));
            roll_out.open_block(Block { size, expires_at: now + ms(1_000) });
        }
        // 250 requests a second; only the target has slots.
        if t % 4 == 0 {
            let route = Arc::from(if t % 8 == 0 { "a" } else { "b" });
            if roll_out.takes(now, &route) {
                sent += 1;
                roll_out.record_grant(
                    now,
                    &GrantedRequest {
                        is_target: true,
                        route: Arc::clone(&route),
                        is_repeat: false,
                    },
                );
                roll_out.record_sample(
                    now,
                    Sample {
                        is_target: true,
                        upstream: UpstreamName::from("n"),
                        route,
                        sent_at: now,
                        outcome: SampleOutcome::Failed,
                        load: 0.2,
                        is_cold: false,
                    },
                );
            }
        }
        if t % 100 == 0 {
            last = roll_out.decide(now, &state);
        }
    }
    assert!(matches!(last, Stage::RolledBack(_)), "{last:?} after {sent} requests");
}

/// Guards against a slow target that is shifted to although its times cannot be judged.
#[test]
fn a_slow_target_without_a_reference_is_not_completed() {
    let order = Order {
        service: ServiceName::from("app"),
        target: SoftwareVersion::from("v2"),
        received_at: ms(0),
        deadline: ms(12_000),
        id: OrderId::default(),
    };
    let bounds = Bounds { share: 0.1, tolerance: 50.0, rollback_timeout: ms(5_000) };
    let mut roll_out = RollOut::new(order, bounds, Counts::default(), Stage::Observing);
    let state =
        FleetState { target_usable_slots: 12, drain_time: ms(3_000), ..FleetState::default() };
    let (mut sent, mut arrived) = (0_u64, 0_u64);
    let mut last = Stage::Observing;
    for t in 0..12_000 {
        let now = ms(t);
        if t % 1_000 == 0 {
            let size = roll_out.block_size(now);
            roll_out.note_written(roll_out.counts_with_block(size));
            roll_out.open_block(Block { size, expires_at: now + ms(1_000) });
        }
        if t % 4 == 0 {
            arrived += 1;
            let route = Arc::from(if t % 8 == 0 { "a" } else { "b" });
            if roll_out.takes(now, &route) {
                sent += 1;
                roll_out.record_grant(
                    now,
                    &GrantedRequest {
                        is_target: true,
                        route: Arc::clone(&route),
                        is_repeat: false,
                    },
                );
                roll_out.record_sample(
                    now,
                    Sample {
                        is_target: true,
                        upstream: UpstreamName::from("n"),
                        route,
                        sent_at: now,
                        outcome: SampleOutcome::Complete(ResponseTimes::Plain { took: ms(9_000) }),
                        load: 0.2,
                        is_cold: false,
                    },
                );
            }
        }
        if t % 100 == 0 {
            last = roll_out.decide(now, &state);
        }
    }
    assert!(sent <= arrived / 10 + 50, "{last:?}: {sent} of {arrived}");
}
