//! Holds the roll-out of one service.

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use bytes::Bytes;
use lacewingspring_core::{
    dispatch::VersionUse,
    names::ServiceName,
    roll_out::{Counts, OrderId, RollBackCause, Stage},
};
use log::{info, warn};
use tokio::time::sleep;

use super::{
    DeclaredOrder,
    keeper::Context,
    known_key::KnownKey,
    record::{PREFIX, RollOutRecord},
    rules::KeptRule,
};
use crate::{
    clock,
    instance::StateDecoder,
    store::{Era, Revision, Store, StoreError},
};

mod decisions;
mod final_status;

/// Time after the write of a block at which its requests may no longer be sent, and at the earliest
/// the next one is written.
const BLOCK_TIME: Duration = Duration::from_secs(1);

/// Time for which grants of requests to the target may be on their way after a roll-back; the
/// status is written after it.
const GRANT_TRANSIT_TIME: Duration = Duration::from_millis(100);

/// Maximum number of remembered writes without an answer.
const MAX_UNANSWERED: usize = 8;

/// Time for which the versions that a completed roll-out has left get nothing: the platform stops
/// their upstreams at once, and later they may be released again without an order.
const LEFT_TIME: Duration = Duration::from_secs(30);

/// Holder of the roll-out of one service.
#[derive(Debug)]
pub(super) struct ServiceKeeper {
    service: ServiceName,
    /// Record of the latest order, as it was read or written last.
    record: Option<RollOutRecord>,
    record_key: KnownKey,
    status_key: KnownKey,
    /// Era in which both keys were read; `None` while they must be read again.
    read_in: Option<Era>,
    /// Time of this process at which the order was acknowledged.
    received_at: Duration,
    /// Decision to roll back that is not recorded yet.
    unrecorded_roll_back: Option<RollOutRecord>,
    /// Records whose write has had no answer; one of them may be in the store.
    unanswered: VecDeque<RollOutRecord>,
    block_written_at: Duration,
    /// Order whose take-up was logged last; the take-up is repeated if a call fails.
    logged_order: Option<OrderId>,
    is_failing: bool,
}

impl ServiceKeeper {
    /// Creates a holder that has read nothing.
    pub fn new(service: ServiceName) -> Self {
        Self {
            service,
            record: None,
            record_key: KnownKey::default(),
            status_key: KnownKey::default(),
            read_in: None,
            received_at: Duration::ZERO,
            unrecorded_roll_back: None,
            unanswered: VecDeque::new(),
            block_written_at: Duration::ZERO,
            logged_order: None,
            is_failing: false,
        }
    }

    /// Ends the tenure; returns whether a roll-back is not recorded yet. It is recorded when this
    /// instance is the gate again, as the gates between may not have seen what led to it.
    pub fn end_tenure(&mut self) -> bool {
        self.read_in = None;
        self.unrecorded_roll_back.is_some()
    }

    /// Takes the next step. A call that failed is made again at a later step, after the keys were
    /// read again: it may have been executed.
    pub async fn step<S, T>(&mut self, context: &Context<S, T>)
    where
        S: Store,
        T: StateDecoder,
    {
        match self.try_step(context).await {
            Ok(()) => self.is_failing = false,
            Err(e) => {
                self.read_in = None;
                if !std::mem::replace(&mut self.is_failing, true) {
                    warn!(
                        service = self.service.as_str(), error:% = e;
                        "A call for a roll-out failed; the keys are read again."
                    );
                }
            }
        }
    }

    async fn try_step<S, T>(&mut self, context: &Context<S, T>) -> Result<(), StoreError>
    where
        S: Store,
        T: StateDecoder,
    {
        let is_released = self.must_hold() && !context.host.holds_roll_out(&self.service);
        let is_behind = self.is_record_behind(context);
        if is_released || is_behind || self.read_in != Some(context.store.era()) {
            // What is decided without the store is decided before the calls to it.
            self.decide_without_store(context);
            self.read(context).await?;
        }
        self.follow_order(context).await?;
        self.roll_back(context).await?;
        self.decide(context).await?;
        self.write_status(context).await
    }

    /// Returns whether the roll-out is to be held.
    fn must_hold(&self) -> bool {
        self.unrecorded_roll_back.is_none()
            && self.record.as_ref().is_some_and(|record| !record.stage.is_final())
    }

    /// Returns the record that instances told each other; `None` while a roll-back of this instance
    /// is not recorded yet, which must not be merged into what is read.
    fn known<S, T>(&self, context: &Context<S, T>) -> Option<RollOutRecord> {
        let known = context.host.known_roll_out(clock::now(), &self.service);
        known.filter(|_| self.unrecorded_roll_back.is_none())
    }

