//! Limit of the idle time after which a connection to an endpoint is no longer used.
//!
//! Some endpoints drop idle connections without closing them, and earlier than they announce. The
//! next request on such a connection is lost, which fails a request that must not be repeated. A
//! new connection costs far less than a lost request, so the limit falls at once and rises slowly.

use units::Span;

/// Limit before the first observation, and the highest one: well below what endpoints announce, and
/// above the pause between two requests of one host to one endpoint.
const INITIAL_LIMIT: Span = Span::from_ms(4_000);
/// Lowest limit: below it hardly any connection would be used twice.
const LIMIT_MIN: Span = Span::from_ms(100);
/// Each successful use after more than half of the limit raises it by `limit / RISE_DIVISOR`.
const RISE_DIVISOR: u64 = 50;

/// Limit of the idle time of connections to the endpoints of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdleLimit {
    limit: Span,
}

impl Default for IdleLimit {
    fn default() -> Self {
        IdleLimit {
            limit: INITIAL_LIMIT,
        }
    }
}

impl IdleLimit {
    /// Longest idle time after which a connection carries a request that must not be repeated.
    pub fn limit(&self) -> Span {
        self.limit
    }

    /// Records that a connection was lost with the first request after it had been idle for `idle`.
    pub fn record_loss(&mut self, idle: Span) {
        self.limit = Span((idle.0 / 2).clamp(LIMIT_MIN.0, self.limit.0.max(LIMIT_MIN.0)));
    }

    /// Records that a connection carried a request after it had been idle for `idle`.
    pub fn record_reuse(&mut self, idle: Span) {
        if idle.0 * 2 > self.limit.0 {
            let raised = self.limit.0 + self.limit.0 / RISE_DIVISOR;
            self.limit = Span(raised.min(INITIAL_LIMIT.0));
        }
    }
}
