//! The protocol between balsamhold's own processes: bincode frames over h2 streams.
//!
//! Invariants:
//! - A connection carries no work before both ends have proved that they hold the shared key.
//! - Each exchange has an h2 stream of its own, opened by the client with one request frame; a lost
//!   exchange never disturbs another.
//! - A frame is bounded by [`FRAME_MAX_BYTES`], checked before anything is allocated for it.

mod answer;
mod auth;
mod codec;
mod error;
mod frame;
mod link;
mod server;
mod stream;

pub use answer::{Answer, Next};
pub use auth::Key;
pub use codec::{Decoder, FRAME_MAX_BYTES, encode};
pub use error::{Error, Result};
pub use frame::{
    Accepted, Body, Delta, Dispatch, Done, Forward, Frame, Head, Identity, Load, Question, Ran,
    Reason, Refused, Resume, Role, State, Usage, Work,
};
pub use link::Link;
pub use server::serve;
pub use stream::Stream;
