//! Metrics of the roll-outs that this instance holds as the gate.

use lacewingspring_core::{
    names::{ServiceName, SoftwareVersion},
    roll_out::{Counts, Stage},
};
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{family::Family, gauge::Gauge},
    registry::Registry,
};

use super::set_gauge;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct VersionLabels {
    service: String,
    version: String,
}

/// Stage and counts by service and target version.
#[derive(Default)]
pub(super) struct RollOutMetrics {
    stage: Family<VersionLabels, Gauge>,
    requests: Family<VersionLabels, Gauge>,
    target_requests: Family<VersionLabels, Gauge>,
    bad: Family<VersionLabels, Gauge>,
}

impl RollOutMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        let mut add = |name, help, family: &Family<VersionLabels, Gauge>| {
            registry.register(name, help, family.clone());
        };
        add("roll_out_stage", "0 observing, 1 shifting, 2 completed, 3 rolled back", &self.stage);
        add("roll_out_requests", "Requests of the service since the order", &self.requests);
        add(
            "roll_out_target_requests",
            "Requests granted to the version of the order",
            &self.target_requests,
        );
        add("roll_out_bad_responses", "Bad responses of the version of the order", &self.bad);
    }

    pub(super) fn clear(&self) {
        for family in [&self.stage, &self.requests, &self.target_requests, &self.bad] {
            family.clear();
        }
    }

    pub(super) fn set(
        &self,
        service: &ServiceName,
        target: &SoftwareVersion,
        stage: &Stage,
        counts: &Counts,
    ) {
        let labels = VersionLabels { service: service.to_string(), version: target.to_string() };
        let set = |family: &Family<VersionLabels, Gauge>, value: u64| {
            set_gauge(&family.get_or_create(&labels), value);
        };
        let stage = match stage {
            Stage::Observing => 0,
            Stage::Shifting => 1,
            Stage::Completed => 2,
            Stage::RolledBack(_) => 3,
        };
        set(&self.stage, stage);
        set(&self.requests, counts.requests);
        set(&self.target_requests, counts.target_requests);
        set(&self.bad, counts.bad);
    }
}
