//! One caller: sends its request, repeats it when late, comes back when refused.

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
    addresses::AddressBooks,
    arrivals::Arrival,
    baseline::Baseline,
    client::{Answer, ExchangeError, Send, Whole, open},
    outcome::{Outcome, Verdict},
    scenario::{Class, ClassBody, Scenario},
};
use crate::engine;

/// Header with the time to come back, in milliseconds.
const RETRY_AFTER_MS: &str = "retry-after-ms";

/// Model that the engines serve.
pub const MODEL: &str = "model";

/// Pause before a request is sent again after a cut.
const CUT_PAUSE: Duration = Duration::from_millis(100);

/// Where requests are sent.
#[derive(Debug)]
pub enum Route {
    /// To the instances of the fleet.
    Fleet(AddressBooks),
    /// Straight to the upstreams.
    Upstreams(Baseline),
}

/// What all callers of a run share.
#[derive(Debug)]
pub struct Shared {
    /// Scenario.
    pub scenario: Scenario,
    /// Where requests are sent.
    pub route: Route,
    /// Start of the load.
    pub start: Instant,
    /// Seed of the run, a part of all keys.
    pub seed: u64,
}

/// One caller with its request.
#[derive(Debug)]
pub struct Caller {
    shared: Arc<Shared>,
    arrival: Arrival,
}

/// Result of one try.
#[derive(Debug)]
enum Try {
    /// The answer ended; the delay is that of the network.
    Whole(Whole, Duration),
    /// Not run; the time to come back, if that is of use.
    Refused(Option<Duration>),
    /// It may have run; the same key may be sent again after a time.
    Cut(Duration),
    /// It may have run, and the key is used up.
    Lost,
}

/// Cancels a run at an engine when its reader goes away, as an entry would.
struct CancelOnDrop {
    engine: SocketAddr,
    path: String,
    armed: bool,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if self.armed {
            let (engine, send) = (self.engine, Send::new("DELETE", self.path.clone()));
            tokio::spawn(async move { open(engine, &send).await.map(|answer| answer.status) });
        }
    }
}

impl Caller {
    /// Makes the caller of a request.
    pub fn new(shared: Arc<Shared>, arrival: Arrival) -> Self {
        Self { shared, arrival }
    }

    /// Waits for the arrival, and returns what became of the request.
    pub async fn run(self) -> Outcome {
        let at = self.shared.start + self.arrival.at;
        sleep_until(at.into()).await;
        let deadline = at + Duration::from_millis(self.class().deadline_ms);
        match timeout_at(deadline.into(), self.tries(deadline)).await {
            Ok(outcome) => outcome,
            Err(_) => Outcome::without_answer(self.arrival.number, Verdict::Abandoned),
        }
    }

    fn class(&self) -> &Class {
        &self.shared.scenario.deployment.classes[self.arrival.class]
    }

    async fn tries(&self, deadline: Instant) -> Outcome {
        let mut rng = Pcg64::seed_from_u64(self.arrival.seed);
        let mut verdict = Verdict::Refused;
        let mut uses = 0;
        for _ in 0..self.shared.scenario.load.tries {
            let key = format!("r{}-{}-{uses}", self.shared.seed, self.arrival.number);
            match self.try_with_repeat(&key, deadline, &mut rng).await {
                Try::Whole(whole, delay) => return self.answered(&whole, delay),
                Try::Refused(Some(after)) => {
                    verdict = Verdict::Refused;
                    sleep(after).await;
                }
                Try::Refused(None) => {
                    verdict = Verdict::Refused;
                    break;
                }
                Try::Cut(after) => {
                    verdict = Verdict::MayHaveRun;
                    sleep(after).await;
                }
                Try::Lost => {
                    verdict = Verdict::MayHaveRun;
                    if !self.class().idempotent {
                        break;
                    }
                    uses += 1;
                }
            }
        }
        Outcome::without_answer(self.arrival.number, verdict)
    }

