//! Passes calls of operators to the operator interface.

use super::{Call, OPERATOR_PATH, auth, reply::Reply};
use crate::{daemon::Node, operators::OperatorCall};

/// Handles a call of an operator.
pub async fn call(node: &Node, call: &Call<'_>) -> Reply {
    let uri = call.head.uri();
    let reply = node.operators.handle(OperatorCall {
        method: call.head.method(),
        path: uri.path().strip_prefix(OPERATOR_PATH).unwrap_or_default(),
        query: uri.query(),
        token: auth::token(call.head.headers()),
        body: &call.body,
    });
    let reply = reply.await;
    let answer = Reply::whole(reply.status, reply.content_type, reply.body);
    match reply.retry_after {
        Some(after) => answer.with_retry_after(after),
        None => answer,
    }
}
