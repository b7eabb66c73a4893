//! Times of the last write of turns, which decide when a turn of a chain is written again.
//!
//! A turn is retained together with all earlier turns of its chain. Rows are deleted by the age of
//! their last write, so a host that continues a chain writes its older turns again. Invariant: when
//! a turn is committed, the rows of all turns before it stay for as long as the committed turn is
//! retained, whichever host wrote them first.

use std::collections::HashMap;

use clients::owner::Id;
use units::{Span, Time};

/// Time for which rows of turns stay beyond the retention of turns: chains that end within it, as
/// most do, need no second write.
pub const CHAIN_SLACK: Span = Span::from_ms(60_000);
/// Age from which a turn is written again when its chain continues. The remainder of
/// [`CHAIN_SLACK`] covers the imprecision of ages and the duration of the write.
const REWRITE_AGE: Span = Span::from_ms(45_000);
/// How long the write time of a turn is kept: longer than its rows stay without another write.
const WRITE_TIME_RETENTION: Span = Span::from_ms(600_000);

/// Times of the last write of turns that this host wrote or read.
#[derive(Clone, Debug, Default)]
pub struct WriteTimes {
    written_at: HashMap<Id, Time>,
}

impl WriteTimes {
    /// Records that a turn's rows were written at `written_at` or later.
    pub fn record(&mut self, id: &Id, written_at: Time) {
        let latest = self.written_at.entry(id.clone()).or_insert(written_at);
        *latest = written_at.max(*latest);
    }

    /// Returns the `turns` that must be written again before another turn continues their chain;
    /// these include turns without a recorded write.
    pub fn due_for_rewrite<'a>(&self, turns: &'a [Id], now: Time) -> Vec<&'a Id> {
        let is_recent = |id: &&Id| {
            let written_at = self.written_at.get(*id);
            written_at.is_some_and(|written_at| now.since(*written_at) < REWRITE_AGE)
        };
        turns.iter().filter(|id| !is_recent(id)).collect()
    }

    /// Removes the write times of turns whose rows have expired.
    pub fn remove_expired(&mut self, now: Time) {
        self.written_at
            .retain(|_, written_at| now.since(*written_at) < WRITE_TIME_RETENTION);
    }
}
