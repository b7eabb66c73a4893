//! The state of a process's control thread.
//!
//! The control thread records [`Observation`]s on the [`Board`], with the current time as a
//! parameter, and publishes an immutable [`View`] of it to the traffic thread. The crate does no
//! I/O. Safety never depends on membership; the log ensures it.

mod board;
mod membership;
mod replica;
mod view;

pub use board::{Board, Observation};
pub use replica::{Replica, Report};
pub use view::{Endpoint, Environment, Member, Peer, View};
