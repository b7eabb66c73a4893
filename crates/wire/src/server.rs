//! The server's end of connections from peers.

use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;

use async_compat::Compat;
use bytes::Bytes;
use h2::RecvStream;
use h2::server::SendResponse;
use smol::LocalExecutor;
use smol::net::{TcpListener, TcpStream};

use crate::auth::{Key, verify};
use crate::error::{Error, Result};
use crate::frame::{Frame, Identity};
use crate::stream::Stream;

const STREAM_WINDOW_BYTES: u32 = 1 << 20;
const CONNECTION_WINDOW_BYTES: u32 = 16 << 20;
const STREAMS_MAX: u32 = 10_000;

/// Accepts peers on `listener`: each exchange is a call of `handler` with the peer's identity and
/// the stream, as a task of `executor`. Returns only if the listener fails.
pub async fn serve<H, F>(
    executor: Rc<LocalExecutor<'static>>,
    listener: TcpListener,
    key: Key,
    own: Identity,
    handler: H,
) -> std::io::Result<()>
where
    H: Fn(Rc<Identity>, Stream) -> F + Clone + 'static,
    F: Future<Output = ()> + 'static,
{
    loop {
        let (stream, _) = listener.accept().await?;
        let (key, own, handler) = (key.clone(), own.clone(), handler.clone());
        let tasks = executor.clone();
        let connection = async move {
            // A peer that breaks off or cannot authenticate concerns nobody else.
            let _ = connection(tasks, stream, key, own, handler).await;
        };
        executor.spawn(connection).detach();
    }
}

async fn connection<H, F>(
    executor: Rc<LocalExecutor<'static>>,
    stream: TcpStream,
    key: Key,
    own: Identity,
    handler: H,
) -> Result<()>
where
    H: Fn(Rc<Identity>, Stream) -> F + Clone + 'static,
    F: Future<Output = ()> + 'static,
{
    stream.set_nodelay(true).map_err(Error::Connect)?;
    let mut connection = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(STREAMS_MAX)
        .handshake::<_, Bytes>(Compat::new(stream))
        .await?;
    let peer: Rc<RefCell<Option<Rc<Identity>>>> = Rc::default();
    let mut first = true;
    while let Some(accepted) = connection.accept().await {
        let (request, respond) = accepted?;
        let mut stream = answer(request, respond)?;
        let known = peer.borrow().clone();
        if let Some(identity) = known {
            executor.spawn(handler(identity, stream)).detach();
        } else if first {
            first = false;
            let (key, own, peer) = (key.clone(), own.clone(), peer.clone());
            let handshake = async move {
                if let Ok(identity) = verify(&mut stream, &key, &own).await {
                    *peer.borrow_mut() = Some(Rc::new(identity));
                    // A client that does not read `Welcome` has gone away.
                    let _ = stream.send(&Frame::Welcome).await;
                    // Without an end, dropping the stream would reset it before it is sent.
                    let _ = stream.finish();
                }
            };
            executor.spawn(handshake).detach();
        } else {
            return Err(Error::Authentication);
        }
    }
    Ok(())
}

fn answer(request: http::Request<RecvStream>, mut respond: SendResponse<Bytes>) -> Result<Stream> {
    let sender = respond.send_response(http::Response::new(()), false)?;
    Ok(Stream::server(sender, request.into_body()))
}
