//! A request on its way to upstreams: what it is, what was tried, and what it asks the gate for.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::Duration,
};

use http::{Response, request::Parts, uri::PathAndQuery};
use lacewingspring_core::{
    dispatch::{SlotRequest, StreamRef},
    names::{DataCentreName, UpstreamName},
};

use crate::{
    admission::Admitted,
    answer::ResponseBody,
    clock,
    gate::message::DeclaredQuota,
    memory_budget::body::HeldBody,
    protocol::CallerHead,
    refusal::{ErrorResponse, Failure},
    relay::UpstreamError,
    track::RequestTrace,
};

/// Time reserved for passing a response back to the caller; the deadlines that the gate gets are
/// earlier by this margin.
const RETURN_MARGIN: Duration = Duration::from_millis(4);

/// An admitted request and the state that all of its attempts share.
pub(crate) struct Job<'a> {
    /// Head of the caller's request.
    pub head: &'a Parts,
    /// Its body.
    pub body: HeldBody,
    /// What its headers state.
    pub caller: CallerHead,
    /// Its route and workspace.
    pub admitted: Admitted,
    /// Record of what happens to it.
    pub trace: Arc<RequestTrace>,
    /// Digest by which the gate recognises a repeat of it.
    pub fingerprint: u64,
    /// Time at which its head was read.
    pub began: Duration,
    /// Time by which its response must be complete.
    pub deadline: Duration,
    /// Whether another instance has passed the request on to this one.
    pub is_passed_on: bool,
}

/// Attempts made for a request so far.
#[derive(Default)]
pub(crate) struct Attempts {
    /// Upstreams where a slot was granted; they are not tried again.
    pub avoid: Vec<UpstreamName>,
    /// Attempts that count towards the route's limit of attempts.
    pub counted: u32,
    /// Uncounted attempts at upstreams that were unreachable, leaving or misdirected.
    pub unreachable: u32,
    /// Whether an upstream may have run the request.
    pub may_have_run: bool,
    /// Last complete error response of an upstream (5xx but 504); returned if no later attempt
    /// succeeds.
    pub error_response: Option<UpstreamError>,
}

impl Attempts {
    /// Returns whether there were attempts, of which none reached an upstream.
    pub fn reached_none(&self) -> bool {
        self.unreachable > 0 && self.counted == 0 && !self.may_have_run
    }
}

impl Job<'_> {
    /// Returns the result after the last attempt: the error response of an upstream if there is
    /// one, [`Failure::ResponseLost`] if the request may have run, else `error`.
    pub fn final_response(
        &self,
        attempts: Attempts,
        error: ErrorResponse,
    ) -> Result<Response<ResponseBody>, ErrorResponse> {
        match attempts.error_response {
            Some(UpstreamError { response, upstream, progress }) => {
                let status = response.status().as_u16();
                self.trace.answered(clock::now(), status, upstream.as_str(), &progress);
                Ok(response)
            }
            None if attempts.may_have_run => Err(Failure::ResponseLost.into()),
            None => Err(error),
        }
    }

    /// Builds the request for a slot, whose times count from `now`.
    pub fn slot_request(
        &self,
        now: Duration,
        data_centre: &DataCentreName,
        attempts: &Attempts,
    ) -> SlotRequest {
        let first_deadline = self.began + self.admitted.route.first_output_timeout();
        let target_deadline =
            self.began + self.admitted.route.target_latency.saturating_sub(RETURN_MARGIN);
        SlotRequest {
            service: self.admitted.service.name.clone(),
            class: self.admitted.route.name.clone(),
            rank: self.admitted.rank,
            data_centre: data_centre.clone(),
            workspace: self.admitted.workspace.as_ref().map(|workspace| workspace.name.clone()),
            work: self.caller.work.clone(),
            target_left: target_deadline.saturating_sub(now),
            time_left: self.deadline.saturating_sub(now + RETURN_MARGIN),
            first_output_left: first_deadline.saturating_sub(now + RETURN_MARGIN),
            charge: self.admitted.charge,
            sends: attempts.counted,
            avoid: attempts.avoid.clone(),
            fingerprint: self.fingerprint,
            stream: self.stream(),
            software: None,
        }
    }

    /// Returns the limit of the request's workspace; `None` if it has no workspace.
    pub fn quota(&self) -> Option<DeclaredQuota> {
        let Admitted { version, workspace, .. } = &self.admitted;
        let quota = workspace.as_ref()?.quota;
        Some(DeclaredQuota { version: *version, quota })
    }

    /// Returns the stream that the request begins or resumes; `None` if its response is none.
    fn stream(&self) -> Option<StreamRef> {
        let CallerHead { id, resumes, last_event, timeout, .. } = &self.caller;
        let first_id = resumes.as_ref().unwrap_or(id);
        let is_resumed = resumes.is_some() || last_event.is_some_and(|event| event > 0);
        let lifetime = timeout.unwrap_or(self.admitted.route.timeout);
        // The client of the gate numbers the attempts.
        let stream = StreamRef { id: digest(first_id), is_resumed, attempt: 0, lifetime };
        self.admitted.route.kind.is_stream().then_some(stream)
    }
}

fn digest(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

/// Returns a digest of method, path, query, workspace and body, by which the gate recognises a
/// repeated request, also one that was passed on.
pub(crate) fn fingerprint(head: &Parts, admitted: &Admitted, body: &HeldBody) -> u64 {
    let mut hasher = DefaultHasher::new();
    head.method.hash(&mut hasher);
    head.uri.path_and_query().map(PathAndQuery::as_str).hash(&mut hasher);
    admitted.workspace.as_ref().map(|workspace| &workspace.name).hash(&mut hasher);
    body.hash(&mut hasher);
    hasher.finish()
}
