//! HTTP/1.1 on smol: by `async-h1` a server loop and a client without hidden repeats, by `hyper`
//! the kept connections of a gateway, which must notice stray bytes and a peer that went away.
//!
//! The client never sends a request twice. A caller that needs to know whether a request may have
//! reached its peer gets that from [`Error::may_have_run`]: only a connection that could not be
//! opened proves that nothing ran.

mod client;
mod error;
mod pool;
mod server;
mod stream;

pub use client::Client;
pub use error::{Error, Result};
pub use pool::{BufferedRequest, Lease, Pool, SendError};
pub use server::{read_body, serve};
pub use stream::{BodySender, attach_token, streamed_body};
