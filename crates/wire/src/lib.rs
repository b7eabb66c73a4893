//! The protocol between balsamhold's own processes: bincode frames over h2 streams.
//!
//! Invariants:
//! - A connection carries no exchange before both ends have proved that they hold the shared key.
//! - Each exchange has an h2 stream of its own, which the client opens with one request frame. The
//!   failure of one exchange does not affect the others.
//! - A connection whose peer stops answering pings becomes suspect within two seconds. Both ends
//!   close it soon after, so that its exchanges end and release what they hold.
//! - A frame has at most [`FRAME_MAX_BYTES`], which is checked before memory is allocated for it.

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
pub use relay::{PackedRow, Relay, Relayed, Replica};
pub use server::{Drain, serve};
pub use stream::Stream;
