//! The reply to a caller's request, sent over HTTP or through a forwarding entry.

use async_channel::{Receiver, Sender};
use http_types::Response;
use serde_json::Value;

use crate::refusal::{Refusal, Result};

const BUFFERED_LINES_MAX: usize = 4;

/// A status and a body.
pub(crate) enum Reply {
    /// A complete JSON value.
    Json(u16, Value),
    /// A stream of JSON lines; the status is sent before the first line.
    Lines(u16, Receiver<Vec<u8>>),
}

impl Reply {
    /// The HTTP status.
    pub(crate) fn status(&self) -> u16 {
        match self {
            Reply::Json(status, _) | Reply::Lines(status, _) => *status,
        }
    }
}

/// Writes the lines of a streamed reply.
#[derive(Clone)]
pub(crate) struct Lines(Sender<Vec<u8>>);

impl Lines {
    /// A writer and the reply that streams its lines.
    pub(crate) fn new() -> (Self, Reply) {
        let (sender, receiver) = async_channel::bounded(BUFFERED_LINES_MAX);
        (Lines(sender), Reply::Lines(200, receiver))
    }

    /// Writes one line; returns false if the caller has disconnected.
    pub(crate) async fn send(&self, line: &Value) -> bool {
        self.send_bytes(format!("{line}\n").into_bytes()).await
    }

    /// Writes bytes that are complete lines; returns false if the caller has disconnected.
    pub(crate) async fn send_bytes(&self, bytes: Vec<u8>) -> bool {
        self.0.send(bytes).await.is_ok()
    }
}

/// Builds the HTTP response for a result.
pub(crate) fn respond(executor: &smol::LocalExecutor<'static>, result: Result<Reply>) -> Response {
    match result {
        Ok(Reply::Json(status, value)) => {
            let mut response = Response::new(status);
            response.set_body(value.to_string());
            response.insert_header("content-type", "application/json");
            response
        }
        Ok(Reply::Lines(status, lines)) => {
            let (body_sender, body) = http_io::streamed_body();
            let copy = async move {
                while let Ok(line) = lines.recv().await {
                    if !body_sender.send(line).await {
                        return;
                    }
                }
            };
            executor.spawn(copy).detach();
            let mut response = Response::new(status);
            response.set_body(body);
            response.insert_header("content-type", "application/x-ndjson");
            response
        }
        Err(refusal) => Refusal::response(&refusal),
    }
}