    /// Sends the request, and once more with the same key elsewhere when nothing arrives in time.
    async fn try_with_repeat(&self, key: &str, deadline: Instant, rng: &mut Pcg64) -> Try {
        let mut other_rng = rng.clone();
        let seen = AtomicBool::new(false);
        let used = std::sync::Mutex::new(Vec::new());
        let first = self.send(key, deadline, rng, &seen, &used);
        tokio::pin!(first);
        let after = Duration::from_millis(self.shared.scenario.load.repeats.after_ms);
        tokio::select! {
            result = &mut first => return result,
            () = sleep(after), if self.arrival.repeats => {}
        }
        if seen.load(Ordering::Relaxed) {
            return first.await;
        }
        let second = self.send(key, deadline, &mut other_rng, &seen, &used);
        tokio::pin!(second);
        tokio::select! {
            result = &mut first => match result {
                Try::Whole(..) => result,
                _ => surer(result, second.await),
            },
            result = &mut second => match result {
                Try::Whole(..) => result,
                _ => surer(result, first.await),
            },
        }
    }

    async fn send(
        &self,
        key: &str,
        deadline: Instant,
        rng: &mut Pcg64,
        seen: &AtomicBool,
        used: &std::sync::Mutex<Vec<SocketAddr>>,
    ) -> Try {
        match &self.shared.route {
            Route::Fleet(books) => self.send_to_fleet(books, key, deadline, rng, seen, used).await,
            Route::Upstreams(entries) => self.send_to_upstream(entries, key, rng, seen).await,
        }
    }

    async fn send_to_fleet(
        &self,
        books: &AddressBooks,
        key: &str,
        deadline: Instant,
        rng: &mut Pcg64,
        seen: &AtomicBool,
        used: &std::sync::Mutex<Vec<SocketAddr>>,
    ) -> Try {
        let deployment = &self.shared.scenario.deployment;
        for _ in 0..=deployment.instances {
            let avoid = crate::http::lock(used).clone();
            let Some(address) = books.choose(self.arrival.home, rng, &avoid).await else {
                break;
            };
            crate::http::lock(used).push(address);
            let near = books.is_in(address, self.arrival.home);
            let delay = deployment.delays.one_way(near);
            sleep(delay).await;
            match open(address, &self.fleet_call(key, deadline)).await {
                Ok(answer) if answer.status == 200 => return self.read(answer, seen, delay).await,
                Ok(answer) => {
                    sleep(delay).await;
                    return problem(answer).await;
                }
                Err(ExchangeError::NotSent) => {}
                Err(_) => return Try::Cut(CUT_PAUSE),
            }
        }
        Try::Refused(Some(CUT_PAUSE))
    }

    async fn send_to_upstream(
        &self,
        entries: &Baseline,
        key: &str,
        rng: &mut Pcg64,
        seen: &AtomicBool,
    ) -> Try {
        let deployment = &self.shared.scenario.deployment;
        let delay = deployment.delays.one_way(true);
        sleep(delay).await;
        let plain = matches!(self.class().body, ClassBody::Plain);
        for _ in 0..=deployment.engines().len() {
            let upstream = if plain { entries.plain(rng) } else { entries.engine(rng) };
            let path = format!("/v1/completions/{key}");
            let mut cancel = CancelOnDrop { engine: upstream, path, armed: !plain };
            match open(upstream, &self.upstream_call(key)).await {
                Ok(answer) if answer.status == 200 => {
                    let result = self.read(answer, seen, delay).await;
                    cancel.armed = false;
                    // Plain servers know no keys, so a cut call can't be sent again.
                    return if plain && matches!(result, Try::Cut(_)) { Try::Lost } else { result };
                }
                Ok(_) | Err(ExchangeError::NotSent) => cancel.armed = false,
                Err(_) => {
                    cancel.armed = false;
                    return Try::Lost;
                }
            }
        }
        Try::Refused(Some(CUT_PAUSE))
    }

