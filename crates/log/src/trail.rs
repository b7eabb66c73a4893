//! The events of one program as the logs have them, for accounts of what happened.
//!
//! The trail begins in the log that created the program and follows seals and hand-overs. Reading it
//! changes nothing and needs no owner, so that it works for programs that have ended and for owners
//! that are gone.

use std::collections::HashSet;

use platform::Client;
use units::{Host, Incarnation, Program, Slot};

use crate::batch::{Batch, State, Writer, decode, writer_key};
use crate::error::Result;
use crate::event::Event;

const PAGE_ROWS: u32 = 64;

/// One event with its place.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
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
pub async fn trail(client: &Client, program: Program) -> Result<Vec<Step>> {
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

/// Adds the program's events in one log, a page at a time.
async fn read(
    client: &Client,
    writer: Incarnation,
    host: &Host,
    program: Program,
    steps: &mut Vec<Step>,
) -> Result<()> {
    let prefix = format!("log.{writer}.");
    let mut after = prefix.clone();
    loop {
        let rows = client.rows(&prefix, &after, PAGE_ROWS).await?;
        for row in &rows {
            let batch: Batch = decode(&row.value.0, Slot(0))?;
            let records = batch.records.into_iter();
            let own = records.filter(|record| record.program == program);
            steps.extend(own.map(|record| Step {
                writer,
                host: host.clone(),
                slot: batch.slot,
                event: record.event,
            }));
        }
        match rows.last() {
            Some(last) if rows.len() == PAGE_ROWS as usize => after = last.key.to_string(),
            _ => return Ok(()),
        }
    }
}
