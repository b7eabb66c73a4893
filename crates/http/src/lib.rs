//! HTTP/1.1 servers and clients on smol. `async-h1` provides a server loop and a client that does
//! not retry. `hyper` provides the connection pool of a gateway, which must detect stray bytes and
//! closed peers.
//!
//! The client never sends a request twice. [`Error::may_have_run`] returns whether a request may
//! have reached the server; only a failure to open the connection proves that the request did not
//! run.

mod client;
mod error;
mod hold;
mod limit;
mod payload;
mod pool;
mod segments;
mod server;
mod stream;

pub use client::Client;
pub use error::{Error, Result};
pub use limit::Events;
pub use payload::Payload;
pub use pool::{BufferedRequest, Lease, Pool, READ_BUFFER_MAX_BYTES, SendError};
pub use segments::Segments;
pub use server::{read_body, read_copied_body, read_response, serve};
pub use stream::{BodySender, attach_token, streamed_body};
