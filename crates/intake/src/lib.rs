//! Memory and descriptors that callers make a host hold: connections, heads, bodies that are still
//! arriving, and requests that are being served.
//!
//! The limit of a single body does not bound a host, as callers may send any number of them at once and
//! stop short of their end. So all connections share one limit. [`Ledger`] decides which connection
//! gives way when it is reached, [`Gate`] applies that to the connections of a process.

mod gate;
mod ledger;
mod stream;

pub use gate::{Connection, Gate, Overloaded, Request};
pub use ledger::{ConnectionId, Full, Ledger, Limits};
pub use stream::Metered;
