//! One caller: sends its request, repeats it if the output is late, retries it if it is refused.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use rand::SeedableRng;
use rand_pcg::Pcg64;
use serde_json::{Value, json};
use tokio::time::{sleep, sleep_until, timeout_at};

use super::{
    addresses::AddressCache,
    arrivals::Arrival,
    baseline::Baseline,
    client::{CompleteResponse, ExchangeError, IncomingResponse, OutgoingRequest, send_request},
    outcome::{Outcome, Verdict},
    scenario::{Class, ClassBody, Scenario},
};
use crate::engine;

/// Response header with the time after which to retry, in milliseconds.
const RETRY_AFTER_MS: &str = "retry-after-ms";

/// Name of the model that the engines serve.
pub const MODEL: &str = "model";

/// Pause before a retry for which no response named one: after an interrupted exchange, or if no
/// instance or upstream took the request.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Where requests are sent.
#[derive(Debug)]
pub enum Route {
    /// To the instances, at addresses from the cache.
    Fleet(AddressCache),
    /// Directly to the upstreams, through a baseline policy.
    Upstreams(Baseline),
}

/// State shared by all callers of a run.
#[derive(Debug)]
pub struct RunContext {
    /// Scenario of the run.
    pub scenario: Scenario,
    /// Where requests are sent.
    pub route: Route,
    /// Start of the load; arrival times count from here.
    pub start: Instant,
    /// Seed of the run, part of every idempotency key.
    pub seed: u64,
}

/// Caller of a single request.
#[derive(Debug)]
pub struct Caller {
    context: Arc<RunContext>,
    arrival: Arrival,
}

/// Result of one attempt.
#[derive(Debug)]
enum Attempt {
    /// The complete response arrived; the duration is the simulated one-way network delay.
    Completed(CompleteResponse, Duration),
    /// The request did not run; the duration is the pause before a retry, `None` if a retry is
    /// futile.
    Refused(Option<Duration>),
    /// The request may have run; the same key may be sent again after the pause.
    Interrupted(Duration),
    /// The request may have run, and the key can't be sent again.
    Lost,
}

/// Cancels the run at an engine if the caller stops reading, as a load balancer would.
struct CancelOnDrop {
    engine: SocketAddr,
    path: String,
    armed: bool,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if self.armed {
            let (engine, request) =
                (self.engine, OutgoingRequest::new("DELETE", self.path.clone()));
            tokio::spawn(
                async move { send_request(engine, &request).await.map(|reply| reply.status) },
            );
        }
    }
}

impl Caller {
    /// Creates the caller of a request.
    pub fn new(context: Arc<RunContext>, arrival: Arrival) -> Self {
        Self { context, arrival }
    }

    /// Waits for the arrival time, sends the request and returns its outcome.
    pub async fn run(self) -> Outcome {
        let at = self.context.start + self.arrival.at;
        sleep_until(at.into()).await;
        let deadline = at + Duration::from_millis(self.class().deadline_ms);
        match timeout_at(deadline.into(), self.send_with_retries(deadline)).await {
            Ok(outcome) => outcome,
            Err(_) => Outcome::without_answer(self.arrival.number, Verdict::Abandoned),
        }
    }

    fn class(&self) -> &Class {
        &self.context.scenario.deployment.classes[self.arrival.class]
    }

    /// Makes up to `tries` attempts; after a lost one, only idempotent requests get a new key.
    async fn send_with_retries(&self, deadline: Instant) -> Outcome {
        let mut rng = Pcg64::seed_from_u64(self.arrival.seed);
        let mut verdict = Verdict::Refused;
        let mut key_number = 0;
        for _ in 0..self.context.scenario.load.tries {
            let key = format!("r{}-{}-{key_number}", self.context.seed, self.arrival.number);
            match self.attempt_with_repeat(&key, deadline, &mut rng).await {
                Attempt::Completed(complete, delay) => return self.outcome_of(&complete, delay),
                Attempt::Refused(Some(retry_after)) => {
                    verdict = Verdict::Refused;
                    sleep(retry_after).await;
                }
                Attempt::Refused(None) => {
                    verdict = Verdict::Refused;
                    break;
                }
                Attempt::Interrupted(retry_after) => {
                    verdict = Verdict::MayHaveRun;
                    sleep(retry_after).await;
                }
                Attempt::Lost => {
                    verdict = Verdict::MayHaveRun;
                    if !self.class().idempotent {
                        break;
                    }
                    key_number += 1;
                }
            }
        }
        Outcome::without_answer(self.arrival.number, verdict)
    }

