//! Homes of request keys: the instance that tracks the run of a key, as server and client.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use lacewingspring_core::{
    key_index::{
        DispatchVerdict, HandOver, HomeTenure, KeyId, KeyIndex, KeyIndexConfig, RegisterVerdict,
        VoidVerdict,
    },
    membership::View,
};

use crate::{
    clock,
    daemon::Node,
    membership::{is_up, peer},
    peers::{KeyCall, KeyReply, KeyUpdate, Message, PeerAddress},
    settings::Mechanism,
};

pub use self::{announce::announce_on_change, client::HomeClient};

mod announce;
mod client;

/// Maximum wait for the reply of one previous home.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum wait for the backup of a key to confirm a copy.
const COPY_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which a new home waits for announcements before it treats a key as new. The backup has
/// the dispatched runs, so only waiting runs depend on announcements.
const LEARNING_PERIOD: Duration = Duration::from_millis(400);

/// Time for which a home keeps a settled key.
const KEY_RETENTION: Duration = Duration::from_secs(600);

/// Index of the keys whose home this instance is.
#[derive(Debug)]
pub struct KeyHome {
    index: Mutex<KeyIndex>,
}

impl KeyHome {
    /// Creates an empty index.
    pub fn new(now: Duration) -> Self {
        let cfg = KeyIndexConfig {
            learning: LEARNING_PERIOD,
            retention: KEY_RETENTION,
            ..KeyIndexConfig::default()
        };
        Self { index: Mutex::new(KeyIndex::new(cfg, now)) }
    }

    /// Updates the index after a change of the view, when this instance may be the home or the
    /// backup of other keys.
    pub fn roles_changed(&self, now: Duration, view: &View) {
        let keeps = |id: &KeyId| view.holders(id, 2, None).iter().any(|m| m.name == view.own);
        self.lock().roles_changed(now, keeps);
    }

