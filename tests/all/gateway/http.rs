//! A plain HTTP/1.1 client that sends arbitrary bytes and reads responses as they arrive.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Bound for one read; longer than any request here takes.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// An HTTP request.
#[derive(Clone, Debug)]
pub struct Request {
    request_line: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Request {
    /// Creates a request with a method, a path and a request identifier.
    pub fn new(method: &str, path: &str, id: &str) -> Self {
        let headers = [("Host", "shop.example"), ("Request-Id", id)];
        Request {
            request_line: format!("{method} {path} HTTP/1.1"),
            headers: headers
                .map(|(name, value)| (name.into(), value.into()))
                .into(),
            body: Vec::new(),
        }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Sets the body.
    pub fn with_body(mut self, body: &str) -> Self {
        self.body = body.into();
        self
    }

    /// Returns the bytes on the wire.
    pub fn bytes(&self) -> Vec<u8> {
        let mut text = format!("{}\r\n", self.request_line);
        for (name, value) in &self.headers {
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

    /// Sends the request on a new connection and reads the response.
    pub fn send(&self, address: SocketAddr) -> Answer {
        Connection::open(address).send(&self.bytes())
    }
}

/// A response, possibly incomplete.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status; 0 if no response arrived.
    pub status: u16,
    /// Headers with lower-case names.
    pub headers: Vec<(String, String)>,
    /// Body as far as it arrived.
    pub body: Vec<u8>,
    /// Whether the complete body arrived.
    pub is_complete: bool,
}

impl Answer {
    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }
}

impl From<TcpStream> for Connection {
    fn from(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        Connection {
            stream,
            buffer: Vec::new(),
        }
    }
}

/// A connection to a gateway that can carry several requests.
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    /// Opens a connection.
    pub fn open(address: SocketAddr) -> Self {
        Self::from(TcpStream::connect(address).unwrap())
    }

    /// Sends bytes and reads one response.
    pub fn send(&mut self, bytes: &[u8]) -> Answer {
        self.write(bytes);
        self.read()
    }

    /// Sends bytes without reading a response.
    pub fn write(&mut self, bytes: &[u8]) {
        // The gateway may close the connection before it has read all of a request that it refuses.
        let _ = self.stream.write_all(bytes);
    }

    /// Returns whether the gateway has closed the connection without sending more bytes.
    pub fn is_closed(&mut self) -> bool {
        self.buffer.is_empty() && !self.fill_buffer()
    }

    /// Reads one response.
    pub fn read(&mut self) -> Answer {
        let mut answer = Answer::default();
        let Some(end) = self.read_until(b"\r\n\r\n") else {
            return answer;
        };
        let head: Vec<u8> = self.buffer.drain(..end).collect();
        let head = String::from_utf8(head).unwrap();
        let mut lines = head.split("\r\n").filter(|line| !line.is_empty());
        let status = lines.next().unwrap().split(' ').nth(1).unwrap();
        answer.status = status.parse().unwrap();
        answer.headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        answer.is_complete = if answer.header("transfer-encoding") == Some("chunked") {
            self.read_chunks(&mut answer.body).is_some()
        } else {
            let length = answer.header("content-length").unwrap_or("0");
            let length = length.parse().unwrap();
            self.read_exact(length, &mut answer.body).is_some()
        };
        answer
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> Option<()> {
        loop {
            let end = self.read_until(b"\r\n")?;
            let line: Vec<u8> = self.buffer.drain(..end).collect();
            let size = String::from_utf8(line).unwrap();
            let size = usize::from_str_radix(size.trim(), 16).unwrap();
            self.read_exact(size, body)?;
            self.read_exact(2, &mut Vec::new())?;
            if size == 0 {
                return Some(());
            }
        }
    }

    fn read_exact(&mut self, length: usize, body: &mut Vec<u8>) -> Option<()> {
        while self.buffer.len() < length {
            if !self.fill_buffer() {
                body.append(&mut self.buffer);
                return None;
            }
        }
        body.extend(self.buffer.drain(..length));
        Some(())
    }

    fn read_until(&mut self, delimiter: &[u8]) -> Option<usize> {
        loop {
            let found = self
                .buffer
                .windows(delimiter.len())
                .position(|part| part == delimiter);
            if let Some(position) = found {
                return Some(position + delimiter.len());
            }
            if !self.fill_buffer() {
                return None;
            }
        }
    }

    /// Reads more bytes; returns `false` at the end of the connection, on an error or after the
    /// timeout.
    fn fill_buffer(&mut self) -> bool {
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
