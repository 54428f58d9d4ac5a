//! Updates the poison detector when the members change.

use std::{collections::BTreeMap, sync::Arc};

use lacewingspring_core::{
    membership::{MemberState, View},
    poison::FingerprintId,
};

use super::{VERDICTS_TIMEOUT, broadcast, publish_changes};
use crate::{
    clock,
    daemon::Node,
    membership::peer,
    peers::{Message, OpenRun, PoisonCall},
};

/// Handles changes of the members until the membership ends.
pub async fn follow_members(node: Arc<Node>) {
    let mut changes = node.fleet.changes();
    while changes.changed().await.is_ok() {
        *node.poison.changed_at() = clock::now();
        announce_open(&node).await;
        remove_gone(&node, &node.fleet.view());
        let known = node.poison.detector().all_reports();
        if !known.is_empty() {
            broadcast(&node, &known);
        }
    }
}

/// Announces the open runs of this instance to the homes of their fingerprints, which may have
/// changed.
async fn announce_open(node: &Arc<Node>) {
    let view = node.fleet.view();
    let mut by_home: BTreeMap<_, Vec<OpenRun>> = BTreeMap::new();
    for run in node.poison.open_runs() {
        let Some(home) = view.holder(&FingerprintId::new(&run.start.fingerprint), None) else {
            continue;
        };
        by_home.entry(&home.name).or_default().push(run);
    }
    for (name, runs) in by_home {
        let Some(home) = view.member(name.as_str()).map(peer) else { continue };
        let message = Message::Poison(PoisonCall::Announce(runs));
        if node.peers.call(&home, message, VERDICTS_TIMEOUT).await.is_err() {
            log::warn!(
                home:% = home.instance;
                "Could not announce open runs to a home; not retried until the members change."
            );
        }
    }
}

/// Removes runners that are gone or restarted; the detector treats their open runs as suspect.
fn remove_gone(node: &Arc<Node>, view: &View) {
    let now = clock::now();
    for member in &view.members {
        let known = node.poison.record_incarnation(&member.name, member.incarnation);
        let mut detector = node.poison.detector();
        if let Some(earlier) = known.filter(|earlier| *earlier < member.incarnation) {
            detector.remove_runner(now, member.name.as_str(), earlier);
        }
        if member.state == MemberState::Gone {
            detector.remove_runner(now, member.name.as_str(), member.incarnation);
        }
    }
    publish_changes(node);
}
