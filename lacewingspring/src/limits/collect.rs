//! Collects the shares that all members hold, so that a new home need not wait until the shares of
//! an earlier home expire.
//!
//! Members are queried twice. A member that was the home gives the role up when it is queried, so
//! no earlier home grants shares after the first round. After the second round each share that one
//! granted before is known, or its member ignores the reply that grants it.

use std::{sync::Arc, time::Duration};

use lacewingspring_core::names::WorkspaceName;
use tokio::task::JoinSet;

use crate::{
    clock,
    daemon::Node,
    membership::{is_up, peer},
    peers::{Message, PeerAddress, ShareCall, ShareReply},
};

/// Longest wait for the report of a member.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Number of times that each member is queried.
const QUERY_ROUNDS: usize = 2;

/// One period during which this instance is the home of a workspace.
#[derive(Clone, Debug)]
pub(super) struct Term {
    /// Workspace that is limited.
    pub(super) workspace: WorkspaceName,
    /// Number of the term, unique in this process.
    pub(super) number: u64,
}

/// Queries all members for the shares that they hold, and ends the grace period of the ledger if
/// all have answered and are up.
pub(super) async fn collect_reports(node: Arc<Node>, term: Term) {
    let mut complete = true;
    for _ in 0..QUERY_ROUNDS {
        complete = complete && query_all(&node, &term).await;
    }
    complete = complete && node.fleet.view().members.iter().all(is_up);
    node.limits.home.finish_reports(clock::now(), &term, complete);
}

async fn query_all(node: &Arc<Node>, term: &Term) -> bool {
    let own = &node.settings.instance;
    record_own_report(node, term);
    let view = node.fleet.view();
    let others = view.members.iter().filter(|member| member.name != *own);
    let mut queries = JoinSet::new();
    for member in others.map(peer) {
        queries.spawn(query_member(node.clone(), term.clone(), member));
    }
    queries.join_all().await.into_iter().all(|answered| answered)
}

fn record_own_report(node: &Node, term: &Term) {
    let now = clock::now();
    let demand = node.limits.limiters.of(now, &term.workspace).report(now);
    node.limits.home.record_report(now, term, &node.settings.instance, node.incarnation, demand);
}

async fn query_member(node: Arc<Node>, term: Term, member: PeerAddress) -> bool {
    let call = ShareCall::Report { workspace: term.workspace.clone() };
    let reply = node.peers.call(&member, Message::Share(call), REPORT_TIMEOUT).await;
    let Ok(Message::ShareReply(ShareReply::Held { incarnation, demand })) = reply else {
        return false;
    };
    node.limits.home.record_report(clock::now(), &term, &member.instance, incarnation, demand);
    true
}
