//! What became of a request key.

use std::{sync::Arc, time::Duration};

use http::Method;
use lacewingspring_core::{
    claim::{ClaimRecord, ClaimState},
    error::{ErrorKind, RunState},
    key_index::{KeyId, Outcome, Progress, TakeOverVerdict, VoidVerdict},
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
    homes::Homes,
    peers::{Message, RunPart},
};

/// When callers are told to ask again while the key-value service is out.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Longest wait for the home of a key.
const HOME_TIMEOUT: Duration = Duration::from_secs(4);

/// Longest wait for a claimer to say that it no longer runs a key.
const CLAIMER_TIMEOUT: Duration = Duration::from_millis(500);

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

/// Answers what became of a key; an unknown key is settled as not run, for ever.
///
/// # Errors
///
/// Refuses when the key-value service can't settle it now.
pub async fn get(node: &Arc<Node>, call: &Call<'_>) -> Result<Reply, Refusal> {
    if call.head.method() != Method::GET {
        return Err(Refusal::last(ErrorKind::MethodNotAllowed));
    }
    let workspace = auth::workspace(&node.catalog(), call.head.headers())?;
    let key = call.head.uri().path().strip_prefix(REQUESTS_PATH).unwrap_or_default();
    let key = percent_decode_str(key).decode_utf8().map_err(|_| malformed())?;
    let id = KeyId { workspace, key: RequestKey::from(&*key) };
    let state = state(node, &id).await?;
    Ok(Reply::json(200, &KeyState { key: id.key, state }))
}

async fn state(node: &Arc<Node>, id: &KeyId) -> Result<State, Refusal> {
    if let Some(state) = known_here(node, id) {
        return Ok(state);
    }
    let deadline = clock::now() + HOME_TIMEOUT;
    if let Some(state) = home_state(node, id, deadline).await? {
        return Ok(state);
    }
    let record = node.claims.settle(id).await;
    let record =
        record.map_err(|_| Refusal::new(ErrorKind::StoreUnavailable, OUTAGE_RETRY_AFTER))?;
    Ok(match record.state {
        ClaimState::Void => State::NotRun,
        ClaimState::Done(_) => State::Ran,
        ClaimState::Claimed => claimed_state(node, id, &record).await,
    })
}

/// State of a run as the home of its key knows it; none when the home settled that there is none.
///
/// A run that waits at a dead runner is taken over and dropped, so that it can be settled.
async fn home_state(
    node: &Arc<Node>,
    id: &KeyId,
    deadline: Duration,
) -> Result<Option<State>, Refusal> {
    let homes = Homes::new(node);
    loop {
        let verdict = homes.void(id, deadline).await?;
        let VoidVerdict::Running { runner, progress } = &verdict else {
            return Ok(from_home(verdict));
        };
        if node.fleet.live(&runner.instance, runner.incarnation).is_some() {
            return Ok(Some(State::InProgress));
        }
        if *progress != Progress::Waiting {
            return Ok(Some(State::MayHaveRun));
        }
        let taken = homes.take_over(id, runner, deadline).await?;
        if taken == TakeOverVerdict::NotDispatched {
            homes.release_now(id, deadline).await?;
        } else if clock::now() >= deadline {
            return Err(Refusal::new(ErrorKind::StoreUnavailable, OUTAGE_RETRY_AFTER));
        }
    }
}

/// State of a key that is claimed without an outcome: in progress only while the claimer runs it.
async fn claimed_state(node: &Arc<Node>, id: &KeyId, record: &ClaimRecord) -> State {
    if node.is_own(&record.instance, record.incarnation) {
        return State::MayHaveRun;
    }
    let Some(claimer) = node.fleet.live(&record.instance, record.incarnation) else {
        return State::MayHaveRun;
    };
    let follow = Message::Follow {
        workspace: id.workspace.clone(),
        key: id.key.clone(),
        incarnation: record.incarnation,
    };
    let Ok(mut exchange) = node.peers.open(&claimer, follow).await else {
        return State::InProgress;
    };
    match timeout(CLAIMER_TIMEOUT, exchange.rx.recv()).await {
        Ok(Some(Message::NoRun | Message::Part(RunPart::Failed { .. }))) => State::MayHaveRun,
        // A run that goes on answers with its parts, or with nothing until its end.
        Ok(_) | Err(_) => State::InProgress,
    }
}

/// State of a run that this instance knows.
fn known_here(node: &Node, id: &KeyId) -> Option<State> {
    let run = node.runs.get(id)?;
    if !run.ended() {
        return Some(State::InProgress);
    }
    match run.failure().map(|kind| kind.answer().run) {
        None | Some(RunState::Ran) => Some(State::Ran),
        Some(RunState::MayHaveRun) => Some(State::MayHaveRun),
        // A repeat may have run elsewhere since; the home and the claim decide.
        Some(RunState::NotRun) => None,
    }
}

/// State of an idempotent run; none when the home settled that there is none.
fn from_home(verdict: VoidVerdict) -> Option<State> {
    match verdict {
        VoidVerdict::Running { .. } => Some(State::InProgress),
        VoidVerdict::Finished { outcome: Outcome::Answered, .. } => Some(State::Ran),
        VoidVerdict::Finished { outcome: Outcome::MayHaveRun, .. } => Some(State::MayHaveRun),
        VoidVerdict::Finished { outcome: Outcome::NotRun, .. } => Some(State::NotRun),
        VoidVerdict::Voided | VoidVerdict::Moved | VoidVerdict::Unknown | VoidVerdict::Full => None,
    }
}

fn malformed() -> Refusal {
    Refusal::last(ErrorKind::Malformed)
}
