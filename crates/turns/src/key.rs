//! Where rows lie.
//!
//! An account is found by its program, a turn by its own identifier: a program may go on from a turn
//! of another one.

use compact_str::{CompactString, format_compact};
use store::Partition;

/// The table of accounts.
pub const ACCOUNTS: &str = "accounts";
/// The table of turns.
pub const TURNS: &str = "turns";
/// Parts that each table is spread over: enough that the transactions which a store runs in a part
/// one after another do not queue, few enough that all can be read through.
const PARTS: u8 = 64;

/// Longest identifier that is used as it is; a key with it stays well under 200 bytes.
const PLAIN_MAX_BYTES: usize = 128;

/// The row of a program's account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountKey {
    /// The row's table and part.
    pub partition: Partition,
    /// The row's key.
    pub key: CompactString,
}

impl AccountKey {
    /// The account of `program`.
    pub fn new(program: &str) -> Self {
        AccountKey {
            partition: partition(ACCOUNTS, part(program)),
            key: plain(program),
        }
    }
}

/// The rows of a turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TurnKey {
    /// The rows' table and part.
    pub partition: Partition,
    /// The first key that they may have.
    pub first: CompactString,
    /// The first key after them.
    pub end: CompactString,
}

impl TurnKey {
    /// The places that a turn may be in, in the order in which they are to be tried.
    pub fn candidates(turn: &str) -> [Self; 2] {
        let first = part(turn);
        // Parts fail alone or together with others; any other part is as good.
        [first, (first + PARTS / 2 + 1) % PARTS].map(|part| Self::new(turn, part))
    }

    fn new(turn: &str, part: u8) -> Self {
        let id = plain(turn);
        TurnKey {
            partition: partition(TURNS, part),
            first: format_compact!("{id}/"),
            // '0' is the character after '/'.
            end: format_compact!("{id}0"),
        }
    }

    /// The key of one of the rows.
    pub fn row(&self, index: usize) -> CompactString {
        format_compact!("{}{index:03}", self.first)
    }
}

/// All places of both tables.
pub fn partitions() -> Vec<Partition> {
    let of = |table| (0..PARTS).map(move |part| partition(table, part));
    of(ACCOUNTS).chain(of(TURNS)).collect()
}

fn partition(table: &str, part: u8) -> Partition {
    Partition::new(table, &format_compact!("{part:02x}"))
}

fn part(id: &str) -> u8 {
    blake3::hash(id.as_bytes()).as_bytes()[0] % PARTS
}

/// An identifier as it stands in a key: itself if it is short and plain, else its digest.
fn plain(identifier: &str) -> CompactString {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if (1..=PLAIN_MAX_BYTES).contains(&identifier.len()) && identifier.chars().all(allowed) {
        identifier.into()
    } else {
        format_compact!("~{}", blake3::hash(identifier.as_bytes()).to_hex())
    }
}
