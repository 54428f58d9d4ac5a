//! Relays datagrams between instances and can drop those of one direction between two instances.

use std::{
    collections::{BTreeSet, HashMap, hash_map::Entry},
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use tokio::net::UdpSocket;

/// Largest datagram that a relay forwards, in bytes.
const MAX_DATAGRAM: usize = 65_536;

/// A direction between two instances, by the addresses on which they listen. An instance also sends
/// from that address, so the source of a datagram identifies its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Direction {
    from: SocketAddr,
    to: SocketAddr,
}

/// Directions in which the relays drop datagrams; clones share them.
#[derive(Clone, Debug, Default)]
pub struct NetworkPartition(Arc<Mutex<BTreeSet<Direction>>>);

impl NetworkPartition {
    /// Drops all datagrams from one instance to another, given by index.
    pub fn block(&self, fleet: &super::Fleet, from: usize, to: usize) {
        let at = |index| SocketAddr::new(fleet.ip, 7_500 + index as u16);
        let direction = Direction { from: at(from), to: at(to) };
        self.0.lock().unwrap_or_else(PoisonError::into_inner).insert(direction);
    }

    /// Drops all datagrams between two groups of instances, in both directions.
    pub fn split(&self, fleet: &super::Fleet, one: &[usize], other: &[usize]) {
        for i in one {
            for j in other {
                self.block(fleet, *i, *j);
                self.block(fleet, *j, *i);
            }
        }
    }

    /// Forwards all datagrams again.
    pub fn heal(&self) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    fn allows(&self, from: SocketAddr, to: SocketAddr) -> bool {
        let partition = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        !partition.contains(&Direction { from, to })
    }
}

/// Starts a relay on `front` that forwards datagrams to an instance, and the replies to their
/// source. Returns `front`.
pub fn start(front: SocketAddr, instance: SocketAddr, partition: &NetworkPartition) -> SocketAddr {
    let partition = partition.clone();
    tokio::spawn(async move {
        let front = Arc::new(UdpSocket::bind(front).await.expect("binds a relay"));
        let mut reply_sockets: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
        let mut buf = vec![0; MAX_DATAGRAM];
        loop {
            let Ok((len, source)) = front.recv_from(&mut buf).await else { continue };
            let reply_socket = match reply_sockets.entry(source) {
                Entry::Occupied(entry) => entry.into_mut(),
                Entry::Vacant(entry) => {
                    entry.insert(open_reply_socket(&front, source, instance, &partition).await)
                }
            };
            if partition.allows(source, instance) {
                let _ = reply_socket.send(&buf[..len]).await;
            }
        }
    });
    front
}

/// Opens the socket that sends the datagrams of one source to the instance, and starts to forward
/// the replies to that source.
async fn open_reply_socket(
    front: &Arc<UdpSocket>,
    source: SocketAddr,
    instance: SocketAddr,
    partition: &NetworkPartition,
) -> Arc<UdpSocket> {
    let reply_socket =
        UdpSocket::bind(SocketAddr::new(instance.ip(), 0)).await.expect("binds a reply socket");
    reply_socket.connect(instance).await.expect("connects a reply socket");
    let reply_socket = Arc::new(reply_socket);
    let (front, partition, replies) = (front.clone(), partition.clone(), reply_socket.clone());
    tokio::spawn(async move {
        let mut buf = vec![0; MAX_DATAGRAM];
        loop {
            let Ok(len) = replies.recv(&mut buf).await else { continue };
            if partition.allows(instance, source) {
                let _ = front.send_to(&buf[..len], source).await;
            }
        }
    });
    reply_socket
}
