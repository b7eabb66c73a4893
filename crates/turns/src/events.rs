//! Splits a stream of bytes into server-sent events.

use bytes::{Bytes, BytesMut};

/// Maximum size of one event; an endpoint that exceeds it does not send an event stream.
const EVENT_MAX_BYTES: usize = 1 << 20;
/// Maximum size of the collected data of all events.
const DATA_MAX_BYTES: usize = 1 << 20;

/// Complete events, unchanged from how they were received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventBatch {
    /// Bytes of the events, with the empty line after each; may be empty.
    pub bytes: Bytes,
    /// Number of events in `bytes` that have data.
    pub event_count: u64,
}

/// Splits a stream into complete events, counts them and optionally collects their data.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    scanned: usize,
    data: Option<Vec<u8>>,
    event_count: u64,
}

impl EventSplitter {
    /// Creates a splitter that counts events and collects no data.
    pub fn new() -> Self {
        EventSplitter::default()
    }

    /// Collects the data of all events as well.
    pub fn with_data(mut self) -> Self {
        self.data = Some(Vec::new());
        self
    }

    /// Adds bytes and returns the events that they complete; `None` if an event, or the collected data
    /// of all events, is too long.
    pub fn push(&mut self, bytes: &[u8]) -> Option<EventBatch> {
        self.partial.extend_from_slice(bytes);
        let mut end = 0;
        let mut event_count = 0;
        while let Some(next) = self.boundary(end) {
            event_count += u64::from(self.collect_data(end, next));
            end = next;
        }
        let data_bytes = self.data.as_ref().map_or(0, Vec::len);
        if self.partial.len() - end > EVENT_MAX_BYTES || data_bytes > DATA_MAX_BYTES {
            return None;
        }
        self.event_count += event_count;
        let bytes = self.partial.split_to(end).freeze();
        self.scanned = self.partial.len().saturating_sub(1);
        Some(EventBatch { bytes, event_count })
    }

    /// Whether the bytes received so far end within an event.
    pub fn has_partial_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Returns the size of the memory that the splitter has allocated, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.partial.capacity() + self.data.as_ref().map_or(0, Vec::capacity)
    }

    /// Returns the number of events with data so far.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Returns the collected data of all events, each followed by a line feed.
    pub fn into_data(self) -> Bytes {
        self.data.unwrap_or_default().into()
    }

    /// Returns where the event that begins at `start` ends, which is after its empty line.
    fn boundary(&self, start: usize) -> Option<usize> {
        let mut at = start.max(self.scanned.min(self.partial.len()));
        // Looks back, as the empty line may be split over two pushes, but not before `start`: the
        // event may consist of line feeds only.
        at = at.saturating_sub(3).max(start);
        let bytes = &self.partial[..];
        while at < bytes.len() {
            let remaining = &bytes[at..];
            if remaining.starts_with(b"\n\n") {
                return Some(at + 2);
            }
            if remaining.starts_with(b"\n\r\n") {
                return Some(at + 3);
            }
            at += 1;
        }
        None
    }

    /// Collects the data of one event and returns whether the event has any.
    fn collect_data(&mut self, start: usize, end: usize) -> bool {
        let mut has_data = false;
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
            has_data = true;
        }
        has_data
    }
}
