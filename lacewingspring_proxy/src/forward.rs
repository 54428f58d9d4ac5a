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
    dispatch::{End, Refusal, SlotRequest},
    names::{DataCentreName, ServiceName, UpstreamName},
};
use log::info;
use tokio::time::timeout_at;

use crate::{
    admission::{Admitted, admit},
    answer::{AnswerBody, Relayed},
    clock,
    declared::Declared,
    exchange::{self, Answer, ExchangeError},
    gate::link::{Gate, Slot},
    leaving::Leaving,
    metrics::SharedMetrics,
    protocol::{CallerHead, Protocol, SendHead},
    refusal::{Denial, Failure},
    sent::Sent,
    track::Track,
};

/// Largest answer that is read whole before it is passed on, in bytes.
const WHOLE_ANSWER_LEN: u64 = 64 * 1024;

/// Time that a request needs on its way back to the caller.
const WAY_BACK: Duration = Duration::from_millis(4);

/// Sends to upstreams that could not be reached, beside those that count.
const MOST_UNREACHED: u32 = 3;

/// What the path of a request needs.
pub struct Forward<P> {
    /// Protocol of callers and upstreams.
    pub protocol: Arc<P>,
    /// Data centre of this instance.
    pub data_centre: DataCentreName,
    /// What is declared; none until it was read.
    pub declared: Arc<ArcSwapOption<Declared>>,
    /// Upstreams that take no new work.
    pub leaving: Arc<Leaving>,
    /// The gate.
    pub gate: Arc<Gate>,
    /// Metrics of this instance.
    pub metrics: SharedMetrics,
}

/// A request on its way.
struct Job<'a> {
    head: &'a Parts,
    body: Bytes,
    caller: CallerHead,
    admitted: Admitted,
    track: Arc<Track>,
    service: ServiceName,
    fingerprint: u64,
    began: Duration,
    until: Duration,
}

/// What was tried for a request so far.
#[derive(Default)]
struct Tries {
    /// Upstreams that it was granted.
    avoid: Vec<UpstreamName>,
    /// Sends that count.
    sends: u32,
    /// Upstreams that could not be reached.
    unreached: u32,
    /// Whether it may have run.
    may_have_run: bool,
    /// An upstream's answer that tells a failure.
    kept: Option<(Response<AnswerBody>, UpstreamName)>,
}

/// What a send came to.
enum Outcome {
    /// An answer for the caller.
    Answered(Response<AnswerBody>),
    /// Nothing ran; the request may be sent elsewhere.
    NotRun(Failure),
    /// Something may have run, and what there is for the caller.
    MayHaveRun(Option<Response<AnswerBody>>),
    /// The time of the request is over.
    TimeOut,
}

