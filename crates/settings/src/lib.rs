//! Settings of a process and the environment document, both INI and fully checked before use.
//!
//! Invariants:
//! - A text is accepted as a whole or not at all; there are no defaults for a misspelt key, since an
//!   unknown key is an error.
//! - Every error names file, line, section and key, what was found and what is allowed.
//! - Secrets appear in process settings only and have no readable `Debug`.

mod document;
mod error;
mod gateway;
mod process;
mod reader;
mod render;

pub use document::{Account, Class, Document, Limits, Model, Policy, Service};
pub use error::{Error, Problem, Result};
pub use gateway::Gateway;
pub use process::{
    Admin, Endpoint, EndpointKind, Entry, LogFormat, Platform, Process, Secret, Sidecar, Timing,
    unusable_address,
};
