//! Generates the arrivals of a scenario; equal seeds give equal arrivals.

use std::{fmt::Write, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::scenario::{ClassBody, Deployment, Lengths, Prefixes, Scenario};

/// Request with its arrival time.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Sequence number, from 0.
    pub number: usize,
    /// Time since the start of the load.
    pub at: Duration,
    /// Index of the class in the deployment.
    pub class: usize,
    /// Index of the workspace in the deployment.
    pub workspace: usize,
    /// Index of the caller's data centre.
    pub data_centre: usize,
    /// Prompt of a completion, or body of a plain call.
    pub text: String,
    /// Tokens to generate; 0 for a plain call.
    pub output_tokens: u32,
    /// Whether the caller sends the request again if its output is late.
    pub repeats: bool,
    /// Seed of the random choices that the caller makes.
    pub seed: u64,
}

/// Generates the arrivals of a scenario as a Poisson process, in order of time.
pub fn generate(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let load = &scenario.load;
    let max_factor = load.bursts.iter().map(|burst| burst.factor).fold(1.0, f64::max);
    let mut arrivals = Vec::new();
    let mut at_s = 0.0;
    loop {
        let uniform: f64 = rng.random();
        at_s += -(1.0 - uniform).ln() / (load.rate * max_factor);
        if at_s >= load.duration_s {
            return arrivals;
        }
        // Thinning: draws arrivals at the highest rate and keeps each with the probability of
        // current rate / highest rate.
        if rng.random::<f64>() * max_factor < load.rate_factor(at_s) {
            let at = Duration::from_secs_f64(at_s);
            arrivals.push(draw_arrival(&mut rng, scenario, seed, arrivals.len(), at));
        }
    }
}

fn draw_arrival(
    rng: &mut Pcg64,
    scenario: &Scenario,
    run_seed: u64,
    number: usize,
    at: Duration,
) -> Arrival {
    let deployment = &scenario.deployment;
    let class = draw_index(rng, deployment.classes.iter().map(|class| class.share));
    let workspace = draw_index(rng, deployment.workspaces.iter().map(|workspace| workspace.share));
    let (text, output_tokens) = draw_request(rng, deployment, class, run_seed, number);
    Arrival {
        number,
        at,
        class,
        workspace,
        data_centre: rng.random_range(0..deployment.data_centres.len()),
        text,
        output_tokens,
        repeats: rng.random::<f64>() < scenario.load.repeats.share,
        seed: rng.random(),
    }
}

fn draw_request(
    rng: &mut Pcg64,
    deployment: &Deployment,
    class: usize,
    run_seed: u64,
    number: usize,
) -> (String, u32) {
    match &deployment.classes[class].body {
        ClassBody::Completion { prompt, output, prefixes } => {
            let words = draw_length(rng, *prompt);
            let prefix = draw_prefix(rng, class, *prefixes);
            (prompt_text(&prefix, run_seed, number, words), draw_length(rng, *output))
        }
        ClassBody::Plain => {
            let body = serde_json::json!({ "seat": number, "client": format!("run-{run_seed}") });
            (body.to_string(), 0)
        }
    }
}

/// One of the prefixes that the prompts of a class share; empty if the class has none.
fn draw_prefix(rng: &mut Pcg64, class: usize, prefixes: Prefixes) -> String {
    let mut text = String::new();
    if prefixes.count > 0 {
        let index = rng.random_range(0..prefixes.count);
        for word in 0..prefixes.words {
            let _ = write!(text, "c{class}p{index}w{word} ");
        }
    }
    text
}

/// Builds a prompt; the words after the prefix are unique to it.
fn prompt_text(prefix: &str, run_seed: u64, number: usize, words: u32) -> String {
    let mut text = prefix.to_owned();
    for word in 0..words {
        let _ = write!(text, "r{run_seed}n{number}w{word} ");
    }
    text
}

/// Draws a log-uniform length.
fn draw_length(rng: &mut Pcg64, lengths: Lengths) -> u32 {
    let (min, max) = (f64::from(lengths.min).ln(), f64::from(lengths.max).ln());
    let log_length = min + rng.random::<f64>() * (max - min);
    (log_length.exp().round() as u32).clamp(lengths.min, lengths.max)
}

/// Draws an index with a probability proportional to its share.
fn draw_index<I>(rng: &mut Pcg64, shares: I) -> usize
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