    /// Returns whether this instance was told a later stage, higher counts or a newer order than
    /// the record has.
    fn is_record_behind<S, T>(&self, context: &Context<S, T>) -> bool {
        RollOutRecord::merged(self.record.clone(), self.known(context)) != self.record
    }

    fn record_key(&self) -> String {
        format!("{PREFIX}{}", self.service)
    }

    /// Reads the record and the status, and adds what the store has lost.
    async fn read<S, T>(&mut self, context: &Context<S, T>) -> Result<(), StoreError>
    where
        S: Store,
        T: StateDecoder,
    {
        // The status is read first: if another holder ends the roll-out between the reads, a write
        // of a status that follows from the older record conflicts.
        let status_key = context.decoder.status_key(&self.service);
        let status_key = KnownKey::read(&*context.store, &status_key).await?;
        let record_key = KnownKey::read(&*context.store, &self.record_key()).await?;
        let eras = [record_key.revision, status_key.revision].into_iter().flatten();
        let era = context.store.era();
        if eras.map(|revision| revision.era).any(|other| other != era) {
            return Err(StoreError::EarlierEra);
        }
        let stored = record_key.value.as_deref().and_then(|value| self.parse(value));
        self.record_key.refresh(record_key);
        self.status_key.refresh(status_key);
        self.read_in = Some(era);
        if let Some(own) = stored.as_ref().filter(|stored| self.unanswered.contains(stored)) {
            // Taken for a record of another holder, its counts would be added to the same counts.
            context.host.note_roll_out_written(&self.service, own.order, own.counts);
            self.unanswered.clear();
        }
        let known = RollOutRecord::merged(self.record.take(), self.known(context));
        self.record = RollOutRecord::merged(stored.clone(), known);
        if let Some(record) = &self.record {
            self.received_at = self.order_received_at(context, record);
            context.host.tell_roll_out(clock::now(), record, false);
        }
        // What is known holds also if its write fails.
        self.apply_record(context);
        match self.record.clone().filter(|record| stored.as_ref() != Some(record)) {
            Some(record) => {
                self.log_older(stored.as_ref(), &record);
                self.write_record(context, record).await
            }
            None => Ok(()),
        }
    }

    /// Returns the time of this process at which the order of a record was acknowledged, by that
    /// record and by what instances told each other, who measure the time since the last write.
    fn order_received_at<S, T>(&self, context: &Context<S, T>, record: &RollOutRecord) -> Duration {
        let (now, wall) = (clock::now(), clock::wall());
        let mut record = record.clone();
        if let Some(known) = context.host.known_roll_out(now, &self.service) {
            record.take_later_age(&known);
        }
        record.order_at(now, wall).received_at
    }

    /// Logs that the key-value service lacks the latest stage of the roll-out, as after a restore.
    fn log_older(&self, stored: Option<&RollOutRecord>, record: &RollOutRecord) {
        let stored = stored.map(|stored| &stored.stage);
        if self.is_failing || stored == Some(&record.stage) {
            return;
        }
        info!(
            service = self.service.as_str(), target = record.target.as_str(),
            stored_stage:? = stored, stage:? = record.stage, bad = record.counts.bad;
            "The key-value service lacks the latest stage of the roll-out; the record is written \
             again."
        );
    }

    fn parse(&self, value: &[u8]) -> Option<RollOutRecord> {
        match serde_json::from_slice(value) {
            Ok(record) => Some(record),
            Err(e) => {
                if !self.is_failing {
                    warn!(
                        service = self.service.as_str(), error:% = e;
                        "The record of a roll-out can't be parsed; it is replaced."
                    );
                }
                None
            }
        }
    }

    /// Writes the record if no other holder has changed it.
    async fn write_record<S, T>(
        &mut self,
        context: &Context<S, T>,
        record: RollOutRecord,
    ) -> Result<(), StoreError>
    where
        S: Store,
    {
        let age = clock::now().saturating_sub(self.received_at);
        let record = record.stamped(age, clock::wall());
        let value = serde_json::to_vec(&record);
        let value = Bytes::from(value.map_err(|e| StoreError::Malformed(e.to_string()))?);
        let key = self.record_key();
        self.unanswered.truncate(MAX_UNANSWERED - 1);
        self.unanswered.push_front(record.clone());
        self.record_key.write(&*context.store, &key, value).await?;
        self.unanswered.clear();
        context.host.note_roll_out_written(&self.service, record.order, record.counts);
        context.host.tell_roll_out(clock::now(), &record, true);
        self.record = Some(record);
        Ok(())
    }

