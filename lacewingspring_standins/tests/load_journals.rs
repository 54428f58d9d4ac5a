//! Wasted prefill and duplicates from small journals.

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

fn sum<const N: usize>(journals: [EngineJournal; N]) -> Work {
    sum_up(&journals, &HashSet::from(["whole".to_owned()]))
}

#[test]
fn what_a_whole_answer_needs_is_no_waste() {
    let work = sum([journal([entry("whole", 100, 100)])]);
    assert_eq!(work, Work { prefilled_tokens: 100, ..Work::default() });
}

#[test]
fn prefill_without_an_answer_is_all_waste() {
    let work = sum([journal([entry("lost", 100, 40)])]);
    assert_eq!((work.wasted_tokens, work.unanswered_tokens), (40, 40));
}

#[test]
fn prefill_after_an_eviction_is_waste() {
    let work = sum([journal([entry("whole", 100, 180)])]);
    assert_eq!((work.wasted_tokens, work.unanswered_tokens), (80, 0));
}

#[test]
fn a_second_run_elsewhere_is_a_duplicate_and_waste() {
    let work = sum([journal([entry("whole", 100, 100)]), journal([entry("whole", 90, 90)])]);
    assert_eq!((work.wasted_tokens, work.duplicate_completions), (90, 1));
    assert_eq!(work.under_new_key, 0);
}

#[test]
fn a_second_run_under_a_new_key_is_a_duplicate_that_its_caller_made() {
    let again = EngineEntry { id: "other".to_owned(), ..entry("whole", 90, 90) };
    let work = sum([journal([entry("whole", 100, 100)]), journal([again])]);
    assert_eq!((work.duplicate_completions, work.under_new_key), (1, 1));
}

#[test]
fn a_parked_run_that_goes_on_elsewhere_is_neither() {
    let resumed = EngineEntry { resumptions: 1, ..entry("whole", 0, 40) };
    let work = sum([journal([entry("whole", 100, 60)]), journal([resumed])]);
    assert_eq!((work.wasted_tokens, work.duplicate_completions, work.resumptions), (0, 0, 1));
}
