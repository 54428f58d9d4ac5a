//! A run: the answer of one request as it arrives, shared by all callers that follow it.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use lacewingspring_core::{
    claim::StoredAnswer,
    error::{ErrorKind, RunState},
    key_index::{KeyId, Outcome, Progress},
    names::Fingerprint,
};
use tokio::sync::watch;

use super::{
    Refusal,
    steps::{Step, StepReport},
};
use crate::{
    clock,
    peers::{Exchange, Message, RunPart},
};

/// Finish reason of an answer that is replayed from storage.
const STORED_FINISH_REASON: &str = "stop";

/// Maximum number of steps recorded per run.
const MAX_STEPS: usize = 64;

/// Whether this instance is the runner of a key, and the progress of the run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Ownership {
    /// Not the runner: another instance runs the key, or none does yet.
    #[default]
    None,
    /// This instance is the runner, with the progress of the run.
    Runner(Progress),
}

/// Run of one request, with its answer as it arrives.
#[derive(Debug)]
pub struct Run {
    /// Workspace and key of the request.
    pub id: KeyId,
    /// Digest of the service and the body.
    pub fingerprint: Fingerprint,
    parts: Mutex<Vec<RunPart>>,
    steps: Mutex<Vec<StepReport>>,
    ownership: Mutex<Ownership>,
    dispatched: AtomicBool,
    len: watch::Sender<usize>,
    followers: AtomicUsize,
    /// Notifies `orphaned` of changes of `followers`.
    follower_count: watch::Sender<usize>,
}

impl Run {
    /// Creates a run without parts.
    pub fn new(id: KeyId, fingerprint: Fingerprint) -> Arc<Self> {
        Arc::new(Self {
            id,
            fingerprint,
            parts: Mutex::default(),
            steps: Mutex::default(),
            ownership: Mutex::default(),
            dispatched: AtomicBool::new(false),
            len: watch::Sender::new(0),
            followers: AtomicUsize::new(0),
            follower_count: watch::Sender::new(0),
        })
    }

    /// Records a step; steps beyond the limit are dropped.
    pub fn record_step(&self, step: Step) {
        let mut steps = self.steps.lock().unwrap_or_else(PoisonError::into_inner);
        if steps.len() < MAX_STEPS {
            steps.push(step.report(clock::wall()));
        }
    }

    /// Records that the run is dispatched, or that no byte of it was sent. Returns the previous
    /// value.
    pub fn set_dispatched(&self, dispatched: bool) -> bool {
        self.dispatched.swap(dispatched, Ordering::AcqRel)
    }

    /// Returns whether this instance dispatched the run to an upstream.
    pub fn is_dispatched(&self) -> bool {
        self.dispatched.load(Ordering::Acquire)
    }

    /// Sets whether this instance is the runner.
    pub fn set_ownership(&self, ownership: Ownership) {
        *self.ownership.lock().unwrap_or_else(PoisonError::into_inner) = ownership;
    }

