//! The rows of a log and their encoding.

use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use store::Client;
use store::api::Transaction;
use units::{Digest, Host, Incarnation, Slot};

use crate::error::{Error, Result};
use crate::event::{Record, text_bytes};

const ROW_MAX_BYTES: usize = 16 << 20;
const CHECKSUM_BYTES: usize = 32;
/// Longest row; the store takes it in base64.
const ROW_VALUE_MAX_BYTES: usize = (64 << 10) / 4 * 3;
/// Enters the checksum of a row that refers to an object, so that it is not taken for a batch.
const REFERENCE: &[u8] = b"object";

/// The writer row of a log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Writer {
    /// Whether the log accepts batches.
    pub state: State,
    /// The slot of the next batch.
    pub next_slot: Slot,
    /// Identifier of the last batch; 0 if the log has none.
    pub last_batch: u64,
    /// The process that writes the log. A process may open several logs in sequence.
    pub process: Incarnation,
    /// The process's host.
    pub host: Host,
    /// The process's address for balsamhold's own processes.
    pub address: SocketAddr,
}

impl Writer {
    /// Creates the row of a new log of `process`.
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

    /// Decodes a writer row of the table.
    ///
    /// # Errors
    /// [`Error::Corrupt`] if `bytes` is no writer row.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        decode(bytes, Slot(0))
    }
}

/// Whether a log accepts batches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The log's writer may append.
    Open,
    /// Nothing may be appended; only this writer may adopt the log's programs.
    Sealed(Incarnation),
}

/// One batch of a log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Random identifier, by which the writer row shows that this batch was written if the response
    /// to the write was lost.
    pub id: u64,
    /// The writer.
    pub writer: Incarnation,
    /// The batch's slot.
    pub slot: Slot,
    /// The events of many programs, in order.
    pub records: Vec<Record>,
}

impl Batch {
    /// Returns the length of the inputs and answers in the batch.
    pub(crate) fn text_bytes(&self) -> usize {
        text_bytes(&self.records)
    }

    /// Decodes a batch row of the table.
    ///
    /// # Errors
    /// [`Error::Corrupt`] if `bytes` is no batch row.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        decode(bytes, Slot(0))
    }
}

/// Returns the key of a log's writer row.
pub fn writer_key(writer: Incarnation) -> String {
    format!("writer.{writer}")
}

/// Returns the key of a batch row; the keys of a log sort by slot.
pub fn batch_key(writer: Incarnation, slot: Slot) -> String {
    format!("log.{writer}.{:016x}", slot.0)
}

/// Returns the key of the object that holds a batch which is longer than a row.
pub(crate) fn object_key(writer: Incarnation, batch: u64) -> String {
    format!("batch.{writer}.{batch:016x}")
}

/// Returns whether an encoded batch is stored as a row, not as an object.
pub(crate) fn fits_into_row(bytes: &[u8]) -> bool {
    bytes.len() <= ROW_VALUE_MAX_BYTES
}

/// Returns the row that refers to the object with the batch of this identifier.
pub(crate) fn reference(batch: u64) -> Vec<u8> {
    let mut bytes = reference_checksum(batch).bytes().to_vec();
    bytes.extend(batch.to_be_bytes());
    bytes
}

fn reference_checksum(batch: u64) -> Digest {
    let mut bytes = REFERENCE.to_vec();
    bytes.extend(batch.to_be_bytes());
    Digest::of(&bytes)
}

/// Returns the identifier of the batch if the row refers to an object.
fn read_reference(row: &[u8]) -> Option<u64> {
    let (checksum, batch) = row.split_at_checked(CHECKSUM_BYTES)?;
    let batch = u64::from_be_bytes(batch.try_into().ok()?);
    (reference_checksum(batch).bytes() == checksum).then_some(batch)
}

/// Returns the batch of a row, from the object that the row refers to if it is longer than a row.
///
/// # Errors
/// [`Error::Platform`] if the store does not respond; [`Error::Corrupt`] if the row or the object is
/// missing or cannot be decoded.
pub(crate) async fn read_batch(
    client: &Client,
    writer: Incarnation,
    slot: Slot,
    row: &[u8],
) -> Result<Batch> {
    let Some(batch) = read_reference(row) else {
        return decode(row, slot);
    };
    let object = client.object(&object_key(writer, batch)).await?;
    decode(&object.ok_or(Error::Corrupt(slot))?, slot)
}

/// Returns the key of the row that marks a log as open; sealing the log deletes the row.
pub fn open_key(writer: Incarnation) -> String {
    format!("open.{writer}")
}

/// Returns the key of the row that marks `successor` as the successor of the log of `writer`.
pub fn predecessor_key(successor: Incarnation, writer: Incarnation) -> String {
    format!("inherited.{successor}.{writer}")
}

/// Returns the transaction that opens a log.
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

/// A log that was open when it was read, as the possible successor of a log to be sealed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Successor {
    /// The log's writer.
    pub writer: Incarnation,
    /// Version of the row that marks the log as open.
    pub open_version: u64,
}

/// Returns the transaction that seals the log of `writer`, whose writer row is `row` at `version`.
///
/// The transaction requires that the successor's log is open, so that chains of successors have no
/// cycles and end in a log that can adopt.
///
/// # Errors
/// [`Error::Encode`] if the row cannot be encoded.
pub fn seal_transaction(
    writer: Incarnation,
    row: &Writer,
    version: u64,
    successor: Successor,
) -> Result<Transaction> {
    let successor_writer = successor.writer;
    let sealed = Writer {
        state: State::Sealed(successor_writer),
        ..row.clone()
    };
    let bytes = encode(&sealed)?;
    let key = writer_key(writer);
    Ok(Transaction::default()
        .with_check(&key, version)
        .with_check(&open_key(successor_writer), successor.open_version)
        .with_write(&key, bytes.clone())
        .with_write(&predecessor_key(successor_writer, writer), bytes)
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

/// Decodes a row; `slot` identifies the row in errors.
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
