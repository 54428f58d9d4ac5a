//! A history with times, which checks the outcome and time of each attempt against the start times
//! of the runs at the upstreams.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
    net::SocketAddr,
    time::Duration,
};

use super::{
    caller::Reply,
    history::{CallerOutcome, Violation},
};

/// Tolerance when times of two clocks are compared, in milliseconds.
const CLOCK_SLACK_MS: i64 = 100;

/// Kind of the refusal of a key that was voided and never runs.
const VOIDED: &str = "voided";

/// Work that a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// A booking of a seat, which is an act that runs at most once.
    Booking {
        /// Number of the seat.
        seat: u64,
    },
    /// A completion.
    Completion {
        /// Service that the request names.
        service: &'static str,
        /// Length of the answer, in tokens.
        tokens: u32,
    },
}

/// One attempt of a caller, or one status query that voided a key.
#[derive(Clone, Debug)]
pub struct TimedAttempt {
    /// Key that was sent.
    pub key: String,
    /// Work that the request asked for.
    pub work: Work,
    /// The only correct answer; `None` if it is not known.
    pub expected: Option<String>,
    /// Reply that the caller received.
    pub reply: Reply,
    /// Caller address of the instance that received the request.
    pub at: SocketAddr,
    /// Send time, since the start of the history.
    pub began: Duration,
    /// End time, since the start of the history.
    pub ended: Duration,
}

/// One run at an upstream.
#[derive(Clone, Debug)]
pub struct StartedRun {
    /// Key of the run.
    pub key: String,
    /// Work that ran.
    pub work: Work,
    /// Start of the run in milliseconds since the start of the history.
    pub started_ms: i64,
}

/// Attempts in the order in which they ended.
#[derive(Clone, Debug, Default)]
pub struct TimedHistory(pub Vec<TimedAttempt>);

/// Names the unit that runs at most once: the act of a booking, or the key of a completion.
fn act(key: &str, work: &Work) -> String {
    match work {
        Work::Booking { seat } => format!("seat {seat}"),
        Work::Completion { .. } => key.to_owned(),
    }
}

impl TimedHistory {
    /// Checks each guarantee and returns the violations, sorted and without duplicates.
    pub fn check(&self, runs: &[StartedRun]) -> Vec<Violation> {
        let mut violations = BTreeSet::new();
        let mut counts: BTreeMap<String, u64> = BTreeMap::new();
        for run in runs {
            *counts.entry(act(&run.key, &run.work)).or_default() += 1;
        }
        let twice = counts.iter().filter(|(_, count)| **count > 1);
        violations.extend(twice.map(|(act, _)| Violation::RanTwice(act.clone())));
        let mut answers: BTreeMap<String, &str> = BTreeMap::new();
        let mut acts: BTreeMap<&str, String> = BTreeMap::new();
        for attempt in &self.0 {
            let act = act(&attempt.key, &attempt.work);
            let ran = runs.iter().any(|run| run.key == attempt.key);
            match &attempt.reply.outcome {
                CallerOutcome::Answer(text) => {
                    if attempt.expected.as_ref().is_some_and(|expected| expected != text) {
                        violations.insert(Violation::WrongAnswer(attempt.key.clone()));
                    }
                    if !counts.contains_key(&act) {
                        violations.insert(Violation::AnswerWithoutRun(act.clone()));
                    }
                    if *answers.entry(act.clone()).or_insert(text) != text {
                        violations.insert(Violation::ConflictingAnswers(act.clone()));
                    }
                    // The stand-in answers bookings of different acts differently, so one answer to
                    // two acts means that a caller received the answer to another request.
                    if attempt.expected.is_none() && *acts.entry(text).or_insert(act.clone()) != act
                    {
                        violations.insert(Violation::WrongAnswer(attempt.key.clone()));
                    }
                }
                CallerOutcome::NeverRun if ran => {
                    violations.insert(Violation::FalseNotRun(attempt.key.clone()));
                }
                CallerOutcome::NotRun if attempt.reply.kind == VOIDED && ran => {
                    violations.insert(Violation::FalseNotRun(attempt.key.clone()));
                }
                CallerOutcome::NotRun if self.is_false_refusal(attempt, runs) => {
                    violations.insert(Violation::FalseNotRun(attempt.key.clone()));
                }
                CallerOutcome::NeverRun
                | CallerOutcome::NotRun
                | CallerOutcome::MayHaveRun
                | CallerOutcome::Interrupted => {}
            }
        }
        violations.into_iter().collect()
    }

