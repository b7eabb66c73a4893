//! The rows of a log and their encoding.

use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use store::api::Transaction;
use units::{Digest, Host, Incarnation, Slot};

use crate::error::{Error, Result};
use crate::event::Record;

const ROW_MAX_BYTES: usize = 16 << 20;
const CHECKSUM_BYTES: usize = 32;

/// The writer row of a log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Writer {
    /// Whether the log may grow.
    pub state: State,
    /// The next slot.
    pub next_slot: Slot,
    /// The last batch's own number; 0 if there is none.
    pub last_batch: u64,
    /// The process that writes, which may open several logs one after the other.
    pub process: Incarnation,
    /// The process's host.
    pub host: Host,
    /// Its address for balsamhold's own processes.
    pub address: SocketAddr,
}

impl Writer {
    /// The row of a new log of a process.
    pub fn new(process: Incarnation, host: Host, address: SocketAddr) -> Self {
        Writer {
            state: State::Open,
            next_slot: Slot(0),
            last_batch: 0,
            process,
            host,
            address,
        }
    }

    /// Reads a row of the table.
    ///
    /// # Errors
    /// [`Error::Corrupt`] if it is no writer row.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        decode(bytes, Slot(0))
    }
}

/// Whether a log may grow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Its writer may append.
    Open,
    /// Nobody may append; only this writer may adopt its programs.
    Sealed(Incarnation),
}

/// One batch of a log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The batch's own number, random: it tells a lost answer from another's write.
    pub id: u64,
    /// The writer.
    pub writer: Incarnation,
    /// The batch's slot.
    pub slot: Slot,
    /// The events of many programs, in order.
    pub records: Vec<Record>,
}

impl Batch {
    /// Reads a row of the table.
    ///
    /// # Errors
    /// [`Error::Corrupt`] if it is no batch.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        decode(bytes, Slot(0))
    }
}

/// Key of a log's writer row.
pub fn writer_key(writer: Incarnation) -> String {
    format!("writer.{writer}")
}

/// Key of a batch; keys sort by slot.
pub fn batch_key(writer: Incarnation, slot: Slot) -> String {
    format!("log.{writer}.{:016x}", slot.0)
}

/// Key of the mark of an open log; it goes when the log is sealed.
pub fn open_key(writer: Incarnation) -> String {
    format!("open.{writer}")
}

/// Key of the mark that `successor` is the successor of `writer`.
pub fn predecessor_key(successor: Incarnation, writer: Incarnation) -> String {
    format!("inherited.{successor}.{writer}")
}

/// The transaction that opens a log.
///
/// # Errors
/// [`Error::Encode`] if the row cannot be encoded.
pub fn open_transaction(writer: Incarnation, row: &Writer) -> Result<Transaction> {
    let bytes = encode(row)?;
    let key = writer_key(writer);
    Ok(Transaction::default()
        .with_check(&key, 0)
        .with_write(&key, bytes.clone())
        .with_write(&open_key(writer), bytes))
}

/// A log that was open when it was looked at, and may inherit from one that is sealed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Successor {
    /// Its writer.
    pub writer: Incarnation,
    /// The version of its mark as an open log.
    pub open_version: u64,
}

/// The transaction that seals the log whose row is `row` at `version`.
///
/// The successor's log must be open, so that chains of successors have no cycles and end in a log
/// that can adopt.
///
/// # Errors
/// [`Error::Encode`] if the row cannot be encoded.
pub fn seal_transaction(
    writer: Incarnation,
    row: &Writer,
    version: u64,
    heir: Successor,
) -> Result<Transaction> {
    let successor = heir.writer;
    let sealed = Writer {
        state: State::Sealed(successor),
        ..row.clone()
    };
    let bytes = encode(&sealed)?;
    let key = writer_key(writer);
    Ok(Transaction::default()
        .with_check(&key, version)
        .with_check(&open_key(successor), heir.open_version)
        .with_write(&key, bytes.clone())
        .with_write(&predecessor_key(successor, writer), bytes)
        .with_delete(&open_key(writer)))
}

fn config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<ROW_MAX_BYTES>()
}

/// Encodes a row: checksum (32 bytes), then bincode.
pub(crate) fn encode<T: Serialize>(row: &T) -> Result<Vec<u8>> {
    let payload = bincode::serde::encode_to_vec(row, config()).map_err(Error::Encode)?;
    let mut bytes = Digest::of(&payload).bytes().to_vec();
    bytes.extend_from_slice(&payload);
    Ok(bytes)
}

/// Decodes a row; `slot` names it in errors.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8], slot: Slot) -> Result<T> {
    let (checksum, payload) = bytes
        .split_at_checked(CHECKSUM_BYTES)
        .ok_or(Error::Corrupt(slot))?;
    if Digest::of(payload).bytes() != checksum {
        return Err(Error::Corrupt(slot));
    }
    let (row, _) =
        bincode::serde::decode_from_slice(payload, config()).map_err(|_| Error::Corrupt(slot))?;
    Ok(row)
}
