//! The server's end of connections from peers.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;

use async_compat::Compat;
use bytes::Bytes;
use event_listener::Event;
use h2::RecvStream;
use h2::server::SendResponse;
use smol::LocalExecutor;
use smol::future::FutureExt;
use smol::net::{TcpListener, TcpStream};
use units::Clock;

use crate::auth::{Key, verify};
use crate::connection::CONNECT_TIMEOUT;
use crate::error::{Error, Result};
use crate::frame::{Frame, Identity};
use crate::heartbeat::{self, Health};
use crate::stream::Stream;

const STREAM_WINDOW_BYTES: u32 = 1 << 20;
const CONNECTION_WINDOW_BYTES: u32 = 16 << 20;
const STREAMS_MAX: u32 = 10_000;
const HELLO_MAX_BYTES: usize = 16 << 10;

type Peer = Rc<RefCell<Option<Rc<Identity>>>>;

/// Ends the connections of a server without cutting off an exchange: each client is told which of its
/// exchanges were the last to be served, so that it knows that later ones were not.
#[derive(Debug, Default)]
pub struct Drain {
    started: Cell<bool>,
    connections: Cell<usize>,
    changed: Event,
}

impl Drain {
    /// A server that serves.
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Accepts no more connections, and no more exchanges on those that are open; resolves once all
    /// have ended.
    pub async fn finish(&self) {
        self.started.set(true);
        self.changed.notify(usize::MAX);
        self.until(|drain| drain.connections.get() == 0).await;
    }

    async fn started(&self) {
        self.until(|drain| drain.started.get()).await;
    }

    async fn until(&self, condition: impl Fn(&Self) -> bool) {
        loop {
            let listener = self.changed.listen();
            if condition(self) {
                return;
            }
            listener.await;
        }
    }

    fn count(self: &Rc<Self>) -> Counted {
        self.connections.set(self.connections.get() + 1);
        Counted(self.clone())
    }
}

/// A connection that is counted.
struct Counted(Rc<Drain>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
        self.0.changed.notify(usize::MAX);
    }
}

/// The server of one process.
#[derive(Clone, Debug)]
struct Server<H, R> {
    executor: Rc<LocalExecutor<'static>>,
    key: Key,
    own: Identity,
    handler: H,
    refused: R,
    drain: Rc<Drain>,
}

/// Accepts peers on `listener`: each exchange is a call of `handler` with the peer's identity and
/// the stream, as a task of `executor`. `refused` is told why a connection was refused or broke.
/// Returns once `drain` is begun, or if the listener fails.
pub async fn serve<H, F, R>(
    executor: Rc<LocalExecutor<'static>>,
    listener: TcpListener,
    key: Key,
    own: Identity,
    handler: H,
    refused: R,
    drain: Rc<Drain>,
) -> std::io::Result<()>
where
    H: Fn(Rc<Identity>, Stream) -> F + Clone + 'static,
    F: Future<Output = ()> + 'static,
    R: Fn(&Error) + Clone + 'static,
{
    let server = Server {
        executor: executor.clone(),
        key,
        own,
        handler,
        refused,
        drain: drain.clone(),
    };
    loop {
        let accept = async { listener.accept().await.map(Some) };
        let stop = async {
            drain.started().await;
            Ok(None)
        };
        let Some((stream, _)) = accept.or(stop).await? else {
            return Ok(());
        };
        let server = server.clone();
        let counted = drain.count();
        let connection = async move {
            let _counted = counted;
            // A peer that breaks off or cannot authenticate concerns nobody else.
            if let Err(error) = server.connection(stream).await {
                (server.refused)(&error);
            }
        };
        executor.spawn(connection).detach();
    }
}

impl<H, F, R> Server<H, R>
where
    H: Fn(Rc<Identity>, Stream) -> F + Clone + 'static,
    F: Future<Output = ()> + 'static,
    R: Fn(&Error) + Clone + 'static,
{
    /// Serves one connection until it ends or its client no longer answers pings.
    async fn connection(&self, stream: TcpStream) -> Result<()> {
        stream.set_nodelay(true).map_err(Error::Connect)?;
        let handshake = h2::server::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .max_concurrent_streams(STREAMS_MAX)
            .handshake::<_, Bytes>(Compat::new(stream));
        let handshake = async { Ok(handshake.await?) }.or(expire());
        let mut connection = handshake.await.map_err(|_| Error::Authentication)?;
        let pings = connection.ping_pong().ok_or(Error::Ended)?;
        let peer = Peer::default();
        let health = Health::default();
        let exchanges = self.exchanges(&mut connection, &peer);
        let beats = async {
            heartbeat::run(pings, &health, Clock::new()).await;
            Err(Error::Timeout)
        };
        // Dropping the connection ends the streams of a client that has gone silent, so that they
        // pin nothing.
        let end = exchanges.or(beats).or(authenticated(&peer)).await;
        if peer.borrow().is_none() {
            return Err(Error::Authentication);
        }
        end
    }

    async fn exchanges(
        &self,
        connection: &mut h2::server::Connection<Compat<TcpStream>, Bytes>,
        peer: &Peer,
    ) -> Result<()> {
        let mut first = true;
        let mut draining = false;
        loop {
            let stop = async {
                if draining {
                    std::future::pending::<()>().await;
                }
                self.drain.started().await;
                None
            };
            let accept = async { Some(connection.accept().await) };
            let Some(next) = accept.or(stop).await else {
                draining = true;
                connection.graceful_shutdown();
                continue;
            };
            let Some(accepted) = next else {
                return Ok(());
            };
            let (request, respond) = accepted?;
            let stream = answer(request, respond)?;
            let known = peer.borrow().clone();
            if let Some(identity) = known {
                let exchange = (self.handler)(identity, stream);
                self.executor.spawn(exchange).detach();
            } else if first {
                first = false;
                let stream = stream.with_payload_max(HELLO_MAX_BYTES);
                let handshake = self.clone().handshake(stream, peer.clone());
                self.executor.spawn(handshake).detach();
            } else {
                return Err(Error::Authentication);
            }
        }
    }

    /// Authenticates the client on the connection's first stream.
    async fn handshake(self, mut stream: Stream, peer: Peer) {
        // A failure leaves the peer unknown, which the connection reports.
        if let Ok(identity) = verify(&mut stream, &self.key, &self.own).await {
            *peer.borrow_mut() = Some(Rc::new(identity));
            // A client that does not read `Welcome` has gone away.
            let _ = stream.send(&Frame::Welcome).await;
            // Without an end, dropping the stream would reset it before it is sent.
            let _ = stream.finish();
        }
    }
}

/// Fails once the time to connect has passed.
async fn expire<T>() -> Result<T> {
    smol::Timer::after(CONNECT_TIMEOUT.into()).await;
    Err(Error::Timeout)
}

/// Fails if the client has not authenticated itself in time.
async fn authenticated(peer: &Peer) -> Result<()> {
    smol::Timer::after(CONNECT_TIMEOUT.into()).await;
    if peer.borrow().is_none() {
        return Err(Error::Authentication);
    }
    std::future::pending().await
}

fn answer(request: http::Request<RecvStream>, mut respond: SendResponse<Bytes>) -> Result<Stream> {
    let sender = respond.send_response(http::Response::new(()), false)?;
    Ok(Stream::server(sender, request.into_body()))
}
