//! Waiting requests of one class and size band, with a lane for each workspace.
//!
//! Where no shares are kept, all requests are in one lane.

use std::{collections::VecDeque, time::Duration};

use super::{
    super::{
        work::Ticket,
        workspace_shares::{AccountId, WorkspaceShares},
    },
    WaitingRequest, take_expired,
};

/// Waiting requests of one workspace, the oldest first.
#[derive(Debug)]
struct Lane {
    account: Option<AccountId>,
    requests: VecDeque<WaitingRequest>,
    /// Due time and number of the first request, so that a search over the lanes reads no requests.
    first_due: Duration,
    first_number: u64,
}

impl Lane {
    fn new(waiting: WaitingRequest) -> Self {
        Self {
            account: waiting.account,
            first_due: waiting.due,
            first_number: waiting.number,
            requests: VecDeque::from([waiting]),
        }
    }

    /// Updates what is known of the first request after others were removed.
    fn update_first(&mut self) {
        if let Some(first) = self.requests.front() {
            self.first_due = first.due;
            self.first_number = first.number;
        }
    }
}

/// Lanes with at least one request each.
#[derive(Debug)]
pub(super) struct Lanes {
    lanes: Vec<Lane>,
    len: usize,
    /// Lower bound of the times by which the first requests of the lanes must be sent, so that
    /// the lanes are searched only when one has become late.
    earliest_due: Duration,
    /// Lower bound of the times at which requests expire.
    earliest_expiry: Duration,
}

impl Default for Lanes {
    fn default() -> Self {
        Self {
            lanes: Vec::new(),
            len: 0,
            earliest_due: Duration::MAX,
            earliest_expiry: Duration::MAX,
        }
    }
}

impl Lanes {
    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request behind those of its workspace.
    pub fn push(&mut self, waiting: WaitingRequest) {
        self.len += 1;
        self.earliest_expiry = self.earliest_expiry.min(waiting.expires);
        let lane = self.lanes.iter_mut().find(|lane| lane.account == waiting.account);
        if let Some(lane) = lane {
            lane.requests.push_back(waiting);
            return;
        }
        self.earliest_due = self.earliest_due.min(waiting.due);
        self.lanes.push(Lane::new(waiting));
    }

    /// Returns the first request of the workspace that was served least, the oldest one of several;
    /// or the one that is due first, if it is due by `urgent_by`.
    pub fn front(&self, shares: &WorkspaceShares, urgent_by: Duration) -> Option<&WaitingRequest> {
        let due_first = || self.lanes.iter().min_by_key(|lane| (lane.first_due, lane.first_number));
        let is_urgent = self.earliest_due <= urgent_by;
        let urgent = is_urgent.then(due_first).flatten().filter(|lane| lane.first_due <= urgent_by);
        let lane = urgent.or_else(|| {
            let ranked = self.lanes.iter().map(|lane| (shares.level(lane.account), lane));
            let first = ranked.min_by(|(level, lane), (other_level, other)| {
                level.total_cmp(other_level).then(lane.first_number.cmp(&other.first_number))
            });
            first.map(|(_, lane)| lane)
        });
        lane?.requests.front()
    }

    /// Returns the newest request.
    pub fn newest(&self) -> Option<&WaitingRequest> {
        let newest = self.lanes.iter().filter_map(|lane| lane.requests.back());
        newest.max_by_key(|waiting| waiting.number)
    }

    /// Returns the newest request of the workspace that is furthest above its share, with its level
    /// if what waits is granted slots and adds `run_time` each.
    pub fn newest_above_share(
        &self,
        shares: &WorkspaceShares,
        run_time: f64,
    ) -> Option<(f64, &WaitingRequest)> {
        let ranked =
            self.lanes.iter().map(|lane| (shares.level_when_served(lane.account, run_time), lane));
        let newest = |lane: &Lane| lane.requests.back().map(|waiting| waiting.number);
        let (level, lane) = ranked.max_by(|(level, lane), (other_level, other)| {
            level.total_cmp(other_level).then_with(|| newest(lane).cmp(&newest(other)))
        })?;
        Some((level, lane.requests.back()?))
    }

