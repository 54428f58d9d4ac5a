//! Wasted prefill and duplicates computed from small journals.
//!
//! The caller received a complete response to the prompt `answered` only.

use std::collections::HashSet;

use lacewingspring_standins::load::journals::{EngineEntry, EngineJournal, Work, sum_up};

fn entry(prompt: &str, needed: u64, prefilled: u64) -> EngineEntry {
    EngineEntry {
        id: "id".to_owned(),
        dispatches: 1,
        resumptions: 0,
        needed_tokens: needed,
        prefilled_tokens: prefilled,
        prompt_sha8: prompt.to_owned(),
    }
}

fn journal<const N: usize>(requests: [EngineEntry; N]) -> EngineJournal {
    EngineJournal { requests: requests.into(), evictions: 0 }
}

fn sum_journals<const N: usize>(journals: [EngineJournal; N]) -> Work {
    sum_up(&journals, &HashSet::from(["answered".to_owned()]))
}

#[test]
fn needed_prefill_of_an_answered_prompt_is_not_wasted() {
    let work = sum_journals([journal([entry("answered", 100, 100)])]);
    assert_eq!(work, Work { prefilled_tokens: 100, ..Work::default() });
}

#[test]
fn prefill_of_an_unanswered_prompt_is_wasted() {
    let work = sum_journals([journal([entry("unanswered", 100, 40)])]);
    assert_eq!((work.wasted_tokens, work.unanswered_tokens), (40, 40));
}

#[test]
fn repeated_prefill_after_an_eviction_is_wasted() {
    let work = sum_journals([journal([entry("answered", 100, 180)])]);
    assert_eq!((work.wasted_tokens, work.unanswered_tokens), (80, 0));
}

#[test]
fn second_run_on_another_engine_is_a_wasted_duplicate() {
    let work = sum_journals([
        journal([entry("answered", 100, 100)]),
        journal([entry("answered", 90, 90)]),
    ]);
    assert_eq!((work.wasted_tokens, work.duplicate_completions), (90, 1));
    assert_eq!(work.under_new_key, 0);
}

#[test]
fn second_run_under_a_new_key_is_counted_separately() {
    let again = EngineEntry { id: "other".to_owned(), ..entry("answered", 90, 90) };
    let work = sum_journals([journal([entry("answered", 100, 100)]), journal([again])]);
    assert_eq!((work.duplicate_completions, work.under_new_key), (1, 1));
}

#[test]
fn resumption_on_another_engine_is_neither_wasted_nor_a_duplicate() {
    let resumed = EngineEntry { resumptions: 1, ..entry("answered", 0, 40) };
    let work = sum_journals([journal([entry("answered", 100, 60)]), journal([resumed])]);
    assert_eq!((work.wasted_tokens, work.duplicate_completions, work.resumptions), (0, 0, 1));
}
