//! Streamed bodies.

use async_channel::{Receiver, Sender};
use futures_util::stream::TryStreamExt;
use http_types::Body;

const CHUNKS_MAX: usize = 64;

/// The writing end of a streamed body; the body ends when it is dropped.
#[derive(Clone, Debug)]
pub struct Chunks(Sender<std::io::Result<Vec<u8>>>);

impl Chunks {
    /// Appends `bytes`; false if the reader has gone away.
    pub async fn send(&self, bytes: Vec<u8>) -> bool {
        self.0.send(Ok(bytes)).await.is_ok()
    }
}

/// A body of unknown length and the end that writes it.
pub fn chunked() -> (Chunks, Body) {
    let (sender, receiver): (_, Receiver<std::io::Result<Vec<u8>>>) =
        async_channel::bounded(CHUNKS_MAX);
    let reader = Box::pin(receiver).into_async_read();
    (Chunks(sender), Body::from_reader(reader, None))
}
