//! Metrics of the limits of memory and connections.

use std::{
    hash::Hash,
    sync::{Arc, Mutex, OnceLock, PoisonError},
};

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

use super::set_gauge;
use crate::{
    connections::{Connections, Limit},
    memory_budget::{Kind, SharedBudget},
    replica::{Replicas, Topic},
};

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabels {
    kind: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServerLabels {
    server: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LimitLabels {
    server: &'static str,
    limit: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TopicLabels {
    topic: &'static str,
}

/// Metrics of the limits of memory and connections; brought up to date when they are read.
#[derive(Debug, Default)]
pub(super) struct LimitMetrics {
    budget: OnceLock<SharedBudget>,
    connections: Mutex<Vec<Arc<Connections>>>,
    replicas: OnceLock<Arc<Replicas>>,
    held: Family<KindLabels, Gauge>,
    refused: Family<KindLabels, Counter>,
    bodies_given_up: Family<KindLabels, Counter>,
    open: Family<ServerLabels, Gauge>,
    closed_connections: Family<LimitLabels, Counter>,
    refused_connections: Family<LimitLabels, Counter>,
    topic_bytes: Family<TopicLabels, Gauge>,
    too_large_topics: Family<TopicLabels, Counter>,
}

impl LimitMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register("held_bytes", "Memory held for callers, by kind", self.held.clone());
        let refused = self.refused.clone();
        registry.register("refused_shares", "Shares of the memory that were refused", refused);
        registry.register(
            "bodies_given_up",
            "Request bodies given up before their end, by cause",
            self.bodies_given_up.clone(),
        );
        registry.register("open_connections", "Open connections", self.open.clone());
        registry.register(
            "closed_connections",
            "Idle connections that a limit closed",
            self.closed_connections.clone(),
        );
        registry.register(
            "refused_connections",
            "Connections that a limit refused",
            self.refused_connections.clone(),
        );
        registry.register(
            "topic_bytes",
            "Memory held for the copy of a topic of the key-value service",
            self.topic_bytes.clone(),
        );
        registry.register(
            "too_large_topics",
            "Times that the keys of a topic were not taken because they need too much memory",
            self.too_large_topics.clone(),
        );
    }

    pub(super) fn show_budget(&self, budget: SharedBudget) {
        self.budget.get_or_init(|| budget);
    }

    pub(super) fn show_replicas(&self, replicas: Arc<Replicas>) {
        self.replicas.get_or_init(|| replicas);
    }

    pub(super) fn add_connections(&self, connections: Arc<Connections>) {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner).push(connections);
    }

    /// Reads the counts.
    pub(super) fn update(&self) {
        if let Some(budget) = self.budget.get() {
            for kind in Kind::ALL {
                let labels = KindLabels { kind: kind.name() };
                set(&self.held, &labels, budget.held_bytes(kind));
                count(&self.refused, &labels, budget.refused(kind));
            }
            let (stalled, shed) = budget.arrivals().given_up();
            count(&self.bodies_given_up, &KindLabels { kind: "stalled" }, stalled);
            count(&self.bodies_given_up, &KindLabels { kind: "memory" }, shed);
        }
        if let Some(replicas) = self.replicas.get() {
            for topic in Topic::ALL {
                let labels = TopicLabels { topic: topic.name() };
                let replica = replicas.get(topic);
                set(&self.topic_bytes, &labels, replica.mirror().held_bytes() as u64);
                count(&self.too_large_topics, &labels, replica.too_large());
            }
        }
        for connections in &*self.connections.lock().unwrap_or_else(PoisonError::into_inner) {
            let server = connections.server();
            set(&self.open, &ServerLabels { server }, connections.count() as u64);
            for limit in Limit::ALL {
                let labels = LimitLabels { server, limit: limit.name() };
                let (closed, refused) = connections.limited(limit);
                count(&self.closed_connections, &labels, closed);
                count(&self.refused_connections, &labels, refused);
            }
        }
    }
}

fn set<L>(family: &Family<L, Gauge>, labels: &L, value: u64)
where
    L: Clone + Hash + Eq,
{
    set_gauge(&family.get_or_create(labels), value);
}

/// Raises a counter to a value that only grows.
fn count<L>(family: &Family<L, Counter>, labels: &L, value: u64)
where
    L: Clone + Hash + Eq,
{
    let counter = family.get_or_create(labels);
    counter.inc_by(value.saturating_sub(counter.get()));
}
