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
use units::Span;

use crate::auth::{Key, introduce};
use crate::error::{Error, Result};
use crate::frame::{Frame, Identity};
use crate::stream::Stream;

const CONNECT_TIMEOUT: Span = Span::from_ms(1_000);
const STREAM_WINDOW_BYTES: u32 = 1 << 20;
const CONNECTION_WINDOW_BYTES: u32 = 16 << 20;

/// An authenticated connection on which exchanges are opened.
#[derive(Clone, Debug)]
pub struct Link {
    sender: SendRequest<Bytes>,
    peer: Rc<Identity>,
    closed: Rc<Cell<bool>>,
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
        let (sender, connection) = h2::client::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .handshake(Compat::new(stream))
            .await?;
        let closed = Rc::new(Cell::new(false));
        let flag = closed.clone();
        let drive = async move {
            // Each open exchange reports the error of its own; the flag stops new ones.
            let _ = connection.await;
            flag.set(true);
        };
        executor.spawn(drive).detach();
        let mut first = open(&sender).await?;
        let peer = introduce(&mut first, key, own).await?;
        Ok(Link {
            sender,
            peer: Rc::new(peer),
            closed,
        })
    }

    /// Who the peer is.
    pub fn peer(&self) -> &Identity {
        &self.peer
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.closed.get()
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
    let mut sender = sender.clone().ready().await?;
    let request = http::Request::post("http://peer/")
        .body(())
        .map_err(|_| Error::Ended)?;
    let (response, body) = sender.send_request(request, false)?;
    Ok(Stream::client(body, response))
}
