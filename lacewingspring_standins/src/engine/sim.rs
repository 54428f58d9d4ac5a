//! Simulation of continuous batching. Each step prefills one chunk of prompt tokens and decodes one
//! token per run that has finished its prefill.

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
    run::{Progress, Request, Run, RunEnd},
};
use crate::time::now_ms;

/// Maximum number of tokens prefilled in a step, over all runs.
const MAX_PREFILL_TOKENS_PER_STEP: u64 = 512;
/// Time that an import of a key-value cache adds to its first decode step, in milliseconds.
const KV_IMPORT_MS: u64 = 5;

static NEXT_ENGINE_NUMBER: AtomicU64 = AtomicU64::new(1);

/// Work of the next step.
pub enum Step {
    /// No run is queued or running.
    Idle,
    /// The next prompt contains the poison text and crashes the engine.
    Poisoned,
    /// Step of the given duration, to be completed by `finish_step`.
    Work(Duration),
}

/// Load figures of the engine, as reported in its metrics.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineLoad {
    /// Number of running sequences.
    pub running: usize,
    /// Number of queued requests.
    pub waiting: usize,
    /// Fraction of the key-value cache in use, normally 0 to 1.
    pub kv_usage: f64,
}

/// Queue and runs of one engine, with its prefix cache and journal.
pub struct Sim {
    settings: Settings,
    engine_number: u64,
    next_run: u64,
    runs: BTreeMap<u64, Run>,
    /// Number of the latest run of each request.
    latest_by_id: HashMap<String, u64>,
    /// Queued runs, the next to be admitted first.
    waiting: VecDeque<u64>,
    /// Admitted runs in order of admission.
    running: Vec<u64>,
    /// Runs that decode a token in the current step.
    decoding: Vec<u64>,
    /// Runs that prefill in the current step, with the number of tokens of each.
    prefill_chunk: Vec<(u64, u64)>,
    pub cache: Cache,
    pub journal: Journal,
}

impl Sim {
    /// Creates an idle engine.
    pub fn new(settings: Settings) -> Self {
        Self {
            cache: Cache::new(settings.cache_tokens),
            settings,
            engine_number: NEXT_ENGINE_NUMBER.fetch_add(1, Ordering::Relaxed),
            next_run: 0,
            runs: BTreeMap::new(),
            latest_by_id: HashMap::new(),
            waiting: VecDeque::new(),
            running: Vec::new(),
            decoding: Vec::new(),
            prefill_chunk: Vec::new(),
            journal: Journal::default(),
        }
    }

    /// Queues a request and returns a receiver of its progress.
    pub fn enqueue(&mut self, req: Arc<Request>) -> watch::Receiver<Progress> {
        self.remove_expired_runs();
        self.journal.record_arrival(&req);
        let generated = req.resume_from;
        let (progress, rx) = watch::channel(Progress { generated, ..Progress::default() });
        let number = self.next_run;
        self.next_run += 1;
        self.latest_by_id.insert(req.id.clone(), number);
        let hashes = block_hashes(&req.prompt);
        let import_pending = req.import_prefill_left.is_some();
        let prefill_left = req.import_prefill_left.unwrap_or(0);
        let run = Run { req, hashes, prefill_left, import_pending, progress, ended_ms: None };
        self.runs.insert(number, run);
        self.waiting.push_back(number);
        rx
    }

    /// Returns the latest run of a request.
    pub fn find(&mut self, id: &str) -> Option<&Run> {
        self.remove_expired_runs();
        self.runs.get(self.latest_by_id.get(id)?)
    }

    /// Cancels the latest run of a request. Returns false if the run had already ended, and `None`
    /// if the request is unknown.
    pub fn cancel(&mut self, id: &str) -> Option<bool> {
        let &number = self.latest_by_id.get(id)?;
        let cancelled = self.end_run(number, RunEnd::Cancelled);
        if cancelled {
            self.journal.update(id, |entry| entry.cancelled = true);
        }
        Some(cancelled)
    }

    /// Stops the latest run of a request and returns the handle of its cache with its name, or
    /// `None` if the request is unknown or the run has ended.
    pub fn export(&mut self, id: &str) -> Option<(String, Handle)> {
        let &number = self.latest_by_id.get(id)?;
        let prefill_left = self.remaining_prefill(number);
        if !self.end_run(number, RunEnd::Exported) {
            return None;
        }
        let run = self.runs.get(&number)?;
        let handle = Handle {
            engine: self.engine_number,
            prompt_sha8: run.req.prompt_sha8.clone(),
            generated: run.generated(),
            prefill_left,
            expires_ms: now_ms() + self.settings.retention_ms,
        };
        Some((handles::insert(handle.clone()), handle))
    }

    /// Number of tokens still to prefill for a run that holds memory or has an import pending;
    /// `None` for other runs.
    fn remaining_prefill(&self, number: u64) -> Option<u64> {
        let run = self.runs.get(&number)?;
        let held = run.import_pending || self.running.contains(&number);
        held.then_some(run.prefill_left)
    }

    /// Drops all runs, the cache and the exported handles.
    pub fn crash(&mut self) {
        let numbers: Vec<u64> = self.runs.keys().copied().collect();
        for number in numbers {
            self.end_run(number, RunEnd::Lost);
        }
        self.runs.clear();
        self.latest_by_id.clear();
        self.cache.reset();
        handles::remove_engine(self.engine_number);
        self.journal.crashes += 1;
    }

