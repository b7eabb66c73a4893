//! Client for one HTTP server.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http_types::{Body, Method, Request, Response, Url};
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::future::FutureExt;
use smol::net::TcpStream;

use crate::error::{Error, Result};
use crate::limit::Limited;
use crate::server::read_response;

const IDLE_CONNECTIONS_MAX: usize = 32;
/// Maximum size of a body that [`Client::fetch_body`] returns.
const BODY_MAX_BYTES: u64 = 16 << 20;

/// A client of one HTTP server, with a pool of idle connections.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
    bearer: Option<String>,
    idle: Arc<Mutex<Vec<TcpStream>>>,
}

impl Client {
    /// Creates a client for the server at `address`. `timeout` separately bounds connecting, the
    /// wait for a response head, and reading a body in [`Client::fetch_body`].
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Client {
            address,
            timeout,
            bearer: None,
            idle: Arc::default(),
        }
    }

    /// Adds `Authorization: Bearer <token>` to each request that [`Client::request`] builds.
    pub fn with_bearer(mut self, token: impl Into<String>) -> Self {
        self.bearer = Some(token.into());
        self
    }

    /// Returns the server's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Builds a request for `path`, with the bearer token if one is set.
    pub fn request(&self, method: Method, path: &str) -> Result<Request> {
        let url = Url::parse(&format!("http://{}{path}", self.address))
            .map_err(|error| Error::Exchange(error.into()))?;
        let mut request = Request::new(method, url);
        if let Some(token) = &self.bearer {
            request.insert_header("authorization", format!("Bearer {token}"));
        }
        Ok(request)
    }

    /// Sends `request` on a new connection and returns the response with its body unread.
    ///
    /// The body has no limit: read it with [`read_response`] or [`Events`](crate::Events).
    ///
    /// Suited to streamed bodies and to requests that must not run twice: the server may have
    /// closed a pooled connection, which would leave it unknown whether the request ran.
    pub async fn send(&self, request: Request) -> Result<Response> {
        let stream = self.connect().await?;
        self.exchange(stream, request).await
    }

    /// Sends a JSON body and decodes the JSON response, on a pooled connection if one is idle.
    ///
    /// # Errors
    /// [`Error::Status`] for any status outside 200–299.
    pub async fn send_json<I: Serialize, O: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        input: Option<&I>,
    ) -> Result<O> {
        let mut request = self.request(method, path)?;
        if let Some(input) = input {
            let body = serde_json::to_vec(input).map_err(Error::Decode)?;
            request.set_body(Body::from_bytes(body));
            request.insert_header("content-type", "application/json");
        }
        let bytes = self.fetch_body(request).await?;
        serde_json::from_slice(&bytes).map_err(Error::Decode)
    }

    /// Sends `request` on a pooled connection, if one is idle, and returns the complete body of the
    /// response.
    ///
    /// # Errors
    /// [`Error::Status`] for any status outside 200–299, [`Error::TooLarge`] for a body of more than
    /// 16 MB.
    pub async fn fetch_body(&self, request: Request) -> Result<Vec<u8>> {
        let pooled = self.idle.lock().ok().and_then(|mut idle| idle.pop());
        let stream = match pooled {
            Some(stream) => stream,
            None => self.connect().await?,
        };
        let mut response = self.exchange(stream.clone(), request).await?;
        let read = async { read_response(&mut response, BODY_MAX_BYTES).await };
        let bytes = read.or(self.time_out()).await?;
        self.return_to_pool(stream);
        if response.status().is_success() {
            Ok(bytes)
        } else {
            Err(Error::Status(response.status().into(), bytes))
        }
    }

    async fn exchange(&self, stream: TcpStream, request: Request) -> Result<Response> {
        let stream = Limited::new(stream);
        let exchange = async {
            let response = async_h1::connect(stream.clone(), request).await;
            stream.begin_body();
            response.map_err(Error::Exchange)
        };
        exchange.or(self.time_out()).await
    }

    async fn connect(&self) -> Result<TcpStream> {
        let connect = async {
            TcpStream::connect(self.address)
                .await
                .map_err(Error::Connect)
        };
        let time_out = async {
            smol::Timer::after(self.timeout).await;
            Err(Error::Connect(std::io::ErrorKind::TimedOut.into()))
        };
        let stream = connect.or(time_out).await?;
        stream.set_nodelay(true).map_err(Error::Connect)?;
        Ok(stream)
    }

    async fn time_out<T>(&self) -> Result<T> {
        smol::Timer::after(self.timeout).await;
        Err(Error::Timeout)
    }

    fn return_to_pool(&self, stream: TcpStream) {
        if let Ok(mut idle) = self.idle.lock()
            && idle.len() < IDLE_CONNECTIONS_MAX
        {
            idle.push(stream);
        }
    }
}
