//! Runs a completion on an engine: streams its tokens, resumes the stream after a failure and parks
//! the run when the gate requests it.

use std::time::Duration;

use lacewingspring_core::{
    error::{ErrorKind, RunState},
    gate::{Outcome, Resume},
    names::UpstreamName,
    request::{Claimed, Request},
};

use super::{Body, Refusal, Step, drive::RunDriver, permit::Permit};
use crate::{
    clock,
    metrics::Timer,
    peers::RunPart,
    upstreams::{
        DispatchError, ResponseChecks, UpstreamError,
        completions::{CompletionCall, EngineRun, KvTransfer, Part, TokenStream, Usage},
        sampling::Sampling,
    },
};

/// Maximum number of consecutive attempts to resume a stream without a new token.
const MAX_RESUME_ATTEMPTS: u32 = 5;

/// Interval between two attempts to resume a stream.
const RESUME_INTERVAL: Duration = Duration::from_millis(100);

/// Why reading a stream ended.
enum StreamEnd {
    /// The engine sent the whole answer.
    Complete,
    /// The gate requested that the run be parked.
    ParkRequested,
    /// No caller has followed the run for the orphan time-out.
    Orphaned,
    /// The stream failed.
    Failed(UpstreamError),
}

/// Dispatches the completion and streams its answer. Returns the request if no byte of it was sent.
///
/// # Errors
///
/// Returns `AnswerLost` if the engine rejects the request, or if its stream fails and cannot be
/// resumed.
pub async fn run(
    driver: &RunDriver,
    request: Request<Claimed>,
    mut permit: Permit,
) -> Result<Option<Request<Claimed>>, Refusal> {
    let Some(engine) = engine_run(driver, &permit) else {
        permit.release(Outcome::Cancelled);
        return Err(Refusal::permanent(ErrorKind::NoUpstream));
    };
    driver.mark_dispatched();
    permit.report_dispatch();
    let proof = request.permitted(permit.upstream.clone()).dispatch();
    let stream = match engine.dispatch(proof, &completion_call(driver, None, 0)).await {
        Ok(stream) => Some(stream),
        Err(DispatchError::NotSent(proof)) => {
            driver.mark_unsent(&permit.upstream);
            permit.report_unreachable();
            return Ok(Some(proof.unsent()));
        }
        Err(DispatchError::Failed(e @ UpstreamError::Status(_))) => {
            log::warn!(
                key:% = driver.run.id.key, reason:% = e;
                "Engine rejects a completion; its run fails."
            );
            permit.release(Outcome::Failed);
            return Err(Refusal::permanent(ErrorKind::AnswerLost));
        }
        Err(DispatchError::Failed(e)) => {
            log::warn!(
                key:% = driver.run.id.key, reason:% = e;
                "Engine sends no response head; resuming the run."
            );
            None
        }
    };
    let ended = stream_to_end(driver, engine, permit, stream, Progress::default()).await;
    ended.map_err(as_dispatched_refusal)?;
    Ok(None)
}

/// Resumes a run whose runner died, from the first token that this instance does not have yet.
///
/// # Errors
///
/// Returns `AnswerLost` if the run is not a completion or its upstream cannot resume it.
pub async fn take_over(driver: &RunDriver, upstream: UpstreamName) -> Result<(), Refusal> {
    let lost = Refusal::permanent(ErrorKind::AnswerLost);
    if matches!(driver.work.body, Body::Plain { .. }) {
        return Err(lost);
    }
    let permit = driver.adopt_permit(upstream).await;
    let engine = engine_run(driver, &permit).ok_or(lost)?;
    let mut progress = Progress { tokens: driver.run.text_part_count(), ..Progress::default() };
    let stream =
        resume(&engine, &mut progress, UpstreamError::Interrupted).await.map_err(|_| lost)?;
    let ended = stream_to_end(driver, engine, permit, Some(stream), progress).await;
    ended.map_err(as_dispatched_refusal)
}

/// Replaces a refusal that says "not run" by `AnswerLost`, since the run was dispatched. A parked
/// run that gets no second permit is lost, and a repeat must not treat it as a run that never
/// started.
fn as_dispatched_refusal(refusal: Refusal) -> Refusal {
    match refusal.kind.answer().run {
        RunState::NotRun => Refusal::permanent(ErrorKind::AnswerLost),
        RunState::Ran | RunState::MayHaveRun => refusal,
    }
}

