//! Forwards one request: admission, slot, and attempts at upstreams.

use std::{sync::Arc, time::Duration};

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use http::{Request, Response, Version, request::Parts};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use lacewingspring_core::{
    dispatch::{End, Reason, Refusal},
    names::DataCentreName,
};
use log::{info, warn};
use tokio::time::timeout_at;

use crate::{
    admission::{Admitted, admit, admit_passed_on},
    answer::{BodyError, ResponseBody},
    attempt::Attempt,
    clock,
    declared::Declared,
    exchange::{self, Connect, ExchangeError, UpstreamResponse},
    gate::{link::GateClient, slot::Slot},
    job::{Attempts, Job, fingerprint},
    mark::{Mark, mark_refusal},
    memory_budget::{
        Kind, SharedBudget,
        body::{Collector, HeldMessage, read_request},
        flow::FlowShare,
    },
    metrics::SharedMetrics,
    pass_on::{OtherInstances, PassedOn},
    protocol::{CallerHead, Protocol, SendHead},
    refusal::{ErrorResponse, Failure},
    relay::{Outcome, Relay},
    track::RequestTrace,
    unavailable::UnavailableUpstreams,
    upstream_path::UpstreamPath,
};

/// Largest response body, in bytes, for a caller of HTTP/1.0.
const MAX_HTTP_1_0_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Maximum number of attempts at unreachable, leaving or misdirected upstreams that do not count
/// towards the route's limit of attempts.
const MAX_UNREACHABLE_ATTEMPTS: u32 = 3;

/// Refusal of the gate if each upstream was tried or takes no requests.
const NO_UPSTREAM_LEFT: Failure = Failure::Refused(Reason::NoUpstream);

/// Forwards the requests of callers to upstreams.
pub struct Forwarder<P> {
    /// Headers that callers and upstreams use.
    pub protocol: Arc<P>,
    /// Data centre of this instance.
    pub data_centre: DataCentreName,
    /// Declared configuration; `None` until it has been read for the first time.
    pub declared: Arc<ArcSwapOption<Declared>>,
    /// Upstreams that get no new requests from this instance.
    pub unavailable: Arc<UnavailableUpstreams>,
    /// Opens connections to upstreams.
    pub upstreams: Arc<dyn Connect>,
    /// Whether this instance reaches upstreams.
    pub path: Arc<UpstreamPath>,
    /// Instances that take requests while it reaches none.
    pub others: OtherInstances,
    /// Client of the gate, which grants slots.
    pub gate: Arc<GateClient>,
    /// Budget of the memory that callers can make this instance hold.
    pub budget: SharedBudget,
    /// Metrics of this instance.
    pub metrics: SharedMetrics,
}

/// An admitted request whose body has not been read.
struct Received<'a> {
    head: &'a Parts,
    body: Incoming,
    caller: CallerHead,
    admitted: Admitted,
    is_passed_on: bool,
}

