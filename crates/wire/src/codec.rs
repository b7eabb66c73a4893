//! Encoding of a frame: version (1 byte), payload length (4 bytes, big-endian), bincode payload.

use bytes::{Buf, BufMut, Bytes, BytesMut};

use crate::error::{Error, Result};
use crate::frame::Frame;

/// Largest payload of a frame in bytes.
pub const FRAME_MAX_BYTES: usize = 8 << 20;

const VERSION: u8 = 1;
const HEADER_BYTES: usize = 5;

fn config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<FRAME_MAX_BYTES>()
}

/// Encodes one frame.
///
/// # Errors
/// [`Error::TooLarge`] if its payload exceeds [`FRAME_MAX_BYTES`].
pub fn encode(frame: &Frame) -> Result<Bytes> {
    let payload = bincode::serde::encode_to_vec(frame, config()).map_err(Error::Encode)?;
    if payload.len() > FRAME_MAX_BYTES {
        return Err(Error::TooLarge(payload.len()));
    }
    let mut bytes = BytesMut::with_capacity(HEADER_BYTES + payload.len());
    bytes.put_u8(VERSION);
    bytes.put_u32(payload.len() as u32);
    bytes.put_slice(&payload);
    Ok(bytes.freeze())
}

/// Splits a stream of bytes into frames.
///
/// Once [`next_frame`](Self::next_frame) has returned `None`, less than one frame of the maximum
/// length is buffered; after an error nothing is.
#[derive(Debug)]
pub struct Decoder {
    buffer: BytesMut,
    payload_max_bytes: usize,
}

impl Decoder {
    /// Creates a decoder that rejects payloads longer than `payload_max_bytes` or
    /// [`FRAME_MAX_BYTES`].
    pub fn new(payload_max_bytes: usize) -> Self {
        Decoder {
            buffer: BytesMut::new(),
            payload_max_bytes: payload_max_bytes.min(FRAME_MAX_BYTES),
        }
    }

    /// Appends received bytes.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the number of buffered bytes.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the next frame if all its bytes have been received.
    ///
    /// # Errors
    /// A wrong version, a length over the limit or a malformed payload; the stream must be closed.
    pub fn next_frame(&mut self) -> Result<Option<Frame>> {
        let decoded = self.decode();
        if decoded.is_err() {
            self.buffer = BytesMut::new();
        }
        decoded
    }

    fn decode(&mut self) -> Result<Option<Frame>> {
        if self.buffer.len() < HEADER_BYTES {
            return Ok(None);
        }
        let version = self.buffer[0];
        if version != VERSION {
            return Err(Error::Version(version));
        }
        let length = (&self.buffer[1..HEADER_BYTES]).get_u32() as usize;
        if length > self.payload_max_bytes {
            return Err(Error::TooLarge(length));
        }
        if self.buffer.len() < HEADER_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(HEADER_BYTES);
        let payload = self.buffer.split_to(length);
        let (frame, _) =
            bincode::serde::decode_from_slice(&payload, config()).map_err(Error::Decode)?;
        Ok(Some(frame))
    }
}

impl Default for Decoder {
    fn default() -> Self {
        Decoder::new(FRAME_MAX_BYTES)
    }
}
