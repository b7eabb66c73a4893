//! What a stopping gateway still serves.
//!
//! The process is killed some seconds after it was told to stop. A request that is still with its endpoint
//! then gets no answer, so that its caller cannot tell whether it ran. So requests get their final answer
//! before that moment, and one that arrives late and may last longer is refused while that is certain not
//! to have run.

use units::{Span, Time};

/// Least time that a stopping gateway accepts new requests: the load balancer before the gateways
/// checks readiness each second and needs two failed checks, and the result has to propagate.
pub(crate) const DRAIN_TIME: Span = Span::from_ms(2_800);
/// Time between the end of a stopping gateway and the moment when it would be killed, a reserve for
/// its last writes.
pub(crate) const DRAIN_SLACK: Span = Span::from_ms(600);
/// Time for the last answers to be sent.
const ANSWER_SLACK: Span = Span::from_ms(150);

/// The times of a stop.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    requested_at: Time,
    within: Span,
}

impl Stop {
    /// Creates a stop that was requested at `requested_at`. The process has to end within `within`.
    pub fn new(requested_at: Time, within: Span) -> Self {
        Stop {
            requested_at,
            within,
        }
    }

    /// Returns the time when the process ends, whether or not requests are left.
    pub fn end(&self) -> Time {
        let within = Span(self.within.0.saturating_sub(DRAIN_SLACK.0));
        self.requested_at.after(within)
    }

    /// Returns the time by which all requests have their final answer.
    pub fn answers_end(&self) -> Time {
        let end = Time(self.end().0.saturating_sub(ANSWER_SLACK.0));
        end.max(self.requested_at)
    }

    /// Returns the deadline of a request that is to be sent to an endpoint at `now`, or `None` if it has
    /// to be refused.
    pub fn deadline(&self, deadline: Time, now: Time) -> Option<Time> {
        let answers_end = self.answers_end();
        let is_late = now >= self.requested_at.after(DRAIN_TIME) || now >= answers_end;
        if deadline > answers_end && is_late {
            return None;
        }
        Some(deadline.min(answers_end))
    }
}
