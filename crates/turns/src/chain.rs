//! Turns with complete answers, and the prompt text that a chain of them makes.

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;
use clients::Accounts;
use clients::owner::{Id, Owner};
use compact_str::{CompactString, ToCompactString};
use serde::{Deserialize, Serialize};
use store::api::{Row, Transaction};
use units::{Span, Time};

use crate::error::{Error, Result};
use crate::key::TurnKey;
use crate::row::decode;

/// Maximum bytes of a turn in one row: the value, with a header and in base64, stays under 64 KiB.
const ROW_MAX_BYTES: usize = 47 << 10;

/// Most rows of a turn, which are written by one transaction.
const ROWS_MAX: usize = 100;

/// A turn whose answer is complete.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Turn {
    /// The earlier turns of the chain, the oldest first.
    pub predecessors: Vec<Id>,
    /// The endpoint that ran the turn, which probably has all of the chain's text in memory.
    pub endpoint: CompactString,
    /// The body that the caller sent.
    pub input: Bytes,
    /// The data of each event of the answer, each followed by a line feed.
    pub output: Bytes,
}

/// The encoded form of a turn, which is split over its rows.
#[derive(Deserialize)]
struct StoredTurn {
    predecessors: Vec<CompactString>,
    endpoint: CompactString,
    input: Vec<u8>,
    output: Vec<u8>,
}

/// [`StoredTurn`] for encoding.
#[derive(Serialize)]
struct StoredTurnRef<'a> {
    predecessors: Vec<CompactString>,
    endpoint: &'a str,
    input: &'a [u8],
    output: &'a [u8],
}

/// A turn as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadTurn {
    /// The turn.
    pub turn: Turn,
    /// Whose turn it is; `None` in rows of releases that did not write it.
    pub owner: Option<Owner>,
}

impl Turn {
    /// Returns the transaction that writes the rows of this turn of `owner`, while `accounts` are
    /// listed. It has no condition.
    ///
    /// # Errors
    /// If the turn cannot be encoded.
    pub fn write_transaction(
        &self,
        key: &TurnKey,
        owner: &Owner,
        accounts: &Accounts,
    ) -> Result<Transaction> {
        let names = self.predecessors.iter().map(|id| id.name(accounts));
        let stored = StoredTurnRef {
            predecessors: names.map(|name| name.as_str().into()).collect(),
            endpoint: &self.endpoint,
            input: &self.input,
            output: &self.output,
        };
        // Releases that do not know the owner ignore what follows the turn.
        let bytes = bincode::serde::encode_to_vec((&stored, owner), bincode::config::standard())
            .map_err(|error| Error::Decode(error.to_compact_string()))?;
        let row_count = bytes.len().div_ceil(ROW_MAX_BYTES);
        let mut transaction = Transaction::default();
        for (index, chunk) in bytes.chunks(ROW_MAX_BYTES).enumerate() {
            // Each row begins with the number of rows, so that a missing row is detected.
            let mut value = (row_count as u32).to_le_bytes().to_vec();
            value.extend_from_slice(chunk);
            transaction = transaction.with_write(&key.row(index), value);
        }
        Ok(transaction)
    }

    /// Decodes a turn of `owner` from all its rows in the order of their keys; `None` if there are no
    /// rows.
    ///
    /// # Errors
    /// If a row is missing, the turn cannot be decoded or it continues a turn of another owner.
    pub fn from_rows(rows: &[Row], owner: &Owner) -> Result<Option<ReadTurn>> {
        let Some(first) = rows.first() else {
            return Ok(None);
        };
        let row_count = first.value.0.first_chunk::<4>();
        let row_count = row_count.map_or(0, |bytes| u32::from_le_bytes(*bytes) as usize);
        let is_complete = row_count == rows.len() && rows.iter().all(|row| row.value.0.len() >= 4);
        if !is_complete {
            return Err(Error::Incomplete);
        }
        let bytes = rows.iter().flat_map(|row| &row.value.0[4..]);
        let bytes: Vec<u8> = bytes.copied().collect();
        let (stored, length): (StoredTurn, usize) = decode(&bytes)?;
        let stored_owner = match &bytes[length..] {
            [] => None,
            rest => Some(decode(rest)?.0),
        };
        let predecessors = stored.predecessors.iter().map(|name| owner.parse(name));
        Ok(Some(ReadTurn {
            turn: Turn {
                predecessors: predecessors
                    .collect::<Option<_>>()
                    .ok_or(Error::OtherOwner)?,
                endpoint: stored.endpoint,
                input: stored.input.into(),
                output: stored.output.into(),
            },
            owner: stored_owner,
        }))
    }

