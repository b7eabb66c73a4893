//! Hedging: when an idempotent call is dispatched a second time to another endpoint.
//!
//! Hedges spend a budget that finished work refills, so that extra work stays below a share of all
//! work in any state of the endpoints.

use units::{Rate, Span, Time, Tokens};

use crate::fleet::Fleet;
use crate::route::{Request, Ticket};

/// A hedge must be expected to finish this many times faster than the remainder of the first
/// dispatch.
const GAIN_MIN: f64 = 2.0;
/// Largest amount of work that the budget can accumulate.
const BUDGET_MAX: Span = Span::from_ms(2_000);

/// Amount of work that hedges may still cause.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgeBudget {
    remaining_us: f64,
}

impl HedgeBudget {
    /// An empty budget.
    pub fn new() -> Self {
        HedgeBudget { remaining_us: 0.0 }
    }

    /// Adds `share` of a finished call's work to the budget.
    pub fn refill(&mut self, work: Span, share: Rate) {
        self.remaining_us = (self.remaining_us + work.0 as f64 * share.0).min(BUDGET_MAX.0 as f64);
    }

    /// Deducts the work of a hedge if the budget covers it, and returns whether it does.
    pub fn try_spend(&mut self, work: Span) -> bool {
        let is_covered = work.0 as f64 <= self.remaining_us;
        if is_covered {
            self.remaining_us -= work.0 as f64;
        }
        is_covered
    }
}

impl Default for HedgeBudget {
    fn default() -> Self {
        HedgeBudget::new()
    }
}

/// Progress of a call's answer, as observed by its entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stream {
    /// Time at which the call was dispatched.
    pub dispatched_at: Time,
    /// Time at which the latest part of the answer arrived, if any has.
    pub last_received_at: Option<Time>,
    /// Tokens received so far.
    pub received: Tokens,
}

impl Fleet {
    /// Whether a call should be dispatched a second time, to the endpoint of `other`. That endpoint
    /// must have a free slot. Before the first token, the call must have waited longer than the
    /// target's p95 time to the first token; after it, the answer must be so slow that a hedge
    /// would finish much sooner.
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
            return now.since(stream.dispatched_at).0 as f64 > group.first_token_time.value();
        };
        let received = stream.received.0.max(1) as f64;
        let average = last.since(stream.dispatched_at).0 as f64 / received;
        let stall = now.since(last).0 as f64;
        let token_time = average.min(stall.max(self.recent_token_time(ticket, now)));
        let remaining = (ticket.expected_generated.0 as f64 - received).max(received * 0.25);
        remaining * token_time > GAIN_MIN * self.expected_completion(request, index, now)
    }

    /// Most work that a hedge can waste: all of the second dispatch if the first wins, or the work
    /// already done by the first if the second wins.
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

    /// Whether a call would start at once at an endpoint; a hedge must not delay other work.
    fn has_free_slot(&self, index: usize) -> bool {
        let endpoint = &self.endpoints[index];
        endpoint.outstanding + endpoint.other_calls < endpoint.info.slots
    }

    /// Recent time per token at the endpoint of `ticket`, in microseconds.
    fn recent_token_time(&self, ticket: &Ticket, now: Time) -> f64 {
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
