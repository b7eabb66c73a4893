//! For how long an idle connection to an endpoint can be trusted.
//!
//! It answers endpoints that drop idle connections unseen, and sooner than they say: the next
//! request on such a connection is lost, and one that must not be repeated with it. A new connection
//! costs far less than a lost request, so the limit falls at once and rises slowly.

use units::Span;

/// The limit before anything was learned: well below what endpoints say, and longer than the pause
/// between two requests of one host to one endpoint.
const START: Span = Span::from_ms(4_000);
/// The lowest limit: below it hardly any connection would be used twice.
const MIN: Span = Span::from_ms(100);
/// The limit rises by this share, as a divisor, with each use close to it.
const RISE_DIVISOR: u64 = 50;

/// The limit for the endpoints of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdleLimit {
    limit: Span,
}

impl Default for IdleLimit {
    fn default() -> Self {
        IdleLimit { limit: START }
    }
}

impl IdleLimit {
    /// Longest idle time after which a connection carries a request that must not be repeated.
    pub fn limit(&self) -> Span {
        self.limit
    }

    /// Takes in that a connection which had been idle for `idle` broke under the next request.
    pub fn record_loss(&mut self, idle: Span) {
        self.limit = Span((idle.0 / 2).clamp(MIN.0, self.limit.0.max(MIN.0)));
    }

    /// Takes in that a connection which had been idle for `idle` carried the next request.
    pub fn record_reuse(&mut self, idle: Span) {
        if idle.0 * 2 > self.limit.0 {
            let risen = self.limit.0 + self.limit.0 / RISE_DIVISOR;
            self.limit = Span(risen.min(START.0));
        }
    }
}
