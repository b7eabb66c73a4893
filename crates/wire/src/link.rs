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

use crate::auth::{Key, authenticate_server};
use crate::connection::CONNECT_TIMEOUT;
use crate::error::{Error, Result};
use crate::frame::{Epoch, Frame, Identity};
use crate::heartbeat::{self, Health};
use crate::stream::Stream;

const STREAM_WINDOW_BYTES: u32 = 1 << 20;
const CONNECTION_WINDOW_BYTES: u32 = 16 << 20;

/// An authenticated connection to a peer, on which exchanges are opened.
#[derive(Clone, Debug)]
pub struct Link {
    sender: SendRequest<Bytes>,
    peer: Rc<Identity>,
    health: Rc<Health>,
    epoch: Rc<Cell<Epoch>>,
    leaving: Rc<Cell<bool>>,
}

impl Link {
    /// Connects to the peer at `address` and drives the connection by a task on `executor`.
    pub async fn connect(
        executor: &Rc<LocalExecutor<'static>>,
        address: SocketAddr,
        key: &Key,
        own: &Identity,
    ) -> Result<Self> {
        let connect = Self::handshake(executor, address, key, own);
        let timeout = async {
            smol::Timer::after(CONNECT_TIMEOUT.into()).await;
            Err(Error::Timeout)
        };
        connect.or(timeout).await
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
        let driver_health = health.clone();
        let drive = async move {
            let connection = async {
                // Each open exchange returns the error to its user.
                let _ = connection.await;
            };
            let heartbeat = heartbeat::run(pings, &driver_health, Clock::new());
            let closed = driver_health.wait_until(Health::is_closed);
            // Dropping the connection ends all its exchanges with an error.
            connection.or(heartbeat).or(closed).await;
            driver_health.close();
        };
        executor.spawn(drive).detach();
        let mut first = open_stream(&sender).await?;
        let peer = authenticate_server(&mut first, key, own).await?;
        Ok(Link {
            sender,
            peer: Rc::new(peer),
            health,
            epoch: Rc::default(),
            leaving: Rc::default(),
        })
    }

    /// Returns the authenticated identity of the peer.
    pub fn peer(&self) -> &Identity {
        &self.peer
    }

    /// Returns the peer's last epoch received on this connection.
    pub fn epoch(&self) -> Epoch {
        self.epoch.get()
    }

    /// Records an epoch received from the peer.
    pub fn record_epoch(&self, epoch: Epoch) {
        self.epoch.set(epoch);
    }

    /// Returns whether the peer has reported on this connection that it drains.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Records that the peer drains.
    pub fn record_leaving(&self) {
        self.leaving.set(true);
    }

    /// Returns whether both links use the same connection.
    pub fn is_same_connection(&self, other: &Link) -> bool {
        Rc::ptr_eq(&self.health, &other.health)
    }

    /// Returns whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.health.is_closed()
    }

    /// Returns whether a pong is overdue, so that frames in transit may be lost.
    pub fn is_suspect(&self) -> bool {
        self.health.is_suspect()
    }

    /// Waits until the connection is suspect or has ended.
    pub async fn suspected(&self) {
        let suspect_or_closed = |health: &Health| health.is_suspect() || health.is_closed();
        self.health.wait_until(suspect_or_closed).await;
    }

    /// Waits until the peer answers pings again; never returns if the connection has ended.
    pub async fn recovered(&self) {
        let healthy = |health: &Health| !health.is_suspect() && !health.is_closed();
        self.health.wait_until(healthy).await;
    }

    /// Ends the connection for all its users; open exchanges end with an error.
    pub fn close(self) {
        self.health.close();
    }

    /// Opens an exchange and sends its request frame.
    pub async fn open(&self, request: &Frame) -> Result<Stream> {
        let mut stream = open_stream(&self.sender).await?;
        stream.send(request).await?;
        Ok(stream)
    }

    /// Sends a request and returns its answer, which is one frame.
    pub async fn call(&self, request: &Frame) -> Result<Frame> {
        let mut stream = self.open(request).await?;
        stream.finish()?;
        stream.expect().await
    }
}

async fn open_stream(sender: &SendRequest<Bytes>) -> Result<Stream> {
    let sender = sender.clone().ready().await;
    let mut sender = sender.map_err(Error::Unopened)?;
    let request = http::Request::post("http://peer/")
        .body(())
        .map_err(|_| Error::Ended)?;
    let opened = sender.send_request(request, false);
    let (response, body) = opened.map_err(Error::Unopened)?;
    Ok(Stream::client(body, response))
}
