//! Starts the HTTP servers of an instance.

use std::{
    io,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::Full;
use hyper::body::Incoming;
use log::error;
use tokio::sync::watch;

use super::{Components, SharedState};
use crate::{
    answer::ResponseBody,
    clock,
    connections::Connections,
    declared::CallerLimits,
    directory::Directory,
    forward::Forwarder,
    gate::link::GateClient,
    mark::MAX_HEADER_BYTES,
    members::Member,
    pass_on::OtherInstances,
    protocol::Protocol,
    readiness::ReadinessCheck,
    server::{ConnectionLimits, Server},
    settings::Settings,
};

/// Content type of the metrics.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Serves the address queries of callers and the readiness probes, each at its address.
pub(super) fn serve_directory<S, P, T>(
    settings: &Settings,
    components: &Components<S, P, T>,
    state: &Arc<SharedState>,
    member: &watch::Receiver<Member>,
    readiness: ReadinessCheck,
    closing: &watch::Receiver<bool>,
) where
    P: Protocol,
{
    let descriptors = state.descriptors;
    let directory = Arc::new(Directory {
        protocol: components.protocol.clone(),
        members: state.members.clone(),
        member: member.clone(),
        readiness,
        max_ttl: Duration::try_from_secs_f64(settings.bounds.directory_ttl_s)
            .unwrap_or(Duration::MAX),
    });
    let addresses = [
        ("directory", settings.listen.directory, descriptors.directory),
        ("readiness", settings.listen.readiness, descriptors.readiness),
    ];
    for (name, address, max) in addresses {
        let server =
            Server { address, closing: closing.clone(), open: state.connections(name, max, None) };
        let directory = directory.clone();
        let handler = move |req: Request<Incoming>| {
            let response = directory.answer(&req);
            async move { response }
        };
        let limits = CallerLimits::default();
        let limits =
            ConnectionLimits { head_bytes: limits.head_bytes, idle_timeout: limits.idle_timeout };
        tokio::spawn(log_bind_error("directory", server.run(move || limits, handler)));
    }
}

pub(super) fn serve_callers<S, P, T>(
    settings: &Settings,
    components: &Components<S, P, T>,
    state: &Arc<SharedState>,
    member: &watch::Receiver<Member>,
    gate: Arc<GateClient>,
    closing: &watch::Receiver<bool>,
    open: &Arc<Connections>,
) where
    P: Protocol,
{
    let forwarder = Arc::new(Forwarder {
        protocol: components.protocol.clone(),
        data_centre: settings.data_centre.clone(),
        declared: state.declared.clone(),
        unavailable: state.unavailable.clone(),
        upstreams: components.upstreams.clone(),
        path: state.path.clone(),
        others: OtherInstances {
            instance: settings.instance.clone(),
            incarnation: member.borrow().incarnation,
            data_centre: settings.data_centre.clone(),
            members: state.members.clone(),
            avoided: Mutex::default(),
        },
        gate,
        budget: state.budget.clone(),
        metrics: state.metrics.clone(),
    });
    let server =
        Server { address: settings.listen.callers, closing: closing.clone(), open: open.clone() };
    let state = state.clone();
    let limits = move || {
        let limits = state.caller_limits();
        // Other instances add headers to the requests of callers.
        let head_bytes = limits.head_bytes + MAX_HEADER_BYTES;
        ConnectionLimits { head_bytes, idle_timeout: limits.idle_timeout }
    };
    let handler = move |req: Request<Incoming>| {
        let forwarder = forwarder.clone();
        async move {
            let response: Response<ResponseBody> = forwarder.serve(clock::now(), req).await;
            response
        }
    };
    tokio::spawn(log_bind_error("callers", server.run(limits, handler)));
}

pub(super) fn serve_metrics(
    settings: &Settings,
    state: &Arc<SharedState>,
    closing: &watch::Receiver<bool>,
) {
    let server = Server {
        address: settings.listen.metrics,
        closing: closing.clone(),
        open: state.connections("metrics", state.descriptors.metrics, None),
    };
    let state = state.clone();
    let handler = move |_: Request<Incoming>| {
        let counts = state.host.counts();
        state.metrics.set_load_reports(&state.host.load_reports());
        state.metrics.set_granted_time(&state.host.granted_time());
        let text = state.metrics.text(clock::now(), &counts);
        let mut response = Response::new(Full::<Bytes>::default());
        match text {
            Ok(text) => *response.body_mut() = Full::new(Bytes::from(text)),
            Err(e) => {
                error!(error:% = e; "Encoding the metrics failed.");
                *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            }
        }
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(METRICS_CONTENT_TYPE));
        async move { response }
    };
    tokio::spawn(log_bind_error("metrics", server.run(fixed_limits, handler)));
}

/// Connection limits of servers that get only small requests, independent of the configuration.
fn fixed_limits() -> ConnectionLimits {
    let limits = CallerLimits::default();
    ConnectionLimits { head_bytes: limits.head_bytes, idle_timeout: limits.idle_timeout }
}

/// Runs a server and logs the error if it can't listen.
pub(super) async fn log_bind_error<F>(name: &'static str, server: F)
where
    F: Future<Output = io::Result<()>>,
{
    if let Err(e) = server.await {
        error!(
            server = name, error:% = e;
            "A server can't listen on its address; the instance runs without it."
        );
    }
}
