//! What a gate learns of upstreams and the requests that crash them, for its log.

use super::{reported_load::UpstreamLoad, work::Ticket, workspace_shares::ShareUse};
use crate::names::{ServiceName, UpstreamName};

/// Something that the gate has learned.
#[derive(Clone, Debug, PartialEq)]
pub enum Finding {
    /// A run ended with a broken connection.
    RunBroken {
        /// Upstream of the run.
        upstream: UpstreamName,
        /// Digest of the request.
        fingerprint: u64,
        /// Number of consecutive runs of the request that ended so and count.
        crashes: u32,
    },
    /// A prompt part is among those with the most crashes; requests with it are run one at a time.
    Suspected {
        /// Digest of the part.
        part: u64,
        /// Number of crashes that broke runs with it since one completed.
        crashes: u32,
    },
    /// A prompt part is no longer a suspect: a run with it completed, or other parts have more
    /// crashes or explain those that it had.
    NoLongerSuspected {
        /// Digest of the part.
        part: u64,
    },
    /// An upstream named a limit, or one that differs from that before.
    Limited {
        /// The upstream.
        upstream: UpstreamName,
        /// Requests a second that it takes from all instances together.
        per_s: f64,
    },
    /// An upstream no longer names a limit.
    NoLongerLimited {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// Upstreams of a service have several software versions, or had within the time in which
    /// callers may take streams up.
    SeveralVersions {
        /// The service.
        service: ServiceName,
    },
    /// The upstreams of a service may crash if they have to decline requests.
    Brittle {
        /// The service.
        service: ServiceName,
    },
    /// The load that an upstream reported is implausible; reported once for each of its
    /// processes.
    LoadIgnored {
        /// The upstream.
        upstream: UpstreamName,
        /// The load.
        load: UpstreamLoad,
    },
    /// An upstream breaks one run after the other, so that it gets one request at a time; or it has
    /// responded since.
    CircuitChanged {
        /// The upstream.
        upstream: UpstreamName,
        /// Whether it gets one request at a time.
        is_open: bool,
    },
    /// No connection to an upstream could be made from an instance.
    Unreachable {
        /// The upstream.
        upstream: UpstreamName,
        /// Connection to the gate of the instance.
        link: u64,
        /// Whether the upstream gets no requests for a while; not if the fault is taken for that of
        /// the instance.
        backs_off: bool,
    },
    /// A request was refused that waited for a service in which workspaces have shares.
    RefusedUnderShares {
        /// The service.
        service: ServiceName,
        /// The request.
        ticket: Ticket,
        /// What its workspace used, compared with its share.
        share_use: ShareUse,
    },
    /// A run with suspected parts broke off; requests with all of them are refused.
    Blocked {
        /// Digests of the parts.
        parts: Vec<u64>,
    },
}
