//! Requests that count against the limits of their listener until their responses have been sent.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};

use http_types::{Body, Response};
use intake::{Overloaded, Request};
use smol::io::{AsyncBufRead, AsyncRead};
use units::Bytes;

use crate::error::{Error, Result};

/// A request that counts until this is dropped.
#[derive(Debug)]
pub(crate) struct Hold {
    request: Mutex<Request>,
    /// Whether the whole request has been read.
    is_complete: AtomicBool,
}

impl Hold {
    pub(crate) fn new(request: Request) -> Self {
        Hold {
            request: Mutex::new(request),
            is_complete: AtomicBool::new(false),
        }
    }

    /// Whether the whole request has been read.
    pub(crate) fn is_complete(&self) -> bool {
        self.is_complete.load(Ordering::Acquire)
    }

    /// Records that the request is complete, and takes this much memory while it is served.
    ///
    /// # Errors
    /// [`Error::Overloaded`] if there is no room for it.
    pub(crate) fn serve(&self, memory: Bytes) -> Result<()> {
        self.is_complete.store(true, Ordering::Release);
        let served = self.with(|request| request.serve(memory));
        served.map_err(|Overloaded| Error::Overloaded)
    }

    fn with<T>(&self, change: impl FnOnce(&mut Request) -> T) -> T {
        change(&mut self.request.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// A body that keeps its request until it has been sent or dropped.
struct HeldBody {
    body: Body,
    hold: Arc<Hold>,
    /// Whether the whole body is in memory.
    is_complete: bool,
}

impl HeldBody {
    fn record_progress(&self) {
        if self.is_complete {
            self.hold.with(Request::progress);
        }
    }
}

impl AsyncRead for HeldBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.body).poll_read(context, buffer))?;
        self.record_progress();
        Poll::Ready(Ok(count))
    }
}

impl AsyncBufRead for HeldBody {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        Pin::new(&mut self.get_mut().body).poll_fill_buf(context)
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        Pin::new(&mut self.body).consume(amount);
        self.record_progress();
    }
}

/// Keeps a request until its response has been sent. A connection whose client does not read a complete
/// response may have to give way to others.
pub(crate) fn hold_until_sent(mut response: Response, hold: Arc<Hold>) -> Response {
    let body = response.take_body();
    let length = body.len();
    if let Some(length) = length {
        hold.with(|request| request.send(Bytes(length as u64)));
    }
    let held = HeldBody {
        body,
        hold,
        is_complete: length.is_some(),
    };
    response.set_body(Body::from_reader(held, length));
    response
}
