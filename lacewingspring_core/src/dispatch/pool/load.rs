//! Load that the upstreams of a service report.

use std::time::Duration;

use super::{Pool, Ticket};
use crate::{
    dispatch::reported_load::{Reception, UpstreamLoad},
    names::UpstreamName,
};

impl Pool {
    /// Records the load that the upstream of a run reported in a response received at
    /// `received_at`; returns the upstream if its figures are implausible for the first time.
    ///
    /// The report is of the process that the run was sent to; if another one has taken its name
    /// since, the report is dropped.
    pub(in crate::dispatch) fn record_load(
        &mut self,
        received_at: Duration,
        ticket: Ticket,
        load: &UpstreamLoad,
    ) -> Option<UpstreamName> {
        load.pace?;
        let running = self.runs.get(&ticket)?;
        let state = self.upstreams.get_mut(&running.upstream)?;
        if running.run.started_at_ms != state.info.started_at_ms {
            return None;
        }
        self.load_reports.received += 1;
        let reception = state.reported.record(received_at, load, state.info.slots, state.running);
        let Reception::Ignored { is_first } = reception else {
            self.queue.set_reported(true);
            return None;
        };
        self.load_reports.ignored += 1;
        is_first.then(|| running.upstream.clone())
    }
}
