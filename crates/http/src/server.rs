//! HTTP server loop and reading of request bodies.

use std::future::Future;
use std::rc::Rc;

use http_types::{Request, Response};
use smol::LocalExecutor;
use smol::io::AsyncReadExt;
use smol::net::{TcpListener, TcpStream};

use crate::error::{Error, Result};

/// Serves HTTP on `listener`. Each connection runs as a task on `executor`; each request is one
/// call of `handler`. Returns only if the listener fails.
pub async fn serve<H, F>(
    executor: Rc<LocalExecutor<'static>>,
    listener: TcpListener,
    handler: H,
) -> std::io::Result<()>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response> + 'static,
{
    loop {
        let (stream, _) = listener.accept().await?;
        // Best effort: without TCP_NODELAY, responses are only slower.
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        executor.spawn(serve_connection(stream, handler)).detach();
    }
}

async fn serve_connection<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Request) -> F,
    F: Future<Output = Response>,
{
    let respond = |request| {
        let response = handler(request);
        async { Ok(response.await) }
    };
    // A lost connection or malformed HTTP affects only this client.
    let _ = async_h1::accept(stream, respond).await;
}

/// Reads a request body of at most `limit` bytes.
///
/// # Errors
/// [`Error::TooLarge`] if the body is longer, [`Error::Exchange`] if reading it fails.
pub async fn read_body(request: &mut Request, limit: u64) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let body = request.take_body();
    let read = body.take(limit + 1).read_to_end(&mut bytes).await;
    read.map_err(|error| Error::Exchange(error.into()))?;
    if bytes.len() as u64 > limit {
        return Err(Error::TooLarge(limit));
    }
    Ok(bytes)
}
