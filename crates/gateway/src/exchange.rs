//! One request, from its complete body to the head of its answer.

use std::sync::Arc;

use bytes::Bytes;
use clients::Account;
use clients::owner::{Id, Owner};
use compact_str::{CompactString, ToCompactString};
use http_io::Payload;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use policy::{Admission, Demand, Fault, LOSSES_MAX, Suspect};
use slog::info;
use smol::future::FutureExt;
use units::{Span, Time};

use crate::accept::expire;
use crate::attempt::{AttemptOutcome, EndpointResponse, Placement};
use crate::availability::{store_call_deadline, store_wait_deadline};
use crate::call::{Call, Sender};
use crate::crashes::{self, LossKind};
use crate::environment::{Environment, Repeat, Route};
use crate::losses;
use crate::prompt::{chunks, stable_hash};
use crate::relay::{Relay, collect};
use crate::reply::{Body, Refusal, full_body};
use crate::reservation::{Reservation, reserved_endpoint};
use crate::state::Shared;
use crate::turn::{self, AdmittedTurn, OpenTurn};

/// Most attempts of one request that may fail before a byte of it is sent.
const CONNECT_ATTEMPTS_MAX: usize = 3;
/// How long an attempt waits beyond the deadline: the endpoint receives the deadline and may send
/// its own answer when the deadline passes.
pub(crate) const DEADLINE_SLACK: Span = Span::from_ms(40);
/// Share of the time of a request that it waits for an endpoint whose limit is used up, as a divisor.
const LIMIT_WAIT_DIVISOR: u64 = 4;
/// Longest answer of a plain service. Such an answer is buffered until it is complete, so that a
/// truncated one can still become an error or another attempt.
pub(crate) const BUFFERED_MAX_BYTES: usize = 1 << 20;

/// A request that is being served, with its route and environment.
pub(crate) struct Exchange {
    pub(crate) shared: Arc<Shared>,
    pub(crate) environment: Arc<Environment>,
    pub(crate) call: Call,
    /// The client account that sent the request.
    pub(crate) account: Option<Account>,
    /// Owner of the identifiers in the request.
    pub(crate) owner: Owner,
    /// The program that the request belongs to.
    pub(crate) program: Option<Id>,
    /// Identifies the request over all attempts of its caller.
    pub(crate) suspect: Suspect,
    /// Whether the request is in quarantine, and sent once to learn whether it still has to be.
    pub(crate) is_trial: bool,
    /// Set while the only attempt of a suspect request that may run at a time is this one.
    pub(crate) reservation: Option<Reservation>,
    pub(crate) head: Parts,
    /// When the head of the request arrived.
    pub(crate) started: Time,
    /// Time by which the caller must have the complete answer.
    pub(crate) deadline: Time,
    pub(crate) route: Route,
    pub(crate) service: CompactString,
}

impl Exchange {
    /// Serves the request: opens its turn if it is one, chooses an endpoint, reserves the tokens and
    /// sends the request.
    ///
    /// # Errors
    /// If no endpoint's answer can be relayed; the refusal is the response to the caller.
    pub(crate) async fn run(mut self, body: Bytes) -> Result<Response<Body>, Refusal> {
        let admission = crashes::admit(&self.shared, self.suspect);
        if admission != Admission::Ordinary {
            self.log_suspect(admission);
        }
        if admission == Admission::Quarantined {
            return Err(Refusal::Quarantined);
        }
        self.is_trial = admission == Admission::Trial;
        if admission == Admission::Suspect {
            self.reserve().await?;
        }
        let prepared = self.prepare(&body).await?;
        match self
            .send(&prepared.body, prepared.first, &prepared.preference)
            .await?
        {
            Reply::Buffered(response) => Ok(response),
            Reply::Stream(received) => Ok(self.relay(*received, prepared.turn)),
        }
    }

    fn log_suspect(&self, admission: Admission) {
        let losses = self.shared.crashes.quarantine().losses_of(self.suspect);
        info!(self.shared.log, "request has losses"; "request" => %self.call.id,
            "program" => %self.logged_program(), "fingerprint" => %self.suspect.whole,
            "beginning" => %self.suspect.beginning, "losses" => losses,
            "admission" => ?admission);
    }

    /// Reserves the attempt if the request may be one crash away from its quarantine: the hosts that
    /// recorded other crashes may have failed before they wrote them.
    async fn reserve(&mut self) -> Result<(), Refusal> {
        let losses = self.shared.crashes.quarantine().losses(self.suspect.whole);
        if losses == 0 {
            return Ok(());
        }
        let now = self.shared.clock.now();
        let attempt = self.deadline.after(DEADLINE_SLACK).since(now);
        let reserve = Reservation::new(&self.shared, self.suspect, attempt, &self.call.id);
        let deadline = store_call_deadline(self.started, self.deadline);
        let expire = expire(&self.shared, deadline, Refusal::StoreUnavailable);
        match reserve.or(expire).await {
            Ok(reservation) => {
                self.reservation = Some(reservation);
                Ok(())
            }
            // Without the store, hosts count their own losses until a request is nearly quarantined.
            Err(Refusal::StoreUnavailable) if losses + 1 < LOSSES_MAX => Ok(()),
            Err(refusal) => Err(refusal),
        }
    }

