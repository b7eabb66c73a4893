//! The decisions, as pure functions and state machines: time and randomness are arguments.
//!
//! Nothing here reads a clock, a socket or a lock, so that a decision met in production can be
//! repeated in a test from its inputs alone.

mod order;
mod route;

pub use order::rank;
pub use route::{Candidate, Choice, Request, Why, route};
