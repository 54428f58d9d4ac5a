//! Request bodies that are arriving, and which of them are given up.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    sync::{Notify, watch},
    time::sleep,
};

use crate::{clock, log_interval::LogInterval, refusal::Failure};

/// Time without a byte after which a body is given up, however few bytes are missing.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Rate, in bytes per second, below which a body is given up before all others. It is measured anew
/// in each [`RATED_TIME`] rather than since the start: a body that began fast would otherwise hold
/// the memory of its first bytes however slowly the rest arrives.
pub const LOWEST_RATE: u64 = 8 * 1_024;

/// Shortest time over which the rate of a body is measured.
const RATED_TIME: Duration = Duration::from_secs(1);

/// Time to its end, at its last rate, up to which a body is not given up for being far from it.
/// Requests wait as long for memory ([`MAX_WAIT`]), so they get the memory of a body that ends by
/// then.
///
/// [`MAX_WAIT`]: super::MAX_WAIT
const MAX_TIME_LEFT: Duration = super::MAX_WAIT;

/// Memory, in bytes, up to which a body that waits for more does not count as slow. Giving it up
/// would release one buffer at most, and it would be chosen first, as it is the newest in most
/// cases.
const SMALL_BYTES: u64 = super::body::MAX_SEGMENT_BYTES as u64;

/// Time between looks at the progress of all bodies.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Progress of one body.
#[derive(Debug)]
struct Progress {
    received: AtomicU64,
    /// Bytes of memory that the body holds.
    held: AtomicU64,
    /// Whether the body waits for memory, so that no byte of it is read.
    is_waiting: AtomicBool,
    given_up: watch::Sender<Option<Failure>>,
}

#[derive(Debug)]
struct Entry {
    progress: Arc<Progress>,
    /// Bytes that the body has at most.
    max_bytes: u64,
    /// Time since which the rate is measured, and the bytes received until then.
    rated_since: (Duration, u64),
    /// The last rate that was measured, in bytes per second.
    rate: Option<f64>,
    /// Bytes received at the last sweep.
    seen: u64,
    /// Time of the last sweep that found new bytes, or of the start.
    progressed_at: Duration,
    /// Whether the body may be given up when memory is short.
    is_slow: bool,
}

impl Entry {
    /// Measures the rate if the time for it has passed; `received` is the number of bytes so far.
    fn measure_rate(&mut self, now: Duration, received: u64) {
        let (since, before) = self.rated_since;
        let time = now.saturating_sub(since);
        if time >= RATED_TIME {
            let bytes = received.saturating_sub(before);
            self.rate = Some(bytes as f64 / time.as_secs_f64());
            self.rated_since = (now, received);
        }
    }

    fn is_given_up(&self) -> bool {
        self.progress.given_up.borrow().is_some()
    }

    fn held(&self) -> u64 {
        self.progress.held.load(Ordering::Relaxed)
    }

    /// Returns whether the body waits for memory and holds little.
    fn is_small_and_waiting(&self) -> bool {
        self.progress.is_waiting.load(Ordering::Relaxed) && self.held() <= SMALL_BYTES
    }

    /// Returns the time, in seconds, in which the body ends at its last rate; `None` if no rate was
    /// measured.
    fn seconds_left(&self) -> Option<f64> {
        let left = self.max_bytes.saturating_sub(self.progress.received.load(Ordering::Relaxed));
        // A lower rate than one byte per second makes no difference to the order.
        self.rate.map(|rate| left as f64 / rate.max(1.0))
    }
}

#[derive(Debug, Default)]
struct State {
    next: u64,
    /// Bodies by the order of their starts.
    entries: BTreeMap<u64, Entry>,
}

/// Bodies that are arriving.
#[derive(Debug, Default)]
pub struct Arrivals {
    state: Mutex<State>,
    started: Notify,
    stalled: AtomicU64,
    shed: AtomicU64,
    log: LogInterval,
}

/// A body that is arriving; ends when dropped.
#[derive(Debug)]
pub struct Arrival<'a> {
    arrivals: &'a Arrivals,
    number: u64,
    progress: Arc<Progress>,
    given_up: watch::Receiver<Option<Failure>>,
}

impl Drop for Arrival<'_> {
    fn drop(&mut self) {
        self.arrivals.state().entries.remove(&self.number);
    }
}

impl Arrival<'_> {
    /// Records that bytes were received.
    pub fn received(&self, bytes: usize) {
        self.progress.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Records how much memory the body holds.
    pub fn holds(&self, bytes: usize) {
        self.progress.held.store(bytes as u64, Ordering::Relaxed);
    }

    /// Records whether the body waits for memory.
    pub fn set_waiting(&self, is_waiting: bool) {
        self.progress.is_waiting.store(is_waiting, Ordering::Relaxed);
    }

    /// Waits until the body is given up; returns why.
    pub async fn given_up(&mut self) -> Failure {
        let cause = self.given_up.wait_for(Option::is_some).await;
        // The sender lives as long as this value.
        cause.ok().and_then(|cause| *cause).unwrap_or(Failure::BodyStalled)
    }
}

