//! Copies messages between exchanges and QUIC streams.

use quinn::{Incoming, RecvStream, SendStream};
use tokio::sync::mpsc;

use super::{Exchange, ExchangePair, codec};

/// Accepts one connection and opens an exchange for each stream that the peer opens.
pub async fn serve_connection(incoming: Incoming, exchanges: mpsc::UnboundedSender<Exchange>) {
    let remote = incoming.remote_address();
    let connection = match incoming.await {
        Ok(connection) => connection,
        Err(e) => {
            log::warn!(
                remote:% = remote, reason:% = e;
                "Handshake with a connecting peer fails; dropping the connection."
            );
            return;
        }
    };
    while let Ok((tx, rx)) = connection.accept_bi().await {
        let ExchangePair { caller, handler } = Exchange::pair();
        spawn(caller, tx, rx);
        if exchanges.send(handler).is_err() {
            return;
        }
    }
}

/// Copies messages in both directions until either side ends.
pub fn spawn(exchange: Exchange, tx: SendStream, rx: RecvStream) {
    tokio::spawn(write_all(exchange.rx, tx));
    tokio::spawn(read_all(exchange.tx, rx));
}

async fn write_all(mut messages: mpsc::Receiver<super::Message>, mut tx: SendStream) {
    while let Some(message) = messages.recv().await {
        if codec::write(&mut tx, &message).await.is_err() {
            return;
        }
    }
    let _ = tx.finish();
}

async fn read_all(messages: mpsc::Sender<super::Message>, mut rx: RecvStream) {
    loop {
        tokio::select! {
            read = codec::read(&mut rx) => {
                let Ok(message) = read else { return };
                if messages.send(message).await.is_err() {
                    return;
                }
            }
            () = messages.closed() => return,
        }
    }
}
