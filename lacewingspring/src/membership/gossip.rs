//! Sends heartbeats, closes connections to the dead and spreads declared state.

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

/// Longest wait for the answer to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(600);

/// Longest wait for declared state from a peer.
const DECLARED_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two looks at whether a peer has newer declared state.
const DECLARED_INTERVAL: Duration = Duration::from_millis(150);

/// Instances of a data centre that watch the key-value service; the others learn from peers.
const WATCHERS: usize = 2;

/// Role of those that watch the key-value service.
const WATCH_ROLE: &str = "watch";

/// Exit code of a process that a later run of the same instance has replaced.
const EXIT_SUPERSEDED: i32 = 3;

/// Makes a round of heartbeats each period, for ever.
pub async fn gossip(node: Arc<Node>) {
    tokio::spawn(spread_declared(node.clone()));
    tokio::spawn(close_dead(node.clone()));
    let mut ticks = interval(Duration::from_millis(node.settings.timing.heartbeat_ms));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for outgoing in node.fleet.round(clock::now(), node.declared.generation()) {
            tokio::spawn(send(node.clone(), outgoing));
        }
        stop_when_superseded(&node);
        choose_watchers(&node);
    }
}

async fn send(node: Arc<Node>, outgoing: Outgoing) {
    let Some(peer) = node.fleet.at(outgoing.to) else { return };
    let message = Message::Heartbeat(Box::new(outgoing.digest));
    let reply = node.peers.call(&peer, message, HEARTBEAT_TIMEOUT).await;
    if let Ok(Message::Heartbeat(digest)) = reply {
        node.fleet.receive(clock::now(), *digest);
    }
}

fn stop_when_superseded(node: &Node) {
    if node.fleet.view().superseded {
        log::error!("A later run of this instance exists; this one stops.");
        process::exit(EXIT_SUPERSEDED);
    }
}

fn choose_watchers(node: &Node) {
    let view = node.fleet.view();
    let watchers = watchers(&view, &node.settings.data_centre);
    let own = &node.settings.instance;
    node.declared.set_watching(watchers.iter().any(|member| member.name == *own));
}

/// Returns the members of a data centre that watch the key-value service.
pub fn watchers<'a>(view: &'a View, data_centre: &DataCentreName) -> Vec<&'a ViewMember> {
    view.holders(&WATCH_ROLE, WATCHERS, Some(data_centre))
}

/// Closes the connections to members that are no longer up, so that what waits there fails now.
async fn close_dead(node: Arc<Node>) {
    let mut changes = node.fleet.changes();
    while changes.changed().await.is_ok() {
        for instance in node.fleet.down() {
            node.peers.close(&instance);
        }
    }
}

/// Fetches declared state from a peer that has a newer one.
async fn spread_declared(node: Arc<Node>) {
    loop {
        sleep(DECLARED_INTERVAL).await;
        let Some(peer) = newer(&node) else { continue };
        let fetch = Message::FetchDeclared { have: node.declared.generation() };
        let fetched = node.peers.call(&peer, fetch, DECLARED_TIMEOUT).await;
        let Ok(Message::Declared(bytes)) = fetched else { continue };
        match node.declared.offer_snapshot(&bytes) {
            Ok(Offer::Installed) => {
                let generation = node.declared.generation();
                log::info!(generation, from:% = peer.instance; "Applies resources of a peer.");
            }
            Ok(Offer::Known) => {}
            Err(e) => log::warn!(reason:% = e; "Refused the resources of a peer."),
        }
    }
}

/// Chooses a member with a newer state at random, one of the own data centre if there is any, so
/// that no member serves the whole fleet.
fn newer(node: &Node) -> Option<PeerAddress> {
    let view = node.fleet.view();
    let own = node.declared.generation();
    let up = view.members.iter().filter(|member| is_up(member));
    let newer: Vec<_> = up.filter(|member| member.applied_generation > own).collect();
    let newest = newer.iter().map(|member| member.applied_generation).max()?;
    node.declared.note_generation(newest);
    let near = newer.iter().filter(|member| member.data_centre == node.settings.data_centre);
    let near: Vec<_> = near.copied().collect();
    let from = if near.is_empty() { newer } else { near };
    from.choose(&mut rand::rng()).map(|member| peer(member))
}
