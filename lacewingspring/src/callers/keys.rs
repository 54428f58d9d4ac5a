//! Status query of a request key.

use std::{sync::Arc, time::Duration};

use http::Method;
use lacewingspring_core::{
    claim::{ClaimRecord, ClaimState},
    error::{ErrorKind, RunState},
    key_index::{Announcement, KeyId, Outcome, Progress, Runner, TakeOverVerdict, VoidVerdict},
    names::RequestKey,
};
use percent_encoding::percent_decode_str;
use serde::Serialize;
use tokio::time::timeout;

use super::{Call, REQUESTS_PATH, auth, reply::Reply};
use crate::{
    clock,
    daemon::Node,
    entry::Refusal,
    homes::HomeClient,
    peers::{Message, PeerAddress, RunPart},
};

/// Retry-after of a refusal while the key-value service is unavailable.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Maximum wait for the home of a key.
const HOME_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum wait for a runner to report that it no longer runs a key.
const RUNNER_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Serialize)]
struct KeyState {
    key: RequestKey,
    state: State,
}

#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum State {
    NotRun,
    Ran,
    MayHaveRun,
    InProgress,
}

/// Returns the state of a key. An unknown key is voided, so that it never runs.
///
/// # Errors
///
/// Returns a refusal if the key cannot be settled now, for example `StoreUnavailable`.
pub async fn get(node: &Arc<Node>, call: &Call<'_>) -> Result<Reply, Refusal> {
    if call.head.method() != Method::GET {
        return Err(Refusal::permanent(ErrorKind::MethodNotAllowed));
    }
    let workspace = auth::workspace(&node.catalog(), call.head.headers())?;
    let key = call.head.uri().path().strip_prefix(REQUESTS_PATH).unwrap_or_default();
    let key = percent_decode_str(key).decode_utf8().map_err(|_| malformed())?;
    let id = KeyId { workspace, key: RequestKey::from(&*key) };
    let state = state(node, &id).await?;
    Ok(Reply::json(200, &KeyState { key: id.key, state }))
}

async fn state(node: &Arc<Node>, id: &KeyId) -> Result<State, Refusal> {
    if let Some(state) = local_state(node, id) {
        return Ok(state);
    }
    let deadline = clock::now() + HOME_TIMEOUT;
    if let Some(state) = home_state(node, id, deadline).await? {
        return Ok(state);
    }
    let record = node.claims.void_if_absent(id).await;
    let record =
        record.map_err(|_| Refusal::new(ErrorKind::StoreUnavailable, OUTAGE_RETRY_AFTER))?;
    Ok(match record.state {
        ClaimState::Void => State::NotRun,
        ClaimState::Done(_) => State::Ran,
        ClaimState::Claimed => {
            withdraw_void(node, id, &record, deadline).await?;
            claimed_state(node, id, &record).await
        }
    })
}

/// Returns the state of a run as the home of its key knows it. `None` if the home voided the key.
///
/// The runner is asked whether it runs the key, since the home may have missed the end of the run.
/// A run that waits at a dead runner, or at one that has refused it, is taken over and released, so
/// that the key can be voided.
async fn home_state(
    node: &Arc<Node>,
    id: &KeyId,
    deadline: Duration,
) -> Result<Option<State>, Refusal> {
    let homes = HomeClient::new(node);
    loop {
        let verdict = homes.void(id, deadline).await?;
        let VoidVerdict::Running { runner, progress } = &verdict else {
            return Ok(state_from_verdict(verdict));
        };
        if let Some(peer) = node.fleet.live_run(&runner.instance, runner.incarnation)
            && is_running(node, &peer, id, runner.incarnation).await
        {
            return Ok(Some(State::InProgress));
        }
        if *progress != Progress::Waiting {
            return Ok(Some(State::MayHaveRun));
        }
        let taken = homes.take_over(id, runner, deadline).await?;
        if taken == TakeOverVerdict::NotDispatched {
            homes.release_and_wait(id, deadline).await?;
        } else if clock::now() >= deadline {
            return Err(Refusal::new(ErrorKind::StoreUnavailable, OUTAGE_RETRY_AFTER));
        }
    }
}

/// Reports the claim holder of an idempotent key to the home, which has just voided the key. The
/// claim was made while membership views differed.
async fn withdraw_void(
    node: &Arc<Node>,
    id: &KeyId,
    record: &ClaimRecord,
    deadline: Duration,
) -> Result<(), Refusal> {
    let Some(upstream) = record.upstream.clone() else { return Ok(()) };
    let runner = Runner { instance: record.instance.clone(), incarnation: record.incarnation };
    let run = Announcement {
        id: id.clone(),
        fingerprint: record.fingerprint.as_str().into(),
        runner,
        progress: Progress::Dispatched { upstream },
    };
    HomeClient::new(node).withdraw_void(run, deadline).await
}

/// Returns the state of a key with a claim but no outcome: in progress only while the claim holder
/// runs it.
async fn claimed_state(node: &Arc<Node>, id: &KeyId, record: &ClaimRecord) -> State {
    let Some(claim_holder) = node.fleet.live_run(&record.instance, record.incarnation) else {
        return State::MayHaveRun;
    };
    if is_running(node, &claim_holder, id, record.incarnation).await {
        State::InProgress
    } else {
        State::MayHaveRun
    }
}

/// Asks a live instance whether it runs a key. An instance that doesn't answer is taken to run it.
///
/// A run that ended with an answer counts as running: its parts don't tell it from an ongoing one.
/// The question makes its runner report the outcome to the home, which answers the next query.
async fn is_running(node: &Arc<Node>, peer: &PeerAddress, id: &KeyId, incarnation: u64) -> bool {
    if node.is_run(&peer.instance, incarnation) {
        return node.runs.get(id).is_some_and(|run| !run.ended());
    }
    let follow =
        Message::Follow { workspace: id.workspace.clone(), key: id.key.clone(), incarnation };
    let Ok(mut exchange) = node.peers.open(peer, follow).await else { return true };
    // An ongoing run answers with its parts, or with nothing until its end.
    let first = timeout(RUNNER_TIMEOUT, exchange.rx.recv()).await;
    !matches!(first, Ok(Some(Message::NoRun | Message::Part(RunPart::Failed { .. }))))
}

/// Returns the state of a run that this instance knows.
fn local_state(node: &Node, id: &KeyId) -> Option<State> {
    let run = node.runs.get(id)?;
    if !run.ended() {
        return Some(State::InProgress);
    }
    match run.failure().map(|kind| kind.answer().run) {
        None | Some(RunState::Ran) => Some(State::Ran),
        Some(RunState::MayHaveRun) => Some(State::MayHaveRun),
        // A repeat may since have run at another instance; the home and the claim decide.
        Some(RunState::NotRun) => None,
    }
}

/// Converts the verdict of the home of a key. `None` if the home knows no run of it.
fn state_from_verdict(verdict: VoidVerdict) -> Option<State> {
    match verdict {
        VoidVerdict::Running { .. } => Some(State::InProgress),
        VoidVerdict::Finished { outcome: Outcome::Answered, .. } => Some(State::Ran),
        VoidVerdict::Finished { outcome: Outcome::MayHaveRun, .. } => Some(State::MayHaveRun),
        VoidVerdict::Finished { outcome: Outcome::NotRun, .. } => Some(State::NotRun),
        VoidVerdict::Voided | VoidVerdict::Moved | VoidVerdict::Unknown | VoidVerdict::Full => None,
    }
}

fn malformed() -> Refusal {
    Refusal::permanent(ErrorKind::Malformed)
}
