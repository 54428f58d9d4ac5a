//! Interface for operators, independent of the web framework.
//!
//! Paths are relative to `/operator/v1/`. Every answer is JSON; errors are problem details
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

/// One call of an operator.
#[derive(Clone, Copy, Debug)]
pub struct OperatorCall<'a> {
    /// Method of the request.
    pub method: &'a Method,
    /// Path below `/operator/v1/`, without a leading slash.
    pub path: &'a str,
    /// Query of the request.
    pub query: Option<&'a str>,
    /// Bearer token of the request.
    pub token: Option<&'a str>,
    /// Whole body of the request.
    pub body: &'a Bytes,
}

/// Interface for operators.
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
    /// Returns the interface; operators in `bootstrap` are known besides those declared.
    pub fn new(declared: Arc<DeclaredStore>, fleet: F, bootstrap: Arc<[KnownOperator]>) -> Self {
        Self { declared, fleet, bootstrap }
    }

    /// Answers one call.
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
            ) => Err(Failure::of(ErrorKind::MethodNotAllowed)),
            _ => Err(Failure::of(ErrorKind::NotFound)),
        }
    }

    /// Refuses until a state is known, so that nothing is told to be absent that is declared.
    fn require_loaded(&self) -> Result<(), Failure> {
        if self.declared.loaded() {
            return Ok(());
        }
        let detail = "This instance has not learned the declared state yet.";
        Err(Failure::of(ErrorKind::StoreUnavailable).with_detail(detail))
    }
}

/// Refuses an operator who may only read.
fn require_change(identity: &Identity) -> Result<(), Failure> {
    match identity.role {
        OperatorRole::Change => Ok(()),
        OperatorRole::Read => Err(Failure::of(ErrorKind::Forbidden)),
    }
}
