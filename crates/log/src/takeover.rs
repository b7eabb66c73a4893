//! Takeover of a log: seals its writer row, then reads the histories of its programs.

use std::collections::{HashMap, HashSet};

use futures_util::stream::{self, StreamExt, TryStreamExt};
use store::Client;
use store::Outcome;
use store::api::Row;
use units::{Incarnation, Slot, Span};

use crate::batch::{
    Batch, State, Successor, Writer, batch_key, open_key, read_batch, seal_transaction, writer_key,
};
use crate::compact::{compact, read_pack, read_pack_count};
use crate::error::{Error, Result};
use crate::history::{Histories, merge_histories};

const SLOTS_PER_READ: u64 = 64;
const PARALLEL_READS: usize = 16;
const RETRY_DELAY: Span = Span::from_ms(50);
const PAGE_ROWS: u32 = 1_000;

/// A writer row at the version at which it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriterSnapshot {
    /// The log's writer.
    pub writer: Incarnation,
    /// The writer row.
    pub row: Writer,
    /// The row's version in the table.
    pub version: u64,
}

/// Reads the writer row of a log; returns `None` if there is no such log.
///
/// # Errors
/// [`Error::Platform`] if the store does not respond.
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

/// Returns all logs that are marked as open, with the row that marks each and that row's version.
///
/// # Errors
/// [`Error::Platform`] if the store does not respond.
pub async fn open_logs(client: &Client) -> Result<Vec<WriterSnapshot>> {
    let prefix = "open.";
    let mut logs = Vec::new();
    for row in read_all(client, prefix).await? {
        logs.push(WriterSnapshot {
            writer: parse_writer(&row, prefix)?,
            version: row.version,
            row: Writer::decode(&row.value.0)?,
        });
    }
    Ok(logs)
}

/// Returns the writers of the logs that were sealed in favour of `successor`.
///
/// # Errors
/// [`Error::Platform`] if the store does not respond.
pub async fn predecessors(client: &Client, successor: Incarnation) -> Result<Vec<Incarnation>> {
    let prefix = format!("inherited.{successor}.");
    let rows = read_all(client, &prefix).await?;
    rows.iter().map(|row| parse_writer(row, &prefix)).collect()
}

async fn read_all(client: &Client, prefix: &str) -> Result<Vec<Row>> {
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let after = rows.last().map(|row| row.key.clone()).unwrap_or_default();
        let page = client.rows(prefix, &after, PAGE_ROWS).await?;
        let is_last = page.len() < PAGE_ROWS as usize;
        rows.extend(page);
        if is_last {
            return Ok(rows);
        }
    }
}

fn parse_writer(row: &Row, prefix: &str) -> Result<Incarnation> {
    let writer = row
        .key
        .strip_prefix(prefix)
        .ok_or(Error::Corrupt(Slot(0)))?;
    writer.parse().map_err(|_| Error::Corrupt(Slot(0)))
}

/// Outcome of an attempt to seal a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SealOutcome {
    /// The log is sealed, in favour of this writer.
    Sealed(Incarnation),
    /// The writer row has changed since it was read, so the writer is alive.
    Alive,
}

