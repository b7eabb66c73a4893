//! Interface between the product and the service that stores its rows and objects.
//!
//! A partition is the unit of atomicity: one transaction accesses rows of one partition of one
//! table. If its response is lost, the transaction may or may not have taken effect;
//! [`Error::is_uncertain`] reports this, and the writer has to read the rows back.

use compact_str::CompactString;
use futures_util::future::BoxFuture;
use serde::{Deserialize, Serialize};
use units::Span;

use crate::api::{Row, Transaction};
use crate::error::Result;
use crate::progress::Progress;

/// A partition of a table.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Partition {
    /// Name of the table.
    pub table: CompactString,
    /// Name of the partition within the table; may be empty.
    pub name: CompactString,
}

impl Partition {
    /// Returns the partition `name` of `table`.
    pub fn new(table: &str, name: &str) -> Self {
        Partition {
            table: table.into(),
            name: name.into(),
        }
    }
}

/// Outcome of a transaction on a [`Table`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// All conditions held and all writes took effect; carries the new version of the rows written.
    Committed(u64),
    /// A condition did not hold and nothing was written; carries the rows that the conditions name,
    /// without those that do not exist.
    Conflict(Vec<Row>),
}

/// Rows that were read at one point in time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The rows, ordered by key.
    pub rows: Vec<Row>,
    /// Version of the store at that time.
    pub version: u64,
    /// Whether the requested range has more rows after the last one here.
    pub has_more: bool,
}

/// A row that was written or deleted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Name of the row's partition.
    pub partition: CompactString,
    /// The row; its value is empty if the row was deleted.
    pub row: Row,
    /// Whether the row was deleted.
    pub is_deleted: bool,
}

/// Changes of a table after a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Feed {
    /// The changes in order, and the version after which the next request continues.
    Changes(Vec<Change>, u64),
    /// The requested changes are no longer available, so the table has to be read again.
    Truncated,
}

/// A table service as the product uses it. Reads record the arrival of their response in `progress`.
pub trait Table: Send + Sync {
    /// Runs a transaction on one partition.
    fn write<'a>(
        &'a self,
        partition: &'a Partition,
        transaction: &'a Transaction,
    ) -> BoxFuture<'a, Result<Outcome>>;

    /// Reads rows from `from` up to but excluding `to`, at most `limit` and possibly fewer; an
    /// empty `to` reads to the end of the partition.
    fn read<'a>(
        &'a self,
        partition: &'a Partition,
        from: &'a str,
        to: &'a str,
        limit: usize,
        progress: &'a Progress,
    ) -> BoxFuture<'a, Result<Page>>;

    /// Returns changes of a table after `version`; waits for them for at most `wait`.
    fn feed<'a>(
        &'a self,
        table: &'a str,
        version: u64,
        wait: Span,
        progress: &'a Progress,
    ) -> BoxFuture<'a, Result<Feed>>;
}

/// An object service as the product uses it.
pub trait Objects: Send + Sync {
    /// Writes an object, which replaces an existing one.
    fn put<'a>(&'a self, key: &'a str, bytes: Vec<u8>) -> BoxFuture<'a, Result<()>>;

    /// Reads an object; `None` if it does not exist.
    fn get<'a>(
        &'a self,
        key: &'a str,
        progress: &'a Progress,
    ) -> BoxFuture<'a, Result<Option<Vec<u8>>>>;
}
