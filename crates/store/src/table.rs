//! The seam between the product and whatever keeps its rows.
//!
//! A part is the unit of atomicity: one transaction touches rows of one part of one table. An
//! answer that is lost leaves it open whether the transaction happened; [`Error::is_uncertain`]
//! says so, and whoever wrote reads back.

use compact_str::CompactString;
use futures_util::future::BoxFuture;
use serde::{Deserialize, Serialize};
use units::Span;

use crate::api::{Row, Transaction};
use crate::error::Result;

/// Where rows lie.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Partition {
    /// The table.
    pub table: CompactString,
    /// The part of the table; may be empty.
    pub name: CompactString,
}

impl Partition {
    /// A part of a table.
    pub fn new(table: &str, name: &str) -> Self {
        Partition {
            table: table.into(),
            name: name.into(),
        }
    }
}

/// What became of a transaction on a [`Table`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// All conditions held and all writes happened; the new version of the rows written.
    Committed(u64),
    /// A condition did not hold and nothing was written: the rows of the conditions that exist.
    Conflict(Vec<Row>),
}

/// Rows read at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The rows in the order of their keys.
    pub rows: Vec<Row>,
    /// The version of the store at that moment.
    pub version: u64,
    /// Whether there are rows after the last one.
    pub has_more: bool,
}

/// A row that was written or dropped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The row's part.
    pub partition: CompactString,
    /// The row; its value is empty if it was dropped.
    pub row: Row,
    /// Whether it was dropped.
    pub is_deleted: bool,
}

/// What happened to a table after a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Feed {
    /// The changes in order, and the version to go on from.
    Changes(Vec<Change>, u64),
    /// The history that was asked for is gone: the table has to be read anew.
    Truncated,
}

/// A table service as the product uses it.
pub trait Table: Send + Sync {
    /// Runs a transaction on one part.
    fn write<'a>(
        &'a self,
        place: &'a Partition,
        transaction: &'a Transaction,
    ) -> BoxFuture<'a, Result<Outcome>>;

    /// Reads the rows from `from` to `to`, which is excluded, at most `limit` of them and maybe
    /// fewer; an empty `to` reads to the end.
    fn read<'a>(
        &'a self,
        place: &'a Partition,
        from: &'a str,
        to: &'a str,
        limit: usize,
    ) -> BoxFuture<'a, Result<Page>>;

    /// Waits for changes after `version` for at most `wait`.
    fn feed<'a>(&'a self, table: &'a str, version: u64, wait: Span) -> BoxFuture<'a, Result<Feed>>;
}

/// A service of objects as the product uses it.
pub trait Objects: Send + Sync {
    /// Writes an object, over one that may be there.
    fn put<'a>(&'a self, key: &'a str, bytes: Vec<u8>) -> BoxFuture<'a, Result<()>>;

    /// Reads an object.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Vec<u8>>>>;
}
