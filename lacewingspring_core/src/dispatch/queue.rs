//! Queue of the requests that wait for a slot of one service.
//!
//! Under overload the request classes of a service get equal fractions of their requests served,
//! and so do the size bands within a class, with less for the larger sizes: the next request comes
//! from the class queue that had the smallest fraction served on time. Requests that are already
//! late yield to those that aren't. Requests that resume a stream go first, as only the upstreams
//! of one software version can run them.
//!
//! Where shares are kept, the next request of a class queue is one of the workspace that was served
//! least relative to its share.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use self::lanes::Lanes;
use super::{
    sizes::{ClassSizes, SizeBand, size},
    work::{SlotRequest, Ticket},
    workspace_shares::{AccountId, ShareConfig, WorkspaceShares},
};
use crate::names::SoftwareVersion;

mod lanes;

/// Time constant of the exponential decay of the counts from which the served fractions follow.
const SERVED_DECAY_TIME: Duration = Duration::from_secs(8);

/// Amount by which the served fraction of a class is raised for each rank that it is less urgent. A
/// class with a higher served fraction is served later.
const RANK_HANDICAP: f64 = 0.02;

/// A waiting request.
#[derive(Debug)]
pub(super) struct WaitingRequest {
    pub ticket: Ticket,
    pub request: SlotRequest,
    /// Size band of the request within its class.
    pub band: SizeBand,
    /// Time by which it must be sent to meet its latency target.
    pub due: Duration,
    /// Time at which it is refused if it still waits.
    pub expires: Duration,
    /// Time by which its response must be complete.
    pub deadline: Duration,
    /// Number in the order of arrival, which the queue assigns.
    pub number: u64,
    /// Account of its workspace, which the queue assigns; `None` if no shares are kept.
    pub account: Option<AccountId>,
}

impl WaitingRequest {
    /// Returns where it is found if it is the next one of its class queue.
    pub fn head(&self) -> Head {
        let class = (self.request.class.clone(), self.band);
        Head { class, account: self.account, ticket: self.ticket }
    }
}

/// Place of a request that is the next one of its class queue.
#[derive(Clone, Debug)]
pub(super) struct Head {
    class: ClassKey,
    account: Option<AccountId>,
    pub ticket: Ticket,
}

/// Place of a request that has just arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrived {
    ticket: Ticket,
    band: SizeBand,
    account: Option<AccountId>,
}

/// Waiting requests of one class and size band, with the decaying counts of all such requests.
#[derive(Debug, Default)]
struct ClassQueue {
    rank: u8,
    band: SizeBand,
    timely: Lanes,
    late: Lanes,
    arrived: f64,
    served: f64,
    decayed_at: Duration,
}

impl ClassQueue {
    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.decayed_at).as_secs_f64();
        let kept = (-elapsed / SERVED_DECAY_TIME.as_secs_f64()).exp();
        self.arrived *= kept;
        self.served *= kept;
        self.decayed_at = now;
    }

    /// Returns the fraction served on time, weighted by size band and offset by rank; the class
    /// queue with the lowest value is served next.
    fn served_fraction(&self) -> f64 {
        let served = self.served / self.arrived.max(1.0);
        served / self.band.weight() + f64::from(self.rank) * RANK_HANDICAP
    }
}

/// Newest request of the workspace that is furthest above its share in one class queue.
#[derive(Debug)]
struct RefusalCandidate {
    /// Level of the workspace, as if all that waits had been served.
    level: f64,
    /// Served fraction of the class queue beyond that of the arrived request.
    excess: f64,
    /// Whether the arrived request is in the same class queue.
    is_own: bool,
    ticket: Ticket,
}

impl RefusalCandidate {
    /// Compares two candidates; the greatest is refused.
    fn compare(&self, other: &Self) -> Ordering {
        let by_excess = || {
            let is_better_served = (self.excess >= 0.0).cmp(&(other.excess >= 0.0));
            is_better_served.then(self.excess.total_cmp(&other.excess))
        };
        let by_level = self.level.total_cmp(&other.level);
        by_level.then_with(by_excess).then(self.is_own.cmp(&other.is_own))
    }
}

