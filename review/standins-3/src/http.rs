//! HTTP/1.1 messages on blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::TcpStream,
};

/// A request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub first: String,
    /// Headers with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map_or("", |(_, value)| value)
    }

    /// Returns whether there is such a header.
    pub fn has(&self, name: &str) -> bool {
        self.headers.iter().any(|(other, _)| other == name)
    }

    /// Returns the word of the first line with this number.
    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or("")
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

fn broken(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, what)
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head<R: BufRead>(reader: &mut R) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(broken("end in a head"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads one chunk of a body; empty at its end.
pub fn read_chunk<R: BufRead>(reader: &mut R) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(broken("end before a chunk"));
    }
    let size = usize::from_str_radix(line.trim_end(), 16).map_err(|_| broken("chunk size"))?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok(chunk)
}

/// Reads the body of a message.
pub fn read_body<R: BufRead>(
    reader: &mut R,
    message: &mut Message,
    ends_with_connection: bool,
) -> io::Result<()> {
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(());
            }
            message.body.extend(chunk);
        }
    }
    if message.has("content-length") {
        let size = message.header("content-length").parse().map_err(|_| broken("length"))?;
        message.body = vec![0; size];
        return reader.read_exact(&mut message.body);
    }
    if ends_with_connection {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(())
}

/// Reads a request; `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    read_body(reader, &mut message, false)?;
    Ok(Some(message))
}

/// Writes a response with a length.
pub fn respond<W: Write>(
    stream: &mut W,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
