//! Pool of keep-alive connections to one HTTP/1.1 server.
//!
//! A connection serves one request at a time. It returns to the pool only after the complete
//! response has been read. Dropping it earlier closes the socket at once, which signals the server
//! that the response is no longer needed.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use smol::Task;
use smol::future::FutureExt;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use units::{Span, Time};

use crate::payload::Payload;

/// Maximum size of each buffer of a connection, and so of the head of a response.
const BUFFER_MAX_BYTES: usize = 32 << 10;
/// Most memory that a connection holds for reading a response.
pub const READ_BUFFER_MAX_BYTES: usize = BUFFER_MAX_BYTES;
/// Maximum number of idle connections in a pool.
const IDLE_CONNECTIONS_MAX: usize = 64;

/// A request with a complete body in memory.
pub type BufferedRequest = Request<Payload>;

/// Reason why a request has no response.
#[derive(Debug)]
pub enum SendError {
    /// The connection could not be opened, or was closed before any byte was written.
    NotSent(std::io::Error),
    /// The connection failed after bytes may have been written.
    MaybeSent(hyper::Error),
}

/// A connection in use by one request.
#[derive(Debug)]
pub struct Lease {
    sender: http1::SendRequest<Payload>,
    _driver: Task<()>,
    /// Idle time of the connection before this request; `None` for a new connection.
    pub idle_time: Option<Span>,
}

#[derive(Debug)]
struct IdleConnection {
    lease: Lease,
    since: Time,
    keep_for: Span,
}

/// Pool of idle connections to one server.
#[derive(Clone, Debug)]
pub struct Pool {
    address: SocketAddr,
    idle: Arc<Mutex<Vec<IdleConnection>>>,
}

impl Pool {
    /// Creates an empty pool for the server at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Pool {
            address,
            idle: Arc::default(),
        }
    }

    /// Returns the server's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes the connection that became idle last, if it has been idle for at most `max_idle_time`.
    /// Removes connections that are closed or whose keep-alive time has passed.
    pub fn take(&self, max_idle_time: Span, now: Time) -> Option<Lease> {
        let mut idle = self.lock();
        idle.retain(|conn| now.since(conn.since) < conn.keep_for && !conn.lease.sender.is_closed());
        let mut latest = idle.pop_if(|conn| now.since(conn.since) <= max_idle_time)?;
        latest.lease.idle_time = Some(now.since(latest.since));
        Some(latest.lease)
    }

    /// Opens a connection within `timeout`.
    ///
    /// # Errors
    /// [`SendError::NotSent`] if the connection cannot be opened in time.
    pub async fn connect(&self, timeout: Duration) -> Result<Lease, SendError> {
        let connect = async {
            let stream = TcpStream::connect(self.address).await?;
            stream.set_nodelay(true)?;
            let handshake = http1::Builder::new()
                .max_buf_size(BUFFER_MAX_BYTES)
                .handshake(FuturesIo::new(stream))
                .await;
            let (sender, connection) = handshake.map_err(std::io::Error::other)?;
            let driver = smol::spawn(async move {
                // The request in flight on the connection returns the same error.
                let _ = connection.await;
            });
            Ok(Lease {
                sender,
                _driver: driver,
                idle_time: None,
            })
        };
        let time_out = async {
            smol::Timer::after(timeout).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        connect.or(time_out).await.map_err(SendError::NotSent)
    }

    /// Returns a connection to the pool, to be kept for at most `keep_for`. The response must
    /// have been read completely.
    pub fn put(&self, lease: Lease, keep_for: Span, now: Time) {
        let mut idle = self.lock();
        if idle.len() < IDLE_CONNECTIONS_MAX && keep_for > Span(0) {
            idle.push(IdleConnection {
                lease,
                since: now,
                keep_for,
            });
        }
    }

    /// Closes the connections that have been idle since before `time`. To be called if a request
    /// that was sent at `time` got no response: what silenced its connection, without closing it,
    /// has probably silenced these as well.
    pub fn close_idle_before(&self, time: Time) {
        self.lock().retain(|conn| conn.since >= time);
    }

    fn lock(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Lease {
    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    /// [`SendError::NotSent`] if no byte of the request was written, else [`SendError::MaybeSent`].
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
            // hyper returns the request if no byte of it was written.
            Some(_) => SendError::NotSent(std::io::ErrorKind::ConnectionAborted.into()),
            None => SendError::MaybeSent(error.into_error()),
        })
    }
}
