//! Runs a completion on an engine: streams it, resumes it after a cut, parks it on demand.

use std::time::Duration;

use lacewingspring_core::{
    error::{ErrorKind, RunState},
    gate::{Outcome, Resume},
    names::UpstreamName,
    request::{Claimed, Request},
};

use super::{Body, Refusal, Step, drive::Drive, permit::Permit};
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

/// Attempts to resume one stream in a row without a new token.
const MAX_RESUMES: u32 = 5;

/// Time between two attempts to resume a stream.
const RESUME_INTERVAL: Duration = Duration::from_millis(100);

/// Why a stretch of streaming ended.
enum Stretch {
    /// The whole answer arrived.
    Whole,
    /// The gate wants the run parked.
    ParkWanted,
    /// Nobody waits for the answer any more.
    Orphaned,
    /// The exchange failed.
    Broken(UpstreamError),
}

/// Runs the completion; returns the request when no byte went out.
///
/// # Errors
///
/// Fails with `AnswerLost` when the run was cut and can't be resumed.
pub async fn run(
    drive: &Drive,
    request: Request<Claimed>,
    mut permit: Permit,
) -> Result<Option<Request<Claimed>>, Refusal> {
    let Some(engine) = engine(drive, &permit) else {
        permit.release(Outcome::Cancelled);
        return Err(Refusal::last(ErrorKind::NoUpstream));
    };
    drive.dispatched();
    permit.dispatched();
    let proof = request.permitted(permit.upstream.clone()).dispatch();
    let stream = match engine.dispatch(proof, &call(drive, None, 0)).await {
        Ok(stream) => Some(stream),
        Err(DispatchError::NotSent(proof)) => {
            drive.unsent(&permit.upstream);
            permit.unreachable();
            return Ok(Some(proof.unsent()));
        }
        Err(DispatchError::Failed(e @ UpstreamError::Status(_))) => {
            log::warn!(key:% = drive.run.id.key, reason:% = e; "An engine refused a request.");
            permit.release(Outcome::Failed);
            return Err(Refusal::last(ErrorKind::AnswerLost));
        }
        Err(DispatchError::Failed(e)) => {
            log::warn!(key:% = drive.run.id.key, reason:% = e; "Lost the head of an answer.");
            None
        }
    };
    let ended = stream_to_end(drive, engine, permit, stream, Progress::default()).await;
    ended.map_err(after_dispatch)?;
    Ok(None)
}

/// Goes on with a run whose runner died, from the token that is not here yet.
///
/// # Errors
///
/// Fails with `AnswerLost` when the run can't be resumed at its upstream.
pub async fn take_over(drive: &Drive, upstream: UpstreamName) -> Result<(), Refusal> {
    let lost = Refusal::last(ErrorKind::AnswerLost);
    if matches!(drive.work.body, Body::Plain { .. }) {
        return Err(lost);
    }
    let permit = drive.adopt_permit(upstream).await;
    let engine = engine(drive, &permit).ok_or(lost)?;
    let mut progress = Progress { tokens: drive.run.texts(), ..Progress::default() };
    let stream =
        resume(&engine, &mut progress, UpstreamError::Interrupted).await.map_err(|_| lost)?;
    let ended = stream_to_end(drive, engine, permit, Some(stream), progress).await;
    ended.map_err(after_dispatch)
}

/// Makes a refusal true for a run that was dispatched: a parked run that finds no room again is
/// lost, and a repeat must not take it for one that never ran.
fn after_dispatch(refusal: Refusal) -> Refusal {
    match refusal.kind.answer().run {
        RunState::NotRun => Refusal::last(ErrorKind::AnswerLost),
        RunState::Ran | RunState::MayHaveRun => refusal,
    }
}

/// Streams an answer to its end, over cuts and parking.
async fn stream_to_end(
    drive: &Drive,
    mut engine: EngineRun,
    mut permit: Permit,
    mut stream: Option<TokenStream>,
    mut progress: Progress,
) -> Result<(), Refusal> {
    loop {
        let stretch = match stream.take() {
            Some(stream) => progress.read(drive, &mut permit, stream).await,
            None => Stretch::Broken(UpstreamError::Interrupted),
        };
        match stretch {
            Stretch::Whole => {
                drive.node.metrics.prefilled(&drive.series, progress.prefilled);
                permit.release(Outcome::Finished(progress.tokens as u32));
                return Ok(());
            }
            Stretch::Orphaned => {
                drive.run.note(Step::Cancelled);
                drive.node.metrics.wasted(&drive.series, drive.prompt_tokens());
                engine.cancel().await;
                permit.release(Outcome::Cancelled);
                return Err(Refusal::last(ErrorKind::AnswerLost));
            }
            Stretch::ParkWanted => {
                let parked = park(drive, &mut engine, permit, &progress).await?;
                permit = parked.permit;
                stream = parked.stream;
            }
            Stretch::Broken(e) => {
                drive.run.note(Step::Cut);
                if !engine.is_up().await {
                    permit.crashed().await;
                }
                match resume(&engine, &mut progress, e).await {
                    Ok(resumed) => stream = Some(resumed),
                    Err(loss) => {
                        permit.crashed().await;
                        // One that is up and knows the run has not crashed: it stopped the run for
                        // a runner that died since.
                        if loss == Loss::Forgotten || !engine.is_up().await {
                            permit.unreachable();
                        }
                        return Err(Refusal::last(ErrorKind::AnswerLost));
                    }
                }
            }
        }
    }
}

/// How far an answer has come.
#[derive(Debug, Default)]
struct Progress {
    tokens: u64,
    resumes: u32,
    last_token: Option<Duration>,
    prefilled: u64,
}