impl Arrivals {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a body of which not all has arrived. It has `max_bytes` bytes, or at most so many if it
    /// states no length.
    pub fn start(&self, now: Duration, max_bytes: u64) -> Arrival<'_> {
        let (tx, given_up) = watch::channel(None);
        let progress = Arc::new(Progress {
            received: AtomicU64::new(0),
            held: AtomicU64::new(0),
            is_waiting: AtomicBool::new(false),
            given_up: tx,
        });
        let entry = Entry {
            progress: progress.clone(),
            max_bytes,
            rated_since: (now, 0),
            rate: None,
            seen: 0,
            progressed_at: now,
            is_slow: false,
        };
        let number = {
            let mut state = self.state();
            let number = state.next;
            state.next += 1;
            state.entries.insert(number, entry);
            number
        };
        self.started.notify_one();
        Arrival { arrivals: self, number, progress, given_up }
    }

    /// Returns the number of bodies that were given up because no byte came, and because memory was
    /// short.
    pub fn given_up(&self) -> (u64, u64) {
        (self.stalled.load(Ordering::Relaxed), self.shed.load(Ordering::Relaxed))
    }

    /// Gives up bodies so that at least `bytes` bytes of memory are released, if there are any that
    /// may be given up: first the newest that is slow or stopped, then those furthest from their
    /// ends.
    pub fn shed(&self, bytes: u64) {
        self.shed_newest_slow();
        while self.releasing() < bytes && self.shed_furthest() {}
    }

    /// Returns the memory, in bytes, of bodies that were given up and have not released it yet.
    fn releasing(&self) -> u64 {
        let state = self.state();
        let given_up = state.entries.values().filter(|entry| entry.is_given_up());
        given_up.map(Entry::held).sum()
    }

    /// Gives up the body that is furthest from its end at its last rate, of those that hold at
    /// least the average; returns whether there was one.
    ///
    /// Bodies for which no rate was measured yet, and those that end within [`MAX_TIME_LEFT`], are
    /// kept. The body that is nearest to its end is given up last, so that some end in any case.
    pub fn shed_furthest(&self) -> bool {
        let state = self.state();
        let holders: Vec<_> = state
            .entries
            .values()
            .filter(|entry| !entry.is_given_up() && entry.held() > 0)
            .collect();
        let total: u64 = holders.iter().map(|entry| entry.held()).sum();
        let count = holders.len() as u64;
        let furthest = holders
            .into_iter()
            // Otherwise bodies that hold little would be given up for those that hold much.
            .filter(|entry| entry.held() * count >= total)
            .filter_map(|entry| Some((entry.seconds_left()?, entry)))
            .filter(|(seconds, _)| *seconds > MAX_TIME_LEFT.as_secs_f64())
            .max_by(|(left, _), (right, _)| left.total_cmp(right));
        let Some((_, entry)) = furthest else { return false };
        self.give_up_for_others(entry);
        true
    }

    /// Gives up the newest body that is slow or stopped; returns whether there was one.
    pub fn shed_newest_slow(&self) -> bool {
        let state = self.state();
        let mut newest_first = state.entries.values().rev();
        let newest = newest_first.find(|entry| entry.is_slow && !entry.is_given_up());
        let Some(entry) = newest else { return false };
        self.give_up_for_others(entry);
        true
    }

    fn give_up_for_others(&self, entry: &Entry) {
        entry.progress.given_up.send_replace(Some(Failure::NoMemory));
        self.shed.fetch_add(1, Ordering::Relaxed);
        self.log.warn_of_body("memory");
    }

    /// Looks at the progress of all bodies and gives up those without any for [`STALL_TIMEOUT`].
    pub fn sweep(&self, now: Duration) {
        for entry in self.state().entries.values_mut() {
            if entry.is_given_up() {
                continue;
            }
            let received = entry.progress.received.load(Ordering::Relaxed);
            if entry.is_small_and_waiting() {
                entry.seen = received;
                entry.progressed_at = now;
                entry.rated_since = (now, received);
                entry.is_slow = false;
                continue;
            }
            let has_progress = received > std::mem::replace(&mut entry.seen, received);
            if has_progress {
                entry.progressed_at = now;
            }
            entry.measure_rate(now, received);
            let is_below_rate = entry.rate.is_some_and(|rate| rate < LOWEST_RATE as f64);
            // A body that started just before this look had no time for a byte.
            let has_paused = now.saturating_sub(entry.progressed_at) >= SWEEP_INTERVAL;
            entry.is_slow = has_paused || is_below_rate;
            if now.saturating_sub(entry.progressed_at) >= STALL_TIMEOUT {
                entry.progress.given_up.send_replace(Some(Failure::BodyStalled));
                self.stalled.fetch_add(1, Ordering::Relaxed);
                self.log.warn_of_body("stalled");
            }
        }
    }

    /// Sweeps while bodies are arriving. Never returns.
    pub async fn run_sweeps(&self) {
        loop {
            if self.state().entries.is_empty() {
                self.started.notified().await;
            }
            sleep(SWEEP_INTERVAL).await;
            self.sweep(clock::now());
        }
    }
}