/// Request class and size band.
type ClassKey = (Arc<str>, SizeBand);

/// Waiting requests of one service.
#[derive(Debug, Default)]
pub(super) struct Queue {
    /// Requests that resume a stream, by the version that must run them, the oldest first.
    resumed: BTreeMap<Option<SoftwareVersion>, VecDeque<WaitingRequest>>,
    classes: BTreeMap<ClassKey, ClassQueue>,
    sizes: BTreeMap<Arc<str>, ClassSizes>,
    /// What the workspaces used of the service.
    pub shares: WorkspaceShares,
    /// Number of the next request.
    next_number: u64,
}

impl Queue {
    /// Creates the queue of a service whose workspaces have these shares.
    pub fn new(config: Arc<ShareConfig>) -> Self {
        Self { shares: WorkspaceShares::new(config), ..Self::default() }
    }

    /// Replaces the weights of the workspaces.
    pub fn set_share_config(&mut self, config: Arc<ShareConfig>) {
        self.change_shares(|shares| shares.set_config(config));
    }

    /// Sets whether an upstream reports its load with a pace.
    pub fn set_reported(&mut self, is_reported: bool) {
        self.change_shares(|shares| shares.set_reported(is_reported));
    }

    /// Applies a change of the shares, and queues all requests again if shares are kept from now
    /// on, or no longer.
    fn change_shares<F>(&mut self, change: F)
    where
        F: FnOnce(&mut WorkspaceShares),
    {
        let were_active = self.shares.are_active();
        change(&mut self.shares);
        if self.shares.are_active() == were_active {
            return;
        }
        let Self { resumed, classes, shares, .. } = self;
        for waiting in resumed.values_mut().flatten() {
            assign_account(shares, waiting);
        }
        for lanes in classes.values_mut().flat_map(|class| [&mut class.timely, &mut class.late]) {
            for mut waiting in lanes.take_all() {
                assign_account(shares, &mut waiting);
                lanes.push(waiting);
            }
        }
    }

    /// Adds the size of a request to the sample of its class and returns its size band.
    pub fn classify(&mut self, request: &SlotRequest) -> SizeBand {
        let Some(size) = size(&request.work) else { return SizeBand::Small };
        self.sizes.entry(request.class.clone()).or_default().add(size)
    }

    /// Counts the arrival of a request that was not sent before.
    pub fn count_arrival(&mut self, now: Duration, request: &SlotRequest, band: SizeBand) {
        let class = self.class(request, band);
        class.rank = request.rank;
        class.decay(now);
        class.arrived += 1.0;
    }

    fn class(&mut self, request: &SlotRequest, band: SizeBand) -> &mut ClassQueue {
        let class = self.classes.entry((request.class.clone(), band)).or_default();
        class.band = band;
        class
    }

    /// Adds a request.
    pub fn push(&mut self, now: Duration, mut waiting: WaitingRequest) -> Arrived {
        waiting.number = self.next_number;
        self.next_number += 1;
        assign_account(&mut self.shares, &mut waiting);
        let WaitingRequest { ticket, band, account, .. } = waiting;
        let arrived = Arrived { ticket, band, account };
        if waiting.request.is_resumed() {
            let software = waiting.request.software.clone();
            self.resumed.entry(software).or_default().push_back(waiting);
            return arrived;
        }
        let class = self.class(&waiting.request, waiting.band);
        if waiting.due > now {
            class.timely.push(waiting);
        } else {
            class.late.push(waiting);
        }
        arrived
    }

