//! The client's end of a connection to a peer.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use async_compat::Compat;
use bytes::Bytes;
use h2::client::SendRequest;
use smol::LocalExecutor;
use smol::future::FutureExt;
use smol::net::TcpStream;
use units::Clock;

use crate::auth::{Key, introduce};
use crate::connection::CONNECT_TIMEOUT;
use crate::error::{Error, Result};
use crate::frame::{Epoch, Frame, Identity};
use crate::heartbeat::{self, Health};
use crate::stream::Stream;

const STREAM_WINDOW_BYTES: u32 = 1 << 20;
const CONNECTION_WINDOW_BYTES: u32 = 16 << 20;

/// An authenticated connection on which exchanges are opened.
#[derive(Clone, Debug)]
pub struct Link {
    sender: SendRequest<Bytes>,
    peer: Rc<Identity>,
    health: Rc<Health>,
    epoch: Rc<Cell<Epoch>>,
    leaving: Rc<Cell<bool>>,
}

impl Link {
    /// Connects to the peer at `address`, driving the connection on `executor`.
    pub async fn connect(
        executor: &Rc<LocalExecutor<'static>>,
        address: SocketAddr,
        key: &Key,
        own: &Identity,
    ) -> Result<Self> {
        let connect = Self::handshake(executor, address, key, own);
        let expire = async {
            smol::Timer::after(CONNECT_TIMEOUT.into()).await;
            Err(Error::Timeout)
        };
        connect.or(expire).await
    }

    async fn handshake(
        executor: &Rc<LocalExecutor<'static>>,
        address: SocketAddr,
        key: &Key,
        own: &Identity,
    ) -> Result<Self> {
        let stream = TcpStream::connect(address).await.map_err(Error::Connect)?;
        stream.set_nodelay(true).map_err(Error::Connect)?;
        let (sender, mut connection) = h2::client::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .handshake(Compat::new(stream))
            .await?;
        let pings = connection.ping_pong().ok_or(Error::Ended)?;
        let health = Rc::new(Health::default());
        let state = health.clone();
        let drive = async move {
            let connection = async {
                // Each open exchange reports the error of its own.
                let _ = connection.await;
            };
            let beats = heartbeat::run(pings, &state, Clock::new());
            let closed = state.until(Health::is_closed);
            // Dropping the connection ends all exchanges on it with an error.
            connection.or(beats).or(closed).await;
            state.close();
        };
        executor.spawn(drive).detach();
        let mut first = open(&sender).await?;
        let peer = introduce(&mut first, key, own).await?;
        Ok(Link {
            sender,
            peer: Rc::new(peer),
            health,
            epoch: Rc::default(),
            leaving: Rc::default(),
        })
    }

    /// Who the peer is.
    pub fn peer(&self) -> &Identity {
        &self.peer
    }

    /// The peer's epoch as last heard on this connection.
    pub fn epoch(&self) -> Epoch {
        self.epoch.get()
    }

    /// Notes the peer's epoch.
    pub fn record_epoch(&self, epoch: Epoch) {
        self.epoch.set(epoch);
    }

    /// Whether the peer has said on this connection that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Notes that the peer is leaving.
    pub fn record_leaving(&self) {
        self.leaving.set(true);
    }

    /// Whether both are the same connection.
    pub fn is_same_connection(&self, other: &Link) -> bool {
        Rc::ptr_eq(&self.health, &other.health)
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.health.is_closed()
    }

    /// Whether a heartbeat is overdue: what is on the connection may never arrive.
    pub fn is_suspect(&self) -> bool {
        self.health.is_suspect()
    }

    /// Waits until the connection is suspected or has ended.
    pub async fn suspected(&self) {
        let bad = |health: &Health| health.is_suspect() || health.is_closed();
        self.health.until(bad).await;
    }

    /// Waits until the peer answers again; for ever if the connection has ended.
    pub async fn recovered(&self) {
        let good = |health: &Health| !health.is_suspect() && !health.is_closed();
        self.health.until(good).await;
    }

    /// Ends the connection for all its users: open exchanges end with an error.
    pub fn close(self) {
        self.health.close();
    }

    /// Opens an exchange with its first frame.
    pub async fn open(&self, request: &Frame) -> Result<Stream> {
        let mut stream = open(&self.sender).await?;
        stream.send(request).await?;
        Ok(stream)
    }

    /// Sends a request that has one frame as its answer.
    pub async fn call(&self, request: &Frame) -> Result<Frame> {
        let mut stream = self.open(request).await?;
        stream.finish()?;
        stream.expect().await
    }
}

async fn open(sender: &SendRequest<Bytes>) -> Result<Stream> {
    let sender = sender.clone().ready().await;
    let mut sender = sender.map_err(Error::Unopened)?;
    let request = http::Request::post("http://peer/")
        .body(())
        .map_err(|_| Error::Ended)?;
    let opened = sender.send_request(request, false);
    let (response, body) = opened.map_err(Error::Unopened)?;
    Ok(Stream::client(body, response))
}