    /// Returns the current load.
    pub fn load(&self) -> EngineLoad {
        let kv_usage = self.held_tokens() as f64 / self.settings.kv_tokens as f64;
        EngineLoad { running: self.running.len(), waiting: self.waiting.len(), kv_usage }
    }

    /// Evicts and admits runs, and plans the next step.
    pub fn start_step(&mut self, poison: &str) -> Step {
        self.evict();
        if self.admit(poison) {
            return Step::Poisoned;
        }
        if self.running.is_empty() {
            return Step::Idle;
        }
        self.prefill_chunk = self.plan_prefill();
        let runs = &self.runs;
        let decodes = |n: &&u64| runs.get(n).is_some_and(|run| run.prefill_left == 0);
        self.decoding = self.running.iter().filter(decodes).copied().collect();
        Step::Work(self.step_time())
    }

    /// Applies the results of the current step.
    pub fn finish_step(&mut self) {
        for number in std::mem::take(&mut self.decoding) {
            self.generate(number);
        }
        for (number, tokens) in std::mem::take(&mut self.prefill_chunk) {
            self.prefill(number, tokens);
        }
    }

    fn prefill(&mut self, number: u64, tokens: u64) {
        let Some(run) = self.runs.get_mut(&number) else { return };
        run.prefill_left -= tokens;
        self.journal.update(&run.req.id, |entry| entry.prefilled_tokens += tokens);
        if run.prefill_left == 0 && !run.has_ended() {
            self.cache.store(&run.hashes);
            self.generate(number);
        }
    }

    /// Admits queued runs while slots and memory allow; returns true if a prompt contains the
    /// poison text. While no run is running, the next one is admitted regardless of its size.
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
            if !run.import_pending {
                if !poison.is_empty() && run.req.prompt.contains(poison) {
                    return true;
                }
                let cached = self.cache.cached_tokens(&run.hashes);
                // The last token is always prefilled, even if cached: its output yields the next
                // token.
                run.prefill_left = run.held_tokens().saturating_sub(cached).max(1);
                run.progress.send_modify(|p| p.cached_tokens = cached);
                let needed = run.prefill_left;
                self.journal.update(&run.req.id, |entry| {
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

    /// Moves the most recently admitted runs back to the head of the queue while the running ones
    /// exceed the memory.
    fn evict(&mut self) {
        while self.running.len() > 1
            && self.held_tokens() > self.settings.kv_tokens
            && let Some(number) = self.running.pop()
        {
            if let Some(run) = self.runs.get_mut(&number) {
                // Eviction loses the imported cache: the run is admitted again as one without.
                run.import_pending = false;
            }
            self.waiting.push_front(number);
            self.journal.evictions += 1;
        }
    }

    /// Distributes the prefill tokens of a step among the runs in order of admission.
    fn plan_prefill(&self) -> Vec<(u64, u64)> {
        let mut left = MAX_PREFILL_TOKENS_PER_STEP;
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
        let tokens: u64 = self.prefill_chunk.iter().map(|(_, tokens)| tokens).sum();
        let prefill_ms = tokens as f64 * 1000.0 / self.settings.prefill_tokens_per_second;
        let decode_ms = match self.decoding.len() {
            0 => 0.0,
            n => self.settings.decode_ms + self.settings.decode_ms_per_sequence * (n - 1) as f64,
        };
        let mut imports = 0;
        for number in &self.decoding {
            if let Some(run) = self.runs.get_mut(number) {
                imports += u64::from(std::mem::take(&mut run.import_pending));
            }
        }
        let import_ms = (imports * KV_IMPORT_MS) as f64;
        Duration::from_secs_f64((prefill_ms + decode_ms + import_ms) / 1000.0)
    }

    fn generate(&mut self, number: u64) {
        let Some(run) = self.runs.get(&number).filter(|run| !run.has_ended()) else { return };
        run.progress.send_modify(|p| p.generated += 1);
        let finished = run.generated() >= run.req.max_tokens;
        let id = run.req.id.clone();
        self.journal.update(&id, |entry| {
            entry.generated += 1;
            entry.first_token_ms.get_or_insert_with(now_ms);
        });
        if finished && self.end_run(number, RunEnd::Finished) {
            self.journal.update(&id, |entry| {
                entry.finished = true;
                entry.finished_ms = Some(now_ms());
            });
        }
    }

    /// Ends a run; returns false if it is unknown or had already ended.
    fn end_run(&mut self, number: u64, end: RunEnd) -> bool {
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

    /// Removes the runs whose retention after their end has passed.
    fn remove_expired_runs(&mut self) {
        let Some(oldest) = now_ms().checked_sub(self.settings.retention_ms) else { return };
        self.runs.retain(|_, run| run.ended_ms.is_none_or(|ended| ended >= oldest));
        let runs = &self.runs;
        self.latest_by_id.retain(|_, number| runs.contains_key(number));
    }

    fn held_tokens(&self) -> u64 {
        self.running.iter().filter_map(|n| self.runs.get(n)).map(Run::held_tokens).sum()
    }
}
