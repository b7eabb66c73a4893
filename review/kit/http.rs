//! Blocking HTTP/1.1, for the stand-ins of clients, workers and the store.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Head and body of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    /// Header fields in their order, with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived to its end.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let mut words = self.first_line.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// Method and target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.first_line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

/// One end of a channel.
pub struct Channel {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    deadline: Option<Instant>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Channel {
            stream,
            buffer: Vec::new(),
            deadline: None,
        }
    }

    pub fn connect(address: SocketAddr) -> Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Channel::new)
    }

    fn read_more(&mut self) -> Result<usize> {
        if let Some(deadline) = self.deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(ErrorKind::TimedOut.into());
            }
            self.stream.set_read_timeout(Some(left))?;
        }
        let mut chunk = [0; 16 << 10];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    fn fill(&mut self, length: usize) -> Result<()> {
        while self.buffer.len() < length {
            if self.read_more()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(())
    }

    fn line(&mut self) -> Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if self.read_more()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn head(&mut self) -> Result<Message> {
        let mut message = Message {
            first_line: self.line()?,
            ..Message::default()
        };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(message);
            }
            let (name, value) = line
                .split_once(':')
                .ok_or_else(|| Error::from(ErrorKind::InvalidData))?;
            let header = (name.to_ascii_lowercase(), value.trim().to_owned());
            message.headers.push(header);
        }
    }

    /// Reads the body into `message`; what arrived stays there if the channel ends early.
    fn read_body(&mut self, message: &mut Message, until_close: bool) -> Result<()> {
        let is_chunked = message.header("transfer-encoding").is_some();
        let length = message
            .header("content-length")
            .and_then(|text| text.parse().ok());
        if is_chunked {
            loop {
                let size = usize::from_str_radix(self.line()?.trim(), 16)
                    .map_err(|_| Error::from(ErrorKind::InvalidData))?;
                self.fill(size + 2)?;
                message.body.extend(self.buffer.drain(..size));
                self.buffer.drain(..2);
                if size == 0 {
                    break;
                }
            }
        } else if let Some(length) = length {
            self.fill(length)?;
            message.body = self.buffer.drain(..length).collect();
        } else if until_close {
            while self.read_more()? > 0 {}
            message.body = std::mem::take(&mut self.buffer);
        }
        message.is_complete = true;
        Ok(())
    }

    /// Reads a request, as a server.
    pub fn read_request(&mut self) -> Result<Message> {
        let mut request = self.head()?;
        self.read_body(&mut request, false)?;
        Ok(request)
    }

    /// Sends a request and reads its response, as a client. A response that breaks off is returned
    /// as far as it arrived; an error means that no head of a response arrived.
    pub fn send(&mut self, head: &str, body: &[u8], timeout: Duration) -> Result<Message> {
        self.deadline = Some(Instant::now() + timeout);
        let mut bytes = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)?;
        let mut response = self.head()?;
        // The error shows as `is_complete`.
        let _ = self.read_body(&mut response, true);
        Ok(response)
    }
}

/// Splits a path and its query; returns the values of the query by name, unescaped.
pub fn query(target: &str) -> (&str, Vec<(String, String)>) {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let pairs = pairs.map(|(name, value)| (name.to_owned(), unescape(value)));
    (path, pairs.collect())
}

pub fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut result = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3);
        let hex = hex.and_then(|two| std::str::from_utf8(two).ok());
        match hex.and_then(|two| u8::from_str_radix(two, 16).ok()) {
            Some(byte) if bytes[at] == b'%' => {
                result.push(byte);
                at += 3;
            }
            _ => {
                result.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&result).into_owned()
}
