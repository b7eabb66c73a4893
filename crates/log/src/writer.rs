//! Group commit: the driver of [`Commit`] on the platform's service.

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
use crate::event::Record;
use crate::takeover::{insist, read_successor, read_writer};

const APPENDS_MAX: usize = 4_096;
/// Leaves room for what the work under way still has to record.
const APPENDS_FULL: usize = APPENDS_MAX / 2;
const BATCH_RECORDS_MAX: usize = 512;
/// Mean time between commits under load: all entries share the table's writes.
const COMMIT_INTERVAL: Span = Span::from_ms(10);
/// Commits of so long an idle time may follow each other without a wait.
const COMMIT_BURST: Span = Span::from_ms(100);
const RETRY_DELAY: Span = Span::from_ms(50);
const IDLE_CHECK_INTERVAL: Span = Span::from_ms(1_000);

/// What a log is asked to do.
#[derive(Debug)]
enum Order {
    Append(Append),
    Close(Close),
    Check(Sender<Result<()>>),
}

/// The end of the log, in favour of a successor.
#[derive(Debug)]
struct Close {
    successor: Incarnation,
    done: Sender<Result<Slot>>,
}

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
    orders: Sender<Order>,
}

impl Handle {
    /// The log's writer.
    pub fn writer(&self) -> Incarnation {
        self.writer
    }

    /// Whether the log is known to take no more appends.
    pub fn is_closed(&self) -> bool {
        self.orders.is_closed()
    }

    /// Whether so many appends wait that no new work should begin.
    pub fn is_full(&self) -> bool {
        self.orders.len() >= APPENDS_FULL
    }

    /// Appends `records` in order and returns their slot once they are durable.
    ///
    /// Waits as long as the platform's service is down.
    ///
    /// # Errors
    /// [`Error::Sealed`] if another writer has taken the log over; [`Error::Closed`] afterwards.
    pub async fn append(&self, records: Vec<Record>) -> Result<Slot> {
        let (done, answer) = async_channel::bounded(1);
        let append = Order::Append(Append { records, done });
        self.orders.send(append).await.map_err(|_| Error::Closed)?;
        answer.recv().await.map_err(|_| Error::Closed)?
    }

    /// Looks whether the log has been sealed; without an answer of the service it counts as open.
    ///
    /// # Errors
    /// [`Error::Sealed`] if another writer has taken the log over, [`Error::Closed`] afterwards.
    pub async fn check(&self) -> Result<()> {
        let (done, answer) = async_channel::bounded(1);
        let check = Order::Check(done);
        self.orders.send(check).await.map_err(|_| Error::Closed)?;
        answer.recv().await.map_err(|_| Error::Closed)?
    }

    /// Seals the log in favour of `successor` once all earlier appends are durable.
    ///
    /// # Errors
    /// [`Error::Sealed`] if another writer has taken the log over; [`Error::SuccessorNotOpen`] if the
    /// successor's log is not open, in which case this one stays open.
    pub async fn close(&self, successor: Incarnation) -> Result<Slot> {
        let (done, answer) = async_channel::bounded(1);
        let close = Order::Close(Close { successor, done });
        self.orders.send(close).await.map_err(|_| Error::Closed)?;
        answer.recv().await.map_err(|_| Error::Closed)?
    }
}

/// The writing end of an open log.
#[derive(Debug)]
pub struct Log {
    client: Client,
    commit: Commit,
    /// No commit begins before this.
    earliest: Instant,
    orders: Receiver<Order>,
}

/// Opens a new log for `writer`.
///
/// # Errors
/// [`Error::Platform`] if the service is down: an entry without a log may only forward.
/// [`Error::Foreign`] if the writer row is another's.
pub async fn open(client: Client, writer: Incarnation, row: Writer) -> Result<(Log, Handle)> {
    let version = match client.commit(&open_transaction(writer, &row)?).await? {
        Outcome::Committed(version) => version,
        Outcome::Conflict(_) => {
            // An earlier try took effect and its answer was lost, or the number is another's.
            let found = read_writer(&client, writer).await?;
            let found = found.filter(|found| found.row.process == row.process);
            found.ok_or(Error::Foreign(Slot(0)))?.version
        }
    };
    let (sender, orders) = async_channel::bounded(APPENDS_MAX);
    let log = Log {
        client,
        commit: Commit::new(writer, row, version),
        earliest: Instant::now(),
        orders,
    };
    Ok((
        log,
        Handle {
            writer,
            orders: sender,
        },
    ))
}

