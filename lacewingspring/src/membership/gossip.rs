//! Sends heartbeats, closes connections to members that are down and fetches newer declared state.

use std::{process, sync::Arc, time::Duration};

use lacewingspring_core::{
    membership::{Outgoing, View, ViewMember},
    names::DataCentreName,
};
use rand::seq::IndexedRandom;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::{is_up, peer};
use crate::{
    clock,
    daemon::Node,
    declared::Offer,
    peers::{Message, PeerAddress},
};

/// Longest wait for the reply to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(600);

/// Longest wait for declared state from a peer.
const DECLARED_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval at which this instance checks whether a peer has newer declared state.
const DECLARED_INTERVAL: Duration = Duration::from_millis(150);

/// Number of instances of a data centre that watch the key-value service. The others fetch declared
/// state from peers.
const WATCHERS: usize = 2;

/// Name of the role whose holders watch the key-value service.
const WATCH_ROLE: &str = "watch";

/// Exit code of a process that a later incarnation of the same instance has replaced.
const EXIT_SUPERSEDED: i32 = 3;

/// Sends a round of heartbeats each period; never returns.
pub async fn gossip(node: Arc<Node>) {
    tokio::spawn(fetch_newer_declared(node.clone()));
    tokio::spawn(close_down_members(node.clone()));
    let mut ticks = interval(Duration::from_millis(node.settings.timing.heartbeat_ms));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for outgoing in node.fleet.heartbeat_round(clock::now(), node.declared.generation()) {
            tokio::spawn(send_heartbeat(node.clone(), outgoing));
        }
        exit_if_superseded(&node);
        update_watching(&node);
    }
}

async fn send_heartbeat(node: Arc<Node>, outgoing: Outgoing) {
    let Some(peer) = node.fleet.peer_at(outgoing.to) else { return };
    let message = Message::Heartbeat(Box::new(outgoing.digest));
    let reply = node.peers.call(&peer, message, HEARTBEAT_TIMEOUT).await;
    if let Ok(Message::Heartbeat(digest)) = reply {
        node.fleet.receive(clock::now(), *digest);
    }
}

fn exit_if_superseded(node: &Node) {
    if node.fleet.view().superseded {
        log::error!("A later incarnation of this instance is running; this process exits.");
        process::exit(EXIT_SUPERSEDED);
    }
}

fn update_watching(node: &Node) {
    let view = node.fleet.view();
    let watchers = watchers(&view, &node.settings.data_centre);
    let own = &node.settings.instance;
    node.declared.set_watching(watchers.iter().any(|member| member.name == *own));
}

/// Returns the members of a data centre that watch the key-value service.
pub fn watchers<'a>(view: &'a View, data_centre: &DataCentreName) -> Vec<&'a ViewMember> {
    view.holders(&WATCH_ROLE, WATCHERS, Some(data_centre))
}

/// Closes the connections to members that are no longer up, so that calls to them fail at once.
async fn close_down_members(node: Arc<Node>) {
    let mut changes = node.fleet.changes();
    while changes.changed().await.is_ok() {
        for instance in node.fleet.down_members() {
            node.peers.close(&instance);
        }
    }
}

/// Fetches declared state from a peer that has a newer generation; never returns.
async fn fetch_newer_declared(node: Arc<Node>) {
    loop {
        sleep(DECLARED_INTERVAL).await;
        let Some(peer) = choose_newer_peer(&node) else { continue };
        let fetch = Message::FetchDeclared { have: node.declared.generation() };
        let fetched = node.peers.call(&peer, fetch, DECLARED_TIMEOUT).await;
        let Ok(Message::Declared(bytes)) = fetched else { continue };
        match node.declared.offer_snapshot(&bytes) {
            Ok(Offer::Installed) => {
                let generation = node.declared.generation();
                log::info!(generation, from:% = peer.instance; "Applies resources from a peer.");
            }
            Ok(Offer::Known) => {}
            Err(e) => log::warn!(reason:% = e; "Rejects resources from a peer."),
        }
    }
}

/// Chooses a random member that has newer declared state, one of the own data centre if there is
/// any.
///
/// The choice is random so that no member serves the whole fleet.
fn choose_newer_peer(node: &Node) -> Option<PeerAddress> {
    let view = node.fleet.view();
    let own = node.declared.generation();
    let up = view.members.iter().filter(|member| is_up(member));
    let newer: Vec<_> = up.filter(|member| member.applied_generation > own).collect();
    let newest = newer.iter().map(|member| member.applied_generation).max()?;
    node.declared.note_generation(newest);
    let local = newer.iter().filter(|member| member.data_centre == node.settings.data_centre);
    let local: Vec<_> = local.copied().collect();
    let from = if local.is_empty() { newer } else { local };
    from.choose(&mut rand::rng()).map(|member| peer(member))
}