    async fn read(&self, answer: Answer, seen: &AtomicBool, delay: Duration) -> Try {
        let whole = match self.class().body {
            ClassBody::Completion { .. } => {
                answer.tokens(|| seen.store(true, Ordering::Relaxed)).await
            }
            ClassBody::Plain => answer.text().await.map(|text| {
                seen.store(true, Ordering::Relaxed);
                Whole { text, tokens: vec![Instant::now()] }
            }),
        };
        match whole {
            Ok(whole) => {
                sleep(delay).await;
                Try::Whole(whole, delay)
            }
            Err(ExchangeError::Failed) => Try::Lost,
            Err(_) => Try::Cut(CUT_PAUSE),
        }
    }

    fn fleet_call(&self, key: &str, deadline: Instant) -> Send {
        let deployment = &self.shared.scenario.deployment;
        let left = deadline.saturating_duration_since(Instant::now()).as_millis().max(1);
        let token = &deployment.workspaces[self.arrival.workspace].token;
        let headers = vec![
            ("authorization", format!("Bearer {token}")),
            ("idempotency-key", key.to_owned()),
            ("request-timeout-ms", left.to_string()),
        ];
        let service = &self.class().name;
        match self.class().body {
            ClassBody::Completion { .. } => {
                let body = self.completion(service);
                Send { method: "POST", path: "/v1/completions".to_owned(), headers, body }
            }
            ClassBody::Plain => {
                let path = format!("/services/{service}/act");
                Send { method: "POST", path, headers, body: self.arrival.text.clone() }
            }
        }
    }

    fn upstream_call(&self, key: &str) -> Send {
        let headers = vec![("x-request-id", key.to_owned()), ("idempotency-key", key.to_owned())];
        match self.class().body {
            ClassBody::Completion { .. } => {
                let body = self.completion(MODEL);
                Send { method: "POST", path: "/v1/completions".to_owned(), headers, body }
            }
            ClassBody::Plain => {
                let body = self.arrival.text.clone();
                Send { method: "POST", path: "/act".to_owned(), headers, body }
            }
        }
    }

    fn completion(&self, model: &str) -> String {
        let (prompt, max_tokens) = (&self.arrival.text, self.arrival.output_tokens);
        json!({ "model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": true })
            .to_string()
    }

    fn answered(&self, whole: &Whole, delay: Duration) -> Outcome {
        let arrived = self.shared.start + self.arrival.at;
        let first = whole.tokens.first().map(|at| at.duration_since(arrived) + delay);
        let gaps = whole.tokens.windows(2).map(|pair| pair[1].duration_since(pair[0])).collect();
        let verdict = if self.is_right(whole) { Verdict::Answered } else { Verdict::Wrong };
        Outcome { number: self.arrival.number, verdict, first_token: first, gaps }
    }

    fn is_right(&self, whole: &Whole) -> bool {
        match self.class().body {
            ClassBody::Completion { .. } => {
                let tokens = u64::from(self.arrival.output_tokens);
                whole.text == engine::answer(&self.arrival.text, tokens)
            }
            ClassBody::Plain => {
                let body: Value = serde_json::from_str(&whole.text).unwrap_or_default();
                body["confirmation"].is_string()
            }
        }
    }
}

/// Of two results without an answer, the one that says more about a run.
fn surer(one: Try, other: Try) -> Try {
    match (&one, &other) {
        (_, Try::Whole(..)) | (Try::Refused(_), _) => other,
        _ => one,
    }
}

/// Reads problem details (RFC 9457).
async fn problem(answer: Answer) -> Try {
    let after = answer.headers.get(RETRY_AFTER_MS).and_then(|value| value.to_str().ok());
    let after = after.and_then(|text| text.parse().ok()).map(Duration::from_millis);
    let body = answer.text().await.unwrap_or_default();
    let body: Value = serde_json::from_str(&body).unwrap_or_default();
    match (body["run"].as_str(), after) {
        (Some("not_run"), after) => Try::Refused(after),
        (_, Some(after)) => Try::Cut(after),
        (_, None) => Try::Lost,
    }
}
