//! A history of concurrent requests and its check against what the upstreams did.

use std::collections::BTreeMap;

/// What a caller was told at the end of one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerOutcome {
    /// The whole answer.
    Answer(String),
    /// The attempt was refused and nothing was run under its key.
    NotRun,
    /// A status query settled that the key never runs.
    NeverRun,
    /// The request may have run.
    MayHaveRun,
    /// Nothing: the exchange was cut.
    Interrupted,
}

/// One attempt of a caller.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Key that was sent.
    pub key: String,
    /// Answer that alone is right for this request, when it can be told.
    pub expected: Option<String>,
    /// What the caller was told.
    pub outcome: CallerOutcome,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// An upstream ran the key more than once.
    RanTwice(String),
    /// The caller was told of no run, and an upstream ran it.
    FalseNotRun(String),
    /// The caller got an answer that is not its own, or not whole.
    WrongAnswer(String),
    /// Two attempts of one key got different answers.
    ConflictingAnswers(String),
    /// The caller got an answer though no upstream ran the key.
    AnswerWithoutRun(String),
    /// The key stays in progress though all is healed.
    StillInProgress(String),
}

impl Violation {
    /// Returns the key or act that it concerns.
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

/// Runs of each key, as counted at the upstreams.
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

    /// Returns how many attempts were told that the request may have run.
    pub fn may_have_run(&self) -> usize {
        self.0.iter().filter(|attempt| attempt.outcome == CallerOutcome::MayHaveRun).count()
    }

    /// Checks each promise and returns what was broken.
    pub fn check(&self, runs: &Runs) -> Vec<Violation> {
        let mut broken: Vec<_> = runs
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
                    broken.push(Violation::FalseNotRun(key.clone()))
                }
                CallerOutcome::Answer(answer) => {
                    if attempt.expected.as_ref().is_some_and(|expected| expected != answer) {
                        broken.push(Violation::WrongAnswer(key.clone()));
                    }
                    if !ran {
                        broken.push(Violation::AnswerWithoutRun(key.clone()));
                    }
                    if *answers.entry(key).or_insert(answer) != answer {
                        broken.push(Violation::ConflictingAnswers(key.clone()));
                    }
                }
                CallerOutcome::NotRun
                | CallerOutcome::NeverRun
                | CallerOutcome::MayHaveRun
                | CallerOutcome::Interrupted => {}
            }
        }
        broken.sort();
        broken.dedup();
        broken
    }
}
