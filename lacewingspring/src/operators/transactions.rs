//! Transactions that change declared resources.

use bytes::Bytes;
use lacewingspring_core::{
    config::{Change, ResourceDiff, Transaction},
    error::ErrorKind,
};
use serde::{Deserialize, Serialize};

use super::{
    Operators, auth::Identity, fleet::FleetView, problem::Failure, reply::OperatorReply,
    require_change,
};
use crate::{
    clock,
    declared::{Author, Commit},
};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TransactionRequest {
    changes: Vec<Change>,
    #[serde(default)]
    expect_generation: Option<u64>,
    #[serde(default)]
    dry_run: bool,
}

#[derive(Serialize)]
struct TransactionResult {
    generation: u64,
    diff: Vec<ResourceDiff>,
}

impl<F> Operators<F>
where
    F: FleetView,
{
    /// Commits a transaction, or validates it and returns its changes if it is a dry run.
    pub(super) async fn transact(
        &self,
        identity: &Identity,
        body: &Bytes,
    ) -> Result<OperatorReply, Failure> {
        let req: TransactionRequest = serde_json::from_slice(body)
            .map_err(|err| Failure::new(ErrorKind::Malformed).with_detail(err.to_string()))?;
        let TransactionRequest { changes, expect_generation, dry_run } = req;
        let transaction = Transaction { changes, expect_generation };
        let Commit { generation, diff } = if dry_run {
            self.declared.dry_run(&transaction).await?
        } else {
            require_change(identity)?;
            let at_ms = clock::wall().as_millis() as u64;
            let author = Author { operator: &identity.name, at_ms };
            self.declared.commit(&transaction, author).await?
        };
        Ok(OperatorReply::json(&TransactionResult { generation, diff }))
    }
}
