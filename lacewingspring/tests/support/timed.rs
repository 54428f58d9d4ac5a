//! A history with times: what each attempt was told and when, against when the upstreams ran it.

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

/// Uncertainty of the comparison of two clocks, in milliseconds.
const CLOCK_SLACK_MS: i64 = 100;

/// Kind of the refusal that a key was settled as never to be run.
const VOIDED: &str = "voided";

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// A booking of a seat, the act that runs at most once.
    Booking {
        /// Number of the seat.
        seat: u64,
    },
    /// A completion.
    Completion {
        /// Service that is asked.
        service: &'static str,
        /// Length of the answer.
        tokens: u32,
    },
}

/// One attempt of a caller, or one status query that settled a key.
#[derive(Clone, Debug)]
pub struct TimedAttempt {
    /// Key that was sent.
    pub key: String,
    /// What was asked for.
    pub work: Work,
    /// Answer that alone is right, when it can be told.
    pub expected: Option<String>,
    /// What the caller was told.
    pub reply: Reply,
    /// Instance that was asked.
    pub at: SocketAddr,
    /// Time since the start at which it was sent.
    pub began: Duration,
    /// Time since the start at which it ended.
    pub ended: Duration,
}

/// One run at an upstream.
#[derive(Clone, Debug)]
pub struct StartedRun {
    /// Key that ran.
    pub key: String,
    /// What ran.
    pub work: Work,
    /// Time since the start, in milliseconds.
    pub started_ms: i64,
}

/// Attempts in the order in which they ended.
#[derive(Clone, Debug, Default)]
pub struct TimedHistory(pub Vec<TimedAttempt>);

/// Name of what may happen once: the act of a booking, or the key of a completion.
fn act(key: &str, work: &Work) -> String {
    match work {
        Work::Booking { seat } => format!("seat {seat}"),
        Work::Completion { .. } => key.to_owned(),
    }
}

impl TimedHistory {
    /// Checks each promise and returns what was broken.
    pub fn check(&self, runs: &[StartedRun]) -> Vec<Violation> {
        let mut broken = BTreeSet::new();
        let mut counts: BTreeMap<String, u64> = BTreeMap::new();
        for run in runs {
            *counts.entry(act(&run.key, &run.work)).or_default() += 1;
        }
        let twice = counts.iter().filter(|(_, count)| **count > 1);
        broken.extend(twice.map(|(act, _)| Violation::RanTwice(act.clone())));
        let mut answers: BTreeMap<String, &str> = BTreeMap::new();
        let mut acts: BTreeMap<&str, String> = BTreeMap::new();
        for attempt in &self.0 {
            let act = act(&attempt.key, &attempt.work);
            let ran = runs.iter().any(|run| run.key == attempt.key);
            match &attempt.reply.outcome {
                CallerOutcome::Answer(text) => {
                    if attempt.expected.as_ref().is_some_and(|expected| expected != text) {
                        broken.insert(Violation::WrongAnswer(attempt.key.clone()));
                    }
                    if !counts.contains_key(&act) {
                        broken.insert(Violation::AnswerWithoutRun(act.clone()));
                    }
                    if *answers.entry(act.clone()).or_insert(text) != text {
                        broken.insert(Violation::ConflictingAnswers(act.clone()));
                    }
                    if attempt.expected.is_none() && *acts.entry(text).or_insert(act.clone()) != act
                    {
                        broken.insert(Violation::WrongAnswer(attempt.key.clone()));
                    }
                }
                CallerOutcome::NeverRun if ran => {
                    broken.insert(Violation::FalseNotRun(attempt.key.clone()));
                }
                CallerOutcome::NotRun if attempt.reply.kind == VOIDED && ran => {
                    broken.insert(Violation::FalseNotRun(attempt.key.clone()));
                }
                CallerOutcome::NotRun if self.is_false_refusal(attempt, runs) => {
                    broken.insert(Violation::FalseNotRun(attempt.key.clone()));
                }
                CallerOutcome::NeverRun
                | CallerOutcome::NotRun
                | CallerOutcome::MayHaveRun
                | CallerOutcome::Interrupted => {}
            }
        }
        broken.into_iter().collect()
    }

    /// Returns whether a refusal as "not run" was false: the key had run, or it ran later though
    /// no other attempt was open that may have run it.
    fn is_false_refusal(&self, refused: &TimedAttempt, runs: &[StartedRun]) -> bool {
        let ended = refused.ended.as_millis() as i64;
        let began = refused.began.as_millis() as i64;
        runs.iter().filter(|run| run.key == refused.key).any(|run| {
            // A run that starts while the refusal is under way may be another attempt's.
            run.started_ms + CLOCK_SLACK_MS < began
                || (run.started_ms > ended + CLOCK_SLACK_MS
                    && !self.may_belong_to_open_attempt(run))
        })
    }

    fn may_belong_to_open_attempt(&self, run: &StartedRun) -> bool {
        self.0.iter().filter(|other| other.key == run.key && may_run(other)).any(|other| {
            let began = other.began.as_millis() as i64 - CLOCK_SLACK_MS;
            let ended = other.ended.as_millis() as i64 + CLOCK_SLACK_MS;
            let open = other.reply.outcome == CallerOutcome::Interrupted || run.started_ms <= ended;
            began <= run.started_ms && open
        })
    }

    /// Counts the attempts, the runs and what was told by cause.
    pub fn summary(&self, runs: &[StartedRun]) -> String {
        let mut told: BTreeMap<String, u64> = BTreeMap::new();
        for attempt in &self.0 {
            let name = match attempt.reply.outcome {
                CallerOutcome::Answer(_) => "answer",
                CallerOutcome::NotRun => "not run",
                CallerOutcome::NeverRun => "never run",
                CallerOutcome::MayHaveRun => "may have run",
                CallerOutcome::Interrupted => "cut",
            };
            *told.entry(format!("{name} {}", attempt.reply.kind)).or_default() += 1;
        }
        format!("{} attempts, {} runs, told {told:?}", self.0.len(), runs.len())
    }

    /// Tells what was asked, told and run of each broken key.
    pub fn trace(&self, broken: &[Violation], runs: &[StartedRun]) -> String {
        let names: BTreeSet<&str> = broken.iter().map(Violation::subject).collect();
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

/// Returns whether an attempt may have made a run: it wasn't told that it did not.
fn may_run(attempt: &TimedAttempt) -> bool {
    !matches!(attempt.reply.outcome, CallerOutcome::NotRun | CallerOutcome::NeverRun)
}
