//! A stream that records what is read from it.

use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use smol::io::{AsyncRead, AsyncWrite};

use crate::gate::Connection;

/// The stream of a connection. A read fails when the connection has to be closed.
#[derive(Clone, Debug)]
pub struct Metered<S> {
    stream: S,
    /// In a box, as it cannot be moved while it is polled.
    connection: Box<Connection>,
    /// Memory that a byte may take.
    weight: usize,
}

impl<S> Metered<S> {
    /// Records what is read from `stream`.
    pub fn new(stream: S, connection: Connection) -> Self {
        Metered {
            stream,
            connection: Box::new(connection),
            weight: 1,
        }
    }

    /// Records each byte as `weight` bytes, for a protocol in which a few bytes take more memory.
    pub fn with_weight(mut self, weight: usize) -> Self {
        self.weight = weight;
        self
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Metered<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        if self.connection.has_to_wait() {
            // The tasks of connections that give way are awake, and run before this one does again.
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let count = ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let recorded = self.connection.read(count * self.weight);
        Poll::Ready(match recorded {
            Ok(()) => Ok(count),
            Err(_) => Err(Error::new(ErrorKind::OutOfMemory, "clients hold too much")),
        })
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Metered<S> {
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
