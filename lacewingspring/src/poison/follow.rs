//! What a change of the members means for the watch.

use std::{collections::BTreeMap, sync::Arc};

use lacewingspring_core::{
    membership::{MemberState, View},
    poison::FingerprintId,
};

use super::{VERDICTS_TIMEOUT, tell_all, tell_changes};
use crate::{
    clock,
    daemon::Node,
    membership::peer,
    peers::{Message, OpenRun, PoisonCall},
};

/// Follows the members, for ever.
pub async fn follow_members(node: Arc<Node>) {
    let mut changes = node.fleet.changes();
    while changes.changed().await.is_ok() {
        *node.poison.changed_at() = clock::now();
        announce_open(&node).await;
        forget_gone(&node, &node.fleet.view());
        let known = node.poison.watch().all_reports();
        if !known.is_empty() {
            tell_all(&node, &known);
        }
    }
}

/// Tells the homes of open runs, which may be new.
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
            log::warn!(home:% = home.instance; "A home of fingerprints did not take open runs.");
        }
    }
}

/// Suspects what runners that are gone left behind.
fn forget_gone(node: &Arc<Node>, view: &View) {
    let now = clock::now();
    for member in &view.members {
        let known = node.poison.observe_incarnation(&member.name, member.incarnation);
        let mut watch = node.poison.watch();
        if let Some(earlier) = known.filter(|earlier| *earlier < member.incarnation) {
            watch.remove_runner(now, member.name.as_str(), earlier);
        }
        if member.state == MemberState::Gone {
            watch.remove_runner(now, member.name.as_str(), member.incarnation);
        }
    }
    tell_changes(node);
}
