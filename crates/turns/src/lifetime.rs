//! How long the account of a program is kept.
//!
//! Each host that serves a program, or refuses its turns, sees only its own requests. What they share is
//! the version of the account row: a host in use rewrites the row from time to time, also if nothing in
//! it changes, so that a row whose version stays the same for long enough is in use at no host.

use units::{Span, Time};

/// Age of a host's latest write of the row from which a further use makes the host write it again.
const REWRITE_AGE: Span = Span::from_ms(15_000);
/// Accounts are kept for this much longer than their retention, for writes under way.
const SLACK: Span = Span::from_ms(10_000);

/// Use of a program at one host, and what this host has seen of the account row.
#[derive(Clone, Copy, Debug)]
pub struct Lifetime {
    retention: Span,
    used_at: Time,
    /// Time of this host's latest write of the row, if there is one.
    written_at: Option<Time>,
    /// Time when this host saw the version of the row for the first time.
    seen_at: Time,
}

impl Lifetime {
    /// Creates the lifetime of a program that this host has not served before `now`.
    pub fn new(now: Time) -> Self {
        Lifetime {
            retention: Span(0),
            used_at: now,
            written_at: None,
            seen_at: now,
        }
    }

    /// Records a request of the program, or the end of one. The program may return for `retention`.
    pub fn record_use(&mut self, retention: Span, now: Time) {
        self.retention = self.retention.max(retention);
        self.used_at = now;
    }

    /// Records that a write of this host took effect.
    pub fn record_write(&mut self, now: Time) {
        self.written_at = Some(now);
        self.seen_at = now;
    }

    /// Records that the row was read with a version that this host had not seen.
    pub fn record_version(&mut self, now: Time) {
        self.seen_at = now;
    }

    /// Returns the time since the latest use at this host.
    pub fn idle(&self, now: Time) -> Span {
        now.since(self.used_at)
    }

    /// Whether this host has to write the row, so that no other host drops it too early.
    pub fn needs_rewrite(&self) -> bool {
        self.written_at
            .is_none_or(|written_at| self.used_at.since(written_at) >= REWRITE_AGE)
    }

    /// Whether no host has used the program for as long as it may return. The row may be dropped if it
    /// still has the version that this host saw.
    pub fn is_over(&self, now: Time) -> bool {
        let limit = Span(self.retention.0 + REWRITE_AGE.0 + SLACK.0);
        now.since(self.used_at) >= limit && now.since(self.seen_at) >= limit
    }
}
