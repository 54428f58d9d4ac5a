//! Clients.

use std::{
    io::{self, BufReader, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream},
    time::Duration,
};

use crate::{
    http::{self, Message},
    net,
};

/// A request as a client sends it.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Creates a request with an id, a key and a deadline.
    pub fn new(method: &'static str, path: &str, id: &str, key: &str, deadline_ms: u64) -> Self {
        let header = |name: &str, value: &str| (name.to_owned(), value.to_owned());
        Self {
            method,
            path: path.to_owned(),
            headers: vec![
                header("Host", HOST),
                header("X-Lacewingspring-Attempt-Id", id),
                header("X-Lacewingspring-Deadline-Ms", &deadline_ms.to_string()),
                header("Authorization", &format!("Bearer {key}")),
            ],
            body: Vec::new(),
        }
    }

    /// Adds a header.
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sets the body.
    pub fn with_body(mut self, body: &[u8]) -> Self {
        self.body = body.to_vec();
        self
    }

    /// Returns the head with the length of the body.
    pub fn head(&self) -> String {
        let mut text = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", self.body.len()));
        text
    }
}

/// Host of all requests.
pub const HOST: &str = "ficu95.example";

/// Connects from a loopback address.
pub fn connect(from: Ipv4Addr, to: SocketAddr) -> io::Result<TcpStream> {
    let SocketAddr::V4(to) = to else { return Err(io::ErrorKind::Unsupported.into()) };
    let to: SocketAddrV4 = to;
    let stream = net::connect_from(from, to)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends a request on a new connection and reads the whole answer.
pub fn send(
    from: Ipv4Addr,
    to: SocketAddr,
    request: &Request,
    limit: Duration,
) -> io::Result<Message> {
    let mut stream = connect(from, to)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let mut bytes = request.head().into_bytes();
    bytes.extend_from_slice(&request.body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let head = http::read_head(&mut reader)?;
    let mut answer = head.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
    http::read_body(&mut reader, &mut answer, true)?;
    Ok(answer)
}

/// Makes a plain GET, as the platform does.
pub fn get(to: SocketAddr, path: &str, limit: Duration) -> io::Result<Message> {
    let request = Request {
        method: "GET",
        path: path.to_owned(),
        headers: vec![("Host".into(), to.to_string())],
        body: Vec::new(),
    };
    send(Ipv4Addr::LOCALHOST, to, &request, limit)
}
