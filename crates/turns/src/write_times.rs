//! Which turns of a chain have to be written again, so that they stay as long as the chain.
//!
//! A turn is retained with all turns that it goes on from, and these are older. Rows are dropped by
//! the age of their last write, so a host that goes on from turns which are no longer young writes
//! them again. Invariant: when a turn is committed, the rows of all turns before it stay for as long
//! as it is retained, whoever wrote them first.

use std::collections::HashMap;

use compact_str::CompactString;
use units::{Span, Time};

/// Rows of turns stay for this much longer than turns are retained: chains that are shorter, as most
/// are, need no second write.
pub const CHAIN_SLACK: Span = Span::from_ms(60_000);
/// Age at which a turn is written again when a chain goes on: the rest of the slack covers what is
/// not known exactly of ages, and the time of the write.
const AGING: Span = Span::from_ms(45_000);
/// How long the age of a turn is remembered: longer than its rows stay without another write.
const REMEMBERED: Span = Span::from_ms(600_000);

/// Since when the rows of turns lie in the store, as far as this host knows.
#[derive(Clone, Debug, Default)]
pub struct WriteTimes {
    since: HashMap<CompactString, Time>,
}

impl WriteTimes {
    /// Takes in that a turn's rows were written at `since` or later.
    pub fn record(&mut self, id: &CompactString, since: Time) {
        let known = self.since.entry(id.clone()).or_insert(since);
        *known = since.max(*known);
    }

    /// The turns of a line that have to be written again before another turn goes on from them.
    pub fn due_for_rewrite<'a>(
        &self,
        line: &'a [CompactString],
        now: Time,
    ) -> Vec<&'a CompactString> {
        let is_young = |id: &&CompactString| {
            let since = self.since.get(*id);
            since.is_some_and(|since| now.since(*since) < AGING)
        };
        line.iter().filter(|id| !is_young(id)).collect()
    }

    /// Forgets turns whose age no longer matters.
    pub fn remove_expired(&mut self, now: Time) {
        self.since.retain(|_, since| now.since(*since) < REMEMBERED);
    }
}
