//! Decides which topic of an instance checks whether the key-value service is available again.
//!
//! While the service does not respond, a check of one topic stands for the others. Each topic still
//! has a schedule of its own: at its due time it makes the check itself unless another topic has
//! made one in the meantime. So no topic depends on another one that has stopped checking.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{sync::watch, time::sleep_until};

use crate::{
    clock,
    record_checks::RecordReads,
    replica::{ByTopic, Topic},
};

/// Delay after a failed call, before jitter; it doubles with each further one, up to
/// [`MAX_RETRY_DELAY`].
pub const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Maximum delay after failed calls in a row, before jitter.
pub const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_200);

/// Time for which a check without a result stands for the other topics: the time limit of a watch
/// that does not wait (501 ms), and the delay with which its task may notice that. The time limit
/// of a read is longer; the other topics do not wait for it.
const CHECK_TIMEOUT: Duration = Duration::from_millis(510);

/// What a topic does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// It calls the service.
    Call,
    /// It waits until a time, or until the service responds to another call.
    Wait(Duration),
}

/// Call that checks whether the service is available again.
#[derive(Clone, Copy, Debug)]
struct Check {
    topic: Topic,
    sent_at: Duration,
    /// Time at which it failed; `None` while it has no result.
    failed_at: Option<Duration>,
}

/// Calls of a topic since the service last responded to one of them.
#[derive(Clone, Copy, Debug, Default)]
struct Schedule {
    /// Failed calls, and failed checks of other topics that stood for a call.
    failed_calls: u32,
    /// Time at which its own last call failed.
    failed_at: Duration,
    /// Time that its own last check took to fail; zero before the first.
    check_time: Duration,
    /// Time of the latest failure that was counted, also of another topic's check. A check that was
    /// sent before it does not stand for another call.
    counted_until: Duration,
    /// Time of the next call if no other topic checks before.
    due_at: Duration,
}

impl Schedule {
    /// Counts a failure at `failed_at`; returns the delays after it, with and without jitter.
    fn count_failure(&mut self, failed_at: Duration, jitter: f64) -> (Duration, Duration) {
        let delay = (RETRY_DELAY * 2_u32.pow(self.failed_calls.min(2))).min(MAX_RETRY_DELAY);
        self.failed_calls += 1;
        self.counted_until = failed_at;
        (delay.mul_f64(0.5 + jitter / 2.0), delay)
    }
}

/// Schedules of all topics, without a clock.
#[derive(Debug, Default)]
pub struct Schedules {
    /// `None` while the service responds to the topic.
    topics: ByTopic<Option<Schedule>>,
    last_check: Option<Check>,
    /// Time of the last response to any call of the instance.
    responded_at: Duration,
    /// Number of calls for which a check of another topic stood.
    omitted_calls: u64,
}

impl Schedules {
    /// Notes that a call of a topic failed; returns the time before which the topic makes no other
    /// one. `jitter` is a random number from 0 to 1.
    pub fn fail(&mut self, now: Duration, topic: Topic, jitter: f64) -> Duration {
        let own_check = self.last_check.as_mut().filter(|check| check.topic == topic);
        let sent_at = own_check.map(|check| {
            check.failed_at = Some(now);
            check.sent_at
        });
        let is_alone = self.next_after(topic).is_none();
        let schedule = self.topics.get_mut(topic).get_or_insert_default();
        let (shortened, longest) = schedule.count_failure(now, jitter);
        schedule.failed_at = now;
        schedule.check_time = sent_at.map_or(schedule.check_time, |at| now.saturating_sub(at));
        schedule.due_at = now + if is_alone { shortened } else { longest };
        now + shortened
    }

    /// Notes that a topic is up to date again; returns its number of failed calls.
    pub fn succeed(&mut self, topic: Topic) -> u32 {
        self.last_check = self.last_check.filter(|check| check.topic != topic);
        self.topics.get_mut(topic).take().map_or(0, |schedule| schedule.failed_calls)
    }

    /// Notes that the service responded to a call, also to one that is not of a topic.
    pub fn respond(&mut self, now: Duration) {
        self.responded_at = self.responded_at.max(now);
    }

