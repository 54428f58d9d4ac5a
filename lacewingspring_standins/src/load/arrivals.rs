//! Arrivals of a scenario, fixed by the seed alone.

use std::{fmt::Write, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::scenario::{ClassBody, Deployment, Lengths, Prefixes, Scenario};

/// One request as it arrives.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Number from 0.
    pub number: usize,
    /// Time since the start of the load.
    pub at: Duration,
    /// Index of the class.
    pub class: usize,
    /// Index of the workspace.
    pub workspace: usize,
    /// Index of the caller's data centre.
    pub home: usize,
    /// Prompt or body.
    pub text: String,
    /// Tokens of the answer; 0 for a plain call.
    pub output_tokens: u32,
    /// Whether the caller repeats a late request.
    pub repeats: bool,
    /// Seed of the caller's own choices.
    pub seed: u64,
}

/// Generates all arrivals of a scenario.
pub fn generate(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let load = &scenario.load;
    let most = load.bursts.iter().map(|burst| burst.factor).fold(1.0, f64::max);
    let mut arrivals = Vec::new();
    let mut at_s = 0.0;
    loop {
        let step: f64 = rng.random();
        at_s += -(1.0 - step).ln() / (load.rate * most);
        if at_s >= load.duration_s {
            return arrivals;
        }
        // Thinning: arrivals at the highest rate are kept with the share of the present one.
        if rng.random::<f64>() * most < load.factor(at_s) {
            let at = Duration::from_secs_f64(at_s);
            arrivals.push(arrival(&mut rng, scenario, seed, arrivals.len(), at));
        }
    }
}

fn arrival(rng: &mut Pcg64, scenario: &Scenario, run: u64, number: usize, at: Duration) -> Arrival {
    let deployment = &scenario.deployment;
    let class = pick(rng, deployment.classes.iter().map(|class| class.share));
    let workspace = pick(rng, deployment.workspaces.iter().map(|workspace| workspace.share));
    let (text, output_tokens) = request(rng, deployment, class, run, number);
    Arrival {
        number,
        at,
        class,
        workspace,
        home: rng.random_range(0..deployment.data_centres.len()),
        text,
        output_tokens,
        repeats: rng.random::<f64>() < scenario.load.repeats.share,
        seed: rng.random(),
    }
}

fn request(
    rng: &mut Pcg64,
    deployment: &Deployment,
    class: usize,
    run: u64,
    number: usize,
) -> (String, u32) {
    match &deployment.classes[class].body {
        ClassBody::Completion { prompt, output, prefixes } => {
            let words = length(rng, *prompt);
            let prefix = prefix(rng, class, *prefixes);
            (prompt_text(&prefix, run, number, words), length(rng, *output))
        }
        ClassBody::Plain => {
            let body = serde_json::json!({ "seat": number, "client": format!("run-{run}") });
            (body.to_string(), 0)
        }
    }
}

fn prefix(rng: &mut Pcg64, class: usize, prefixes: Prefixes) -> String {
    let mut text = String::new();
    if prefixes.count > 0 {
        let which = rng.random_range(0..prefixes.count);
        for word in 0..prefixes.words {
            let _ = write!(text, "c{class}p{which}w{word} ");
        }
    }
    text
}

/// Text whose words after the prefix occur in no other prompt.
fn prompt_text(prefix: &str, run: u64, number: usize, words: u32) -> String {
    let mut text = prefix.to_owned();
    for word in 0..words {
        let _ = write!(text, "r{run}n{number}w{word} ");
    }
    text
}

fn length(rng: &mut Pcg64, lengths: Lengths) -> u32 {
    let (min, max) = (f64::from(lengths.min).ln(), f64::from(lengths.max).ln());
    let log = min + rng.random::<f64>() * (max - min);
    (log.exp().round() as u32).clamp(lengths.min, lengths.max)
}

fn pick<I>(rng: &mut Pcg64, shares: I) -> usize
where
    I: Iterator<Item = f64> + Clone,
{
    let total: f64 = shares.clone().sum();
    let mut left = rng.random::<f64>() * total;
    let count = shares.clone().count();
    for (index, share) in shares.enumerate() {
        left -= share;
        if left < 0.0 {
            return index;
        }
    }
    count - 1
}
