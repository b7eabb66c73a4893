//! Group commit.

use std::net::SocketAddr;

use async_channel::{Receiver, Sender};
use platform::Client;
use platform::api::{Outcome, Transaction};
use units::{Host, Incarnation, Slot, Span};

use crate::batch::{Batch, State, Writer, batch_key, decode, encode, writer_key};
use crate::error::{Error, Result};
use crate::event::Record;

const APPENDS_MAX: usize = 4_096;
const BATCH_RECORDS_MAX: usize = 512;
const RETRY_DELAY: Span = Span::from_ms(50);

/// An append waiting for its batch.
#[derive(Debug)]
struct Append {
    records: Vec<Record>,
    done: Sender<Result<Slot>>,
}

/// Appends to a log from any thread.
#[derive(Clone, Debug)]
pub struct Handle {
    writer: Incarnation,
    appends: Sender<Append>,
}

impl Handle {
    /// The log's writer.
    pub fn writer(&self) -> Incarnation {
        self.writer
    }

    /// Appends `records` in order and returns their slot once they are durable.
    ///
    /// Waits as long as the platform's service is down.
    ///
    /// # Errors
    /// [`Error::Sealed`] if another writer has taken the log over; [`Error::Closed`] afterwards.
    pub async fn append(&self, records: Vec<Record>) -> Result<Slot> {
        let (done, answer) = async_channel::bounded(1);
        let append = Append { records, done };
        self.appends.send(append).await.map_err(|_| Error::Closed)?;
        answer.recv().await.map_err(|_| Error::Closed)?
    }
}

/// The writing end of an open log.
#[derive(Debug)]
pub struct Log {
    client: Client,
    writer: Incarnation,
    row: Writer,
    version: u64,
    appends: Receiver<Append>,
}

/// Opens a new log for `writer`.
///
/// # Errors
/// [`Error::Platform`] if the service is down: an entry without a log may only forward.
pub async fn open(
    client: Client,
    writer: Incarnation,
    host: Host,
    address: SocketAddr,
) -> Result<(Log, Handle)> {
    let row = Writer {
        state: State::Open,
        next: Slot(0),
        host,
        address,
    };
    let key = writer_key(writer);
    let transaction = Transaction::default()
        .with_check(&key, 0)
        .with_write(&key, encode(&row)?);
    client.commit(&transaction).await?;
    let (sender, appends) = async_channel::bounded(APPENDS_MAX);
    let log = Log {
        client,
        writer,
        row,
        version: 1,
        appends,
    };
    Ok((
        log,
        Handle {
            writer,
            appends: sender,
        },
    ))
}

/// What became of one try to commit a batch.
enum Attempt {
    Committed,
    Absent,
    Sealed(Incarnation),
}

impl Log {
    /// Commits appends until the log is sealed or every handle is dropped.
    pub async fn run(mut self) -> Result<()> {
        while let Ok(first) = self.appends.recv().await {
            let group = self.gather(first);
            let records = group
                .iter()
                .flat_map(|append| append.records.clone())
                .collect();
            let result = self.commit(records).await;
            let sealed = match &result {
                Err(Error::Sealed(slot, by)) => Some((*slot, *by)),
                _ => None,
            };
            for append in group {
                let answer = match (&result, sealed) {
                    (Ok(slot), _) => Ok(*slot),
                    (Err(_), Some((slot, by))) => Err(Error::Sealed(slot, by)),
                    (Err(_), None) => Err(Error::Closed),
                };
                // The program's owner may have gone away; the record is durable all the same.
                let _ = append.done.send(answer).await;
            }
            result?;
        }
        Ok(())
    }

    /// Takes what has queued up behind `first`.
    fn gather(&self, first: Append) -> Vec<Append> {
        let mut size = first.records.len();
        let mut group = vec![first];
        while size < BATCH_RECORDS_MAX {
            let Ok(append) = self.appends.try_recv() else {
                break;
            };
            size += append.records.len();
            group.push(append);
        }
        group
    }

    async fn commit(&mut self, records: Vec<Record>) -> Result<Slot> {
        let slot = self.row.next;
        let batch = Batch {
            id: rand::random(),
            writer: self.writer,
            slot,
            records,
        };
        loop {
            match self.try_commit(&batch).await {
                Ok(Attempt::Committed) => {
                    self.row.next = slot.next();
                    self.version += 1;
                    return Ok(slot);
                }
                Ok(Attempt::Sealed(by)) => return Err(Error::Sealed(slot, by)),
                Ok(Attempt::Absent) | Err(Error::Platform(_)) => {
                    smol::Timer::after(RETRY_DELAY.into()).await;
                }
                Err(error) => return Err(error),
            }
        }
    }

    async fn try_commit(&self, batch: &Batch) -> Result<Attempt> {
        let key = writer_key(self.writer);
        let row = Writer {
            next: batch.slot.next(),
            ..self.row.clone()
        };
        let transaction = Transaction::default()
            .with_check(&key, self.version)
            .with_write(&key, encode(&row)?)
            .with_write(&batch_key(self.writer, batch.slot), encode(batch)?);
        match self.client.commit(&transaction).await {
            Ok(Outcome::Committed) => Ok(Attempt::Committed),
            Err(error) if !error.is_uncertain() => Err(error.into()),
            Ok(Outcome::Conflict(_)) | Err(_) => self.read_back(batch).await,
        }
    }

    /// Finds out what became of a batch whose answer was lost or which met a conflict.
    async fn read_back(&self, batch: &Batch) -> Result<Attempt> {
        let key = writer_key(self.writer);
        let Some(row) = self.client.row(&key).await? else {
            return Err(Error::Corrupt(batch.slot));
        };
        let writer: Writer = decode(&row.value.0, batch.slot)?;
        let stored = self.client.row(&batch_key(self.writer, batch.slot)).await?;
        if let Some(stored) = stored {
            let stored: Batch = decode(&stored.value.0, batch.slot)?;
            return if stored.id == batch.id {
                Ok(Attempt::Committed)
            } else {
                Err(Error::Foreign(batch.slot))
            };
        }
        match writer.state {
            State::Sealed(by) => Ok(Attempt::Sealed(by)),
            State::Open => Ok(Attempt::Absent),
        }
    }
}