    /// Returns what a topic does next. `jitter` is a random number from 0 to 1.
    pub fn step(&mut self, now: Duration, topic: Topic, jitter: f64) -> Step {
        let until = self.wait_until(now, topic, jitter);
        if until > now {
            return Step::Wait(until);
        }
        if self.topics.get(topic).is_some() {
            self.last_check = Some(Check { topic, sent_at: now, failed_at: None });
        }
        Step::Call
    }

    /// Returns the time until which a topic waits; one that has passed if it does not.
    fn wait_until(&mut self, now: Duration, topic: Topic, jitter: f64) -> Duration {
        let Some(mut schedule) = *self.topics.get(topic) else { return now };
        if self.responded_at > schedule.failed_at {
            // If the service rejects the calls of this topic only, checks of others prove nothing.
            return now;
        }
        if now < schedule.due_at {
            return schedule.due_at;
        }
        let stands_for_call =
            |check: &Check| check.topic != topic && check.sent_at > schedule.counted_until;
        let Some(check) = self.last_check.filter(stands_for_call) else { return now };
        let Some(failed_at) = check.failed_at else { return check.sent_at + CHECK_TIMEOUT };
        // A check that fails more slowly than those of this topic must not prolong its delay.
        let failed_at = failed_at.min(check.sent_at + schedule.check_time);
        let (shortened, longest) = schedule.count_failure(failed_at, jitter);
        let checks_next = self.next_after(check.topic) == Some(topic);
        schedule.due_at = failed_at + if checks_next { shortened } else { longest };
        self.omitted_calls += 1;
        *self.topics.get_mut(topic) = Some(schedule);
        schedule.due_at
    }

    /// Returns the number of calls that were not made because another topic checked.
    pub fn omitted_calls(&self) -> u64 {
        self.omitted_calls
    }

    /// Returns the topic that checks after another one; `None` if no other topic has to.
    fn next_after(&self, topic: Topic) -> Option<Topic> {
        let mut others =
            Topic::ALL.into_iter().cycle().skip(topic as usize + 1).take(Topic::ALL.len() - 1);
        others.find(|other| self.topics.get(*other).is_some())
    }
}

/// Schedules of all topics, shared by the tasks that follow them.
#[derive(Debug, Default)]
pub struct Outage {
    schedules: Mutex<Schedules>,
    /// Number of responses of the service.
    responses: watch::Sender<u64>,
    record_reads: RecordReads,
}

impl Outage {
    fn schedules(&self) -> MutexGuard<'_, Schedules> {
        self.schedules.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of calls that were not made because another topic checked.
    pub fn omitted_calls(&self) -> u64 {
        self.schedules().omitted_calls()
    }

    /// Returns the readers of records.
    pub fn record_reads(&self) -> &RecordReads {
        &self.record_reads
    }

    /// Returns the time of the last response to any call of the instance.
    pub fn responded_at(&self) -> Duration {
        self.schedules().responded_at
    }

    /// Returns a receiver that is notified of each response of the service.
    pub fn responses(&self) -> watch::Receiver<u64> {
        self.responses.subscribe()
    }

    /// Notes that the service responded to a call.
    pub fn respond(&self, now: Duration) {
        self.schedules().respond(now);
        self.responses.send_modify(|count| *count += 1);
    }

    /// Notes that a topic is up to date again; returns its number of failed calls.
    pub fn succeed(&self, topic: Topic) -> u32 {
        self.schedules().succeed(topic)
    }

    /// Notes that a call of a topic failed; returns the time before which the topic makes no other
    /// one.
    pub fn fail(&self, now: Duration, topic: Topic) -> Duration {
        self.schedules().fail(now, topic, rand::random())
    }

    /// Returns whether a topic is to call the service now. If not, it first waits until the service
    /// responds to any call or the topic's wait is over; the caller then asks again.
    pub async fn is_turn(&self, topic: Topic) -> bool {
        let mut responses = self.responses.subscribe();
        let step = self.schedules().step(clock::now(), topic, rand::random());
        let Step::Wait(until) = step else { return true };
        tokio::select! {
            // The sender is a field of `self`, so the channel is open.
            _ = responses.changed() => {}
            () = sleep_until(clock::instant(until)) => {}
        }
        false
    }
}
