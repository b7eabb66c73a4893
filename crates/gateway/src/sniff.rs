//! Inspection of request heads before the HTTP library parses them.
//!
//! A head with both a content length and a transfer coding is ambiguous: bytes that one reader takes
//! for the body are the next request for another (request smuggling). The HTTP library accepts such
//! a head silently, so the raw bytes are inspected.

use std::io::Result;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use smol::io::{AsyncRead, AsyncWrite};

/// Most bytes of a head that are buffered; the HTTP library refuses a longer head.
const HEAD_MAX_BYTES: usize = 64 << 10;

/// Result of inspecting the head of the current request on a connection.
#[derive(Debug, Default)]
pub struct HeadState {
    ambiguous: AtomicBool,
    expects_head: AtomicBool,
}

impl HeadState {
    /// Whether the head of the current request has both a content length and a transfer coding.
    pub fn is_ambiguous(&self) -> bool {
        self.ambiguous.load(Ordering::Acquire)
    }

    /// Records that the current request has been read to its end, so that a head comes next.
    pub fn expect_next_head(&self) {
        self.expects_head.store(true, Ordering::Release);
    }
}

/// A stream that inspects the request heads read from it.
#[derive(Debug)]
pub struct Sniffer<S> {
    stream: S,
    head_state: Arc<HeadState>,
    /// Bytes of the head that is being read; `None` after its inspection.
    head: Option<Vec<u8>>,
}

impl<S> Sniffer<S> {
    /// Inspects the heads read from `stream`, beginning with the first byte.
    pub fn new(stream: S) -> Self {
        Sniffer {
            stream,
            head_state: Arc::default(),
            head: Some(Vec::new()),
        }
    }

    /// Returns the state that this stream updates.
    pub fn head_state(&self) -> Arc<HeadState> {
        self.head_state.clone()
    }

    fn inspect(&mut self, bytes: &[u8]) {
        if self.head_state.expects_head.swap(false, Ordering::AcqRel) {
            self.head = Some(Vec::new());
        }
        let Some(head) = &mut self.head else {
            return;
        };
        head.extend_from_slice(bytes);
        let end = head.windows(4).position(|four| four == b"\r\n\r\n");
        if end.is_none() && head.len() < HEAD_MAX_BYTES {
            return;
        }
        let head = &head[..end.unwrap_or(head.len())];
        self.head_state
            .ambiguous
            .store(is_ambiguous(head), Ordering::Release);
        self.head = None;
    }
}

/// Whether a head has both a content length and a transfer coding.
fn is_ambiguous(head: &[u8]) -> bool {
    let names = head
        .split(|byte| *byte == b'\n')
        .skip(1)
        .filter_map(|line| {
            let end = line.iter().position(|byte| *byte == b':')?;
            Some(line[..end].trim_ascii())
        });
    let (mut has_length, mut has_coding) = (false, false);
    for name in names {
        has_length |= name.eq_ignore_ascii_case(b"content-length");
        has_coding |= name.eq_ignore_ascii_case(b"transfer-encoding");
    }
    has_length && has_coding
}

impl<S: AsyncRead + Unpin> AsyncRead for Sniffer<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        let read = ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.inspect(&buffer[..read]);
        Poll::Ready(Ok(read))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Sniffer<S> {
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
