//! Client for the home of a key: calls the instance that is the home at the time of each attempt.

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
    entry::{Refusal, Run},
    membership::peer,
    peers::{KeyCall, KeyReply, KeyUpdate, Message},
    settings::Mechanism,
};

/// Maximum wait for one reply of a home.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum time to report the end of a run to its home. After that, only the announcements carry
/// it.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Retry-after of a refusal because no home can be reached.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Calls the homes of keys on behalf of one instance.
#[derive(Clone, Debug)]
pub struct HomeClient {
    node: Arc<Node>,
}

impl HomeClient {
    /// Creates the client of an instance.
    pub fn new(node: &Arc<Node>) -> Self {
        Self { node: node.clone() }
    }

    /// Returns this incarnation of the instance as a runner.
    pub fn runner(&self) -> Runner {
        let instance = self.node.settings.instance.clone();
        Runner { instance, incarnation: self.node.incarnation }
    }

    /// Registers a run, or returns the state of the existing one.
    ///
    /// # Errors
    ///
    /// Returns `DeadlineExceeded` if no home has answered by the deadline.
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
        self.call_until(id, call, deadline, |reply| match reply {
            KeyReply::Register(RegisterVerdict::Moved | RegisterVerdict::Unknown) => None,
            KeyReply::Register(verdict) => Some(verdict),
            _ => None,
        })
        .await
    }

    /// Requests permission to dispatch a run to an upstream.
    ///
    /// # Errors
    ///
    /// Returns `DeadlineExceeded` if no home has answered by the deadline.
    pub async fn request_dispatch(
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
        self.call_until(id, call, deadline, |reply| match reply {
            KeyReply::Dispatch(verdict) => Some(verdict),
            _ => None,
        })
        .await
    }

    /// Takes over a run from a dead runner.
    ///
    /// # Errors
    ///
    /// Returns `DeadlineExceeded` if no home has answered by the deadline.
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
        self.call_until(id, call, deadline, |reply| match reply {
            KeyReply::TakeOver(verdict) => Some(verdict),
            _ => None,
        })
        .await
    }

    /// Voids the key for a status query, unless it has a run.
    ///
    /// # Errors
    ///
    /// Returns `DeadlineExceeded` if no home has answered by the deadline.
    pub async fn void(&self, id: &KeyId, deadline: Duration) -> Result<VoidVerdict, Refusal> {
        let call = KeyCall::Void { id: id.clone() };
        self.call_until(id, call, deadline, |reply| match reply {
            KeyReply::Void(VoidVerdict::Moved | VoidVerdict::Unknown) => None,
            KeyReply::Void(verdict) => Some(verdict),
            _ => None,
        })
        .await
    }

    /// Withdraws the void of a key that is claimed and may have run.
    ///
    /// # Errors
    ///
    /// Returns `DeadlineExceeded` if no home has answered by the deadline.
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
        self.call_until(&id, call, deadline, done).await
    }

    /// Reverts a dispatch of which no byte was sent. Returns whether the home confirmed it by the
    /// deadline.
    pub async fn revert_dispatch(&self, id: &KeyId, deadline: Duration) -> bool {
        let call = KeyCall::NotSent { id: id.clone(), runner: self.runner() };
        self.call_until(id, call, deadline, done).await.is_ok()
    }

    /// Reports the outcome of a run to its home, in the background.
    pub fn report_outcome(&self, id: &KeyId, outcome: Outcome) {
        let call = KeyCall::Finished { id: id.clone(), runner: self.runner(), outcome };
        self.report_in_background(id, call);
    }

    /// Reports the outcome of an ended run of this instance to its home again, in the background.
    ///
    /// Whoever follows an ended run may have its runner from a home that missed the end: the report
    /// was lost, or the home executed the registration after the runner had stopped waiting for it,
    /// as a home does that was frozen.
    pub fn repeat_outcome(&self, run: &Run) {
        if let Some(outcome) = run.outcome().filter(|_| self.is_on()) {
            self.report_outcome(&run.id, outcome);
        }
    }

    /// Releases a run that was not dispatched, in the background.
    pub fn release(&self, id: &KeyId) {
        let call = KeyCall::Release { id: id.clone(), runner: self.runner() };
        self.report_in_background(id, call);
    }

    /// Releases a run that was not dispatched and waits until its home confirms it.
    ///
    /// # Errors
    ///
    /// Returns `DeadlineExceeded` if no home has answered by the deadline.
    pub async fn release_and_wait(&self, id: &KeyId, deadline: Duration) -> Result<(), Refusal> {
        let call = KeyCall::Release { id: id.clone(), runner: self.runner() };
        self.call_until(id, call, deadline, done).await
    }

    fn is_on(&self) -> bool {
        self.node.settings.test.is_on(Mechanism::Home)
    }

    fn report_in_background(&self, id: &KeyId, call: KeyCall) {
        let homes = self.clone();
        let id = id.clone();
        tokio::spawn(async move {
            let deadline = clock::now() + REPORT_TIMEOUT;
            let _ = homes.call_until(&id, call, deadline, done).await;
        });
    }

    /// Calls the current home with retries, until `accept` takes a reply or the deadline passes.
    async fn call_until<T, F>(
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
            if let Some(answer) = self.call_home(id, &call).await.and_then(&accept) {
                return Ok(answer);
            }
            if clock::now() + RETRY_INTERVAL >= deadline {
                return Err(Refusal::new(ErrorKind::DeadlineExceeded, UNREACHABLE_RETRY_AFTER));
            }
            sleep(RETRY_INTERVAL).await;
        }
    }

    async fn call_home(&self, id: &KeyId, call: &KeyCall) -> Option<KeyReply> {
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