    /// Moves requests that have become late from the front of the timely queues to the late queues;
    /// removes the expired ones from the late queues and returns them.
    pub fn expire(&mut self, now: Duration) -> Vec<WaitingRequest> {
        let mut expired = Vec::new();
        for resumed in self.resumed.values_mut() {
            expired.extend(take_expired(resumed, now));
        }
        self.resumed.retain(|_, resumed| !resumed.is_empty());
        for class in self.classes.values_mut() {
            for late in class.timely.take_late(now) {
                class.late.push(late);
            }
            expired.extend(class.late.take_expired(now));
        }
        for waiting in &expired {
            self.shares.end_wait(waiting.account);
        }
        expired
    }

    /// Returns the first request that resumes a stream of each version, and the first one of each
    /// class queue, in the order in which they are to be dispatched. In a class queue, requests
    /// that are due by `urgent_by` go before those of workspaces that were served less.
    pub fn heads(&self, urgent_by: Duration) -> Vec<&WaitingRequest> {
        let mut heads: Vec<(bool, f64, &WaitingRequest)> = Vec::new();
        for class in self.classes.values() {
            let is_late = class.timely.is_empty();
            let lanes = if is_late { &class.late } else { &class.timely };
            if let Some(waiting) = lanes.front(&self.shares, urgent_by) {
                heads.push((is_late, class.served_fraction(), waiting));
            }
        }
        heads.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let resumed = self.resumed.values().filter_map(VecDeque::front);
        resumed.chain(heads.into_iter().map(|(_, _, waiting)| waiting)).collect()
    }

    /// Returns the newest request of the class queue with the largest served fraction, if that is
    /// larger than the fraction of `class` and `band`. It is refused if only one of the two
    /// requests can be served on time.
    pub fn newest_of_better_served(&self, class: &Arc<str>, band: SizeBand) -> Option<Ticket> {
        let served_fraction =
            self.classes.get(&(class.clone(), band)).map_or(0.0, ClassQueue::served_fraction);
        let waiting = self.classes.values().filter(|other| !other.timely.is_empty());
        let best = waiting.max_by(|a, b| a.served_fraction().total_cmp(&b.served_fraction()))?;
        let newest = best.timely.newest().filter(|_| best.served_fraction() > served_fraction)?;
        Some(newest.ticket)
    }

    /// Returns the newest request of the workspace that is furthest above its share; `None` if no
    /// shares are kept. It is refused if a request of `class` and `band` that has arrived leaves
    /// more than can be served on time. If that one is late (`is_late`), only late requests of its
    /// class and band are compared.
    ///
    /// If several requests are as far above their shares, as those of one workspace are, it is the
    /// one that is refused without shares.
    pub fn newest_above_share(
        &self,
        now: Duration,
        service_time: Duration,
        class: &Arc<str>,
        band: SizeBand,
        is_late: bool,
    ) -> Option<Ticket> {
        if !self.shares.are_active() {
            return None;
        }
        let own = self.classes.get(&(class.clone(), band))?;
        let run_time = self.shares.run_time(now, service_time);
        if is_late {
            let newest = own.late.newest_above_share(&self.shares, run_time);
            return newest.map(|(_, waiting)| waiting.ticket);
        }
        let served_fraction = own.served_fraction();
        let newest = self.classes.iter().filter_map(|(key, other)| {
            let (level, waiting) = other.timely.newest_above_share(&self.shares, run_time)?;
            // Of equal levels, a class served at least as well as that of the arrived request is
            // preferred.
            let excess = other.served_fraction() - served_fraction;
            let is_own = key.0 == *class && key.1 == band;
            Some(RefusalCandidate { level, excess, is_own, ticket: waiting.ticket })
        });
        newest.max_by(|a, b| a.compare(b)).map(|candidate| candidate.ticket)
    }

    /// Removes the head of a class queue that is sent now, or one that resumes a stream, and counts
    /// it.
    pub fn dequeue(&mut self, now: Duration, head: &Head) -> Option<WaitingRequest> {
        let waiting = self.remove_head(head).or_else(|| self.remove(head.ticket))?;
        self.count_served(now, &waiting);
        Some(waiting)
    }

