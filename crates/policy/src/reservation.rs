//! Reservations of attempts that other hosts hold, and for how long each may refuse other attempts.
//!
//! A host that fails leaves its reservation behind, and so does a write that takes effect after its
//! host has given up waiting for it. Hosts share no clock, so each one measures from the moment at
//! which it received a reservation: the time that the attempt had left, and the time in which its host
//! finds out whether the endpoint crashed.

use std::collections::HashMap;

use units::{Fingerprint, Span, Time};

use crate::quarantine::DECISION_TIMEOUT;

/// Time for the writes that end a reservation.
const RELEASE_SLACK: Span = Span::from_ms(1_000);
/// Time after which another attempt is worth a try while the holder's may still run: about the
/// duration of a turn.
const RETRY_DELAY: Span = Span::from_ms(700);
/// Most reservations; the one received first is removed first.
const RESERVATIONS_MAX: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct Held {
    version: u64,
    received_at: Time,
    /// Longest time that the attempt runs.
    attempt: Span,
}

impl Held {
    fn ends_at(&self) -> Time {
        let limit = self.attempt.0 + DECISION_TIMEOUT.0 + RELEASE_SLACK.0;
        self.received_at.after(Span(limit))
    }
}

/// Whether another attempt may take the place of one that holds a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hold {
    /// The attempt may still run, or be undecided; holds the time after which to ask again.
    Active(Span),
    /// The attempt has ended, and its host has not released the reservation.
    Over,
}

/// The reservations of other attempts, by the fingerprint of their request.
#[derive(Clone, Debug, Default)]
pub struct Reservations {
    held: HashMap<Fingerprint, Held>,
}

impl Reservations {
    /// Records the reservation in the row at `version`, whose attempt runs for at most `attempt`.
    /// One that is known keeps the time at which it was received first.
    pub fn record(&mut self, request: Fingerprint, version: u64, attempt: Span, now: Time) {
        let known = self.held.get(&request);
        if known.is_some_and(|held| held.version >= version) {
            return;
        }
        if self.held.len() >= RESERVATIONS_MAX && known.is_none() {
            self.evict();
        }
        let held = Held {
            version,
            received_at: now,
            attempt,
        };
        self.held.insert(request, held);
    }

    /// Records that a request has no reservation any more.
    pub fn remove(&mut self, request: Fingerprint) {
        self.held.remove(&request);
    }

    /// Returns the state of a recorded reservation; `None` if there is none.
    pub fn hold(&self, request: Fingerprint, now: Time) -> Option<Hold> {
        let held = self.held.get(&request)?;
        let remaining = held.ends_at().since(now);
        if remaining == Span(0) {
            return Some(Hold::Over);
        }
        let is_running = now < held.received_at.after(held.attempt);
        Some(Hold::Active(if is_running {
            remaining.min(RETRY_DELAY)
        } else {
            remaining
        }))
    }

    fn evict(&mut self) {
        let held = self.held.iter();
        let oldest = held.min_by_key(|(request, held)| (held.received_at, **request));
        if let Some(oldest) = oldest.map(|(request, _)| *request) {
            self.held.remove(&oldest);
        }
    }
}
