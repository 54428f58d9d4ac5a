//! Tells the new homes of keys about the runs of this instance when the view changes.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use lacewingspring_core::{
    error::RunState,
    key_index::{Announcement, HandOver, Outcome, Runner},
};

use super::Homes;
use crate::{
    clock,
    daemon::Node,
    entry::{Ownership, Run},
    membership::peer,
    peers::{KeyCall, Message, PeerAddress, Told},
};

/// Longest wait for a home to take an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Most runs in one announcement.
const MAX_RUNS: usize = 1_000;

/// Announces the runs of this instance after each change of the view, for ever.
pub async fn announce_on_change(node: Arc<Node>) {
    let mut changes = node.fleet.changes();
    while changes.changed().await.is_ok() {
        node.home.roles_changed(clock::now(), &node.fleet.view());
        announce_all(&node).await;
    }
}

async fn announce_all(node: &Arc<Node>) {
    let runner = Homes::new(node).runner();
    let view = node.fleet.view();
    let mut by_home: BTreeMap<_, Vec<Told>> = BTreeMap::new();
    for run in node.runs.all() {
        let Some(told) = told(&run, &runner) else { continue };
        let Some(home) = view.holder(&run.id, None) else { continue };
        by_home.entry(&home.name).or_default().push(told);
    }
    for (name, told) in by_home {
        let Some(home) = view.member(name.as_str()).map(peer) else { continue };
        for part in told.chunks(MAX_RUNS) {
            announce(node, &home, part.to_vec()).await;
        }
    }
}

async fn announce(node: &Arc<Node>, home: &PeerAddress, told: Vec<Told>) {
    let message = Message::Key(KeyCall::Announce(told));
    if node.peers.call(home, message, ANNOUNCE_TIMEOUT).await.is_err() {
        log::warn!(home:% = home.instance; "A key home did not take an announcement.");
    }
}

/// What a home is told of a run; nothing when this instance is not its runner.
fn told(run: &Run, runner: &Runner) -> Option<Told> {
    let Ownership::Runner(progress) = run.ownership() else { return None };
    let (id, fingerprint) = (run.id.clone(), run.fingerprint.clone());
    if !run.ended() {
        return Some(Told::Open(Announcement {
            id,
            fingerprint,
            runner: runner.clone(),
            progress,
        }));
    }
    let outcome = match run.failure().map(|kind| kind.answer().run) {
        None | Some(RunState::Ran) => Outcome::Answered,
        Some(RunState::MayHaveRun) => Outcome::MayHaveRun,
        Some(RunState::NotRun) => return None,
    };
    let fingerprint = Some(fingerprint);
    Some(Told::Ended {
        id,
        known: HandOver::Finished { fingerprint, runner: runner.clone(), outcome },
    })
}
