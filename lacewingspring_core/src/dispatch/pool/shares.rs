//! Shares of the workspaces in the slots of a service.

use std::{sync::Arc, time::Duration};

use super::{Pool, ShareConfig, ShareRefusal, SlotCharge, UpstreamName, WaitingRequest};
use crate::names::WorkspaceName;

impl Pool {
    /// Replaces the weights of the workspaces.
    pub(in crate::dispatch) fn set_share_config(&mut self, config: Arc<ShareConfig>) {
        self.queue.set_share_config(config);
    }

    /// Keeps shares while the present process of any upstream has reported its load with a pace.
    pub(super) fn update_reported(&mut self) {
        let is_reported = self.upstreams.values().any(|state| state.reported.is_known());
        self.queue.set_reported(is_reported);
    }

    /// Charges the workspace of a request for the time that it is expected to hold a slot of an
    /// upstream, which is no longer than until it times out.
    pub(super) fn charge(
        &mut self,
        now: Duration,
        waiting: &WaitingRequest,
        upstream: &UpstreamName,
    ) -> Option<SlotCharge> {
        let account = waiting.account?;
        let state = self.upstreams.get(upstream)?;
        let predicted_ms = state.completion_ms(now, &waiting.request.work);
        let predicted = Duration::try_from_secs_f64(predicted_ms / 1_000.0).unwrap_or_default();
        let predicted = predicted.min(waiting.request.time_left);
        self.queue.shares.charge(now, Some(account), predicted)
    }

    /// Returns the due time up to which a waiting request is urgent: it goes first, whatever its
    /// workspace has used, so that requests that can all be served on time are.
    ///
    /// An urgent request would be late if it waited for all others that can still be on time. While
    /// requests are refused, some can't be on time anyway, and only the shares count.
    pub(super) fn urgent_by(&self, now: Duration) -> Duration {
        if !self.queue.shares.are_active() || now < self.contended_until {
            return Duration::ZERO;
        }
        now + self.expected_wait(now, self.queue.timely_len())
    }

    /// Notes how much the workspace of a refused request used of its share.
    pub(super) fn record_share_refusal(&mut self, waiting: &WaitingRequest) {
        if let Some(share_use) = self.queue.shares.share_use(waiting.account) {
            self.share_refusals.push(ShareRefusal { ticket: waiting.ticket, share_use });
        }
    }

    /// Returns the refusals since the last call, with the use of shares at that time.
    pub(in crate::dispatch) fn take_share_refusals(&mut self) -> Vec<ShareRefusal> {
        std::mem::take(&mut self.share_refusals)
    }

    /// Returns the upstream time of all runs that ended, by workspace.
    pub(in crate::dispatch) fn granted_time(
        &self,
    ) -> impl Iterator<Item = (Option<&WorkspaceName>, Duration)> {
        self.queue.shares.granted()
    }
}
