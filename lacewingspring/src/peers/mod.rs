//! Exchanges between instances over QUIC with mutual TLS.
//!
//! An exchange is one bidirectional stream of typed messages. An exchange of an instance with
//! itself uses in-process channels to the same handler.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use lacewingspring_core::names::InstanceName;
use quinn::{Connection, Endpoint, IdleTimeout, TransportConfig, VarInt};
use thiserror::Error;
use tokio::sync::mpsc;

pub use self::{
    authority::{Authority, AuthorityError},
    keys::{KeyCall, KeyReply, KeyUpdate},
    message::{GateId, GatePermitRequest, Message, RunPart},
    poison::{OpenRun, PoisonCall, PoisonReply},
    pools::{CloseUpstreams, PoolCall, PoolReply, PoolReport, UpstreamRuns},
    shares::{ShareCall, ShareReply},
};

mod authority;
pub mod codec;
mod keys;
mod message;
mod poison;
mod pools;
mod pump;
mod shares;

/// Number of messages that each direction of an exchange buffers before its sender waits.
const EXCHANGE_BUFFER_LEN: usize = 256;

/// Time without packets after which a connection is closed, in milliseconds.
const IDLE_TIMEOUT_MS: u32 = 3_000;

/// Time between two keep-alive packets.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Number of exchanges that a peer may have open at once on one connection. Memory for each is
/// allocated in advance.
const MAX_STREAMS_PER_CONNECTION: u32 = 1_024;

/// Longest wait until a connection is established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Why an exchange could not be opened or gave no reply.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The socket could not be bound.
    #[error("cannot listen for peers: {0}")]
    Listen(#[from] io::Error),
    /// The certificate of this instance could not be issued.
    #[error(transparent)]
    Authority(#[from] AuthorityError),
    /// The peer could not be reached, or did not reply in time.
    #[error("peer {0} cannot be reached or does not reply in time")]
    Unreachable(InstanceName),
}

/// One end of an exchange.
#[derive(Debug)]
pub struct Exchange {
    /// Sends to the other end; dropping it ends the exchange.
    pub tx: mpsc::Sender<Message>,
    /// Receives from the other end; yields `None` once that end has closed the exchange.
    pub rx: mpsc::Receiver<Message>,
}

impl Exchange {
    /// Creates an exchange within this process and returns both ends.
    pub fn pair() -> ExchangePair {
        let (a_tx, b_rx) = mpsc::channel(EXCHANGE_BUFFER_LEN);
        let (b_tx, a_rx) = mpsc::channel(EXCHANGE_BUFFER_LEN);
        ExchangePair { caller: Self { tx: a_tx, rx: a_rx }, handler: Self { tx: b_tx, rx: b_rx } }
    }
}

/// Both ends of an exchange within this process.
#[derive(Debug)]
pub struct ExchangePair {
    /// End that opened the exchange.
    pub caller: Exchange,
    /// End that handles it.
    pub handler: Exchange,
}

/// Address of a peer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PeerAddress {
    /// Name of the instance, which its certificate must show.
    pub instance: InstanceName,
    /// UDP address.
    pub address: SocketAddr,
}

/// QUIC endpoint of this instance and its connections to the others.
#[derive(Debug)]
pub struct Peers {
    own: InstanceName,
    endpoint: Endpoint,
    connections: Mutex<HashMap<PeerAddress, Connection>>,
    local: mpsc::UnboundedSender<Exchange>,
    incoming: Mutex<Option<mpsc::UnboundedReceiver<Exchange>>>,
}

impl Peers {
    /// Binds the endpoint. Must be called within a Tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use or the authority can't issue a certificate.
    pub fn bind(
        own: InstanceName,
        address: SocketAddr,
        authority: &Authority,
    ) -> Result<Arc<Self>, PeerError> {
        let identity = authority.issue(&own)?;
        let transport = Arc::new(transport());
        let mut server = identity.server_config()?;
        server.transport_config(transport.clone());
        let mut client = identity.client_config()?;
        client.transport_config(transport);
        let mut endpoint = Endpoint::server(server, address)?;
        endpoint.set_default_client_config(client);
        let (local, incoming) = mpsc::unbounded_channel();
        Ok(Arc::new(Self {
            own,
            endpoint,
            connections: Mutex::default(),
            local,
            incoming: Mutex::new(Some(incoming)),
        }))
    }

