//! Turns with complete answers, and the prompt text that a chain of them makes.

use std::collections::{HashMap, VecDeque};

use bytes::{Bytes, BytesMut};
use compact_str::{CompactString, ToCompactString};
use serde::{Deserialize, Serialize};
use store::api::{Row, Transaction};
use units::{Span, Time};

use crate::error::{Error, Result};
use crate::key::TurnKey;

/// Maximum bytes of a turn in one row: the value, with a header and in base64, stays under 64 KiB.
const ROW_MAX_BYTES: usize = 47 << 10;

/// A turn whose answer is complete.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Turn {
    /// Identifiers of the earlier turns of the chain, the oldest first.
    pub predecessors: Vec<CompactString>,
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

impl Turn {
    /// Returns the transaction that writes the rows of this turn. It needs no condition: a turn is
    /// always written with the same content, so a repeated or delayed write changes nothing.
    ///
    /// # Errors
    /// If the turn cannot be encoded.
    pub fn write_transaction(&self, key: &TurnKey) -> Result<Transaction> {
        let stored = StoredTurn {
            predecessors: self.predecessors.clone(),
            endpoint: self.endpoint.clone(),
            input: self.input.to_vec(),
            output: self.output.to_vec(),
        };
        let config = bincode::config::standard();
        let bytes = bincode::serde::encode_to_vec(&stored, config)
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

    /// Decodes a turn from all its rows in the order of their keys; `None` if there are no rows.
    ///
    /// # Errors
    /// If a row is missing or the turn cannot be decoded.
    pub fn from_rows(rows: &[Row]) -> Result<Option<Self>> {
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
        let config = bincode::config::standard();
        let (stored, _): (StoredTurn, _) = bincode::serde::decode_from_slice(&bytes, config)
            .map_err(|error| Error::Decode(error.to_compact_string()))?;
        Ok(Some(Turn {
            predecessors: stored.predecessors,
            endpoint: stored.endpoint,
            input: stored.input.into(),
            output: stored.output.into(),
        }))
    }

    fn size_bytes(&self) -> usize {
        self.input.len() + self.output.len()
    }
}

/// The text of the turns before a new turn.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transcript {
    /// Identifiers of these turns, the oldest first.
    pub turns: Vec<CompactString>,
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
    turns: HashMap<CompactString, Turn>,
    order: VecDeque<(Time, CompactString)>,
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
    pub fn insert(&mut self, id: &CompactString, turn: Turn, now: Time) {
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
    pub fn get(&self, id: &str) -> Option<&Turn> {
        self.turns.get(id)
    }

    /// Returns the text up to and including a turn.
    ///
    /// # Errors
    /// Identifiers of turns that are not in memory and have to be read first.
    pub fn transcript(
        &self,
        id: &CompactString,
    ) -> std::result::Result<Transcript, Vec<CompactString>> {
        let Some(last) = self.turns.get(id) else {
            return Err(vec![id.clone()]);
        };
        let endpoint = last.endpoint.clone();
        let mut turns = last.predecessors.clone();
        turns.push(id.clone());
        let missing = turns.iter().filter(|id| !self.turns.contains_key(*id));
        let missing: Vec<CompactString> = missing.cloned().collect();
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
