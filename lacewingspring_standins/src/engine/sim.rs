//! Simulation of continuous batching: each step prefills one chunk and decodes one token a run.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::sync::watch;

use super::{
    Settings,
    answer::block_hashes,
    cache::Cache,
    handles::{self, Handle},
    journal::Journal,
    run::{End, Progress, Request, Run},
};
use crate::time::now_ms;

/// Most prompt tokens computed in a step.
const CHUNK_TOKENS: u64 = 512;
/// Time of an import, in milliseconds.
const IMPORT_MS: u64 = 5;

static ENGINES: AtomicU64 = AtomicU64::new(1);

/// What the engine does next.
pub enum Step {
    /// Nothing to do.
    Idle,
    /// The next prompt crashes the engine.
    Poisoned,
    /// Work for a time, after which the step is finished.
    Work(Duration),
}

/// Numbers of the runs in the engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Running sequences.
    pub running: usize,
    /// Waiting requests.
    pub waiting: usize,
    /// Share of the memory in use, 0 to 1.
    pub kv_usage: f64,
}

/// Runs of one engine, with its cache and journal.
pub struct Sim {
    settings: Settings,
    number: u64,
    next_run: u64,
    runs: BTreeMap<u64, Run>,
    latest: HashMap<String, u64>,
    waiting: VecDeque<u64>,
    /// Running ones, the youngest last.
    running: Vec<u64>,
    /// Runs that decode in the present step.
    decoding: Vec<u64>,
    /// Runs that prefill in the present step, and the tokens of each.
    chunk: Vec<(u64, u64)>,
    /// Prefix cache.
    pub cache: Cache,
    /// Journal.
    pub journal: Journal,
}

impl Sim {
    /// Makes an idle engine.
    pub fn new(settings: Settings) -> Self {
        Self {
            cache: Cache::new(settings.cache_tokens),
            settings,
            number: ENGINES.fetch_add(1, Ordering::Relaxed),
            next_run: 0,
            runs: BTreeMap::new(),
            latest: HashMap::new(),
            waiting: VecDeque::new(),
            running: Vec::new(),
            decoding: Vec::new(),
            chunk: Vec::new(),
            journal: Journal::default(),
        }
    }

    /// Queues a request and returns its progress.
    pub fn add(&mut self, req: Arc<Request>) -> watch::Receiver<Progress> {
        self.forget_old();
        self.journal.arrive(&req);
        let generated = req.resume_from;
        let (progress, rx) = watch::channel(Progress { generated, ..Progress::default() });
        let number = self.next_run;
        self.next_run += 1;
        self.latest.insert(req.id.clone(), number);
        let hashes = block_hashes(&req.prompt);
        let import_due = req.import_left.is_some();
        let prefill_left = req.import_left.unwrap_or(0);
        let run = Run { req, hashes, prefill_left, import_due, progress, ended_ms: None };
        self.runs.insert(number, run);
        self.waiting.push_back(number);
        rx
    }

    /// Finds the latest run of a request.
    pub fn find(&mut self, id: &str) -> Option<&Run> {
        self.forget_old();
        self.runs.get(self.latest.get(id)?)
    }

    /// Ends the latest run of a request before its time; returns whether it did, and none when
    /// the request is unknown.
    pub fn cancel(&mut self, id: &str) -> Option<bool> {
        let &number = self.latest.get(id)?;
        let cancelled = self.end(number, End::Cancelled);
        if cancelled {
            self.journal.change(id, |entry| entry.cancelled = true);
        }
        Some(cancelled)
    }

    /// Stops the latest run of a request and returns the name of its handle; none when it is
    /// unknown or has ended.
    pub fn export(&mut self, id: &str) -> Option<(String, Handle)> {
        let &number = self.latest.get(id)?;
        let prefill_left = self.held_prefill(number);
        if !self.end(number, End::Exported) {
            return None;
        }
        let run = self.runs.get(&number)?;
        let handle = Handle {
            engine: self.number,
            prompt_sha8: run.req.prompt_sha8.clone(),
            generated: run.generated(),
            prefill_left,
            expires_ms: now_ms() + self.settings.retention_ms,
        };
        Some((handles::insert(handle.clone()), handle))
    }

    /// Tokens left to compute of a run that holds memory, or is to import it; none for others.
    fn held_prefill(&self, number: u64) -> Option<u64> {
        let run = self.runs.get(&number)?;
        let held = run.import_due || self.running.contains(&number);
        held.then_some(run.prefill_left)
    }

    /// Loses all runs and the cache.
    pub fn crash(&mut self) {
        let numbers: Vec<u64> = self.runs.keys().copied().collect();
        for number in numbers {
            self.end(number, End::Lost);
        }
        self.runs.clear();
        self.latest.clear();
        self.cache.restart();
        handles::forget(self.number);
        self.journal.crashes += 1;
    }

    /// Load for the metrics.
    pub fn load(&self) -> Load {
        let kv_usage = self.held_tokens() as f64 / self.settings.kv_tokens as f64;
        Load { running: self.running.len(), waiting: self.waiting.len(), kv_usage }
    }

    /// Chooses the work of the next step.
    pub fn start_step(&mut self, poison: &str) -> Step {
        self.evict();
        if self.admit(poison) {
            return Step::Poisoned;
        }
        if self.running.is_empty() {
            return Step::Idle;
        }
        self.chunk = self.next_chunk();
        let runs = &self.runs;
        let decodes = |n: &&u64| runs.get(n).is_some_and(|run| run.prefill_left == 0);
        self.decoding = self.running.iter().filter(decodes).copied().collect();
        Step::Work(self.step_time())
    }

