//! Delays between attempts to connect: full jitter below a ceiling that doubles.

use rand::Rng;
use units::{Span, Time};

/// Ceiling of the first delay.
pub const CEILING_MIN: Span = Span::from_ms(100);

/// Highest ceiling of a delay.
pub const CEILING_MAX: Span = Span::from_ms(1_600);

/// Minimum duration of a connection after which the ceiling is reset to [`CEILING_MIN`].
pub const STABLE_AFTER: Span = Span::from_ms(5_000);

/// Delays between attempts to connect to one peer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backoff {
    failures: u32,
    connected_at: Option<Time>,
}

impl Backoff {
    /// Creates the state before the first attempt.
    pub fn new() -> Self {
        Backoff::default()
    }

    /// Records that an attempt succeeded at `now`.
    pub fn record_connected(&mut self, now: Time) {
        self.connected_at = Some(now);
    }

    /// Records that an attempt failed or its connection was lost; returns the delay before the next
    /// attempt.
    pub fn next_delay(&mut self, now: Time, rng: &mut impl Rng) -> Span {
        let connected_at = self.connected_at.take();
        if connected_at.is_some_and(|connected_at| now.since(connected_at) >= STABLE_AFTER) {
            self.failures = 0;
        }
        let ceiling = self.ceiling();
        self.failures = self.failures.saturating_add(1);
        Span(rng.random_range(0..=ceiling.0))
    }

    /// Returns the maximum of the next delay.
    pub fn ceiling(&self) -> Span {
        let doubled = CEILING_MIN.0.checked_shl(self.failures.min(16));
        Span(doubled.unwrap_or(CEILING_MAX.0).min(CEILING_MAX.0))
    }
}
