//! Operator API, independent of the web framework.
//!
//! Paths are relative to `/operator/v1/`. Every reply is JSON; errors are problem details
//! (RFC 9457).

use std::sync::Arc;

use bytes::Bytes;
use http::Method;
use lacewingspring_core::{error::ErrorKind, resources::OperatorRole};

use self::{auth::Identity, query::Query};
pub use self::{
    auth::KnownOperator,
    fleet::{
        CallsView, Condition, ConditionStatus, Event, FleetView, InstanceState, InstanceView,
        RoleView,
    },
    problem::Failure,
    reply::OperatorReply,
};
use crate::declared::DeclaredStore;

mod auth;
mod explain;
mod fleet;
mod problem;
mod query;
mod reply;
mod resources;
mod status;
mod transactions;

/// One call to the operator API.
#[derive(Clone, Copy, Debug)]
pub struct OperatorCall<'a> {
    /// HTTP method.
    pub method: &'a Method,
    /// Path below `/operator/v1/`, without a leading slash.
    pub path: &'a str,
    /// Query string.
    pub query: Option<&'a str>,
    /// Bearer token.
    pub token: Option<&'a str>,
    /// Complete body.
    pub body: &'a Bytes,
}

/// The operator API of one instance.
#[derive(Debug)]
pub struct Operators<F> {
    declared: Arc<DeclaredStore>,
    fleet: F,
    bootstrap: Arc<[KnownOperator]>,
}

impl<F> Operators<F>
where
    F: FleetView,
{
    /// Creates the API. Accepts the operators in `bootstrap` in addition to the declared ones.
    pub fn new(declared: Arc<DeclaredStore>, fleet: F, bootstrap: Arc<[KnownOperator]>) -> Self {
        Self { declared, fleet, bootstrap }
    }

    /// Handles one call.
    pub async fn handle(&self, call: OperatorCall<'_>) -> OperatorReply {
        self.route(call).await.unwrap_or_else(|failure| OperatorReply::problem(&failure))
    }

    async fn route(&self, call: OperatorCall<'_>) -> Result<OperatorReply, Failure> {
        let snapshot = self.declared.snapshot();
        let identity = auth::identify(&self.bootstrap, &snapshot.declared, call.token)?;
        let query = Query::new(call.query);
        let parts: Vec<&str> = call.path.split('/').collect();
        match (call.method, parts.as_slice()) {
            (&Method::GET, ["resources"]) => self.list(query),
            (&Method::GET, ["resources", kind, name]) => self.describe(kind, name),
            (&Method::POST, ["transactions"]) => self.transact(&identity, call.body).await,
            (&Method::GET, ["status"]) => Ok(self.status()),
            (&Method::GET, ["wait"]) => self.wait(query).await,
            (&Method::GET, ["metrics"]) => self.metrics(),
            (&Method::GET, ["gates"]) => Ok(self.gates()),
            (&Method::GET, ["explain"]) => self.explain(query),
            (_, ["resources", _, _])
            | (
                _,
                [
                    "resources" | "transactions" | "status" | "wait" | "metrics" | "explain"
                    | "gates",
                ],
            ) => Err(Failure::new(ErrorKind::MethodNotAllowed)),
            _ => Err(Failure::new(ErrorKind::NotFound)),
        }
    }

    /// Fails until a state has been loaded, so that a declared resource isn't reported as missing.
    fn require_loaded(&self) -> Result<(), Failure> {
        if self.declared.loaded() {
            return Ok(());
        }
        let detail = "This instance has not learned the declared state yet.";
        Err(Failure::new(ErrorKind::StoreUnavailable).with_detail(detail))
    }
}

/// Fails if the operator may only read.
fn require_change(identity: &Identity) -> Result<(), Failure> {
    match identity.role {
        OperatorRole::Change => Ok(()),
        OperatorRole::Read => Err(Failure::new(ErrorKind::Forbidden)),
    }
}
