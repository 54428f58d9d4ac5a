//! Runs a plain call on its upstream.

use lacewingspring_core::{
    error::ErrorKind,
    gate::Outcome,
    request::{Claimed, Request},
};

use super::{Body, Refusal, drive::RunDriver, permit::Permit};
use crate::upstreams::{DispatchError, ResponseChecks, plain::PlainCall};

/// Dispatches the call and takes its answer. Returns the request if no byte of it was sent.
///
/// # Errors
///
/// Returns `AnswerLost` if the call may have run and its whole answer did not arrive.
pub async fn run(
    driver: &RunDriver,
    request: Request<Claimed>,
    mut permit: Permit,
) -> Result<Option<Request<Claimed>>, Refusal> {
    let Some(call) = plain_call(driver, &permit) else {
        permit.release(Outcome::Cancelled);
        return Err(Refusal::permanent(ErrorKind::NoUpstream));
    };
    let upstream = permit.upstream.clone();
    driver.mark_dispatched();
    permit.report_dispatch();
    let proof = request.permitted(upstream.clone()).dispatch();
    let answer = call.dispatch(proof).await;
    match answer {
        Ok(answer) => {
            permit.release(Outcome::Finished(1));
            driver.run.push_answer(answer);
            Ok(None)
        }
        Err(DispatchError::NotSent(proof)) => {
            permit.report_unreachable();
            driver.mark_unsent(&upstream);
            Ok(Some(proof.unsent()))
        }
        Err(DispatchError::Failed(e)) => {
            permit.release(Outcome::Failed);
            log::warn!(
                key:% = driver.run.id.key, reason:% = e;
                "Call fails after dispatch; its answer is lost."
            );
            Err(Refusal::permanent(ErrorKind::AnswerLost))
        }
    }
}

fn plain_call(driver: &RunDriver, permit: &Permit) -> Option<PlainCall> {
    let address = driver.work.address(&permit.upstream)?;
    let id = driver.work.upstream_id();
    let key = driver.work.id.key.to_string();
    let Body::Plain { method, path, content_type, bytes } = driver.work.body.clone() else {
        return None;
    };
    let checks = ResponseChecks::new(&driver.node.settings.test);
    Some(PlainCall { address, id, key, method, path, content_type, body: bytes, checks })
}
