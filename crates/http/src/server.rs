//! HTTP server loop and reading of request bodies.

use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;

use http_types::headers::CONNECTION;
use http_types::{Body, Request, Response};
use intake::{Connection, Listener, Metered};
use smol::LocalExecutor;
use smol::future::FutureExt;
use smol::io::AsyncReadExt;
use smol::net::TcpStream;
use units::Bytes;

use crate::error::{Error, Result};
use crate::hold::{Hold, hold_until_sent};
use crate::limit::Limited;
use crate::segments::Segments;

/// What is read of a body at a time.
const PIECE_BYTES: usize = 8 << 10;

/// Serves HTTP on `listener`. Each connection runs as a task on `executor`; each request is one
/// call of `handler`. Never returns.
///
/// A connection and its request count against the limits of `listener`. A connection whose request is
/// not complete may have to give way to others; one whose request is served may not.
pub async fn serve<H, F>(executor: Rc<LocalExecutor<'static>>, listener: Listener, handler: H)
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response> + 'static,
{
    loop {
        let (stream, connection) = listener.accept().await;
        let handler = handler.clone();
        let serve = async move {
            serve_connection(stream, &connection, handler)
                .or(connection.evicted())
                .await;
        };
        executor.spawn(serve).detach();
    }
}

async fn serve_connection<H, F>(stream: TcpStream, connection: &Connection, handler: H)
where
    H: Fn(Request) -> F,
    F: Future<Output = Response>,
{
    let stream = Limited::new(Metered::new(stream, connection.clone()));
    let respond = |mut request: Request| {
        stream.begin_body();
        let hold = Arc::new(Hold::new(connection.request()));
        if request.len() == Some(0) {
            // An error means that the connection has given way and is closed.
            let _ = hold.serve(Bytes(0));
        }
        request.ext_mut().insert(hold.clone());
        let response = handler(request);
        let stream = stream.clone();
        async move {
            let mut response = response.await;
            if hold.is_complete() {
                stream.begin_head();
            } else {
                // A client that sends the rest of its body before it reads gets the response, unless the
                // rest is too long.
                stream.begin_rest();
                response.insert_header(CONNECTION, "close");
            }
            Ok(hold_until_sent(response, hold))
        }
    };
    // A lost connection or malformed HTTP affects only this client.
    let _ = async_h1::accept(stream.clone(), respond).await;
}

/// Reads a request body of at most `limit` bytes.
///
/// # Errors
/// As [`read_copied_body`].
pub async fn read_body(request: &mut Request, limit: u64) -> Result<Vec<u8>> {
    read_copied_body(request, limit, 1).await
}

/// Reads a request body of at most `limit` bytes, whose handling takes `copies` times its length.
///
/// # Errors
/// [`Error::TooLarge`] if the body is longer, [`Error::Overloaded`] if the requests that are being served
/// leave no room for it, [`Error::Exchange`] if reading it fails.
pub async fn read_copied_body(request: &mut Request, limit: u64, copies: u64) -> Result<Vec<u8>> {
    let length = request.len().map(|length| length as u64);
    if length.is_some_and(|length| length > limit) {
        return Err(Error::TooLarge(limit));
    }
    let mut body = request.take_body();
    let mut collected = Segments::new();
    let mut piece = vec![0; PIECE_BYTES];
    loop {
        let read = body.read(&mut piece).await;
        let count = read.map_err(|error| Error::Exchange(error.into()))?;
        if count == 0 {
            break;
        }
        let total = (collected.len() + count) as u64;
        if total > limit {
            return Err(Error::TooLarge(limit));
        }
        let expected = length.unwrap_or(limit) as usize;
        collected.push(&piece[..count], expected.saturating_sub(collected.len()));
    }
    if let Some(hold) = request.ext().get::<Arc<Hold>>() {
        hold.serve(Bytes(collected.len() as u64 * copies))?;
    }
    Ok(collected.into_bytes().into())
}

/// Reads a response body of at most `limit` bytes.
///
/// # Errors
/// [`Error::TooLarge`] if the body is longer, [`Error::Exchange`] if reading it fails.
pub async fn read_response(response: &mut Response, limit: u64) -> Result<Vec<u8>> {
    // A body that announces a longer length is refused before it is read.
    if response.len().is_some_and(|length| length as u64 > limit) {
        return Err(Error::TooLarge(limit));
    }
    read_limited(response.take_body(), limit).await
}

async fn read_limited(body: Body, limit: u64) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let read = body.take(limit + 1).read_to_end(&mut bytes).await;
    read.map_err(|error| Error::Exchange(error.into()))?;
    if bytes.len() as u64 > limit {
        return Err(Error::TooLarge(limit));
    }
    Ok(bytes)
}