    /// Whether no further attempt may be sent, as earlier ones crashed their endpoints.
    fn is_quarantined(&self, sent_attempts: u32) -> bool {
        let quarantine = self.shared.crashes.quarantine();
        // The own reservation counts as a loss for other attempts only.
        let is_lost = match self.reservation {
            Some(_) => quarantine.is_lost_without(self.suspect, reserved_endpoint()),
            None => quarantine.losses_of(self.suspect) >= LOSSES_MAX,
        };
        is_lost && !(self.is_trial && sent_attempts == 0)
    }

    /// Prepares the request; if the store is unavailable, waits for it until
    /// [`store_wait_deadline`].
    async fn prepare(&self, body: &Bytes) -> Result<Prepared, Refusal> {
        let wait_deadline = store_wait_deadline(self.started, self.deadline);
        let call_deadline = store_call_deadline(self.started, self.deadline);
        let mut waited = false;
        loop {
            let expire = expire(&self.shared, call_deadline, Refusal::StoreUnavailable);
            let prepared = self.try_prepare(body.clone()).or(expire).await;
            let now = self.shared.clock.now();
            let is_unavailable = matches!(prepared, Err(Refusal::StoreUnavailable));
            if is_unavailable && now < wait_deadline && !self.shared.has_answered() {
                waited = true;
                self.shared.rows.wait_available(wait_deadline).await;
                continue;
            }
            if waited {
                info!(self.shared.log, "request waited for the store"; "request" => %self.call.id,
                    "program" => %self.logged_program(),
                    "back" => !is_unavailable,
                    "waited_ms" => now.since(self.started).as_ms());
            }
            return prepared;
        }
    }

