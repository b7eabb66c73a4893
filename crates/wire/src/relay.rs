//! Calls of the store that a peer makes for a process that cannot reach it.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use store::api::Transaction;
use store::{Feed, Outcome, Page, Partition};
use units::Span;

/// A call that a peer is to make.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Relay {
    /// Run a transaction.
    Write {
        /// The part that it touches.
        place: Partition,
        /// The transaction; it may be run again under its conditions.
        transaction: Transaction,
    },
    /// Read rows.
    Read {
        /// Where.
        place: Partition,
        /// The first key.
        from: CompactString,
        /// The first key after the last; empty for no end.
        to: CompactString,
        /// Most rows.
        limit: u32,
    },
    /// Wait for changes of a table.
    Feed {
        /// The table.
        table: CompactString,
        /// The version after which changes are wanted.
        version: u64,
        /// How long to wait.
        wait: Span,
    },
}

/// What came of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Relayed {
    /// What became of the transaction.
    Written(Outcome),
    /// The rows.
    Page(Page),
    /// The changes.
    Feed(Feed),
    /// The peer does not reach the store either: nothing was done.
    Unavailable,
    /// The store's answer was lost: it may have been done.
    Uncertain,
}
