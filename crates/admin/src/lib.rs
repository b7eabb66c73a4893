//! The administration API: environment documents, hosts, programs and their accounts.
//!
//! It runs on the control thread and asks the traffic thread for what programs know. Every change is
//! a compare-and-set in the platform's table, so that operators who race learn of each other.

mod api;
mod document;
mod error;

pub use api::{Admin, Ask, Question};
pub use document::{ACCEPTED_KEY, Accepted, accept, current};
pub use error::{Error, Result};
