//! The order of calls in a queue.
//!
//! A rank is a virtual arrival time. It starts from the arrival of the call, moves earlier with the
//! precedence of the call's class and the age of its program, and moves later with the service that
//! the program has attained. All calls age at the same rate, so ranks need no update while calls
//! wait. No call starves: only calls that arrive within a bounded time after it can overtake it.

use units::{Span, Time, Tokens};

use crate::settings::{Order, Settings};

const PRECEDENCE_MAX: u64 = 255;
const ATTAINED_MAX_TOKENS: u64 = 1 << 24;
const AGE_MAX: Span = Span::from_ms(60_000);

/// Position of a call in queues; the lowest rank runs first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank(u64);

/// The inputs of the rank of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankFactors {
    /// Precedence of the call's class; higher runs first.
    pub precedence: u32,
    /// Tokens generated so far for the call's program.
    pub attained: Tokens,
    /// Creation time of the call's program.
    pub started_at: Time,
    /// Time within which programs of the class should finish.
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
        let later = settings.head_start.0 * steps + settings.attained_weight.0 * attained;
        let late_after = factors.objective.0 as f64 * settings.late_after.0;
        let is_overdue = settings.late_after.0 > 0.0 && age.0 as f64 > late_after;
        let age = if is_overdue { Span(0) } else { age };
        let earlier = (age.0 as f64 * settings.age_weight.0) as u64;
        Rank((now.0 + later).saturating_sub(earlier))
    }

    /// The rank as a number, which is sent to sidecars.
    pub fn value(self) -> u64 {
        self.0
    }
}
