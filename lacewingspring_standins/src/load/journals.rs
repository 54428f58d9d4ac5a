//! Wasted prefill and duplicate dispatches, from the journals of the stand-ins.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
};

use serde::{Deserialize, Serialize};

use super::{
    client::{Send, control},
    scenario::Deployment,
};

/// Request in the journal of an engine.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct EngineEntry {
    /// Identifier of the request, the same for all runs under one key.
    #[serde(default)]
    pub id: String,
    /// Completions posted for it.
    pub dispatches: u64,
    /// Those that went on with a parked run.
    pub resumptions: u64,
    /// Prompt tokens that the first admission had to compute.
    pub needed_tokens: u64,
    /// Prompt tokens that were computed.
    pub prefilled_tokens: u64,
    /// Digest of the prompt.
    pub prompt_sha8: String,
}

/// Journal of an engine.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct EngineJournal {
    /// Requests.
    pub requests: Vec<EngineEntry>,
    /// Runs evicted for lack of memory.
    #[serde(default)]
    pub evictions: u64,
}

#[derive(Clone, Debug, Deserialize)]
struct PlainEntry {
    body: String,
}

#[derive(Clone, Debug, Deserialize)]
struct PlainJournal {
    calls: Vec<PlainEntry>,
}

/// What the upstreams did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Prompt tokens computed.
    pub prefilled_tokens: u64,
    /// Those computed again, or for answers that nobody got.
    pub wasted_tokens: u64,
    /// Part of the wasted ones that were computed for answers that nobody got.
    pub unanswered_tokens: u64,
    /// Completions posted beyond the first of each prompt, without resumptions.
    pub duplicate_completions: u64,
    /// Part of the duplicate completions that callers sent under a new key, told that the first
    /// may have run.
    #[serde(default)]
    pub under_new_key: u64,
    /// Parked runs that went on.
    pub resumptions: u64,
    /// Plain calls beyond the first with the same body.
    pub duplicate_calls: u64,
    /// Runs that engines evicted for lack of memory.
    pub evictions: u64,
}

/// Sums of one prompt over all engines.
#[derive(Default)]
struct Prompt<'a> {
    prefilled: u64,
    needed: u64,
    dispatches: u64,
    resumptions: u64,
    ids: HashSet<&'a str>,
}

impl Work {
    /// Part of the computed prompt tokens that was wasted, in percent.
    pub fn wasted_percent(&self) -> f64 {
        100.0 * self.wasted_tokens as f64 / self.prefilled_tokens.max(1) as f64
    }
}

/// Sums the journals up; `answered` holds the digests of the prompts answered whole.
pub fn sum_up(journals: &[EngineJournal], answered: &HashSet<String>) -> Work {
    let mut prompts: HashMap<&str, Prompt<'_>> = HashMap::new();
    for entry in journals.iter().flat_map(|journal| &journal.requests) {
        let prompt = prompts.entry(&entry.prompt_sha8).or_default();
        prompt.prefilled += entry.prefilled_tokens;
        prompt.needed = prompt.needed.max(entry.needed_tokens);
        prompt.dispatches += entry.dispatches;
        prompt.resumptions += entry.resumptions;
        prompt.ids.insert(&entry.id);
    }
    let mut work = Work::default();
    for (digest, prompt) in prompts {
        let whole = answered.contains(digest);
        work.prefilled_tokens += prompt.prefilled;
        let needed = if whole { prompt.needed } else { 0 };
        work.wasted_tokens += prompt.prefilled.saturating_sub(needed);
        work.unanswered_tokens += if whole { 0 } else { prompt.prefilled };
        work.resumptions += prompt.resumptions;
        let first = prompt.resumptions + 1;
        work.duplicate_completions += prompt.dispatches.saturating_sub(first);
        work.under_new_key += prompt.ids.len() as u64 - 1;
    }
    work.evictions = journals.iter().map(|journal| journal.evictions).sum();
    work
}

/// Reads all journals and sums them up.
pub async fn collect(deployment: &Deployment, answered: &HashSet<String>) -> Work {
    let mut journals = Vec::new();
    for engine in deployment.engines() {
        let journal: Option<EngineJournal> = read(engine.address).await;
        journals.extend(journal);
    }
    let mut work = sum_up(&journals, answered);
    let mut bodies = HashSet::new();
    for server in deployment.plain() {
        let Some(journal) = read::<PlainJournal>(server.address).await else { continue };
        let calls = journal.calls.into_iter();
        work.duplicate_calls +=
            calls.filter(|call| !bodies.insert(call.body.clone())).count() as u64;
    }
    work
}

/// Forgets the journals, and what the start of the fleet did to them.
pub async fn reset(deployment: &Deployment) {
    let engines = deployment.engines().into_iter().map(|engine| engine.address);
    let plain = deployment.plain().into_iter().map(|server| server.address);
    for stand_in in engines.chain(plain) {
        control(stand_in, Send::new("DELETE", "/journal")).await;
    }
}

async fn read<T>(stand_in: SocketAddr) -> Option<T>
where
    T: serde::de::DeserializeOwned,
{
    let journal = control(stand_in, Send::new("GET", "/journal")).await?;
    serde_json::from_value(journal).ok()
}
