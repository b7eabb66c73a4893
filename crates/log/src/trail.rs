//! The trail of a program: its durable events in all logs, for operators' reports.
//!
//! A trail begins in the log that created the program and follows seals and hand-overs. Reading a
//! trail changes nothing and requires no owner, so that it works for programs that have ended and
//! for owners that no longer run.

use std::collections::HashSet;

use store::Client;
use units::{Host, Incarnation, Program, Slot};

use crate::batch::{Batch, State, Writer, decode, read_batch, writer_key};
use crate::compact::{read_pack, read_pack_count};
use crate::error::Result;
use crate::event::Event;

const PAGE_ROWS: u32 = 64;

/// One event of a program and where it is logged.
#[derive(Clone, Debug, PartialEq)]
pub struct LoggedEvent {
    /// The log's writer.
    pub writer: Incarnation,
    /// The host of the log's writer.
    pub host: Host,
    /// The slot of the event's batch.
    pub slot: Slot,
    /// The event.
    pub event: Event,
}

/// Returns all durable events of a program in order; empty if no log contains the program.
///
/// # Errors
/// [`crate::Error::Platform`] if the store does not respond; [`crate::Error::Corrupt`] if a row
/// cannot be decoded.
pub async fn trail(client: &Client, program: Program) -> Result<Vec<LoggedEvent>> {
    let mut events = Vec::new();
    let mut visited = HashSet::new();
    let mut next = Some(program.origin);
    while let Some(writer) = next
        && visited.insert(writer)
    {
        let Some(row) = client.row(&writer_key(writer)).await? else {
            break;
        };
        let row: Writer = decode(&row.value.0, Slot(0))?;
        read_events(client, writer, &row.host, program, &mut events).await?;
        next = next_log(&row, events.last().map(|logged| &logged.event));
    }
    Ok(events)
}

/// Returns the writer of the log that may contain more events after `last`.
fn next_log(row: &Writer, last: Option<&Event>) -> Option<Incarnation> {
    match (last, row.state) {
        (Some(Event::Ended { .. }), _) => None,
        (Some(Event::HandedOver { to, .. }), _) => Some(*to),
        (_, State::Sealed(successor)) => Some(successor),
        (_, State::Open) => None,
    }
}

/// Appends the program's events in one log to `events`, from the table or from objects.
async fn read_events(
    client: &Client,
    writer: Incarnation,
    host: &Host,
    program: Program,
    events: &mut Vec<LoggedEvent>,
) -> Result<()> {
    let program_events = |batch: Batch| {
        let records = batch.records.into_iter();
        let records = records.filter(move |record| record.program == program);
        records.map(move |record| LoggedEvent {
            writer,
            host: host.clone(),
            slot: batch.slot,
            event: record.event,
        })
    };
    let previous_count = events.len();
    if read_pack_count(client, writer).await?.is_none() {
        for_each_batch(client, writer, |batch| events.extend(program_events(batch))).await?;
    }
    if let Some(pack_count) = read_pack_count(client, writer).await? {
        // Compaction may have deleted rows during the read.
        events.truncate(previous_count);
        for pack in 0..pack_count {
            let batches = read_pack(client, writer, pack).await?;
            events.extend(batches.into_iter().flat_map(program_events));
        }
    }
    Ok(())
}

/// Reads the batches of a log from the table by pages and passes each batch to `process`.
async fn for_each_batch(
    client: &Client,
    writer: Incarnation,
    mut process: impl FnMut(Batch),
) -> Result<()> {
    let prefix = format!("log.{writer}.");
    let mut after = prefix.clone();
    loop {
        let rows = client.rows(&prefix, &after, PAGE_ROWS).await?;
        for row in &rows {
            process(read_batch(client, writer, Slot(0), &row.value.0).await?);
        }
        match rows.last() {
            Some(last) if rows.len() == PAGE_ROWS as usize => after = last.key.to_string(),
            _ => return Ok(()),
        }
    }
}
