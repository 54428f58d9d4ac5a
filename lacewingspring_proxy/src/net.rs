//! Options of TCP connections.

use std::{io, net::SocketAddr, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, time::timeout};

/// Silence after which a connection is probed.
const PROBE_AFTER: Duration = Duration::from_secs(1);

/// Time between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes after which a connection is dead.
const PROBES: u32 = 2;

/// Time for which sent bytes may stay unacknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_secs(3);

/// Sets the options of a connection: no delay, short probes, an end to what is not acknowledged.
///
/// # Errors
///
/// Fails when the system refuses an option.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}

/// Connects within a time.
///
/// # Errors
///
/// Fails when there is no connection in time.
pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let connecting = timeout(limit, TcpStream::connect(address)).await;
    let stream = connecting.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_socket_options(&stream)?;
    Ok(stream)
}
