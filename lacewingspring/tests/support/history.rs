//! A history of concurrent requests and its check against the runs that the upstreams counted.

use std::collections::BTreeMap;

/// Outcome of one attempt as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerOutcome {
    /// The complete answer.
    Answer(String),
    /// The attempt was refused with the statement that nothing ran under its key.
    NotRun,
    /// A status query voided the key, so that it never runs.
    NeverRun,
    /// The response states that the request may have run.
    MayHaveRun,
    /// The exchange ended without a complete response.
    Interrupted,
}

/// One attempt of a caller and its outcome.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Key that was sent.
    pub key: String,
    /// The only correct answer to this request; `None` if it is not known.
    pub expected: Option<String>,
    /// Outcome of the attempt.
    pub outcome: CallerOutcome,
}

/// A guarantee that the fleet broke.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// The upstreams ran the key or act more than once, in total.
    RanTwice(String),
    /// A response stated that the key did not run, but an upstream ran it.
    FalseNotRun(String),
    /// The caller received the answer to another request, or an incomplete one.
    WrongAnswer(String),
    /// Two attempts with one key received different answers.
    ConflictingAnswers(String),
    /// The caller received an answer although no upstream ran the key.
    AnswerWithoutRun(String),
    /// The key is still in progress after all faults are removed.
    StillInProgress(String),
}

impl Violation {
    /// Returns the key or act that the violation concerns.
    pub fn subject(&self) -> &str {
        match self {
            Self::RanTwice(name)
            | Self::FalseNotRun(name)
            | Self::WrongAnswer(name)
            | Self::ConflictingAnswers(name)
            | Self::AnswerWithoutRun(name)
            | Self::StillInProgress(name) => name,
        }
    }
}

/// Number of runs of each key, as counted at the upstreams.
#[derive(Clone, Debug, Default)]
pub struct Runs(pub BTreeMap<String, u64>);

/// Attempts in the order in which they ended.
#[derive(Clone, Debug, Default)]
pub struct History(pub Vec<Attempt>);

impl History {
    /// Adds an attempt.
    pub fn add(&mut self, key: &str, expected: Option<String>, outcome: CallerOutcome) {
        self.0.push(Attempt { key: key.to_owned(), expected, outcome });
    }

    /// Returns how many attempts ended with [`CallerOutcome::MayHaveRun`].
    pub fn may_have_run(&self) -> usize {
        self.0.iter().filter(|attempt| attempt.outcome == CallerOutcome::MayHaveRun).count()
    }

    /// Checks each guarantee and returns the violations, sorted and without duplicates.
    ///
    /// Without times, a refusal as not run counts as false if the key ran at all, even if another
    /// attempt ran it; [`super::timed::TimedHistory::check`] tells these apart.
    pub fn check(&self, runs: &Runs) -> Vec<Violation> {
        let mut violations: Vec<_> = runs
            .0
            .iter()
            .filter(|(_, count)| **count > 1)
            .map(|(key, _)| Violation::RanTwice(key.clone()))
            .collect();
        let mut answers: BTreeMap<&str, &str> = BTreeMap::new();
        for attempt in &self.0 {
            let key = &attempt.key;
            let ran = runs.0.get(key).copied().unwrap_or(0) > 0;
            match &attempt.outcome {
                CallerOutcome::NotRun | CallerOutcome::NeverRun if ran => {
                    violations.push(Violation::FalseNotRun(key.clone()))
                }
                CallerOutcome::Answer(answer) => {
                    if attempt.expected.as_ref().is_some_and(|expected| expected != answer) {
                        violations.push(Violation::WrongAnswer(key.clone()));
                    }
                    if !ran {
                        violations.push(Violation::AnswerWithoutRun(key.clone()));
                    }
                    if *answers.entry(key).or_insert(answer) != answer {
                        violations.push(Violation::ConflictingAnswers(key.clone()));
                    }
                }
                CallerOutcome::NotRun
                | CallerOutcome::NeverRun
                | CallerOutcome::MayHaveRun
                | CallerOutcome::Interrupted => {}
            }
        }
        violations.sort();
        violations.dedup();
        violations
    }
}
