//! The administration API: environment documents, hosts, programs and their explanations.
//!
//! The API runs on the control thread and requests the state of programs from the traffic thread.
//! Every change of a document is a compare-and-set in the store, so that a concurrent change by
//! another operator is detected, and writes an audit record in the same transaction. The records of
//! drained hosts and ended programs are written in transactions of their own.

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
