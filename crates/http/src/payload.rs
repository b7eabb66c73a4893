//! Bodies in pieces.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// Longest frame. The HTTP library copies a frame into the buffer of its connection, which it fills up
/// to a limit before it writes, so that this bounds what a connection holds beside the body.
const FRAME_MAX_BYTES: usize = 8 << 10;

/// A complete body in memory, in pieces that others may share. A piece is released as soon as it has
/// been passed on.
#[derive(Clone, Debug, Default)]
pub struct Payload {
    pieces: VecDeque<Bytes>,
    remaining: u64,
}

impl Payload {
    /// Adds a piece at the end.
    pub fn with_piece(mut self, piece: Bytes) -> Self {
        self.remaining += piece.len() as u64;
        if !piece.is_empty() {
            self.pieces.push_back(piece);
        }
        self
    }

    /// Returns the number of bytes that are left.
    pub fn len(&self) -> u64 {
        self.remaining
    }

    /// Whether nothing is left.
    pub fn is_empty(&self) -> bool {
        self.remaining == 0
    }
}

impl From<Bytes> for Payload {
    fn from(bytes: Bytes) -> Self {
        Payload::default().with_piece(bytes)
    }
}

impl FromIterator<Bytes> for Payload {
    fn from_iter<I: IntoIterator<Item = Bytes>>(pieces: I) -> Self {
        let pieces = pieces.into_iter();
        pieces.fold(Payload::default(), Payload::with_piece)
    }
}

impl IntoIterator for Payload {
    type Item = Bytes;
    type IntoIter = std::collections::vec_deque::IntoIter<Bytes>;

    fn into_iter(self) -> Self::IntoIter {
        self.pieces.into_iter()
    }
}

impl Body for Payload {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let Some(first) = self.pieces.front_mut() else {
            return Poll::Ready(None);
        };
        let frame = first.split_to(first.len().min(FRAME_MAX_BYTES));
        if first.is_empty() {
            self.pieces.pop_front();
        }
        self.remaining -= frame.len() as u64;
        Poll::Ready(Some(Ok(Frame::data(frame))))
    }

    fn is_end_stream(&self) -> bool {
        self.pieces.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining)
    }
}