    fn remove_head(&mut self, head: &Head) -> Option<WaitingRequest> {
        let Head { class, account, ticket } = head;
        let class = self.classes.get_mut(class)?;
        let mut lanes = [&mut class.timely, &mut class.late].into_iter();
        let waiting = lanes.find_map(|lanes| lanes.remove_first(*account, *ticket))?;
        self.shares.end_wait(*account);
        Some(waiting)
    }

    /// Counts a request as served if it is sent for the first time and on time.
    fn count_served(&mut self, now: Duration, waiting: &WaitingRequest) {
        let class = self.class(&waiting.request, waiting.band);
        class.decay(now);
        if waiting.due > now && waiting.request.sends == 0 {
            class.served += 1.0;
        }
    }

    pub fn remove(&mut self, ticket: Ticket) -> Option<WaitingRequest> {
        let removed = self.remove_uncounted(ticket)?;
        self.shares.end_wait(removed.account);
        Some(removed)
    }

    fn remove_uncounted(&mut self, ticket: Ticket) -> Option<WaitingRequest> {
        for queue in self.resumed.values_mut() {
            if let Some(index) = queue.iter().position(|waiting| waiting.ticket == ticket) {
                return queue.remove(index);
            }
        }
        let mut lanes =
            self.classes.values_mut().flat_map(|class| [&mut class.timely, &mut class.late]);
        lanes.find_map(|lanes| lanes.remove(ticket))
    }

    /// Returns the request of a class queue that has just arrived, if it still waits.
    pub fn get(&self, class: &Arc<str>, arrived: &Arrived) -> Option<&WaitingRequest> {
        let Arrived { ticket, band, account } = *arrived;
        let class = self.classes.get(&(class.clone(), band))?;
        class.timely.get(account, ticket).or_else(|| class.late.get(account, ticket))
    }

    /// Removes all requests of a link.
    pub fn remove_link(&mut self, link: u64) {
        let Self { resumed, classes, shares, .. } = self;
        for resumed in resumed.values_mut() {
            resumed.retain(|waiting| {
                let is_kept = waiting.ticket.link != link;
                if !is_kept {
                    shares.end_wait(waiting.account);
                }
                is_kept
            });
        }
        for lanes in classes.values_mut().flat_map(|class| [&mut class.timely, &mut class.late]) {
            for account in lanes.remove_link(link) {
                shares.end_wait(account);
            }
        }
    }

    /// Returns the number of waiting requests that resume a stream of another version than this.
    pub fn resumed_len_except(&self, software: &SoftwareVersion) -> usize {
        let others = self.resumed.iter().filter(|(other, _)| other.as_ref() != Some(software));
        others.map(|(_, waiting)| waiting.len()).sum()
    }

    fn resumed_len(&self) -> usize {
        self.resumed.values().map(VecDeque::len).sum()
    }

    /// Returns the number of waiting requests that can still be on time.
    pub fn timely_len(&self) -> usize {
        let timely: usize = self.classes.values().map(|class| class.timely.len()).sum();
        self.resumed_len() + timely
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        let of_classes = self.classes.values().map(|class| class.timely.len() + class.late.len());
        self.resumed_len() + of_classes.sum::<usize>()
    }
}

/// Moves a waiting request to the present account of its workspace, or to none if no shares are
/// kept.
fn assign_account(shares: &mut WorkspaceShares, waiting: &mut WaitingRequest) {
    shares.end_wait(waiting.account.take());
    waiting.account = shares.account(waiting.request.workspace.as_ref());
    shares.begin_wait(waiting.account);
}

/// Removes the expired requests of a queue and returns them.
fn take_expired(queue: &mut VecDeque<WaitingRequest>, now: Duration) -> Vec<WaitingRequest> {
    let mut expired = Vec::new();
    while let Some(index) = queue.iter().position(|waiting| waiting.expires <= now) {
        expired.extend(queue.remove(index));
    }
    expired
}
