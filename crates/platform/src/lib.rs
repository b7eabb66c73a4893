//! Client of the platform's service: a transactional table, an object store and the host list.
//!
//! The table is the only place where anything is agreed. A transaction is a set of row versions that
//! must hold and a set of writes that then happen together. Its answer may be lost after it has taken
//! effect: [`Error::is_uncertain`] says so, and it is for the caller to read back what happened.

pub mod api;
mod client;
mod error;

pub use client::Client;
pub use error::{Error, Result};
