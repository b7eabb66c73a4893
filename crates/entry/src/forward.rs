//! Requests for programs that another entry owns.
//!
//! After a lost connection, a request is sent again, but only to the same incarnation of the owner.
//! That process identifies a call by its number, so a repeated request gets the one answer and
//! never causes a second call.

use std::rc::Rc;

use async_channel::Receiver;
use serde_json::json;
use smol::future::FutureExt;
use units::{Incarnation, Span};
use wire::{Body, Error, Forward, Frame, Head, Link, Stream};

use crate::api::{self, Request};
use crate::refusal::{Refusal, Result};
use crate::reply::{Lines, Reply};
use crate::traffic::Traffic;

const RECOVERY_TIMEOUT: Span = Span::from_ms(3_000);
const RECOVERY_POLL_INTERVAL: Span = Span::from_ms(50);
const STATUS_OK: u16 = 200;

/// A request forwarded to its program's owner.
struct ForwardedRequest {
    request: Frame,
    owner: Incarnation,
    /// Whether the response is a stream of lines, which can be restarted.
    is_stream: bool,
}

/// Forwards a request to the entry behind `link` and returns its response.
pub(crate) async fn send(traffic: &Rc<Traffic>, link: &Link, request: &Request) -> Result<Reply> {
    let forwarded = ForwardedRequest {
        request: Frame::Forward(request.forward()),
        owner: link.peer().incarnation,
        is_stream: request.path == "calls",
    };
    let mut stream = link
        .open(&forwarded.request)
        .await
        .map_err(|_| Refusal::Unavailable)?;
    // From here on the owner may have received the request.
    let status = match read_head(&mut stream).await {
        Ok(status) => status,
        Err(_) => {
            let (new_stream, status) = resend(traffic, &forwarded).await?;
            stream = new_stream;
            status
        }
    };
    let (lines, reply) = Lines::new();
    let copy = copy_response(traffic.clone(), forwarded, stream, status, lines);
    traffic.executor.spawn(copy).detach();
    let Reply::Lines(_, receiver) = reply else {
        return Err(Refusal::Indeterminate);
    };
    Ok(Reply::Lines(status, receiver))
}

async fn read_head(stream: &mut Stream) -> std::result::Result<u16, Error> {
    stream.finish()?;
    match stream.expect().await? {
        Frame::Head(Head { status }) => Ok(status),
        other => Err(Error::Unexpected(other.kind())),
    }
}

/// Sends a request again, on the connection that replaced the lost one.
async fn resend(traffic: &Traffic, forwarded: &ForwardedRequest) -> Result<(Stream, u16)> {
    let start = traffic.shared.clock.now();
    while traffic.shared.clock.now().since(start) < RECOVERY_TIMEOUT
        && !traffic.is_known_sealed(forwarded.owner)
    {
        let view = traffic.shared.view.load_full();
        let mut entries = view.entries.iter();
        let owner = entries.find(|peer| peer.incarnation == forwarded.owner);
        if let Some(link) = owner.and_then(|peer| traffic.link_to_host(&peer.host))
            && link.peer().incarnation == forwarded.owner
            && let Ok(mut stream) = link.open(&forwarded.request).await
            && let Ok(status) = read_head(&mut stream).await
        {
            traffic.shared.metrics.count("forward-repeated");
            return Ok((stream, status));
        }
        smol::Timer::after(RECOVERY_POLL_INTERVAL.into()).await;
    }
    Err(Refusal::Indeterminate)
}

/// Copies the response to the caller; sends the request again when the connection is lost.
async fn copy_response(
    traffic: Rc<Traffic>,
    mut forwarded: ForwardedRequest,
    mut stream: Stream,
    mut status: u16,
    lines: Lines,
) {
    let mut is_started = false;
    loop {
        match stream.recv().await {
            Ok(Some(Frame::Body(body))) => {
                is_started = true;
                if !lines.send_bytes(body.bytes).await {
                    return;
                }
            }
            Ok(None) => return,
            // A JSON value is a single frame, so only the end of the stream is missing.
            Ok(Some(_)) | Err(_) if is_started && !(forwarded.is_stream && status == STATUS_OK) => {
                return;
            }
            Ok(Some(_)) | Err(_) => {
                if is_started {
                    forwarded.reset_offset();
                }
                match resend(&traffic, &forwarded).await {
                    Ok(resent) => (stream, status) = resent,
                    Err(refusal) => {
                        // Otherwise the caller would take a truncated answer for a complete one.
                        lines.send(&refusal.json()).await;
                        return;
                    }
                }
                if is_started && !lines.send(&json!({"type": "restart"})).await {
                    return;
                }
            }
        }
    }
}

impl ForwardedRequest {
    /// Changes the request so that the answer is sent from its first byte on.
    fn reset_offset(&mut self) {
        if let Frame::Forward(forward) = &mut self.request {
            forward.offset = 0;
        }
    }
}

/// Serves a request that another entry forwarded.
pub(crate) async fn receive(
    traffic: &Rc<Traffic>,
    forward: Forward,
    stream: &mut Stream,
) -> std::result::Result<(), Error> {
    let result = match Request::from_forward(forward) {
        Ok(request) => api::serve(traffic, &request).await,
        Err(refusal) => Err(refusal),
    };
    match result {
        Ok(Reply::Json(status, value)) => {
            stream.send(&Frame::Head(Head { status })).await?;
            let bytes = value.to_string().into_bytes();
            stream.send(&Frame::Body(Body { bytes })).await?;
        }
        Ok(Reply::Lines(status, lines)) => {
            stream.send(&Frame::Head(Head { status })).await?;
            while let Some(bytes) = next_line(&lines, stream).await {
                stream.send(&Frame::Body(Body { bytes })).await?;
            }
        }
        Err(refusal) => {
            stream
                .send(&Frame::Head(Head {
                    status: refusal.status(),
                }))
                .await?;
            let bytes = refusal.json().to_string().into_bytes();
            stream.send(&Frame::Body(Body { bytes })).await?;
        }
    }
    stream.finish()
}

/// The next line; `None` if the stream closes first, so that the wait does not keep it open.
async fn next_line(lines: &Receiver<Vec<u8>>, stream: &mut Stream) -> Option<Vec<u8>> {
    let line = async { lines.recv().await.ok() };
    let gone = async {
        stream.closed().await;
        None
    };
    line.or(gone).await
}
