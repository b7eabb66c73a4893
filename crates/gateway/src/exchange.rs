//! One request: from its body to the head of its answer.

use std::sync::Arc;

use bytes::Bytes;
use compact_str::CompactString;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use policy::{Demand, Fault};
use slog::info;
use smol::future::FutureExt;
use units::{Span, Time};

use crate::accept::expire;
use crate::attempt::{Arrived, Attempt, Visit};
use crate::availability::{store_call_deadline, store_wait_deadline};
use crate::call::Call;
use crate::environment::{Environment, Repeat, Route};
use crate::prompt::{chunks, hash};
use crate::relay::{Relay, collect};
use crate::reply::{Body, Refusal, whole};
use crate::state::Shared;
use crate::turn::{self, Opened, Ticket};

/// Connections that are tried for one request; none of them has carried a byte of it.
const CONNECTS_MAX: usize = 3;
/// Wait for an endpoint's own answer at the deadline, which it was told.
pub(crate) const DEADLINE_SLACK: Span = Span::from_ms(40);
/// Answers of plain services up to this length are held until they are whole, so that a cut one can
/// still be an error or a repeat.
pub(crate) const WHOLE_MAX_BYTES: usize = 1 << 20;

/// All that belongs to one request.
pub(crate) struct Exchange {
    pub(crate) shared: Arc<Shared>,
    pub(crate) environment: Arc<Environment>,
    pub(crate) call: Call,
    pub(crate) head: Parts,
    /// When its head had come.
    pub(crate) started: Time,
    /// When its caller has to have a final answer.
    pub(crate) deadline: Time,
    pub(crate) route: Route,
    pub(crate) service: CompactString,
}

impl Exchange {
    /// Serves the request: opens its turn if it is one, chooses an endpoint, reserves its tokens,
    /// and sends it.
    ///
    /// # Errors
    /// The refusal to answer with.
    pub(crate) async fn run(self, body: Bytes) -> Result<Response<Body>, Refusal> {
        let ready = self.prepare(&body).await?;
        match self.send(&ready.body, ready.first, ready.home).await? {
            Found::Whole(response) => Ok(response),
            Found::Stream(arrived) => Ok(self.relay(*arrived, ready.ticket)),
        }
    }

    /// Prepares the request; waits a while for the store if that is away.
    async fn prepare(&self, body: &Bytes) -> Result<Ready, Refusal> {
        let end = store_wait_deadline(self.started, self.deadline);
        let limit = store_call_deadline(self.started, self.deadline);
        let mut waited = false;
        loop {
            let expire = expire(&self.shared, limit, Refusal::StoreUnavailable);
            let prepared = self.try_prepare(body.clone()).or(expire).await;
            let now = self.shared.clock.now();
            let is_unavailable = matches!(prepared, Err(Refusal::StoreUnavailable));
            if is_unavailable && now < end {
                waited = true;
                self.shared.rows.returned(end).await;
                continue;
            }
            if waited {
                info!(self.shared.log, "request waited for the store"; "request" => %self.call.id,
                    "program" => self.call.program.as_deref().unwrap_or(""), "back" => !is_unavailable,
                    "waited_ms" => now.since(self.started).as_ms());
            }
            return prepared;
        }
    }

    /// Opens the turn, if the request is one, chooses an endpoint and reserves the turn's tokens.
    async fn try_prepare(&self, body: Bytes) -> Result<Ready, Refusal> {
        let opened = turn::open(
            &self.shared,
            &self.environment,
            &self.route,
            &self.call,
            &self.service,
            body,
        );
        let (body, opened) = opened.await?;
        let home = || opened.as_ref().map(Opened::home);
        let mut first = self.choose(&body, home(), &[]).ok_or(Refusal::NoEndpoint)?;
        let before = home();
        let ticket = match &opened {
            None => None,
            Some(opened) => Some(opened.reserve(&first.choice.id).await?),
        };
        // The account may have told where the program ran before.
        if before.is_some_and(|home| home.is_empty()) && home() != Some(first.choice.id.clone()) {
            drop(first);
            first = self.choose(&body, home(), &[]).ok_or(Refusal::NoEndpoint)?;
        }
        let home = home();
        Ok(Ready {
            body,
            first,
            home,
            ticket,
        })
    }

    /// Sends the request, first to the endpoint of `first`, until it has an answer, within what may
    /// be repeated.
    async fn send(
        &self,
        body: &Bytes,
        first: Visit,
        home: Option<CompactString>,
    ) -> Result<Found, Refusal> {
        let mut first = Some(first);
        let mut tried: Vec<CompactString> = Vec::new();
        let (mut sent, mut connects) = (0, 0);
        let mut unknown = None;
        while sent < self.route.max_attempts.max(1) && connects < CONNECTS_MAX {
            let now = self.shared.clock.now();
            if now >= self.deadline {
                return Err(unknown.unwrap_or(Refusal::DeadlinePassed));
            }
            let next = || self.choose(body, home.clone(), &tried);
            let Some(visit) = first.take().or_else(next) else {
                break;
            };
            tried.push(visit.choice.id.clone());
            let until = self.attempt_deadline(sent, now);
            let attempt = self.attempt(body, visit, until).await;
            let outcome = match attempt {
                Attempt::Answered(arrived) => self.take(*arrived).await,
                other => Err(other),
            };
            match outcome {
                Ok(found) => return Ok(found),
                Err(Attempt::Unsent) => connects += 1,
                Err(Attempt::NotRun) => sent += 1,
                Err(Attempt::Unknown(refusal)) if self.route.is_idempotent() => {
                    sent += 1;
                    unknown = Some(refusal);
                }
                Err(Attempt::Unknown(refusal)) => return Err(refusal),
                Err(Attempt::Answered(_)) => return Err(Refusal::EndpointFailed),
            }
        }
        Err(unknown.unwrap_or(Refusal::NoEndpoint))
    }

