//! Decides which read of a record checks whether the key-value service is available again.
//!
//! A new gate reads several records side by side. While the service does not respond, a failed read
//! of one stands for the others, and the readers take turns. No reader depends on another one that
//! has stopped reading, or whose reads fail more slowly than its own.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{sync::watch, time::sleep_until};

use crate::{clock, outage::Outage, store::StoreError};

/// Delay after a failed read.
pub const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time for which the reader that made the last check waits for another one that is due, so that
/// they take turns. It is enough to wake a task.
pub const TURN_TIME: Duration = Duration::from_millis(10);

/// Calls of a reader of one record.
#[derive(Clone, Copy, Debug, Default)]
struct Reads {
    /// Time of its last call.
    sent_at: Duration,
    /// Time at which its last failed call failed; `None` before the first.
    failed_at: Option<Duration>,
    /// Time that this call took to fail.
    took: Duration,
}

/// Call of a reader that was sent last.
#[derive(Clone, Copy, Debug)]
struct Check {
    reader: u64,
    sent_at: Duration,
    /// Time at which it failed; `None` while it has no result.
    failed_at: Option<Duration>,
}

/// Readers whose reads have not succeeded yet, without a clock.
#[derive(Debug, Default)]
pub struct RecordChecks {
    readers: BTreeMap<u64, Reads>,
    next_reader: u64,
    last_check: Option<Check>,
}

impl RecordChecks {
    /// Adds a reader; returns its number.
    pub fn add(&mut self) -> u64 {
        let reader = self.next_reader;
        self.next_reader += 1;
        self.readers.insert(reader, Reads::default());
        reader
    }

    /// Removes a reader, whose read succeeded or is no longer needed.
    pub fn remove(&mut self, reader: u64) {
        self.readers.remove(&reader);
        // A call that was given up has no result.
        self.last_check =
            self.last_check.filter(|check| check.reader != reader || check.failed_at.is_some());
    }

    /// Notes that a reader calls the service.
    pub fn send(&mut self, now: Duration, reader: u64) {
        if let Some(reads) = self.readers.get_mut(&reader) {
            reads.sent_at = now;
        }
        self.last_check = Some(Check { reader, sent_at: now, failed_at: None });
    }

    /// Notes that the call of a reader failed.
    pub fn fail(&mut self, now: Duration, reader: u64) {
        if let Some(reads) = self.readers.get_mut(&reader) {
            reads.failed_at = Some(now);
            reads.took = now.saturating_sub(reads.sent_at);
        }
        if let Some(check) = self.last_check.as_mut().filter(|check| check.reader == reader) {
            check.failed_at = Some(now);
        }
    }

    /// Returns the time before which a reader makes no call. `responded_at` is the time of the
    /// service's last response to any call of the instance.
    pub fn wait_until(&self, reader: u64, responded_at: Duration) -> Duration {
        let Some(reads) = self.readers.get(&reader) else { return Duration::ZERO };
        let Some(failed_at) = reads.failed_at else { return Duration::ZERO };
        let due_at = failed_at + RETRY_DELAY;
        let Some(check) = self.last_check.filter(|_| responded_at <= failed_at) else {
            // The service may reject only this record, so reads of others are no evidence for it.
            return due_at;
        };
        if check.reader == reader {
            return if self.is_other_due(reader, failed_at) { due_at + TURN_TIME } else { due_at };
        }
        // It was sent after the last call of this reader. If it fails more slowly than that one
        // did, it must not prolong the delay.
        let slowest = check.sent_at + reads.took;
        due_at.max(check.failed_at.map_or(slowest, |at| at.min(slowest)) + RETRY_DELAY)
    }

    /// Returns whether another reader is due as soon as one whose call failed at `failed_at`.
    fn is_other_due(&self, reader: u64, failed_at: Duration) -> bool {
        let is_due = |reads: &Reads| {
            reads.failed_at.is_some_and(|at| at >= reads.sent_at && at <= failed_at)
        };
        self.readers.iter().any(|(other, reads)| *other != reader && is_due(reads))
    }
}

/// Readers of the records of an instance.
#[derive(Debug, Default)]
pub struct RecordReads {
    checks: Mutex<RecordChecks>,
    /// Changes when a read fails or a reader ends.
    changes: watch::Sender<u64>,
}

impl RecordReads {
    fn checks(&self) -> MutexGuard<'_, RecordChecks> {
        self.checks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reader of one record, until its read succeeds.
#[derive(Debug)]
pub struct RecordReader<'a> {
    reads: &'a RecordReads,
    outage: &'a Outage,
    number: u64,
}

impl<'a> RecordReader<'a> {
    /// Creates a reader, whose first call is made at once.
    pub fn new(outage: &'a Outage) -> Self {
        let reads = outage.record_reads();
        let number = reads.checks().add();
        Self { reads, outage, number }
    }

    /// Reads the record until a read succeeds; `None` if the record is no longer needed.
    ///
    /// `log_failure` is called with the error of each failed read.
    pub async fn read<T, N, R, F, L>(self, is_needed: N, read: R, log_failure: L) -> Option<T>
    where
        N: Fn() -> bool,
        R: Fn() -> F,
        F: Future<Output = Result<T, StoreError>>,
        L: Fn(&StoreError),
    {
        loop {
            self.turn().await;
            if !is_needed() {
                return None;
            }
            match read().await {
                Ok(record) => {
                    // Other readers go on, as the service responds.
                    self.outage.respond(clock::now());
                    return Some(record);
                }
                Err(e) => {
                    log_failure(&e);
                    self.fail();
                }
            }
        }
    }

    /// Waits until the reader is to call the service, and notes that it does.
    async fn turn(&self) {
        let mut changes = self.reads.changes.subscribe();
        let mut responses = self.outage.responses();
        loop {
            changes.mark_unchanged();
            responses.mark_unchanged();
            let now = clock::now();
            let until = {
                let mut checks = self.reads.checks();
                let until = checks.wait_until(self.number, self.outage.responded_at());
                if until <= now {
                    checks.send(now, self.number);
                    return;
                }
                until
            };
            tokio::select! {
                // The senders are borrowed, so the channels are open.
                _ = changes.changed() => {}
                _ = responses.changed() => {}
                () = sleep_until(clock::instant(until)) => {}
            }
        }
    }

    /// Notes that the call failed.
    fn fail(&self) {
        self.reads.checks().fail(clock::now(), self.number);
        self.reads.changes.send_modify(|count| *count += 1);
    }
}

impl Drop for RecordReader<'_> {
    fn drop(&mut self) {
        self.reads.checks().remove(self.number);
        // Another reader may wait for the call of this one.
        self.reads.changes.send_modify(|count| *count += 1);
    }
}
