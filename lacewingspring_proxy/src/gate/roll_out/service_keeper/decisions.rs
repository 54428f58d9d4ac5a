//! Decisions on a roll-out in progress.

use std::collections::BTreeSet;

use lacewingspring_core::{
    dispatch::VersionUse,
    roll_out::{Block, Stage},
};
use log::info;

use super::{BLOCK_TIME, ServiceKeeper};
use crate::{
    clock,
    gate::roll_out::{keeper::Context, record::RollOutRecord},
    instance::StateDecoder,
    store::{Store, StoreError},
};

impl ServiceKeeper {
    /// Decides on a roll-out in progress, and records what is decided.
    pub(super) async fn decide<S, T>(&mut self, context: &Context<S, T>) -> Result<(), StoreError>
    where
        S: Store,
        T: StateDecoder,
    {
        let Some(record) = self.record.clone().filter(|record| !record.stage.is_final()) else {
            return Ok(());
        };
        let now = clock::now();
        let Some(decided) = context.host.decide_roll_out(now, &self.service) else {
            return Ok(());
        };
        self.report(context, &record);
        match decided {
            Stage::RolledBack(cause) => {
                self.begin_roll_back(context, cause);
                self.roll_back(context).await
            }
            Stage::Observing => self.reserve_block(context, record).await,
            Stage::Shifting if record.stage == Stage::Observing => {
                self.shift(context, record).await
            }
            Stage::Shifting => self.record_bad(context, record).await,
            Stage::Completed => self.complete(context, record).await,
        }
    }

    /// Reserves requests to the target in the record before they are sent.
    async fn reserve_block<S, T>(
        &mut self,
        context: &Context<S, T>,
        record: RollOutRecord,
    ) -> Result<(), StoreError>
    where
        S: Store,
        T: StateDecoder,
    {
        let sent_at = clock::now();
        if sent_at < self.block_written_at + BLOCK_TIME {
            return Ok(());
        }
        let Some((size, counts)) = context.host.next_block(sent_at, &self.service) else {
            return Ok(());
        };
        self.block_written_at = sent_at;
        self.write_record(context, RollOutRecord { counts, ..record }).await?;
        let block = Block { size, expires_at: sent_at + BLOCK_TIME };
        context.host.open_block(clock::now(), &self.service, block);
        Ok(())
    }

    /// Records further bad responses of the target, so that a successor judges by them too.
    async fn record_bad<S, T>(
        &mut self,
        context: &Context<S, T>,
        record: RollOutRecord,
    ) -> Result<(), StoreError>
    where
        S: Store,
        T: StateDecoder,
    {
        let (now, counts) = (clock::now(), self.counts(context, &record));
        if counts.bad <= record.counts.bad || now < self.block_written_at + BLOCK_TIME {
            return Ok(());
        }
        self.block_written_at = now;
        self.write_record(context, RollOutRecord { counts, ..record }).await
    }

    async fn shift<S, T>(
        &mut self,
        context: &Context<S, T>,
        record: RollOutRecord,
    ) -> Result<(), StoreError>
    where
        S: Store,
        T: StateDecoder,
    {
        let counts = self.counts(context, &record);
        let record = RollOutRecord { stage: Stage::Shifting, counts, ..record };
        self.write_record(context, record.clone()).await?;
        context.host.set_version_use(clock::now(), &self.service, VersionUse::Shifting);
        info!(
            service = self.service.as_str(), target = record.target.as_str(),
            requests = counts.requests, target_requests = counts.target_requests,
            bad = counts.bad, target_responses:? = counts.target, old_responses:? = counts.old,
            age_ms = clock::now().saturating_sub(self.received_at).as_millis() as u64;
            "The target is judged sound; new requests go to it only."
        );
        Ok(())
    }

    /// Completes the roll-out when nothing runs or waits at the other versions.
    async fn complete<S, T>(
        &mut self,
        context: &Context<S, T>,
        record: RollOutRecord,
    ) -> Result<(), StoreError>
    where
        S: Store,
        T: StateDecoder,
    {
        if record.stage == Stage::Observing {
            return self.shift(context, record).await;
        }
        let (now, host) = (clock::now(), &context.host);
        if !host.knows_all_runs(now) {
            return Ok(());
        }
        host.set_version_use(now, &self.service, VersionUse::TargetOnly);
        if !host.is_old_idle(now, &self.service) {
            host.set_version_use(now, &self.service, VersionUse::Shifting);
            return Ok(());
        }
        let mut left = host.registered_versions(&self.service);
        left.retain(|version| *version != record.target);
        let counts = self.counts(context, &record);
        let left = left.into_iter().collect();
        let in_service = Some(BTreeSet::from([record.target.clone()]));
        let stage = Stage::Completed;
        let record = RollOutRecord { stage, counts, left, in_service, ..record };
        self.write_record(context, record).await?;
        info!(
            service = self.service.as_str(), requests = counts.requests,
            target_requests = counts.target_requests, bad = counts.bad,
            age_ms = clock::now().saturating_sub(self.received_at).as_millis() as u64;
            "The roll-out is completed; no request runs or waits at another version."
        );
        self.apply_record(context);
        Ok(())
    }

    /// Shows the state of the roll-out in the metrics.
    pub(super) fn report<S, T>(&self, context: &Context<S, T>, record: &RollOutRecord) {
        let counts = self.counts(context, record);
        context.metrics.set_roll_out(&self.service, &record.target, &record.stage, &counts);
    }
}