    /// Returns what the endpoint is told of the sender.
    pub(crate) fn sender(&self) -> Sender<'_> {
        match &self.account {
            Some(account) => Sender::Account(&account.name),
            None if self.environment.accounts.is_empty() => Sender::Unknown,
            None => Sender::Anonymous,
        }
    }

    /// Returns the name of the request's program; empty if it has none.
    pub(crate) fn program_name(&self) -> CompactString {
        let name = |id: &Id| id.name(&self.environment.accounts).as_str().into();
        self.program.as_ref().map(name).unwrap_or_default()
    }

    /// Returns the request's program for a line of the log.
    pub(crate) fn logged_program(&self) -> CompactString {
        let program = self.program.as_ref();
        program
            .map(ToCompactString::to_compact_string)
            .unwrap_or_default()
    }

    /// Opens the turn if the request is one, chooses an endpoint and reserves the turn's tokens.
    async fn try_prepare(&self, body: Bytes) -> Result<Prepared, Refusal> {
        let release = self.resumed_release().await?;
        let opened = turn::open(
            &self.shared,
            &self.environment,
            &self.route,
            &self.call,
            &self.owner,
            &self.service,
            body,
        );
        let (body, opened) = opened.await?;
        let last_endpoint = || opened.as_ref().map(OpenTurn::last_endpoint);
        let mut preference = Preference {
            release,
            last_endpoint: last_endpoint(),
        };
        let mut first = self.place(&body, &preference, &[]).await?;
        let turn = match &opened {
            None => None,
            Some(opened) => Some(opened.reserve(&first.choice.id).await?),
        };
        // The account read for the reservation may name the endpoint that ran the latest turn.
        let endpoint_before_reserve = preference.last_endpoint.take();
        preference.last_endpoint = last_endpoint();
        if endpoint_before_reserve.is_some_and(|endpoint| endpoint.is_empty())
            && preference.last_endpoint.as_ref() != Some(&first.choice.id)
        {
            drop(first);
            first = self.place(&body, &preference, &[]).await?;
        }
        Ok(Prepared {
            body,
            first,
            preference,
            turn,
        })
    }

    /// Sends the request, first to the endpoint of `first`, then to others until one answers. An
    /// attempt that may have run is followed by another one only if the route is idempotent.
    async fn send(
        &self,
        body: &Payload,
        first: Placement,
        preference: &Preference,
    ) -> Result<Reply, Refusal> {
        let mut first = Some(first);
        let mut tried: Vec<CompactString> = Vec::new();
        let (mut sent_attempts, mut failed_connects) = (0, 0);
        let mut last_refusal = None;
        while sent_attempts < self.route.max_attempts.max(1)
            && failed_connects < CONNECT_ATTEMPTS_MAX
        {
            let now = self.shared.clock.now();
            if now >= self.deadline {
                return Err(last_refusal.unwrap_or(Refusal::DeadlinePassed));
            }
            if self.shared.has_answered() {
                return Err(last_refusal.unwrap_or(Refusal::Stopping));
            }
            if self.is_quarantined(sent_attempts) {
                return Err(last_refusal.unwrap_or(Refusal::Quarantined));
            }
            let placement = match first.take() {
                Some(placement) => placement,
                None => match self.place(body, preference, &tried).await {
                    Ok(placement) => placement,
                    Err(refusal) => return Err(last_refusal.unwrap_or(refusal)),
                },
            };
            tried.push(placement.choice.id.clone());
            let deadline = self.attempt_deadline(sent_attempts, now);
            let attempt = self.attempt(body, placement, deadline).await;
            let outcome = match attempt {
                AttemptOutcome::Answered(received) => self.receive(*received).await,
                other => Err(other),
            };
            match outcome {
                Ok(reply) => return Ok(reply),
                Err(AttemptOutcome::NotSent) => failed_connects += 1,
                Err(AttemptOutcome::NotRun) => sent_attempts += 1,
                Err(AttemptOutcome::Unknown(refusal)) if self.route.is_idempotent() => {
                    sent_attempts += 1;
                    last_refusal = Some(refusal);
                }
                Err(AttemptOutcome::Unknown(refusal)) => return Err(refusal),
                Err(AttemptOutcome::Answered(_)) => return Err(Refusal::EndpointFailed),
            }
        }
        Err(last_refusal.unwrap_or(Refusal::NoEndpoint))
    }

    /// Chooses an endpoint that is not in `tried`. One that is to go on with a stream is confirmed by
    /// the store.
    async fn place(
        &self,
        body: &Payload,
        preference: &Preference,
        tried: &[CompactString],
    ) -> Result<Placement, Refusal> {
        let mut excluded = tried.to_vec();
        loop {
            let placement = self.choose(body, preference, &excluded)?;
            if preference.release.is_none() || self.is_confirmed(&placement.choice).await? {
                return Ok(placement);
            }
            excluded.push(placement.choice.id.clone());
        }
    }

    fn choose(
        &self,
        body: &Payload,
        preference: &Preference,
        tried: &[CompactString],
    ) -> Result<Placement, Refusal> {
        let now = self.shared.clock.now();
        let chunks = chunks(&self.call);
        let object = self.call.object.as_ref().filter(|_| self.route.sticky);
        let program = self.program.as_ref();
        let program = program.map(ToCompactString::to_compact_string);
        let key = object.or(program.as_ref());
        let is_suspect = self.shared.crashes.quarantine().losses_of(self.suspect) > 0;
        let hash_key = if is_suspect {
            // All hosts choose the same endpoint for one suspect, and others for other suspects.
            stable_hash(&self.suspect.beginning.to_compact_string())
        } else {
            stable_hash(key.unwrap_or(&self.call.id))
        };
        let demand = Demand {
            service: &self.service,
            release: preference.release.as_deref(),
            chunks: &chunks,
            bytes: body.len(),
            last_endpoint: preference.last_endpoint.as_deref().unwrap_or(""),
            hash_key,
            is_suspect,
            max_wait: limit_wait_deadline(self.started, self.deadline).since(now),
        };
        let mut balancer = self.shared.balancer();
        let Some(choice) = balancer.choose(&demand, tried, now) else {
            let wait = balancer.limit_wait(&demand, tried, now);
            let is_release_gone =
                demand.release.is_some() && balancer.limit_wait(&demand, &[], now).is_none();
            return Err(match wait {
                Some(wait) => Refusal::EndpointsLimited(wait),
                None if is_release_gone => Refusal::ReleaseGone,
                None => Refusal::NoEndpoint,
            });
        };
        drop(balancer);
        Ok(Placement {
            shared: self.shared.clone(),
            endpoint_start: None,
            choice,
            sent_at: now,
            first_token: None,
            fault: Fault::None,
        })
    }

    /// Returns when an attempt is given up. An attempt that another one may follow uses only half of
    /// the remaining time.
    fn attempt_deadline(&self, sent_attempts: u32, now: Time) -> Time {
        let remaining_attempts = self.route.max_attempts.saturating_sub(sent_attempts);
        if self.route.is_idempotent() && remaining_attempts > 1 {
            now.after(Span(self.deadline.since(now).0 / 2))
        } else {
            self.deadline.after(DEADLINE_SLACK)
        }
    }

    /// Receives an answer: a stream is returned at once, any other answer when it is complete.
    async fn receive(&self, mut received: EndpointResponse) -> Result<Reply, AttemptOutcome> {
        let is_stream =
            self.route.repeat == Repeat::Stream && received.response.status().is_success();
        if is_stream {
            self.begin_stream(&mut received)?;
            return Ok(Reply::Stream(Box::new(received)));
        }
        received.placement.record_first_token();
        let headers = self
            .shared
            .adapter
            .dialect
            .response_headers(&copy_head(&received.response));
        let status = received.response.status();
        let body = received.response.body_mut();
        let deadline = self.deadline.after(DEADLINE_SLACK);
        match collect(&self.shared, body, BUFFERED_MAX_BYTES, deadline).await {
            Ok(bytes) => {
                self.keep_connection(received.lease, &received.pool, received.meta);
                losses::clear(&self.shared, self.suspect);
                self.log_end(&received.placement, status, "answered");
                let mut response = Response::new(full_body(bytes));
                *response.status_mut() = status;
                *response.headers_mut() = headers;
                Ok(Reply::Buffered(response))
            }
            Err(refusal) => {
                received.placement.fault = Fault::Failed;
                self.log_failed_attempt(&received.placement, "response truncated", refusal.code());
                self.investigate(&received.placement, loss_kind(&refusal))
                    .await;
                Err(AttemptOutcome::Unknown(refusal))
            }
        }
    }

    fn relay(self, received: EndpointResponse, turn: Option<AdmittedTurn>) -> Response<Body> {
        let head = copy_head(&received.response);
        let mut headers = self.shared.adapter.dialect.response_headers(&head);
        // The end of the stream is withheld until the turn is committed. With a content length, the
        // last byte would already end the answer.
        headers.remove(hyper::header::CONTENT_LENGTH);
        let incoming = received.response.into_body();
        let relay = Relay::new(self, incoming, received.placement, turn).with_connection(
            received.lease,
            received.pool,
            received.meta,
        );
        let mut response = Response::new(relay.into_body());
        *response.status_mut() = head.status;
        *response.headers_mut() = headers;
        response
    }

    pub(crate) fn log_end(&self, placement: &Placement, status: StatusCode, outcome: &'static str) {
        let shared = &self.shared;
        let now = shared.clock.now();
        let elapsed = now.since(self.started);
        shared.metrics.count_request(outcome);
        shared
            .metrics
            .record_seconds("request", elapsed.as_secs_f64());
        info!(shared.log, "request ended"; "request" => %self.call.id, "outcome" => outcome,
            "account" => %self.owner, "program" => %self.logged_program(),
            "previous_turn" => self.call.previous_turn.as_deref().unwrap_or(""),
            "fingerprint" => %self.suspect.whole,
            "route" => %self.route.name, "service" => %self.service,
            "endpoint" => %placement.choice.id, "release" => %placement.choice.release,
            "is_resumption" => self.call.resumes,
            "resumed_attempt" => self.call.resumed_attempt.as_deref().unwrap_or(""),
            "status" => status.as_u16(),
            "environment" => self.environment.version,
            "expected_ms" => placement.choice.expected.as_ms(),
            "missing" => placement.choice.missing.0,
            "compared" => placement.choice.compared,
            "first_ms" => placement.first_token.map(Span::as_ms),
            "sent_ms" => placement.sent_at.since(self.started).as_ms(),
            "took_ms" => elapsed.as_ms(), "left_ms" => self.deadline.since(now).as_ms());
    }
}

