//! Admission of a request: finds its route and workspace and derives its limits.

use std::{sync::Arc, time::Duration};

use http::request::Parts;
use log::info;
use serde::{Deserialize, Serialize};

use crate::{
    declared::{Declared, Route, Service, Workspace},
    mark::Mark,
    protocol::CallerHead,
    refusal::Failure,
};

/// Timeout of a request whose caller states none.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(15);

/// Units that one request takes from a limit that counts requests.
const REQUEST_CHARGE: u64 = 1;

/// What admission determined about a request, also for another instance that it is passed on to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Admitted {
    /// Route of the request.
    pub route: Arc<Route>,
    /// Service that the request is sent to.
    pub service: Service,
    /// Workspace of the caller; `None` if the route needs no credential and none is known.
    pub workspace: Option<Arc<Workspace>>,
    /// Version of the declared configuration that the request was admitted under.
    pub version: u64,
    /// Time from arrival within which the complete response is due: the timeout of the caller or of
    /// the route, whichever is shorter.
    pub timeout: Duration,
    /// Units, in requests or tokens, that the request takes from its workspace's limit.
    pub charge: u64,
    /// Priority; 0 is the most urgent. A workspace's own rank takes precedence over the route's.
    pub rank: u8,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
}

/// Admits a request by its host, path and credential.
///
/// # Errors
///
/// Fails if the request has no host, no route matches, or the route needs a credential and the
/// request has no known one.
pub(crate) fn admit(
    declared: &Declared,
    head: &Parts,
    caller: &CallerHead,
) -> Result<Admitted, Failure> {
    let host = host(head).ok_or(Failure::Malformed)?;
    let route = declared.route(&host, head.uri.path()).ok_or(Failure::NotFound)?;
    let service = declared.service(route.choose().ok_or(Failure::NotFound)?);
    let workspace = workspace(declared, route, caller)?;
    let rank = workspace.as_ref().and_then(|workspace| workspace.rank).unwrap_or(route.rank);
    Ok(Admitted {
        route: route.clone(),
        service,
        charge: workspace.as_ref().map_or(REQUEST_CHARGE, |workspace| charge(workspace, caller)),
        workspace,
        version: declared.version,
        timeout: caller_timeout(caller).min(route.timeout),
        rank,
        max_body_bytes: declared.limits.body_bytes,
    })
}

/// Admits a request that another instance has passed on, by the newer configuration of the two: it
/// stands as it was admitted there unless this instance has the same version or a later one.
///
/// # Errors
///
/// Fails as [`admit`] does, and if this instance knows neither a configuration that is as new nor
/// the instance that passed the request on.
pub(crate) fn admit_passed_on(
    declared: Option<&Declared>,
    head: &Parts,
    caller: &CallerHead,
    mark: &Mark,
) -> Result<Admitted, Failure> {
    let is_older = |theirs: &&Admitted| declared.is_none_or(|own| own.version < theirs.version);
    let Some(theirs) = mark.admitted.as_ref().filter(is_older) else {
        return admit(declared.ok_or(Failure::NotConfigured)?, head, caller);
    };
    if !mark.is_from_fleet() {
        return Err(Failure::Outdated);
    }
    info!(
        id = &*caller.id, version = theirs.version,
        own_version = declared.map_or(0, |own| own.version);
        "The request stands as the instance that passed it on has admitted it."
    );
    Ok(Admitted { timeout: caller_timeout(caller).min(theirs.timeout), ..theirs.clone() })
}

/// Returns how long the caller waits for the complete response.
fn caller_timeout(caller: &CallerHead) -> Duration {
    caller.timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT)
}

/// Returns the host of a request in lower case and without the port.
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
    let workspace = caller.credential.as_ref().and_then(|key| declared.workspace(key)).cloned();
    if workspace.is_none() && declared.needs_credential(route) {
        return Err(Failure::Unauthenticated);
    }
    Ok(workspace)
}

fn charge(workspace: &Workspace, caller: &CallerHead) -> u64 {
    if !workspace.counts_tokens {
        return REQUEST_CHARGE;
    }
    caller.charge_tokens.unwrap_or(workspace.default_tokens)
}
