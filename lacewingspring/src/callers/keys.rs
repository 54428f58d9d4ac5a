//! What became of a request key.

use std::{sync::Arc, time::Duration};

use http::Method;
use lacewingspring_core::{
    claim::ClaimState,
    error::{ErrorKind, RunState},
    names::RequestKey,
};
use percent_encoding::percent_decode_str;
use serde::Serialize;

use super::{Call, REQUESTS_PATH, auth, reply::Reply};
use crate::{
    daemon::Node,
    entry::{Refusal, RunId},
};

/// When callers are told to ask again while the key-value service is out.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_secs(5);

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
    let id = RunId { workspace, key: RequestKey::from(&*key) };
    let state = state(node, &id).await?;
    Ok(Reply::json(200, &KeyState { key: id.key, state }))
}

async fn state(node: &Arc<Node>, id: &RunId) -> Result<State, Refusal> {
    if let Some(run) = node.runs.get(id) {
        return Ok(run.failure().map_or_else(
            || if run.ended() { State::Ran } else { State::InProgress },
            |kind| from_run(kind.answer().run),
        ));
    }
    let record = node.claims.settle(id).await;
    let record =
        record.map_err(|_| Refusal::new(ErrorKind::StoreUnavailable, OUTAGE_RETRY_AFTER))?;
    Ok(match record.state {
        ClaimState::Void => State::NotRun,
        ClaimState::Done(_) => State::Ran,
        ClaimState::Claimed => {
            let live = node.fleet.live(&record.instance, record.incarnation);
            if live.is_some() { State::InProgress } else { State::MayHaveRun }
        }
    })
}

fn malformed() -> Refusal {
    Refusal::last(ErrorKind::Malformed)
}

fn from_run(run: RunState) -> State {
    match run {
        RunState::NotRun => State::NotRun,
        RunState::Ran => State::Ran,
        RunState::MayHaveRun => State::MayHaveRun,
    }
}
