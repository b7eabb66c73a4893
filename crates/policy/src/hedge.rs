//! When an idempotent call is run a second time elsewhere.
//!
//! The work of hedges is paid from a budget that finished work fills, so that extra work stays below
//! a share of all work whatever the endpoints do.

use units::{Rate, Span, Time, Tokens};

use crate::fleet::Fleet;
use crate::route::{Request, Ticket};

const GAIN_MIN: f64 = 2.0;
const BURST: Span = Span::from_ms(2_000);

/// Work that hedges may still cause.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    left: f64,
}

impl Budget {
    /// An empty budget.
    pub fn new() -> Self {
        Budget { left: 0.0 }
    }

    /// Adds the share of finished work that hedges may cause.
    pub fn earn(&mut self, work: Span, share: Rate) {
        self.left = (self.left + work.0 as f64 * share.0).min(BURST.0 as f64);
    }

    /// Takes the work of a hedge, if it is covered.
    pub fn take(&mut self, work: Span) -> bool {
        let covered = work.0 as f64 <= self.left;
        if covered {
            self.left -= work.0 as f64;
        }
        covered
    }
}

impl Default for Budget {
    fn default() -> Self {
        Budget::new()
    }
}

/// A call under way, as its entry sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stream {
    /// When it was dispatched.
    pub since: Time,
    /// When its last part came, if any came.
    pub last: Option<Time>,
    /// Tokens that came.
    pub received: Tokens,
}

impl Fleet {
    /// Whether a call should be run a second time at `other`: its endpoint is past its p95 time to the
    /// first token, or it stalls or is slow, and the other would be done much earlier.
    pub fn worth_hedging(
        &self,
        request: &Request,
        ticket: &Ticket,
        stream: &Stream,
        other: &Ticket,
        now: Time,
    ) -> bool {
        let Some(group) = self.groups.get(&request.target) else {
            return false;
        };
        let Some(index) = self.index(&other.host) else {
            return false;
        };
        let Some(last) = stream.last else {
            return now.since(stream.since).0 as f64 > group.first_token.value();
        };
        let received = stream.received.0.max(1) as f64;
        let average = last.since(stream.since).0 as f64 / received;
        let stalled = now.since(last).0 as f64;
        let token_time = average.min(stalled.max(self.recent(ticket, now)));
        let left = (ticket.generated.0 as f64 - received).max(received * 0.25);
        left * token_time > GAIN_MIN * self.expected(request, index, now)
    }

    /// Time per token at the endpoint of `ticket` lately, in microseconds.
    fn recent(&self, ticket: &Ticket, now: Time) -> f64 {
        let token_time = self
            .groups
            .get(&ticket.target)
            .map_or(0.0, |group| group.token_time.value());
        let slowness = self
            .index(&ticket.host)
            .map_or(1.0, |index| self.slowness(index, now));
        token_time * slowness
    }
}
