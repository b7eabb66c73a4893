//! The order of calls in a queue.
//!
//! A rank is a point in time: the arrival of the call, made earlier by the precedence of its class and
//! the age of its program and later by the service that the program has attained. As all calls age at
//! the same rate, ranks need no update while calls wait, and none waits for ever: only calls that
//! arrive within a bounded time after it can go before it.

use units::{Rate, Span, Time, Tokens};

use crate::knobs::{Knobs, Order};

const PRECEDENCE_MAX: u64 = 255;
const ATTAINED_MAX_TOKENS: u64 = 1 << 24;
const AGE_MAX: Span = Span::from_ms(60_000);
const SHARE_BITS: u32 = 8;
const SHARE_MAX: u64 = (1 << SHARE_BITS) - 1;

/// The place of a call in queues; lower goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank(u64);

/// What the rank of a call depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// Precedence of its class; higher goes first.
    pub precedence: u32,
    /// Tokens generated for its program so far.
    pub attained: Tokens,
    /// When its program began.
    pub began: Time,
    /// Whether its program is one of the longest.
    pub long: bool,
}

impl Rank {
    /// The rank of a call that arrives at `now`.
    pub fn new(knobs: &Knobs, standing: &Standing, now: Time) -> Self {
        let share = Rate(if standing.long {
            knobs.long_slots.0
        } else {
            1.0
        });
        if knobs.order == Order::Arrival {
            return Rank::from_parts(now.0, share);
        }
        let steps = PRECEDENCE_MAX - u64::from(standing.precedence).min(PRECEDENCE_MAX);
        let attained = standing.attained.0.min(ATTAINED_MAX_TOKENS);
        let age = now.since(standing.began).min(AGE_MAX);
        let late = knobs.head_start.0 * steps + knobs.attained_weight.0 * attained;
        let early = (age.0 as f64 * knobs.age_weight.0) as u64;
        Rank::from_parts((now.0 + late).saturating_sub(early), share)
    }

    fn from_parts(key: u64, share: Rate) -> Self {
        let share = (share.0.clamp(0.0, 1.0) * SHARE_MAX as f64) as u64;
        Rank(key << SHARE_BITS | share)
    }

    /// The rank as it is sent.
    pub fn bits(self) -> u64 {
        self.0
    }

    /// A rank that was received.
    pub fn from_bits(bits: u64) -> Self {
        Rank(bits)
    }

    /// How many of `slots` calls of this kind may hold; at least one. `None`: there is no limit.
    pub fn slots_max(self, slots: u32) -> Option<u32> {
        let share = self.0 & SHARE_MAX;
        let limit = u64::from(slots) * share / SHARE_MAX;
        (share < SHARE_MAX).then_some(limit.max(1) as u32)
    }
}