    /// Returns whether a refusal as "not run" was false: the key had run before, or it ran later
    /// while no other attempt that may have started the run was open.
    fn is_false_refusal(&self, refused: &TimedAttempt, runs: &[StartedRun]) -> bool {
        let ended = refused.ended.as_millis() as i64;
        let began = refused.began.as_millis() as i64;
        runs.iter().filter(|run| run.key == refused.key).any(|run| {
            // A run that starts during the refused attempt may belong to another attempt.
            run.started_ms + CLOCK_SLACK_MS < began
                || (run.started_ms > ended + CLOCK_SLACK_MS
                    && !self.may_belong_to_open_attempt(run))
        })
    }

    /// Returns whether some attempt with the key was open when the run started and may have made
    /// it.
    fn may_belong_to_open_attempt(&self, run: &StartedRun) -> bool {
        self.0.iter().filter(|other| other.key == run.key && may_have_started_run(other)).any(
            |other| {
                let began = other.began.as_millis() as i64 - CLOCK_SLACK_MS;
                let ended = other.ended.as_millis() as i64 + CLOCK_SLACK_MS;
                // The fleet may still run the request of an attempt that was interrupted.
                let open =
                    other.reply.outcome == CallerOutcome::Interrupted || run.started_ms <= ended;
                began <= run.started_ms && open
            },
        )
    }

    /// Summarises the number of attempts, of runs, and of attempts by outcome and refusal kind.
    pub fn summary(&self, runs: &[StartedRun]) -> String {
        let mut outcomes: BTreeMap<String, u64> = BTreeMap::new();
        for attempt in &self.0 {
            let name = match attempt.reply.outcome {
                CallerOutcome::Answer(_) => "answer",
                CallerOutcome::NotRun => "not run",
                CallerOutcome::NeverRun => "never run",
                CallerOutcome::MayHaveRun => "may have run",
                CallerOutcome::Interrupted => "interrupted",
            };
            *outcomes.entry(format!("{name} {}", attempt.reply.kind)).or_default() += 1;
        }
        format!("{} attempts, {} runs, outcomes {outcomes:?}", self.0.len(), runs.len())
    }

    /// Lists the attempts and runs of each key or act that a violation concerns.
    pub fn trace(&self, violations: &[Violation], runs: &[StartedRun]) -> String {
        let names: BTreeSet<&str> = violations.iter().map(Violation::subject).collect();
        let concerns =
            |key: &str, work: &Work| names.contains(key) || names.contains(act(key, work).as_str());
        let mut trace = String::new();
        for attempt in self.0.iter().filter(|attempt| concerns(&attempt.key, &attempt.work)) {
            let (began, ended) = (attempt.began.as_millis(), attempt.ended.as_millis());
            let (key, work, at, reply) =
                (&attempt.key, &attempt.work, attempt.at.port(), &attempt.reply);
            let _ = writeln!(trace, "{began}..{ended} ms at {at}: {key} {work:?} {reply:?}");
        }
        for run in runs.iter().filter(|run| concerns(&run.key, &run.work)) {
            let _ = writeln!(trace, "{run:?}");
        }
        trace
    }
}

/// Returns whether an attempt may have started a run: its reply does not state that none ran.
fn may_have_started_run(attempt: &TimedAttempt) -> bool {
    !matches!(attempt.reply.outcome, CallerOutcome::NotRun | CallerOutcome::NeverRun)
}
