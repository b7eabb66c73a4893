//! Credit that a host has obtained for the requests of one account.

use units::{Span, Time};

/// Time after which unused credit is given up: it was granted out of the limit of that time.
const CREDIT_TIME: Span = Span::from_ms(1_500);
/// Requests that are expected after each one: a program sends several in a row.
const EXPECTED_MIN: u16 = 2;
/// Time for whose requests a host obtains credit in advance.
const AHEAD: Span = Span::from_ms(400);
/// Weight of the latest interval in the estimate of the request rate.
const RATE_WEIGHT: f64 = 0.3;
/// Interval over which requests are counted for the estimate.
const RATE_INTERVAL: Span = Span::from_ms(500);

/// Whether a request begins a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The first request of a program.
    New,
    /// A later request of a program under way, or one without a program.
    UnderWay,
}

/// Credit of one account, and its demand at this host.
#[derive(Clone, Copy, Debug, Default)]
pub struct Credit {
    requests: u16,
    obtained_at: Time,
    /// Estimate of the requests per second.
    rate: f64,
    counted: u32,
    counted_since: Time,
    used_at: Time,
}

impl Credit {
    /// Records a request, whether it is admitted or not; returns whether credit covers it.
    pub fn take(&mut self, now: Time) -> bool {
        let elapsed = now.since(self.counted_since);
        if elapsed >= RATE_INTERVAL {
            let rate = f64::from(self.counted) / elapsed.as_secs_f64();
            self.rate += RATE_WEIGHT * (rate - self.rate);
            self.counted = 0;
            self.counted_since = now;
        }
        self.counted += 1;
        self.used_at = now;
        if self.requests == 0 || now.since(self.obtained_at) >= CREDIT_TIME {
            self.requests = 0;
            return false;
        }
        self.requests -= 1;
        true
    }

    /// Returns the requests for which credit is wanted in advance.
    pub fn expected(&self) -> u16 {
        let ahead = self.rate * AHEAD.as_secs_f64();
        (ahead.min(f64::from(u16::MAX)) as u16)
            .max(EXPECTED_MIN)
            .saturating_sub(self.requests)
    }

    /// Adds credit for requests that may be sent later.
    pub fn add(&mut self, requests: u16, now: Time) {
        if requests > 0 {
            self.requests = self.requests.saturating_add(requests);
            self.obtained_at = now;
        }
    }

    /// Whether the account had no request for long enough to be forgotten.
    pub fn is_idle(&self, now: Time) -> bool {
        now.since(self.used_at) >= Span(CREDIT_TIME.0 * 4)
    }
}
