//! Server-sent events cut out of a stream of bytes.

use bytes::{Bytes, BytesMut};

/// Most bytes of one event; an endpoint that sends more is not sending events.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// Whole events, as they came.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventBatch {
    /// Their bytes.
    pub bytes: Bytes,
    /// How many events with data they are.
    pub event_count: u64,
}

/// Cuts a stream into whole events and keeps their data.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    scanned: usize,
    data: Option<Vec<u8>>,
    event_count: u64,
}

impl EventSplitter {
    /// Counts events only.
    pub fn new() -> Self {
        EventSplitter::default()
    }

    /// Keeps the data of all events as well.
    pub fn with_data(mut self) -> Self {
        self.data = Some(Vec::new());
        self
    }

    /// Takes in bytes and returns the events that are whole now; `None` if this is no event stream.
    pub fn push(&mut self, bytes: &[u8]) -> Option<EventBatch> {
        self.partial.extend_from_slice(bytes);
        let mut end = 0;
        let mut event_count = 0;
        while let Some(next) = self.boundary(end) {
            event_count += u64::from(self.take_data(end, next));
            end = next;
        }
        if self.partial.len() - end > EVENT_MAX_BYTES {
            return None;
        }
        self.event_count += event_count;
        let bytes = self.partial.split_to(end).freeze();
        self.scanned = self.partial.len().saturating_sub(1);
        Some(EventBatch { bytes, event_count })
    }

    /// Whether the stream stopped within an event.
    pub fn has_partial_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Number of events with data that were read so far.
    pub fn event_count(&self) -> u64 {
        self.event_count
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
