//! Socket options by which connections to dead peers are given up.

use std::time::Duration;

use lacewingspring_proxy::net::{connect, set_socket_options};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

/// A peer may fall silent for a second or so and go on.
const LONGEST_SILENCE: Duration = Duration::from_millis(1_500);

fn assert_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let user_timeout = socket.tcp_user_timeout().expect("an option").expect("a user timeout");
    // The user timeout also decides when keep-alive gives up, whatever the count of probes.
    assert!(user_timeout > LONGEST_SILENCE, "given up after {user_timeout:?}");
    assert_eq!(user_timeout, Duration::from_secs(3));
    assert!(socket.keepalive().expect("an option"), "an idle connection is probed");
    assert_eq!(socket.tcp_keepalive_time().expect("an option"), Duration::from_secs(1));
    assert_eq!(socket.tcp_keepalive_interval().expect("an option"), Duration::from_secs(1));
    assert_eq!(socket.tcp_keepalive_retries().expect("an option"), 2);
}

#[tokio::test]
async fn connections_of_both_sides_outlast_a_silent_second_and_no_dead_peer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
    let address = listener.local_addr().expect("an address");
    let connecting = connect(address, Duration::from_secs(1));
    let (connected, accepted) = tokio::join!(connecting, listener.accept());
    assert_options(&connected.expect("connects"));
    let (accepted, _) = accepted.expect("accepts");
    set_socket_options(&accepted).expect("sets the options");
    assert_options(&accepted);
}
