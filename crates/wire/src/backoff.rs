//! Delays between attempts to connect: full jitter below a ceiling that doubles.

use rand::Rng;
use units::{Span, Time};

/// The first ceiling.
pub const CEILING_MIN: Span = Span::from_ms(100);

/// The highest ceiling.
pub const CEILING_MAX: Span = Span::from_ms(1_600);

/// Time that a connection must have lasted for the ceiling to fall back to the first.
pub const STABLE_AFTER: Span = Span::from_ms(5_000);

/// The delays before the attempts to reach one peer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backoff {
    failures: u32,
    opened: Option<Time>,
}

impl Backoff {
    /// No attempt has failed yet.
    pub fn new() -> Self {
        Backoff::default()
    }

    /// An attempt has succeeded.
    pub fn record_connected(&mut self, now: Time) {
        self.opened = Some(now);
    }

    /// An attempt failed or its connection was lost: the delay before the next attempt.
    pub fn next_delay(&mut self, now: Time, rng: &mut impl Rng) -> Span {
        let opened = self.opened.take();
        if opened.is_some_and(|opened| now.since(opened) >= STABLE_AFTER) {
            self.failures = 0;
        }
        let ceiling = self.ceiling();
        self.failures = self.failures.saturating_add(1);
        Span(rng.random_range(0..=ceiling.0))
    }

    /// The longest delay that the next one can be.
    pub fn ceiling(&self) -> Span {
        let doubled = CEILING_MIN.0.checked_shl(self.failures.min(16));
        Span(doubled.unwrap_or(CEILING_MAX.0).min(CEILING_MAX.0))
    }
}
