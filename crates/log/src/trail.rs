//! The events of one program as the logs have them, for accounts of what happened.
//!
//! The trail begins in the log that created the program and follows seals and hand-overs. Reading it
//! changes nothing and needs no owner, so that it works for programs that have ended and for owners
//! that are gone.

use std::collections::HashSet;

use store::Client;
use units::{Host, Incarnation, Program, Slot};

use crate::batch::{Batch, State, Writer, decode, writer_key};
use crate::compact::{packs, unpack};
use crate::error::Result;
use crate::event::Event;

const PAGE_ROWS: u32 = 64;

/// One event with its place.
#[derive(Clone, Debug, PartialEq)]
pub struct LoggedEvent {
    /// The log's writer.
    pub writer: Incarnation,
    /// The writer's host.
    pub host: Host,
    /// The batch.
    pub slot: Slot,
    /// The event.
    pub event: Event,
}

/// All durable events of a program, in order; empty if no log has it.
///
/// # Errors
/// [`crate::Error::Platform`] if the service gives no answer, [`crate::Error::Corrupt`] if a row
/// cannot be read.
pub async fn trail(client: &Client, program: Program) -> Result<Vec<LoggedEvent>> {
    let mut steps = Vec::new();
    let mut seen = HashSet::new();
    let mut next = Some(program.origin);
    while let Some(writer) = next
        && seen.insert(writer)
    {
        let Some(row) = client.row(&writer_key(writer)).await? else {
            break;
        };
        let row: Writer = decode(&row.value.0, Slot(0))?;
        read(client, writer, &row.host, program, &mut steps).await?;
        next = successor(&row, steps.last().map(|step| &step.event));
    }
    Ok(steps)
}

/// The log that may have more events after `last`.
fn successor(row: &Writer, last: Option<&Event>) -> Option<Incarnation> {
    match (last, row.state) {
        (Some(Event::Ended { .. }), _) => None,
        (Some(Event::HandedOver { to, .. }), _) => Some(*to),
        (_, State::Sealed(by)) => Some(by),
        (_, State::Open) => None,
    }
}

/// Adds the program's events in one log, wherever it is.
async fn read(
    client: &Client,
    writer: Incarnation,
    host: &Host,
    program: Program,
    steps: &mut Vec<LoggedEvent>,
) -> Result<()> {
    let own = |batch: Batch| {
        let records = batch.records.into_iter();
        let own = records.filter(move |record| record.program == program);
        own.map(move |record| LoggedEvent {
            writer,
            host: host.clone(),
            slot: batch.slot,
            event: record.event,
        })
    };
    let before = steps.len();
    if packs(client, writer).await?.is_none() {
        read_rows(client, writer, |batch| steps.extend(own(batch))).await?;
    }
    if let Some(packs) = packs(client, writer).await? {
        // Rows may have gone while they were read.
        steps.truncate(before);
        for pack in 0..packs {
            let batches = unpack(client, writer, pack).await?;
            steps.extend(batches.into_iter().flat_map(own));
        }
    }
    Ok(())
}

/// Reads the batches of a log from the table, a page at a time.
async fn read_rows(
    client: &Client,
    writer: Incarnation,
    mut found: impl FnMut(Batch),
) -> Result<()> {
    let prefix = format!("log.{writer}.");
    let mut after = prefix.clone();
    loop {
        let rows = client.rows(&prefix, &after, PAGE_ROWS).await?;
        for row in &rows {
            found(decode(&row.value.0, Slot(0))?);
        }
        match rows.last() {
            Some(last) if rows.len() == PAGE_ROWS as usize => after = last.key.to_string(),
            _ => return Ok(()),
        }
    }
}
