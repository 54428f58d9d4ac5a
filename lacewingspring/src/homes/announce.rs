//! Tells the holders of keys what this instance knows of them when the view changes.
//!
//! A runner tells of its runs, and an index of the keys that are settled in it, so that what was
//! said of a key lasts while one of its former homes or backups lives.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use lacewingspring_core::{
    error::RunState,
    key_index::{Announcement, HandOver, KeyId, Outcome, Progress, Runner, SettledKey},
    membership::{View, ViewMember},
    names::InstanceName,
};
use tokio::time::timeout;

use super::{Homes, KEY_RETENTION};
use crate::{
    clock,
    daemon::Node,
    entry::{Ownership, Run},
    membership::peer,
    peers::{KeyCall, KeyUpdate, Message, PeerAddress},
    settings::Mechanism,
};

/// Longest wait for a holder to take an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which all is told again when a holder did not take it.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Most keys in one announcement.
const MAX_KEYS: usize = 1_000;

/// Most settled keys that an index tells of after one change.
const MAX_SETTLED: usize = 10_000;

/// What the holders of keys are to be told, by the name of the holder.
type Tellings = BTreeMap<InstanceName, Vec<KeyUpdate>>;

/// Announces what this instance knows of keys after each change of the view, for ever.
pub async fn announce_on_change(node: Arc<Node>) {
    let mut changes = node.fleet.changes();
    let mut told = node.fleet.view();
    let mut pending = false;
    loop {
        let wait = if pending { RETRY_INTERVAL } else { Duration::MAX };
        match timeout(wait, changes.changed()).await {
            Ok(Ok(())) => node.home.roles_changed(clock::now(), &node.fleet.view()),
            Ok(Err(_)) => return,
            Err(_) => {}
        }
        let view = node.fleet.view();
        pending = !announce_all(&node, &told, &view).await;
        if !pending {
            told = view;
        }
    }
}

/// Tells all holders; false when one did not take it.
async fn announce_all(node: &Arc<Node>, before: &View, view: &View) -> bool {
    let mut taken = true;
    for (name, told) in tellings(node, before, view) {
        let Some(holder) = view.member(name.as_str()).map(peer) else { continue };
        for part in told.chunks(MAX_KEYS) {
            if !announce(node, &holder, part.to_vec()).await {
                taken = false;
                break;
            }
        }
    }
    taken
}

async fn announce(node: &Arc<Node>, holder: &PeerAddress, told: Vec<KeyUpdate>) -> bool {
    let message = Message::Key(KeyCall::Announce(told));
    let taken = node.peers.call(holder, message, ANNOUNCE_TIMEOUT).await.is_ok();
    if !taken {
        log::warn!(holder:% = holder.instance; "A holder of keys did not take an announcement.");
    }
    taken
}

fn tellings(node: &Arc<Node>, before: &View, view: &View) -> Tellings {
    let mut tellings = Tellings::new();
    let runner = Homes::new(node).runner();
    for run in node.runs.all() {
        let Some(told) = told(&run, &runner) else { continue };
        for holder in holders(node, view, &run.id, waits(&told)) {
            tellings.entry(holder.name.clone()).or_default().push(told.clone());
        }
    }
    let settled = node.home.lock().settled_keys(clock::now(), MAX_SETTLED);
    for key in settled {
        for holder in holders(node, view, &key.id, false) {
            let is_new = key.known == HandOver::Voided || !held(before, &key.id, holder);
            if is_new && holder.name != view.own {
                let told = KeyUpdate::Settled(key.clone());
                tellings.entry(holder.name.clone()).or_default().push(told);
            }
        }
    }
    tellings
}

/// Returns the home of a key and, unless only the home is to know it, its backup.
fn holders<'v>(node: &Node, view: &'v View, id: &KeyId, home_only: bool) -> Vec<&'v ViewMember> {
    let has_backup = !home_only && node.settings.test.is_on(Mechanism::Backup);
    view.holders(id, if has_backup { 2 } else { 1 }, None)
}

/// Whether this run of a member was the home or the backup of a key.
fn held(before: &View, id: &KeyId, holder: &ViewMember) -> bool {
    let same = |member: &&ViewMember| {
        member.name == holder.name && member.incarnation == holder.incarnation
    };
    before.holders(id, 2, None).iter().any(same)
}

/// Whether the run waits. A backup isn't told so, since its runner may be replaced meanwhile.
fn waits(told: &KeyUpdate) -> bool {
    matches!(told, KeyUpdate::Open(run) if run.progress == Progress::Waiting)
}

/// What the holders of a key are told of its run; nothing when this instance is not its runner.
fn told(run: &Run, runner: &Runner) -> Option<KeyUpdate> {
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
    let outcome = match run.failure().map(|kind| kind.answer().run) {
        None | Some(RunState::Ran) => Outcome::Answered,
        Some(RunState::MayHaveRun) => Outcome::MayHaveRun,
        Some(RunState::NotRun) => return None,
    };
    let fingerprint = Some(fingerprint);
    let known = HandOver::Finished { fingerprint, runner: runner.clone(), outcome };
    Some(KeyUpdate::Settled(SettledKey { id, known, ttl: KEY_RETENTION }))
}
