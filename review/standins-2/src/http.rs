//! Messages of HTTP/1.1 on blocking sockets.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Reads messages from a connection.
#[derive(Debug)]
pub struct Reader {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

/// A message that was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Headers in the order of their arrival.
    pub headers: Vec<(String, String)>,
    /// What was read of the body.
    pub body: Vec<u8>,
    /// Whether the body is complete by its framing.
    pub is_complete: bool,
}

impl Message {
    /// Returns the value of a header; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// Returns the status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buf: Vec::new() }
    }

    /// Reads more bytes; `None` at the end of the connection, on an error or at the time limit.
    fn fill(&mut self, until: Option<Instant>) -> Option<()> {
        if let Some(until) = until {
            let left = until.checked_duration_since(Instant::now())?;
            self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
        }
        let mut chunk = [0; 65_536];
        match self.stream.read(&mut chunk) {
            Ok(n) if n > 0 => {
                self.buf.extend_from_slice(&chunk[..n]);
                Some(())
            }
            _ => None,
        }
    }

    /// Reads the head of a message; `None` if the connection ends before.
    pub fn head(&mut self, until: Option<Instant>) -> Option<Message> {
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|window| window == b"\r\n\r\n") {
                break at;
            }
            self.fill(until)?;
        };
        let head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
        Some(Message { start, headers: headers.collect(), ..Message::default() })
    }

    /// Reads the body of a message by its framing. What came is kept, also of a body that breaks
    /// off. `ends_with_connection` is for a response without a length or chunks.
    pub fn body(
        &mut self,
        message: &mut Message,
        ends_with_connection: bool,
        until: Option<Instant>,
    ) {
        if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            message.is_complete = self.chunks(message, until).is_some();
            return;
        }
        let len = message.header("content-length").parse::<usize>().ok();
        if len.is_none() && ends_with_connection {
            while self.fill(until).is_some() {}
            message.body.append(&mut self.buf);
            message.is_complete = true;
            return;
        }
        let len = len.unwrap_or(0);
        while self.buf.len() < len && self.fill(until).is_some() {}
        let read = self.buf.len().min(len);
        message.body.extend(self.buf.drain(..read));
        message.is_complete = read == len;
    }

    fn chunks(&mut self, message: &mut Message, until: Option<Instant>) -> Option<()> {
        loop {
            let line = loop {
                if let Some(at) = self.buf.windows(2).position(|window| window == b"\r\n") {
                    break at;
                }
                self.fill(until)?;
            };
            let size = String::from_utf8_lossy(&self.buf[..line]).into_owned();
            let size = usize::from_str_radix(size.split(';').next()?.trim(), 16).ok()?;
            while self.buf.len() < line + 2 + size + 2 {
                if self.fill(until).is_none() {
                    let from = (line + 2).min(self.buf.len());
                    message.body.extend_from_slice(&self.buf[from..]);
                    return None;
                }
            }
            message.body.extend_from_slice(&self.buf[line + 2..line + 2 + size]);
            self.buf.drain(..line + 2 + size + 2);
            if size == 0 {
                return Some(());
            }
        }
    }

    /// Reads a request with its body.
    pub fn request(&mut self) -> Option<Message> {
        let mut message = self.head(None)?;
        self.body(&mut message, false, None);
        message.is_complete.then_some(message)
    }

    /// Reads a response; `None` if there is no head until the time limit.
    pub fn response(&mut self, until: Instant) -> Option<Message> {
        let mut message = self.head(Some(until))?;
        self.body(&mut message, true, Some(until));
        Some(message)
    }

    /// Writes bytes.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
}

/// Connects, sends a request and reads its response.
pub fn exchange(address: SocketAddr, request: &[u8], limit: Duration) -> Option<Message> {
    let until = Instant::now() + limit;
    let stream = TcpStream::connect_timeout(&address, limit).ok()?;
    let mut reader = Reader::new(stream);
    if !reader.send(request) {
        return None;
    }
    reader.response(until)
}