fn loss_kind(refusal: &Refusal) -> LossKind {
    match refusal {
        Refusal::EndpointTimedOut => LossKind::TimedOut,
        _ => LossKind::BrokenOff,
    }
}

/// Returns the end of a request's wait for an endpoint whose limit is used up.
fn limit_wait_deadline(started: Time, deadline: Time) -> Time {
    started.after(Span(deadline.since(started).0 / LIMIT_WAIT_DIVISOR))
}

/// A request that is ready to be sent.
struct Prepared {
    /// Body for the endpoint; for a turn with previous turns, their text comes first.
    body: Payload,
    /// Placement at the endpoint that gets the first attempt.
    first: Placement,
    preference: Preference,
    turn: Option<AdmittedTurn>,
}

/// Which endpoints a request is bound to, or better sent to.
struct Preference {
    /// The only release that may run the request, if it resumes a stream.
    release: Option<CompactString>,
    /// Endpoint that probably has most of the text in memory.
    last_endpoint: Option<CompactString>,
}

/// Answer for the caller: complete, or a stream that begins.
enum Reply {
    Buffered(Response<Body>),
    Stream(Box<EndpointResponse>),
}

fn copy_head(response: &Response<Incoming>) -> hyper::http::response::Parts {
    let mut head = Response::new(()).into_parts().0;
    head.status = response.status();
    head.headers = response.headers().clone();
    head
}
