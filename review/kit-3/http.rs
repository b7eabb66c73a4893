//! HTTP/1.1 on blocking sockets: just what the stand-ins and the clients need.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(field, _)| field.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The second word of the first line: the target of a request, the status of an answer.
    pub fn second_word(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or(0)
    }
}

/// A socket with what was read ahead.
pub struct Channel {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Channel {
            stream,
            ahead: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr, within: Duration) -> std::io::Result<Self> {
        TcpStream::connect_timeout(&address, within).map(Channel::new)
    }

    pub fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self) -> std::io::Result<()> {
        let mut piece = [0; 32 << 10];
        let count = self.stream.read(&mut piece)?;
        if count == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        self.ahead.extend_from_slice(&piece[..count]);
        Ok(())
    }

    pub fn read_head(&mut self) -> std::io::Result<Head> {
        let mut searched = 0;
        let end = loop {
            let found = self.ahead[searched..].windows(4).position(|four| four == b"\r\n\r\n");
            if let Some(at) = found {
                break searched + at;
            }
            searched = self.ahead.len().saturating_sub(3);
            self.fill()?;
        };
        let text = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
        self.ahead.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let line = lines.next().unwrap_or("").to_owned();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let fields = fields.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()));
        Ok(Head {
            line,
            fields: fields.collect(),
        })
    }

    pub fn read_bytes(&mut self, count: usize) -> std::io::Result<Vec<u8>> {
        while self.ahead.len() < count {
            self.fill()?;
        }
        Ok(self.ahead.drain(..count).collect())
    }

    fn read_line(&mut self) -> std::io::Result<String> {
        loop {
            if let Some(at) = self.ahead.windows(2).position(|two| two == b"\r\n") {
                let line: Vec<u8> = self.ahead.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            self.fill()?;
        }
    }

    /// Reads a body by its length or its chunks; what has arrived goes into `body`, also if it ends early.
    pub fn read_body(&mut self, head: &Head, body: &mut Vec<u8>) -> std::io::Result<()> {
        if head.field("transfer-encoding").is_some() {
            loop {
                let line = self.read_line()?;
                let size = usize::from_str_radix(line.trim(), 16).map_err(|_| ErrorKind::InvalidData)?;
                body.extend(self.read_bytes(size)?);
                self.read_bytes(2)?;
                if size == 0 {
                    return Ok(());
                }
            }
        }
        let length: usize = head.field("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        body.extend(self.read_bytes(length)?);
        Ok(())
    }
}

/// What a client has seen of one request.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// 0 if no head arrived.
    pub status: u16,
    pub sealed: bool,
    pub closes: bool,
    pub body: Vec<u8>,
    /// Whether the whole answer arrived.
    pub is_whole: bool,
    /// Why it did not.
    pub error: String,
    pub took: Duration,
}

/// Sends one request on an open channel and reads its answer.
pub fn exchange(channel: &mut Channel, request: &[u8], within: Duration) -> Seen {
    let started = Instant::now();
    let mut seen = Seen::default();
    let mut run = || -> std::io::Result<()> {
        channel.stream.set_read_timeout(Some(within))?;
        channel.stream.set_write_timeout(Some(within))?;
        // A server may answer and close before it has read a long body.
        let written = channel.write(request);
        let head = match (channel.read_head(), written) {
            (Ok(head), _) => head,
            (Err(_), Err(error)) | (Err(error), Ok(())) => return Err(error),
        };
        seen.status = head.status();
        seen.sealed = head.field("response-seal").is_some();
        seen.closes = head.field("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        channel.read_body(&head, &mut seen.body)?;
        seen.is_whole = true;
        Ok(())
    };
    if let Err(error) = run() {
        seen.error = format!("{:?}", error.kind());
    }
    seen.took = started.elapsed();
    seen
}

/// Builds a request.
pub fn request(method: &str, path: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