    /// Returns whether this instance is the runner, and the progress of the run.
    pub fn ownership(&self) -> Ownership {
        self.ownership.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the number of parts that have arrived.
    pub fn len(&self) -> usize {
        *self.len.borrow()
    }

    /// Returns whether no part has arrived yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of text parts that have arrived.
    pub fn text_part_count(&self) -> u64 {
        let parts = self.parts.lock().unwrap_or_else(PoisonError::into_inner);
        parts.iter().filter(|part| matches!(part, RunPart::Text(_))).count() as u64
    }

    /// Returns the recorded steps, oldest first.
    pub fn steps(&self) -> Vec<StepReport> {
        self.steps.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Appends a part and wakes all followers.
    pub fn push(&self, part: RunPart) {
        let mut parts = self.parts.lock().unwrap_or_else(PoisonError::into_inner);
        debug_assert!(!parts.last().is_some_and(is_last), "part pushed after the end of the run");
        parts.push(part);
        self.len.send_replace(parts.len());
    }

    /// Ends the run with a refusal.
    pub fn fail(&self, refusal: Refusal) {
        let retry_after_ms = refusal.retry_after.as_millis() as u64;
        self.push(RunPart::Failed { kind: refusal.kind, retry_after_ms });
    }

    /// Appends a whole answer: its head unless the media type is empty, its text and its end.
    pub fn push_answer(&self, answer: StoredAnswer) {
        if !answer.content_type.is_empty() {
            self.push(RunPart::Head { status: answer.status, content_type: answer.content_type });
        }
        self.push(RunPart::Text(answer.body));
        self.push(RunPart::End { finish_reason: STORED_FINISH_REASON.into() });
    }

    /// Returns the answer that has arrived; the media type is empty for completions.
    pub fn answer(&self) -> StoredAnswer {
        let mut answer =
            StoredAnswer { status: 200, content_type: String::new(), body: String::new() };
        for part in self.parts.lock().unwrap_or_else(PoisonError::into_inner).iter() {
            match part {
                RunPart::Head { status, content_type } => {
                    answer.status = *status;
                    answer.content_type.clone_from(content_type);
                }
                RunPart::Text(text) => answer.body.push_str(text),
                RunPart::End { .. } | RunPart::Failed { .. } => {}
            }
        }
        answer
    }

    /// Returns whether the run has its last part.
    pub fn ended(&self) -> bool {
        let parts = self.parts.lock().unwrap_or_else(PoisonError::into_inner);
        parts.last().is_some_and(is_last)
    }

    /// Returns the kind of the failure that ended the run.
    pub fn failure(&self) -> Option<ErrorKind> {
        let parts = self.parts.lock().unwrap_or_else(PoisonError::into_inner);
        match parts.last() {
            Some(RunPart::Failed { kind, .. }) => Some(*kind),
            _ => None,
        }
    }

    /// Returns the outcome of the run; `None` if it has none yet, or ended without running.
    pub fn outcome(&self) -> Option<Outcome> {
        let ended = self.ended();
        match self.failure().map(|kind| kind.answer().run) {
            None | Some(RunState::Ran) => ended.then_some(Outcome::Answered),
            Some(RunState::MayHaveRun) => Some(Outcome::MayHaveRun),
            Some(RunState::NotRun) => None,
        }
    }

    /// Follows the run from its first part.
    pub fn follow(self: &Arc<Self>) -> Follower {
        let count = self.followers.fetch_add(1, Ordering::AcqRel) + 1;
        self.follower_count.send_replace(count);
        Follower { run: self.clone(), next: 0, len: self.len.subscribe() }
    }

    /// Returns the number of current followers.
    pub fn followers(&self) -> usize {
        self.followers.load(Ordering::Acquire)
    }

    /// Waits until the run has had no follower for `after`.
    pub async fn orphaned(&self, after: Duration) {
        let mut count = self.follower_count.subscribe();
        loop {
            if count.wait_for(|count| *count == 0).await.is_err() {
                return;
            }
            let returned = tokio::time::timeout(after, count.wait_for(|count| *count > 0)).await;
            if returned.is_err() {
                return;
            }
        }
    }

    fn part(&self, index: usize) -> Option<RunPart> {
        let parts = self.parts.lock().unwrap_or_else(PoisonError::into_inner);
        parts.get(index).cloned()
    }
}

fn is_last(part: &RunPart) -> bool {
    matches!(part, RunPart::End { .. } | RunPart::Failed { .. })
}

/// Reads the parts of a run in order.
#[derive(Debug)]
pub struct Follower {
    run: Arc<Run>,
    next: usize,
    len: watch::Receiver<usize>,
}

impl Follower {
    /// Returns the followed run.
    pub fn run(&self) -> &Arc<Run> {
        &self.run
    }

    /// Waits for the next part. `None` after the last one.
    pub async fn next(&mut self) -> Option<RunPart> {
        if self.next > 0 && self.run.part(self.next - 1).as_ref().is_some_and(is_last) {
            return None;
        }
        let next = self.next;
        self.len.wait_for(|len| *len > next).await.ok()?;
        self.next += 1;
        self.run.part(next)
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        let count = self.run.followers.fetch_sub(1, Ordering::AcqRel) - 1;
        self.run.follower_count.send_replace(count);
    }
}

/// Sends the parts of a run to another instance until its last part, or `NoRun` if there is no run.
pub async fn serve_follow(run: Option<Arc<Run>>, end: &Exchange) {
    let Some(run) = run else {
        let _ = end.tx.send(Message::NoRun).await;
        return;
    };
    let mut follower = run.follow();
    while let Some(part) = follower.next().await {
        if end.tx.send(Message::Part(part)).await.is_err() {
            return;
        }
    }
}