    fn lock(&self) -> MutexGuard<'_, KeyIndex> {
        self.index.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Handles a call about a key. Returns `NotHome` if this instance is not the home, or if a copy
/// that the reply depends on did not reach the backup.
pub async fn serve(node: &Arc<Node>, call: KeyCall) -> KeyReply {
    if let Some(id) = home_key(&call)
        && !is_home(node, id)
    {
        return KeyReply::NotHome;
    }
    let mut reply = apply(node, &call);
    if is_unknown(&reply)
        && let Some(id) = home_key(&call)
        && merge_from_previous(node, id).await
    {
        reply = apply(node, &call);
    }
    if copy_to_backup(node, &call, &reply).await { reply } else { KeyReply::NotHome }
}

/// Returns the key of a call that only the current home answers.
fn home_key(call: &KeyCall) -> Option<&KeyId> {
    match call {
        KeyCall::Register { id, .. }
        | KeyCall::Dispatching { id, .. }
        | KeyCall::NotSent { id, .. }
        | KeyCall::TakeOver { id, .. }
        | KeyCall::Finished { id, .. }
        | KeyCall::Release { id, .. }
        | KeyCall::Void { id } => Some(id),
        KeyCall::HandOver { .. } | KeyCall::Announce(_) | KeyCall::Copy(_) => None,
    }
}

/// Copies a change that the home has applied to the backup of the key, its second holder.
///
/// The backup becomes the home when the home dies. Without it, the death of one instance that is
/// both the runner and the home of a key would lose the run. The replies to a dispatch, a reverted
/// dispatch and a void wait for the copy; returns false if there is a backup that did not confirm
/// it.
async fn copy_to_backup(node: &Arc<Node>, call: &KeyCall, reply: &KeyReply) -> bool {
    if !node.settings.test.is_on(Mechanism::Backup) {
        return true;
    }
    let Some(id) = home_key(call) else { return true };
    let Some(copy) = backup_copy(node, call, reply) else { return true };
    let view = node.fleet.view();
    let Some(backup) = view.holders(id, 2, None).get(1).map(|member| peer(member)) else {
        return true;
    };
    let message = Message::Key(copy);
    // A reverted dispatch must not reach the backup after the next dispatch.
    if must_reach_backup(reply) || matches!(call, KeyCall::NotSent { .. }) {
        let confirmed = node.peers.call(&backup, message, COPY_TIMEOUT).await;
        return matches!(confirmed, Ok(Message::KeyReply(KeyReply::Done)));
    }
    let node = node.clone();
    tokio::spawn(async move {
        let _ = node.peers.call(&backup, message, COPY_TIMEOUT).await;
    });
    true
}

/// Returns the copy for the backup. `None` if the call changes nothing that the backup holds.
fn backup_copy(node: &Node, call: &KeyCall, reply: &KeyReply) -> Option<KeyCall> {
    match (call, reply) {
        (
            KeyCall::Dispatching { id, .. },
            KeyReply::Dispatch(DispatchVerdict::Proceed | DispatchVerdict::Repeated { .. }),
        ) => {
            let run = node.home.lock().open_run(id)?;
            Some(KeyCall::Announce(vec![KeyUpdate::Open(run)]))
        }
        (KeyCall::Void { id }, KeyReply::Void(VoidVerdict::Voided)) => {
            let key = node.home.lock().settled_key(clock::now(), id)?;
            Some(KeyCall::Announce(vec![KeyUpdate::Settled(key)]))
        }
        (KeyCall::NotSent { .. } | KeyCall::Finished { .. } | KeyCall::TakeOver { .. }, _) => {
            Some(KeyCall::Copy(Box::new(call.clone())))
        }
        _ => None,
    }
}

/// Returns whether the backup has to confirm the change before the home replies, since the caller
/// then acts on the reply in a way that cannot be undone.
fn must_reach_backup(reply: &KeyReply) -> bool {
    matches!(reply, KeyReply::Dispatch(_) | KeyReply::Void(VoidVerdict::Voided))
}

fn is_home(node: &Node, id: &KeyId) -> bool {
    let view = node.fleet.view();
    view.holder(id, None).is_some_and(|holder| holder.name == node.settings.instance)
}

fn is_unknown(reply: &KeyReply) -> bool {
    matches!(
        reply,
        KeyReply::Register(RegisterVerdict::Unknown) | KeyReply::Void(VoidVerdict::Unknown)
    )
}

fn apply(node: &Node, call: &KeyCall) -> KeyReply {
    let now = clock::now();
    let tenure = home_key(call).map_or(HomeTenure::Established, |id| tenure(node, id));
    let mut index = node.home.lock();
    match call.clone() {
        KeyCall::Register { id, fingerprint, runner, minted } => {
            let tenure = if minted { HomeTenure::Established } else { tenure };
            KeyReply::Register(index.register(now, id, fingerprint, runner, tenure))
        }
        KeyCall::Dispatching { id, runner, upstream } => {
            let verdict = index.request_dispatch(now, &id, &runner, upstream);
            debug_assert_eq!(index.violations(), 0, "key dispatched twice");
            KeyReply::Dispatch(verdict)
        }
        KeyCall::NotSent { id, runner } => {
            index.revert_dispatch(&id, &runner);
            KeyReply::Done
        }
        KeyCall::TakeOver { id, new_runner, dead_runner } => {
            KeyReply::TakeOver(index.take_over(now, &id, &new_runner, &dead_runner))
        }
        KeyCall::Finished { id, runner, outcome } => {
            index.record_outcome(now, &id, &runner, outcome);
            KeyReply::Done
        }
        KeyCall::Release { id, runner } => {
            index.release(&id, &runner);
            KeyReply::Done
        }
        KeyCall::Void { id } => KeyReply::Void(index.void(now, &id, tenure)),
        KeyCall::HandOver { id } => KeyReply::HandOver(index.hand_over(now, &id)),
        KeyCall::Announce(updates) => {
            for update in updates {
                announce(&mut index, now, update);
            }
            KeyReply::Done
        }
        KeyCall::Copy(call) => {
            apply_copy(&mut index, now, *call);
            KeyReply::Done
        }
    }
}

/// Applies a call at the backup that the home has already applied.
fn apply_copy(index: &mut KeyIndex, now: Duration, call: KeyCall) {
    match call {
        KeyCall::NotSent { id, runner } => {
            index.revert_dispatch(&id, &runner);
        }
        KeyCall::Finished { id, runner, outcome } => {
            index.record_outcome(now, &id, &runner, outcome);
        }
        KeyCall::TakeOver { id, new_runner, dead_runner } => {
            index.take_over(now, &id, &new_runner, &dead_runner);
        }
        _ => {}
    }
}

fn announce(index: &mut KeyIndex, now: Duration, update: KeyUpdate) {
    match update {
        KeyUpdate::Open(run) => index.merge_announcement(now, run),
        KeyUpdate::Claimed(run) => index.withdraw_void(now, run),
        KeyUpdate::Settled(key) => index.merge_settled(now, key),
    }
}

/// Returns `Recent` if a previous home may know the key.
fn tenure(node: &Node, id: &KeyId) -> HomeTenure {
    let view = node.fleet.view();
    if view.previous_holders(id, None).is_empty() {
        HomeTenure::Established
    } else {
        HomeTenure::Recent
    }
}

/// Merges what the previous homes of a key know. Returns false if one of them is down or does not
/// reply.
async fn merge_from_previous(node: &Arc<Node>, id: &KeyId) -> bool {
    let view = node.fleet.view();
    let previous = view.previous_holders(id, None);
    if previous.iter().any(|member| !is_up(member)) {
        return false;
    }
    let previous: Vec<PeerAddress> = previous.into_iter().map(peer).collect();
    let mut known: Vec<HandOver> = Vec::new();
    for home in previous {
        let call = Message::Key(KeyCall::HandOver { id: id.clone() });
        let reply = node.peers.call(&home, call, HAND_OVER_TIMEOUT).await;
        let Ok(Message::KeyReply(KeyReply::HandOver(answer))) = reply else { return false };
        known.push(answer);
    }
    node.home.lock().merge_hand_overs(clock::now(), id, known);
    true
}
