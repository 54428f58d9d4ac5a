//! TCP connections with the socket options that detect a dead peer within seconds.

use std::{io, net::SocketAddr, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, time::timeout};

/// Idle time after which keepalive probes are sent.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Time between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Time after which a connection with unacknowledged data is closed (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Sets `TCP_NODELAY`, keepalive and `TCP_USER_TIMEOUT` on a connection.
///
/// # Errors
///
/// Fails if the operating system rejects an option.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Connects within `limit` and sets the socket options.
///
/// # Errors
///
/// Fails if the connection is refused, `limit` passes or the operating system rejects an option.
pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let connecting = timeout(limit, TcpStream::connect(address)).await;
    let stream = connecting.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_socket_options(&stream)?;
    Ok(stream)
}
