//! The part of the fleet's slots and limits that this instance grants, by its links and the
//! registry.

use std::time::Duration;

use lacewingspring_core::{
    dispatch::{FleetShare, RegisteredInstance},
    names::InstanceName,
};
use log::info;

use super::{GateHost, State};
use crate::members::Member;

/// Change of the share that is logged.
const MIN_LOGGED_CHANGE: f64 = 0.1;

impl GateHost {
    /// Adjusts the share of the fleet that is scheduled here after a change of members.
    pub fn on_members_changed(&self, now: Duration) {
        let mut state = self.state();
        let members = self.members.load();
        state.roster.set_registered(now, members.all().iter().map(registered));
        state.update_fleet_share(now);
    }

    /// Returns whether no other instance than this one is registered.
    pub(in crate::gate) fn is_only_member(&self) -> bool {
        self.members.load().len() <= 1
    }
}

impl State {
    /// Notes which instance is at the other end of a link, and whether it was told the usage of
    /// limits before.
    pub(super) fn introduce(
        &mut self,
        now: Duration,
        link: u64,
        instance: InstanceName,
        knows_usage: bool,
    ) {
        let Some(target) = self.links.get_mut(&link) else { return };
        if let Some(before) = target.instance.replace(instance.clone()) {
            self.roster.unlink(&before);
        }
        self.roster.link(now, instance, knows_usage);
    }

    /// Sets the part of all slots and limits that this instance grants.
    pub(super) fn update_fleet_share(&mut self, now: Duration) {
        let share = self.roster.share(now, self.dispatcher.limit_window());
        if share == self.dispatcher.fleet_share() {
            return;
        }
        self.log_share_change(share);
        self.dispatcher.set_fleet_share(now, share);
        self.limit_roll_outs(now);
    }

    /// Logs a share unless it is close to the last one that was logged, as each link of a new gate
    /// changes it.
    fn log_share_change(&mut self, share: FleetShare) {
        let before = self.logged_share;
        let is_close = (share.slots - before.slots).abs() < MIN_LOGGED_CHANGE
            && (share.limits - before.limits).abs() < MIN_LOGGED_CHANGE;
        let is_alike = share.is_majority() == before.is_majority()
            && share.has_all_limits() == before.has_all_limits();
        if is_close && is_alike {
            return;
        }
        self.logged_share = share;
        info!(
            linked = self.roster.linked(), members = self.roster.active(), share = share.slots,
            limits = share.limits;
            "The share of the fleet that this instance schedules has changed."
        );
    }
}

fn registered(member: &Member) -> RegisteredInstance {
    RegisteredInstance {
        name: member.instance.clone(),
        incarnation: member.incarnation,
        is_leaving: member.is_leaving,
    }
}
