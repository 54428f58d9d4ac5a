//! Metrics, gates and the recorded steps of a request.

use lacewingspring_core::{
    error::ErrorKind,
    key_index::KeyId,
    names::{RequestKey, WorkspaceName},
};
use serde::Serialize;

use super::{Operators, fleet::FleetView, problem::Failure, query::Query, reply::OperatorReply};
use crate::entry::StepReport;

#[derive(Serialize)]
struct Explanation {
    workspace: WorkspaceName,
    key: RequestKey,
    steps: Vec<StepReport>,
}

impl<F> Operators<F>
where
    F: FleetView,
{
    /// Replies with the metrics of this instance.
    pub(super) fn metrics(&self) -> Result<OperatorReply, Failure> {
        let report = self.fleet.metrics().ok_or_else(|| Failure::new(ErrorKind::NotFound))?;
        Ok(OperatorReply::json(&report))
    }

    /// Replies with the gates that this instance holds.
    pub(super) fn gates(&self) -> OperatorReply {
        OperatorReply::json(&self.fleet.gates())
    }

    /// Replies with the recorded steps of a request.
    pub(super) fn explain(&self, query: Query<'_>) -> Result<OperatorReply, Failure> {
        let workspace = query.required("workspace")?;
        let key = query.required("key")?;
        let id = KeyId { workspace: workspace.into(), key: key.into() };
        let detail = "This instance has not seen the request, or forgot it.";
        let unknown = || Failure::new(ErrorKind::NotFound).with_detail(detail);
        let steps = self.fleet.explain(&id).ok_or_else(unknown)?;
        Ok(OperatorReply::json(&Explanation { workspace: id.workspace, key: id.key, steps }))
    }
}
