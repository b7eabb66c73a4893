//! Answers of the gateway's own.

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::{Response, StatusCode};
use rand::Rng;
use units::Span;

use crate::call::Malformed;
use crate::dialect::Dialect;

/// The body of an answer; an error ends the connection, so that a cut answer never looks whole.
pub(crate) type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// Longest share of a caller's patience that it is asked to stay away: it honours no more.
const DELAY_SHARE: u64 = 3;
/// Delay that a caller is given when a queue is full: about the time of a turn.
const FULL_DELAY: Span = Span::from_ms(250);
/// Delay that a caller is given when the store is away: outages last several seconds, so a caller
/// that comes back early spends its retries in vain.
const AWAY_DELAY: Span = Span::from_ms(4_000);
/// Delay that a caller is given while a gateway starts: reading the tables takes some tens of
/// milliseconds.
const STARTING_DELAY: Span = Span::from_ms(150);
/// Delay that a caller is given when another host holds tokens that it will give back when idle.
const HELD_DELAY: Span = Span::from_ms(700);

/// Why a request gets no answer of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Its framing is in doubt; the connection ends.
    AmbiguousFraming,
    /// Its head cannot be used.
    Malformed(Malformed),
    /// Its head is too long.
    HeadTooLarge,
    /// Its body is too long.
    TooLarge,
    /// Its body did not come in time, or broke off.
    BodyIncomplete,
    /// No route matches.
    NoRoute,
    /// It goes on from a turn that does not exist.
    UnknownTurn,
    /// The program's budget is spent.
    BudgetSpent,
    /// Did not run: no environment is known yet.
    Starting,
    /// Did not run: the store, which it needs first, is away.
    StoreUnavailable,
    /// Did not run: tokens that it needs are reserved elsewhere.
    BudgetHeld,
    /// Did not run: the beginning of the stream was not kept.
    StreamNotKept,
    /// Did not run: every endpoint that was asked is full or cannot be reached.
    NoEndpoint,
    /// Did not run: there was no time left.
    DeadlinePassed,
    /// Whether it ran is not known: the connection to its endpoint broke, or the answer was no
    /// answer.
    EndpointFailed,
    /// Whether it ran is not known: its endpoint did not answer in time.
    EndpointTimedOut,
}

impl Refusal {
    /// The status.
    pub fn status(&self) -> StatusCode {
        match self {
            Refusal::AmbiguousFraming | Refusal::Malformed(_) | Refusal::BodyIncomplete => {
                StatusCode::BAD_REQUEST
            }
            Refusal::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Refusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::NoRoute | Refusal::UnknownTurn => StatusCode::NOT_FOUND,
            Refusal::BudgetSpent => StatusCode::PAYMENT_REQUIRED,
            Refusal::EndpointFailed => StatusCode::BAD_GATEWAY,
            Refusal::EndpointTimedOut => StatusCode::GATEWAY_TIMEOUT,
            Refusal::Starting
            | Refusal::StoreUnavailable
            | Refusal::BudgetHeld
            | Refusal::StreamNotKept
            | Refusal::NoEndpoint
            | Refusal::DeadlinePassed => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// A code for programs and logs.
    pub fn code(&self) -> &'static str {
        match self {
            Refusal::AmbiguousFraming => "framing",
            Refusal::Malformed(_) => "malformed",
            Refusal::HeadTooLarge => "head-too-large",
            Refusal::TooLarge => "too-large",
            Refusal::BodyIncomplete => "body-cut",
            Refusal::NoRoute => "no-route",
            Refusal::UnknownTurn => "no-turn",
            Refusal::BudgetSpent => "budget-spent",
            Refusal::Starting => "starting",
            Refusal::StoreUnavailable => "store-away",
            Refusal::BudgetHeld => "budget-held",
            Refusal::StreamNotKept => "no-beginning",
            Refusal::NoEndpoint => "no-endpoint",
            Refusal::DeadlinePassed => "no-time-left",
            Refusal::EndpointFailed => "endpoint-broke-off",
            Refusal::EndpointTimedOut => "endpoint-timed-out",
        }
    }

    /// When the caller should come back, with jitter so that callers do not come back together;
    /// `None` where it should not.
    pub fn delay(&self, patience: Span, rng: &mut impl Rng) -> Option<Span> {
        let base = match self {
            Refusal::NoEndpoint => FULL_DELAY,
            Refusal::StoreUnavailable => AWAY_DELAY,
            Refusal::Starting => STARTING_DELAY,
            Refusal::BudgetHeld => HELD_DELAY,
            _ => return None,
        };
        // No longer than the caller would wait. Callers come at times of their own, so a little
        // jitter keeps them apart, and more of it would only spend their retries early.
        let longest = (base.0 * 3 / 2).min(patience.0 / DELAY_SHARE);
        Some(Span(rng.random_range(longest * 9 / 10..=longest)))
    }

    /// Whether it is certain that no endpoint ran or will run the request.
    pub fn ran(&self) -> &'static str {
        match self {
            Refusal::EndpointFailed | Refusal::EndpointTimedOut => "unknown",
            _ => "no",
        }
    }
}

/// The answer for a refusal.
pub(crate) fn refuse(
    dialect: &dyn Dialect,
    id: &CompactString,
    refusal: &Refusal,
    delay: Option<Span>,
) -> Response<Body> {
    let retry_ms = delay.map_or(0, Span::as_ms);
    let message = match refusal {
        Refusal::Malformed(why) => why.to_string(),
        _ => String::new(),
    };
    let text = format!(
        "{{\"code\":\"{}\",\"ran\":\"{}\",\"retry_after_ms\":{retry_ms},\"message\":\"{message}\"}}\n",
        refusal.code(),
        refusal.ran()
    );
    let mut response = Response::new(whole(text.into()));
    *response.status_mut() = refusal.status();
    let headers = response.headers_mut();
    headers.extend(dialect.correlation_headers(id));
    if let Some(delay) = delay {
        headers.extend(dialect.retry_after(delay));
    }
    if matches!(
        refusal,
        Refusal::AmbiguousFraming
            | Refusal::HeadTooLarge
            | Refusal::TooLarge
            | Refusal::BodyIncomplete
    ) {
        close(&mut response);
    }
    response
}

/// Makes the connection end with this answer.
pub(crate) fn close(response: &mut Response<Body>) {
    let value = hyper::header::HeaderValue::from_static("close");
    response
        .headers_mut()
        .insert(hyper::header::CONNECTION, value);
}

/// A body that is all there.
pub(crate) fn whole(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}
