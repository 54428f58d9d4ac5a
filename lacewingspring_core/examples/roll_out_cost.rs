//! Measures the cost of the decisions of a roll-out, by the number of routes, with bad responses of
//! the target throughout, so that the evidence is computed each time.

#![allow(clippy::disallowed_methods, reason = "a benchmark reads the clock")]

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use lacewingspring_core::{
    names::{ServiceName, SoftwareVersion, UpstreamName},
    roll_out::{
        Block, Bounds, Counts, FleetState, GrantedRequest, Order, OrderId, ResponseTimes, RollOut,
        Sample, SampleOutcome, Stage,
    },
};

/// Requests of the service, over 30 s.
const REQUESTS: u32 = 33_000;

fn roll_out() -> RollOut {
    let order = Order {
        service: ServiceName::from("chat"),
        target: SoftwareVersion::from("v2"),
        received_at: Duration::ZERO,
        deadline: Duration::from_secs(60),
        id: OrderId::default(),
    };
    let rollback_timeout = Duration::from_secs(5);
    let bounds = Bounds { share: 0.1, tolerance: 50.0, rollback_timeout };
    RollOut::new(order, bounds, Counts::default(), Stage::Observing)
}

fn sample(number: u32, now: Duration, is_target: bool, route: &Arc<str>) -> Sample {
    // A tenth fails at either version, so that no decision ends the run.
    let outcome = if (number.wrapping_mul(2_654_435_761) >> 16).is_multiple_of(10) {
        SampleOutcome::Failed
    } else {
        let took = Duration::from_millis(100 + u64::from(number % 7));
        SampleOutcome::Complete(ResponseTimes::Plain { took })
    };
    Sample {
        is_target,
        upstream: UpstreamName::from("a"),
        route: Arc::clone(route),
        sent_at: now.saturating_sub(Duration::from_millis(100)),
        outcome,
        load: f64::from(number % 4) / 4.0,
        is_cold: false,
    }
}

fn main() {
    for routes in [1, 10, 50] {
        let names: Vec<Arc<str>> =
            (0..routes).map(|number| Arc::from(format!("route-{number}"))).collect();
        let mut roll_out = roll_out();
        let [mut takes, mut record, mut decide] = [Duration::ZERO; 3];
        for number in 0..REQUESTS {
            let now = Duration::from_micros(900) * number;
            let route = &names[(number / 11) as usize % names.len()];
            let size = roll_out.block_size(now);
            roll_out.open_block(Block { size, expires_at: now + Duration::from_secs(1) });
            let began = Instant::now();
            std::hint::black_box(roll_out.takes(now, route));
            takes += began.elapsed();
            let is_target = number % 11 == 0;
            let began = Instant::now();
            let route_name = Arc::clone(route);
            let granted = GrantedRequest { is_target, route: route_name, is_repeat: false };
            roll_out.record_grant(now, &granted);
            roll_out.record_sample(now, sample(number, now, is_target, route));
            record += began.elapsed();
            let began = Instant::now();
            std::hint::black_box(roll_out.decide(now, &FleetState::default()));
            decide += began.elapsed();
        }
        println!(
            "{routes} routes: takes {:?}, record {:?}, decide {:?}; {:?}",
            takes / REQUESTS,
            record / REQUESTS,
            decide / REQUESTS,
            roll_out.stage(),
        );
    }
}
