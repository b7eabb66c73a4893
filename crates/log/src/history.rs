//! What programs have been through, put together from the logs that held them one after the other.

use std::collections::HashMap;

use units::{Incarnation, Program};

use crate::batch::Batch;
use crate::event::Event;

/// The events of one program, in order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    /// The events.
    pub events: Vec<Event>,
    /// The log that holds the last of them.
    pub writer: Incarnation,
}

/// Histories by program.
pub type Histories = HashMap<Program, History>;

/// The histories of the programs that the log of `writer` held at its end.
///
/// `logs` are the batches of it and of all logs that it inherited from, which `sources` names. A
/// program that a sealed log held belongs to the log's successor even if that one has not adopted it
/// by a record: its process may have ended before.
pub fn merge_histories(
    writer: Incarnation,
    logs: &mut HashMap<Incarnation, Vec<Batch>>,
    sources: &HashMap<Incarnation, Vec<Incarnation>>,
) -> Histories {
    let mut histories = Histories::new();
    for source in sources.get(&writer).into_iter().flatten() {
        histories.extend(merge_histories(*source, logs, sources));
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
