//! Instances that failed as the gate and are not tried again for a while.

use std::{collections::HashMap, time::Duration};

use lacewingspring_core::names::InstanceName;

use crate::members::Member;

/// Time for which an instance that failed as the gate is not tried again.
const SUSPECT_DURATION: Duration = Duration::from_millis(1_500);

/// Instances that recently failed as the gate, by name and incarnation, with the time until which
/// they are not tried again.
#[derive(Debug, Default)]
pub(super) struct Suspects(HashMap<(InstanceName, u64), Duration>);

impl Suspects {
    /// Records at `now` that a member failed as the gate.
    pub(super) fn add(&mut self, now: Duration, member: Member) {
        self.0.retain(|_, until| *until > now);
        self.0.insert((member.instance, member.incarnation), now + SUSPECT_DURATION);
    }

    /// Returns whether a member failed as the gate lately.
    pub(super) fn contains(&self, now: Duration, member: &Member) -> bool {
        let until = self.0.get(&(member.instance.clone(), member.incarnation));
        until.is_some_and(|until| *until > now)
    }
}
