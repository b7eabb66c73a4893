//! Settings of a process and the environment document: INI texts that are fully checked before use.
//!
//! Invariants:
//! - A text is accepted completely or rejected. An unknown key is an error, so a misspelt key is
//!   never replaced by the default of the intended key.
//! - Every error names file, line, section and key, the value found and the allowed values.
//! - Secrets appear only in process settings, and their `Debug` output does not show them.

mod document;
mod error;
mod gateway;
mod machine;
mod process;
mod reader;
mod render;

pub use document::{Account, Class, Document, Limits, Model, Policy, Service};
pub use error::{Error, Problem, Result};
pub use gateway::Gateway;
pub use machine::Machine;
pub use process::{
    Admin, Endpoint, EndpointKind, Entry, LogFormat, Platform, Process, Secret, Sidecar, Timing,
    unusable_address,
};
