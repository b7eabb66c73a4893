//! Small stand-ins for the systems that balsamhold serves: a model engine, a plain service and the
//! platform's store. Not shipped.
//!
//! Each runs on a thread of its own within the process that starts it, has knobs for its failures and
//! shows what it was made to do, so that a test can count executions and compare answers.

pub mod engine;
mod host;
pub mod link;
pub mod platform;
pub mod service;

pub use host::{Handle, lock};
