//! Takes one request from its admission to the head of its answer.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::Duration,
};

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use http::{Request, Response, StatusCode, header::CONTENT_LENGTH, request::Parts};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use lacewingspring_core::{
    dispatch::{Ask, End, Refusal},
    names::{ServiceName, UpstreamName},
};
use log::{debug, info};
use tokio::time::{Instant, timeout_at};

use crate::{
    admission::{Admitted, admit},
    answer::{AnswerBody, Relayed},
    clock,
    declared::Declared,
    exchange::{self, Answer, ExchangeError},
    gate::link::{Gate, Slot},
    leaving::Leaving,
    protocol::{CallerHead, Protocol, SendHead},
    refusal::{Denial, Failure},
};

/// Largest answer that is read whole before it is passed on, in bytes.
const WHOLE_ANSWER_LEN: u64 = 64 * 1024;

/// Tokens that an event of a stream holds when nothing is declared.
const TOKENS_AN_EVENT: u32 = 5;

/// Time that a request needs on its way back to the caller.
const WAY_BACK: Duration = Duration::from_millis(4);

/// Sends to upstreams that could not be reached, beside those that count.
const MOST_UNREACHED: u32 = 3;

/// What the path of a request needs.
pub struct Forward<P> {
    /// Protocol of callers and upstreams.
    pub protocol: Arc<P>,
    /// What is declared; none until it was read.
    pub declared: Arc<ArcSwapOption<Declared>>,
    /// Upstreams that take no new work.
    pub leaving: Arc<Leaving>,
    /// The gate.
    pub gate: Arc<Gate>,
}

/// A request that was sent to an upstream and holds its slot there.
#[derive(Debug)]
pub struct Sent {
    slot: Slot,
    id: Arc<str>,
    at: Duration,
}

impl Sent {
    /// Returns the identity of the request.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the name of the upstream.
    pub fn upstream(&self) -> &str {
        self.slot.grant().upstream.as_str()
    }

    /// Notes the first event of the answer.
    pub fn first_output(&self, now: Duration) {
        self.slot.first_output(now.saturating_sub(self.at));
    }

    /// Ends it with a whole answer.
    pub fn finish(self, now: Duration, output_tokens: u32, decode: Duration) {
        let took = now.saturating_sub(self.at);
        self.end(now, End::Finished { took, output_tokens, decode });
    }

    /// Ends it.
    pub fn end(self, now: Duration, end: End) {
        let took_ms = now.saturating_sub(self.at).as_millis() as u64;
        let upstream = self.upstream();
        debug!(id = self.id(), upstream, took_ms, end:? = end; "The upstream is done.");
        self.slot.end(end);
    }
}

/// A request on its way.
struct Job<'a> {
    head: &'a Parts,
    body: Bytes,
    caller: CallerHead,
    admitted: Admitted,
    service: ServiceName,
    fingerprint: u64,
    began: Duration,
    until: Duration,
}

/// What a send came to.
enum Outcome {
    /// An answer for the caller.
    Answered(Response<AnswerBody>),
    /// Nothing ran; the request may be sent elsewhere.
    NotRun(Failure),
    /// Something may have run, and what there is for the caller.
    MayHaveRun(Option<Response<AnswerBody>>),
}