    /// Accepts connections and returns the exchanges that other instances and this one open.
    ///
    /// Only the receiver of the first call gets exchanges.
    pub fn accept(self: &Arc<Self>) -> mpsc::UnboundedReceiver<Exchange> {
        let peers = self.clone();
        tokio::spawn(async move {
            while let Some(incoming) = peers.endpoint.accept().await {
                tokio::spawn(pump::serve_connection(incoming, peers.local.clone()));
            }
        });
        let mut incoming = self.incoming.lock().unwrap_or_else(PoisonError::into_inner);
        incoming.take().unwrap_or_else(|| mpsc::unbounded_channel().1)
    }

    /// Opens an exchange with an instance and sends the first message.
    ///
    /// # Errors
    ///
    /// Fails if the peer can't be reached.
    pub async fn open(&self, peer: &PeerAddress, first: Message) -> Result<Exchange, PeerError> {
        let ExchangePair { caller, handler } = Exchange::pair();
        let unreachable = || PeerError::Unreachable(peer.instance.clone());
        if peer.instance == self.own {
            self.local.send(handler).map_err(|_| unreachable())?;
        } else {
            let connection = self.connection(peer).await?;
            let opened = connection.open_bi().await;
            let (tx, rx) = opened.map_err(|_| unreachable())?;
            pump::spawn(handler, tx, rx);
        }
        caller.tx.send(first).await.map_err(|_| unreachable())?;
        Ok(caller)
    }

    /// Opens an exchange, sends one message and waits for one reply.
    ///
    /// # Errors
    ///
    /// Fails if the peer can't be reached, does not reply in time or closes the exchange without a
    /// reply.
    pub async fn call(
        &self,
        peer: &PeerAddress,
        message: Message,
        timeout: Duration,
    ) -> Result<Message, PeerError> {
        let unreachable = || PeerError::Unreachable(peer.instance.clone());
        let exchange = async {
            let mut exchange = self.open(peer, message).await?;
            exchange.rx.recv().await.ok_or_else(unreachable)
        };
        tokio::time::timeout(timeout, exchange).await.map_err(|_| unreachable())?
    }

    /// Closes the connections to an instance, which ends their exchanges at once.
    pub fn close(&self, instance: &InstanceName) {
        self.lock().retain(|peer, connection| {
            let keep = peer.instance != *instance;
            if !keep {
                connection.close(VarInt::from_u32(0), b"not up");
            }
            keep
        });
    }

    async fn connection(&self, peer: &PeerAddress) -> Result<Connection, PeerError> {
        if let Some(connection) = self.open_connection(peer) {
            return Ok(connection);
        }
        let unreachable = || PeerError::Unreachable(peer.instance.clone());
        let connecting = self.endpoint.connect(peer.address, peer.instance.as_str());
        let connecting = connecting.map_err(|_| unreachable())?;
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        let connection = connected.map_err(|_| unreachable())?.map_err(|_| unreachable())?;
        Ok(self.store_connection(peer, connection))
    }

    /// Stores a new connection and returns the one to use: if two were opened at the same time, the
    /// second one is closed.
    fn store_connection(&self, peer: &PeerAddress, connection: Connection) -> Connection {
        let mut connections = self.lock();
        if let Some(first) = connections.get(peer)
            && first.close_reason().is_none()
        {
            connection.close(VarInt::from_u32(0), b"not needed");
            return first.clone();
        }
        connections.insert(peer.clone(), connection.clone());
        connection
    }

    fn open_connection(&self, peer: &PeerAddress) -> Option<Connection> {
        let mut connections = self.lock();
        let connection = connections.get(peer)?;
        if connection.close_reason().is_some() {
            connections.remove(peer);
            return None;
        }
        Some(connection.clone())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<PeerAddress, Connection>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))));
    transport.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS_PER_CONNECTION));
    transport
}