/// Streams an answer to its end; resumes the stream after failures and moves the run when it is
/// parked.
async fn stream_to_end(
    driver: &RunDriver,
    mut engine: EngineRun,
    mut permit: Permit,
    mut stream: Option<TokenStream>,
    mut progress: Progress,
) -> Result<(), Refusal> {
    loop {
        let end = match stream.take() {
            Some(stream) => progress.read(driver, &mut permit, stream).await,
            None => StreamEnd::Failed(UpstreamError::Interrupted),
        };
        match end {
            StreamEnd::Complete => {
                driver.node.metrics.prefilled(&driver.series, progress.prefilled_tokens);
                permit.release(Outcome::Finished(progress.tokens as u32));
                return Ok(());
            }
            StreamEnd::Orphaned => {
                driver.run.record_step(Step::Cancelled);
                driver.node.metrics.wasted(&driver.series, driver.prompt_tokens());
                engine.cancel().await;
                permit.release(Outcome::Cancelled);
                return Err(Refusal::permanent(ErrorKind::AnswerLost));
            }
            StreamEnd::ParkRequested => {
                let parked = park(driver, &mut engine, permit, &progress).await?;
                permit = parked.permit;
                stream = parked.stream;
            }
            StreamEnd::Failed(e) => {
                driver.run.record_step(Step::Interrupted);
                if !engine.is_up().await {
                    permit.report_crash().await;
                }
                match resume(&engine, &mut progress, e).await {
                    Ok(resumed) => stream = Some(resumed),
                    Err(error) => {
                        permit.report_crash().await;
                        // An engine that is up and still knows the run stays in use by the gate: a
                        // runner that has died since had it stop the run.
                        if error == ResumeError::UnknownRun || !engine.is_up().await {
                            permit.report_unreachable();
                        }
                        return Err(Refusal::permanent(ErrorKind::AnswerLost));
                    }
                }
            }
        }
    }
}

/// Progress of an answer.
#[derive(Debug, Default)]
struct Progress {
    tokens: u64,
    resume_attempts: u32,
    last_token: Option<Duration>,
    prefilled_tokens: u64,
}

impl Progress {
    fn count_token(&mut self, driver: &RunDriver, usage: Option<Usage>) {
        let now = clock::now();
        match self.last_token {
            None => driver.record_time(Timer::FirstToken),
            Some(last) => {
                let gap = now.saturating_sub(last);
                driver.node.metrics.time(Timer::BetweenTokens, &driver.series, gap);
            }
        }
        self.last_token = Some(now);
        self.tokens += 1;
        self.resume_attempts = 0;
        if let Some(usage) = usage {
            self.prefilled_tokens =
                usage.prompt_tokens.saturating_sub(usage.prompt_tokens_details.cached_tokens);
        }
    }

    async fn read(
        &mut self,
        driver: &RunDriver,
        permit: &mut Permit,
        mut stream: TokenStream,
    ) -> StreamEnd {
        let orphan_timeout = driver.node.settings.timing.orphan_retention();
        let orphaned = driver.run.orphaned(orphan_timeout);
        tokio::pin!(orphaned);
        let cancel_if_orphaned = driver.work.service.idempotent;
        let mut finish = None;
        let mut has_token = false;
        let mut park_pending = false;
        loop {
            if park_pending && has_token {
                return StreamEnd::ParkRequested;
            }
            let part = tokio::select! {
                part = stream.next() => part,
                // A run is parked only after its first token, so that its prefill is not repeated.
                () = permit.park_requested(), if !park_pending => {
                    park_pending = true;
                    continue;
                }
                () = &mut orphaned, if cancel_if_orphaned => return StreamEnd::Orphaned,
            };
            match part {
                Ok(Part::Token { text, finish_reason, usage, .. }) => {
                    // Also sent for the first token after parking, since the gate measures the time
                    // from each grant to its first token.
                    if !has_token {
                        has_token = true;
                        permit.report_first_token();
                    }
                    self.count_token(driver, usage);
                    driver.run.push(RunPart::Text(text));
                    finish = finish_reason;
                }
                Ok(Part::Done) => {
                    let finish_reason = finish.unwrap_or_default();
                    driver.run.push(RunPart::End { finish_reason });
                    return StreamEnd::Complete;
                }
                Err(e) => return StreamEnd::Failed(e),
            }
        }
    }
}

