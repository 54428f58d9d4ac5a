//! Connections of the links from other instances.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use futures_util::StreamExt;
use log::{info, warn};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc::{UnboundedReceiver, unbounded_channel},
    time::{sleep, timeout},
};

use super::GateHost;
use crate::{
    clock,
    connections::Connections,
    gate::message::{Frames, FromGate, decode, frames, send_all},
    net,
};

/// Time without a message from an instance, or for writing to it, after which its link is closed.
const LINK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

impl GateHost {
    /// Accepts links from other instances. Returns only on an error.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn serve(self: Arc<Self>, address: SocketAddr) -> io::Result<()> {
        self.serve_within(address, Arc::default()).await
    }

    /// As [`Self::serve`], with bounds on the number of links.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn serve_within(
        self: Arc<Self>,
        address: SocketAddr,
        connections: Arc<Connections>,
    ) -> io::Result<()> {
        let listener = TcpListener::bind(address).await?;
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => {
                    let admitted = connections.admit(clock::now(), peer.ip());
                    let Some((connection, _)) = admitted else { continue };
                    let host = self.clone();
                    tokio::spawn(async move {
                        let _link = connection.requests().begin();
                        host.serve_link(stream).await;
                    });
                }
                Err(e) => {
                    warn!(
                        error:% = e;
                        "Accepting a connection from an instance failed; retrying after a delay."
                    );
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve_link(self: Arc<Self>, stream: TcpStream) {
        if let Err(e) = net::set_socket_options(&stream) {
            warn!(
                error:% = e;
                "Setting the options of a connection from an instance failed; closing it."
            );
            return;
        }
        if !self.wait_for_entries().await {
            return;
        }
        let (tx, rx) = unbounded_channel();
        let link = self.connect(tx);
        let reason = self.exchange(link, frames(stream), rx).await;
        info!(link, reason; "The link from an instance is closed.");
        self.disconnect(clock::now(), link);
    }

    /// Exchanges messages until the link ends; returns the reason for the log.
    ///
    /// A peer that was not heard for [`LINK_TIMEOUT`] is sent nothing more until it is. An instance
    /// that is alive pings a silent gate; the link of another one ends after the same time again.
    async fn exchange(
        &self,
        link: u64,
        mut frames: Frames,
        mut rx: UnboundedReceiver<FromGate>,
    ) -> &'static str {
        let mut heard_at = clock::now();
        loop {
            let is_heard = clock::now().saturating_sub(heard_at) < LINK_TIMEOUT;
            tokio::select! {
                next = timeout(LINK_TIMEOUT, frames.next()) => match next {
                    Ok(Some(Ok(bytes))) => match decode(&bytes) {
                        Ok(message) => {
                            heard_at = clock::now();
                            self.handle(heard_at, link, message);
                        }
                        Err(_) => return "unreadable",
                    },
                    Ok(Some(Err(_)) | None) => return "closed",
                    Err(_) => return "silent",
                },
                Some(message) = rx.recv(), if is_heard => {
                    let sent = timeout(LINK_TIMEOUT, send_all(&mut frames, message, &mut rx));
                    if !matches!(sent.await, Ok(Ok(()))) {
                        return "unwritable";
                    }
                }
            }
        }
    }
}
