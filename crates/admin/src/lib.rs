//! The administration API: environment documents, hosts, programs and their accounts.
//!
//! It runs on the control thread and asks the traffic thread for what programs know. Every change is
//! a compare-and-set in the platform's table, so that operators who race learn of each other, and
//! leaves an audit record in the same transaction.

mod account;
mod api;
mod audit;
mod document;
mod error;
mod query;
mod response;
mod status;

pub use account::{from_log, from_memory};
pub use api::{Admin, Ask, Question};
pub use audit::{Action, Page, Record, Start, read as audit};
pub use document::{
    ACCEPTED_KEY, Accepted, Change, Promoted, accept, current, history, past, version,
};
pub use error::{Error, Result, Stale};
pub use status::endpoints;
