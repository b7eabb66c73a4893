//! Turns that were answered whole, and the prompt text that a line of them makes.

use std::collections::{HashMap, VecDeque};

use bytes::{Bytes, BytesMut};
use compact_str::{CompactString, ToCompactString};
use serde::{Deserialize, Serialize};
use store::api::{Row, Transaction};
use units::{Span, Time};

use crate::error::{Error, Result};
use crate::key::TurnKey;

/// Text in one row: with its head and in base64 it stays under 64 KiB.
const ROW_MAX_BYTES: usize = 47 << 10;

/// A turn that was answered whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Turn {
    /// The turns before it, the oldest first.
    pub predecessors: Vec<CompactString>,
    /// The endpoint that ran it, which probably has all of this text in memory.
    pub endpoint: CompactString,
    /// What the caller sent.
    pub input: Bytes,
    /// The data of each event of the answer, each followed by a line feed.
    pub output: Bytes,
}

/// A turn as its rows hold it.
#[derive(Serialize, Deserialize)]
struct Stored {
    predecessors: Vec<CompactString>,
    endpoint: CompactString,
    input: Vec<u8>,
    output: Vec<u8>,
}

impl Turn {
    /// The transaction that writes the rows of this turn. It needs no condition: a turn is written
    /// with one content only, so a repeat or a late effect changes nothing.
    ///
    /// # Errors
    /// If the turn cannot be encoded.
    pub fn write_transaction(&self, key: &TurnKey) -> Result<Transaction> {
        let stored = Stored {
            predecessors: self.predecessors.clone(),
            endpoint: self.endpoint.clone(),
            input: self.input.to_vec(),
            output: self.output.to_vec(),
        };
        let config = bincode::config::standard();
        let bytes = bincode::serde::encode_to_vec(&stored, config)
            .map_err(|error| Error::Decode(error.to_compact_string()))?;
        let count = bytes.len().div_ceil(ROW_MAX_BYTES);
        let mut transaction = Transaction::default();
        for (index, piece) in bytes.chunks(ROW_MAX_BYTES).enumerate() {
            // Each row begins with the number of rows, so that a missing one is noticed.
            let mut value = (count as u32).to_le_bytes().to_vec();
            value.extend_from_slice(piece);
            transaction = transaction.with_write(&key.row(index), value);
        }
        Ok(transaction)
    }

    /// Puts a turn together from all its rows in the order of their keys; `None` if there are none.
    ///
    /// # Errors
    /// If a row is missing or cannot be decoded.
    pub fn from_rows(rows: &[Row]) -> Result<Option<Self>> {
        let Some(first) = rows.first() else {
            return Ok(None);
        };
        let count = first.value.0.first_chunk::<4>();
        let count = count.map_or(0, |bytes| u32::from_le_bytes(*bytes) as usize);
        let whole = count == rows.len() && rows.iter().all(|row| row.value.0.len() >= 4);
        if !whole {
            return Err(Error::Incomplete);
        }
        let bytes = rows.iter().flat_map(|row| &row.value.0[4..]);
        let bytes: Vec<u8> = bytes.copied().collect();
        let config = bincode::config::standard();
        let (stored, _): (Stored, _) = bincode::serde::decode_from_slice(&bytes, config)
            .map_err(|error| Error::Decode(error.to_compact_string()))?;
        Ok(Some(Turn {
            predecessors: stored.predecessors,
            endpoint: stored.endpoint,
            input: stored.input.into(),
            output: stored.output.into(),
        }))
    }

    fn size(&self) -> usize {
        self.input.len() + self.output.len()
    }
}

/// The text before a new turn.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transcript {
    /// The turns that it goes on from, the oldest first.
    pub turns: Vec<CompactString>,
    /// The endpoint that ran the last of them.
    pub endpoint: CompactString,
    /// What was said in them.
    pub text: BytesMut,
}

/// Committed turns in memory, the latest ones.
///
/// It may lack turns; it never holds one that is not committed.
#[derive(Debug)]
pub struct History {
    turns: HashMap<CompactString, Turn>,
    order: VecDeque<(Time, CompactString)>,
    size: usize,
    size_max: usize,
    keep: Span,
}

impl History {
    /// Holds at most `size_max` bytes of text, each turn for at most `keep`.
    pub fn new(size_max: usize, keep: Span) -> Self {
        History {
            turns: HashMap::new(),
            order: VecDeque::new(),
            size: 0,
            size_max,
            keep,
        }
    }

    /// Takes in a committed turn.
    pub fn insert(&mut self, id: &CompactString, turn: Turn, now: Time) {
        self.size += turn.size();
        if let Some(old) = self.turns.insert(id.clone(), turn) {
            self.size -= old.size();
        } else {
            self.order.push_back((now, id.clone()));
        }
        while let Some((since, _)) = self.order.front()
            && (self.size > self.size_max || now.since(*since) > self.keep)
        {
            let Some((_, oldest)) = self.order.pop_front() else {
                break;
            };
            if let Some(old) = self.turns.remove(&oldest) {
                self.size -= old.size();
            }
        }
    }

    /// A turn.
    pub fn get(&self, id: &str) -> Option<&Turn> {
        self.turns.get(id)
    }

    /// What was said up to and with a turn.
    ///
    /// # Errors
    /// The turns that are not here and have to be read first.
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

    /// Bytes of text held.
    pub fn size_bytes(&self) -> usize {
        self.size
    }
}
