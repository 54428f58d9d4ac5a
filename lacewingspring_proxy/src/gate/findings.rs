//! Log lines of what the gate learns.

use lacewingspring_core::{dispatch::Finding, names::WorkspaceName};
use log::{info, warn};

use crate::part_ids::PartIds;

/// Logs what the gate has learned.
pub(super) fn log_finding(finding: &Finding) {
    match finding {
        Finding::RunBroken { upstream, fingerprint, crashes } => info!(
            upstream = upstream.as_str(), fingerprint:% = format_args!("{fingerprint:x}"), crashes;
            "A run ended with a broken connection."
        ),
        Finding::Suspected { part, crashes } => warn!(
            prompt_part:% = format_args!("{part:x}"), crashes;
            "A prompt part may crash upstreams; requests with it run one at a time."
        ),
        Finding::NoLongerSuspected { part } => info!(
            prompt_part:% = format_args!("{part:x}");
            "A prompt part is no longer suspected of crashing upstreams."
        ),
        Finding::Limited { upstream, per_s } => info!(
            upstream = upstream.as_str(), per_s;
            "The gate keeps to the limit that an upstream names."
        ),
        Finding::NoLongerLimited { upstream } => info!(
            upstream = upstream.as_str();
            "An upstream no longer names a limit."
        ),
        Finding::SeveralVersions { service } => info!(
            service = service.as_str();
            "Upstreams have several software versions; a stream goes on only at its own."
        ),
        Finding::Brittle { service } => info!(
            service = service.as_str();
            "The gate keeps a slot of each upstream free, as they may crash if they decline."
        ),
        Finding::LoadIgnored { upstream, load } => warn!(
            upstream = upstream.as_str(), running = load.running, waiting = load.waiting,
            slots = load.slots, pace = load.pace;
            "The load that an upstream reports is implausible and is ignored."
        ),
        Finding::CircuitChanged { upstream, is_open: true } => warn!(
            upstream = upstream.as_str();
            "An upstream breaks one run after the other; it gets one request at a time."
        ),
        Finding::CircuitChanged { upstream, is_open: false } => info!(
            upstream = upstream.as_str();
            "An upstream that broke runs responds again."
        ),
        Finding::Unreachable { upstream, link, backs_off } => info!(
            upstream = upstream.as_str(), link, backs_off;
            "An instance can't connect to an upstream."
        ),
        Finding::RefusedUnderShares { service, ticket, share_use } => info!(
            service = service.as_str(), link = ticket.link, number = ticket.number,
            workspace = share_use.workspace.as_ref().map_or("", WorkspaceName::as_str),
            above_share = share_use.is_above(), used = share_use.used, share = share_use.share,
            waiting = share_use.waiting;
            "A waiting request is refused in a service where workspaces have shares."
        ),
        Finding::Blocked { parts } => warn!(
            parts:% = PartIds(parts);
            "A run with suspected prompt parts broke off; requests with all of them are refused."
        ),
    }
}
