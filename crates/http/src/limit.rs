//! Limits for what a peer may send.
//!
//! `async-h1` and `async-sse` read a line to its end, and an event to its last line, before they look at
//! its length. These readers end before such a line or event exceeds the memory meant for it.

use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use smol::io::{AsyncRead, AsyncWrite};

/// Limit for the bytes that are read until the head of a message is complete. The heads that `async-h1`
/// takes have half of it; the rest is what it reads ahead.
pub(crate) const HEAD_MAX_BYTES: u64 = 16 << 10;

/// Limit for what is read and discarded of a body after its response.
const REST_MAX_BYTES: u64 = 1 << 20;

/// A connection that fails when more bytes are read than its limit. Clones share the limit.
#[derive(Clone, Debug)]
pub(crate) struct Limited<S> {
    stream: S,
    left: Arc<AtomicU64>,
}

impl<S> Limited<S> {
    /// Limits `stream` to the head of a message.
    pub(crate) fn new(stream: S) -> Self {
        Limited {
            stream,
            left: Arc::new(AtomicU64::new(HEAD_MAX_BYTES)),
        }
    }

    /// Limits the bytes that are read from now on to the head of a message.
    pub(crate) fn begin_head(&self) {
        self.left.store(HEAD_MAX_BYTES, Ordering::Release);
    }

    /// Limits the bytes that are read from now on to what is discarded of a body without a reader.
    pub(crate) fn begin_rest(&self) {
        self.left.store(REST_MAX_BYTES, Ordering::Release);
    }

    /// Lifts the limit, for a body whose reader has a limit of its own.
    pub(crate) fn begin_body(&self) {
        self.left.store(u64::MAX, Ordering::Release);
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Limited<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        let left = self.left.load(Ordering::Acquire);
        if left == 0 {
            let error = Error::new(ErrorKind::InvalidData, "head is too long");
            return Poll::Ready(Err(error));
        }
        let most = usize::try_from(left).map_or(buffer.len(), |left| left.min(buffer.len()));
        let count = ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer[..most]))?;
        if left != u64::MAX {
            self.left.fetch_sub(count as u64, Ordering::AcqRel);
        }
        Poll::Ready(Ok(count))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Limited<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}

/// A stream of server-sent events that ends when an event is longer than its limit. It ends rather than
/// fails, as `async-sse` asserts that a read does not fail within a line.
#[derive(Debug)]
pub struct Events<R> {
    reader: R,
    limit: usize,
    /// Bytes since the last empty line.
    event_bytes: usize,
    is_line_empty: bool,
}

impl<R> Events<R> {
    /// Limits each event of `reader` to `limit` bytes, to the precision of one read.
    pub fn new(reader: R, limit: usize) -> Self {
        Events {
            reader,
            limit,
            event_bytes: 0,
            is_line_empty: true,
        }
    }

    /// Counts bytes that were read; returns whether the event is within its limit.
    fn count(&mut self, bytes: &[u8]) -> bool {
        for byte in bytes {
            self.event_bytes += 1;
            match byte {
                b'\n' if std::mem::replace(&mut self.is_line_empty, true) => self.event_bytes = 0,
                b'\n' | b'\r' => {}
                _ => self.is_line_empty = false,
            }
        }
        self.event_bytes <= self.limit
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for Events<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        let count = ready!(Pin::new(&mut self.reader).poll_read(context, buffer))?;
        let is_allowed = self.count(&buffer[..count]);
        Poll::Ready(Ok(if is_allowed { count } else { 0 }))
    }
}
