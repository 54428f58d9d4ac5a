//! The status of a roll-out, and the end of the use of old versions after the completion.

use bytes::Bytes;
use lacewingspring_core::roll_out::Stage;
use log::info;

use super::ServiceKeeper;
use crate::{
    clock,
    gate::roll_out::{RollOutState, RollOutStatus, keeper::Context, record::RollOutRecord},
    instance::StateDecoder,
    store::{Store, StoreError},
};

impl ServiceKeeper {
    /// Writes the status unless the store has it. That of a completion is written when no request
    /// runs or waits at the other versions, as the platform then stops their upstreams.
    pub(super) async fn write_status<S, T>(
        &mut self,
        context: &Context<S, T>,
    ) -> Result<(), StoreError>
    where
        S: Store,
        T: StateDecoder,
    {
        let Some(record) = self.record.clone() else { return Ok(()) };
        if self.is_status_written(context) {
            return Ok(());
        }
        let is_completed = record.stage == Stage::Completed;
        if is_completed {
            // A version that was left may have been registered again.
            self.apply_rule(context, &record, true);
        }
        if is_completed && !self.are_left_versions_idle(context, &record) {
            return Ok(());
        }
        let key = context.decoder.status_key(&self.service);
        let value = status(context, &record);
        self.status_key.write(&*context.store, &key, value).await?;
        self.report(context, &record);
        info!(
            service = self.service.as_str(), target = record.target.as_str(),
            state:? = state(&record);
            "The status of a roll-out is written."
        );
        if is_completed {
            self.apply_record(context);
        }
        Ok(())
    }

    /// Returns whether the store has the status that follows from the record.
    pub(super) fn is_status_written<S, T>(&self, context: &Context<S, T>) -> bool
    where
        T: StateDecoder,
    {
        let wanted = self.record.as_ref().map(|record| status(context, record));
        self.status_key.holds(wanted.as_ref())
    }

    /// Returns whether no request runs or waits at the versions that a completed roll-out has left.
    /// The holder that recorded the completion may have ended since. Versions that appeared later
    /// don't matter: the service may have moved on.
    fn are_left_versions_idle<S, T>(
        &self,
        context: &Context<S, T>,
        record: &RollOutRecord,
    ) -> bool {
        let host = &context.host;
        let has_left = host.has_left(&self.service, &record.target, &record.left);
        host.knows_all_runs(clock::now()) && has_left
    }
}

fn status<S, T>(context: &Context<S, T>, record: &RollOutRecord) -> Bytes
where
    T: StateDecoder,
{
    let status = RollOutStatus { state: state(record), target: record.target.clone() };
    context.decoder.status(&status)
}

const fn state(record: &RollOutRecord) -> RollOutState {
    match record.stage {
        Stage::Observing | Stage::Shifting => RollOutState::InProgress,
        Stage::Completed => RollOutState::Completed,
        Stage::RolledBack(_) => RollOutState::RolledBack,
    }
}
