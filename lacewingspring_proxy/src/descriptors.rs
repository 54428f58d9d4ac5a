//! How the descriptors of the machine are divided.

use crate::{
    connections::MaxConnections,
    settings::{ConnectionSettings, Machine},
};

/// Descriptors that are for files, and so not for connections.
const FILE_DESCRIPTORS: usize = 200;

/// Part, in percent, of the descriptors for connections that is for the store, other instances,
/// readiness, the directory and metrics.
const OWN_PERCENT: usize = 25;

/// Parts of these descriptors, in percent. Links get most, as each other instance may hold one to
/// the gate; the rest, 6%, is for the store.
const LINKS_PERCENT: usize = 60;
const DIRECTORY_PERCENT: usize = 25;
const READINESS_PERCENT: usize = 6;
const METRICS_PERCENT: usize = 3;

/// Part, in percent, of all connections of callers that those of one address may have. All callers
/// of a data centre may share one address.
const PER_ADDRESS_PERCENT: usize = 75;

/// Largest numbers of connections, by server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorShares {
    /// Of callers. Each may need another descriptor, for a connection to an upstream.
    pub callers: MaxConnections,
    /// Links from other instances.
    pub links: MaxConnections,
    /// Of the directory.
    pub directory: MaxConnections,
    /// Of readiness probes.
    pub readiness: MaxConnections,
    /// Of readers of metrics.
    pub metrics: MaxConnections,
}

impl DescriptorShares {
    /// Divides the descriptors of a machine; a setting for callers takes precedence.
    pub fn new(machine: &Machine, settings: &ConnectionSettings) -> Self {
        let total =
            machine.descriptors.map(|count| (count as usize).saturating_sub(FILE_DESCRIPTORS));
        let own = total.map(|total| total * OWN_PERCENT / 100);
        let part = |percent: usize| {
            let count = own.map_or(usize::MAX, |own| (own * percent / 100).max(1));
            MaxConnections { total: count, per_address: count }
        };
        let callers = total.zip(own).map(|(total, own)| ((total - own) / 2).max(1));
        let callers = settings.callers.or(callers).unwrap_or(usize::MAX);
        let per_address = match callers {
            usize::MAX => usize::MAX,
            callers => (callers.saturating_mul(PER_ADDRESS_PERCENT) / 100).max(1),
        };
        Self {
            callers: MaxConnections {
                total: callers,
                per_address: settings.callers_per_address.unwrap_or(per_address),
            },
            links: part(LINKS_PERCENT),
            directory: part(DIRECTORY_PERCENT),
            readiness: part(READINESS_PERCENT),
            metrics: part(METRICS_PERCENT),
        }
    }
}
