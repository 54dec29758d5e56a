//! HTTP/1.1 on blocking sockets: one head, one body, a server with a thread for each connection.

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Longest head that is read.
const HEAD_BYTES_MAX: usize = 64 << 10;

pub struct Head {
    /// The request line or status line.
    pub line: String,
    pub headers: HashMap<String, String>,
}

impl Head {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map(String::as_str).unwrap_or_default()
    }

    pub fn length(&self) -> usize {
        self.header("content-length").parse().unwrap_or_default()
    }

    /// The path and query of a request.
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or_default()
    }
}

/// A connection, and what was read of it beyond the last head or body.
pub struct Channel {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    /// Opens a connection whose reads end after `patience`.
    pub fn open(address: SocketAddr, patience: Duration) -> Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(patience))?;
        Ok(Self::new(stream))
    }

    fn fill(&mut self) -> Result<()> {
        let mut piece = [0; 64 << 10];
        match self.stream.read(&mut piece)? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            read => {
                self.buffer.extend_from_slice(&piece[..read]);
                Ok(())
            }
        }
    }

    pub fn head(&mut self) -> Result<Head> {
        loop {
            let end = self.buffer.windows(4).position(|four| four == b"\r\n\r\n");
            if let Some(end) = end {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers
                    .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
                return Ok(Head { line, headers: headers.collect() });
            }
            if self.buffer.len() > HEAD_BYTES_MAX {
                return Err(ErrorKind::InvalidData.into());
            }
            self.fill()?;
        }
    }

    pub fn bytes(&mut self, count: usize) -> Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads a body with a length or in chunks.
    pub fn body(&mut self, head: &Head) -> Result<Vec<u8>> {
        if head.header("transfer-encoding") != "chunked" {
            return self.bytes(head.length());
        }
        let mut body = Vec::new();
        loop {
            let line = self.line()?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or_default(), 16);
            let size = size.map_err(|_| ErrorKind::InvalidData)?;
            body.extend(self.bytes(size)?);
            self.line()?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    fn line(&mut self) -> Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    /// Reads `count` bytes at about `bytes_per_s`.
    pub fn read_slowly(&mut self, count: usize, bytes_per_s: usize) -> Result<()> {
        let step = (bytes_per_s / 10).max(1);
        let mut left = count.saturating_sub(self.buffer.len());
        self.buffer.clear();
        let mut piece = vec![0; step];
        while left > 0 {
            let wanted = step.min(left);
            let read = self.stream.read(&mut piece[..wanted])?;
            if read == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            left -= read;
            std::thread::sleep(Duration::from_secs_f64(read as f64 / bytes_per_s as f64));
        }
        Ok(())
    }

    pub fn write(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Serves connections, each in a thread of its own, and returns the address.
pub fn serve(handle: impl Fn(&mut Channel) -> Result<()> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            std::thread::spawn(move || {
                // An error is the end of the connection.
                let _ = handle(&mut Channel::new(stream));
            });
        }
    });
    address
}
