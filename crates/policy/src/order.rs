//! The order of calls in a queue.
//!
//! A rank is a point in time: the arrival of the call, made earlier by the precedence of its class and
//! the age of its program and later by the service that the program has attained. As all calls age at
//! the same rate, ranks need no update while calls wait, and none waits for ever: only calls that
//! arrive within a bounded time after it can go before it.

use units::{Span, Time, Tokens};

use crate::settings::{Order, Settings};

const PRECEDENCE_MAX: u64 = 255;
const ATTAINED_MAX_TOKENS: u64 = 1 << 24;
const AGE_MAX: Span = Span::from_ms(60_000);

/// The place of a call in queues; lower goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank(u64);

/// What the rank of a call depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankFactors {
    /// Precedence of its class; higher goes first.
    pub precedence: u32,
    /// Tokens generated for its program so far.
    pub attained: Tokens,
    /// When its program started_at.
    pub started_at: Time,
    /// Time in which its program should be done.
    pub objective: Span,
}

impl Rank {
    /// The rank of a call that arrives at `now`.
    pub fn new(settings: &Settings, factors: &RankFactors, now: Time) -> Self {
        if settings.order == Order::Arrival {
            return Rank(now.0);
        }
        let steps = PRECEDENCE_MAX - u64::from(factors.precedence).min(PRECEDENCE_MAX);
        let attained = factors.attained.0.min(ATTAINED_MAX_TOKENS);
        let age = now.since(factors.started_at).min(AGE_MAX);
        let late = settings.head_start.0 * steps + settings.attained_weight.0 * attained;
        let late_after = factors.objective.0 as f64 * settings.late_after.0;
        let is_late = settings.late_after.0 > 0.0 && age.0 as f64 > late_after;
        let age = if is_late { Span(0) } else { age };
        let early = (age.0 as f64 * settings.age_weight.0) as u64;
        Rank((now.0 + late).saturating_sub(early))
    }

    /// The rank as it is sent.
    pub fn value(self) -> u64 {
        self.0
    }
}
