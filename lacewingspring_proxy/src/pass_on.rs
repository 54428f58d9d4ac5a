//! Passes requests on to another instance while this one reaches no upstream.

use std::{
    collections::HashMap,
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, request::Parts};
use hyper::body::{Body, Frame, Incoming};
use lacewingspring_core::names::{DataCentreName, InstanceName};
use rand::seq::SliceRandom;
use tokio::time::{Sleep, sleep_until, timeout_at};

use crate::{
    admission::Admitted,
    answer::{BodyError, ResponseBody},
    clock,
    exchange::{self, ConnectionGuard, UpstreamResponse},
    mark::{self, Mark},
    members::{Member, SharedMembers},
    memory_budget::{
        body::{HeldBody, HeldMessage},
        flow::FlowShare,
    },
    net,
    protocol::Protocol,
    refusal::{ErrorResponse, Failure},
    track::RequestTrace,
};

/// Time limit for connecting to another instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Largest number of instances that are tried for a request.
const MAX_INSTANCES: usize = 3;

/// Time for which an instance that can't take a request is left out.
const AVOIDED_TIME: Duration = Duration::from_secs(1);

/// Time after which the caller may retry if no instance takes its request.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// Other instances that requests are passed on to.
#[derive(Debug)]
pub struct OtherInstances {
    /// Name of this instance.
    pub instance: InstanceName,
    /// Incarnation of this instance.
    pub incarnation: u64,
    /// Data centre of this instance.
    pub data_centre: DataCentreName,
    /// The instances of the fleet.
    pub members: SharedMembers,
    /// Instances that could not take a request, with the time until which they are left out.
    pub avoided: Mutex<HashMap<InstanceName, Duration>>,
}

/// A request to pass on.
#[derive(Debug)]
pub struct PassedOn<'a> {
    /// Head of the caller's request.
    pub head: &'a Parts,
    /// Its body.
    pub body: HeldBody,
    /// Share of the memory that the response is passed on by.
    pub share: FlowShare,
    /// How this instance has admitted it.
    pub admitted: &'a Admitted,
    /// Time by which its response must be complete.
    pub deadline: Duration,
    /// Number of the last attempt to get a slot at this instance.
    pub last_attempt: u64,
    /// Record of the request.
    pub trace: &'a Arc<RequestTrace>,
}

impl OtherInstances {
    /// Removes the mark of a request that was passed on, and returns it.
    pub fn take_mark(&self, headers: &mut HeaderMap) -> Option<Mark> {
        Mark::take(headers, |incarnation| self.members.load().has_incarnation(incarnation))
    }

    /// Passes a request on to another instance, and its response back.
    ///
    /// # Errors
    ///
    /// Fails if no instance takes the request, or if the one that took it does not respond.
    pub async fn pass_on<P>(
        &self,
        protocol: &P,
        request: PassedOn<'_>,
    ) -> Result<Response<ResponseBody>, ErrorResponse>
    where
        P: Protocol,
    {
        for member in self.candidates(clock::now()) {
            let Ok(stream) = net::connect(member.caller_address, CONNECT_TIMEOUT).await else {
                self.avoid(clock::now(), &member);
                continue;
            };
            request.trace.passed_on(clock::now(), member.instance.as_str());
            let deadline = clock::instant(request.deadline);
            let message = self.message(protocol, &request);
            let response = timeout_at(deadline, exchange::send(stream, message)).await;
            let response = response.map_err(|_| Failure::TimeoutAfterSend)?;
            let response = response.map_err(|_| Failure::ResponseLost)?;
            let is_unable = response.head.status == StatusCode::SERVICE_UNAVAILABLE
                && mark::may_go_to_others(&response.head.headers);
            if is_unable {
                self.avoid(clock::now(), &member);
                continue;
            }
            return Ok(pass_back(protocol, response, request, &member));
        }
        Err(ErrorResponse { retry_after: Some(RETRY_AFTER), ..Failure::Unreachable.into() })
    }

