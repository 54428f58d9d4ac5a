//! Runs a plain call on its upstream.

use lacewingspring_core::{
    error::ErrorKind,
    gate::Outcome,
    request::{Claimed, Request},
};

use super::{Body, Refusal, drive::Drive, permit::Permit};
use crate::upstreams::{DispatchError, ResponseChecks, plain::PlainCall};

/// Runs the call; returns the request when no byte went out.
///
/// # Errors
///
/// Fails with `AnswerLost` when the call may have run and its answer did not arrive whole.
pub async fn run(
    drive: &Drive,
    request: Request<Claimed>,
    mut permit: Permit,
) -> Result<Option<Request<Claimed>>, Refusal> {
    let Some(call) = call(drive, &permit) else {
        permit.release(Outcome::Cancelled);
        return Err(Refusal::last(ErrorKind::NoUpstream));
    };
    let upstream = permit.upstream.clone();
    drive.dispatched();
    permit.dispatched();
    let proof = request.permitted(upstream.clone()).dispatch();
    let answer = call.dispatch(proof).await;
    match answer {
        Ok(answer) => {
            permit.release(Outcome::Finished(1));
            drive.run.push_answer(answer);
            Ok(None)
        }
        Err(DispatchError::NotSent(proof)) => {
            permit.unreachable();
            drive.unsent(&upstream);
            Ok(Some(proof.unsent()))
        }
        Err(DispatchError::Failed(e)) => {
            permit.release(Outcome::Failed);
            log::warn!(key:% = drive.run.id.key, reason:% = e; "Lost the answer of a call.");
            Err(Refusal::last(ErrorKind::AnswerLost))
        }
    }
}

fn call(drive: &Drive, permit: &Permit) -> Option<PlainCall> {
    let address = drive.work.address(&permit.upstream)?;
    let id = drive.work.upstream_id();
    let key = drive.work.id.key.to_string();
    let Body::Plain { method, path, content_type, bytes } = drive.work.body.clone() else {
        return None;
    };
    let checks = ResponseChecks::new(&drive.node.settings.test);
    Some(PlainCall { address, id, key, method, path, content_type, body: bytes, checks })
}
