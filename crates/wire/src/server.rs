//! The server's end of connections from peers.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;

use async_compat::Compat;
use bytes::Bytes;
use event_listener::Event;
use h2::RecvStream;
use h2::server::SendResponse;
use intake::{Connection, Listener, Metered};
use smol::LocalExecutor;
use smol::future::FutureExt;
use smol::net::TcpStream;
use units::Clock;

use crate::auth::{Key, authenticate_client};
use crate::connection::CONNECT_TIMEOUT;
use crate::error::{Error, Result};
use crate::frame::{Frame, Identity};
use crate::heartbeat::{self, Health};
use crate::stream::Stream;

const STREAM_WINDOW_BYTES: u32 = 1 << 20;
const CONNECTION_WINDOW_BYTES: u32 = 16 << 20;
const STREAMS_MAX: u32 = 10_000;
const HELLO_MAX_BYTES: usize = 16 << 10;
/// Longest header block of an exchange; that of own processes has some tens of bytes.
const HEADERS_MAX_BYTES: u32 = 4 << 10;
/// Memory that a byte may take until the client is authenticated: an exchange of some hundred bytes of
/// memory is opened by 12 bytes.
const UNAUTHENTICATED_WEIGHT: usize = 64;

/// Identity of a connection's client, once the client is authenticated.
type SharedPeer = Rc<RefCell<Option<Rc<Identity>>>>;

/// Ends the connections of a server without interrupting an exchange. An h2 GOAWAY frame reports to
/// each client the last exchange that is served, so that later ones count as not served.
#[derive(Debug, Default)]
pub struct Drain {
    started: Cell<bool>,
    connections: Cell<usize>,
    changed: Event,
}

impl Drain {
    /// Creates the state of a server that does not drain.
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Stops accepting connections, and exchanges on open connections; returns once all connections
    /// have ended.
    pub async fn finish(&self) {
        self.started.set(true);
        self.changed.notify(usize::MAX);
        self.wait_until(|drain| drain.connections.get() == 0).await;
    }

    async fn wait_started(&self) {
        self.wait_until(|drain| drain.started.get()).await;
    }

    async fn wait_until(&self, condition: impl Fn(&Self) -> bool) {
        loop {
            let listener = self.changed.listen();
            if condition(self) {
                return;
            }
            listener.await;
        }
    }

    fn register_connection(self: &Rc<Self>) -> ConnectionGuard {
        self.connections.set(self.connections.get() + 1);
        ConnectionGuard(self.clone())
    }
}

/// Guard that counts a connection as open until the guard is dropped.
struct ConnectionGuard(Rc<Drain>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
        self.0.changed.notify(usize::MAX);
    }
}

/// The parts of a server that its connections share.
#[derive(Clone, Debug)]
struct Server<H, R> {
    executor: Rc<LocalExecutor<'static>>,
    key: Key,
    own: Identity,
    handler: H,
    on_error: R,
    drain: Rc<Drain>,
}

/// Accepts peers on `listener`. For each exchange, calls `handler` with the peer's identity and the
/// stream, as a task of `executor`. Calls `on_error` with the error of each connection that was
/// refused or failed. Returns once draining begins.
///
/// A connection counts against the limits of `listener`. Until its client is authenticated, so does what
/// is read, and the connection may have to give way to others.
pub async fn serve<H, F, R>(
    executor: Rc<LocalExecutor<'static>>,
    listener: Listener,
    key: Key,
    own: Identity,
    handler: H,
    on_error: R,
    drain: Rc<Drain>,
) where
    H: Fn(Rc<Identity>, Stream) -> F + Clone + 'static,
    F: Future<Output = ()> + 'static,
    R: Fn(&Error) + Clone + 'static,
{
    let server = Server {
        executor: executor.clone(),
        key,
        own,
        handler,
        on_error,
        drain: drain.clone(),
    };
    loop {
        let accept = async { Some(listener.accept().await) };
        let stop = async {
            drain.wait_started().await;
            None
        };
        let Some((stream, admitted)) = accept.or(stop).await else {
            return;
        };
        let server = server.clone();
        let guard = drain.register_connection();
        let serve = async move {
            let _guard = guard;
            let evicted = async {
                admitted.evicted().await;
                Err(Error::Authentication)
            };
            // An error ends this connection only.
            if let Err(error) = server.serve_connection(stream, &admitted).or(evicted).await {
                (server.on_error)(&error);
            }
        };
        executor.spawn(serve).detach();
    }
}

