//! Requests that wait for a slot of one service.
//!
//! Kinds of request share the service evenly under overload, and so do the sizes within a kind,
//! with less for the larger: next is the class of which the smallest part was served on time.
//! Requests that are late already yield to those that aren't.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use super::{
    sizes::{Band, Sizes, size},
    work::{SlotRequest, Ticket},
};

/// Time over which the served part of a kind is remembered.
const SHARE_MEMORY: Duration = Duration::from_secs(8);

/// Head start of a kind over one that is less urgent by one rank, as a part of what was asked.
const RANK_STEP: f64 = 0.02;

/// A waiting request.
#[derive(Debug)]
pub(super) struct Waiting {
    /// Its ticket.
    pub ticket: Ticket,
    /// What it asked for.
    pub ask: SlotRequest,
    /// How large it is among those of its kind.
    pub band: Band,
    /// Time by which it must be sent to be answered on time.
    pub due: Duration,
    /// Time after which it is given up.
    pub expires: Duration,
}

/// Requests of one kind and band of sizes.
#[derive(Debug, Default)]
struct Class {
    rank: u8,
    band: Band,
    timely: VecDeque<Waiting>,
    late: VecDeque<Waiting>,
    asked: f64,
    served: f64,
    counted_at: Duration,
}

impl Class {
    fn age(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.counted_at).as_secs_f64();
        let kept = (-passed / SHARE_MEMORY.as_secs_f64()).exp();
        self.asked *= kept;
        self.served *= kept;
        self.counted_at = now;
    }

    /// Part that was served on time, with the weight of its band and the head start of its rank.
    fn share(&self) -> f64 {
        let served = self.served / self.asked.max(1.0);
        served / self.band.weight() + f64::from(self.rank) * RANK_STEP
    }
}

/// Kind and band of sizes.
type ClassKey = (Arc<str>, Band);

/// Waiting requests of one service.
#[derive(Debug, Default)]
pub(super) struct Queue {
    classes: BTreeMap<ClassKey, Class>,
    sizes: BTreeMap<Arc<str>, Sizes>,
}

impl Queue {
    /// Returns how large a request is among those of its kind.
    pub fn band(&mut self, ask: &SlotRequest) -> Band {
        let Some(size) = size(&ask.work) else { return Band::Small };
        self.sizes.entry(ask.class.clone()).or_default().add(size)
    }

    /// Counts a new request.
    pub fn count_asked(&mut self, now: Duration, ask: &SlotRequest, band: Band) {
        let class = self.class(ask, band);
        class.rank = ask.rank;
        class.age(now);
        class.asked += 1.0;
    }

    fn class(&mut self, ask: &SlotRequest, band: Band) -> &mut Class {
        let class = self.classes.entry((ask.class.clone(), band)).or_default();
        class.band = band;
        class
    }

    /// Adds a request.
    pub fn push(&mut self, now: Duration, waiting: Waiting) {
        let class = self.class(&waiting.ask, waiting.band);
        if waiting.due > now {
            class.timely.push_back(waiting);
        } else {
            class.late.push_back(waiting);
        }
    }

    /// Moves what is late by now behind what isn't, and returns what is given up.
    pub fn expire(&mut self, now: Duration) -> Vec<Waiting> {
        let mut gone = Vec::new();
        for class in self.classes.values_mut() {
            while class.timely.front().is_some_and(|waiting| waiting.due <= now) {
                class.late.extend(class.timely.pop_front());
            }
            while let Some(place) = class.late.iter().position(|waiting| waiting.expires <= now) {
                gone.extend(class.late.remove(place));
            }
        }
        gone
    }

    /// Returns waiting requests in the order in which they are to be sent, the first of each class.
    pub fn heads(&self) -> Vec<&Waiting> {
        let mut heads: Vec<(bool, f64, &Waiting)> = Vec::new();
        for class in self.classes.values() {
            match (class.timely.front(), class.late.front()) {
                (Some(waiting), _) => heads.push((false, class.share(), waiting)),
                (None, Some(waiting)) => heads.push((true, class.share(), waiting)),
                (None, None) => {}
            }
        }
        heads.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        heads.into_iter().map(|(_, _, waiting)| waiting).collect()
    }

    /// Returns the newest request of the class that is served best, if it is served better than
    /// that of `kind` and `band`; it is given up when there is room for one of them only.
    pub fn newest_of_better_served(&self, kind: &Arc<str>, band: Band) -> Option<Ticket> {
        let share = self.classes.get(&(kind.clone(), band)).map_or(0.0, Class::share);
        let waiting = self.classes.values().filter(|other| !other.timely.is_empty());
        let best = waiting.max_by(|a, b| a.share().total_cmp(&b.share()))?;
        let newest = best.timely.back().filter(|_| best.share() > share)?;
        Some(newest.ticket)
    }

    /// Takes a request that is sent now.
    pub fn take(&mut self, now: Duration, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.remove(ticket)?;
        self.count_sent(now, &waiting);
        Some(waiting)
    }

    /// Counts a request that is sent now.
    fn count_sent(&mut self, now: Duration, waiting: &Waiting) {
        let class = self.class(&waiting.ask, waiting.band);
        class.age(now);
        if waiting.due > now && waiting.ask.sends == 0 {
            class.served += 1.0;
        }
    }

    /// Removes a request that waits no more.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        for class in self.classes.values_mut() {
            for lane in [&mut class.timely, &mut class.late] {
                if let Some(at) = lane.iter().position(|waiting| waiting.ticket == ticket) {
                    return lane.remove(at);
                }
            }
        }
        None
    }

    /// Returns a request that waits.
    pub fn get(&self, ticket: Ticket) -> Option<&Waiting> {
        let lanes = self.classes.values().flat_map(|class| [&class.timely, &class.late]);
        lanes.flat_map(|lane| lane.iter().rev()).find(|waiting| waiting.ticket == ticket)
    }

    /// Removes all requests of a link.
    pub fn remove_link(&mut self, link: u64) {
        for class in self.classes.values_mut() {
            class.timely.retain(|waiting| waiting.ticket.link != link);
            class.late.retain(|waiting| waiting.ticket.link != link);
        }
    }

    /// Returns how many requests wait that can still be on time.
    pub fn timely_len(&self) -> usize {
        self.classes.values().map(|class| class.timely.len()).sum()
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.classes.values().map(|class| class.timely.len() + class.late.len()).sum()
    }
}
