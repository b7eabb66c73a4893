//! Small stand-ins for the systems that balsamhold serves: a model engine, a plain service, the
//! platform's store and its workers. Not shipped.
//!
//! Each runs on a thread of its own within the process that starts it, has knobs for its failures and
//! shows what it was made to do, so that a test can count executions and compare answers.

pub mod engine;
pub mod link;
pub mod platform;
mod server;
pub mod service;
pub mod worker;

pub use server::{Handle, lock};
