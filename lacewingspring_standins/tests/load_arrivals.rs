//! Arrivals are fixed by the seed and follow the scenario.

use std::path::{Path, PathBuf};

use lacewingspring_standins::load::{
    arrivals::generate,
    scenario::{Scenario, ScenarioError},
};

fn scenario(name: &str) -> Scenario {
    Scenario::read(&folder().join(name)).expect("a sound scenario")
}

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../scenarios")
}

#[test]
fn the_seed_fixes_the_arrivals() {
    let scenario = scenario("magnolia/twice.json");
    let once = generate(&scenario, 7);
    assert_eq!(once, generate(&scenario, 7));
    assert_ne!(once, generate(&scenario, 8));
}

#[test]
fn a_burst_multiplies_the_rate() {
    let mut scenario = scenario("magnolia/burst.json");
    scenario.load.duration_s = 400.0;
    scenario.load.bursts[0].from_s = 100.0;
    scenario.load.bursts[0].until_s = 200.0;
    let arrivals = generate(&scenario, 1);
    let is_in_burst = |at: f64| (100.0..200.0).contains(&at);
    let inside = arrivals.iter().filter(|a| is_in_burst(a.at.as_secs_f64())).count() as f64;
    let outside = arrivals.len() as f64 - inside;
    let factor = scenario.load.bursts[0].factor;
    // Of thousands of arrivals, a tenth is more than five standard deviations.
    let expected = scenario.load.rate * 100.0 * factor;
    assert!((inside / expected - 1.0).abs() < 0.1, "{inside} for {expected}");
    let expected = scenario.load.rate * 300.0;
    assert!((outside / expected - 1.0).abs() < 0.1, "{outside} for {expected}");
}

#[test]
fn prompts_share_only_their_prefix() {
    let arrivals = generate(&scenario("magnolia/twice.json"), 1);
    let completions = arrivals.iter().filter(|arrival| arrival.output_tokens > 0);
    let mut last_words: Vec<_> = completions.map(|a| a.text.split_whitespace().last()).collect();
    let count = last_words.len();
    last_words.sort_unstable();
    last_words.dedup();
    assert_eq!(last_words.len(), count);
}

#[test]
fn all_scenario_files_parse() {
    let mut count = 0;
    for user in std::fs::read_dir(folder()).expect("a folder") {
        for file in std::fs::read_dir(user.expect("an entry").path()).expect("a folder") {
            let path = file.expect("an entry").path();
            if path.file_name().is_some_and(|name| name != "deployment.json") {
                Scenario::read(&path).unwrap_or_else(|e| panic!("{e}"));
                count += 1;
            }
        }
    }
    assert_eq!(count, 10);
}

#[test]
fn a_name_that_refers_to_nothing_is_an_error() {
    let folder = std::env::temp_dir().join(format!("load-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("makes a folder");
    let deployment = self::folder().join("demo/deployment.json");
    let file = serde_json::json!({
        "name": "dangling", "deployment": deployment,
        "load": { "duration_s": 1.0, "rate": 1.0, "tries": 1,
            "faults": [{ "at_s": 0.5, "stand_in": "engine-9", "faults": {} }] }
    });
    let path = folder.join("dangling.json");
    std::fs::write(&path, file.to_string()).expect("writes a file");
    let read = Scenario::read(&path);
    std::fs::remove_dir_all(&folder).expect("removes the folder");
    assert!(matches!(read, Err(ScenarioError::Unknown { kind: "stand-in", .. })), "{read:?}");
}
