//! State that the product keeps outside its processes: rows, feeds of changes, objects, host list.
//!
//! Processes reach agreement only by transactions on rows. A transaction is a set of row versions
//! that must match and a set of writes that then take effect together. Its response may be lost
//! after it took effect: [`Error::is_uncertain`] reports this, and the caller has to read the rows
//! back.

pub mod api;
mod client;
mod error;
mod progress;
mod table;

pub use client::{Client, key_after};
pub use error::{Error, Result};
pub use progress::Progress;
pub use table::{Change, Feed, Objects, Outcome, Page, Partition, Table};
