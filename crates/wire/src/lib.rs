//! The protocol between balsamhold's own processes: bincode frames over h2 streams.
//!
//! Invariants:
//! - A connection carries no work before both ends have proved that they hold the shared key.
//! - Each exchange has an h2 stream of its own, opened by the client with one request frame; a lost
//!   exchange never disturbs another.
//! - A connection whose peer stops answering pings is suspected within two seconds and closed soon
//!   after, at both ends, so that its exchanges end and pin nothing.
//! - A frame is bounded by [`FRAME_MAX_BYTES`], checked before anything is allocated for it.

mod answer;
mod auth;
pub mod backoff;
mod codec;
pub mod connection;
mod error;
mod frame;
mod heartbeat;
mod link;
mod list;
mod order;
mod relay;
mod server;
mod stream;

pub use answer::{Answer, Next};
pub use auth::Key;
pub use backoff::Backoff;
pub use codec::{Decoder, FRAME_MAX_BYTES, encode};
pub use error::{Error, Result};
pub use frame::{
    Accepted, Body, Delta, Dispatch, Done, EntryRequest, Epoch, Forward, Frame, Head, Identity,
    Load, Ran, Reason, Refused, Resume, Role, State, Tail, Usage, Work,
};
pub use link::Link;
pub use list::LIST_MAX_ITEMS;
pub use order::{Action, Fence, Order, Ordered};
pub use relay::{Relay, Relayed};
pub use server::{Drain, serve};
pub use stream::Stream;
