//! Runs the tool against an HTTP server with scripted replies.

#![allow(dead_code, reason = "each test file uses only some of these items")]

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Command, Output, Stdio},
    sync::mpsc::{self, Receiver},
    thread,
};

/// Address that refuses connections: nothing listens on this port.
pub const REFUSING: &str = "127.0.0.1:1";

/// How the server replies on one connection.
pub enum Reply {
    /// Writes these bytes and closes the connection.
    Bytes(String),
    /// Writes nothing and keeps the connection open.
    NoResponse,
}

impl Reply {
    /// A complete JSON response.
    pub fn json(status: u16, body: &str) -> Self {
        Self::complete(status, "application/json", body)
    }

    /// Problem details of lacewingspring with these fields.
    pub fn problem(status: u16, fields: &str) -> Self {
        Self::complete(
            status,
            "application/problem+json",
            &format!("{{\"title\":\"No.\",{fields}}}"),
        )
    }

    /// A complete response.
    pub fn complete(status: u16, content_type: &str, body: &str) -> Self {
        let len = body.len();
        Self::Bytes(format!(
            "HTTP/1.1 {status} X\r\ncontent-type: {content_type}\r\ncontent-length: {len}\r\n\r\n{body}"
        ))
    }

    /// An event stream whose HTTP body is complete, whether or not it holds the end marker.
    pub fn stream(body: &str) -> Self {
        Self::complete(200, "text/event-stream", body)
    }

    /// An event stream whose connection closes before the last chunk of the HTTP body.
    pub fn broken_stream(body: &str) -> Self {
        let len = body.len();
        Self::Bytes(format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n\
             {len:x}\r\n{body}\r\n"
        ))
    }

    /// No response: the connection closes after the request.
    pub const fn closed() -> Self {
        Self::Bytes(String::new())
    }
}

/// HTTP server that accepts one connection per reply, in order.
pub struct Responder {
    /// Address of the server.
    pub address: SocketAddr,
    requests: Receiver<String>,
}

impl Responder {
    /// Starts a server with these replies.
    pub fn start<const N: usize>(replies: [Reply; N]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (tx, requests) = mpsc::channel();
        thread::spawn(move || {
            let mut open_connections = Vec::new();
            for reply in replies {
                let (mut stream, _) = listener.accept().unwrap();
                tx.send(read_request(&stream)).unwrap();
                match reply {
                    Reply::Bytes(bytes) => stream.write_all(bytes.as_bytes()).unwrap(),
                    Reply::NoResponse => open_connections.push(stream),
                }
            }
            // Keeps the connections without a response open until the test ends.
            thread::park();
        });
        Self { address, requests }
    }

    /// Returns the head and body of the next request, without the host header, which varies.
    pub fn request(&self) -> String {
        self.requests.recv().unwrap()
    }

    /// Runs the tool with these arguments against this server.
    pub fn run(&self, args: &[&str]) -> Run {
        run_with(&["--address", &self.address.to_string()], args, "")
    }

    /// Runs the tool with this text on standard input.
    pub fn run_stdin(&self, args: &[&str], stdin: &str) -> Run {
        run_with(&["--address", &self.address.to_string()], args, stdin)
    }
}

/// Exit code and output of a run of the tool.
pub struct Run {
    /// Exit code.
    pub code: i32,
    /// Text on standard output.
    pub stdout: String,
    /// Text on standard error.
    pub stderr: String,
}

/// Runs the tool with these arguments and no address.
pub fn run(args: &[&str]) -> Run {
    run_with(&[], args, "")
}

fn run_with(global: &[&str], args: &[&str], stdin: &str) -> Run {
    let mut child = Command::new(env!("CARGO_BIN_EXE_lacewingspring_ctl"))
        .args(global)
        .args(args)
        .env_clear()
        .env("LACEWINGSPRING_TOKEN", "s3cret")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The write fails if the tool exits without reading its input.
    drop(child.stdin.take().unwrap().write_all(stdin.as_bytes()));
    let Output { status, stdout, stderr } = child.wait_with_output().unwrap();
    Run {
        code: status.code().unwrap(),
        stdout: String::from_utf8(stdout).unwrap(),
        stderr: String::from_utf8(stderr).unwrap(),
    }
}

fn read_request(stream: &TcpStream) -> String {
    let mut reader = BufReader::new(stream);
    let (mut text, mut len) = (String::new(), 0);
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length: ") {
            len = value.parse().unwrap();
        }
        if !line.starts_with("host: ") {
            text = text + line + "\n";
        }
    }
    let mut body = vec![0; len];
    reader.read_exact(&mut body).unwrap();
    text + "\n" + &String::from_utf8(body).unwrap()
}
