//! Shows the effect of each gate mechanism: its property holds, and fails if the mechanism is
//! disabled.

use std::time::Duration;

use lacewingspring_core::gate::{
    CacheChange, CacheEvent, Cost, Decision, Gate, GatePolicy, LoadReport, Outcome, PermitRequest,
    Prefix, Resume, Ticket,
};

use self::gate_model::{Job, Random, Simulation, percentile, poisson, spec, specs};

mod gate_model;

const ON: GatePolicy = GatePolicy {
    parking: true,
    eviction_order: true,
    fair_share: true,
    reserve: true,
    kv_accounting: true,
    probation: true,
    long_prefill_limit: true,
    affinity: true,
    early_refusal: true,
    retry_jitter: true,
};

/// Bound on the 95th percentile of the top tier's time to the first token, in seconds.
const FIRST_TOKEN_TARGET: f64 = 0.64;

/// Returns the 99th percentile of a small workspace's seconds to the last token, without and with a
/// burst of another workspace.
fn p99_without_and_with_burst(policy: GatePolicy, seed: u64, usual_rate: f64) -> (f64, f64) {
    let mut random = Random::new(seed);
    let small = poisson(&mut random, 0.0, 60.0, 20.0, |random, at| {
        Job::new(at, 1, "small", 100 + random.below(300), 40 + random.below(80))
    });
    let usual = poisson(&mut random, 0.0, 60.0, usual_rate, |random, at| {
        Job::new(at, 1, "large", 100 + random.below(300), 40 + random.below(80))
    });
    let burst = poisson(&mut random, 20.0, 40.0, 400.0, |random, at| {
        Job::new(at, 1, "large", 100 + random.below(300), 40 + random.below(80))
    });
    let p99 = |jobs: Vec<Job>| {
        let simulation = Simulation::new(policy, specs(10, 16), jobs).run();
        percentile(&simulation.seconds(|job| job.workspace == "small"), 0.99)
    };
    let mut jobs = [small, usual].concat();
    let quiet = p99(jobs.clone());
    jobs.extend(burst);
    (quiet, p99(jobs))
}

#[test]
fn burst_of_one_workspace_raises_p99_of_another_by_at_most_a_tenth() {
    for seed in 1..=3 {
        let (usual, burst) = p99_without_and_with_burst(ON, seed, 110.0);
        println!("seed {seed}: p99 {usual:.3} s at usual load, {burst:.3} s with the burst");
        assert!(burst <= 1.1 * usual, "seed {seed}: {usual} s grew to {burst} s");
    }
    // From a light load, fuller batches slow down every stream; that delay is not queueing.
    let (light, burst) = p99_without_and_with_burst(ON, 1, 40.0);
    println!("light load: p99 {light:.3} s, {burst:.3} s with the burst");
}

#[test]
fn burst_raises_p99_of_another_workspace_without_fair_share() {
    let (quiet, burst) =
        p99_without_and_with_burst(GatePolicy { fair_share: false, ..ON }, 1, 110.0);
    println!("without fair share: p99 {quiet:.3} s quiet, {burst:.3} s in the burst");
    assert!(burst > 1.1 * quiet);
}

/// Returns the 95th percentile of the top tier's seconds to the first token beside lower-tier runs
/// that cannot be parked.
fn top_first_token(policy: GatePolicy) -> f64 {
    let mut random = Random::new(7);
    let lower = poisson(&mut random, 0.0, 60.0, 12.0, |random, at| {
        let mut job = Job::new(at, 1, "notaries", 200, 300 + random.below(900));
        job.parkable = false;
        job
    });
    let top = poisson(&mut random, 0.0, 60.0, 6.0, |_, at| Job::new(at, 0, "bailiffs", 200, 30));
    let simulation = Simulation::new(policy, specs(4, 8), [lower, top].concat()).run();
    assert_eq!(simulation.gate.violations(), 0);
    percentile(&simulation.first_token_seconds(|job| job.rank == 0), 0.95)
}

