//! The blackboard of a process's control thread.
//!
//! Observations go in, controllers step over the board with the time passed in, and an immutable
//! [`View`] comes out for the traffic thread. Nothing here does I/O. Membership is never relied on
//! for safety: that is the log's part.

mod board;
mod membership;
mod replica;
mod view;

pub use board::{Board, Observation};
pub use replica::{Replica, Report};
pub use view::{Endpoint, Environment, Member, Peer, View};
