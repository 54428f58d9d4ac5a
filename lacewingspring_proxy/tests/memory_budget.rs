//! The memory budget: shares, the reserve, and which bodies are given up.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use bytes::Bytes;
use futures_util::FutureExt;
use lacewingspring_proxy::{
    memory_budget::{
        Access, Kind, MemoryBudget, SharedBudget,
        arrivals::{Arrivals, LOWEST_RATE, STALL_TIMEOUT},
        body::{Collector, HeldBody},
    },
    refusal::Failure,
};

const START: Duration = Duration::from_secs(100);

const KIB: usize = 1_024;

/// Largest body, in bytes.
const MAX_BYTES: u64 = 4_000_000;

/// Time between two looks at the progress of bodies.
const SWEEP: Duration = Duration::from_millis(250);

/// A budget of 32 million bytes without connections.
fn budget() -> SharedBudget {
    MemoryBudget::new(Some(64.0), 0)
}

fn digest(body: &HeldBody) -> u64 {
    let mut hasher = DefaultHasher::new();
    body.hash(&mut hasher);
    hasher.finish()
}

/// Guards against shares that are not released, and against more of them than there is memory.
#[test]
fn hands_out_the_budget_once_and_takes_it_back() {
    let budget = budget();
    let acquire = || budget.try_acquire(Kind::Bodies, Access::General, 1_000 * KIB);
    let shares: Vec<_> = std::iter::from_fn(acquire).collect();
    assert_eq!(shares.len(), 25);
    assert_eq!(budget.held_bytes(Kind::Bodies), 25_000 * KIB as u64);
    drop(shares);
    assert_eq!(budget.held_bytes(Kind::Bodies), 0);
    assert!(acquire().is_some());
}

/// Guards against a crowd of unfinished bodies that leaves nothing for complete ones.
#[test]
fn keeps_a_reserve_for_complete_bodies() {
    let budget = budget();
    let general = || budget.try_acquire(Kind::Bodies, Access::General, KIB);
    let _crowd: Vec<_> = std::iter::from_fn(general).collect();
    assert!(budget.try_acquire(Kind::Bodies, Access::Reserve, 1_000 * KIB).is_some());
    assert!(budget.try_acquire(Kind::Bodies, Access::Reserve, 10_000 * KIB).is_none());
}

/// Guards against a bound where the settings state no memory.
#[test]
fn bounds_nothing_without_a_stated_memory() {
    let budget = MemoryBudget::new(None, usize::MAX);
    assert!(!budget.is_bounded());
    assert!(budget.try_acquire(Kind::Bodies, Access::General, usize::MAX).is_some());
}

/// Guards against a chunk that costs more memory than its bytes, and against a digest by which an
/// instance of another build does not recognise the request.
#[tokio::test]
async fn collects_small_chunks_into_shared_buffers() {
    let budget = budget();
    let mut collector = Collector::new(&budget, Kind::Bodies, None);
    let bytes: Vec<u8> = (0..200_000_u32).map(|number| number as u8).collect();
    for byte in &bytes {
        collector.push(&[*byte]).await.expect("memory is left");
    }
    let held = budget.held_bytes(Kind::Bodies);
    assert!(held < 2 * bytes.len() as u64, "{held}");
    let body = collector.finish();
    assert_eq!(digest(&body), digest(&HeldBody::from(Bytes::from(bytes.clone()))));
    let mut hasher = DefaultHasher::new();
    Bytes::from(bytes).hash(&mut hasher);
    assert_eq!(digest(&body), hasher.finish());
    drop(body);
    assert_eq!(budget.held_bytes(Kind::Bodies), 0);
}

/// Guards against a body that keeps its memory although no byte comes, and against one above the
/// lowest rate that is given up.
#[tokio::test]
async fn gives_up_the_newest_slow_body_first() {
    let arrivals = Arrivals::default();
    let mut oldest = arrivals.start(START, MAX_BYTES);
    let mut newest = arrivals.start(START, MAX_BYTES);
    let fast = arrivals.start(START, MAX_BYTES);
    assert!(!arrivals.shed_newest_slow(), "no body is known to be slow before a sweep");
    let now = START + Duration::from_secs(2);
    fast.received(3 * LOWEST_RATE as usize);
    arrivals.sweep(now);
    assert!(arrivals.shed_newest_slow());
    assert_eq!(newest.given_up().await, Failure::NoMemory);
    assert!(arrivals.shed_newest_slow());
    assert_eq!(oldest.given_up().await, Failure::NoMemory);
    assert!(!arrivals.shed_newest_slow(), "the body above the lowest rate is kept");
    assert_eq!(arrivals.given_up(), (0, 2));
}

/// Guards against a body that is kept for ever although it misses one byte only, and against one
/// that is given up although bytes come.
#[tokio::test]
async fn gives_up_a_body_without_progress_after_the_stated_time() {
    let arrivals = Arrivals::default();
    let mut stalled = arrivals.start(START, MAX_BYTES);
    let dripping = arrivals.start(START, MAX_BYTES);
    stalled.received(1_000_000);
    arrivals.sweep(START);
    let step = Duration::from_secs(1);
    for number in 1..=STALL_TIMEOUT.as_secs() as u32 {
        dripping.received(1);
        arrivals.sweep(START + number * step);
    }
    assert_eq!(stalled.given_up().await, Failure::BodyStalled);
    assert_eq!(arrivals.given_up(), (1, 0));
}

