//! Streamed bodies and bodies that own a token.

use std::io::Result;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use async_channel::{Receiver, Sender};
use futures_util::stream::TryStreamExt;
use http_types::Body;
use smol::io::{AsyncBufRead, AsyncRead};

const BUFFERED_CHUNKS_MAX: usize = 4;

/// The sending end of a streamed body. The body ends when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct BodySender(Sender<Result<Vec<u8>>>);

impl BodySender {
    /// Appends `bytes` to the body. Returns false if the body has been dropped.
    pub async fn send(&self, bytes: Vec<u8>) -> bool {
        self.0.send(Ok(bytes)).await.is_ok()
    }
}

/// Creates a body of unknown length, with its sending end.
pub fn streamed_body() -> (BodySender, Body) {
    let (sender, receiver): (_, Receiver<Result<Vec<u8>>>) =
        async_channel::bounded(BUFFERED_CHUNKS_MAX);
    let reader = Box::pin(receiver).into_async_read();
    (BodySender(sender), Body::from_reader(reader, None))
}

/// A body that owns a token until it has been sent or dropped.
struct TokenBody {
    body: Body,
    _token: Arc<()>,
}

impl AsyncRead for TokenBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.body).poll_read(context, buffer)
    }
}

impl AsyncBufRead for TokenBody {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<&[u8]>> {
        Pin::new(&mut self.get_mut().body).poll_fill_buf(context)
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        Pin::new(&mut self.body).consume(amount);
    }
}

/// Wraps `body` so that `token` is dropped once the body has been sent or dropped.
pub fn attach_token(body: Body, token: Arc<()>) -> Body {
    let length = body.len();
    let token_body = TokenBody {
        body,
        _token: token,
    };
    Body::from_reader(token_body, length)
}
