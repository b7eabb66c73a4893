//! HTTP/1.1 on smol by `async-h1`: a server loop and a client without hidden repeats.
//!
//! The client never sends a request twice. A caller that needs to know whether a request may have
//! reached its peer gets that from [`Error::may_have_run`]: only a connection that could not be
//! opened proves that nothing ran.

mod client;
mod error;
mod server;
mod stream;

pub use client::Client;
pub use error::{Error, Result};
pub use server::{read_body, serve};
pub use stream::{Chunks, chunked, hold};
