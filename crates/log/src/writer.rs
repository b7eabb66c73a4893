//! Group commit: the driver that runs [`Commit`] on the store.

use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use smol::future::FutureExt;
use store::Client;
use store::Outcome;
use store::api::Transaction;
use units::{Incarnation, Slot, Span};

use crate::batch::{State, Writer, open_transaction};
use crate::commit::{Commit, Next, Reply};
use crate::error::{Error, Result};
use crate::event::{Record, text_bytes};
use crate::takeover::{read_successor, read_writer, retry};

const APPENDS_MAX: usize = 4_096;
/// Number of waiting appends from which on no new work should begin; the remainder of the queue is
/// for the events of work in progress.
const APPENDS_FULL: usize = APPENDS_MAX / 2;
const BATCH_RECORDS_MAX: usize = 512;
/// No append joins a batch that has so many bytes: the longest append then fits as well into an object.
const BATCH_JOIN_MAX_BYTES: usize = 1 << 20;
/// Mean time between commits under load, as all entries share the table's writes.
const COMMIT_INTERVAL: Span = Span::from_ms(10);
/// Maximum idle time credited to later commits, which may then follow each other without a wait.
const COMMIT_BURST: Span = Span::from_ms(100);
const RETRY_DELAY: Span = Span::from_ms(50);
const IDLE_CHECK_INTERVAL: Span = Span::from_ms(1_000);

/// A request of a handle to its log.
#[derive(Debug)]
enum Request {
    Append(Append),
    Close(Close),
    Check(Sender<Result<()>>),
}

/// A request to seal the log in favour of `successor`.
#[derive(Debug)]
struct Close {
    successor: Incarnation,
    done: Sender<Result<Slot>>,
}

/// Records that wait for their batch to be committed.
#[derive(Debug)]
struct Append {
    records: Vec<Record>,
    done: Sender<Result<Slot>>,
}

impl Append {
    /// Returns the length of the inputs and answers in the records.
    fn text_bytes(&self) -> usize {
        text_bytes(&self.records)
    }
}

/// Appends to a log from any thread.
#[derive(Clone, Debug)]
pub struct Handle {
    writer: Incarnation,
    requests: Sender<Request>,
}

impl Handle {
    /// Returns the log's writer.
    pub fn writer(&self) -> Incarnation {
        self.writer
    }

    /// Returns whether the log has ended and accepts no more appends.
    pub fn is_closed(&self) -> bool {
        self.requests.is_closed()
    }

    /// Returns whether so many appends wait that no new work should begin.
    pub fn is_full(&self) -> bool {
        self.requests.len() >= APPENDS_FULL
    }

    /// Appends `records` in order and returns their slot once they are durable.
    ///
    /// Waits while the store is unavailable.
    ///
    /// # Errors
    /// [`Error::Sealed`] if another writer has taken the log over; [`Error::Closed`] afterwards.
    pub async fn append(&self, records: Vec<Record>) -> Result<Slot> {
        let (done, result) = async_channel::bounded(1);
        let append = Request::Append(Append { records, done });
        self.requests
            .send(append)
            .await
            .map_err(|_| Error::Closed)?;
        result.recv().await.map_err(|_| Error::Closed)?
    }

    /// Checks that the log has not been sealed; it counts as open if the store does not respond.
    ///
    /// # Errors
    /// [`Error::Sealed`] if another writer has taken the log over; [`Error::Closed`] afterwards.
    pub async fn check(&self) -> Result<()> {
        let (done, result) = async_channel::bounded(1);
        let check = Request::Check(done);
        self.requests.send(check).await.map_err(|_| Error::Closed)?;
        result.recv().await.map_err(|_| Error::Closed)?
    }

