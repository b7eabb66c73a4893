//! Bodies that arrive.

use bytes::Bytes;

use crate::payload::Payload;

/// Length of a segment.
const SEGMENT_BYTES: usize = 16 << 10;

/// A body that arrives, in segments of fixed length: one buffer that grows would leave holes of all
/// smaller lengths in the process's memory, as many bodies arrive at once.
#[derive(Debug, Default)]
pub struct Segments {
    segments: Vec<Vec<u8>>,
    len: usize,
}

impl Segments {
    /// Returns an empty body.
    pub fn new() -> Self {
        Segments::default()
    }

    /// Adds bytes at the end. `expected` is how many bytes follow, these included, as far as is known.
    pub fn push(&mut self, mut bytes: &[u8], expected: usize) {
        let mut expected = expected.max(bytes.len());
        self.len += bytes.len();
        while !bytes.is_empty() {
            let room = |segment: &Vec<u8>| segment.capacity() - segment.len();
            if self
                .segments
                .last()
                .is_none_or(|segment| room(segment) == 0)
            {
                let capacity = expected.min(SEGMENT_BYTES);
                self.segments.push(Vec::with_capacity(capacity));
            }
            if let Some(segment) = self.segments.last_mut() {
                let (now, later) = bytes.split_at(room(segment).min(bytes.len()));
                segment.extend_from_slice(now);
                bytes = later;
                expected -= now.len();
            }
        }
    }

    /// Returns the length of the body so far.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing has arrived.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the most memory that the body holds after `bytes` more.
    pub fn capacity_after(&self, bytes: usize) -> usize {
        (self.len + bytes).next_multiple_of(SEGMENT_BYTES)
    }

    /// Returns the body as it arrived.
    pub fn into_payload(mut self) -> Payload {
        if let Some(last) = self.segments.last_mut() {
            last.shrink_to_fit();
        }
        self.segments.into_iter().map(Bytes::from).collect()
    }

    /// Returns the body in one piece.
    pub fn into_bytes(mut self) -> Bytes {
        if self.segments.len() > 1 {
            return self.segments.concat().into();
        }
        let mut only = self.segments.pop().unwrap_or_default();
        only.shrink_to_fit();
        only.into()
    }
}