    /// Sends the request; if the caller repeats late requests and no output arrives in time, sends
    /// it a second time with the same key, to another address if there is one.
    async fn attempt_with_repeat(&self, key: &str, deadline: Instant, rng: &mut Pcg64) -> Attempt {
        let mut repeat_rng = rng.clone();
        let started = AtomicBool::new(false);
        let tried_addresses = std::sync::Mutex::new(Vec::new());
        let first = self.attempt(key, deadline, rng, &started, &tried_addresses);
        tokio::pin!(first);
        let repeat_after = Duration::from_millis(self.context.scenario.load.repeats.after_ms);
        tokio::select! {
            result = &mut first => return result,
            () = sleep(repeat_after), if self.arrival.repeats => {}
        }
        if started.load(Ordering::Relaxed) {
            return first.await;
        }
        let second = self.attempt(key, deadline, &mut repeat_rng, &started, &tried_addresses);
        tokio::pin!(second);
        tokio::select! {
            result = &mut first => match result {
                Attempt::Completed(..) => result,
                _ => more_informative(result, second.await),
            },
            result = &mut second => match result {
                Attempt::Completed(..) => result,
                _ => more_informative(result, first.await),
            },
        }
    }

    async fn attempt(
        &self,
        key: &str,
        deadline: Instant,
        rng: &mut Pcg64,
        started: &AtomicBool,
        tried_addresses: &std::sync::Mutex<Vec<SocketAddr>>,
    ) -> Attempt {
        match &self.context.route {
            Route::Fleet(cache) => {
                self.attempt_through_fleet(cache, key, deadline, rng, started, tried_addresses)
                    .await
            }
            Route::Upstreams(baseline) => {
                self.attempt_at_upstream(baseline, key, rng, started).await
            }
        }
    }

    /// Sends the request to an instance; tries further addresses as long as it could not be sent.
    async fn attempt_through_fleet(
        &self,
        cache: &AddressCache,
        key: &str,
        deadline: Instant,
        rng: &mut Pcg64,
        started: &AtomicBool,
        tried_addresses: &std::sync::Mutex<Vec<SocketAddr>>,
    ) -> Attempt {
        let deployment = &self.context.scenario.deployment;
        for _ in 0..=deployment.instances {
            let avoid = crate::http::lock(tried_addresses).clone();
            let Some(address) = cache.choose(self.arrival.data_centre, rng, &avoid).await else {
                break;
            };
            crate::http::lock(tried_addresses).push(address);
            let same_data_centre = cache.is_in_data_centre(address, self.arrival.data_centre);
            let delay = deployment.delays.one_way(same_data_centre);
            sleep(delay).await;
            match send_request(address, &self.fleet_request(key, deadline)).await {
                Ok(reply) if reply.status == 200 => return self.read(reply, started, delay).await,
                Ok(reply) => {
                    sleep(delay).await;
                    return read_problem(reply).await;
                }
                Err(ExchangeError::NotSent) => {}
                Err(_) => return Attempt::Interrupted(RETRY_DELAY),
            }
        }
        Attempt::Refused(Some(RETRY_DELAY))
    }

    /// Sends the request to an upstream; tries further ones as long as they can't be reached or
    /// respond with a status other than 200.
    async fn attempt_at_upstream(
        &self,
        baseline: &Baseline,
        key: &str,
        rng: &mut Pcg64,
        started: &AtomicBool,
    ) -> Attempt {
        let deployment = &self.context.scenario.deployment;
        let delay = deployment.delays.one_way(true);
        sleep(delay).await;
        let plain = matches!(self.class().body, ClassBody::Plain);
        for _ in 0..=deployment.engines().len() {
            let upstream =
                if plain { baseline.choose_plain_server(rng) } else { baseline.choose_engine(rng) };
            let path = format!("/v1/completions/{key}");
            let mut cancel = CancelOnDrop { engine: upstream, path, armed: !plain };
            match send_request(upstream, &self.upstream_request(key)).await {
                Ok(reply) if reply.status == 200 => {
                    let result = self.read(reply, started, delay).await;
                    cancel.armed = false;
                    // Plain servers ignore keys, so an interrupted call can't be sent again.
                    return if plain && matches!(result, Attempt::Interrupted(_)) {
                        Attempt::Lost
                    } else {
                        result
                    };
                }
                Ok(_) | Err(ExchangeError::NotSent) => cancel.armed = false,
                Err(_) => {
                    cancel.armed = false;
                    return Attempt::Lost;
                }
            }
        }
        Attempt::Refused(Some(RETRY_DELAY))
    }