impl<P> Forward<P>
where
    P: Protocol,
{
    /// Serves a request; `began` is when its head was read.
    pub async fn serve(&self, began: Duration, req: Request<Incoming>) -> Response<AnswerBody> {
        let (head, body) = req.into_parts();
        let caller = self.protocol.caller_head(&head.headers);
        let admitted = match self.admit(&head, &caller) {
            Ok(admitted) => admitted,
            Err(failure) => return self.deny_stranger(began, &caller, failure),
        };
        let track = Arc::new(Track::new(began, &caller, &admitted, self.metrics.clone()));
        let served = self.run(began, &head, body, caller, admitted, track.clone()).await;
        served.unwrap_or_else(|denial| {
            track.refused(clock::now(), &denial);
            whole(denial.into_response())
        })
    }

    fn admit(&self, head: &Parts, caller: &CallerHead) -> Result<Admitted, Failure> {
        let declared = self.declared.load_full().ok_or(Failure::NotConfigured)?;
        admit(&declared, head, caller)
    }

    /// Refuses a request that belongs to no route or workspace.
    fn deny_stranger(
        &self,
        began: Duration,
        caller: &CallerHead,
        failure: Failure,
    ) -> Response<AnswerBody> {
        let row = failure.row();
        self.metrics.refused(row.name);
        let took_ms = clock::now().saturating_sub(began).as_millis() as u64;
        let version = self.declared.load().as_ref().map_or(0, |declared| declared.version);
        info!(
            id = &*caller.id, reason = row.name, status = row.status.as_u16(), version,
            not_run = row.is_not_run, took_ms;
            "The request is not admitted."
        );
        whole(Denial::from(failure).into_response())
    }

    async fn run(
        &self,
        began: Duration,
        head: &Parts,
        body: Incoming,
        caller: CallerHead,
        admitted: Admitted,
        track: Arc<Track>,
    ) -> Result<Response<AnswerBody>, Denial> {
        let until = began + admitted.time;
        let body = timeout_at(clock::instant(until), read(body, admitted.body_bytes)).await;
        let body = body.map_err(|_| Failure::TimeOut)??;
        let service = admitted.route.choose().ok_or(Failure::NotFound)?.clone();
        let fingerprint = fingerprint(head, &admitted, &body);
        let job = Job { head, body, caller, admitted, track, service, fingerprint, began, until };
        self.drive(job).await
    }

    /// Sends a request until it has an answer or may be sent no more.
    async fn drive(&self, job: Job<'_>) -> Result<Response<AnswerBody>, Denial> {
        let mut tries = Tries::default();
        let max_sends = job.admitted.route.max_sends;
        let is_repeatable = job.admitted.route.kind.is_repeatable();
        loop {
            let slot = match self.slot(&job, &tries).await {
                Ok(slot) => slot,
                Err(denial) => return job.last(tries, denial),
            };
            let upstream = slot.grant().upstream.clone();
            tries.avoid.push(upstream.clone());
            match self.send(&job, slot).await {
                Outcome::Answered(response) => return Ok(response),
                Outcome::TimeOut => return Err(Failure::TimeOutSent.into()),
                Outcome::NotRun(Failure::Unreachable) if tries.unreached < MOST_UNREACHED => {
                    tries.unreached += 1;
                }
                Outcome::NotRun(failure) => {
                    tries.sends += 1;
                    if tries.sends >= max_sends {
                        return job.last(tries, retry_soon(failure));
                    }
                }
                Outcome::MayHaveRun(response) => {
                    tries.sends += 1;
                    tries.may_have_run = true;
                    tries.kept = response.map(|response| (response, upstream)).or(tries.kept);
                    if !is_repeatable || tries.sends >= max_sends {
                        return job.last(tries, Failure::AnswerLost.into());
                    }
                }
            }
        }
    }

    async fn slot(&self, job: &Job<'_>, tries: &Tries) -> Result<Slot, Denial> {
        let now = clock::now();
        let ask = job.ask(now, &self.data_centre, tries);
        let waiting = self.gate.ask(now, ask);
        let decided = timeout_at(clock::instant(job.until), waiting.decided()).await;
        let decided: Result<Slot, Refusal> = decided.map_err(|_| Failure::TimeOut)?;
        let slot = decided?;
        job.track.placed(clock::now(), tries.sends, slot.grant());
        Ok(slot)
    }

    async fn send(&self, job: &Job<'_>, slot: Slot) -> Outcome {
        if self.leaving.contains(&slot.grant().upstream) {
            let upstream = slot.grant().upstream.as_str();
            job.track.send_failed(clock::now(), upstream, "leaving", false);
            slot.end(End::Leaving);
            return Outcome::NotRun(Failure::Unreachable);
        }
        let sent = Sent::new(clock::now(), slot, job.track.clone());
        let exchange = timeout_at(clock::instant(job.until), self.exchange(job, &sent)).await;
        let now = clock::now();
        match exchange {
            Ok(Ok(answer)) => self.take(job, sent, answer).await,
            Ok(Err(e)) => {
                job.track.exchange_failed(now, sent.upstream(), &e);
                let (end, outcome) = match &e {
                    ExchangeError::Unreachable(_) => {
                        (End::Unreachable, Outcome::NotRun(Failure::Unreachable))
                    }
                    ExchangeError::Broken(_) => (End::Broken, Outcome::MayHaveRun(None)),
                };
                sent.end(end);
                outcome
            }
            Err(_) => {
                sent.fail(now, End::Cancelled, "time");
                Outcome::TimeOut
            }
        }
    }

    async fn exchange(&self, job: &Job<'_>, sent: &Sent) -> Result<Answer, ExchangeError> {
        let grant = sent.grant();
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

    /// Returns the tokens in each event of a request's answer.
    fn tokens_an_event(&self, job: &Job<'_>) -> u32 {
        let declared = self.declared.load();
        let service = declared.as_ref().and_then(|declared| declared.services.get(&job.service));
        service.map_or(1, |service| service.tokens_an_event)
    }

    /// Judges an answer and passes it on.
    async fn take(&self, job: &Job<'_>, sent: Sent, answer: Answer) -> Outcome {
        let status = answer.head.status;
        let marks = self.protocol.answer_head(status.as_u16(), &answer.head.headers);
        let now = clock::now();
        if marks.id.as_deref().is_some_and(|id| id != &*job.caller.id) {
            sent.fail(now, End::Broken, "answer of another request");
            return Outcome::MayHaveRun(None);
        }
        if marks.is_misdirected {
            sent.fail(now, End::Misdirected, "misdirected");
            return Outcome::NotRun(Failure::Unreachable);
        }
        if marks.is_declined {
            sent.fail(now, End::Declined, "declined");
            return Outcome::NotRun(Failure::Declined);
        }
        if status.is_success() && !marks.is_signed {
            sent.fail(now, End::Broken, "no signature");
            return Outcome::MayHaveRun(None);
        }
        let mut response = Response::new(());
        *response.status_mut() = status;
        *response.headers_mut() = self.protocol.answer_headers(&answer.head.headers);
        if job.admitted.route.kind.is_stream() && status.is_success() {
            let until = clock::instant(job.until);
            let relayed = Relayed::new(answer, sent, until, self.tokens_an_event(job));
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
            let relayed = Relayed::new(answer, sent, clock::instant(job.until), 0);
            return Outcome::Answered(response.map(|()| AnswerBody::Relayed(Box::new(relayed))));
        }
        let Answer { body, connection, .. } = answer;
        let read = timeout_at(clock::instant(job.until), body.collect()).await;
        drop(connection);
        let now = clock::now();
        let data = match read {
            Ok(Ok(whole)) => whole.to_bytes(),
            Ok(Err(e)) => {
                sent.fail(now, End::Broken, &format!("broke off: {e}"));
                return Outcome::MayHaveRun(None);
            }
            Err(_) => {
                sent.fail(now, End::Cancelled, "time");
                return Outcome::TimeOut;
            }
        };
        let status = response.status();
        let response = response.map(|()| AnswerBody::Whole(Full::new(data)));
        if status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT {
            sent.fail(now, End::Failed, status.as_str());
            return Outcome::MayHaveRun(Some(response));
        }
        sent.finish(now, status.as_u16(), 0, Duration::ZERO);
        Outcome::Answered(response)
    }
}

impl Job<'_> {
    /// Returns the answer of a request that is sent no more.
    fn last(&self, tries: Tries, denial: Denial) -> Result<Response<AnswerBody>, Denial> {
        match tries.kept {
            Some((response, upstream)) => {
                let status = response.status().as_u16();
                self.track.answered(clock::now(), status, upstream.as_str());
                Ok(response)
            }
            None if tries.may_have_run => Err(Failure::AnswerLost.into()),
            None => Err(denial),
        }
    }

    fn ask(&self, now: Duration, data_centre: &DataCentreName, tries: &Tries) -> SlotRequest {
        let first_until = self.began + self.admitted.route.first_patience();
        let late_at = self.began + self.admitted.route.aim.saturating_sub(WAY_BACK);
        SlotRequest {
            service: self.service.clone(),
            class: self.admitted.route.name.clone(),
            rank: self.admitted.rank,
            data_centre: data_centre.clone(),
            workspace: self.admitted.workspace.as_ref().map(|workspace| workspace.name.clone()),
            work: self.caller.work.clone(),
            target_left: late_at.saturating_sub(now),
            time_left: self.until.saturating_sub(now + WAY_BACK),
            first_output_left: first_until.saturating_sub(now + WAY_BACK),
            charge: self.admitted.charge,
            sends: tries.sends,
            avoid: tries.avoid.clone(),
            fingerprint: self.fingerprint,
        }
    }
}

/// Time after which a caller comes back whose request was declined or could not be sent.
const DECLINED_RETRY: Duration = Duration::from_millis(200);

fn retry_soon(failure: Failure) -> Denial {
    Denial { retry_after: Some(DECLINED_RETRY), ..failure.into() }
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

fn whole(response: Response<Bytes>) -> Response<AnswerBody> {
    response.map(|body| AnswerBody::Whole(Full::new(body)))
}
