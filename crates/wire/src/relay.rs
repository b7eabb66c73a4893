//! Calls to the store that a peer makes for a process to which the store is unavailable.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use store::api::Transaction;
use store::{Feed, Outcome, Page, Partition};
use units::Span;

/// A call to the store, requested from a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Relay {
    /// Runs a transaction.
    Write {
        /// The partition that the transaction changes.
        partition: Partition,
        /// The transaction. It may be run more than once, each time under its conditions.
        transaction: Transaction,
    },
    /// Reads rows.
    Read {
        /// The partition to read.
        partition: Partition,
        /// The first key.
        from: CompactString,
        /// The end of the keys, exclusive; empty for no end.
        to: CompactString,
        /// Maximum number of rows.
        limit: u32,
    },
    /// Waits for changes of a table.
    Feed {
        /// The table.
        table: CompactString,
        /// The version after which changes are returned.
        version: u64,
        /// Maximum time to wait for a change.
        wait: Span,
    },
}

/// Outcome of a relayed call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Relayed {
    /// The outcome of the transaction.
    Written(Outcome),
    /// The rows that were read.
    Page(Page),
    /// The changes of the table.
    Feed(Feed),
    /// The store is unavailable to the peer too; the call was not made.
    Unavailable,
    /// The store's response was lost; the call may have taken effect.
    Uncertain,
}