    /// Reads the response to its end and sets `started` once its first output arrives.
    async fn read(
        &self,
        reply: IncomingResponse,
        started: &AtomicBool,
        delay: Duration,
    ) -> Attempt {
        let complete = match self.class().body {
            ClassBody::Completion { .. } => {
                reply.read_tokens(|| started.store(true, Ordering::Relaxed)).await
            }
            ClassBody::Plain => reply.read_text().await.map(|text| {
                started.store(true, Ordering::Relaxed);
                CompleteResponse { text, token_times: vec![Instant::now()] }
            }),
        };
        match complete {
            Ok(complete) => {
                sleep(delay).await;
                Attempt::Completed(complete, delay)
            }
            Err(ExchangeError::Failed) => Attempt::Lost,
            Err(_) => Attempt::Interrupted(RETRY_DELAY),
        }
    }

    fn fleet_request(&self, key: &str, deadline: Instant) -> OutgoingRequest {
        let deployment = &self.context.scenario.deployment;
        let remaining_ms = deadline.saturating_duration_since(Instant::now()).as_millis().max(1);
        let token = &deployment.workspaces[self.arrival.workspace].token;
        let headers = vec![
            ("authorization", format!("Bearer {token}")),
            ("idempotency-key", key.to_owned()),
            ("request-timeout-ms", remaining_ms.to_string()),
        ];
        let service = &self.class().name;
        self.outgoing_request(service, format!("/services/{service}/act"), headers)
    }

    fn upstream_request(&self, key: &str) -> OutgoingRequest {
        let headers = vec![("x-request-id", key.to_owned()), ("idempotency-key", key.to_owned())];
        self.outgoing_request(MODEL, "/act".to_owned(), headers)
    }

    /// Builds the request for a completion of `model`, or for `plain_path` of a plain service.
    fn outgoing_request(
        &self,
        model: &str,
        plain_path: String,
        headers: Vec<(&'static str, String)>,
    ) -> OutgoingRequest {
        let (path, body) = match self.class().body {
            ClassBody::Completion { .. } => {
                ("/v1/completions".to_owned(), self.completion_body(model))
            }
            ClassBody::Plain => (plain_path, self.arrival.text.clone()),
        };
        OutgoingRequest { method: "POST", path, headers, body }
    }

    fn completion_body(&self, model: &str) -> String {
        let (prompt, max_tokens) = (&self.arrival.text, self.arrival.output_tokens);
        json!({ "model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": true })
            .to_string()
    }

    /// Outcome of a complete response; times are seen by the caller, network delay included.
    fn outcome_of(&self, complete: &CompleteResponse, delay: Duration) -> Outcome {
        let arrived = self.context.start + self.arrival.at;
        let first = complete.token_times.first().map(|at| at.duration_since(arrived) + delay);
        let gaps =
            complete.token_times.windows(2).map(|pair| pair[1].duration_since(pair[0])).collect();
        let verdict = if self.is_expected(complete) { Verdict::Answered } else { Verdict::Wrong };
        Outcome { number: self.arrival.number, verdict, first_token: first, gaps }
    }

    /// Whether the response has the expected text, or the confirmation of a plain call.
    fn is_expected(&self, complete: &CompleteResponse) -> bool {
        match self.class().body {
            ClassBody::Completion { .. } => {
                let tokens = u64::from(self.arrival.output_tokens);
                complete.text == engine::answer(&self.arrival.text, tokens)
            }
            ClassBody::Plain => {
                let body: Value = serde_json::from_str(&complete.text).unwrap_or_default();
                body["confirmation"].is_string()
            }
        }
    }
}

/// Selects the result to report of two attempts, the first of which did not complete.
///
/// A completed attempt ranks first and a refused one last, since after any other result the request
/// may have run.
fn more_informative(one: Attempt, other: Attempt) -> Attempt {
    match (&one, &other) {
        (_, Attempt::Completed(..)) | (Attempt::Refused(_), _) => other,
        _ => one,
    }
}

/// Maps problem details (RFC 9457) and the retry header to the result of an attempt.
async fn read_problem(reply: IncomingResponse) -> Attempt {
    let retry_after = reply.headers.get(RETRY_AFTER_MS).and_then(|value| value.to_str().ok());
    let retry_after = retry_after.and_then(|text| text.parse().ok()).map(Duration::from_millis);
    let body = reply.read_text().await.unwrap_or_default();
    let body: Value = serde_json::from_str(&body).unwrap_or_default();
    match (body["run"].as_str(), retry_after) {
        (Some("not_run"), retry_after) => Attempt::Refused(retry_after),
        (_, Some(retry_after)) => Attempt::Interrupted(retry_after),
        (_, None) => Attempt::Lost,
    }
}
