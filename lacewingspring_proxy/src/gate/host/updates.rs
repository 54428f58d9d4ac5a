//! Sends the changes of the gate's replicas to the instances that follow them over their links.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use super::{FromGate, GateHost, Link, State};
use crate::{
    clock,
    gate::{allowance::Allowance, message::MAX_UPDATE_BYTES},
    replica::{ByTopic, Topic, Update},
    store::Revision,
};

impl GateHost {
    /// Sends a link the changes that it lacks, then a pong with the age of each replica that is
    /// sent in full.
    pub(super) fn answer_ping(
        &self,
        now: Duration,
        link: u64,
        number: u64,
        follow: ByTopic<Option<Revision>>,
    ) {
        let Some(sent) = self.subscribe(link, &follow) else { return };
        let updates = self.updates_after(now, &sent);
        let mut state = self.state();
        let State { links, allowance, .. } = &mut *state;
        let Some(target) = links.get_mut(&link) else { return };
        let mut ages = ByTopic::default();
        for update in updates {
            let topic = update.topic;
            if target.send_update(now, allowance, Arc::new(update)) {
                *ages.get_mut(topic) = self.replicas.get(topic).age(now);
            }
        }
        // A closed receiver means that the link is about to be removed.
        let _ = target.tx.send(FromGate::Pong { number, ages });
        self.update_followed(&state);
    }

    /// Sets which topics a link follows here; returns the revisions up to which updates were sent
    /// to it.
    fn subscribe(
        &self,
        link: u64,
        follow: &ByTopic<Option<Revision>>,
    ) -> Option<ByTopic<Option<Revision>>> {
        let mut state = self.state();
        let target = state.links.get_mut(&link)?;
        for topic in Topic::ALL {
            let sent = target.sent_revisions.get_mut(topic);
            // Updates may still be in transit, so the revision that the instance states can be
            // lower than the one up to which updates were sent.
            *sent = follow.get(topic).map(|at| sent.unwrap_or_default().max(at));
        }
        Some(target.sent_revisions)
    }

    /// Returns the changes in each followed topic whose history reaches back far enough.
    ///
    /// Must be called without the lock of the state. A follower holds the lock of its replica while
    /// it passes a change on to this host, which then locks the state; locking the replica under
    /// the lock of the state could deadlock with it.
    fn updates_after(&self, now: Duration, sent: &ByTopic<Option<Revision>>) -> Vec<Update> {
        let followed =
            Topic::ALL.into_iter().filter_map(|topic| Some((topic, (*sent.get(topic))?)));
        followed
            .filter_map(|(topic, after)| self.replicas.update_after(now, topic, after))
            .collect()
    }

    pub(super) fn update_followed(&self, state: &State) {
        self.replicas.set_followed(state.links.values().any(Link::is_following));
    }

    /// Sends updates to the links that follow a topic here whenever a replica changes. Never
    /// returns.
    pub async fn push_updates(self: Arc<Self>) {
        let mut changes = self.replicas.subscribe();
        while changes.changed().await.is_ok() {
            let now = clock::now();
            for topic in Topic::ALL {
                self.push_topic(now, topic);
            }
        }
    }

    fn push_topic(&self, now: Duration, topic: Topic) {
        let sent = |link: &Link| *link.sent_revisions.get(topic);
        let revisions: BTreeSet<Revision> = self.state().links.values().filter_map(sent).collect();
        for after in revisions {
            let Some(update) = self.replicas.update_after(now, topic, after) else { continue };
            let update = Arc::new(update);
            let mut state = self.state();
            let State { links, allowance, .. } = &mut *state;
            for link in links.values_mut().filter(|link| sent(link) == Some(after)) {
                link.send_update(now, allowance, update.clone());
            }
        }
    }
}

impl Link {
    fn is_following(&self) -> bool {
        Topic::ALL.iter().any(|topic| self.sent_revisions.get(*topic).is_some())
    }

    /// Sends an update unless it is empty; returns `false` if the bandwidth budget does not allow
    /// it, or if it is too large for a message.
    ///
    /// The link then no longer follows the topic here. The instance watches the key-value service
    /// itself until one of its next pings subscribes to the topic again.
    fn send_update(
        &mut self,
        now: Duration,
        allowance: &mut Allowance,
        update: Arc<Update>,
    ) -> bool {
        if update.is_empty() {
            return true;
        }
        let is_sent = update.len() <= MAX_UPDATE_BYTES && allowance.try_spend(now, update.len());
        *self.sent_revisions.get_mut(update.topic) = is_sent.then_some(update.revision);
        if is_sent {
            // A closed receiver means that the link is about to be removed.
            let _ = self.tx.send(FromGate::Update(update));
        }
        is_sent
    }
}