    /// Returns a request as it is sent to another instance.
    fn message<P>(&self, protocol: &P, request: &PassedOn<'_>) -> Request<HeldMessage>
    where
        P: Protocol,
    {
        let time_left = request.deadline.saturating_sub(clock::now());
        let mut message = Request::new(request.body.to_message());
        *message.method_mut() = request.head.method.clone();
        let path = request.head.uri.path_and_query().cloned();
        *message.uri_mut() = path.map(http::Uri::from).unwrap_or_default();
        *message.headers_mut() = protocol.passed_on_headers(&request.head.headers, time_left);
        let PassedOn { last_attempt, admitted, .. } = request;
        mark::set(message.headers_mut(), self.incarnation, *last_attempt, admitted);
        message
    }

    /// Returns the instances to try: one of the own data centre, then those of others, as all of a
    /// data centre may have lost their paths together.
    fn candidates(&self, now: Duration) -> Vec<Member> {
        let avoided = {
            let mut avoided = self.avoided.lock().unwrap_or_else(PoisonError::into_inner);
            avoided.retain(|_, until| *until > now);
            avoided.clone()
        };
        let members = self.members.load();
        let others = members.active().filter(|member| {
            member.instance != self.instance && !avoided.contains_key(&member.instance)
        });
        let mut others: Vec<Member> = others.cloned().collect();
        others.shuffle(&mut rand::rng());
        others.sort_by_key(|member| member.data_centre == self.data_centre);
        let is_local = |member: &Member| member.data_centre == self.data_centre;
        if let Some(index) = others.iter().position(is_local) {
            others[..=index].rotate_right(1);
        }
        others.truncate(MAX_INSTANCES);
        others
    }

    fn avoid(&self, now: Duration, member: &Member) {
        let mut avoided = self.avoided.lock().unwrap_or_else(PoisonError::into_inner);
        avoided.insert(member.instance.clone(), now + AVOIDED_TIME);
    }
}

fn pass_back<P>(
    protocol: &P,
    received: UpstreamResponse,
    request: PassedOn<'_>,
    member: &Member,
) -> Response<ResponseBody>
where
    P: Protocol,
{
    let UpstreamResponse { head, body, connection, .. } = received;
    request.trace.passed_back(clock::now(), member.instance.as_str(), head.status.as_u16());
    let body = PassedBody {
        body,
        deadline: Box::pin(sleep_until(clock::instant(request.deadline))),
        trace: request.trace.clone(),
        share: request.share,
        _connection: connection,
    };
    let mut response = Response::new(ResponseBody::PassedOn(Box::new(body)));
    *response.status_mut() = head.status;
    *response.headers_mut() = protocol.response_headers(&head.headers);
    response
}

/// Body of a response of another instance.
#[derive(Debug)]
pub struct PassedBody {
    body: Incoming,
    deadline: Pin<Box<Sleep>>,
    trace: Arc<RequestTrace>,
    share: FlowShare,
    _connection: ConnectionGuard,
}

impl PassedBody {
    /// Returns whether the body has ended.
    pub fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    /// Returns what is known of its length.
    pub fn size_hint(&self) -> hyper::body::SizeHint {
        self.body.size_hint()
    }

    /// Reads the next part of the body.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.deadline.as_mut().poll(cx).is_ready() {
            self.trace.passed_back_cut(clock::now(), "time");
            return Poll::Ready(Some(Err(BodyError::Timeout)));
        }
        if !ready!(self.share.poll_ready(cx)) {
            self.trace.passed_back_cut(clock::now(), "memory");
            return Poll::Ready(Some(Err(BodyError::Memory)));
        }
        let next = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(Ok(frame)) = &next
            && let Some(data) = frame.data_ref()
        {
            self.share.record(data);
        }
        if matches!(next, Some(Err(_))) {
            self.trace.passed_back_cut(clock::now(), "instance");
        }
        Poll::Ready(next.map(|frame| frame.map_err(BodyError::from)))
    }
}
