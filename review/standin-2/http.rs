//! A small HTTP/1.1 reader and writer: enough for stand-ins on loopback.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or("")
    }
}

/// A connection with the bytes that were read and not yet used.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> Option<()> {
        let mut piece = [0; 16384];
        match self.stream.read(&mut piece) {
            Ok(0) | Err(_) => None,
            Ok(count) => {
                self.buffer.extend_from_slice(&piece[..count]);
                Some(())
            }
        }
    }

    pub fn head(&mut self) -> Option<Head> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next()?.to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers =
                    headers.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned())).collect();
                return Some(Head { first, headers });
            }
            self.fill()?;
        }
    }

    fn take(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Some(self.buffer.drain(..count).collect())
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Some(line);
            }
            self.fill()?;
        }
    }

    /// The body that belongs to a head, and whether it came to its end.
    pub fn body(&mut self, head: &Head, is_answer: bool) -> (Vec<u8>, bool) {
        let is_chunked = head.get("transfer-encoding").is_some_and(|v| v.contains("chunked"));
        if is_chunked {
            let mut body = Vec::new();
            loop {
                let Some(line) = self.line() else { return (body, false) };
                let Ok(size) = usize::from_str_radix(line.split(';').next().unwrap_or(""), 16)
                else {
                    return (body, false);
                };
                let Some(data) = self.take(size + 2) else { return (body, false) };
                if size == 0 {
                    return (body, true);
                }
                body.extend_from_slice(&data[..size]);
            }
        }
        if let Some(length) = head.get("content-length").and_then(|v| v.parse::<usize>().ok()) {
            return match self.take(length) {
                Some(body) => (body, true),
                None => (std::mem::take(&mut self.buffer), false),
            };
        }
        if is_answer {
            while self.fill().is_some() {}
            return (std::mem::take(&mut self.buffer), true);
        }
        (Vec::new(), true)
    }

    pub fn write(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).is_ok()
    }
}

/// An answer as a client saw it. `status` is 0 if no answer came.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub is_whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Sends a request on a new channel and reads the answer.
pub fn call(address: SocketAddr, request: &str, within: Duration) -> Answer {
    let none = Answer { status: 0, headers: Vec::new(), is_whole: false };
    // Clients allow a new channel one second.
    let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return none;
    };
    let _ = stream.set_read_timeout(Some(within));
    let mut conn = Conn::new(stream);
    if !conn.write(request) {
        return none;
    }
    let Some(head) = conn.head() else { return none };
    let status = head.word(1).parse().unwrap_or(0);
    let (_, is_whole) = conn.body(&head, true);
    Answer { status, headers: head.headers, is_whole }
}

pub fn get(address: SocketAddr, path: &str) -> u16 {
    let request = format!("GET {path} HTTP/1.1\r\nHost: check\r\nConnection: close\r\n\r\n");
    call(address, &request, Duration::from_secs(1)).status
}

pub fn wait_until(limit: Duration, what: impl Fn() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if what() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
