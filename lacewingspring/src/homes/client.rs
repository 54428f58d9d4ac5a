//! Asks the home of a key, whichever instance it is now.

use std::{sync::Arc, time::Duration};

use lacewingspring_core::{
    error::ErrorKind,
    key_index::{
        Announcement, DispatchVerdict, KeyId, Outcome, RegisterVerdict, Runner, TakeOverVerdict,
        VoidVerdict,
    },
    names::{Fingerprint, UpstreamName},
};
use tokio::time::sleep;

use crate::{
    clock,
    daemon::Node,
    entry::Refusal,
    membership::peer,
    peers::{KeyCall, KeyReply, KeyUpdate, Message},
    settings::Mechanism,
};

/// Longest wait for one answer of a home.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which the end of a run is told to its home before it is left to the announcements.
const TELL_FOR: Duration = Duration::from_secs(5);

/// When callers are told to come back if no home can be reached.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Asks the homes of keys for one instance.
#[derive(Clone, Debug)]
pub struct Homes {
    node: Arc<Node>,
}

impl Homes {
    /// Creates the client of an instance.
    pub fn new(node: &Arc<Node>) -> Self {
        Self { node: node.clone() }
    }

    /// Returns this instance as a runner.
    pub fn runner(&self) -> Runner {
        let instance = self.node.settings.instance.clone();
        Runner { instance, incarnation: self.node.incarnation }
    }

    /// Registers a run, or finds the one that exists, by the deadline.
    ///
    /// # Errors
    ///
    /// Refuses when no home answers in time.
    pub async fn register(
        &self,
        id: &KeyId,
        fingerprint: &Fingerprint,
        minted: bool,
        deadline: Duration,
    ) -> Result<RegisterVerdict, Refusal> {
        if !self.is_on() {
            return Ok(RegisterVerdict::Registered);
        }
        let runner = self.runner();
        let fingerprint = fingerprint.clone();
        let call = KeyCall::Register { id: id.clone(), fingerprint, runner, minted };
        self.until(id, call, deadline, |reply| match reply {
            KeyReply::Register(RegisterVerdict::Moved | RegisterVerdict::Unknown) => None,
            KeyReply::Register(verdict) => Some(verdict),
            _ => None,
        })
        .await
    }

    /// Asks to dispatch to an upstream, by the deadline.
    ///
    /// # Errors
    ///
    /// Refuses when no home answers in time.
    pub async fn dispatching(
        &self,
        id: &KeyId,
        upstream: &UpstreamName,
        deadline: Duration,
    ) -> Result<DispatchVerdict, Refusal> {
        if !self.is_on() {
            return Ok(DispatchVerdict::Proceed);
        }
        let runner = self.runner();
        let call = KeyCall::Dispatching { id: id.clone(), runner, upstream: upstream.clone() };
        self.until(id, call, deadline, |reply| match reply {
            KeyReply::Dispatch(verdict) => Some(verdict),
            _ => None,
        })
        .await
    }

    /// Replaces a dead runner, by the deadline.
    ///
    /// # Errors
    ///
    /// Refuses when no home answers in time.
    pub async fn take_over(
        &self,
        id: &KeyId,
        dead: &Runner,
        deadline: Duration,
    ) -> Result<TakeOverVerdict, Refusal> {
        let call = KeyCall::TakeOver {
            id: id.clone(),
            new_runner: self.runner(),
            dead_runner: dead.clone(),
        };
        self.until(id, call, deadline, |reply| match reply {
            KeyReply::TakeOver(verdict) => Some(verdict),
            _ => None,
        })
        .await
    }

    /// Settles a key for a status query, by the deadline.
    ///
    /// # Errors
    ///
    /// Refuses when no home answers in time.
    pub async fn void(&self, id: &KeyId, deadline: Duration) -> Result<VoidVerdict, Refusal> {
        let call = KeyCall::Void { id: id.clone() };
        self.until(id, call, deadline, |reply| match reply {
            KeyReply::Void(VoidVerdict::Moved | VoidVerdict::Unknown) => None,
            KeyReply::Void(verdict) => Some(verdict),
            _ => None,
        })
        .await
    }

    /// Withdraws the void of a key that was claimed and may have run, by the deadline.
    ///
    /// # Errors
    ///
    /// Refuses when no home answers in time.
    pub async fn withdraw_void(
        &self,
        run: Announcement,
        deadline: Duration,
    ) -> Result<(), Refusal> {
        let id = run.id.clone();
        let call = KeyCall::Announce(vec![KeyUpdate::Claimed(run)]);
        if let Some(backup) = self.node.fleet.view().holders(&id, 2, None).get(1).copied().map(peer)
        {
            let _ = self.node.peers.call(&backup, Message::Key(call.clone()), CALL_TIMEOUT).await;
        }
        self.until(&id, call, deadline, done).await
    }

    /// Takes back a dispatch of which no byte was sent; true when the home took it.
    pub async fn not_sent(&self, id: &KeyId, deadline: Duration) -> bool {
        let call = KeyCall::NotSent { id: id.clone(), runner: self.runner() };
        self.until(id, call, deadline, done).await.is_ok()
    }

    /// Tells the home what came of a run, in the background.
    pub fn finished(&self, id: &KeyId, outcome: Outcome) {
        let call = KeyCall::Finished { id: id.clone(), runner: self.runner(), outcome };
        self.tell(id, call);
    }

    /// Drops a run that was not dispatched, in the background.
    pub fn release(&self, id: &KeyId) {
        let call = KeyCall::Release { id: id.clone(), runner: self.runner() };
        self.tell(id, call);
    }

    /// Drops a run that was not dispatched and waits for its home, by the deadline.
    ///
    /// # Errors
    ///
    /// Refuses when no home answers in time.
    pub async fn release_now(&self, id: &KeyId, deadline: Duration) -> Result<(), Refusal> {
        let call = KeyCall::Release { id: id.clone(), runner: self.runner() };
        self.until(id, call, deadline, done).await
    }

    fn is_on(&self) -> bool {
        self.node.settings.test.is_on(Mechanism::Home)
    }

    fn tell(&self, id: &KeyId, call: KeyCall) {
        let homes = self.clone();
        let id = id.clone();
        tokio::spawn(async move {
            let deadline = clock::now() + TELL_FOR;
            let _ = homes.until(&id, call, deadline, done).await;
        });
    }

    /// Asks the present home again and again until `accept` takes an answer.
    async fn until<T, F>(
        &self,
        id: &KeyId,
        call: KeyCall,
        deadline: Duration,
        accept: F,
    ) -> Result<T, Refusal>
    where
        F: Fn(KeyReply) -> Option<T>,
    {
        loop {
            if let Some(answer) = self.ask(id, &call).await.and_then(&accept) {
                return Ok(answer);
            }
            if clock::now() + RETRY_INTERVAL >= deadline {
                return Err(Refusal::new(ErrorKind::DeadlineExceeded, UNREACHABLE_RETRY_AFTER));
            }
            sleep(RETRY_INTERVAL).await;
        }
    }

    async fn ask(&self, id: &KeyId, call: &KeyCall) -> Option<KeyReply> {
        let home = self.node.fleet.view().holder(id, None).map(peer)?;
        let message = Message::Key(call.clone());
        match self.node.peers.call(&home, message, CALL_TIMEOUT).await {
            Ok(Message::KeyReply(reply)) => Some(reply),
            Ok(_) | Err(_) => None,
        }
    }
}

fn done(reply: KeyReply) -> Option<()> {
    matches!(reply, KeyReply::Done).then_some(())
}
