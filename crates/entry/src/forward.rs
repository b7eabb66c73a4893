//! Requests for programs that another entry owns.

use std::rc::Rc;

use wire::{Body, Error, Forward, Frame, Head, Link, Stream};

use crate::api::{self, Request};
use crate::refusal::{Refusal, Result};
use crate::reply::{Lines, Reply};
use crate::traffic::Traffic;

/// Passes a request on to the entry behind `link` and its answer back.
pub(crate) async fn send(traffic: &Rc<Traffic>, link: &Link, request: &Request) -> Result<Reply> {
    let forward = Frame::Forward(request.forward());
    let mut stream = link
        .open(&forward)
        .await
        .map_err(|_| Refusal::Unavailable)?;
    stream.finish().map_err(|_| Refusal::Unavailable)?;
    // From here on the request may have reached the owner; the caller learns more by a repeat.
    let head = stream.expect().await.map_err(|_| Refusal::Indeterminate)?;
    let Frame::Head(Head { status }) = head else {
        return Err(Refusal::Indeterminate);
    };
    let (lines, reply) = Lines::new();
    traffic.executor.spawn(copy(stream, lines)).detach();
    let Reply::Lines(_, receiver) = reply else {
        return Err(Refusal::Indeterminate);
    };
    Ok(Reply::Lines(status, receiver))
}

async fn copy(mut stream: Stream, lines: Lines) {
    loop {
        match stream.recv().await {
            Ok(Some(Frame::Body(body))) => {
                if !lines.send_bytes(body.bytes).await {
                    return;
                }
            }
            Ok(None) => return,
            Ok(Some(_)) | Err(_) => {
                // The caller must not take a broken answer for a whole one.
                lines.send(&Refusal::Indeterminate.json()).await;
                return;
            }
        }
    }
}

/// Serves a request that another entry passed on.
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
        Ok(Reply::Whole(status, value)) => {
            stream.send(&Frame::Head(Head { status })).await?;
            let bytes = value.to_string().into_bytes();
            stream.send(&Frame::Body(Body { bytes })).await?;
        }
        Ok(Reply::Lines(status, lines)) => {
            stream.send(&Frame::Head(Head { status })).await?;
            while let Ok(bytes) = lines.recv().await {
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