impl<H, F, R> Server<H, R>
where
    H: Fn(Rc<Identity>, Stream) -> F + Clone + 'static,
    F: Future<Output = ()> + 'static,
    R: Fn(&Error) + Clone + 'static,
{
    /// Serves one connection until it ends or its client no longer answers pings.
    async fn serve_connection(&self, stream: TcpStream, admitted: &Connection) -> Result<()> {
        let stream = Metered::new(stream, admitted.clone()).with_weight(UNAUTHENTICATED_WEIGHT);
        let handshake = h2::server::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .max_concurrent_streams(STREAMS_MAX)
            .max_header_list_size(HEADERS_MAX_BYTES)
            .handshake::<_, Bytes>(Compat::new(stream));
        let handshake = async { Ok(handshake.await?) }.or(connect_timeout());
        let mut connection = handshake.await.map_err(|_| Error::Authentication)?;
        let pings = connection.ping_pong().ok_or(Error::Ended)?;
        let peer = SharedPeer::default();
        let health = Health::default();
        let exchanges = self.serve_exchanges(&mut connection, &peer, admitted);
        let heartbeat = async {
            heartbeat::run(pings, &health, Clock::new()).await;
            Err(Error::Timeout)
        };
        // Dropping the connection ends the streams of a client that no longer answers pings and
        // releases what they hold.
        let end = exchanges
            .or(heartbeat)
            .or(authentication_timeout(&peer))
            .await;
        if peer.borrow().is_none() {
            return Err(Error::Authentication);
        }
        end
    }

    async fn serve_exchanges(
        &self,
        connection: &mut h2::server::Connection<Compat<Metered<TcpStream>>, Bytes>,
        peer: &SharedPeer,
        admitted: &Connection,
    ) -> Result<()> {
        let mut is_first_stream = true;
        let mut draining = false;
        loop {
            let stop = async {
                if draining {
                    std::future::pending::<()>().await;
                }
                self.drain.wait_started().await;
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
            let stream = open_stream(request, respond)?;
            let authenticated = peer.borrow().clone();
            if let Some(identity) = authenticated {
                let exchange = (self.handler)(identity, stream);
                self.executor.spawn(exchange).detach();
            } else if is_first_stream {
                is_first_stream = false;
                let stream = stream.with_payload_max(HELLO_MAX_BYTES);
                let handshake = self.clone();
                let handshake = handshake.handshake(stream, peer.clone(), admitted.clone());
                self.executor.spawn(handshake).detach();
            } else {
                return Err(Error::Authentication);
            }
        }
    }

    /// Authenticates the client on the connection's first stream.
    async fn handshake(self, mut stream: Stream, peer: SharedPeer, admitted: Connection) {
        // After a failure `peer` stays empty, for which `serve_connection` returns an error.
        if let Ok(identity) = authenticate_client(&mut stream, &self.key, &self.own).await {
            *peer.borrow_mut() = Some(Rc::new(identity));
            admitted.trust();
            // An error means that the connection has ended.
            let _ = stream.send(&Frame::Welcome).await;
            // Dropping an unfinished stream would reset it before `Welcome` is sent.
            let _ = stream.finish();
        }
    }
}

/// Fails after [`CONNECT_TIMEOUT`].
async fn connect_timeout<T>() -> Result<T> {
    smol::Timer::after(CONNECT_TIMEOUT.into()).await;
    Err(Error::Timeout)
}

/// Fails if the client has not authenticated itself within [`CONNECT_TIMEOUT`].
async fn authentication_timeout(peer: &SharedPeer) -> Result<()> {
    smol::Timer::after(CONNECT_TIMEOUT.into()).await;
    if peer.borrow().is_none() {
        return Err(Error::Authentication);
    }
    std::future::pending().await
}

fn open_stream(
    request: http::Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) -> Result<Stream> {
    let sender = respond.send_response(http::Response::new(()), false)?;
    Ok(Stream::server(sender, request.into_body()))
}