#[test]
fn reserved_slots_keep_first_token_of_top_tier_within_target() {
    let (with, without) =
        (top_first_token(ON), top_first_token(GatePolicy { reserve: false, ..ON }));
    println!("top tier p95 first token: {with:.3} s with reserve, {without:.3} s without");
    assert!(with < FIRST_TOKEN_TARGET);
    assert!(without > FIRST_TOKEN_TARGET);
}

/// Makes one of four upstreams ten times slower for a while. Returns the 95th percentile of the
/// seconds to the last token in that time, the number of requests sent to that upstream in that
/// time, and the number sent to it after its recovery.
fn run_with_straggler(policy: GatePolicy, seed: u64) -> (f64, usize, usize) {
    let mut random = Random::new(seed);
    let jobs = poisson(&mut random, 0.0, 120.0, 10.0, |random, at| {
        Job::new(at, 0, "south", 200 + random.below(200), 100 + random.below(100))
    });
    let mut simulation = Simulation::new(policy, specs(4, 8), jobs);
    simulation.set_slowdown(30.0, 0, 10.0);
    simulation.set_slowdown(70.0, 0, 1.0);
    let simulation = simulation.run();
    let times = simulation.seconds(|job| (30.0..70.0).contains(&job.at));
    let sent_between = |from: f64, to: f64| {
        let pairs = simulation.jobs.iter().zip(&simulation.results);
        pairs
            .filter(|(job, result)| (from..to).contains(&job.at) && result.upstreams.contains(&0))
            .count()
    };
    (percentile(&times, 0.95), sent_between(30.0, 70.0), sent_between(90.0, 120.0))
}

#[test]
fn straggler_gets_fewer_requests_and_is_used_again_after_recovery() {
    for seed in 11..=13 {
        let (with, sent, after) = run_with_straggler(ON, seed);
        let off = GatePolicy { probation: false, ..ON };
        let (without, load, after_load) = run_with_straggler(off, seed);
        println!("seed {seed}: p95 {with:.3} s, sent {sent}, after {after}");
        println!("seed {seed} without probation: p95 {without:.3} s, {load}, {after_load}");
        assert!(2 * sent < load, "{sent} requests with probation, {load} without");
        assert!(after > 30, "the recovered upstream got only {after} requests");
    }
}

/// Returns the 95th percentile of the short requests' seconds to the first token beside long
/// prefills.
fn short_first_token(policy: GatePolicy) -> f64 {
    let mut random = Random::new(13);
    let long = poisson(&mut random, 0.0, 60.0, 1.2, |random, at| {
        Job::new(at, 0, "south", 20_000 + random.below(20_000), 50)
    });
    let short = poisson(&mut random, 0.0, 60.0, 10.0, |_, at| Job::new(at, 0, "west", 200, 20));
    let simulation = Simulation::new(policy, specs(4, 8), [long, short].concat()).run();
    percentile(&simulation.first_token_seconds(|job| job.workspace == "west"), 0.95)
}

#[test]
fn short_requests_do_not_wait_behind_long_prefills() {
    let with = short_first_token(ON);
    let without = short_first_token(GatePolicy { long_prefill_limit: false, ..ON });
    println!("short p95 first token: {with:.3} s with the limit, {without:.3} s without");
    assert!(with < 0.1);
    assert!(without > 2.0 * with);
}

