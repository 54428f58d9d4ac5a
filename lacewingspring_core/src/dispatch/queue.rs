//! Queue of the requests that wait for a slot of one service.
//!
//! Under overload the request classes of a service get equal fractions of their requests served,
//! and so do the size bands within a class, with less for the larger sizes: the next request comes
//! from the class queue that had the smallest fraction served on time. Requests that are already
//! late yield to those that aren't. Requests that resume a stream go first, as only the upstreams
//! of one software version can run them.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use super::{
    sizes::{ClassSizes, SizeBand, size},
    work::{SlotRequest, Ticket},
};
use crate::names::SoftwareVersion;

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
}

/// Waiting requests of one class and size band, with the decaying counts of all such requests.
#[derive(Debug, Default)]
struct ClassQueue {
    rank: u8,
    band: SizeBand,
    timely: VecDeque<WaitingRequest>,
    late: VecDeque<WaitingRequest>,
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

/// Request class and size band.
type ClassKey = (Arc<str>, SizeBand);

/// Waiting requests of one service.
#[derive(Debug, Default)]
pub(super) struct Queue {
    /// Requests that resume a stream, by the version that must run them, the oldest first.
    resumed: BTreeMap<Option<SoftwareVersion>, VecDeque<WaitingRequest>>,
    classes: BTreeMap<ClassKey, ClassQueue>,
    sizes: BTreeMap<Arc<str>, ClassSizes>,
}

impl Queue {
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

    pub fn push(&mut self, now: Duration, waiting: WaitingRequest) {
        if waiting.request.is_resumed() {
            let software = waiting.request.software.clone();
            self.resumed.entry(software).or_default().push_back(waiting);
            return;
        }
        let class = self.class(&waiting.request, waiting.band);
        if waiting.due > now {
            class.timely.push_back(waiting);
        } else {
            class.late.push_back(waiting);
        }
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
            while class.timely.front().is_some_and(|waiting| waiting.due <= now) {
                class.late.extend(class.timely.pop_front());
            }
            expired.extend(take_expired(&mut class.late, now));
        }
        expired
    }

    /// Returns the first request that resumes a stream of each version, and the first one of each
    /// class queue, in the order in which they are to be dispatched.
    pub fn heads(&self) -> Vec<&WaitingRequest> {
        let mut heads: Vec<(bool, f64, &WaitingRequest)> = Vec::new();
        for class in self.classes.values() {
            match (class.timely.front(), class.late.front()) {
                (Some(waiting), _) => heads.push((false, class.served_fraction(), waiting)),
                (None, Some(waiting)) => heads.push((true, class.served_fraction(), waiting)),
                (None, None) => {}
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
        let newest = best.timely.back().filter(|_| best.served_fraction() > served_fraction)?;
        Some(newest.ticket)
    }

    /// Removes a request that is sent now and counts it.
    pub fn dequeue(&mut self, now: Duration, ticket: Ticket) -> Option<WaitingRequest> {
        let waiting = self.remove(ticket)?;
        self.count_served(now, &waiting);
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
        let of_classes =
            self.classes.values_mut().flat_map(|class| [&mut class.timely, &mut class.late]);
        for queue in self.resumed.values_mut().chain(of_classes) {
            if let Some(index) = queue.iter().position(|waiting| waiting.ticket == ticket) {
                return queue.remove(index);
            }
        }
        None
    }

    pub fn get(&self, ticket: Ticket) -> Option<&WaitingRequest> {
        let of_classes = self.classes.values().flat_map(|class| [&class.timely, &class.late]);
        let queues = self.resumed.values().chain(of_classes);
        queues.flat_map(|queue| queue.iter().rev()).find(|waiting| waiting.ticket == ticket)
    }

    /// Removes all requests of a link.
    pub fn remove_link(&mut self, link: u64) {
        for resumed in self.resumed.values_mut() {
            resumed.retain(|waiting| waiting.ticket.link != link);
        }
        for class in self.classes.values_mut() {
            class.timely.retain(|waiting| waiting.ticket.link != link);
            class.late.retain(|waiting| waiting.ticket.link != link);
        }
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

/// Removes the expired requests of a queue and returns them.
fn take_expired(queue: &mut VecDeque<WaitingRequest>, now: Duration) -> Vec<WaitingRequest> {
    let mut expired = Vec::new();
    while let Some(index) = queue.iter().position(|waiting| waiting.expires <= now) {
        expired.extend(queue.remove(index));
    }
    expired
}
