//! Tells callers which addresses to use, and the platform whether this instance is ready.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::Full;
use tokio::sync::watch;

use crate::{
    members::{Member, SharedMembers},
    protocol::{AddressQuery, Protocol},
};

/// Time for which callers are to keep the addresses.
const TTL: Duration = Duration::from_secs(2);

/// Answers questions for addresses and readiness.
pub struct Directory<P> {
    /// Protocol of callers.
    pub protocol: Arc<P>,
    /// The instances of the fleet.
    pub members: SharedMembers,
    /// What this instance says of itself.
    pub member: watch::Receiver<Member>,
    /// Whether requests can be served.
    pub is_ready: watch::Receiver<bool>,
    /// Longest time for which callers keep the addresses.
    pub max_ttl: Duration,
}

impl<P> Directory<P>
where
    P: Protocol,
{
    /// Answers a question.
    pub fn answer<B>(&self, req: &Request<B>) -> Response<Full<Bytes>> {
        let path = req.uri().path();
        if self.protocol.is_readiness(path) {
            return plain(self.readiness());
        }
        match self.protocol.address_query(path, req.uri().query().unwrap_or_default()) {
            Some(query) => {
                let addresses = self.addresses(&query);
                if addresses.is_empty() {
                    return plain(StatusCode::SERVICE_UNAVAILABLE);
                }
                let body = self.protocol.addresses(&addresses, TTL.min(self.max_ttl));
                let mut response = Response::new(Full::new(body));
                let json = HeaderValue::from_static("application/json");
                response.headers_mut().insert(CONTENT_TYPE, json);
                response
            }
            None => plain(StatusCode::NOT_FOUND),
        }
    }

    /// Returns addresses for a caller; this instance knows before the others that it leaves.
    fn addresses(&self, query: &AddressQuery) -> Vec<SocketAddr> {
        let members = self.members.load();
        let member = self.member.borrow();
        let without = member.is_leaving.then_some(&member.instance);
        members.addresses(query.data_centre.as_ref(), without)
    }

    fn readiness(&self) -> StatusCode {
        if *self.is_ready.borrow() && !self.member.borrow().is_leaving {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        }
    }
}

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