#[test]
fn cached_prefix_is_weighed_against_upstream_speed() {
    let prefix = Prefix { hash: 1, tokens: 10_000 };
    let request = |prefixes: Vec<Prefix>| {
        let cost = Cost { prompt_tokens: 10_500, output_tokens: 10 };
        PermitRequest { prefixes, ..PermitRequest::new(0, "south".into(), cost) }
    };
    let first = |policy, conversation: Vec<Prefix>, event: Option<CacheChange>| {
        // The second upstream is twice as fast, but a cached prefix saves a second on the first.
        let upstreams = [spec("a", 8, 1e4, 10.0, 1 << 20), spec("b", 8, 2e4, 10.0, 1 << 20)];
        let mut gate = Gate::with_policy(policy, upstreams);
        let change = CacheChange::Stored(prefix);
        gate.cache_event(&"a".into(), CacheEvent { sequence: 1, change });
        if let Some(change) = event {
            gate.cache_event(&"a".into(), CacheEvent { sequence: 5, change });
        }
        match gate.request_permit(Duration::ZERO, Ticket(1), request(conversation)).as_slice() {
            [Decision::Granted(_, name)] => name.to_string(),
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(first(ON, vec![prefix], None), "a");
    assert_eq!(first(ON, Vec::new(), None), "b");
    assert_eq!(first(GatePolicy { affinity: false, ..ON }, vec![prefix], None), "b");
    assert_eq!(first(ON, vec![prefix], Some(CacheChange::Cleared)), "b");
    // After a gap in the events, half of the prefix counts, and the faster upstream wins.
    assert_eq!(first(ON, vec![prefix], Some(CacheChange::Evicted(2))), "b");
}

#[test]
fn retry_times_of_refused_callers_are_spread() {
    let flood = |policy| {
        let mut gate = Gate::with_policy(policy, specs(2, 4));
        let request = Job::new(0.0, 0, "south", 100, 50).request();
        let decisions: Vec<_> = (0..2_000)
            .flat_map(|i| gate.request_permit(Duration::ZERO, Ticket(i), request.clone()))
            .collect();
        let mut after: Vec<_> = decisions
            .iter()
            .filter_map(|decision| match decision {
                Decision::Refused(_, _, after) => Some(after.as_secs_f64()),
                _ => None,
            })
            .collect();
        after.sort_by(f64::total_cmp);
        after
    };
    // Eight slots serve about 12 of these requests a second.
    let most_in_a_second = |after: &[f64]| {
        let counts = after
            .iter()
            .map(|start| after.iter().filter(|at| (*start..*start + 1.0).contains(*at)).count());
        counts.max().unwrap_or(0)
    };
    let (with, without) = (flood(ON), flood(GatePolicy { retry_jitter: false, ..ON }));
    println!("refused {}, most in a second {}", with.len(), most_in_a_second(&with));
    assert!(with.len() > 1_900);
    assert!(most_in_a_second(&with) < 24, "{}", most_in_a_second(&with));
    let exact = |after: &[f64]| after.windows(2).filter(|pair| pair[0] == pair[1]).count();
    assert_eq!(exact(&with), 0, "two callers are to retry at the same moment");
    assert!(exact(&without) > 0 || most_in_a_second(&without) > most_in_a_second(&with));
}

#[test]
fn new_holder_grants_no_more_than_reported_free_slots() {
    let window = Duration::from_secs(5);
    let mut gate = Gate::recovering(Duration::ZERO, window, specs(1, 8));
    let now = Duration::from_secs(1);
    let request = Job::new(0.0, 0, "south", 100, 50).request();
    for i in 0..6 {
        assert_eq!(gate.request_permit(now, Ticket(i), request.clone()), Vec::new());
    }
    gate.adopt(Ticket(100), request.clone(), "up000".into());
    let report = LoadReport { running: 5, queued: 1, kv_tokens_used: 1_000 };
    assert_eq!(gate.report(now, &"up000".into(), report).len(), 2);
    assert_eq!(gate.ended(now, Ticket(100), Outcome::Finished(50)).len(), 1);
    for i in 0..3 {
        gate.first_token(now, Ticket(i));
    }
    assert_eq!(gate.running_len(), 3);
    assert_eq!(gate.tick(window).len(), 3);
    assert_eq!((gate.running_len(), gate.waiting_len()), (6, 0));
}

#[test]
fn parked_request_goes_first_in_its_tier_and_ahead_of_all_past_its_deadline() {
    let mut gate = Gate::new(specs(1, 1));
    let now = Duration::from_secs(1);
    let request = |rank| Job::new(0.0, rank, "south", 100, 50).request();
    assert_eq!(gate.request_permit(now, Ticket(1), request(1)).len(), 1);
    assert_eq!(gate.request_permit(now, Ticket(2), request(1)), Vec::new());
    assert_eq!(gate.request_permit(now, Ticket(3), request(0)), vec![Decision::Park(Ticket(1))]);
    let resume = Some(Resume { kv_exported: true, generated_tokens: 5 });
    let parked = PermitRequest { resume, ..request(1) };
    let name = "up000";
    let granted = gate.request_permit(now, Ticket(1), parked);
    assert_eq!(granted, vec![Decision::Granted(Ticket(3), name.into())]);
    // A first token keeps the upstream healthy, so that its health does not affect the rest.
    gate.first_token(now, Ticket(3));
    let late = now + Duration::from_secs(31);
    for i in 4..6 {
        gate.request_permit(late - Duration::from_secs(5), Ticket(i), request(0));
    }
    let refused = gate.tick(late);
    assert!(matches!(refused.as_slice(), [Decision::Refused(Ticket(2), ..)]), "{refused:?}");
    // A cancelled run is no sample of the upstream's speed.
    let granted = gate.ended(late, Ticket(3), Outcome::Cancelled);
    assert_eq!(granted, vec![Decision::Granted(Ticket(1), name.into())]);
}

#[test]
fn delay_before_dispatch_does_not_count_as_upstream_slowness() {
    let score = |gate: Gate| {
        let mut gate = gate;
        for i in 0..30 {
            let now = Duration::from_secs(10 * i);
            gate.request_permit(now, Ticket(i), Job::new(0.0, 0, "south", 2_000, 50).request());
            gate.dispatched(now + Duration::from_secs(4 * u64::from(i >= 20)), Ticket(i));
            gate.tick(now + Duration::from_secs(4));
            let first = Duration::from_secs(4 * u64::from(i >= 20)) + Duration::from_millis(150);
            gate.first_token(now + first, Ticket(i));
            gate.ended(now + first + Duration::from_millis(500), Ticket(i), Outcome::Finished(50));
        }
        gate.summary().upstreams[0].score
    };
    assert!(score(Gate::new(specs(1, 8))) > 4.0);
    let score_from_dispatch = score(Gate::new(specs(1, 8)).timed_from_dispatch());
    assert!(score_from_dispatch < 1.5, "{score_from_dispatch}");
}

#[test]
fn parked_requests_keep_their_arrival_order() {
    let mut gate = Gate::with_policy(GatePolicy { reserve: false, ..ON }, specs(1, 2));
    let now = Duration::from_secs(1);
    let request = |rank| Job::new(0.0, rank, "south", 100, 50).request();
    for (id, rank) in [(1, 2), (2, 2), (3, 0), (4, 0)] {
        gate.request_permit(now, Ticket(id), request(rank));
    }
    let resume = Some(Resume { kv_exported: true, generated_tokens: 5 });
    for id in [2, 1] {
        gate.request_permit(now, Ticket(id), PermitRequest { resume, ..request(2) });
    }
    let granted = gate.ended(now, Ticket(3), Outcome::Finished(50));
    assert_eq!(granted, vec![Decision::Granted(Ticket(1), "up000".into())]);
}

#[test]
fn run_with_exportable_cache_is_parked_before_run_in_prefill() {
    let mut gate = Gate::new(specs(1, 2));
    let now = Duration::from_secs(1);
    gate.request_permit(now, Ticket(1), Job::new(0.0, 1, "south", 4_000, 50).request());
    gate.first_token(now + Duration::from_millis(200), Ticket(1));
    gate.request_permit(now, Ticket(2), Job::new(0.0, 1, "south", 2_000, 50).request());
    let decisions =
        gate.request_permit(now, Ticket(3), Job::new(0.0, 0, "west", 100, 50).request());
    assert_eq!(decisions, vec![Decision::Park(Ticket(1))]);
}

#[test]
fn absurd_load_report_neither_stops_grants_nor_overfills_memory() {
    let request = Job::new(0.0, 0, "south", 10_000, 100).request();
    let granted = |report| {
        let mut gate = Gate::new([spec("a", 8, 20_000.0, 10.0, 60_000)]);
        let _ = gate.report(Duration::ZERO, &"a".into(), report);
        (0..8)
            .map(|i| gate.request_permit(Duration::ZERO, Ticket(i), request.clone()).len())
            .sum::<usize>()
    };
    let most = LoadReport { running: u32::MAX, queued: u32::MAX, kv_tokens_used: u64::MAX };
    let none = LoadReport { running: 0, queued: 0, kv_tokens_used: 0 };
    assert_eq!(granted(most), 2);
    assert_eq!(granted(none), 5);
}
