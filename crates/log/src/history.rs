//! Histories of programs, merged from the logs that held them in succession.

use std::collections::HashMap;

use units::{Incarnation, Program};

use crate::batch::Batch;
use crate::event::Event;

/// The events of one program, in order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    /// The events of the program.
    pub events: Vec<Event>,
    /// Writer of the log that holds the last event.
    pub writer: Incarnation,
}

/// Histories by program.
pub type Histories = HashMap<Program, History>;

/// Returns the histories of the programs that the log of `writer` held when it was sealed.
///
/// `predecessors` lists the predecessors of each log; `logs` holds the batches of the log and of
/// its direct and indirect predecessors. A program of a sealed log belongs to the log's successor
/// even without an adoption record, as the successor's process may have ended before writing it.
pub fn merge_histories(
    writer: Incarnation,
    logs: &mut HashMap<Incarnation, Vec<Batch>>,
    predecessors: &HashMap<Incarnation, Vec<Incarnation>>,
) -> Histories {
    let mut histories = Histories::new();
    for predecessor in predecessors.get(&writer).into_iter().flatten() {
        histories.extend(merge_histories(*predecessor, logs, predecessors));
    }
    for batch in logs.remove(&writer).unwrap_or_default() {
        for record in batch.records {
            let history = histories.entry(record.program).or_default();
            history.events.push(record.event);
            history.writer = writer;
        }
    }
    histories.retain(|_, history| !matches!(history.events.last(), Some(Event::HandedOver { .. })));
    histories
}
