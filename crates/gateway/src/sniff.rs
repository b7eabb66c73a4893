//! Heads of requests as they come off the wire.
//!
//! A head with both a length and chunked framing can be read in two ways, and what one reader takes
//! for the body another takes for the next request. The HTTP library resolves it silently, so the
//! bytes are looked at before.

use std::io::Result;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use smol::io::{AsyncRead, AsyncWrite};

/// Most bytes of a head that are kept; a longer one is refused by the library.
const HEAD_MAX_BYTES: usize = 64 << 10;

/// What was head_state of the request that is being read.
#[derive(Debug, Default)]
pub struct HeadState {
    ambiguous: AtomicBool,
    rearm: AtomicBool,
}

impl HeadState {
    /// Whether the head of the current request has two framings.
    pub fn is_ambiguous(&self) -> bool {
        self.ambiguous.load(Ordering::Acquire)
    }

    /// Expects the next head: the current request has been read whole.
    pub fn expect_next_head(&self) {
        self.rearm.store(true, Ordering::Release);
    }
}

/// A stream whose request heads are looked at.
#[derive(Debug)]
pub struct Sniffer<S> {
    stream: S,
    head_state: Arc<HeadState>,
    head: Option<Vec<u8>>,
}

impl<S> Sniffer<S> {
    /// Looks at the heads read from `stream`, beginning with the first byte.
    pub fn new(stream: S) -> Self {
        Sniffer {
            stream,
            head_state: Arc::default(),
            head: Some(Vec::new()),
        }
    }

    /// What is head_state.
    pub fn head_state(&self) -> Arc<HeadState> {
        self.head_state.clone()
    }

    fn look(&mut self, bytes: &[u8]) {
        if self.head_state.rearm.swap(false, Ordering::AcqRel) {
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

/// Whether a head has both a length and a transfer coding.
fn is_ambiguous(head: &[u8]) -> bool {
    let names = head
        .split(|byte| *byte == b'\n')
        .skip(1)
        .filter_map(|line| {
            let end = line.iter().position(|byte| *byte == b':')?;
            Some(line[..end].trim_ascii())
        });
    let (mut length, mut coding) = (false, false);
    for name in names {
        length |= name.eq_ignore_ascii_case(b"content-length");
        coding |= name.eq_ignore_ascii_case(b"transfer-encoding");
    }
    length && coding
}

impl<S: AsyncRead + Unpin> AsyncRead for Sniffer<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        let read = ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.look(&buffer[..read]);
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
