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
pub struct HedgeBudget {
    left: f64,
}

impl HedgeBudget {
    /// An empty budget.
    pub fn new() -> Self {
        HedgeBudget { left: 0.0 }
    }

    /// Adds the share of finished work that hedges may cause.
    pub fn refill(&mut self, work: Span, share: Rate) {
        self.left = (self.left + work.0 as f64 * share.0).min(BURST.0 as f64);
    }

    /// Takes the work of a hedge, if it is covered.
    pub fn try_spend(&mut self, work: Span) -> bool {
        let covered = work.0 as f64 <= self.left;
        if covered {
            self.left -= work.0 as f64;
        }
        covered
    }
}

impl Default for HedgeBudget {
    fn default() -> Self {
        HedgeBudget::new()
    }
}

/// A call under way, as its entry sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stream {
    /// When it was dispatched.
    pub dispatched_at: Time,
    /// When its last part came, if any came.
    pub last_received_at: Option<Time>,
    /// Tokens that came.
    pub received: Tokens,
}

impl Fleet {
    /// Whether a call should be run a second time at `other`: its endpoint is past its p95 time to the
    /// first token, or it stalls or is slow, and the other would be done much earlier.
    pub fn is_hedge_worthwhile(
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
        if !self.has_free_slot(index) {
            return false;
        }
        let Some(last) = stream.last_received_at else {
            return now.since(stream.dispatched_at).0 as f64 > group.first_token.value();
        };
        let received = stream.received.0.max(1) as f64;
        let average = last.since(stream.dispatched_at).0 as f64 / received;
        let stalled = now.since(last).0 as f64;
        let token_time = average.min(stalled.max(self.recent(ticket, now)));
        let left = (ticket.expected_generated.0 as f64 - received).max(received * 0.25);
        left * token_time > GAIN_MIN * self.expected(request, index, now)
    }

    /// Work that is lost whichever dispatch wins: all of the second, or what the first has done.
    pub fn hedge_cost(&self, ticket: &Ticket, stream: &Stream, other: &Ticket) -> Span {
        let token_time = self
            .groups
            .get(&ticket.target)
            .map_or(0.0, |group| group.token_time.value());
        let prefill =
            ticket.service_time.0 as f64 - ticket.expected_generated.0 as f64 * token_time;
        let done = stream.received.0 as f64 * token_time + prefill.max(0.0);
        Span(other.service_time.0.max(done as u64))
    }

    /// Whether a call would start at once there: a hedge never goes ahead of other work.
    fn has_free_slot(&self, index: usize) -> bool {
        let endpoint = &self.endpoints[index];
        endpoint.outstanding + endpoint.others < endpoint.info.slots
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
