//! Server-sent events cut out of a stream of bytes.

use bytes::{Bytes, BytesMut};

/// Most bytes of one event; an endpoint that sends more is not sending events.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// Whole events, as they came.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Piece {
    /// Their bytes.
    pub bytes: Bytes,
    /// How many events with data they are.
    pub count: u64,
}

/// Cuts a stream into whole events and keeps their data.
#[derive(Debug, Default)]
pub struct Events {
    partial: BytesMut,
    scanned: usize,
    data: Option<Vec<u8>>,
    total: u64,
}

impl Events {
    /// Counts events only.
    pub fn new() -> Self {
        Events::default()
    }

    /// Keeps the data of all events as well.
    pub fn with_data(mut self) -> Self {
        self.data = Some(Vec::new());
        self
    }

    /// Takes in bytes and returns the events that are whole now; `None` if this is no event stream.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Piece> {
        self.partial.extend_from_slice(bytes);
        let mut end = 0;
        let mut count = 0;
        while let Some(next) = self.boundary(end) {
            count += u64::from(self.take_data(end, next));
            end = next;
        }
        if self.partial.len() - end > EVENT_MAX_BYTES {
            return None;
        }
        self.total += count;
        let bytes = self.partial.split_to(end).freeze();
        self.scanned = self.partial.len().saturating_sub(1);
        Some(Piece { bytes, count })
    }

    /// Whether the stream stopped within an event.
    pub fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Events with data so far.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// The data of all events, each followed by a line feed.
    pub fn into_data(self) -> Bytes {
        self.data.unwrap_or_default().into()
    }

    /// The end of the event that begins at `start`: after its empty line.
    fn boundary(&self, start: usize) -> Option<usize> {
        let mut at = start.max(self.scanned.min(self.partial.len()));
        // An event of a line feed only is possible after the last boundary.
        at = at.saturating_sub(3).max(start);
        let bytes = &self.partial[..];
        while at < bytes.len() {
            let rest = &bytes[at..];
            if rest.starts_with(b"\n\n") {
                return Some(at + 2);
            }
            if rest.starts_with(b"\n\r\n") {
                return Some(at + 3);
            }
            at += 1;
        }
        None
    }

    /// Keeps the data of one event; whether it has any.
    fn take_data(&mut self, start: usize, end: usize) -> bool {
        let mut any = false;
        for line in self.partial[start..end].split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let Some(value) = line.strip_prefix(b"data:") else {
                continue;
            };
            let value = value.strip_prefix(b" ").unwrap_or(value);
            if let Some(data) = &mut self.data {
                data.extend_from_slice(value);
                data.push(b'\n');
            }
            any = true;
        }
        any
    }
}
