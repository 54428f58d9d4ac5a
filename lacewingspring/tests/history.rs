//! The check of a history detects each kind of violation and accepts a correct history.

use crate::support::history::{CallerOutcome, History, Runs, Violation};

mod support;

fn history(attempts: &[(&str, &str, CallerOutcome)]) -> History {
    let mut history = History::default();
    for (key, expected, outcome) in attempts {
        history.add(key, Some((*expected).to_owned()), outcome.clone());
    }
    history
}

fn runs(counts: &[(&str, u64)]) -> Runs {
    Runs(counts.iter().map(|(key, count)| ((*key).to_owned(), *count)).collect())
}

fn answer(text: &str) -> CallerOutcome {
    CallerOutcome::Answer(text.to_owned())
}

#[test]
fn accepts_a_correct_history() {
    let correct = history(&[
        ("a", "A", answer("A")),
        ("a", "A", answer("A")),
        ("b", "B", CallerOutcome::NotRun),
        ("c", "C", CallerOutcome::MayHaveRun),
        ("c", "C", answer("C")),
        ("d", "D", CallerOutcome::Interrupted),
    ]);
    assert_eq!(correct.check(&runs(&[("a", 1), ("c", 1), ("d", 1)])), vec![]);
    assert_eq!(correct.may_have_run(), 1);
}

#[test]
fn detects_each_violation() {
    let key = || "a".to_owned();
    let twice = history(&[("a", "A", answer("A"))]).check(&runs(&[("a", 2)]));
    assert_eq!(twice, vec![Violation::RanTwice(key())]);
    let false_not_run = history(&[("a", "A", CallerOutcome::NotRun)]).check(&runs(&[("a", 1)]));
    assert_eq!(false_not_run, vec![Violation::FalseNotRun(key())]);
    let crossed = history(&[("a", "A", answer("B"))]).check(&runs(&[("a", 1)]));
    assert_eq!(crossed, vec![Violation::WrongAnswer(key())]);
    let without_run = history(&[("a", "A", answer("A"))]).check(&runs(&[]));
    assert_eq!(without_run, vec![Violation::AnswerWithoutRun(key())]);
    let mut two = History::default();
    two.add("a", None, answer("A"));
    two.add("a", None, answer("B"));
    assert_eq!(two.check(&runs(&[("a", 1)])), vec![Violation::ConflictingAnswers(key())]);
}