/// Guards against a body that had many bytes at once and keeps their memory although hardly any
/// follow, and against one that is given up although it keeps to the lowest rate.
#[test]
fn measures_the_rate_of_a_body_again_and_again() {
    let arrivals = Arrivals::default();
    let burst = arrivals.start(START, MAX_BYTES);
    let steady = arrivals.start(START, MAX_BYTES);
    burst.received(1_000_000);
    let step = Duration::from_millis(250);
    for number in 1..=12 {
        burst.received(1);
        steady.received(LOWEST_RATE as usize / 4);
        arrivals.sweep(START + number * step);
    }
    assert!(arrivals.shed_newest_slow(), "the burst was long ago");
    assert!(!arrivals.shed_newest_slow(), "the steady body is kept");
}

/// Guards against bodies at just above the lowest rate that keep all memory, and against an order
/// in which no body ends, as those that are nearest to their ends are given up.
#[tokio::test]
async fn gives_up_the_body_furthest_from_its_end_when_none_is_slow() {
    let arrivals = Arrivals::default();
    let lengths = [400_000, 900_000, 600_000];
    let mut bodies = lengths.map(|length| arrivals.start(START, length));
    let small = arrivals.start(START, MAX_BYTES);
    for number in 1..=8 {
        for body in bodies.iter().chain([&small]) {
            body.received(4 * KIB);
            body.holds(64 * KIB);
        }
        small.holds(KIB);
        arrivals.sweep(START + number * SWEEP);
    }
    assert!(!arrivals.shed_newest_slow(), "all are above the lowest rate");
    for index in [1, 2, 0] {
        assert_eq!(bodies[index].given_up().now_or_never(), None);
        assert!(arrivals.shed_furthest());
        assert_eq!(bodies[index].given_up().await, Failure::NoMemory);
    }
    assert_eq!(arrivals.given_up(), (0, 3));
}

/// Guards against the loss of a body that releases its memory by itself while others wait for it,
/// and of one of which the rate is not known yet.
#[test]
fn keeps_bodies_that_end_soon_or_have_just_started() {
    let arrivals = Arrivals::default();
    let ending = arrivals.start(START, 60 * KIB as u64);
    ending.holds(64 * KIB);
    for number in 1..=8 {
        ending.received(6 * KIB);
        arrivals.sweep(START + number * SWEEP);
    }
    let new = arrivals.start(START + 8 * SWEEP, MAX_BYTES);
    new.holds(64 * KIB);
    for number in 9..=10 {
        ending.received(KIB);
        new.received(4 * KIB);
        arrivals.sweep(START + number * SWEEP);
    }
    assert!(!arrivals.shed_furthest());
    arrivals.shed(u64::MAX);
    assert_eq!(arrivals.given_up(), (0, 0));
}

/// Guards against more bodies that are given up than the memory needs, and against slow ones that
/// hold next to nothing and keep the others from being given up.
#[test]
fn gives_up_what_the_memory_needs() {
    let arrivals = Arrivals::default();
    let bodies = [(); 6].map(|()| arrivals.start(START, MAX_BYTES));
    let stopped = arrivals.start(START, MAX_BYTES);
    stopped.received(1);
    stopped.holds(KIB);
    for number in 1..=8 {
        for body in &bodies {
            body.received(4 * KIB);
            body.holds(64 * KIB);
        }
        arrivals.sweep(START + number * SWEEP);
    }
    arrivals.shed(100 * KIB as u64);
    assert_eq!(arrivals.given_up(), (0, 3), "the one that stopped, and two that release 128 KiB");
}

/// Guards against an ordinary body that is taken for one without progress because it waits for
/// memory, and against a large one that keeps its memory while it waits for more.
#[test]
fn does_not_take_a_small_body_that_waits_for_memory_for_a_slow_one() {
    let arrivals = Arrivals::default();
    let large = arrivals.start(START, MAX_BYTES);
    let small = arrivals.start(START, MAX_BYTES);
    for body in [&large, &small] {
        body.received(100 * KIB);
        body.set_waiting(true);
    }
    large.holds(128 * KIB);
    for number in 1..=4 {
        arrivals.sweep(START + number * SWEEP);
    }
    assert!(arrivals.shed_newest_slow(), "the large body is given up");
    assert!(!arrivals.shed_newest_slow(), "the small body is kept");
    small.set_waiting(false);
    arrivals.sweep(START + 5 * SWEEP);
    assert!(arrivals.shed_newest_slow(), "it makes no progress although it waits for no memory");
}

/// Guards against a body that is taken for a slow one because its head came just before a look.
#[test]
fn does_not_take_a_body_for_a_slow_one_before_it_had_time_for_a_byte() {
    let arrivals = Arrivals::default();
    let _body = arrivals.start(START, MAX_BYTES);
    arrivals.sweep(START + SWEEP / 10);
    assert!(!arrivals.shed_newest_slow());
    arrivals.sweep(START + SWEEP / 10 + SWEEP);
    assert!(arrivals.shed_newest_slow(), "no byte came for the time between two looks");
}
