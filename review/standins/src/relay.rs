//! A relay in front of an address, which can be cut.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::store::reset_all;

/// Relay of TCP connections.
#[derive(Clone)]
pub struct Relay {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Relay {
    /// Starts a relay to a target.
    pub fn start(address: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).expect("the relay's address is free");
        let relay = Self { address, is_cut: Arc::default(), connections: Arc::default() };
        let serving = relay.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.is_cut.load(Ordering::SeqCst) {
                    continue;
                }
                let connected = TcpStream::connect_timeout(&target, Duration::from_secs(1));
                if let Ok(other) = connected {
                    serving.join(stream, other);
                }
            }
        });
        relay
    }

    fn join(&self, one: TcpStream, other: TcpStream) {
        for (from, to) in [(&one, &other), (&other, &one)] {
            let _ = from.set_nodelay(true);
            let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else { return };
            thread::spawn(move || {
                let mut buf = [0; 16 * 1024];
                while let Ok(count) = from.read(&mut buf) {
                    if count == 0 || to.write_all(&buf[..count]).is_err() {
                        break;
                    }
                }
                let _ = to.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
            });
        }
        self.connections.lock().expect("no panic").extend([one, other]);
    }

    /// Ends all connections, and new ones at once.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        reset_all(&self.connections);
    }
}
