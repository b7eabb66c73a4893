//! Partitions and keys of rows.
//!
//! An account is located by its program, a turn by its own identifier, as a program may continue
//! from a turn of another program.

use clients::owner::{Id, Name};
use compact_str::{CompactString, format_compact};
use store::Partition;

/// Name of the table of accounts.
pub const ACCOUNTS: &str = "accounts";
/// Name of the table of turns.
pub const TURNS: &str = "turns";
/// Partitions of each table. A store runs the transactions of one partition one after another, so
/// there are enough partitions to avoid a queue, and few enough to scan all of them.
const PARTITIONS: u8 = 64;

/// Name of the table of the origins of streams.
pub const STREAMS: &str = "streams";
/// The partition of the table of streams. The rate of one partition bounds how much of the store's
/// rate these rows can take, and hosts write the streams of one partition together.
const STREAM_PARTITION: u8 = 0;

/// Maximum length of an identifier used unchanged; a key with it stays well under 200 bytes.
const UNHASHED_MAX_BYTES: usize = 128;

/// Location of a program's account row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountKey {
    /// Partition of the row.
    pub partition: Partition,
    /// The row's key.
    pub key: CompactString,
}

impl AccountKey {
    /// Returns the location of the account of `program`.
    pub fn new(program: &Name) -> Self {
        let program = program.as_str();
        AccountKey {
            partition: partition(ACCOUNTS, partition_index(program)),
            key: key_form(program),
        }
    }
}

/// Location of the rows of a turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TurnKey {
    /// Partition of the rows.
    pub partition: Partition,
    /// First key that the rows may have.
    pub first: CompactString,
    /// First key after the rows.
    pub end: CompactString,
}

impl TurnKey {
    /// Returns the locations where a turn may be stored, in the order in which they are tried.
    pub fn candidates(turn: &Name) -> [Self; 2] {
        let turn = turn.as_str();
        let first = partition_index(turn);
        // Partitions fail alone or together with others, so any other one serves as the second.
        [first, (first + PARTITIONS / 2 + 1) % PARTITIONS].map(|part| Self::new(turn, part))
    }

    fn new(turn: &str, part: u8) -> Self {
        let id = key_form(turn);
        TurnKey {
            partition: partition(TURNS, part),
            first: format_compact!("{id}/"),
            // '0' is the character after '/'.
            end: format_compact!("{id}0"),
        }
    }

    /// Returns the key of the row at `index`, counted from 0.
    pub fn row(&self, index: usize) -> CompactString {
        format_compact!("{}{index:03}", self.first)
    }
}

/// Location of the row of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamKey {
    /// Partition of the row.
    pub partition: Partition,
    /// The row's key.
    pub key: CompactString,
}

impl StreamKey {
    /// Returns the location of the row of the stream that the attempt `id` began.
    pub fn new(id: &Name) -> Self {
        StreamKey {
            partition: Self::partition(),
            key: key_form(id.as_str()),
        }
    }

    /// Returns the location at which releases before [`Name`] wrote the row. They had the same one for
    /// all owners.
    pub fn unowned(id: &Id) -> Self {
        StreamKey {
            partition: Self::partition(),
            key: key_form(id.unowned()),
        }
    }

    /// Returns the partition of the rows of all streams.
    pub fn partition() -> Partition {
        partition(STREAMS, STREAM_PARTITION)
    }
}

/// Returns all partitions of the three tables.
pub fn partitions() -> Vec<Partition> {
    let of_table = |table| (0..PARTITIONS).map(move |part| partition(table, part));
    of_table(ACCOUNTS)
        .chain(of_table(TURNS))
        .chain([StreamKey::partition()])
        .collect()
}

fn partition(table: &str, part: u8) -> Partition {
    Partition::new(table, &format_compact!("{part:02x}"))
}

fn partition_index(id: &str) -> u8 {
    blake3::hash(id.as_bytes()).as_bytes()[0] % PARTITIONS
}

/// Returns an identifier in the form used in keys: unchanged if it is short and has no special
/// characters, else its digest.
fn key_form(identifier: &str) -> CompactString {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if (1..=UNHASHED_MAX_BYTES).contains(&identifier.len()) && identifier.chars().all(is_allowed) {
        identifier.into()
    } else {
        format_compact!("~{}", blake3::hash(identifier.as_bytes()).to_hex())
    }
}
