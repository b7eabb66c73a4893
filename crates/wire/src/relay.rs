//! Calls to the store that a peer makes for a process to which the store is unavailable.

use clients::owner::Name;
use clients::{Granted, Want};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use store::api::{Row, Transaction};
use store::{Feed, Outcome, Page, Partition};
use units::{Host, Span};

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
    /// Follows the peer's copy of the environment; answered by `Replica` at regular intervals and
    /// with each new row, until the exchange ends. A row is followed by its value in `Body` frames.
    Environment {
        /// The version of the row that the sender has; 0 for none.
        version: u64,
    },
    /// Settles the peer's grant of a program's budget: the account row then states what the peer has
    /// handed out and reserved, and no more is granted to it. Peers of earlier releases cannot decode
    /// this call and close the stream.
    Settle {
        /// The program.
        program: Name,
    },
    /// Obtains credit for requests of client accounts, and attaches the host to the peer's meter. Peers
    /// of earlier releases cannot decode this call and close the stream.
    Acquire {
        /// The host that sends the call.
        host: Host,
        /// What it wants; may be empty.
        wants: Vec<Want>,
    },
    /// Gives the peer the list of processes of its kind, in case it could not read it. Peers of earlier
    /// releases cannot decode this call and close the stream.
    Introduce {
        /// The rows of the list, as the sender has them.
        rows: Vec<Row>,
    },
}

/// A peer's copy of the row with the environment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Version of the store at which the copy was current.
    pub position: u64,
    /// Time since then, or since any byte of a newer row arrived.
    pub age: Span,
    /// The host that read the copy from the store, from which the peer got it directly or through
    /// others; `None` if there is no copy.
    pub reader: Option<Host>,
    /// A row newer than those sent before.
    pub row: Option<PackedRow>,
}

/// A row whose value is sent separately in compressed form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedRow {
    /// Key of the row.
    pub key: CompactString,
    /// Version of the row's last write.
    pub version: u64,
    /// Length of the compressed value in bytes.
    pub packed_bytes: u32,
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
    /// The copy of the environment.
    Replica(Replica),
    /// The grant is settled, or the peer has none.
    Settled,
    /// The credit granted for each of the wants, in their order.
    Acquired(Vec<Granted>),
    /// The peer has the list that it was given, or one that it has read.
    Introduced,
}
