//! Stand-ins for the systems that balsamhold works with: a model engine, a plain service, and the
//! platform's store and workers; and a relay that cuts, silences or delays connections. Used only
//! by tests and measurements.
//!
//! Each runs on its own thread in the process that starts it. Its shared state has settings that
//! inject faults and records what was executed, so that a test can count executions.

pub mod engine;
pub mod link;
pub mod platform;
mod server;
pub mod service;
pub mod worker;

pub use server::{Handle, lock};
