//! Serves the addresses of instances to callers, and the readiness of this instance to the
//! platform.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::Full;
use tokio::sync::watch;

use crate::{
    members::{Member, SharedMembers},
    protocol::{AddressQuery, Protocol},
    readiness::{Readiness, ReadinessCheck},
};

/// Time for which callers may cache the addresses.
const ADDRESS_TTL: Duration = Duration::from_secs(2);

/// Handler of address and readiness requests.
pub struct Directory<P> {
    /// Protocol of callers.
    pub protocol: Arc<P>,
    /// The instances of the fleet.
    pub members: SharedMembers,
    /// Current entry of this instance.
    pub member: watch::Receiver<Member>,
    /// Whether this instance can serve requests.
    pub readiness: ReadinessCheck,
    /// Maximum time for which callers may cache the addresses.
    pub max_ttl: Duration,
}

impl<P> Directory<P>
where
    P: Protocol,
{
    /// Answers an address or readiness request; any other path is answered with status 404.
    pub fn answer<B>(&self, req: &Request<B>) -> Response<Full<Bytes>> {
        let path = req.uri().path();
        if self.protocol.is_readiness_path(path) {
            return empty_response(self.readiness());
        }
        match self.protocol.address_query(path, req.uri().query().unwrap_or_default()) {
            Some(query) => {
                let addresses = self.addresses(&query);
                if addresses.is_empty() {
                    return empty_response(StatusCode::SERVICE_UNAVAILABLE);
                }
                let body = self.protocol.addresses(&addresses, ADDRESS_TTL.min(self.max_ttl));
                let mut response = Response::new(Full::new(body));
                let json = HeaderValue::from_static("application/json");
                response.headers_mut().insert(CONTENT_TYPE, json);
                response
            }
            None => empty_response(StatusCode::NOT_FOUND),
        }
    }

    /// Returns the addresses for a caller, without this instance once it is leaving, as other
    /// instances learn of that later.
    fn addresses(&self, query: &AddressQuery) -> Vec<SocketAddr> {
        let members = self.members.load();
        let member = self.member.borrow();
        let leaving = member.is_leaving.then_some(&member.instance);
        members.addresses(query.data_centre.as_ref(), leaving)
    }

    fn readiness(&self) -> StatusCode {
        match self.readiness.check() {
            Readiness::Ready => StatusCode::OK,
            Readiness::NotRead | Readiness::NotRegistered | Readiness::Leaving => {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    }
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