    fn choose(
        &self,
        body: &Bytes,
        home: Option<CompactString>,
        tried: &[CompactString],
    ) -> Option<Visit> {
        let now = self.shared.clock.now();
        let chunks = chunks(&self.call);
        let object = self.call.object.as_ref().filter(|_| self.route.sticky);
        let key = object.or(self.call.program.as_ref());
        let demand = Demand {
            service: &self.service,
            chunks: &chunks,
            bytes: body.len() as u64,
            last_endpoint: home.as_deref().unwrap_or(""),
            hash_key: hash(key.unwrap_or(&self.call.id)),
        };
        let choice = self.shared.places().choose(&demand, tried, now)?;
        Some(Visit {
            shared: self.shared.clone(),
            choice,
            sent: now,
            begun: false,
            fault: Fault::None,
        })
    }

    /// When an attempt is given up: a request that may be repeated leaves time for the repeat.
    fn attempt_deadline(&self, sent: u32, now: Time) -> Time {
        let left = self.route.max_attempts.saturating_sub(sent);
        if self.route.is_idempotent() && left > 1 {
            now.after(Span(self.deadline.since(now).0 / 2))
        } else {
            self.deadline.after(DEADLINE_SLACK)
        }
    }

    /// Takes an answer: a stream as it is, any other whole.
    async fn take(&self, mut arrived: Arrived) -> Result<Found, Attempt> {
        let streams = self.route.repeat == Repeat::Stream && arrived.response.status().is_success();
        if streams {
            return Ok(Found::Stream(Box::new(arrived)));
        }
        arrived.visit.begin();
        let headers = self
            .shared
            .adapter
            .dialect
            .response_headers(&head_of(&arrived.response));
        let status = arrived.response.status();
        let body = arrived.response.body_mut();
        let until = self.deadline.after(DEADLINE_SLACK);
        match collect(&self.shared, body, WHOLE_MAX_BYTES, until).await {
            Ok(bytes) => {
                self.keep(arrived.lease, &arrived.pool, arrived.receipt);
                self.tell_answer(&arrived.visit, status, "answered");
                let mut response = Response::new(whole(bytes));
                *response.status_mut() = status;
                *response.headers_mut() = headers;
                Ok(Found::Whole(response))
            }
            Err(refusal) => {
                arrived.visit.fault = Fault::Failed;
                self.tell_attempt(&arrived.visit, "answer cut", refusal.code());
                Err(Attempt::Unknown(refusal))
            }
        }
    }

    fn relay(self, arrived: Arrived, ticket: Option<Ticket>) -> Response<Body> {
        let head = head_of(&arrived.response);
        let mut headers = self.shared.adapter.dialect.response_headers(&head);
        // The end of the answer is the end of the stream, and that may have to wait.
        headers.remove(hyper::header::CONTENT_LENGTH);
        let incoming = arrived.response.into_body();
        let relay = Relay::new(self, incoming, arrived.visit, ticket).with_connection(
            arrived.lease,
            arrived.pool,
            arrived.receipt,
        );
        let mut response = Response::new(relay.into_body());
        *response.status_mut() = head.status;
        *response.headers_mut() = headers;
        response
    }

    pub(crate) fn tell_answer(&self, visit: &Visit, status: StatusCode, outcome: &'static str) {
        let shared = &self.shared;
        let now = shared.clock.now();
        let took = now.since(self.started);
        shared.metrics.request(outcome);
        shared.metrics.time("request", took.as_secs_f64());
        info!(shared.log, "request ended"; "request" => %self.call.id, "outcome" => outcome,
            "program" => self.call.program.as_deref().unwrap_or(""),
            "route" => %self.route.name, "service" => %self.service,
            "endpoint" => %visit.choice.id, "status" => status.as_u16(),
            "environment" => self.environment.version,
            "expected_ms" => visit.choice.expected.as_ms(), "missing" => visit.choice.missing.0,
            "compared" => visit.choice.compared,
            "sent_ms" => visit.sent.since(self.started).as_ms(),
            "took_ms" => took.as_ms(), "left_ms" => self.deadline.since(now).as_ms());
    }
}

/// A request that may be sent.
struct Ready {
    /// The text for the endpoint: for a turn that goes on from others, with theirs.
    body: Bytes,
    /// Where to send it first.
    first: Visit,
    /// The endpoint that probably has most of the text in memory.
    home: Option<CompactString>,
    ticket: Option<Ticket>,
}

/// An answer for the caller: one that is all here, or a stream that begins.
enum Found {
    Whole(Response<Body>),
    Stream(Box<Arrived>),
}

fn head_of(response: &Response<Incoming>) -> hyper::http::response::Parts {
    let mut head = Response::new(()).into_parts().0;
    head.status = response.status();
    head.headers = response.headers().clone();
    head
}