/// Seals a log in favour of `successor` if its writer row is still as in `found`. Waits while the
/// store is unavailable.
///
/// # Errors
/// [`Error::Corrupt`] if the row cannot be decoded or no longer exists;
/// [`Error::SuccessorNotOpen`] if the successor's log is not open.
pub async fn seal_log(
    client: &Client,
    found: &WriterSnapshot,
    successor: Incarnation,
) -> Result<SealOutcome> {
    let successor_log = retry(async || read_successor(client, successor).await).await?;
    let transaction = seal_transaction(found.writer, &found.row, found.version, successor_log)?;
    loop {
        let conflict = match client.commit(&transaction).await {
            Ok(Outcome::Committed(_)) => return Ok(SealOutcome::Sealed(successor)),
            // Either an earlier try was committed and its response lost, or another process has
            // changed a row. The writer row shows which.
            Ok(Outcome::Conflict(_)) => true,
            Err(_) => false,
        };
        match read_writer(client, found.writer).await {
            Ok(Some(current)) => match current.row.state {
                State::Sealed(winner) => return Ok(SealOutcome::Sealed(winner)),
                State::Open if current.version != found.version => return Ok(SealOutcome::Alive),
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

/// Reads the open log of `writer` as a possible successor.
///
/// # Errors
/// [`Error::SuccessorNotOpen`] if the log is not open; [`Error::Platform`] if the store does not
/// respond.
pub async fn read_successor(client: &Client, writer: Incarnation) -> Result<Successor> {
    let open_row = client.row(&open_key(writer)).await?;
    let open_row = open_row.ok_or(Error::SuccessorNotOpen(writer))?;
    Ok(Successor {
        writer,
        open_version: open_row.version,
    })
}

/// Reads the histories of all programs that a sealed log held at its end, those of its predecessors
/// included. Waits while the store is unavailable.
///
/// # Errors
/// [`Error::Corrupt`] if a batch is missing or damaged.
pub async fn read_histories(client: &Client, writer: Incarnation) -> Result<Histories> {
    let mut logs: HashMap<Incarnation, Vec<Batch>> = HashMap::new();
    let mut predecessors_by_log: HashMap<Incarnation, Vec<Incarnation>> = HashMap::new();
    let mut pending = vec![writer];
    let mut visited = HashSet::from([writer]);
    while let Some(next) = pending.pop() {
        let batches = retry(async || read_batches(client, next).await).await?;
        let previous = retry(async || predecessors(client, next).await).await?;
        pending.extend(
            previous
                .iter()
                .filter(|previous_log| visited.insert(**previous_log)),
        );
        predecessors_by_log.insert(next, previous);
        logs.insert(next, batches);
    }
    Ok(merge_histories(writer, &mut logs, &predecessors_by_log))
}

/// Moves a sealed log and its predecessors into objects. Waits while the store is unavailable.
///
/// # Errors
/// [`Error::Corrupt`] if a batch is missing or damaged.
pub async fn compact_all(client: &Client, writer: Incarnation) -> Result<()> {
    let mut pending = vec![writer];
    while let Some(next) = pending.pop() {
        pending.extend(retry(async || predecessors(client, next).await).await?);
        if retry(async || read_pack_count(client, next).await)
            .await?
            .is_none()
        {
            let batches = retry(async || read_batches(client, next).await).await?;
            compact(client, next, &batches).await?;
        }
    }
    Ok(())
}

/// Repeats a read until the store responds.
pub(crate) async fn retry<T>(read: impl AsyncFn() -> Result<T>) -> Result<T> {
    loop {
        match read().await {
            Err(Error::Platform(_)) => {
                smol::Timer::after(RETRY_DELAY.into()).await;
            }
            result => return result,
        }
    }
}

/// Reads all batches of a sealed log, from the table or from objects, with parallel reads.
///
/// # Errors
/// [`Error::Platform`] if the store does not respond; [`Error::Corrupt`] if a batch is missing.
pub async fn read_batches(client: &Client, writer: Incarnation) -> Result<Vec<Batch>> {
    if let Some(pack_count) = read_pack_count(client, writer).await? {
        return read_packs(client, writer, pack_count).await;
    }
    match read_rows(client, writer).await {
        // Compaction may have deleted rows since the check for objects.
        Err(Error::Corrupt(slot)) => match read_pack_count(client, writer).await? {
            Some(pack_count) => read_packs(client, writer, pack_count).await,
            None => Err(Error::Corrupt(slot)),
        },
        result => result,
    }
}

async fn read_packs(client: &Client, writer: Incarnation, pack_count: u64) -> Result<Vec<Batch>> {
    let objects = (0..pack_count).map(|pack| read_pack(client, writer, pack));
    concat_reads(objects).await
}

async fn read_rows(client: &Client, writer: Incarnation) -> Result<Vec<Batch>> {
    let Some(found) = read_writer(client, writer).await? else {
        return Err(Error::Corrupt(Slot(0)));
    };
    let end = found.row.next_slot.0;
    let starts = (0..end).step_by(SLOTS_PER_READ as usize);
    concat_reads(starts.map(|start| read_range(client, writer, start, end))).await
}

/// Runs reads in parallel and concatenates their batches in order.
async fn concat_reads<F: Future<Output = Result<Vec<Batch>>>>(
    reads: impl Iterator<Item = F>,
) -> Result<Vec<Batch>> {
    let batches: Vec<Vec<Batch>> = stream::iter(reads)
        .buffered(PARALLEL_READS)
        .try_collect()
        .await?;
    Ok(batches.into_iter().flatten().collect())
}

async fn read_range(
    client: &Client,
    writer: Incarnation,
    start: u64,
    end: u64,
) -> Result<Vec<Batch>> {
    let count = SLOTS_PER_READ.min(end - start);
    let prefix = format!("log.{writer}.");
    // Keys sort by slot; `rows` returns the rows after a key, here that of the slot before `start`.
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
        batches.push(read_batch(client, writer, Slot(slot), &row.value.0).await?);
    }
    Ok(batches)
}