    /// Makes the dispatcher act as the record says.
    fn apply_record<S, T>(&self, context: &Context<S, T>)
    where
        T: StateDecoder,
    {
        let Some(record) = &self.record else { return };
        let (now, host) = (clock::now(), &context.host);
        let declared = host.declared_order(&self.service).and_then(|known| known.order);
        if declared.is_some_and(|(order, _)| !record.is_of(&order) && order.id() > record.order) {
            // It is about to be replaced.
            host.release_roll_out(&self.service);
            return self.apply_rule(context, record, record.stage == Stage::Completed);
        }
        if self.has_unrecorded_roll_back(record) {
            host.release_roll_out(&self.service);
            return self.apply_rule(context, record, false);
        }
        match &record.stage {
            Stage::Observing => {
                host.hold_roll_out(now, self.order(record), record, VersionUse::Observing);
            }
            Stage::Shifting => {
                host.hold_roll_out(now, self.order(record), record, VersionUse::Shifting);
            }
            Stage::Completed => {
                // Bars the versions that it has left before the release, which ends the hold that
                // kept them unused.
                self.apply_rule(context, record, true);
                return host.release_roll_out(&self.service);
            }
            Stage::RolledBack(_) => host.release_roll_out(&self.service),
        }
        self.apply_rule(context, record, !matches!(record.stage, Stage::RolledBack(_)));
    }

    /// Bars the versions that a record excludes, and its target unless it is in service, before the
    /// roll-out is taken up.
    pub fn exclude<S, T>(&self, context: &Context<S, T>, record: &RollOutRecord)
    where
        T: StateDecoder,
    {
        self.apply_rule(context, record, record.stage == Stage::Completed);
    }

    fn order(&self, record: &RollOutRecord) -> lacewingspring_core::roll_out::Order {
        let order = record.order_at(clock::now(), clock::wall());
        let deadline = self.received_at + Duration::from_millis(record.allowed_ms);
        lacewingspring_core::roll_out::Order { received_at: self.received_at, deadline, ..order }
    }

    fn apply_rule<S, T>(
        &self,
        context: &Context<S, T>,
        record: &RollOutRecord,
        is_target_usable: bool,
    ) where
        T: StateDecoder,
    {
        // A record is written last when its roll-out is completed.
        let since = record.age(clock::wall()).saturating_sub(Duration::from_millis(record.age_ms));
        let is_left_barred = since < LEFT_TIME || !self.is_status_written(context);
        let rule = KeptRule {
            order: record.order,
            target: record.target.clone(),
            is_target_usable: is_target_usable || record.is_target_in_service(),
            rolled_back: record.rolled_back.clone(),
            in_service: record.in_service.clone().unwrap_or_default(),
            left: if is_left_barred { record.left.clone() } else { BTreeSet::new() },
        };
        context.host.set_roll_out_rule(clock::now(), &self.service, Some(rule));
    }

    /// Takes up an order that has no record yet, and ends a roll-out whose order was deleted.
    async fn follow_order<S, T>(&mut self, context: &Context<S, T>) -> Result<(), StoreError>
    where
        S: Store,
        T: StateDecoder,
    {
        let Some(known) = context.host.declared_order(&self.service) else { return Ok(()) };
        let Some((order, seen_at)) = known.order else {
            if !known.is_unreadable {
                self.note_deleted(context, known.orders_revision);
            }
            return Ok(());
        };
        match &self.record {
            Some(record) if record.is_of(&order) => {
                if record.order == order.id() {
                    return Ok(());
                }
                let record = RollOutRecord { order: order.id(), ..record.clone() };
                self.write_record(context, record).await?;
                self.apply_record(context);
                Ok(())
            }
            Some(record) if record.order > order.id() => Ok(()),
            _ => self.take_up(context, &order, seen_at).await,
        }
    }

    /// Rolls back if the order of a roll-out in progress was deleted. An order that was lost with
    /// an era of the store goes on.
    fn note_deleted<S, T>(&mut self, context: &Context<S, T>, orders_revision: Revision)
    where
        T: StateDecoder,
    {
        let Some(record) = &self.record else { return };
        let acknowledged_at =
            Revision { era: Era(record.order.era), number: record.order.revision };
        let is_known =
            orders_revision.era == acknowledged_at.era && orders_revision >= acknowledged_at;
        if record.stage.is_final() || self.unrecorded_roll_back.is_some() || !is_known {
            return;
        }
        self.begin_roll_back(context, RollBackCause::OrderDeleted);
    }