    /// Seals the log in favour of `successor` once all earlier appends are durable.
    ///
    /// # Errors
    /// [`Error::Sealed`] if another writer has taken the log over. [`Error::SuccessorNotOpen`] if
    /// the successor's log is not open; this log then stays open.
    pub async fn close(&self, successor: Incarnation) -> Result<Slot> {
        let (done, result) = async_channel::bounded(1);
        let close = Request::Close(Close { successor, done });
        self.requests.send(close).await.map_err(|_| Error::Closed)?;
        result.recv().await.map_err(|_| Error::Closed)?
    }
}

/// The writing end of an open log.
#[derive(Debug)]
pub struct Log {
    client: Client,
    commit: Commit,
    /// Earliest start of the next commit.
    earliest: Instant,
    requests: Receiver<Request>,
}

/// Opens a new log for `writer`.
///
/// # Errors
/// [`Error::Platform`] if the store is unavailable; an entry without a log only forwards requests.
/// [`Error::Foreign`] if the writer row belongs to another process.
pub async fn open(client: Client, writer: Incarnation, row: Writer) -> Result<(Log, Handle)> {
    let version = match client.commit(&open_transaction(writer, &row)?).await? {
        Outcome::Committed(version) => version,
        Outcome::Conflict(_) => {
            // Either an earlier attempt was committed and its response lost, or another process has
            // this writer's incarnation.
            let found = read_writer(&client, writer).await?;
            let found = found.filter(|found| found.row.process == row.process);
            found.ok_or(Error::Foreign(Slot(0)))?.version
        }
    };
    let (sender, requests) = async_channel::bounded(APPENDS_MAX);
    let log = Log {
        client,
        commit: Commit::new(writer, row, version),
        earliest: Instant::now(),
        requests,
    };
    Ok((
        log,
        Handle {
            writer,
            requests: sender,
        },
    ))
}

impl Log {
    /// Commits appends until the log is sealed or every handle is dropped.
    ///
    /// # Errors
    /// [`Error::Sealed`] if another writer has taken the log over.
    pub async fn run(mut self) -> Result<()> {
        while let Some(request) = self.next_request().await? {
            match request {
                Request::Append(first) => {
                    if let Some(Request::Close(close)) = self.append(first).await?
                        && self.close(close).await?
                    {
                        return Ok(());
                    }
                }
                Request::Check(done) => self.answer_check(done).await?,
                Request::Close(close) => {
                    if self.close(close).await? {
                        return Ok(());
                    }
                }
            }
        }
        Ok(())
    }

    /// Returns the next request; while there is none, checks regularly that the log is not sealed.
    async fn next_request(&self) -> Result<Option<Request>> {
        loop {
            let request = async { Some(self.requests.recv().await.ok()) };
            let idle = async {
                smol::Timer::after(IDLE_CHECK_INTERVAL.into()).await;
                None
            };
            if let Some(request) = request.or(idle).await {
                return Ok(request);
            }
            self.check().await?;
        }
    }

    /// Checks that the log has not been sealed.
    async fn check(&self) -> Result<()> {
        if let Ok(Some(found)) = read_writer(&self.client, self.commit.writer()).await
            && let State::Sealed(successor) = found.row.state
        {
            return Err(Error::Sealed(found.row.next_slot, successor));
        }
        Ok(())
    }

    /// Commits `first` and the appends queued after it; returns a request to close the log that was
    /// queued after them.
    async fn append(&mut self, first: Append) -> Result<Option<Request>> {
        // Appends received during the wait are committed in the same batch.
        smol::Timer::at(self.earliest).await;
        let burst_start = Instant::now().checked_sub(COMMIT_BURST.into());
        let base = burst_start.map_or(self.earliest, |burst_start| self.earliest.max(burst_start));
        self.earliest = base + Duration::from(COMMIT_INTERVAL);
        let (group, other) = self.collect_group(first);
        let records = group
            .iter()
            .flat_map(|append| append.records.clone())
            .collect();
        let first_step = self.commit.begin_batch(records, rand::random());
        let result = self.drive(first_step).await;
        for append in group {
            // The task that waits may have been dropped; this does not affect the batch.
            let _ = append.done.send(copy_result(&result)).await;
        }
        result?;
        match other {
            Some(Request::Check(done)) => {
                self.answer_check(done).await?;
                Ok(None)
            }
            other => Ok(other),
        }
    }