impl<P> Forwarder<P>
where
    P: Protocol,
{
    /// Serves a request; `began` is the time at which its head was read.
    pub async fn serve(&self, began: Duration, req: Request<Incoming>) -> Response<ResponseBody> {
        let version = req.version();
        let response = self.respond(began, req).await;
        if version >= Version::HTTP_11 {
            return response;
        }
        buffer_for_http_1_0(&self.budget, response).await
    }

    async fn respond(&self, began: Duration, req: Request<Incoming>) -> Response<ResponseBody> {
        let (mut head, body) = req.into_parts();
        let mark = self.others.take_mark(&mut head.headers);
        if let Some(last_attempt) = mark.as_ref().and_then(|mark| mark.last_attempt) {
            self.gate.number_attempts_after(last_attempt);
        }
        let is_passed_on = mark.is_some();
        let caller = self.protocol.caller_head(&head.headers);
        let admitted = match self.admit(&head, &caller, mark.as_ref()) {
            Ok(admitted) => admitted,
            Err(failure) => {
                self.log_unadmitted(began, &caller, failure);
                return refusal(failure.into(), is_passed_on);
            }
        };
        let trace = Arc::new(RequestTrace::new(began, &caller, &admitted, self.metrics.clone()));
        let received = Received { head: &head, body, caller, admitted, is_passed_on };
        let result = self.forward(began, received, trace.clone()).await;
        result.unwrap_or_else(|error| {
            trace.refused(clock::now(), &error);
            refusal(error, is_passed_on)
        })
    }

    fn admit(
        &self,
        head: &Parts,
        caller: &CallerHead,
        mark: Option<&Mark>,
    ) -> Result<Admitted, Failure> {
        let declared = self.declared.load_full();
        match mark {
            Some(mark) => admit_passed_on(declared.as_deref(), head, caller, mark),
            None => admit(declared.as_deref().ok_or(Failure::NotConfigured)?, head, caller),
        }
    }

    /// Logs and counts a request that is malformed, has no route or credential, or arrives before
    /// the configuration has been read.
    fn log_unadmitted(&self, began: Duration, caller: &CallerHead, failure: Failure) {
        let spec = failure.spec();
        self.metrics.refused(spec.name);
        let took_ms = clock::now().saturating_sub(began).as_millis() as u64;
        let version = self.declared.load().as_ref().map_or(0, |declared| declared.version);
        info!(
            id = &*caller.id, reason = spec.name, status = spec.status.as_u16(), version,
            not_run = spec.is_not_run, took_ms;
            "The request is not admitted."
        );
    }

    /// Reads the body and sends the request.
    async fn forward(
        &self,
        began: Duration,
        received: Received<'_>,
        trace: Arc<RequestTrace>,
    ) -> Result<Response<ResponseBody>, ErrorResponse> {
        let Received { head, body, caller, admitted, is_passed_on } = received;
        let deadline = began + admitted.timeout;
        let body = read_request(&self.budget, body, admitted.max_body_bytes);
        let body = timeout_at(clock::instant(deadline), body).await;
        let body = body.map_err(|_| Failure::TimeoutBeforeSend)??;
        let fingerprint = fingerprint(head, &admitted, &body);
        let job =
            Job { head, body, caller, admitted, trace, fingerprint, began, deadline, is_passed_on };
        self.send_with_retries(job).await
    }

    /// Sends a request that has not run through another instance, unless one has done so already.
    async fn pass_on(&self, job: &Job<'_>) -> Result<Response<ResponseBody>, ErrorResponse> {
        if job.is_passed_on {
            return Err(declined_error(Failure::Unreachable));
        }
        let request = PassedOn {
            head: job.head,
            body: job.body.clone(),
            share: FlowShare::acquire(&self.budget).await.ok_or(Failure::NoMemory)?,
            admitted: &job.admitted,
            deadline: job.deadline,
            last_attempt: self.gate.last_attempt(),
            trace: &job.trace,
        };
        self.others.pass_on(&*self.protocol, request).await
    }

    /// Sends a request to one upstream after another, until one of them answers it or no further
    /// attempt is allowed.
    async fn send_with_retries(
        &self,
        job: Job<'_>,
    ) -> Result<Response<ResponseBody>, ErrorResponse> {
        let mut attempts = Attempts::default();
        let max_attempts = job.admitted.route.max_attempts;
        let is_repeatable = job.admitted.route.kind.is_repeatable();
        loop {
            if self.path.is_lost(&job.admitted.service.name) && !attempts.may_have_run {
                return self.pass_on(&job).await;
            }
            let slot = match self.acquire_slot(&job, &attempts).await {
                Ok(slot) => slot,
                Err(error) if attempts.reached_none() && error.failure == NO_UPSTREAM_LEFT => {
                    return self.pass_on(&job).await;
                }
                Err(error) => return job.final_response(attempts, error),
            };
            let upstream = slot.grant().upstream.clone();
            attempts.avoid.push(upstream);
            match self.send(&job, slot).await {
                Outcome::Answered(response) => return Ok(response),
                Outcome::Timeout => return Err(Failure::TimeoutAfterSend.into()),
                Outcome::NotRun(Failure::Unreachable)
                    if attempts.unreachable < MAX_UNREACHABLE_ATTEMPTS =>
                {
                    attempts.unreachable += 1;
                }
                Outcome::NotRun(Failure::Unreachable) if !attempts.may_have_run => {
                    return self.pass_on(&job).await;
                }
                Outcome::NotRun(failure) => {
                    attempts.counted += 1;
                    if attempts.counted >= max_attempts {
                        return job.final_response(attempts, declined_error(failure));
                    }
                }
                Outcome::MayHaveRun(error) => {
                    attempts.counted += 1;
                    attempts.may_have_run = true;
                    attempts.error_response = error.or(attempts.error_response);
                    if !is_repeatable || attempts.counted >= max_attempts {
                        return job.final_response(attempts, Failure::ResponseLost.into());
                    }
                }
            }
        }
    }

    /// Waits until the gate grants or refuses a slot, at most until the deadline.
    async fn acquire_slot(
        &self,
        job: &Job<'_>,
        attempts: &Attempts,
    ) -> Result<Slot, ErrorResponse> {
        let now = clock::now();
        let mut request = job.slot_request(now, &self.data_centre, attempts);
        request.avoid.extend(self.unavailable.to_avoid(now));
        let pending = self.gate.request_slot(now, request, job.quota());
        let decision = timeout_at(clock::instant(job.deadline), pending.wait()).await;
        let decision: Result<Slot, Refusal> = decision.map_err(|_| Failure::TimeoutBeforeSend)?;
        let slot = decision.map_err(|refusal| self.explain(refusal))?;
        job.trace.slot_granted(clock::now(), attempts.counted, slot.grant());
        Ok(slot)
    }

    /// Returns the response to a refusal of the gate. One that knows no instance of the fleet hands
    /// out nothing of a limit, and would state that limit as its reason.
    fn explain(&self, refusal: Refusal) -> ErrorResponse {
        let error = ErrorResponse::from(refusal);
        if self.gate.can_get_slots() {
            return error;
        }
        ErrorResponse { failure: Failure::NotRegistered, ..error }
    }

    /// Sends a request to the upstream of its slot, unless this instance knows that the upstream
    /// takes none.
    async fn send(&self, job: &Job<'_>, slot: Slot) -> Outcome {
        let now = clock::now();
        if let Some(reason) = self.unavailable.reason(now, &slot.grant().upstream) {
            let upstream = slot.grant().upstream.as_str();
            job.trace.attempt_failed(now, upstream, reason.name(), false);
            slot.end(reason.end());
            return Outcome::NotRun(Failure::Unreachable);
        }
        let Some(share) = FlowShare::acquire(&self.budget).await else {
            let (upstream, reason) =
                (slot.grant().upstream.as_str(), Failure::NoMemory.spec().name);
            job.trace.attempt_failed(clock::now(), upstream, reason, false);
            slot.end(End::Cancelled);
            return Outcome::NotRun(Failure::NoMemory);
        };
        let attempt = Attempt::new(now, slot, job.trace.clone());
        let exchange = timeout_at(clock::instant(job.deadline), self.exchange(job, &attempt)).await;
        let now = clock::now();
        match exchange {
            Ok(Ok(response)) => {
                let relay = Relay {
                    protocol: &*self.protocol,
                    unavailable: &self.unavailable,
                    id: &job.caller.id,
                    is_stream_route: job.admitted.route.kind.is_stream(),
                    tokens_per_event: job.admitted.service.tokens_per_event,
                    deadline: clock::instant(job.deadline),
                };
                relay.pass_on(attempt, response, share).await
            }
            Ok(Err(e)) => {
                job.trace.exchange_failed(now, attempt.upstream(), &e);
                let (end, outcome) = match &e {
                    ExchangeError::Unreachable(_) => {
                        (End::Unreachable, Outcome::NotRun(Failure::Unreachable))
                    }
                    ExchangeError::Broken(_)
                    | ExchangeError::Informational
                    | ExchangeError::InvalidStatus(_) => (End::Broken, Outcome::MayHaveRun(None)),
                };
                attempt.end(end);
                outcome
            }
            Err(_) => {
                attempt.fail(now, End::Cancelled, "time");
                Outcome::Timeout
            }
        }
    }

    async fn exchange(
        &self,
        job: &Job<'_>,
        attempt: &Attempt,
    ) -> Result<UpstreamResponse, ExchangeError> {
        let grant = attempt.grant();
        let stream = self.upstreams.connect(grant.address).await;
        self.path.record(clock::now(), &grant.upstream, &stream);
        let stream = stream?;
        let send = SendHead {
            upstream: &grant.upstream,
            workspace: job.admitted.workspace.as_ref().map(|workspace| &workspace.name),
            time_left: job.deadline.saturating_sub(clock::now()),
            last_event: None,
        };
        let mut req = Request::new(job.body.to_message());
        *req.method_mut() = job.head.method.clone();
        let path = job.head.uri.path_and_query().cloned();
        *req.uri_mut() = path.map(http::Uri::from).unwrap_or_default();
        *req.headers_mut() = self.protocol.upstream_headers(&job.head.headers, &send);
        exchange::send(stream, req).await
    }
}

