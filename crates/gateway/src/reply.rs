//! Responses that the gateway itself creates.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::BodyExt;
use http_body_util::combinators::UnsyncBoxBody;
use http_io::Payload;
use hyper::body::{Body as _, Frame, SizeHint};
use hyper::{Response, StatusCode};
use intake::Request;
use memory::Charge;
use rand::Rng;
use units::{Bytes as Size, Span};

use crate::call::Malformed;
use crate::dialect::Dialect;

/// Body of an answer. An error in it aborts the connection, so that a truncated answer never looks
/// complete.
pub(crate) type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// Longest retry delay that callers honour, as a divisor of their remaining time.
const RETRY_DELAY_DIVISOR: u64 = 3;
/// Retry delay if no endpoint is available: about the duration of a turn.
const NO_ENDPOINT_DELAY: Span = Span::from_ms(250);
/// Retry delay if the store is unavailable: outages last several seconds, so a caller that retries
/// early uses up its retries without success.
const STORE_UNAVAILABLE_DELAY: Span = Span::from_ms(4_000);
/// Retry delay if a route may be missing only on this host: callers retry at another one.
const STALE_ENVIRONMENT_DELAY: Span = Span::from_ms(250);
/// Retry delay if only this host may be unable to keep a limit: callers retry at another one.
const LIMIT_UNKNOWN_DELAY: Span = Span::from_ms(250);
/// Retry delay while a gateway starts: reading the tables takes some tens of milliseconds.
const STARTING_DELAY: Span = Span::from_ms(150);
/// Retry delay while a gateway stops: callers retry at another one.
const STOPPING_DELAY: Span = Span::from_ms(10);
/// Retry delay if another host holds tokens: it releases them when the program is idle there.
const BUDGET_HELD_DELAY: Span = Span::from_ms(700);
/// Retry delay while requests of callers take all the memory: about the duration of a turn.
const OVERLOADED_DELAY: Span = Span::from_ms(500);
/// Shortest retry delay beyond an account's limit: most of its other requests return as well.
const OVER_LIMIT_DELAY_MIN: Span = Span::from_ms(500);
/// Shortest retry delay after another attempt of a suspect request.
const SUSPECT_RESERVED_DELAY_MIN: Span = Span::from_ms(200);

/// Why the gateway answers a request itself, without an endpoint's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The head has both a content length and a transfer coding; the connection is closed.
    AmbiguousFraming,
    /// The head of the request is malformed.
    Malformed(Malformed),
    /// The head of the request is too long.
    HeadTooLarge,
    /// The body of the request is too long.
    TooLarge,
    /// The body of the request ended early or did not arrive in time.
    BodyIncomplete,
    /// No route matches host and path.
    NoRoute,
    /// Did not run: no route matches host and path, in an environment that may be out of date.
    StaleEnvironment,
    /// The request continues a turn that does not exist.
    UnknownTurn,
    /// Another turn with this identifier is stored.
    TurnExists,
    /// The request has no key of a client account.
    UnknownKey,
    /// Did not run: the client account has used up its limit. Holds the time after which a request may
    /// be admitted.
    OverLimit(Span),
    /// Did not run: the client account has a limit, and this host cannot tell its part of it.
    LimitUnknown,
    /// The budget of the program is spent.
    BudgetSpent,
    /// Did not run: the gateway stops before the request is certain to have an answer.
    Stopping,
    /// Did not run: the gateway has not read an environment yet.
    Starting,
    /// Did not run: the request needs the store, which is unavailable.
    StoreUnavailable,
    /// Did not run: other hosts hold the tokens that the request needs.
    BudgetHeld,
    /// Did not run: the request resumes a stream that may not be resumed, or whose origin is unknown.
    StreamNotKept,
    /// Did not run: the request resumes a stream, and no endpoint of the release that began it serves.
    ReleaseGone,
    /// Did not run: there is no endpoint, or all endpoints that were tried are full or unreachable.
    NoEndpoint,
    /// Did not run: the endpoints limit the rate of requests, and this host's share is used up. Holds
    /// the time until a request may be sent.
    EndpointsLimited(Span),
    /// Did not run: earlier attempts of the request crashed the endpoints that ran them.
    Quarantined,
    /// Did not run: earlier attempts of the request crashed the endpoints that ran them, and another
    /// attempt has not ended yet. Holds the time after which to try again.
    SuspectReserved(Span),
    /// Did not run: requests of callers take all the memory that they may.
    Overloaded,
    /// Did not run: the deadline has passed.
    DeadlinePassed,
    /// May have run: the connection to the endpoint was lost, or its response was unusable.
    EndpointFailed,
    /// May have run: the endpoint did not answer in time.
    EndpointTimedOut,
}