fn engine_run(driver: &RunDriver, permit: &Permit) -> Option<EngineRun> {
    let address = driver.work.address(&permit.upstream)?;
    let checks = ResponseChecks::new(&driver.node.settings.test);
    Some(EngineRun { address, id: driver.work.upstream_id(), checks })
}

fn completion_call(driver: &RunDriver, kv: Option<KvTransfer>, resume_from: u64) -> CompletionCall {
    let (prompt, max_tokens, sampling) = match &driver.work.body {
        Body::Completion { prompt, max_tokens, sampling } => {
            (prompt.clone(), *max_tokens, sampling.clone())
        }
        Body::Plain { .. } => (String::new(), 0, Sampling::default()),
    };
    CompletionCall {
        model: driver.work.pool.model.clone(),
        prompt,
        max_tokens,
        stream: true,
        sampling,
        resume_from: kv.is_some().then_some(resume_from),
        kv_transfer_params: kv,
    }
}

/// Why a stream could not be resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResumeError {
    /// The engine does not know the run.
    UnknownRun,
    /// All `MAX_RESUME_ATTEMPTS` attempts failed.
    AttemptsExhausted,
}

async fn resume(
    engine: &EngineRun,
    progress: &mut Progress,
    cause: UpstreamError,
) -> Result<TokenStream, ResumeError> {
    let mut cause = cause;
    while progress.resume_attempts < MAX_RESUME_ATTEMPTS {
        progress.resume_attempts += 1;
        log::warn!(
            run:% = engine.id, from = progress.tokens, reason:% = cause;
            "Stream fails; resuming it at the engine."
        );
        match engine.resume(progress.tokens).await {
            Ok(stream) => return Ok(stream),
            Err(UpstreamError::Unknown) => return Err(ResumeError::UnknownRun),
            Err(e) => cause = e,
        }
        tokio::time::sleep(RESUME_INTERVAL).await;
    }
    Err(ResumeError::AttemptsExhausted)
}

/// A parked run after it got a new permit. `stream` is `None` if the run has to be resumed first.
struct Parked {
    permit: Permit,
    stream: Option<TokenStream>,
}

/// Exports the KV cache of a run, releases its room, waits at the gate and imports the run at the
/// upstream of the new permit.
async fn park(
    driver: &RunDriver,
    engine: &mut EngineRun,
    permit: Permit,
    progress: &Progress,
) -> Result<Parked, Refusal> {
    let exported = match engine.export().await {
        Ok(exported) => exported,
        Err(e) => {
            log::warn!(
                run:% = engine.id, reason:% = e;
                "Engine does not export a run; resuming it unparked."
            );
            return Ok(Parked { permit, stream: None });
        }
    };
    driver.run.record_step(Step::Parked);
    driver.node.metrics.parked(&driver.series);
    log::info!(
        run:% = engine.id, generated = exported.generated;
        "Run is parked; waiting for a new permit."
    );
    let generated_tokens = progress.tokens as u32;
    let resume = Resume { kv_exported: true, generated_tokens };
    let permit = match permit.request_again(resume).await {
        Ok(permit) => permit,
        Err(_) => driver.acquire_permit_to_resume(resume).await?,
    };
    driver.run.record_step(Step::Permitted(permit.upstream.clone()));
    let address = driver.work.address(&permit.upstream);
    engine.address = address.ok_or(Refusal::permanent(ErrorKind::NoUpstream))?;
    let call = completion_call(driver, Some(exported.kv_transfer_params), progress.tokens);
    permit.report_dispatch();
    let stream = match engine.import(&call).await {
        Ok(stream) => Some(stream),
        Err(e @ UpstreamError::Status(_)) => {
            // The engine is up. The exported cache has expired, or was lost with the engine that
            // exported it.
            log::warn!(
                run:% = engine.id, reason:% = e;
                "Engine rejects a parked run; the run fails."
            );
            driver.node.metrics.wasted(&driver.series, driver.prompt_tokens());
            permit.release(Outcome::Cancelled);
            return Err(Refusal::permanent(ErrorKind::AnswerLost));
        }
        Err(_) => None,
    };
    Ok(Parked { permit, stream })
}
