//! Streamed bodies.

use std::io::Result;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use async_channel::{Receiver, Sender};
use futures_util::stream::TryStreamExt;
use http_types::Body;
use smol::io::{AsyncBufRead, AsyncRead};

const CHUNKS_MAX: usize = 64;

/// The writing end of a streamed body; the body ends when it is dropped.
#[derive(Clone, Debug)]
pub struct BodySender(Sender<Result<Vec<u8>>>);

impl BodySender {
    /// Appends `bytes`; false if the reader has gone away.
    pub async fn send(&self, bytes: Vec<u8>) -> bool {
        self.0.send(Ok(bytes)).await.is_ok()
    }
}

/// A body of unknown length and the end that writes it.
pub fn streamed_body() -> (BodySender, Body) {
    let (sender, receiver): (_, Receiver<Result<Vec<u8>>>) = async_channel::bounded(CHUNKS_MAX);
    let reader = Box::pin(receiver).into_async_read();
    (BodySender(sender), Body::from_reader(reader, None))
}

/// A body that holds a token until it has been sent or given up.
struct Held {
    body: Body,
    _token: Arc<()>,
}

impl AsyncRead for Held {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.body).poll_read(context, buffer)
    }
}

impl AsyncBufRead for Held {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<&[u8]>> {
        Pin::new(&mut self.get_mut().body).poll_fill_buf(context)
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        Pin::new(&mut self.body).consume(amount);
    }
}

/// The same body, which holds `token` until it has been sent or given up.
pub fn attach_token(body: Body, token: Arc<()>) -> Body {
    let length = body.len();
    let held = Held {
        body,
        _token: token,
    };
    Body::from_reader(held, length)
}
