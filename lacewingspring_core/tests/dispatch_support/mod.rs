//! Upstreams and requests for tests of the dispatcher.

#![allow(dead_code, reason = "not every test uses all of it")]

use std::{net::SocketAddr, sync::Arc, time::Duration};

use lacewingspring_core::{
    dispatch::{
        Decision, Dispatcher, End, FleetShare, Reason, SlotRequest, Ticket, UpstreamInfo, Work,
    },
    names::{DataCentreName, ServiceName, SoftwareVersion, UpstreamName, WorkspaceName},
};

/// Link of the instance that asks for slots.
pub const LINK: u64 = 1;

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns an upstream of the service `models`.
pub fn upstream(name: &str, slots: u32) -> UpstreamInfo {
    UpstreamInfo {
        name: UpstreamName::from(name),
        service: ServiceName::from("models"),
        software: SoftwareVersion::from("v1"),
        address: SocketAddr::from(([10, 0, 0, 1], 8000)),
        data_centre: DataCentreName::from("a"),
        slots,
        memory_tokens: 100_000,
        draining: false,
        started_at_ms: 1,
    }
}

/// Returns a request for a generation by the service `models`.
pub fn request(class: &str) -> SlotRequest {
    SlotRequest {
        service: ServiceName::from("models"),
        class: Arc::from(class),
        rank: 0,
        data_centre: DataCentreName::from("a"),
        workspace: Some(WorkspaceName::from("w")),
        work: Work::Generation { prompt_tokens: 100, output_tokens: 50, parts: Vec::new() },
        target_left: ms(400),
        time_left: ms(15_000),
        first_output_left: ms(2_400),
        charge: 150,
        sends: 0,
        avoid: Vec::new(),
        fingerprint: 7,
        stream: None,
        software: None,
    }
}

pub fn ticket(number: u64) -> Ticket {
    Ticket { link: LINK, number }
}

/// Returns the gate of a whole fleet.
pub fn dispatcher(upstreams: &[UpstreamInfo]) -> Dispatcher {
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_upstreams(Duration::ZERO, upstreams.to_vec());
    dispatcher.set_fleet_share(Duration::ZERO, FleetShare::WHOLE);
    dispatcher
}

/// Returns the end of a run that took so many milliseconds.
pub fn finished(took: u64, tokens: u32) -> End {
    End::Finished { took: ms(took), output_tokens: tokens, decode: ms(took), is_framed: true }
}

/// Returns the numbers of the granted requests with their upstreams.
pub fn granted(decisions: &[Decision]) -> Vec<(u64, &str)> {
    let granted = decisions.iter().filter_map(|decision| match decision {
        Decision::Granted(ticket, grant) => Some((ticket.number, grant.upstream.as_str())),
        Decision::Refused(..) => None,
    });
    granted.collect()
}

/// Returns the numbers of the refused requests with the reasons and the times to retry after.
pub fn refused(decisions: &[Decision]) -> Vec<(u64, Reason, Duration)> {
    let refused = decisions.iter().filter_map(|decision| match decision {
        Decision::Refused(ticket, refusal) => {
            Some((ticket.number, refusal.reason, refusal.retry_after))
        }
        Decision::Granted(..) => None,
    });
    refused.collect()
}
