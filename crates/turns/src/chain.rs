//! Turns with complete answers, and the prompt text that a chain of them makes.

use std::collections::{HashMap, VecDeque};

use bytes::{Bytes, BytesMut};
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
#[derive(Serialize, Deserialize)]
struct StoredTurn {
    predecessors: Vec<CompactString>,
    endpoint: CompactString,
    input: Vec<u8>,
    output: Vec<u8>,
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
        let stored = StoredTurn {
            predecessors: names.map(|name| name.as_str().into()).collect(),
            endpoint: self.endpoint.clone(),
            input: self.input.to_vec(),
            output: self.output.to_vec(),
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

    fn size_bytes(&self) -> usize {
        self.input.len() + self.output.len()
    }
}

/// The text of the turns before a new turn.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transcript {
    /// These turns, the oldest first.
    pub turns: Vec<Id>,
    /// The endpoint that ran the last of them.
    pub endpoint: CompactString,
    /// Input and output of each turn, in order.
    pub text: BytesMut,
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

    /// Adds a committed turn, and evicts the oldest turns that exceed the limits.
    pub fn insert(&mut self, id: &Id, turn: Turn, now: Time) {
        self.size_bytes += turn.size_bytes();
        if let Some(old) = self.turns.insert(id.clone(), turn) {
            self.size_bytes -= old.size_bytes();
        } else {
            self.order.push_back((now, id.clone()));
        }
        while let Some((inserted_at, _)) = self.order.front()
            && (self.size_bytes > self.size_max_bytes || now.since(*inserted_at) > self.age_max)
        {
            let Some((_, oldest)) = self.order.pop_front() else {
                break;
            };
            if let Some(old) = self.turns.remove(&oldest) {
                self.size_bytes -= old.size_bytes();
            }
        }
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
        let endpoint = last.endpoint.clone();
        let mut turns = last.predecessors.clone();
        turns.push(id.clone());
        let missing = turns.iter().filter(|id| !self.turns.contains_key(*id));
        let missing: Vec<Id> = missing.cloned().collect();
        if !missing.is_empty() {
            return Err(missing);
        }
        let mut text = BytesMut::new();
        for turn in turns.iter().filter_map(|id| self.turns.get(id)) {
            text.extend_from_slice(&turn.input);
            text.extend_from_slice(&turn.output);
        }
        Ok(Transcript {
            turns,
            endpoint,
            text,
        })
    }

    /// Returns the bytes of text in memory.
    pub fn size_bytes(&self) -> usize {
        self.size_bytes
    }
}
