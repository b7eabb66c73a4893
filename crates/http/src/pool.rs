//! Connections to one HTTP/1.1 server that are kept between requests.
//!
//! A connection belongs to one request at a time. It goes back to the pool only after the whole
//! answer has been read; dropped before that, its socket closes at once, which tells the server that
//! nobody waits any more.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use smol::Task;
use smol::future::FutureExt;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use units::{Span, Time};

/// Most connections that are kept idle.
const IDLE_MAX: usize = 64;

/// A request with its whole body.
pub type BufferedRequest = Request<Full<Bytes>>;

/// Why a request has no response.
#[derive(Debug)]
pub enum SendError {
    /// No connection could be opened, or the server closed it before anything was written.
    NotSent(std::io::Error),
    /// The connection failed after bytes may have been written.
    MaybeSent(hyper::Error),
}

/// A connection in use by one request.
#[derive(Debug)]
pub struct Lease {
    sender: http1::SendRequest<Full<Bytes>>,
    _driver: Task<()>,
    /// How long it had been idle before this request; `None` if it was opened for it.
    pub idle_time: Option<Span>,
}

#[derive(Debug)]
struct Idle {
    lease: Lease,
    since: Time,
    keep: Span,
}

/// The connections to one server.
#[derive(Clone, Debug)]
pub struct Pool {
    address: SocketAddr,
    idle: Arc<Mutex<Vec<Idle>>>,
}

impl Pool {
    /// A pool for the server at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Pool {
            address,
            idle: Arc::default(),
        }
    }

    /// The server's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// A kept connection that has been idle for at most `idle_max` and less than the server keeps
    /// it; those that are idle for too long are closed.
    pub fn take(&self, idle_max: Span, now: Time) -> Option<Lease> {
        let mut idle = self.lock();
        idle.retain(|idle| now.since(idle.since) < idle.keep && !idle.lease.sender.is_closed());
        let mut last = idle.pop_if(|idle| now.since(idle.since) <= idle_max)?;
        last.lease.idle_time = Some(now.since(last.since));
        Some(last.lease)
    }

    /// Opens a connection within `timeout`.
    ///
    /// # Errors
    /// [`SendError::NotSent`] if none can be opened in time.
    pub async fn connect(&self, timeout: Duration) -> Result<Lease, SendError> {
        let connect = async {
            let stream = TcpStream::connect(self.address).await?;
            stream.set_nodelay(true)?;
            let handshake = http1::handshake(FuturesIo::new(stream)).await;
            let (sender, connection) = handshake.map_err(std::io::Error::other)?;
            let driver = smol::spawn(async move {
                // The request that is under way gets the same error.
                let _ = connection.await;
            });
            Ok(Lease {
                sender,
                _driver: driver,
                idle_time: None,
            })
        };
        let expire = async {
            smol::Timer::after(timeout).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        connect.or(expire).await.map_err(SendError::NotSent)
    }

    /// Keeps a connection, whose answer was read whole, for at most `keep`.
    pub fn put(&self, lease: Lease, keep: Span, now: Time) {
        let mut idle = self.lock();
        if idle.len() < IDLE_MAX && keep > Span(0) {
            idle.push(Idle {
                lease,
                since: now,
                keep,
            });
        }
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.lock().clear();
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Lease {
    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    /// [`SendError::NotSent`] if no byte of it was written.
    pub async fn send(
        &mut self,
        request: BufferedRequest,
    ) -> Result<Response<Incoming>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::NotSent(
                std::io::ErrorKind::ConnectionAborted.into(),
            ));
        }
        let result = self.sender.try_send_request(request).await;
        result.map_err(|mut error| match error.take_message() {
            // The library hands back a request of which it wrote nothing.
            Some(_) => SendError::NotSent(std::io::ErrorKind::ConnectionAborted.into()),
            None => SendError::MaybeSent(error.into_error()),
        })
    }
}
