//! Memory and descriptors that clients make a process hold: connections, heads, bodies that are still
//! arriving, and requests that are being served.
//!
//! The limit of a single body does not bound a process, as clients may send any number of them at once
//! and stop short of their end. So all connections of a port share one limit, which is a share of what
//! the process has ([`Clients`]). [`Ledger`] decides which connection gives way when it is reached,
//! [`Gate`] applies that to the connections of a port, [`Listener`] accepts them, and [`Monitor`] reports
//! the decisions.

mod gate;
mod ledger;
mod listener;
mod monitor;
mod share;
mod stream;

pub use gate::{Connection, Gate, Overloaded, Request};
pub use ledger::{ConnectionId, Full, Ledger, Limits};
pub use listener::Listener;
pub use monitor::{Monitor, Tally};
pub use share::Clients;
pub use stream::Metered;