impl Progress {
    fn count_token(&mut self, drive: &Drive, usage: Option<Usage>) {
        let now = clock::now();
        match self.last_token {
            None => drive.time(Timer::FirstToken),
            Some(last) => {
                let gap = now.saturating_sub(last);
                drive.node.metrics.time(Timer::BetweenTokens, &drive.series, gap);
            }
        }
        self.last_token = Some(now);
        self.tokens += 1;
        self.resumes = 0;
        if let Some(usage) = usage {
            self.prefilled =
                usage.prompt_tokens.saturating_sub(usage.prompt_tokens_details.cached_tokens);
        }
    }

    async fn read(
        &mut self,
        drive: &Drive,
        permit: &mut Permit,
        mut stream: TokenStream,
    ) -> Stretch {
        let orphan = drive.node.settings.timing.orphan();
        let orphaned = drive.run.orphaned(orphan);
        tokio::pin!(orphaned);
        let cancels = drive.work.service.idempotent;
        let mut finish = None;
        let mut announced = false;
        let mut park_due = false;
        loop {
            if park_due && announced {
                return Stretch::ParkWanted;
            }
            let part = tokio::select! {
                part = stream.next() => part,
                // A run is parked after its first token, so that its prefill is not done twice.
                () = permit.park_wanted(), if !park_due => {
                    park_due = true;
                    continue;
                }
                () = &mut orphaned, if cancels => return Stretch::Orphaned,
            };
            match part {
                Ok(Part::Token { text, finish_reason, usage, .. }) => {
                    // Also the first one after parking: the gate times each grant.
                    if !announced {
                        announced = true;
                        permit.first_token();
                    }
                    self.count_token(drive, usage);
                    drive.run.push(RunPart::Text(text));
                    finish = finish_reason;
                }
                Ok(Part::Done) => {
                    let finish_reason = finish.unwrap_or_default();
                    drive.run.push(RunPart::End { finish_reason });
                    return Stretch::Whole;
                }
                Err(e) => return Stretch::Broken(e),
            }
        }
    }
}

fn engine(drive: &Drive, permit: &Permit) -> Option<EngineRun> {
    let address = drive.work.address(&permit.upstream)?;
    let checks = ResponseChecks::new(&drive.node.settings.test);
    Some(EngineRun { address, id: drive.work.upstream_id(), checks })
}

fn call(drive: &Drive, kv: Option<KvTransfer>, resume_from: u64) -> CompletionCall {
    let (prompt, max_tokens, sampling) = match &drive.work.body {
        Body::Completion { prompt, max_tokens, sampling } => {
            (prompt.clone(), *max_tokens, sampling.clone())
        }
        Body::Plain { .. } => (String::new(), 0, Sampling::default()),
    };
    CompletionCall {
        model: drive.work.pool.model.clone(),
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
enum Loss {
    /// The engine does not know the run.
    Forgotten,
    /// All attempts failed.
    Attempts,
}

async fn resume(
    engine: &EngineRun,
    progress: &mut Progress,
    cause: UpstreamError,
) -> Result<TokenStream, Loss> {
    let mut cause = cause;
    while progress.resumes < MAX_RESUMES {
        progress.resumes += 1;
        log::warn!(run:% = engine.id, from = progress.tokens, reason:% = cause; "Resumes a stream.");
        match engine.resume(progress.tokens).await {
            Ok(stream) => return Ok(stream),
            Err(UpstreamError::Unknown) => return Err(Loss::Forgotten),
            Err(e) => cause = e,
        }
        tokio::time::sleep(RESUME_INTERVAL).await;
    }
    Err(Loss::Attempts)
}

/// A run after it was parked and permitted again.
struct Parked {
    permit: Permit,
    stream: Option<TokenStream>,
}

/// Exports the run, frees its room, waits at the gate and imports the run where it may go on.
async fn park(
    drive: &Drive,
    engine: &mut EngineRun,
    permit: Permit,
    progress: &Progress,
) -> Result<Parked, Refusal> {
    let exported = match engine.export().await {
        Ok(exported) => exported,
        Err(e) => {
            log::warn!(run:% = engine.id, reason:% = e; "Could not park a run.");
            return Ok(Parked { permit, stream: None });
        }
    };
    drive.run.note(Step::Parked);
    drive.node.metrics.parked(&drive.series);
    log::info!(run:% = engine.id, generated = exported.generated; "Parked a run.");
    let generated_tokens = progress.tokens as u32;
    let resume = Resume { kv_exported: true, generated_tokens };
    let permit = match permit.ask_again(resume).await {
        Ok(permit) => permit,
        Err(_) => drive.permit_to_resume(resume).await?,
    };
    drive.run.note(Step::Permitted(permit.upstream.clone()));
    let address = drive.work.address(&permit.upstream);
    engine.address = address.ok_or(Refusal::last(ErrorKind::NoUpstream))?;
    let call = call(drive, Some(exported.kv_transfer_params), progress.tokens);
    permit.dispatched();
    let stream = match engine.import(&call).await {
        Ok(stream) => Some(stream),
        Err(e @ UpstreamError::Status(_)) => {
            // The engine is up. The cache lapsed, or was lost with the engine that exported it.
            log::warn!(run:% = engine.id, reason:% = e; "Could not bring a parked run back.");
            drive.node.metrics.wasted(&drive.series, drive.prompt_tokens());
            permit.release(Outcome::Cancelled);
            return Err(Refusal::last(ErrorKind::AnswerLost));
        }
        Err(_) => None,
    };
    Ok(Parked { permit, stream })
}
