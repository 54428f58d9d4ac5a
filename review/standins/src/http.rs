//! A little HTTP/1.1, enough for the stand-ins.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Head of a request or response with its first line split at spaces.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: Vec<String>,
    headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header, whose name is given in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.first.get(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|value| value.contains("chunked"))
    }

    fn length(&self) -> Option<usize> {
        self.get("content-length").and_then(|value| value.parse().ok())
    }
}

/// Reads a line without its end; `None` at the end of the connection.
fn read_line<R: BufRead>(reader: &mut R) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end_matches(['\r', '\n']).to_owned()))
}

/// Reads a head; `None` if the connection ends before its first byte.
pub fn read_head<R: BufRead>(reader: &mut R) -> io::Result<Option<Head>> {
    let Some(first) = read_line(reader)? else { return Ok(None) };
    let mut head =
        Head { first: first.split(' ').map(str::to_owned).collect(), headers: Vec::new() };
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(Some(head));
        }
        if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the next chunk of a chunked body; an empty one is the last.
fn read_chunk<R: BufRead>(reader: &mut R) -> io::Result<Vec<u8>> {
    let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
        .map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    read_line(reader)?;
    Ok(chunk)
}

/// Reads the body that a head announces, and passes each part on; fails if it is incomplete.
pub fn read_body<R: BufRead>(
    reader: &mut R,
    head: &Head,
    mut on_part: impl FnMut(&[u8]),
) -> io::Result<()> {
    if head.is_chunked() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(());
            }
            on_part(&chunk);
        }
    }
    let mut body = vec![0; head.length().unwrap_or(0)];
    reader.read_exact(&mut body)?;
    on_part(&body);
    Ok(())
}

/// A complete response.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub head: Head,
    pub body: Vec<u8>,
}

/// Sends a request on a new connection, with an empty line added to its head, and reads the response.
/// `on_part` gets each part of the body as it arrives.
pub fn exchange(
    address: SocketAddr,
    head: &str,
    body: &[u8],
    limit: Duration,
    mut on_part: impl FnMut(&[u8]),
) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1).min(limit))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut message = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    message.extend_from_slice(body);
    stream.write_all(&message)?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let mut response = Response { head: head.clone(), body: Vec::new() };
    read_body(&mut reader, &head, |part| {
        response.body.extend_from_slice(part);
        on_part(part);
    })?;
    Ok(response)
}
