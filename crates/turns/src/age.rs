//! How old rows are, told from their versions alone.
//!
//! Versions come from one counter of the store, so whatever has a version that the store had reached
//! at some moment was written before that moment. Hosts that die leave rows behind that no one knows
//! of; this tells which of them are old, without a clock that hosts would have to share.

use std::collections::VecDeque;

use units::{Span, Time};

/// Time between marks: ages are told this exactly.
const MARK_INTERVAL: Span = Span::from_ms(5_000);
/// Marks kept: they reach back for a quarter of an hour.
const MARKS_MAX: usize = 180;

/// The versions that the store had reached at some moments of this host's own clock.
#[derive(Clone, Debug, Default)]
pub struct VersionAges {
    marks: VecDeque<(Time, u64)>,
}

impl VersionAges {
    /// Takes in that the newest version of the store is `version`; news that were overtaken by later
    /// ones are left out.
    pub fn record(&mut self, version: u64, now: Time) {
        let last = self.marks.back();
        let is_due = last.is_none_or(|(at, _)| now.since(*at) >= MARK_INTERVAL);
        let is_old = last.is_some_and(|(_, newest)| version < *newest);
        if version == 0 || is_old || !is_due {
            return;
        }
        self.marks.push_back((now, version));
        if self.marks.len() > MARKS_MAX {
            self.marks.pop_front();
        }
    }

    /// The highest version that is surely `age` old; `None` if nothing is known to be that old.
    pub fn newest_older_than(&self, age: Span, now: Time) -> Option<u64> {
        let old = |at: &Time| now.since(*at) >= age;
        let marks = self.marks.iter();
        let marks = marks.take_while(|(at, _)| old(at));
        marks.last().map(|(_, version)| *version)
    }

    /// A moment before which `version` was surely not written, as near to its writing as is known;
    /// `None` for versions from before the first mark.
    pub fn earliest_write_time(&self, version: u64) -> Option<Time> {
        let earlier = self.marks.iter().rev();
        let mut earlier = earlier.skip_while(|(_, reached)| *reached >= version);
        earlier.next().map(|(at, _)| *at)
    }
}