impl<P> Forward<P>
where
    P: Protocol,
{
    /// Serves a request; `began` is when its head was read.
    pub async fn serve(&self, began: Duration, req: Request<Incoming>) -> Response<AnswerBody> {
        let (head, body) = req.into_parts();
        let caller = self.protocol.caller_head(&head.headers);
        let id = caller.id.clone();
        match self.run(began, &head, body, caller).await {
            Ok(response) => response,
            Err(denial) => {
                let row = denial.failure.row();
                let took_ms = clock::now().saturating_sub(began).as_millis() as u64;
                let retry_ms = denial.retry_after.map_or(0, |wait| wait.as_millis() as u64);
                info!(
                    id = &*id, reason = row.name, status = row.status.as_u16(),
                    not_run = row.is_not_run, took_ms, retry_ms;
                    "The request is refused."
                );
                denial.into_response().map(|body| AnswerBody::Whole(Full::new(body)))
            }
        }
    }

    async fn run(
        &self,
        began: Duration,
        head: &Parts,
        body: Incoming,
        caller: CallerHead,
    ) -> Result<Response<AnswerBody>, Denial> {
        let declared = self.declared.load_full().ok_or(Failure::NotConfigured)?;
        let admitted = admit(&declared, head, &caller)?;
        let until = began + admitted.time;
        let limit = declared.limits.body_bytes;
        let body = timeout_at(instant(until), read(body, limit)).await;
        let body = body.map_err(|_| Failure::TimeOut)??;
        let service = admitted.route.choose().ok_or(Failure::NotFound)?.clone();
        let fingerprint = fingerprint(head, &admitted, &body);
        let job = Job { head, body, caller, admitted, service, fingerprint, began, until };
        self.drive(job).await
    }

    /// Sends a request until it has an answer or may be sent no more.
    async fn drive(&self, job: Job<'_>) -> Result<Response<AnswerBody>, Denial> {
        let mut avoid = Vec::new();
        let mut sends = 0;
        let mut unreached = 0;
        let mut kept: Option<Response<AnswerBody>> = None;
        let mut may_have_run = false;
        loop {
            let slot = self.slot(&job, sends, &avoid).await;
            let slot = match slot {
                Ok(slot) => slot,
                Err(denial) => return last(kept, may_have_run, denial),
            };
            let upstream = slot.grant().upstream.clone();
            avoid.push(upstream);
            match self.send(&job, slot).await {
                Outcome::Answered(response) => return Ok(response),
                Outcome::NotRun(Failure::Unreachable) if unreached < MOST_UNREACHED => {
                    unreached += 1;
                }
                Outcome::NotRun(failure) => {
                    sends += 1;
                    if sends >= job.admitted.route.max_sends {
                        return last(kept, may_have_run, retry_soon(failure));
                    }
                }
                Outcome::MayHaveRun(response) => {
                    sends += 1;
                    may_have_run = true;
                    kept = response.or(kept);
                    let is_repeatable = job.admitted.route.kind.is_repeatable();
                    if !is_repeatable || sends >= job.admitted.route.max_sends {
                        return last(kept, may_have_run, Failure::AnswerLost.into());
                    }
                }
            }
        }
    }

    async fn slot(
        &self,
        job: &Job<'_>,
        sends: u32,
        avoid: &[UpstreamName],
    ) -> Result<Slot, Denial> {
        let now = clock::now();
        let ask = job.ask(now, sends, avoid);
        let waiting = self.gate.ask(now, ask);
        let decided = timeout_at(instant(job.until), waiting.decided()).await;
        let decided: Result<Slot, Refusal> = decided.map_err(|_| Failure::TimeOut)?;
        let slot = decided?;
        let waited_ms = clock::now().saturating_sub(now).as_millis() as u64;
        info!(
            id = &*job.caller.id, route = &*job.admitted.route.name, sends, waited_ms,
            version = job.admitted.version, upstream = slot.grant().upstream.as_str();
            "The request is placed."
        );
        Ok(slot)
    }

    async fn send(&self, job: &Job<'_>, slot: Slot) -> Outcome {
        if self.leaving.contains(&slot.grant().upstream) {
            info!(
                id = &*job.caller.id, upstream = slot.grant().upstream.as_str();
                "The gate does not know that the upstream leaves."
            );
            slot.end(End::Leaving);
            return Outcome::NotRun(Failure::Unreachable);
        }
        let sent = Sent { slot, id: job.caller.id.clone(), at: clock::now() };
        let exchange = timeout_at(instant(job.until), self.exchange(job, &sent)).await;
        let now = clock::now();
        match exchange {
            Ok(Ok(answer)) => self.take(job, sent, answer).await,
            Ok(Err(e)) => {
                let (end, outcome) = match &e {
                    ExchangeError::Unreachable(_) => {
                        (End::Unreachable, Outcome::NotRun(Failure::Unreachable))
                    }
                    ExchangeError::Broken(_) => (End::Broken, Outcome::MayHaveRun(None)),
                };
                info!(id = sent.id(), upstream = sent.upstream(), error:% = e; "A send failed.");
                sent.end(now, end);
                outcome
            }
            Err(_) => {
                sent.end(now, End::Cancelled);
                let denial = Denial::from(Failure::TimeOutSent).into_response();
                let response = denial.map(|body| AnswerBody::Whole(Full::new(body)));
                Outcome::Answered(response)
            }
        }
    }

    async fn exchange(&self, job: &Job<'_>, sent: &Sent) -> Result<Answer, ExchangeError> {
        let grant = sent.slot.grant();
        let stream = exchange::connect(grant.address).await?;
        let send = SendHead {
            upstream: &grant.upstream,
            workspace: job.admitted.workspace.as_ref().map(|workspace| &workspace.name),
            time_left: job.until.saturating_sub(clock::now()),
            last_event: None,
        };
        let mut req = Request::new(Full::new(job.body.clone()));
        *req.method_mut() = job.head.method.clone();
        let path = job.head.uri.path_and_query().cloned();
        *req.uri_mut() = path.map(http::Uri::from).unwrap_or_default();
        *req.headers_mut() = self.protocol.upstream_headers(&job.head.headers, &send);
        exchange::send(stream, req).await
    }

    /// Judges an answer and passes it on.
    async fn take(&self, job: &Job<'_>, sent: Sent, answer: Answer) -> Outcome {
        let status = answer.head.status;
        let marks = self.protocol.answer_head(status.as_u16(), &answer.head.headers);
        let now = clock::now();
        if marks.id.as_deref().is_some_and(|id| id != &*job.caller.id) {
            info!(id = sent.id(), upstream = sent.upstream(); "An answer belongs to another request.");
            sent.end(now, End::Broken);
            return Outcome::MayHaveRun(None);
        }
        if marks.is_misdirected {
            sent.end(now, End::Misdirected);
            return Outcome::NotRun(Failure::Unreachable);
        }
        if marks.is_declined {
            sent.end(now, End::Declined);
            return Outcome::NotRun(Failure::Declined);
        }
        if status.is_success() && !marks.is_signed {
            info!(id = sent.id(), upstream = sent.upstream(); "An answer lacks its signature.");
            sent.end(now, End::Broken);
            return Outcome::MayHaveRun(None);
        }
        let mut response = Response::new(());
        *response.status_mut() = status;
        *response.headers_mut() = self.protocol.answer_headers(&answer.head.headers);
        if job.admitted.route.kind.is_stream() && status.is_success() {
            let until = instant(job.until);
            let relayed = Relayed::new(answer, sent, until, TOKENS_AN_EVENT);
            return Outcome::Answered(response.map(|()| AnswerBody::Relayed(Box::new(relayed))));
        }
        self.take_whole(job, sent, answer, response).await
    }

    /// Reads a short answer whole, so that one that breaks off is not passed on.
    async fn take_whole(
        &self,
        job: &Job<'_>,
        sent: Sent,
        answer: Answer,
        response: Response<()>,
    ) -> Outcome {
        let is_short = answer.body.size_hint().upper().is_some_and(|len| len <= WHOLE_ANSWER_LEN);
        if !is_short {
            let relayed = Relayed::new(answer, sent, instant(job.until), 0);
            return Outcome::Answered(response.map(|()| AnswerBody::Relayed(Box::new(relayed))));
        }
        let Answer { body, connection, .. } = answer;
        let read = timeout_at(instant(job.until), body.collect()).await;
        drop(connection);
        let now = clock::now();
        let data = match read {
            Ok(Ok(whole)) => whole.to_bytes(),
            Ok(Err(e)) => {
                info!(id = sent.id(), upstream = sent.upstream(), error:% = e; "An answer broke off.");
                sent.end(now, End::Broken);
                return Outcome::MayHaveRun(None);
            }
            Err(_) => {
                sent.end(now, End::Cancelled);
                return Outcome::MayHaveRun(None);
            }
        };
        let status = response.status();
        let response = response.map(|()| AnswerBody::Whole(Full::new(data)));
        if status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT {
            sent.end(now, End::Failed);
            return Outcome::MayHaveRun(Some(response));
        }
        sent.finish(now, 0, Duration::ZERO);
        Outcome::Answered(response)
    }
}

