//! The administration API: environment documents, hosts, programs and their accounts.
//!
//! It runs on the control thread and asks the traffic thread for what programs know. Every change is
//! a compare-and-set in the platform's table, so that operators who race learn of each other, and
//! leaves an audit record in the same transaction.

mod api;
mod audit;
mod document;
mod error;
mod explain;
mod query;
mod response;
mod status;

pub use api::{Admin, Operation, OperationRequest};
pub use audit::{Action, Page, PageStart, Record, read as audit};
pub use document::{
    ACCEPTED_KEY, Accepted, Change, Promoted, accept, accepted_document, accepted_version,
    document_history, past_document,
};
pub use error::{Error, Result, Stale};
pub use explain::{explain_from_log, explain_from_memory};
pub use status::endpoint_summaries;
