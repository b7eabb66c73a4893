//! The decisions, as pure functions and state machines: time and randomness are arguments.
//!
//! Nothing here reads a clock, a socket or a lock, so that a decision met in production can be
//! repeated in a test from its inputs alone.

mod admit;
mod estimate;
mod fleet;
mod hedge;
mod idle;
mod knobs;
mod order;
mod place;
mod route;

pub use admit::Gate;
pub use fleet::{Fleet, Site, Used};
pub use hedge::{Budget, Stream};
pub use idle::Idle;
pub use knobs::{Knobs, Order, Routing};
pub use order::{Rank, Standing};
pub use place::{Choice, Chunk, Demand, Fault, Places, Spot, Way};
pub use route::{Request, Ticket, Why};
