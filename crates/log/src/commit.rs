//! The commit of batches as a state machine without I/O.
//!
//! The driver does what [`Next`] says and passes on what came of it. Invariants:
//! - A batch is reported as committed only after its transaction was acknowledged, or after the
//!   writer row was read back and names the batch as its last.
//! - Nothing is written once the writer row was seen to be sealed.

use store::api::Transaction;
use units::{Incarnation, Slot};

use crate::batch::{
    Batch, State, Successor, Writer, batch_key, encode, seal_transaction, writer_key,
};
use crate::error::{Error, Result};
use crate::event::Record;

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    /// Run this transaction.
    Write(Transaction),
    /// Read the writer row.
    Read,
    /// Wait a little, then go on with [`Reply::Waited`].
    Wait,
    /// The batch in this slot is durable, or the log is sealed as it was asked for.
    Done(Slot),
}

/// What came of it.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The transaction was committed as this version.
    Committed(u64),
    /// A row had another version; nothing was written.
    Conflict,
    /// The service did not run the transaction.
    Refused,
    /// The answer was lost: the transaction may have run or may run yet.
    Lost,
    /// The writer row and its version.
    Row(Writer, u64),
    /// The writer row could not be read.
    Unread,
    /// The wait is over.
    Waited,
}

/// What is being written.
#[derive(Clone, Debug, PartialEq)]
enum Order {
    Batch(Batch),
    Seal(Successor),
}

/// The writing end of a log, without I/O.
#[derive(Clone, Debug)]
pub struct Commit {
    writer: Incarnation,
    row: Writer,
    version: u64,
    order: Option<Order>,
    in_doubt: bool,
    conflict: bool,
}

impl Commit {
    /// The writing end of a log whose row has just been written as `version`.
    pub fn new(writer: Incarnation, row: Writer, version: u64) -> Self {
        Commit {
            writer,
            row,
            version,
            order: None,
            in_doubt: false,
            conflict: false,
        }
    }

    /// The log's writer.
    pub fn writer(&self) -> Incarnation {
        self.writer
    }

    /// Begins a batch with the random number `id`.
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
        self.order = Some(Order::Batch(batch));
        self.write()
    }

    /// Begins the end of the log, in favour of `heir`.
    ///
    /// # Errors
    /// [`Error::Encode`] if the row cannot be encoded.
    pub fn begin_seal(&mut self, heir: Successor) -> Result<Next> {
        self.order = Some(Order::Seal(heir));
        self.write()
    }

    /// Goes on after a reply.
    ///
    /// # Errors
    /// [`Error::Sealed`] if another writer has sealed the log; the batch is not in it and never will
    /// be. [`Error::Foreign`] if somebody else writes to it. [`Error::SuccessorNotOpen`] if the log cannot be
    /// sealed because its successor's is not open; it goes on then.
    pub fn step(&mut self, reply: Reply) -> Result<Next> {
        match reply {
            Reply::Committed(version) => Ok(self.committed(version)),
            Reply::Conflict => {
                self.conflict = true;
                Ok(Next::Read)
            }
            Reply::Lost => {
                self.in_doubt = true;
                Ok(Next::Read)
            }
            Reply::Refused | Reply::Unread => Ok(Next::Wait),
            Reply::Waited if self.in_doubt => Ok(Next::Read),
            Reply::Waited => self.write(),
            Reply::Row(row, version) => self.settle(row, version),
        }
    }

    fn write(&self) -> Result<Next> {
        let transaction = match &self.order {
            Some(Order::Batch(batch)) => self.append(batch)?,
            Some(Order::Seal(heir)) => {
                seal_transaction(self.writer, &self.row, self.version, *heir)?
            }
            None => return Err(Error::Closed),
        };
        Ok(Next::Write(transaction))
    }

    fn append(&self, batch: &Batch) -> Result<Transaction> {
        let key = writer_key(self.writer);
        let row = Writer {
            next_slot: batch.slot.next(),
            last_batch: batch.id,
            ..self.row.clone()
        };
        Ok(Transaction::default()
            .with_check(&key, self.version)
            .with_write(&key, encode(&row)?)
            .with_write(&batch_key(self.writer, batch.slot), encode(batch)?))
    }

    fn committed(&mut self, version: u64) -> Next {
        let slot = self.row.next_slot;
        self.version = version;
        self.in_doubt = false;
        self.conflict = false;
        match self.order.take() {
            Some(Order::Batch(batch)) => {
                self.row.next_slot = slot.next();
                self.row.last_batch = batch.id;
            }
            Some(Order::Seal(heir)) => self.row.state = State::Sealed(heir.writer),
            None => {}
        }
        Next::Done(slot)
    }

    /// Finds out from the row what became of the order.
    fn settle(&mut self, row: Writer, version: u64) -> Result<Next> {
        let slot = self.row.next_slot;
        let ours = match &self.order {
            Some(Order::Batch(batch)) => row.next_slot == slot.next() && row.last_batch == batch.id,
            Some(Order::Seal(heir)) => {
                row.next_slot == slot && row.state == State::Sealed(heir.writer)
            }
            None => false,
        };
        if ours {
            // Once the log is sealed no write may succeed, not even one that arrives late: the
            // version before the seal is kept.
            let open = row.state == State::Open;
            return Ok(self.committed(if open { version } else { self.version }));
        }
        let conflict = std::mem::take(&mut self.conflict);
        match row.state {
            _ if row.next_slot != slot => Err(Error::Foreign(row.next_slot)),
            State::Sealed(by) => Err(Error::Sealed(slot, by)),
            State::Open if version != self.version => Err(Error::Foreign(slot)),
            State::Open if conflict => match self.order.take() {
                // Of the versions that a seal asks for, it must be the successor's that differs.
                Some(Order::Seal(heir)) => Err(Error::SuccessorNotOpen(heir.writer)),
                _ => Err(Error::Foreign(slot)),
            },
            State::Open => {
                // A delayed transaction may still arrive. Then this one, which asks for the same
                // version, meets a conflict and is read back again.
                self.in_doubt = false;
                self.write()
            }
        }
    }
}
