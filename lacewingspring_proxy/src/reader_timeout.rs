//! Connections that fail if their peer reads nothing for a time.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};

/// Time after which a caller that reads nothing of its response is given up.
pub const READER_TIMEOUT: Duration = Duration::from_secs(5);

/// A connection whose writes fail if none of their bytes is accepted for [`READER_TIMEOUT`].
///
/// A timer is only set while a write waits.
#[derive(Debug)]
pub struct ReaderTimeout {
    stream: TcpStream,
    /// Runs while a write waits.
    timer: Option<Pin<Box<Sleep>>>,
    is_limited: bool,
}

impl ReaderTimeout {
    /// Wraps a connection; without a limit, writes wait for any time.
    pub fn new(stream: TcpStream, is_limited: bool) -> Self {
        Self { stream, timer: None, is_limited }
    }

    /// Returns the connection.
    pub fn get_ref(&self) -> &TcpStream {
        &self.stream
    }

    /// Returns the result of a write, or an error if it waits for too long.
    fn check<T>(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() || !self.is_limited {
            self.timer = None;
            return result;
        }
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(READER_TIMEOUT)));
        if timer.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }
}

impl AsyncRead for ReaderTimeout {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for ReaderTimeout {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.check(cx, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.check(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
