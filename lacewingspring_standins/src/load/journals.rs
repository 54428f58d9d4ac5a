//! Computes wasted prefill and duplicate dispatches from the journals of the stand-ins.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
};

use serde::{Deserialize, Serialize};

use super::{
    client::{OutgoingRequest, exchange_json},
    scenario::Deployment,
};

/// Request as recorded in the journal of an engine.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct EngineEntry {
    /// Identifier of the request, the same for all runs under one key.
    #[serde(default)]
    pub id: String,
    /// Completions posted for the request.
    pub dispatches: u64,
    /// Dispatches that continued an earlier run.
    pub resumptions: u64,
    /// Prompt tokens to compute at the first admission, without those in the prefix cache.
    pub needed_tokens: u64,
    /// Prompt tokens computed in all admissions.
    pub prefilled_tokens: u64,
    /// Digest of the prompt.
    pub prompt_sha8: String,
}

/// Journal of an engine.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct EngineJournal {
    /// Recorded requests.
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

/// Work of all upstreams in a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Prompt tokens computed.
    pub prefilled_tokens: u64,
    /// Prompt tokens computed more than once, or for responses that no caller received.
    pub wasted_tokens: u64,
    /// Wasted tokens that were computed for responses that no caller received.
    pub unanswered_tokens: u64,
    /// Completions posted beyond the first per prompt, without resumptions.
    pub duplicate_completions: u64,
    /// Duplicate completions that callers sent under a new key after a response that the first may
    /// have run.
    #[serde(default)]
    pub under_new_key: u64,
    /// Dispatches that continued an earlier run.
    pub resumptions: u64,
    /// Plain calls beyond the first per body.
    pub duplicate_calls: u64,
    /// Runs that engines evicted for lack of memory.
    pub evictions: u64,
}

/// Sums of one prompt over all engines.
#[derive(Default)]
struct PromptTotals<'a> {
    prefilled: u64,
    needed: u64,
    dispatches: u64,
    resumptions: u64,
    ids: HashSet<&'a str>,
}

impl Work {
    /// Wasted share of the computed prompt tokens, in percent.
    pub fn wasted_percent(&self) -> f64 {
        100.0 * self.wasted_tokens as f64 / self.prefilled_tokens.max(1) as f64
    }
}

/// Sums up the journals of the engines.
///
/// `answered` holds the digests of the prompts whose complete response reached the caller. Such a
/// prompt needs the largest number of tokens that an engine had to compute at a first admission;
/// tokens beyond that, and all tokens of other prompts, are wasted.
pub fn sum_up(journals: &[EngineJournal], answered: &HashSet<String>) -> Work {
    let mut prompts: HashMap<&str, PromptTotals<'_>> = HashMap::new();
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
        let answered_in_full = answered.contains(digest);
        work.prefilled_tokens += prompt.prefilled;
        let needed = if answered_in_full { prompt.needed } else { 0 };
        work.wasted_tokens += prompt.prefilled.saturating_sub(needed);
        work.unanswered_tokens += if answered_in_full { 0 } else { prompt.prefilled };
        work.resumptions += prompt.resumptions;
        let expected = prompt.resumptions + 1;
        work.duplicate_completions += prompt.dispatches.saturating_sub(expected);
        work.under_new_key += prompt.ids.len() as u64 - 1;
    }
    work.evictions = journals.iter().map(|journal| journal.evictions).sum();
    work
}

/// Reads the journals of all engines and plain servers and sums them up; skips unreadable ones.
pub async fn collect(deployment: &Deployment, answered: &HashSet<String>) -> Work {
    let mut journals = Vec::new();
    for engine in deployment.engines() {
        let journal: Option<EngineJournal> = fetch_journal(engine.address).await;
        journals.extend(journal);
    }
    let mut work = sum_up(&journals, answered);
    let mut bodies = HashSet::new();
    for server in deployment.plain_servers() {
        let Some(journal) = fetch_journal::<PlainJournal>(server.address).await else { continue };
        let calls = journal.calls.into_iter();
        work.duplicate_calls +=
            calls.filter(|call| !bodies.insert(call.body.clone())).count() as u64;
    }
    work
}

/// Clears the journals, so that the probes sent while the fleet started are not counted.
pub async fn reset(deployment: &Deployment) {
    let engines = deployment.engines().into_iter().map(|engine| engine.address);
    let plain = deployment.plain_servers().into_iter().map(|server| server.address);
    for stand_in in engines.chain(plain) {
        exchange_json(stand_in, OutgoingRequest::new("DELETE", "/journal")).await;
    }
}

async fn fetch_journal<T>(stand_in: SocketAddr) -> Option<T>
where
    T: serde::de::DeserializeOwned,
{
    let journal = exchange_json(stand_in, OutgoingRequest::new("GET", "/journal")).await?;
    serde_json::from_value(journal).ok()
}
