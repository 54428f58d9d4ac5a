//! A history of concurrent requests and its check against what the upstreams did.

use std::collections::BTreeMap;

/// What a caller was told at the end of one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// The whole answer.
    Answer(String),
    /// The attempt was refused and nothing was run under its key.
    NotRun,
    /// A status query settled that the key never runs.
    NeverRun,
    /// The request may have run.
    MayHaveRun,
    /// Nothing: the exchange was cut.
    Nothing,
}

/// One attempt of a caller.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Key that was sent.
    pub key: String,
    /// Answer that alone is right for this request, when it can be told.
    pub right: Option<String>,
    /// What the caller was told.
    pub told: Told,
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
    TwoAnswers(String),
    /// The caller got an answer though no upstream ran the key.
    AnswerFromNowhere(String),
    /// The key stays in progress though all is healed.
    Stuck(String),
}

impl Violation {
    /// Returns the key or act that it concerns.
    pub fn name(&self) -> &str {
        match self {
            Self::RanTwice(name)
            | Self::FalseNotRun(name)
            | Self::WrongAnswer(name)
            | Self::TwoAnswers(name)
            | Self::AnswerFromNowhere(name)
            | Self::Stuck(name) => name,
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
    pub fn add(&mut self, key: &str, right: Option<String>, told: Told) {
        self.0.push(Attempt { key: key.to_owned(), right, told });
    }

    /// Returns how many attempts were told that the request may have run.
    pub fn may_have_run(&self) -> usize {
        self.0.iter().filter(|attempt| attempt.told == Told::MayHaveRun).count()
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
            match &attempt.told {
                Told::NotRun | Told::NeverRun if ran => {
                    broken.push(Violation::FalseNotRun(key.clone()))
                }
                Told::Answer(answer) => {
                    if attempt.right.as_ref().is_some_and(|right| right != answer) {
                        broken.push(Violation::WrongAnswer(key.clone()));
                    }
                    if !ran {
                        broken.push(Violation::AnswerFromNowhere(key.clone()));
                    }
                    if *answers.entry(key).or_insert(answer) != answer {
                        broken.push(Violation::TwoAnswers(key.clone()));
                    }
                }
                Told::NotRun | Told::NeverRun | Told::MayHaveRun | Told::Nothing => {}
            }
        }
        broken.sort();
        broken.dedup();
        broken
    }
}