    /// Returns the bytes of text.
    pub fn size_bytes(&self) -> usize {
        self.input.len() + self.output.len()
    }
}

/// Returns an upper bound for the text of a turn whose first row this is, in bytes.
///
/// # Errors
/// If the row states no number of rows, or more than a transaction writes.
pub fn text_max_bytes(first: &Row) -> Result<usize> {
    let row_count = first.value.0.first_chunk::<4>().ok_or(Error::Incomplete)?;
    let row_count = u32::from_le_bytes(*row_count) as usize;
    if row_count > ROWS_MAX {
        return Err(Error::Incomplete);
    }
    Ok(row_count * ROW_MAX_BYTES)
}

/// The text of the turns before a new turn.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transcript {
    /// These turns, the oldest first.
    pub turns: Vec<Id>,
    /// The endpoint that ran the last of them.
    pub endpoint: CompactString,
    /// Input and output of each turn, in order, shared with the history.
    pub text: Vec<Bytes>,
}

impl Transcript {
    /// Returns the transcript of the turn `id`, with the turns before it, the oldest first.
    pub fn new<'a>(id: &Id, before: impl Iterator<Item = &'a Turn>, last: &'a Turn) -> Self {
        let turns = before.chain([last]);
        let text = turns.flat_map(|turn| [turn.input.clone(), turn.output.clone()]);
        Transcript {
            turns: last.predecessors.iter().chain([id]).cloned().collect(),
            endpoint: last.endpoint.clone(),
            text: text.collect(),
        }
    }
}

/// The latest committed turns, in memory.
///
/// Some committed turns may be missing; turns that are not committed are never included.
#[derive(Debug)]
pub struct History {
    turns: HashMap<Id, Turn>,
    order: VecDeque<(Time, Id)>,
    size_bytes: usize,
    size_max_bytes: usize,
    age_max: Span,
}

impl History {
    /// Creates a history of at most `size_max_bytes` of text, each turn kept for at most `age_max`.
    pub fn new(size_max_bytes: usize, age_max: Span) -> Self {
        History {
            turns: HashMap::new(),
            order: VecDeque::new(),
            size_bytes: 0,
            size_max_bytes,
            age_max,
        }
    }

    /// Adds a committed turn; returns the oldest turns, which are evicted if the limits are exceeded.
    pub fn insert(&mut self, id: &Id, turn: Turn, now: Time) -> Vec<Turn> {
        let mut evicted = Vec::new();
        self.size_bytes += turn.size_bytes();
        if let Some(old) = self.turns.insert(id.clone(), turn) {
            self.size_bytes -= old.size_bytes();
            evicted.push(old);
        } else {
            self.order.push_back((now, id.clone()));
        }
        while let Some((inserted_at, _)) = self.order.front()
            && (self.size_bytes > self.size_max_bytes || now.since(*inserted_at) > self.age_max)
        {
            evicted.extend(self.evict_oldest());
        }
        evicted
    }

    /// Returns a turn, if it is in memory.
    pub fn get(&self, id: &Id) -> Option<&Turn> {
        self.turns.get(id)
    }

    /// Returns the text up to and including a turn.
    ///
    /// # Errors
    /// The turns that are not in memory and have to be read first.
    pub fn transcript(&self, id: &Id) -> std::result::Result<Transcript, Vec<Id>> {
        let Some(last) = self.turns.get(id) else {
            return Err(vec![id.clone()]);
        };
        let predecessors = last.predecessors.iter();
        let missing = predecessors.filter(|id| !self.turns.contains_key(*id));
        let missing: Vec<Id> = missing.cloned().collect();
        if !missing.is_empty() {
            return Err(missing);
        }
        let before = last.predecessors.iter();
        let before = before.filter_map(|id| self.turns.get(id));
        Ok(Transcript::new(id, before, last))
    }

    /// Evicts the oldest turns, of `bytes` of text in sum if there are as many, and returns them.
    pub fn evict(&mut self, bytes: usize) -> Vec<Turn> {
        let target = self.size_bytes.saturating_sub(bytes);
        let mut evicted = Vec::new();
        while self.size_bytes > target && !self.order.is_empty() {
            evicted.extend(self.evict_oldest());
        }
        evicted
    }

    fn evict_oldest(&mut self) -> Option<Turn> {
        let (_, oldest) = self.order.pop_front()?;
        let turn = self.turns.remove(&oldest)?;
        self.size_bytes -= turn.size_bytes();
        Some(turn)
    }

    /// Returns the bytes of text in memory.
    pub fn size_bytes(&self) -> usize {
        self.size_bytes
    }
}
