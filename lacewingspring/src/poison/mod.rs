//! Requests that crash upstreams: asked for at the home of their fingerprint, told to all.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicU64},
    time::Duration,
};

use lacewingspring_core::{
    names::{Fingerprint, InstanceName},
    poison::{FingerprintId, PoisonConfig, PoisonDetector, RunReply, Verdict, VerdictReport},
};

use crate::{
    clock,
    daemon::Node,
    membership::{is_up, peer},
    peers::{Message, PoisonCall, PoisonReply},
    settings::{Mechanism, TestSettings},
};

pub use self::{
    follow::follow_members,
    stored::read_stored,
    trial::{BeginOutcome, RunGuard, begin},
};

mod follow;
mod stored;
mod trial;

/// Longest wait for a member to take verdicts.
const VERDICTS_TIMEOUT: Duration = Duration::from_millis(500);

/// Time in which a new home waits for the open runs that runners announce.
const LEARNING: Duration = Duration::from_millis(400);

/// Watch of this instance.
#[derive(Debug)]
pub struct Poison {
    enabled: bool,
    watch: Mutex<PoisonDetector>,
    changed_at: Mutex<Duration>,
    incarnations: Mutex<HashMap<InstanceName, u64>>,
    open: Mutex<HashMap<u64, crate::peers::OpenRun>>,
    next_run: AtomicU64,
}

impl Poison {
    /// Creates a watch that knows nothing.
    pub fn new(settings: &TestSettings, now: Duration) -> Self {
        // The wait for announcements is made here, only for fingerprints whose home has changed.
        let cfg = PoisonConfig { learning: Duration::ZERO, ..PoisonConfig::default() };
        Self {
            enabled: settings.is_on(Mechanism::PoisonWatch),
            watch: Mutex::new(PoisonDetector::new(cfg, now)),
            changed_at: Mutex::new(now),
            incarnations: Mutex::default(),
            open: Mutex::default(),
            next_run: AtomicU64::new(0),
        }
    }

    /// Returns the verdict on a request as this instance knows it.
    pub fn verdict(&self, fingerprint: &Fingerprint) -> Verdict {
        if !self.enabled {
            return Verdict::Clear;
        }
        self.watch().verdict(clock::now(), fingerprint)
    }

    fn watch(&self) -> MutexGuard<'_, PoisonDetector> {
        self.watch.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn changed_at(&self) -> MutexGuard<'_, Duration> {
        self.changed_at.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Answers a message about a fingerprint.
pub fn serve(node: &Arc<Node>, call: PoisonCall) -> PoisonReply {
    let now = clock::now();
    match call {
        PoisonCall::Begin(start) => {
            let id = FingerprintId::new(&start.fingerprint);
            if !is_home(node, id) {
                return PoisonReply::NotHome;
            }
            if let Some(retry_after) = learning(node, now, id) {
                return PoisonReply::Begin(RunReply::Wait { retry_after });
            }
            PoisonReply::Begin(node.poison.watch().request_run(now, start))
        }
        PoisonCall::Ended { fingerprint, id, end } => {
            if !is_home(node, fingerprint) {
                return PoisonReply::NotHome;
            }
            node.poison.watch().record_end(now, &id, end);
            tell_changes(node);
            PoisonReply::Done
        }
        PoisonCall::Announce(runs) => {
            let mut watch = node.poison.watch();
            for run in runs {
                watch.merge_announcement(run.start, run.alone);
            }
            PoisonReply::Done
        }
        PoisonCall::Verdicts(reports) => {
            let mut watch = node.poison.watch();
            watch.merge_reports(now, &reports);
            // They were told to all already.
            watch.take_reports();
            PoisonReply::Done
        }
    }
}

/// Time for which a new home of a fingerprint still waits for announcements.
fn learning(node: &Node, now: Duration, id: FingerprintId) -> Option<Duration> {
    let until = *node.poison.changed_at() + LEARNING;
    let is_new = !node.fleet.view().previous_holders(&id, None).is_empty();
    (is_new && now < until).then(|| until - now)
}

fn is_home(node: &Node, id: FingerprintId) -> bool {
    let view = node.fleet.view();
    view.holder(&id, None).is_some_and(|holder| holder.name == node.settings.instance)
}

/// Tells all members the verdicts that changed, and keeps those that must last.
fn tell_changes(node: &Arc<Node>) {
    let reports = node.poison.watch().take_reports();
    if reports.is_empty() {
        return;
    }
    for report in reports.iter().filter(|report| report.verdict == Verdict::Quarantined) {
        log::warn!(fingerprint:? = report.fingerprint; "Quarantines a request.");
        tokio::spawn(stored::store(node.clone(), *report));
    }
    tell_all(node, &reports);
}

fn tell_all(node: &Arc<Node>, reports: &[VerdictReport]) {
    let view = node.fleet.view();
    let own = &node.settings.instance;
    let others = view.members.iter().filter(|member| is_up(member) && member.name != *own);
    for member in others.map(peer) {
        let node = node.clone();
        let message = Message::Poison(PoisonCall::Verdicts(reports.to_vec()));
        tokio::spawn(async move {
            let _ = node.peers.call(&member, message, VERDICTS_TIMEOUT).await;
        });
    }
}