    /// Checks the log and sends the result to `done`.
    async fn answer_check(&self, done: Sender<Result<()>>) -> Result<()> {
        let result = self.check().await;
        // The task that waits may have been dropped.
        let _ = done
            .send(result.as_ref().map_or_else(copy_error, |()| Ok(())))
            .await;
        result
    }

    fn collect_group(&self, first: Append) -> (Vec<Append>, Option<Request>) {
        let mut size = first.records.len();
        let mut bytes = first.text_bytes();
        let mut group = vec![first];
        while size < BATCH_RECORDS_MAX && bytes < BATCH_JOIN_MAX_BYTES {
            match self.requests.try_recv() {
                Ok(Request::Append(append)) => {
                    size += append.records.len();
                    bytes += append.text_bytes();
                    group.push(append);
                }
                Ok(other) => return (group, Some(other)),
                Err(_) => break,
            }
        }
        (group, None)
    }

    /// Seals the log; returns false if the successor's log is not open.
    async fn close(&mut self, close: Close) -> Result<bool> {
        let result = self.seal(close.successor).await;
        // The task that waits may have been dropped; this does not affect the seal.
        let _ = close.done.send(copy_result(&result)).await;
        match result {
            Ok(_) => Ok(true),
            Err(Error::SuccessorNotOpen(_)) => Ok(false),
            Err(error) => Err(error),
        }
    }

    async fn seal(&mut self, successor: Incarnation) -> Result<Slot> {
        let successor_log = retry(async || read_successor(&self.client, successor).await).await?;
        let first_step = self.commit.begin_seal(successor_log);
        self.drive(first_step).await
    }

    /// Performs the steps of the state machine until the operation is done.
    async fn drive(&mut self, first_step: Result<Next>) -> Result<Slot> {
        let mut next = first_step?;
        loop {
            let reply = match next {
                Next::Store { key, bytes } => self.store(&key, bytes).await,
                Next::Write(transaction) => self.write(&transaction).await,
                Next::Read => self.read().await,
                Next::Wait => {
                    smol::Timer::after(RETRY_DELAY.into()).await;
                    Reply::Waited
                }
                Next::Done(slot) => return Ok(slot),
            };
            next = self.commit.step(reply)?;
        }
    }

    async fn store(&self, key: &str, bytes: Vec<u8>) -> Reply {
        match self.client.put_object(key, bytes).await {
            Ok(()) => Reply::Stored,
            Err(_) => Reply::Refused,
        }
    }

    async fn write(&self, transaction: &Transaction) -> Reply {
        match self.client.commit(transaction).await {
            Ok(Outcome::Committed(version)) => Reply::Committed(version),
            Ok(Outcome::Conflict(_)) => Reply::Conflict,
            Err(error) if error.is_uncertain() => Reply::Lost,
            Err(_) => Reply::Refused,
        }
    }

    async fn read(&self) -> Reply {
        match read_writer(&self.client, self.commit.writer()).await {
            Ok(Some(found)) => Reply::Row(found.row, found.version),
            Ok(None) | Err(_) => Reply::Unread,
        }
    }
}

/// Copies the result of a batch for one of its appends.
fn copy_result(result: &Result<Slot>) -> Result<Slot> {
    result.as_ref().map_or_else(copy_error, |slot| Ok(*slot))
}

/// Copies an error for one of the requests that wait; an error without a copy becomes `Closed`.
fn copy_error<T>(error: &Error) -> Result<T> {
    Err(match error {
        Error::Sealed(slot, successor) => Error::Sealed(*slot, *successor),
        Error::SuccessorNotOpen(writer) => Error::SuccessorNotOpen(*writer),
        _ => Error::Closed,
    })
}
