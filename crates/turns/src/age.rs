//! Ages of rows, derived from their versions alone.
//!
//! The store takes all versions from one counter. A row whose version the store had reached at some
//! time was therefore written before that time. The ages of orphaned rows of dead hosts are found
//! this way, without a clock that all hosts would have to share.

use std::collections::VecDeque;

use units::{Span, Time};

/// Time between two marks, which is the precision of ages.
const MARK_INTERVAL: Span = Span::from_ms(5_000);
/// Number of marks kept; together they cover a quarter of an hour.
const MARKS_MAX: usize = 180;

/// Versions that the store had reached at some times of this host's own clock.
#[derive(Clone, Debug, Default)]
pub struct VersionAges {
    marks: VecDeque<(Time, u64)>,
}

impl VersionAges {
    /// Records that the newest version of the store was `version` at `now`, unless the latest mark
    /// is too recent. A lower version than the latest mark's arrived out of order and is ignored.
    pub fn record(&mut self, version: u64, now: Time) {
        let latest_mark = self.marks.back();
        let is_due = latest_mark.is_none_or(|(at, _)| now.since(*at) >= MARK_INTERVAL);
        let is_outdated = latest_mark.is_some_and(|(_, newest)| version < *newest);
        if version == 0 || is_outdated || !is_due {
            return;
        }
        self.marks.push_back((now, version));
        if self.marks.len() > MARKS_MAX {
            self.marks.pop_front();
        }
    }

    /// Returns the highest version certainly at least `age` old; `None` if no mark is that old.
    pub fn newest_older_than(&self, age: Span, now: Time) -> Option<u64> {
        let is_old = |at: &Time| now.since(*at) >= age;
        let marks = self.marks.iter();
        let marks = marks.take_while(|(at, _)| is_old(at));
        marks.last().map(|(_, version)| *version)
    }

    /// Returns a lower bound of the time when `version` was written, as close as the marks allow;
    /// `None` for versions from before the first mark.
    pub fn earliest_write_time(&self, version: u64) -> Option<Time> {
        let latest_first = self.marks.iter().rev();
        let mut earlier = latest_first.skip_while(|(_, reached)| *reached >= version);
        earlier.next().map(|(at, _)| *at)
    }
}
