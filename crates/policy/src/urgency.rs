//! Rank of a request in the queue of a model engine.
//!
//! The load that this answers: engines that run as many requests as they can, with long and short
//! prompts in their queues. While an engine reads a long prompt, the tokens of all its other streams
//! wait, and in its queue a short prompt waits behind the long ones. A caller with a long prompt has
//! more time, as the objective of a program is a multiple of the time that it takes alone.

use units::{Span, Tokens};

/// Share of the latency objective, as a divisor, that reading a prompt may take before it counts as
/// long: what is left has to cover the queue and the way.
const LONG_DIVISOR: u64 = 4;
/// A long prompt goes first like a short one when the program has less time left than this many times
/// its reading takes.
const PRESSED_READINGS: u64 = 20;
/// Highest rank of a route or account that is told apart.
const RANK_MAX: u8 = 2;
/// Levels for each rank.
const LEVELS: u8 = 3;

/// What decides on the urgency of a request.
#[derive(Clone, Copy, Debug)]
pub struct Urgency {
    /// Priority of the client account or the route; 0 is the highest.
    pub rank: u8,
    /// Whether the request begins a program.
    pub is_new: bool,
    /// Tokens of the prompt that the engine probably has to read.
    pub unread: Tokens,
    /// Time to read a token, in microseconds.
    pub read_us_per_token: f64,
    /// Latency objective of the route.
    pub objective: Span,
    /// Time until the program should be finished, if the caller states it.
    pub finish_within: Option<Span>,
}

impl Urgency {
    /// Returns the level in the engine's queue; lower ones are admitted first. Within a rank, requests
    /// of programs under way go first, whatever their size: an engine that runs out of memory breaks off
    /// the newest of the least urgent requests, and a long prompt that is read again costs all others
    /// more than its wait saves them. Long prompts of new programs go last while they have time.
    pub fn level(&self) -> u8 {
        let order = match (self.is_new, self.is_long() && !self.is_pressed()) {
            (false, _) => 0,
            (true, false) => 1,
            (true, true) => 2,
        };
        LEVELS * self.rank.min(RANK_MAX) + order + 1
    }

    /// Returns the urgency of the request where long prompts do not yield.
    pub fn without_yielding(self) -> Self {
        Urgency {
            unread: Tokens(0),
            finish_within: None,
            ..self
        }
    }

    fn reading(&self) -> Span {
        Span((self.unread.0 as f64 * self.read_us_per_token) as u64)
    }

    fn is_long(&self) -> bool {
        self.reading().0 > self.objective.0 / LONG_DIVISOR
    }

    fn is_pressed(&self) -> bool {
        let needed = Span(self.reading().0.saturating_mul(PRESSED_READINGS));
        self.finish_within.is_some_and(|left| left < needed)
    }
}
