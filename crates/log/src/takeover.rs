//! Takeover of a log: seal its row, then read all that its programs have been through.

use std::collections::{HashMap, HashSet};

use futures_util::stream::{self, StreamExt, TryStreamExt};
use store::Client;
use store::Outcome;
use store::api::Row;
use units::{Incarnation, Slot, Span};

use crate::batch::{
    Batch, State, Successor, Writer, batch_key, decode, open_key, seal_transaction, writer_key,
};
use crate::compact::{compact, packs, unpack};
use crate::error::{Error, Result};
use crate::history::{Histories, merge_histories};

const READ_SLOTS: u64 = 64;
const READS_PARALLEL: usize = 16;
const RETRY_DELAY: Span = Span::from_ms(50);
const ROWS_MAX: u32 = 1_000;

/// A writer row as it was found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriterSnapshot {
    /// The log's writer.
    pub writer: Incarnation,
    /// The row.
    pub row: Writer,
    /// Its version in the table.
    pub version: u64,
}

/// Reads a writer row.
///
/// # Errors
/// [`Error::Platform`] if the service gives no answer.
pub async fn read_writer(client: &Client, writer: Incarnation) -> Result<Option<WriterSnapshot>> {
    let Some(row) = client.row(&writer_key(writer)).await? else {
        return Ok(None);
    };
    Ok(Some(WriterSnapshot {
        writer,
        version: row.version,
        row: Writer::decode(&row.value.0)?,
    }))
}

/// All logs that are marked as open.
///
/// # Errors
/// [`Error::Platform`] if the service gives no answer.
pub async fn open_logs(client: &Client) -> Result<Vec<WriterSnapshot>> {
    let prefix = "open.";
    let mut found = Vec::new();
    for row in all(client, prefix).await? {
        found.push(WriterSnapshot {
            writer: suffix(&row, prefix)?,
            version: row.version,
            row: Writer::decode(&row.value.0)?,
        });
    }
    Ok(found)
}

/// The logs whose seal names `successor`.
///
/// # Errors
/// [`Error::Platform`] if the service gives no answer.
pub async fn predecessors(client: &Client, successor: Incarnation) -> Result<Vec<Incarnation>> {
    let prefix = format!("inherited.{successor}.");
    let rows = all(client, &prefix).await?;
    rows.iter().map(|row| suffix(row, &prefix)).collect()
}

async fn all(client: &Client, prefix: &str) -> Result<Vec<Row>> {
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let after = rows.last().map(|row| row.key.clone()).unwrap_or_default();
        let page = client.rows(prefix, &after, ROWS_MAX).await?;
        let last = page.len() < ROWS_MAX as usize;
        rows.extend(page);
        if last {
            return Ok(rows);
        }
    }
}

fn suffix(row: &Row, prefix: &str) -> Result<Incarnation> {
    let writer = row
        .key
        .strip_prefix(prefix)
        .ok_or(Error::Corrupt(Slot(0)))?;
    writer.parse().map_err(|_| Error::Corrupt(Slot(0)))
}

/// What came of an attempt to seal a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SealOutcome {
    /// The log is sealed, in favour of this writer.
    Sealed(Incarnation),
    /// The log has grown since it was found: its writer is alive.
    Alive,
}

/// Seals a log as it was found, in favour of `successor`. Waits while the service is down.
///
/// # Errors
/// [`Error::Corrupt`] if the row cannot be read; [`Error::SuccessorNotOpen`] if the successor's log is not
/// open.
pub async fn seal_log(
    client: &Client,
    found: &WriterSnapshot,
    successor: Incarnation,
) -> Result<SealOutcome> {
    let heir = insist(async || read_successor(client, successor).await).await?;
    let transaction = seal_transaction(found.writer, &found.row, found.version, heir)?;
    loop {
        let conflict = match client.commit(&transaction).await {
            Ok(Outcome::Committed(_)) => return Ok(SealOutcome::Sealed(successor)),
            // Its answer may be lost, or another may have come first: the row tells.
            Ok(Outcome::Conflict(_)) => true,
            Err(_) => false,
        };
        match read_writer(client, found.writer).await {
            Ok(Some(now)) => match now.row.state {
                State::Sealed(by) => return Ok(SealOutcome::Sealed(by)),
                State::Open if now.version != found.version => return Ok(SealOutcome::Alive),
                State::Open if conflict => return Err(Error::SuccessorNotOpen(successor)),
                State::Open => {}
            },
            Ok(None) => return Err(Error::Corrupt(found.row.next_slot)),
            Err(Error::Platform(_)) => {}
            Err(error) => return Err(error),
        }
        smol::Timer::after(RETRY_DELAY.into()).await;
    }
}