impl Refusal {
    /// Returns the HTTP status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            Refusal::AmbiguousFraming | Refusal::Malformed(_) | Refusal::BodyIncomplete => {
                StatusCode::BAD_REQUEST
            }
            Refusal::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Refusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::NoRoute | Refusal::UnknownTurn => StatusCode::NOT_FOUND,
            Refusal::TurnExists => StatusCode::CONFLICT,
            Refusal::UnknownKey => StatusCode::UNAUTHORIZED,
            Refusal::OverLimit(_) => StatusCode::TOO_MANY_REQUESTS,
            Refusal::BudgetSpent => StatusCode::PAYMENT_REQUIRED,
            Refusal::EndpointFailed => StatusCode::BAD_GATEWAY,
            Refusal::EndpointTimedOut => StatusCode::GATEWAY_TIMEOUT,
            Refusal::Starting
            | Refusal::Stopping
            | Refusal::StaleEnvironment
            | Refusal::LimitUnknown
            | Refusal::StoreUnavailable
            | Refusal::BudgetHeld
            | Refusal::StreamNotKept
            | Refusal::ReleaseGone
            | Refusal::NoEndpoint
            | Refusal::EndpointsLimited(_)
            | Refusal::Quarantined
            | Refusal::SuspectReserved(_)
            | Refusal::Overloaded
            | Refusal::DeadlinePassed => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the code that stands in the response and in the log.
    pub fn code(&self) -> &'static str {
        match self {
            Refusal::AmbiguousFraming => "framing",
            Refusal::Malformed(_) => "malformed",
            Refusal::HeadTooLarge => "head-too-large",
            Refusal::TooLarge => "too-large",
            Refusal::BodyIncomplete => "body-cut",
            Refusal::NoRoute => "no-route",
            Refusal::StaleEnvironment => "environment-stale",
            Refusal::UnknownTurn => "no-turn",
            Refusal::TurnExists => "turn-exists",
            Refusal::UnknownKey => "unknown-key",
            Refusal::OverLimit(_) => "over-limit",
            Refusal::LimitUnknown => "limit-unknown",
            Refusal::BudgetSpent => "budget-spent",
            Refusal::Starting => "starting",
            Refusal::Stopping => "stopping",
            Refusal::StoreUnavailable => "store-away",
            Refusal::BudgetHeld => "budget-held",
            Refusal::StreamNotKept => "no-beginning",
            Refusal::ReleaseGone => "release-gone",
            Refusal::NoEndpoint => "no-endpoint",
            Refusal::EndpointsLimited(_) => "endpoints-limited",
            Refusal::Quarantined => "quarantined",
            Refusal::SuspectReserved(_) => "suspect-reserved",
            Refusal::Overloaded => "overloaded",
            Refusal::DeadlinePassed => "no-time-left",
            Refusal::EndpointFailed => "endpoint-broke-off",
            Refusal::EndpointTimedOut => "endpoint-timed-out",
        }
    }

    /// Returns the delay after which the caller should retry, with jitter so that callers do not
    /// retry at the same moment; `None` if a retry is of no use. `remaining` is the caller's time
    /// until its deadline.
    pub fn retry_delay(&self, remaining: Span, rng: &mut impl Rng) -> Option<Span> {
        let base = match self {
            Refusal::NoEndpoint => NO_ENDPOINT_DELAY,
            Refusal::StaleEnvironment => STALE_ENVIRONMENT_DELAY,
            Refusal::LimitUnknown => LIMIT_UNKNOWN_DELAY,
            Refusal::StoreUnavailable => STORE_UNAVAILABLE_DELAY,
            Refusal::Starting => STARTING_DELAY,
            Refusal::Stopping => STOPPING_DELAY,
            Refusal::BudgetHeld => BUDGET_HELD_DELAY,
            Refusal::SuspectReserved(delay) => *delay.max(&SUSPECT_RESERVED_DELAY_MIN),
            Refusal::EndpointsLimited(delay) => *delay,
            Refusal::Overloaded => OVERLOADED_DELAY,
            Refusal::OverLimit(delay) => *delay.max(&OVER_LIMIT_DELAY_MIN),
            _ => return None,
        };
        // The delay does not exceed what the caller honours. Callers arrive at different times, so
        // a little jitter keeps them apart; more of it would only use up their retries early.
        let longest = (base.0 * 3 / 2).min(remaining.0 / RETRY_DELAY_DIVISOR);
        Some(Span(rng.random_range(longest * 9 / 10..=longest)))
    }

    /// Returns "no" if it is certain that no endpoint ran or will run the request, else "unknown".
    pub fn ran(&self) -> &'static str {
        match self {
            Refusal::EndpointFailed | Refusal::EndpointTimedOut => "unknown",
            _ => "no",
        }
    }
}

