//! Announces the state of keys to their holders (the home and the backup) when the membership view
//! changes.
//!
//! Each runner announces its runs, and each key index its settled keys, so that the state of a key
//! survives as long as one of its former homes or backups lives.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use lacewingspring_core::{
    key_index::{Announcement, HandOver, KeyId, Progress, Runner, SettledKey},
    membership::{View, ViewMember},
    names::InstanceName,
};
use tokio::time::timeout;

use super::{HomeClient, KEY_RETENTION};
use crate::{
    clock,
    daemon::Node,
    entry::{Ownership, Run},
    membership::peer,
    peers::{KeyCall, KeyUpdate, Message, PeerAddress},
    settings::Mechanism,
};

/// Maximum wait for a holder to confirm an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval before all announcements are repeated if a holder did not confirm one.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of keys per message.
const MAX_KEYS_PER_MESSAGE: usize = 1_000;

/// Maximum number of settled keys that an index announces after one change.
const MAX_SETTLED_KEYS: usize = 10_000;

/// Announcements by the name of the holder that gets them.
type Announcements = BTreeMap<InstanceName, Vec<KeyUpdate>>;

/// Announces the state of the keys that this instance knows after each change of the view. Returns
/// only if the channel of view changes closes.
pub async fn announce_on_change(node: Arc<Node>) {
    let mut changes = node.fleet.changes();
    let mut announced = node.fleet.view();
    let mut pending = false;
    loop {
        let wait = if pending { RETRY_INTERVAL } else { Duration::MAX };
        match timeout(wait, changes.changed()).await {
            Ok(Ok(())) => node.home.roles_changed(clock::now(), &node.fleet.view()),
            Ok(Err(_)) => return,
            Err(_) => {}
        }
        let view = node.fleet.view();
        pending = !announce_all(&node, &announced, &view).await;
        if !pending {
            announced = view;
        }
    }
}

/// Sends all announcements. Returns whether all holders confirmed theirs.
async fn announce_all(node: &Arc<Node>, before: &View, view: &View) -> bool {
    let mut confirmed = true;
    for (name, updates) in collect_announcements(node, before, view) {
        let Some(holder) = view.member(name.as_str()).map(peer) else { continue };
        for chunk in updates.chunks(MAX_KEYS_PER_MESSAGE) {
            if !announce(node, &holder, chunk.to_vec()).await {
                confirmed = false;
                break;
            }
        }
    }
    confirmed
}

async fn announce(node: &Arc<Node>, holder: &PeerAddress, updates: Vec<KeyUpdate>) -> bool {
    let message = Message::Key(KeyCall::Announce(updates));
    let confirmed = node.peers.call(holder, message, ANNOUNCE_TIMEOUT).await.is_ok();
    if !confirmed {
        log::warn!(
            holder:% = holder.instance;
            "Key holder does not confirm an announcement; retrying."
        );
    }
    confirmed
}

fn collect_announcements(node: &Arc<Node>, before: &View, view: &View) -> Announcements {
    let mut announcements = Announcements::new();
    let runner = HomeClient::new(node).runner();
    for run in node.runs.all() {
        let Some(update) = announcement_of(&run, &runner) else { continue };
        for holder in holders(node, view, &run.id, is_waiting(&update)) {
            announcements.entry(holder.name.clone()).or_default().push(update.clone());
        }
    }
    let settled = node.home.lock().settled_keys(clock::now(), MAX_SETTLED_KEYS);
    for key in settled {
        for holder in holders(node, view, &key.id, false) {
            let is_new = key.known == HandOver::Voided || !was_holder(before, &key.id, holder);
            if is_new && holder.name != view.own {
                let update = KeyUpdate::Settled(key.clone());
                announcements.entry(holder.name.clone()).or_default().push(update);
            }
        }
    }
    announcements
}

/// Returns the home of a key and, unless `home_only`, its backup.
fn holders<'v>(node: &Node, view: &'v View, id: &KeyId, home_only: bool) -> Vec<&'v ViewMember> {
    let has_backup = !home_only && node.settings.test.is_on(Mechanism::Backup);
    view.holders(id, if has_backup { 2 } else { 1 }, None)
}

/// Returns whether this incarnation of a member was the home or the backup of a key.
fn was_holder(before: &View, id: &KeyId, holder: &ViewMember) -> bool {
    let is_same_incarnation = |member: &&ViewMember| {
        member.name == holder.name && member.incarnation == holder.incarnation
    };
    before.holders(id, 2, None).iter().any(is_same_incarnation)
}

/// Returns whether the announced run is waiting. Such a run is not announced to the backup, since
/// its runner may be replaced before the backup becomes the home.
fn is_waiting(update: &KeyUpdate) -> bool {
    matches!(update, KeyUpdate::Open(run) if run.progress == Progress::Waiting)
}

/// Returns the announcement of a run. `None` if this instance is not its runner or it ended without
/// running.
fn announcement_of(run: &Run, runner: &Runner) -> Option<KeyUpdate> {
    let Ownership::Runner(progress) = run.ownership() else { return None };
    let (id, fingerprint) = (run.id.clone(), run.fingerprint.clone());
    if !run.ended() {
        return Some(KeyUpdate::Open(Announcement {
            id,
            fingerprint,
            runner: runner.clone(),
            progress,
        }));
    }
    let outcome = run.outcome()?;
    let fingerprint = Some(fingerprint);
    let known = HandOver::Finished { fingerprint, runner: runner.clone(), outcome };
    Some(KeyUpdate::Settled(SettledKey { id, known, ttl: KEY_RETENTION }))
}
