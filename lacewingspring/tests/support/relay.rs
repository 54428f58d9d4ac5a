//! Relays of datagrams between instances, which can cut one direction of a pair.

use std::{
    collections::{BTreeSet, HashMap, hash_map::Entry},
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use tokio::net::UdpSocket;

/// Largest datagram that is relayed, in bytes.
const MAX_DATAGRAM: usize = 65_536;

/// A direction between two instances, by the addresses that they listen on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Direction {
    from: SocketAddr,
    to: SocketAddr,
}

/// Directions in which datagrams are dropped.
#[derive(Clone, Debug, Default)]
pub struct Cuts(Arc<Mutex<BTreeSet<Direction>>>);

impl Cuts {
    /// Drops all datagrams from one instance to another, by their indices.
    pub fn cut(&self, fleet: &super::Fleet, from: usize, to: usize) {
        let at = |index| SocketAddr::new(fleet.ip, 7_500 + index as u16);
        let direction = Direction { from: at(from), to: at(to) };
        self.0.lock().unwrap_or_else(PoisonError::into_inner).insert(direction);
    }

    /// Parts two sides: drops all datagrams between them.
    pub fn part(&self, fleet: &super::Fleet, one: &[usize], other: &[usize]) {
        for i in one {
            for j in other {
                self.cut(fleet, *i, *j);
                self.cut(fleet, *j, *i);
            }
        }
    }

    /// Lets all datagrams pass again.
    pub fn heal(&self) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    fn passes(&self, from: SocketAddr, to: SocketAddr) -> bool {
        let cuts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        !cuts.contains(&Direction { from, to })
    }
}

/// Relays what arrives at an address to an instance, and its replies back. Returns the address.
pub fn start(front: SocketAddr, instance: SocketAddr, cuts: &Cuts) -> SocketAddr {
    let cuts = cuts.clone();
    tokio::spawn(async move {
        let front = Arc::new(UdpSocket::bind(front).await.expect("binds a relay"));
        let mut backs: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
        let mut buf = vec![0; MAX_DATAGRAM];
        loop {
            let Ok((len, source)) = front.recv_from(&mut buf).await else { continue };
            let back = match backs.entry(source) {
                Entry::Occupied(entry) => entry.into_mut(),
                Entry::Vacant(entry) => entry.insert(back(&front, source, instance, &cuts).await),
            };
            if cuts.passes(source, instance) {
                let _ = back.send(&buf[..len]).await;
            }
        }
    });
    front
}

/// Opens the socket that stands for one source, and relays the replies to it.
async fn back(
    front: &Arc<UdpSocket>,
    source: SocketAddr,
    instance: SocketAddr,
    cuts: &Cuts,
) -> Arc<UdpSocket> {
    let back = UdpSocket::bind(SocketAddr::new(instance.ip(), 0)).await.expect("binds a relay");
    back.connect(instance).await.expect("connects a relay");
    let back = Arc::new(back);
    let (front, cuts, replies) = (front.clone(), cuts.clone(), back.clone());
    tokio::spawn(async move {
        let mut buf = vec![0; MAX_DATAGRAM];
        loop {
            let Ok(len) = replies.recv(&mut buf).await else { continue };
            if cuts.passes(instance, source) {
                let _ = front.send_to(&buf[..len], source).await;
            }
        }
    });
    back
}