/// Builds the response for a refusal.
pub(crate) fn refusal_response(
    dialect: &dyn Dialect,
    id: &CompactString,
    refusal: &Refusal,
    delay: Option<Span>,
) -> Response<Body> {
    let retry_ms = delay.map_or(0, Span::as_ms);
    let message = match refusal {
        Refusal::Malformed(error) => error.to_string(),
        Refusal::Quarantined => {
            "earlier attempts of this request crashed the endpoints that ran them".to_owned()
        }
        _ => String::new(),
    };
    let json = format!(
        "{{\"code\":\"{}\",\"ran\":\"{}\",\"retry_after_ms\":{retry_ms},\"message\":\"{message}\"}}\n",
        refusal.code(),
        refusal.ran()
    );
    let mut response = Response::new(full_body(Bytes::from(json)));
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
        close_connection(&mut response);
    }
    response
}

/// Makes the connection end after this response.
pub(crate) fn close_connection(response: &mut Response<Body>) {
    let value = hyper::header::HeaderValue::from_static("close");
    response
        .headers_mut()
        .insert(hyper::header::CONNECTION, value);
}

/// A body that keeps the request in the host's ledger until it has been sent or dropped.
struct Held {
    body: Body,
    request: Request,
    /// Memory of the answer.
    _charge: Option<Charge>,
    /// Whether the whole body is in memory.
    is_complete: bool,
}

impl hyper::body::Body for Held {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        if self.is_complete {
            self.request.progress();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Keeps `request`, and the memory of its answer, until the body of the answer has been sent or dropped.
pub(crate) fn hold_request(
    response: Response<Body>,
    mut request: Request,
    charge: Option<Charge>,
) -> Response<Body> {
    response.map(|body| {
        let length = body.size_hint().exact();
        if let Some(length) = length {
            request.send(Size(length));
        }
        let held = Held {
            body,
            request,
            _charge: charge,
            is_complete: length.is_some(),
        };
        held.boxed_unsync()
    })
}

/// Returns a body of known length.
pub(crate) fn full_body(payload: impl Into<Payload>) -> Body {
    payload
        .into()
        .map_err(|never| match never {})
        .boxed_unsync()
}
