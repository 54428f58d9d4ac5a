//! Generation of arrivals and loading of scenario files.

use std::path::{Path, PathBuf};

use lacewingspring_standins::load::{
    arrivals::generate,
    scenario::{Scenario, ScenarioError},
};

fn read_scenario(name: &str) -> Scenario {
    Scenario::read(&scenarios_folder().join(name)).expect("a valid scenario")
}

fn scenarios_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../scenarios")
}

#[test]
fn equal_seeds_give_equal_arrivals() {
    let scenario = read_scenario("magnolia/twice.json");
    let arrivals = generate(&scenario, 7);
    assert_eq!(arrivals, generate(&scenario, 7));
    assert_ne!(arrivals, generate(&scenario, 8));
}

#[test]
fn burst_multiplies_the_arrival_rate() {
    let mut scenario = read_scenario("magnolia/burst.json");
    scenario.load.duration_s = 400.0;
    scenario.load.bursts[0].from_s = 100.0;
    scenario.load.bursts[0].until_s = 200.0;
    let arrivals = generate(&scenario, 1);
    let is_in_burst = |at: f64| (100.0..200.0).contains(&at);
    let inside = arrivals.iter().filter(|a| is_in_burst(a.at.as_secs_f64())).count() as f64;
    let outside = arrivals.len() as f64 - inside;
    let factor = scenario.load.bursts[0].factor;
    // The counts are in the thousands, so a deviation of 10% exceeds five standard deviations.
    let expected = scenario.load.rate * 100.0 * factor;
    assert!(
        (inside / expected - 1.0).abs() < 0.1,
        "{inside} arrivals in the burst, expected {expected}"
    );
    let expected = scenario.load.rate * 300.0;
    assert!(
        (outside / expected - 1.0).abs() < 0.1,
        "{outside} arrivals outside the burst, expected {expected}"
    );
}

#[test]
fn each_prompt_ends_with_a_unique_word() {
    let arrivals = generate(&read_scenario("magnolia/twice.json"), 1);
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
    for entry in std::fs::read_dir(scenarios_folder()).expect("a readable folder") {
        for file in
            std::fs::read_dir(entry.expect("a readable entry").path()).expect("a readable folder")
        {
            let path = file.expect("a readable entry").path();
            if path.file_name().is_some_and(|name| name != "deployment.json") {
                Scenario::read(&path).unwrap_or_else(|e| panic!("{e}"));
                count += 1;
            }
        }
    }
    assert_eq!(count, 10);
}

#[test]
fn unknown_stand_in_name_is_an_error() {
    let folder = std::env::temp_dir().join(format!("load-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("create the folder");
    let deployment = self::scenarios_folder().join("demo/deployment.json");
    let file = serde_json::json!({
        "name": "dangling", "deployment": deployment,
        "load": { "duration_s": 1.0, "rate": 1.0, "tries": 1,
            "faults": [{ "at_s": 0.5, "stand_in": "engine-9", "faults": {} }] }
    });
    let path = folder.join("dangling.json");
    std::fs::write(&path, file.to_string()).expect("write the file");
    let result = Scenario::read(&path);
    std::fs::remove_dir_all(&folder).expect("remove the folder");
    assert!(matches!(result, Err(ScenarioError::Unknown { kind: "stand-in", .. })), "{result:?}");
}