impl Log {
    /// Commits appends until the log is sealed or every handle is dropped.
    ///
    /// # Errors
    /// [`Error::Sealed`] if another writer has taken the log over.
    pub async fn run(mut self) -> Result<()> {
        while let Some(order) = self.next().await? {
            match order {
                Order::Append(first) => {
                    if let Some(Order::Close(close)) = self.append(first).await?
                        && self.close(close).await?
                    {
                        return Ok(());
                    }
                }
                Order::Check(done) => self.answer(done).await?,
                Order::Close(close) => {
                    if self.close(close).await? {
                        return Ok(());
                    }
                }
            }
        }
        Ok(())
    }

    /// The next order; while there is none, looks whether the log has been sealed.
    async fn next(&self) -> Result<Option<Order>> {
        loop {
            let order = async { Some(self.orders.recv().await.ok()) };
            let idle = async {
                smol::Timer::after(IDLE_CHECK_INTERVAL.into()).await;
                None
            };
            if let Some(order) = order.or(idle).await {
                return Ok(order);
            }
            self.check().await?;
        }
    }

    /// Looks whether the log has been sealed.
    async fn check(&self) -> Result<()> {
        if let Ok(Some(found)) = read_writer(&self.client, self.commit.writer()).await
            && let State::Sealed(by) = found.row.state
        {
            return Err(Error::Sealed(found.row.next_slot, by));
        }
        Ok(())
    }

    /// Commits what has queued up behind `first`; returns an order to close that came after it.
    async fn append(&mut self, first: Append) -> Result<Option<Order>> {
        // What comes meanwhile is in the same batch.
        smol::Timer::at(self.earliest).await;
        let saved = Instant::now().checked_sub(COMMIT_BURST.into());
        let base = saved.map_or(self.earliest, |saved| self.earliest.max(saved));
        self.earliest = base + Duration::from(COMMIT_INTERVAL);
        let (group, other) = self.gather(first);
        let records = group
            .iter()
            .flat_map(|append| append.records.clone())
            .collect();
        let begun = self.commit.begin_batch(records, rand::random());
        let result = self.drive(begun).await;
        for append in group {
            // The program's owner may have gone away; the record is durable all the same.
            let _ = append.done.send(share(&result)).await;
        }
        result?;
        match other {
            Some(Order::Check(done)) => {
                self.answer(done).await?;
                Ok(None)
            }
            other => Ok(other),
        }
    }

    /// Answers a check.
    async fn answer(&self, done: Sender<Result<()>>) -> Result<()> {
        let result = self.check().await;
        // Whoever asked may have gone away.
        let _ = done
            .send(result.as_ref().map_or_else(fenced, |()| Ok(())))
            .await;
        result
    }

    fn gather(&self, first: Append) -> (Vec<Append>, Option<Order>) {
        let mut size = first.records.len();
        let mut group = vec![first];
        while size < BATCH_RECORDS_MAX {
            match self.orders.try_recv() {
                Ok(Order::Append(append)) => {
                    size += append.records.len();
                    group.push(append);
                }
                Ok(other) => return (group, Some(other)),
                Err(_) => break,
            }
        }
        (group, None)
    }

    /// Seals the log; false if its successor's is not open.
    async fn close(&mut self, close: Close) -> Result<bool> {
        let result = self.seal(close.successor).await;
        // Whoever asked may have gone away; the log is sealed all the same.
        let _ = close.done.send(share(&result)).await;
        match result {
            Ok(_) => Ok(true),
            Err(Error::SuccessorNotOpen(_)) => Ok(false),
            Err(error) => Err(error),
        }
    }

    async fn seal(&mut self, successor: Incarnation) -> Result<Slot> {
        let heir = insist(async || read_successor(&self.client, successor).await).await?;
        let begun = self.commit.begin_seal(heir);
        self.drive(begun).await
    }

    /// Does what the state machine says until the order is done.
    async fn drive(&mut self, begun: Result<Next>) -> Result<Slot> {
        let mut next = begun?;
        loop {
            let reply = match next {
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

/// The result of a batch for one of its appends.
fn share(result: &Result<Slot>) -> Result<Slot> {
    result.as_ref().map_or_else(fenced, |slot| Ok(*slot))
}

/// The end of the log for one of those who wait for it.
fn fenced<T>(error: &Error) -> Result<T> {
    Err(match error {
        Error::Sealed(slot, by) => Error::Sealed(*slot, *by),
        Error::SuccessorNotOpen(writer) => Error::SuccessorNotOpen(*writer),
        _ => Error::Closed,
    })
}