/// The log of `writer` as an heir.
///
/// # Errors
/// [`Error::SuccessorNotOpen`] if it is not open; [`Error::Platform`] if the service gives no answer.
pub async fn read_successor(client: &Client, writer: Incarnation) -> Result<Successor> {
    let mark = client.row(&open_key(writer)).await?;
    let mark = mark.ok_or(Error::SuccessorNotOpen(writer))?;
    Ok(Successor {
        writer,
        open_version: mark.version,
    })
}

/// The histories of all programs that a sealed log held at its end, those that it had inherited
/// included. Waits while the service is down.
///
/// # Errors
/// [`Error::Corrupt`] if a batch is missing or damaged.
pub async fn read_histories(client: &Client, writer: Incarnation) -> Result<Histories> {
    let mut logs: HashMap<Incarnation, Vec<Batch>> = HashMap::new();
    let mut heirs: HashMap<Incarnation, Vec<Incarnation>> = HashMap::new();
    let mut wanted = vec![writer];
    let mut seen = HashSet::from([writer]);
    while let Some(next) = wanted.pop() {
        let read = insist(async || read_batches(client, next).await).await?;
        let sources = insist(async || predecessors(client, next).await).await?;
        wanted.extend(sources.iter().filter(|source| seen.insert(**source)));
        heirs.insert(next, sources);
        logs.insert(next, read);
    }
    Ok(merge_histories(writer, &mut logs, &heirs))
}

/// Moves a sealed log, and those that it inherited, into objects. Waits while the service is down.
///
/// # Errors
/// [`Error::Corrupt`] if a batch is missing or damaged.
pub async fn compact_all(client: &Client, writer: Incarnation) -> Result<()> {
    let mut wanted = vec![writer];
    while let Some(next) = wanted.pop() {
        wanted.extend(insist(async || predecessors(client, next).await).await?);
        if insist(async || packs(client, next).await).await?.is_none() {
            let read = insist(async || read_batches(client, next).await).await?;
            compact(client, next, &read).await?;
        }
    }
    Ok(())
}

/// Repeats a read until the service answers.
pub(crate) async fn insist<T>(read: impl AsyncFn() -> Result<T>) -> Result<T> {
    loop {
        match read().await {
            Err(Error::Platform(_)) => {
                smol::Timer::after(RETRY_DELAY.into()).await;
            }
            result => return result,
        }
    }
}

/// Reads all batches of a sealed log, from the table or from objects, several at a time.
///
/// # Errors
/// [`Error::Platform`] if the service gives no answer, [`Error::Corrupt`] if a batch is missing.
pub async fn read_batches(client: &Client, writer: Incarnation) -> Result<Vec<Batch>> {
    if let Some(packs) = packs(client, writer).await? {
        return read_packs(client, writer, packs).await;
    }
    match read_rows(client, writer).await {
        // Rows may have gone since the look for the objects.
        Err(Error::Corrupt(slot)) => match packs(client, writer).await? {
            Some(packs) => read_packs(client, writer, packs).await,
            None => Err(Error::Corrupt(slot)),
        },
        result => result,
    }
}

async fn read_packs(client: &Client, writer: Incarnation, packs: u64) -> Result<Vec<Batch>> {
    let objects = (0..packs).map(|pack| unpack(client, writer, pack));
    join(objects).await
}

async fn read_rows(client: &Client, writer: Incarnation) -> Result<Vec<Batch>> {
    let Some(found) = read_writer(client, writer).await? else {
        return Err(Error::Corrupt(Slot(0)));
    };
    let end = found.row.next_slot.0;
    let starts = (0..end).step_by(READ_SLOTS as usize);
    join(starts.map(|start| read_range(client, writer, start, end))).await
}

/// Runs reads several at a time and joins what they give, in order.
async fn join<F: Future<Output = Result<Vec<Batch>>>>(
    reads: impl Iterator<Item = F>,
) -> Result<Vec<Batch>> {
    let parts: Vec<Vec<Batch>> = stream::iter(reads)
        .buffered(READS_PARALLEL)
        .try_collect()
        .await?;
    Ok(parts.into_iter().flatten().collect())
}

async fn read_range(
    client: &Client,
    writer: Incarnation,
    start: u64,
    end: u64,
) -> Result<Vec<Batch>> {
    let count = READ_SLOTS.min(end - start);
    let prefix = format!("log.{writer}.");
    // Keys of slots sort by number; the range is read from the key before its first.
    let after = start
        .checked_sub(1)
        .map(|slot| batch_key(writer, Slot(slot)));
    let after = after.unwrap_or_else(|| prefix.clone());
    let rows = client.rows(&prefix, &after, count as u32).await?;
    let mut batches = Vec::new();
    for slot in start..start + count {
        let key = batch_key(writer, Slot(slot));
        let row = rows.iter().find(|row| row.key == key);
        let row = row.ok_or(Error::Corrupt(Slot(slot)))?;
        batches.push(decode(&row.value.0, Slot(slot))?);
    }
    Ok(batches)
}