impl Job<'_> {
    fn ask(&self, now: Duration, sends: u32, avoid: &[UpstreamName]) -> Ask {
        let first_until = self.began + self.admitted.route.first_patience();
        let late_at = self.began + self.admitted.route.aim.saturating_sub(WAY_BACK);
        Ask {
            service: self.service.clone(),
            class: self.admitted.route.name.clone(),
            rank: self.admitted.rank,
            workspace: self.admitted.workspace.as_ref().map(|workspace| workspace.name.clone()),
            work: self.caller.work.clone(),
            aim_left: late_at.saturating_sub(now),
            time_left: self.until.saturating_sub(now + WAY_BACK),
            first_left: first_until.saturating_sub(now + WAY_BACK),
            charge: self.admitted.charge,
            sends,
            avoid: avoid.to_vec(),
            fingerprint: self.fingerprint,
        }
    }
}

/// Returns the answer of a request that is sent no more.
fn last(
    kept: Option<Response<AnswerBody>>,
    may_have_run: bool,
    denial: Denial,
) -> Result<Response<AnswerBody>, Denial> {
    match kept {
        Some(response) => Ok(response),
        None if may_have_run => Err(Failure::AnswerLost.into()),
        None => Err(denial),
    }
}

/// Time after which a caller comes back whose request was declined or could not be sent.
const DECLINED_RETRY: Duration = Duration::from_millis(200);

fn retry_soon(failure: Failure) -> Denial {
    Denial { failure, retry_after: Some(DECLINED_RETRY) }
}

async fn read(body: Incoming, limit: usize) -> Result<Bytes, Failure> {
    if body.size_hint().lower() > limit as u64 {
        return Err(Failure::TooLarge);
    }
    match Limited::new(body, limit).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(Failure::TooLarge),
        Err(_) => Err(Failure::Malformed),
    }
}

fn fingerprint(head: &Parts, admitted: &Admitted, body: &Bytes) -> u64 {
    let mut hasher = DefaultHasher::new();
    head.method.hash(&mut hasher);
    head.uri.hash(&mut hasher);
    admitted.workspace.as_ref().map(|workspace| &workspace.name).hash(&mut hasher);
    body.hash(&mut hasher);
    head.headers.get(CONTENT_LENGTH).hash(&mut hasher);
    hasher.finish()
}

/// Returns the instant of a time of [`clock`] for the timers of the runtime.
fn instant(at: Duration) -> Instant {
    clock::instant(at)
}
