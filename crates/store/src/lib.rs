//! What the product keeps outside its processes: rows, transactions, feeds, objects, the host list.
//!
//! The table is the only place where anything is agreed. A transaction is a set of row versions that
//! must hold and a set of writes that then happen together. Its answer may be lost after it has taken
//! effect: [`Error::is_uncertain`] says so, and it is for the caller to read back what happened.

pub mod api;
mod client;
mod error;
mod table;

pub use client::{Client, key_after};
pub use error::{Error, Result};
pub use table::{Change, Feed, Objects, Outcome, Page, Partition, Table};
