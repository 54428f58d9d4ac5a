//! Slots at upstreams, from the request to the gate to their release.

use std::{sync::Arc, time::Duration};

use lacewingspring_core::dispatch::{End, Grant, Reason, Refusal, UpstreamLoad};
use tokio::sync::oneshot;

use super::{
    link::GateClient,
    message::{EndDetails, ReceivedLoad, Trailing},
};
use crate::clock;

/// Time after which the caller may retry if its request got no decision because the process ends.
const UNDECIDED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A request that waits for the gate's decision; it is cancelled when dropped.
#[derive(Debug)]
pub struct PendingSlot {
    gate: Arc<GateClient>,
    number: u64,
    rx: oneshot::Receiver<Result<Grant, Refusal>>,
    is_decided: bool,
}

/// A granted slot at an upstream; it is released as cancelled when dropped.
#[derive(Debug)]
pub struct Slot {
    gate: Arc<GateClient>,
    number: u64,
    grant: Grant,
    /// Load in the response that the gate was not told yet, with the time of its receipt.
    load: Option<(Duration, UpstreamLoad)>,
    /// Status of the response if it is an error of the upstream.
    error_status: Option<u16>,
    is_ended: bool,
}

impl PendingSlot {
    /// Creates a request that waits; `rx` receives the decision.
    pub(super) fn new(
        gate: Arc<GateClient>,
        number: u64,
        rx: oneshot::Receiver<Result<Grant, Refusal>>,
    ) -> Self {
        Self { gate, number, rx, is_decided: false }
    }

    /// Waits for the gate's decision.
    pub async fn wait(mut self) -> Result<Slot, Refusal> {
        let decided = (&mut self.rx).await;
        self.is_decided = true;
        let lost = Refusal::new(Reason::Overload, UNDECIDED_RETRY_AFTER);
        let grant = decided.unwrap_or(Err(lost))?;
        let (gate, number) = (self.gate.clone(), self.number);
        Ok(Slot { gate, number, grant, load: None, error_status: None, is_ended: false })
    }
}

impl Drop for PendingSlot {
    fn drop(&mut self) {
        if !self.is_decided {
            self.gate.end(self.number, End::Cancelled, EndDetails::NONE);
        }
    }
}

impl Slot {
    /// Returns the upstream to send the request to.
    pub fn grant(&self) -> &Grant {
        &self.grant
    }

    /// Reports the first event of the response, `took` after the request was sent.
    pub fn first_output(&mut self, now: Duration, took: Duration) {
        let load = self.take_load(now);
        self.gate.first_output(self.number, took, load);
    }

    /// Keeps the load in the response, received at `now`, for the next message to the gate.
    pub fn record_load(&mut self, now: Duration, load: UpstreamLoad) {
        self.load = Some((now, load));
    }

    /// Keeps the status of a response that is an error of the upstream for the end.
    pub fn record_error_status(&mut self, status: u16) {
        self.error_status = Some(status);
    }

    fn take_load(&mut self, now: Duration) -> Option<ReceivedLoad> {
        let (received_at, load) = self.load.take()?;
        Some(ReceivedLoad { load, age: now.saturating_sub(received_at) })
    }

    /// Reports the requests a second that the upstream takes; `None` if its response names none.
    pub fn rate_limit(&self, per_s: Option<f64>) {
        self.gate.rate_limit(self.number, per_s);
    }

    /// Reports that the upstream may crash if it has to decline requests.
    pub fn brittle(&self) {
        self.gate.brittle(self.number);
    }

    /// Releases the slot.
    pub fn end(mut self, end: End) {
        self.is_ended = true;
        self.report_end(end);
    }

    fn report_end(&mut self, end: End) {
        let load = Trailing(self.take_load(clock::now()));
        let details = EndDetails { load, error_status: Trailing(self.error_status) };
        self.gate.end(self.number, end, details);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.is_ended {
            self.report_end(End::Cancelled);
        }
    }
}