/// Time after which the caller may retry if the last allowed attempt was declined or reached no
/// upstream.
const DECLINED_RETRY_AFTER: Duration = Duration::from_millis(200);

fn declined_error(failure: Failure) -> ErrorResponse {
    ErrorResponse { retry_after: Some(DECLINED_RETRY_AFTER), ..failure.into() }
}

/// Reads a whole response before it is passed on.
///
/// HTTP/1.0 has no chunks: without a length, a caller can't tell a body that breaks off from a
/// complete one.
async fn buffer_for_http_1_0(
    budget: &SharedBudget,
    response: Response<ResponseBody>,
) -> Response<ResponseBody> {
    if matches!(response.body(), ResponseBody::Buffered(_)) {
        return response;
    }
    let (head, body) = response.into_parts();
    match collect(budget, body).await {
        Ok(body) => Response::from_parts(head, ResponseBody::Held(body)),
        Err(failure) => {
            let reason = failure.spec().name;
            warn!(reason; "A response to a caller of HTTP/1.0 is replaced by an error.");
            buffered(ErrorResponse::from(failure).into_response())
        }
    }
}

/// Reads a whole response body within the memory budget.
async fn collect(budget: &SharedBudget, body: ResponseBody) -> Result<HeldMessage, Failure> {
    let mut body = body;
    let mut collector = Collector::new(budget, Kind::Responses, None);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| match e {
            BodyError::Timeout => Failure::TimeoutAfterSend,
            _ => Failure::ResponseLost,
        })?;
        let Ok(data) = frame.into_data() else { continue };
        if collector.len() + data.len() > MAX_HTTP_1_0_BODY_BYTES {
            return Err(Failure::ResponseLost);
        }
        // The request has run, so that it is not refused for want of memory.
        collector.push(&data).await.ok_or(Failure::ResponseLost)?;
    }
    Ok(collector.finish().to_message())
}

/// Returns the response that refuses a request; it tells an instance that passed the request on
/// whether others may take it.
fn refusal(error: ErrorResponse, is_passed_on: bool) -> Response<ResponseBody> {
    let mut response = error.into_response();
    if is_passed_on {
        mark_refusal(response.headers_mut(), error.failure);
    }
    buffered(response)
}

fn buffered(response: Response<Bytes>) -> Response<ResponseBody> {
    response.map(|body| ResponseBody::Buffered(Full::new(body)))
}