    async fn take_up<S, T>(
        &mut self,
        context: &Context<S, T>,
        order: &DeclaredOrder,
        seen_at: Duration,
    ) -> Result<(), StoreError>
    where
        S: Store,
        T: StateDecoder,
    {
        let host = &context.host;
        let is_repeated = self.logged_order.replace(order.id()) == Some(order.id());
        if let Some(before) = self.record.as_ref().filter(|before| !before.stage.is_final()) {
            if !is_repeated {
                info!(
                    service = self.service.as_str(), target = before.target.as_str(),
                    newer_target = order.target.as_str();
                    "A newer order replaces the roll-out in progress."
                );
            }
            self.apply_rule(context, before, false);
        }
        host.release_roll_out(&self.service);
        self.unrecorded_roll_back = None;
        self.received_at = seen_at;
        let versions = host.registered_versions(&self.service);
        let serving_again = host.versions_serving_again(&self.service);
        let before = self.record.as_ref();
        let mut record = RollOutRecord::new(order, before, &versions, &serving_again);
        if clock::now().saturating_sub(seen_at) >= order.allowed {
            record.stage = Stage::RolledBack(RollBackCause::DeadlinePassed);
        } else if versions == [order.target.clone()] {
            record.stage = Stage::Completed;
        }
        if !is_repeated {
            let in_service = record.in_service.iter().flatten();
            let in_service: Vec<&str> = in_service.map(|version| version.as_str()).collect();
            info!(
                service = self.service.as_str(), target = order.target.as_str(),
                allowed_ms = order.allowed.as_millis() as u64, era = order.revision.era.0,
                revision = order.revision.number, versions = versions.len(),
                in_service:?, stage:? = record.stage;
                "The order of a roll-out is taken up."
            );
        }
        self.write_record(context, record).await?;
        self.apply_record(context);
        Ok(())
    }

    /// Stops the use of the target at once; the record follows.
    fn begin_roll_back<S, T>(&mut self, context: &Context<S, T>, cause: RollBackCause)
    where
        T: StateDecoder,
    {
        let Some(record) = self.record.clone() else { return };
        let now = clock::now();
        let age = now.saturating_sub(self.received_at);
        let counts = self.counts(context, &record);
        context.host.release_roll_out(&self.service);
        self.apply_rule(context, &record, false);
        info!(
            service = self.service.as_str(), target = record.target.as_str(),
            requests = counts.requests, target_requests = counts.target_requests,
            bad = counts.bad, cause:? = cause, age_ms = age.as_millis() as u64;
            "The roll-out is rolled back; the target gets no more requests."
        );
        let rolled_back = RollOutRecord { stage: Stage::RolledBack(cause), counts, ..record };
        let rolled_back = rolled_back.stamped(age, clock::wall());
        context.host.tell_roll_out(now, &rolled_back, false);
        self.unrecorded_roll_back = Some(rolled_back);
    }

    fn counts<S, T>(&self, context: &Context<S, T>, record: &RollOutRecord) -> Counts {
        context.host.roll_out_counts(&self.service).unwrap_or(record.counts)
    }

    /// Returns whether a roll-back of the order of a record was decided and is not recorded.
    fn has_unrecorded_roll_back(&self, record: &RollOutRecord) -> bool {
        !record.stage.is_final()
            && self
                .unrecorded_roll_back
                .as_ref()
                .is_some_and(|rolled_back| rolled_back.order == record.order)
    }

    /// Records a roll-back that was decided, unless another holder has ended the roll-out.
    async fn roll_back<S, T>(&mut self, context: &Context<S, T>) -> Result<(), StoreError>
    where
        S: Store,
        T: StateDecoder,
    {
        let Some(rolled_back) = self.unrecorded_roll_back.clone() else { return Ok(()) };
        if let Some(current) =
            self.record.clone().filter(|record| self.has_unrecorded_roll_back(record))
        {
            sleep(GRANT_TRANSIT_TIME).await;
            // Another holder may have counted more meanwhile.
            let record = RollOutRecord::merged(Some(current), Some(rolled_back.clone()));
            self.write_record(context, record.unwrap_or(rolled_back)).await?;
        }
        self.unrecorded_roll_back = None;
        self.apply_record(context);
        Ok(())
    }

    /// Rolls back a version that is found bad although the store does not answer.
    fn decide_without_store<S, T>(&mut self, context: &Context<S, T>)
    where
        T: StateDecoder,
    {
        if self.unrecorded_roll_back.is_some() {
            return;
        }
        let decided = context.host.decide_roll_out(clock::now(), &self.service);
        if let Some(Stage::RolledBack(cause)) = decided {
            self.begin_roll_back(context, cause);
        }
    }
}
