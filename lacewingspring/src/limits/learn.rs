//! A new home learns what all members hold, so that it need not wait for old shares to run out.
//!
//! Members are asked twice. After the first round no earlier home gives out shares any more; after
//! the second every share that one gave out before is known, or its answer is no longer taken.

use std::{sync::Arc, time::Duration};

use lacewingspring_core::names::WorkspaceName;
use tokio::task::JoinSet;

use crate::{
    clock,
    daemon::Node,
    membership::{is_up, peer},
    peers::{Message, PeerAddress, ShareCall, ShareReply},
};

/// Longest wait for what a member holds.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Rounds in which all members are asked.
const ROUNDS: usize = 2;

/// Time for which one instance has been the home of a workspace.
#[derive(Clone, Debug)]
pub(super) struct Term {
    /// Workspace that is limited.
    pub(super) workspace: WorkspaceName,
    /// Number of the term at this instance.
    pub(super) number: u64,
}

/// Asks all members what they hold, and ends the wait of the ledger when all have answered.
pub(super) async fn learn(node: Arc<Node>, term: Term) {
    let mut whole = true;
    for _ in 0..ROUNDS {
        whole = whole && ask_all(&node, &term).await;
    }
    whole = whole && node.fleet.view().members.iter().all(is_up);
    node.limits.home.learned(clock::now(), &term, whole);
}

async fn ask_all(node: &Arc<Node>, term: &Term) -> bool {
    let own = &node.settings.instance;
    report_own(node, term);
    let view = node.fleet.view();
    let others = view.members.iter().filter(|member| member.name != *own);
    let mut asking = JoinSet::new();
    for member in others.map(peer) {
        asking.spawn(ask(node.clone(), term.clone(), member));
    }
    asking.join_all().await.into_iter().all(|answered| answered)
}

fn report_own(node: &Node, term: &Term) {
    let now = clock::now();
    let demand = node.limits.limiters.of(now, &term.workspace).report(now);
    node.limits.home.learn(now, term, &node.settings.instance, node.incarnation, demand);
}

async fn ask(node: Arc<Node>, term: Term, member: PeerAddress) -> bool {
    let call = ShareCall::Report { workspace: term.workspace.clone() };
    let reply = node.peers.call(&member, Message::Share(call), REPORT_TIMEOUT).await;
    let Ok(Message::ShareReply(ShareReply::Held { incarnation, demand })) = reply else {
        return false;
    };
    node.limits.home.learn(clock::now(), &term, &member.instance, incarnation, demand);
    true
}
