//! The commit of batches as a state machine without I/O.
//!
//! The driver performs the step that [`Next`] requests and passes its result as a [`Reply`].
//! Invariants:
//! - A batch is reported as committed only after its transaction was acknowledged, or after the
//!   writer row was read and names the batch as the last one.
//! - Nothing is written once the writer row was read as sealed.
//! - The object of a batch that is longer than a row is stored before the row that refers to it.

use store::api::Transaction;
use units::{Incarnation, Slot};

use crate::batch::{
    Batch, State, Successor, Writer, batch_key, encode, fits_into_row, object_key, reference,
    seal_transaction, writer_key,
};
use crate::error::{Error, Result};
use crate::event::Record;

/// The next step of the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    /// Stores this object, which replaces an existing one.
    Store {
        /// The object's key.
        key: String,
        /// The object.
        bytes: Vec<u8>,
    },
    /// Runs this transaction.
    Write(Transaction),
    /// Reads the writer row.
    Read,
    /// Waits for the retry delay, then passes [`Reply::Waited`].
    Wait,
    /// The batch in this slot is durable, or the log is sealed as requested.
    Done(Slot),
}

/// Result of a step of the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The object was stored.
    Stored,
    /// The transaction was committed as this version.
    Committed(u64),
    /// A row had another version; nothing was written.
    Conflict,
    /// The store did not run the transaction, or the object may not be stored.
    Refused,
    /// The response was lost; the transaction may have run or may still run.
    Lost,
    /// The writer row and its version.
    Row(Writer, u64),
    /// The writer row could not be read.
    Unread,
    /// The wait is over.
    Waited,
}

/// The operation in progress.
#[derive(Clone, Debug, PartialEq)]
enum Operation {
    Batch(Batch),
    Seal(Successor),
}

/// The writing end of a log, without I/O.
#[derive(Clone, Debug)]
pub struct Commit {
    writer: Incarnation,
    row: Writer,
    /// Version of the writer row.
    version: u64,
    operation: Option<Operation>,
    /// Whether the object of the operation's batch is stored.
    is_object_stored: bool,
    /// Whether a response was lost since the writer row was last read.
    in_doubt: bool,
    /// Whether a transaction had a conflict since the writer row was last read.
    had_conflict: bool,
}

impl Commit {
    /// Creates the writing end of a log whose writer row was just written as `version`.
    pub fn new(writer: Incarnation, row: Writer, version: u64) -> Self {
        Commit {
            writer,
            row,
            version,
            operation: None,
            is_object_stored: false,
            in_doubt: false,
            had_conflict: false,
        }
    }

    /// Returns the log's writer.
    pub fn writer(&self) -> Incarnation {
        self.writer
    }

    /// Begins to write a batch with the random identifier `id`.
    ///
    /// # Errors
    /// [`Error::Encode`] if the records cannot be encoded.
    pub fn begin_batch(&mut self, records: Vec<Record>, id: u64) -> Result<Next> {
        let batch = Batch {
            id,
            writer: self.writer,
            slot: self.row.next_slot,
            records,
        };
        self.operation = Some(Operation::Batch(batch));
        self.is_object_stored = false;
        self.write()
    }

    /// Begins to seal the log in favour of `successor`.
    ///
    /// # Errors
    /// [`Error::Encode`] if the row cannot be encoded.
    pub fn begin_seal(&mut self, successor: Successor) -> Result<Next> {
        self.operation = Some(Operation::Seal(successor));
        self.write()
    }

    /// Continues the operation with the result of a step.
    ///
    /// # Errors
    /// [`Error::Sealed`] if another writer has sealed the log; the batch is not in it and never
    /// will be. [`Error::Foreign`] if another process writes to the log.
    /// [`Error::SuccessorNotOpen`] if the successor's log is not open; this log then stays open.
    pub fn step(&mut self, reply: Reply) -> Result<Next> {
        match reply {
            Reply::Stored => {
                self.is_object_stored = true;
                self.write()
            }
            Reply::Committed(version) => Ok(self.record_commit(version)),
            Reply::Conflict => {
                self.had_conflict = true;
                Ok(Next::Read)
            }
            Reply::Lost => {
                self.in_doubt = true;
                Ok(Next::Read)
            }
            Reply::Refused | Reply::Unread => Ok(Next::Wait),
            Reply::Waited if self.in_doubt => Ok(Next::Read),
            Reply::Waited => self.write(),
            Reply::Row(row, version) => self.resolve(row, version),
        }
    }

    fn write(&self) -> Result<Next> {
        let transaction = match &self.operation {
            Some(Operation::Batch(batch)) => {
                let bytes = encode(batch)?;
                if fits_into_row(&bytes) {
                    self.append_transaction(batch, bytes)?
                } else if self.is_object_stored {
                    self.append_transaction(batch, reference(batch.id))?
                } else {
                    let key = object_key(self.writer, batch.id);
                    return Ok(Next::Store { key, bytes });
                }
            }
            Some(Operation::Seal(successor)) => {
                seal_transaction(self.writer, &self.row, self.version, *successor)?
            }
            None => return Err(Error::Closed),
        };
        Ok(Next::Write(transaction))
    }

    /// Returns the transaction that appends a batch with this row.
    fn append_transaction(&self, batch: &Batch, bytes: Vec<u8>) -> Result<Transaction> {
        let key = writer_key(self.writer);
        let row = Writer {
            next_slot: batch.slot.next(),
            last_batch: batch.id,
            ..self.row.clone()
        };
        Ok(Transaction::default()
            .with_check(&key, self.version)
            .with_write(&key, encode(&row)?)
            .with_write(&batch_key(self.writer, batch.slot), bytes))
    }

    fn record_commit(&mut self, version: u64) -> Next {
        let slot = self.row.next_slot;
        self.version = version;
        self.in_doubt = false;
        self.had_conflict = false;
        match self.operation.take() {
            Some(Operation::Batch(batch)) => {
                self.row.next_slot = slot.next();
                self.row.last_batch = batch.id;
            }
            Some(Operation::Seal(successor)) => self.row.state = State::Sealed(successor.writer),
            None => {}
        }
        Next::Done(slot)
    }

    /// Determines the outcome of the operation from the writer row.
    fn resolve(&mut self, row: Writer, version: u64) -> Result<Next> {
        let slot = self.row.next_slot;
        let is_applied = match &self.operation {
            Some(Operation::Batch(batch)) => {
                row.next_slot == slot.next() && row.last_batch == batch.id
            }
            Some(Operation::Seal(successor)) => {
                row.next_slot == slot && row.state == State::Sealed(successor.writer)
            }
            None => false,
        };
        if is_applied {
            // Once the log is sealed, the version before the seal is kept, so that no later or
            // delayed write can succeed.
            let is_open = row.state == State::Open;
            return Ok(self.record_commit(if is_open { version } else { self.version }));
        }
        let had_conflict = std::mem::take(&mut self.had_conflict);
        match row.state {
            _ if row.next_slot != slot => Err(Error::Foreign(row.next_slot)),
            State::Sealed(successor) => Err(Error::Sealed(slot, successor)),
            State::Open if version != self.version => Err(Error::Foreign(slot)),
            State::Open if had_conflict => match self.operation.take() {
                // The writer row has the required version, so the successor's row has another.
                Some(Operation::Seal(successor)) => Err(Error::SuccessorNotOpen(successor.writer)),
                _ => Err(Error::Foreign(slot)),
            },
            State::Open => {
                // The earlier transaction may still arrive. As both require the same version, the
                // new one then has a conflict, and the row is read again.
                self.in_doubt = false;
                self.write()
            }
        }
    }
}
