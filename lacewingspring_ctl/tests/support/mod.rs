//! Runs the tool against a responder with scripted replies.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Command, Output, Stdio},
    sync::mpsc::{self, Receiver},
    thread,
};

/// Port that nothing listens on.
pub const REFUSING: &str = "127.0.0.1:1";

/// What the responder does with one connection.
pub enum Reply {
    /// Writes these bytes and closes.
    Bytes(String),
    /// Keeps the connection open and writes nothing.
    Silence,
}

impl Reply {
    /// A whole JSON answer.
    pub fn json(status: u16, body: &str) -> Self {
        Self::whole(status, "application/json", body)
    }

    /// A problem of lacewingspring with these fields.
    pub fn problem(status: u16, fields: &str) -> Self {
        Self::whole(status, "application/problem+json", &format!("{{\"title\":\"No.\",{fields}}}"))
    }

    /// A whole answer.
    pub fn whole(status: u16, content_type: &str, body: &str) -> Self {
        let len = body.len();
        Self::Bytes(format!(
            "HTTP/1.1 {status} X\r\ncontent-type: {content_type}\r\ncontent-length: {len}\r\n\r\n{body}"
        ))
    }

    /// A stream that ends as a whole body does, whatever it holds.
    pub fn stream(body: &str) -> Self {
        Self::whole(200, "text/event-stream", body)
    }

    /// A stream whose connection breaks after the body.
    pub fn broken_stream(body: &str) -> Self {
        let len = body.len();
        Self::Bytes(format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n\
             {len:x}\r\n{body}\r\n"
        ))
    }

    /// No byte at all: the connection closes after the request.
    pub const fn nothing() -> Self {
        Self::Bytes(String::new())
    }
}

/// A server that answers one connection for each reply, in order.
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
            let mut open = Vec::new();
            for reply in replies {
                let (mut stream, _) = listener.accept().unwrap();
                tx.send(read_request(&stream)).unwrap();
                match reply {
                    Reply::Bytes(bytes) => stream.write_all(bytes.as_bytes()).unwrap(),
                    Reply::Silence => open.push(stream),
                }
            }
            // Silent connections stay open until the test ends.
            thread::park();
        });
        Self { address, requests }
    }

    /// Returns the next request as head and body, without the headers that vary.
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

/// How the tool ended.
pub struct Run {
    /// Exit code.
    pub code: i32,
    /// Text on standard output.
    pub stdout: String,
    /// Text on standard error.
    pub stderr: String,
}

/// Runs the tool.
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
    // The tool may end without reading its input.
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