    /// Takes in the work of the present step.
    pub fn finish_step(&mut self) {
        for number in std::mem::take(&mut self.decoding) {
            self.generate(number);
        }
        for (number, tokens) in std::mem::take(&mut self.chunk) {
            self.prefill(number, tokens);
        }
    }

    fn prefill(&mut self, number: u64, tokens: u64) {
        let Some(run) = self.runs.get_mut(&number) else { return };
        run.prefill_left -= tokens;
        self.journal.change(&run.req.id, |entry| entry.prefilled_tokens += tokens);
        if run.prefill_left == 0 && !run.has_ended() {
            self.cache.store(&run.hashes);
            self.generate(number);
        }
    }

    /// Admits waiting requests while there is room; returns true when a prompt is poisoned.
    fn admit(&mut self, poison: &str) -> bool {
        while self.running.len() < self.settings.slots
            && let Some(number) = self.waiting.front().copied()
            && let Some(run) = self.runs.get(&number)
        {
            let needed = run.held_tokens() + 1;
            if self.held_tokens() + needed > self.settings.kv_tokens && !self.running.is_empty() {
                return false;
            }
            let Some(run) = self.runs.get_mut(&number) else { return false };
            if !run.import_due {
                if !poison.is_empty() && run.req.prompt.contains(poison) {
                    return true;
                }
                let cached = self.cache.cached_tokens(&run.hashes);
                // At least the last token is computed, as its output gives the next one.
                run.prefill_left = run.held_tokens().saturating_sub(cached).max(1);
                run.progress.send_modify(|p| p.cached_tokens = cached);
                let needed = run.prefill_left;
                self.journal.change(&run.req.id, |entry| {
                    if entry.needed_tokens == 0 {
                        entry.needed_tokens = needed;
                    }
                });
            }
            self.waiting.pop_front();
            self.running.push(number);
        }
        false
    }

    /// Puts the youngest runs back to the queue while the memory is overfull.
    fn evict(&mut self) {
        while self.running.len() > 1
            && self.held_tokens() > self.settings.kv_tokens
            && let Some(number) = self.running.pop()
        {
            if let Some(run) = self.runs.get_mut(&number) {
                run.import_due = false;
            }
            self.waiting.push_front(number);
            self.journal.evictions += 1;
        }
    }

    /// Shares the tokens of a chunk out among the runs, the oldest first.
    fn next_chunk(&self) -> Vec<(u64, u64)> {
        let mut left = CHUNK_TOKENS;
        let mut chunk = Vec::new();
        for number in &self.running {
            let wanted = self.runs.get(number).map_or(0, |run| run.prefill_left);
            let tokens = wanted.min(left);
            if tokens > 0 {
                chunk.push((*number, tokens));
                left -= tokens;
            }
        }
        chunk
    }

    fn step_time(&mut self) -> Duration {
        let tokens: u64 = self.chunk.iter().map(|(_, tokens)| tokens).sum();
        let prefill_ms = tokens as f64 * 1000.0 / self.settings.prefill_tokens_per_second;
        let decode_ms = match self.decoding.len() {
            0 => 0.0,
            n => self.settings.decode_ms + self.settings.decode_ms_per_sequence * (n - 1) as f64,
        };
        let mut imports = 0;
        for number in &self.decoding {
            if let Some(run) = self.runs.get_mut(number) {
                imports += u64::from(std::mem::take(&mut run.import_due));
            }
        }
        let import_ms = (imports * IMPORT_MS) as f64;
        Duration::from_secs_f64((prefill_ms + decode_ms + import_ms) / 1000.0)
    }

    fn generate(&mut self, number: u64) {
        let Some(run) = self.runs.get(&number).filter(|run| !run.has_ended()) else { return };
        run.progress.send_modify(|p| p.generated += 1);
        let finished = run.generated() >= run.req.max_tokens;
        let id = run.req.id.clone();
        self.journal.change(&id, |entry| {
            entry.generated += 1;
            entry.first_token_ms.get_or_insert_with(now_ms);
        });
        if finished && self.end(number, End::Finished) {
            self.journal.change(&id, |entry| {
                entry.finished = true;
                entry.finished_ms = Some(now_ms());
            });
        }
    }

    /// Ends a run; returns false when it had ended before.
    fn end(&mut self, number: u64, end: End) -> bool {
        let Some(run) = self.runs.get_mut(&number) else { return false };
        if run.has_ended() {
            return false;
        }
        run.ended_ms = Some(now_ms());
        run.progress.send_modify(|p| p.end = Some(end));
        self.waiting.retain(|n| *n != number);
        self.running.retain(|n| *n != number);
        true
    }

    /// Forgets the runs that ended longer ago than the retention.
    fn forget_old(&mut self) {
        let Some(oldest) = now_ms().checked_sub(self.settings.retention_ms) else { return };
        self.runs.retain(|_, run| run.ended_ms.is_none_or(|ended| ended >= oldest));
        let runs = &self.runs;
        self.latest.retain(|_, number| runs.contains_key(number));
    }

    fn held_tokens(&self) -> u64 {
        self.running.iter().filter_map(|n| self.runs.get(n)).map(Run::held_tokens).sum()
    }
}