    /// Removes the requests at the front of the lanes that have become late, and returns them.
    pub fn take_late(&mut self, now: Duration) -> Vec<WaitingRequest> {
        let mut late = Vec::new();
        if now < self.earliest_due {
            return late;
        }
        for lane in &mut self.lanes {
            while lane.requests.front().is_some_and(|waiting| waiting.due <= now) {
                late.extend(lane.requests.pop_front());
            }
        }
        self.len -= late.len();
        self.tidy();
        late
    }

    /// Removes the expired requests and returns them.
    pub fn take_expired(&mut self, now: Duration) -> Vec<WaitingRequest> {
        let mut expired = Vec::new();
        if now < self.earliest_expiry {
            return expired;
        }
        for lane in &mut self.lanes {
            expired.extend(take_expired(&mut lane.requests, now));
        }
        self.len -= expired.len();
        self.tidy();
        let expiries = self.iter().map(|waiting| waiting.expires);
        self.earliest_expiry = expiries.min().unwrap_or(Duration::MAX);
        expired
    }

    /// Removes a request.
    pub fn remove(&mut self, ticket: Ticket) -> Option<WaitingRequest> {
        let mut found = None;
        for (index, lane) in self.lanes.iter().enumerate() {
            let place = lane.requests.iter().position(|waiting| waiting.ticket == ticket);
            if let Some(place) = place {
                found = Some((index, place));
                break;
            }
        }
        let (index, place) = found?;
        self.remove_at(index, place)
    }

    /// Removes a request that is the first one of its workspace.
    pub fn remove_first(
        &mut self,
        account: Option<AccountId>,
        ticket: Ticket,
    ) -> Option<WaitingRequest> {
        let index = self.lanes.iter().position(|lane| lane.account == account)?;
        let first = self.lanes.get(index)?.requests.front()?;
        if first.ticket != ticket {
            return None;
        }
        self.remove_at(index, 0)
    }

    fn remove_at(&mut self, index: usize, place: usize) -> Option<WaitingRequest> {
        let lane = self.lanes.get_mut(index)?;
        let removed = lane.requests.remove(place)?;
        self.len -= 1;
        if lane.requests.is_empty() {
            self.lanes.swap_remove(index);
        } else {
            lane.update_first();
            self.earliest_due = self.earliest_due.min(lane.first_due);
        }
        Some(removed)
    }

    /// Removes all requests of a link, and returns their accounts.
    pub fn remove_link(&mut self, link: u64) -> Vec<Option<AccountId>> {
        let mut removed = Vec::new();
        for lane in &mut self.lanes {
            let before = lane.requests.len();
            lane.requests.retain(|waiting| waiting.ticket.link != link);
            removed.extend((lane.requests.len()..before).map(|_| lane.account));
        }
        self.len -= removed.len();
        self.tidy();
        removed
    }

    /// Removes all requests, the oldest first.
    pub fn take_all(&mut self) -> Vec<WaitingRequest> {
        let lanes = std::mem::take(self).lanes.into_iter();
        let mut all: Vec<WaitingRequest> = lanes.flat_map(|lane| lane.requests).collect();
        all.sort_by_key(|waiting| waiting.number);
        all
    }

    /// Returns a request of a workspace; the newest ones are searched first.
    pub fn get(&self, account: Option<AccountId>, ticket: Ticket) -> Option<&WaitingRequest> {
        let lane = self.lanes.iter().find(|lane| lane.account == account)?;
        lane.requests.iter().rev().find(|waiting| waiting.ticket == ticket)
    }

    fn iter(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.lanes.iter().flat_map(|lane| &lane.requests)
    }

    /// Removes empty lanes and updates what is known of the others after requests were removed.
    fn tidy(&mut self) {
        self.lanes.retain(|lane| !lane.requests.is_empty());
        for lane in &mut self.lanes {
            lane.update_first();
        }
        let earliest = self.lanes.iter().map(|lane| lane.first_due).min();
        self.earliest_due = earliest.unwrap_or(Duration::MAX);
    }
}
