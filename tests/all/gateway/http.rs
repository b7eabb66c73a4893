//! A caller that speaks the platform's messages and takes nothing for granted.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Bound of one read; more than any request here takes.
const READ_MAX: Duration = Duration::from_secs(10);

/// A request.
#[derive(Clone, Debug)]
pub struct Request {
    line: String,
    header: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Request {
    /// A request with a method and a path.
    pub fn new(method: &str, path: &str, id: &str) -> Self {
        let header = [("Host", "shop.example"), ("Request-Id", id)];
        Request {
            line: format!("{method} {path} HTTP/1.1"),
            header: header
                .map(|(name, value)| (name.into(), value.into()))
                .into(),
            body: Vec::new(),
        }
    }

    /// A header line more.
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.header.push((name.into(), value.into()));
        self
    }

    /// A body.
    pub fn with_body(mut self, body: &str) -> Self {
        self.body = body.into();
        self
    }

    /// The bytes on the wire.
    pub fn bytes(&self) -> Vec<u8> {
        let mut text = format!("{}\r\n", self.line);
        for (name, value) in &self.header {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if !self.body.is_empty() {
            text.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Sends it on a connection of its own.
    pub fn send(&self, address: SocketAddr) -> Answer {
        Connection::open(address).send(&self.bytes())
    }
}

/// An answer as it came.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// Its status; 0 if there was none.
    pub status: u16,
    /// Its header lines, lower-case names.
    pub header: Vec<(String, String)>,
    /// Its body as far as it came.
    pub body: Vec<u8>,
    /// Whether it came whole.
    pub whole: bool,
}

impl Answer {
    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.header.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }
}

impl From<TcpStream> for Connection {
    fn from(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(READ_MAX)).unwrap();
        Connection {
            stream,
            buffer: Vec::new(),
        }
    }
}

/// A connection that is kept.
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    /// Connects.
    pub fn open(address: SocketAddr) -> Self {
        Self::from(TcpStream::connect(address).unwrap())
    }

    /// Sends bytes and reads one answer.
    pub fn send(&mut self, bytes: &[u8]) -> Answer {
        self.write(bytes);
        self.read()
    }

    /// Sends bytes.
    pub fn write(&mut self, bytes: &[u8]) {
        // The gateway may close before it has read all of a request that it refuses.
        let _ = self.stream.write_all(bytes);
    }

    /// Whether the gateway has closed the connection, with nothing more on it.
    pub fn is_closed(&mut self) -> bool {
        self.buffer.is_empty() && !self.fill()
    }

    /// Reads one answer.
    pub fn read(&mut self) -> Answer {
        let mut answer = Answer::default();
        let Some(end) = self.until(b"\r\n\r\n") else {
            return answer;
        };
        let head: Vec<u8> = self.buffer.drain(..end).collect();
        let head = String::from_utf8(head).unwrap();
        let mut lines = head.split("\r\n").filter(|line| !line.is_empty());
        let status = lines.next().unwrap().split(' ').nth(1).unwrap();
        answer.status = status.parse().unwrap();
        answer.header = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        answer.whole = if answer.header("transfer-encoding") == Some("chunked") {
            self.chunks(&mut answer.body).is_some()
        } else {
            let length = answer.header("content-length").unwrap_or("0");
            let length = length.parse().unwrap();
            self.take(length, &mut answer.body).is_some()
        };
        answer
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> Option<()> {
        loop {
            let end = self.until(b"\r\n")?;
            let line: Vec<u8> = self.buffer.drain(..end).collect();
            let size = String::from_utf8(line).unwrap();
            let size = usize::from_str_radix(size.trim(), 16).unwrap();
            self.take(size, body)?;
            self.take(2, &mut Vec::new())?;
            if size == 0 {
                return Some(());
            }
        }
    }

    fn take(&mut self, length: usize, body: &mut Vec<u8>) -> Option<()> {
        while self.buffer.len() < length {
            if !self.fill() {
                body.append(&mut self.buffer);
                return None;
            }
        }
        body.extend(self.buffer.drain(..length));
        Some(())
    }

    fn until(&mut self, mark: &[u8]) -> Option<usize> {
        loop {
            let found = self
                .buffer
                .windows(mark.len())
                .position(|part| part == mark);
            if let Some(position) = found {
                return Some(position + mark.len());
            }
            if !self.fill() {
                return None;
            }
        }
    }

    fn fill(&mut self) -> bool {
        let mut chunk = [0; 4_096];
        match self.stream.read(&mut chunk) {
            Ok(count) if count > 0 => {
                self.buffer.extend_from_slice(&chunk[..count]);
                true
            }
            _ => false,
        }
    }
}
