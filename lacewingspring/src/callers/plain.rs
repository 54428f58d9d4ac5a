//! Calls to plain services, forwarded unchanged.

use std::sync::Arc;

use http::{Method, header};
use lacewingspring_core::{
    error::ErrorKind, key_index::KeyId, names::ServiceName, resources::ServiceProtocol,
};

use super::{Call, SERVICES_PATH, auth, completions::check_service, reply::Reply};
use crate::{
    daemon::Node,
    entry::{self, Body, Follower, Refusal, Work},
    peers::RunPart,
};

/// Submits a call to a plain service and replies with the answer of its upstream.
///
/// # Errors
///
/// Returns the refusal of a call that is not accepted, or that fails.
pub async fn call(node: &Arc<Node>, call: &Call<'_>) -> Result<Reply, Refusal> {
    let catalog = node.catalog();
    let headers = call.head.headers();
    let workspace = auth::workspace(&catalog, headers)?;
    let target = call.head.uri().path_and_query().map_or("", |path| path.as_str());
    let target = target.strip_prefix(SERVICES_PATH).unwrap_or_default();
    let (service, path) = target.split_once('/').unwrap_or((target, ""));
    let service = ServiceName::from(service);
    let key = auth::key(headers)?;
    let is_get = call.head.method() == Method::GET;
    check_service(&catalog, &service, ServiceProtocol::Plain, key.is_some() || is_get)?;
    let minted = key.is_none();
    let id = KeyId { workspace, key: key.unwrap_or_else(auth::mint_key) };
    let content_type = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let body = Body::Plain {
        method: call.head.method().clone(),
        path: format!("/{path}"),
        content_type: content_type.unwrap_or("application/json").to_owned(),
        bytes: call.body.clone(),
    };
    let work = entry::build_work(&catalog, id.clone(), service, body, auth::timeout(headers)?)?;
    let is_retry = auth::is_retry(headers)?;
    let follower = entry::submit(node, Work { minted, is_retry, ..work })?;
    Ok(whole(follower).await?.with_key(&id))
}

async fn whole(mut follower: Follower) -> Result<Reply, Refusal> {
    let mut head = None;
    let mut body = String::new();
    while let Some(part) = follower.next().await {
        match part {
            RunPart::Head { status, content_type } => head = Some((status, content_type)),
            RunPart::Text(text) => body.push_str(&text),
            RunPart::Failed { kind, retry_after_ms } => {
                return Err(Refusal::from_ms(kind, retry_after_ms));
            }
            RunPart::End { .. } => {}
        }
    }
    let (status, content_type) = head.ok_or(Refusal::permanent(ErrorKind::Internal))?;
    Ok(Reply::whole(status, &content_type, body.into()))
}
