//! Finds the route and the workspace of a request.

use std::{sync::Arc, time::Duration};

use http::request::Parts;

use crate::{
    declared::{Declared, Route, Workspace},
    protocol::CallerHead,
    refusal::Failure,
};

/// Time for which a caller is taken to wait when it doesn't say.
const ASSUMED_PATIENCE: Duration = Duration::from_secs(15);

/// Units of a request where the limit counts requests.
const ONE_REQUEST: u64 = 1;

/// A request that may be served.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// Its route.
    pub route: Arc<Route>,
    /// Its workspace; none on routes that need no credential.
    pub workspace: Option<Arc<Workspace>>,
    /// Version of what is declared.
    pub version: u64,
    /// Time until its final answer is due.
    pub time: Duration,
    /// Units that it takes from its workspace's limit.
    pub charge: u64,
    /// Urgency; 0 is the most urgent.
    pub rank: u8,
    /// Largest body in bytes.
    pub body_bytes: usize,
}

/// Finds the route and the workspace of a request.
///
/// # Errors
///
/// Fails when there is no such route or the credential is unknown.
pub fn admit(declared: &Declared, head: &Parts, caller: &CallerHead) -> Result<Admitted, Failure> {
    let host = host(head).ok_or(Failure::Malformed)?;
    let route = declared.route(&host, head.uri.path()).ok_or(Failure::NotFound)?;
    let workspace = workspace(declared, route, caller)?;
    let patience = caller.timeout.unwrap_or(ASSUMED_PATIENCE);
    let rank = workspace.as_ref().and_then(|workspace| workspace.rank).unwrap_or(route.rank);
    Ok(Admitted {
        route: route.clone(),
        charge: workspace.as_ref().map_or(ONE_REQUEST, |workspace| charge(workspace, caller)),
        workspace,
        version: declared.version,
        time: patience.min(route.timeout),
        rank,
        body_bytes: declared.limits.body_bytes,
    })
}

/// Returns the host of a request in lower case, without a port.
fn host(head: &Parts) -> Option<String> {
    let header = head.headers.get(http::header::HOST).and_then(|value| value.to_str().ok());
    let host = header.or(head.uri.host())?;
    let name = host.split(':').next().unwrap_or(host);
    Some(name.to_ascii_lowercase())
}

fn workspace(
    declared: &Declared,
    route: &Route,
    caller: &CallerHead,
) -> Result<Option<Arc<Workspace>>, Failure> {
    let known = caller.credential.as_ref().and_then(|key| declared.workspace(key)).cloned();
    if known.is_none() && declared.needs_credential(route) {
        return Err(Failure::Unauthenticated);
    }
    Ok(known)
}

fn charge(workspace: &Workspace, caller: &CallerHead) -> u64 {
    if !workspace.counts_tokens {
        return ONE_REQUEST;
    }
    caller.charge_tokens.unwrap_or(workspace.default_tokens)
}
