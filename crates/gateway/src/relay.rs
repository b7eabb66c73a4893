//! Relays streams from endpoints to callers.
//!
//! Complete events are relayed as they arrive. The end of the stream is relayed only if the stream
//! is complete and its turn, if it is stored, is committed. Otherwise the caller's connection is
//! aborted.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::unfold;
use http_body_util::{BodyExt, StreamBody};
use http_io::{Lease, Payload, Pool, Segments};
use hyper::StatusCode;
use hyper::body::{Body as _, Frame, Incoming};
use memory::hold;
use policy::Fault;
use slog::info;
use smol::future::FutureExt;
use turns::EventSplitter;
use units::{Span, Time};

use crate::accept::expire;
use crate::attempt::Placement;
use crate::buffers::Buffer;
use crate::call::ResponseMeta;
use crate::crashes::{self, LossKind};
use crate::exchange::Exchange;
use crate::losses;
use crate::reply::{Body, Refusal};
use crate::state::Shared;
use crate::turn::AdmittedTurn;

/// Time between two tries to find memory for an answer.
const MEMORY_POLL: Duration = Duration::from_millis(10);
/// Longest time that an answer waits for memory, while others are read or give way.
const MEMORY_WAIT_MAX: Span = Span::from_ms(250);

/// Reads a complete body of at most `limit` bytes until `deadline`. Its memory is charged until the
/// last of it is dropped.
///
/// # Errors
/// [`Refusal::EndpointFailed`] if the body is truncated, exceeds `limit` or finds no memory,
/// [`Refusal::EndpointTimedOut`] if it is not complete at `deadline`.
pub(crate) async fn collect(
    shared: &Shared,
    body: &mut Incoming,
    limit: usize,
    deadline: Time,
) -> Result<Payload, Refusal> {
    let read = async {
        let announced = body.size_hint().exact();
        let expected = announced.map_or(limit, |bytes| limit.min(bytes as usize));
        let mut answer = Segments::new();
        let mut buffer = shared.buffers.open();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| Refusal::EndpointFailed)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if answer.len() + data.len() > limit {
                return Err(Refusal::EndpointFailed);
            }
            let held = answer.capacity_after(data.len()) + read_buffer_bytes(answer.len());
            let give_up_at = shared.clock.now().after(MEMORY_WAIT_MAX);
            while !buffer.resize(held) {
                shared.gate.evict_stalled();
                if shared.clock.now() >= give_up_at {
                    return Err(Refusal::EndpointFailed);
                }
                smol::Timer::after(MEMORY_POLL).await;
            }
            answer.push(&data, expected.saturating_sub(answer.len()));
        }
        let answer = answer.into_payload();
        // A smaller buffer always finds room.
        buffer.resize(answer.len() as usize);
        Ok(hold_payload(answer, buffer))
    };
    read.or(expire(shared, deadline, Refusal::EndpointTimedOut))
        .await
}

/// Returns the memory that the connection holds for reading an answer of this length.
fn read_buffer_bytes(length: usize) -> usize {
    length.min(http_io::READ_BUFFER_MAX_BYTES)
}

/// Attaches the memory of an answer to all of its pieces.
fn hold_payload(answer: Payload, buffer: Buffer) -> Payload {
    let buffer = Arc::new(buffer);
    let pieces = answer.into_iter();
    pieces.map(|piece| hold(piece, buffer.clone())).collect()
}

/// Events of a stream beyond twice those of the most tokens that the request may generate. A stream
/// with more is no answer to it.
const EXTRA_EVENTS: u64 = 16;

/// A stream that is being relayed.
pub(crate) struct Relay {
    exchange: Exchange,
    incoming: Incoming,
    placement: Placement,
    turn: Option<AdmittedTurn>,
    events: EventSplitter,
    /// Memory of `events`.
    buffer: Buffer,
    max_events: u64,
    connection: Option<(Lease, Pool, ResponseMeta)>,
    is_logged: bool,
}

/// Reason why a stream is cut at its deadline.
const TIME_IS_UP: &str = "time is up";
/// Reasons why a stream is cut that are the fault of its endpoint.
const BROKE_OFF: &str = "endpoint broke off";
const NO_EVENTS: &str = "endpoint sent no events";
const TOO_MANY_EVENTS: &str = "endpoint sent too many events";
const NO_MEMORY: &str = "no memory for long events";

/// How a stream ends.
enum StreamEnd {
    Complete,
    Truncated(&'static str),
}

impl Relay {
    pub(crate) fn new(
        exchange: Exchange,
        incoming: Incoming,
        placement: Placement,
        turn: Option<AdmittedTurn>,
    ) -> Self {
        let is_recorded = turn.as_ref().is_some_and(|turn| turn.record.is_some());
        let events = if is_recorded {
            EventSplitter::new().with_data()
        } else {
            EventSplitter::new()
        };
        let event_tokens = turn.as_ref().map_or(1, |turn| turn.event_tokens).max(1);
        let max_events = match exchange.call.max_output_tokens.0 {
            0 => u64::MAX,
            tokens => tokens
                .div_ceil(event_tokens)
                .saturating_mul(2)
                .saturating_add(EXTRA_EVENTS),
        };
        Relay {
            buffer: exchange.shared.buffers.open(),
            exchange,
            incoming,
            placement,
            turn,
            events,
            max_events,
            connection: None,
            is_logged: false,
        }
    }

    /// Returns the connection to its pool once the stream is complete.
    pub(crate) fn with_connection(mut self, lease: Lease, pool: Pool, meta: ResponseMeta) -> Self {
        self.connection = Some((lease, pool, meta));
        self
    }

    /// Converts the stream into the body of the answer to the caller.
    pub(crate) fn into_body(self) -> Body {
        let frames = unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next_events().await {
                Ok(bytes) => Some((Ok(Frame::data(bytes)), Some(relay))),
                Err(StreamEnd::Complete) => {
                    relay.log_end("answered");
                    None
                }
                Err(StreamEnd::Truncated(reason)) => {
                    if matches!(reason, BROKE_OFF | NO_EVENTS | TOO_MANY_EVENTS | NO_MEMORY) {
                        relay.placement.fault = Fault::Failed;
                    }
                    relay.investigate(reason);
                    relay.log_end(reason);
                    Some((Err(std::io::Error::other(reason)), None))
                }
            }
        });
        StreamBody::new(frames).boxed_unsync()
    }

    /// Returns the next complete events.
    async fn next_events(&mut self) -> Result<Bytes, StreamEnd> {
        loop {
            let shared = self.exchange.shared.clone();
            let deadline = self.exchange.deadline;
            let frame = async { Ok(self.incoming.frame().await) };
            let frame = frame
                .or(expire(&shared, deadline, Refusal::EndpointTimedOut))
                .await;
            let data = match frame {
                Err(_) => return Err(StreamEnd::Truncated(TIME_IS_UP)),
                Ok(None) => return Err(self.finish(&shared, deadline).await),
                Ok(Some(Err(_))) => return Err(StreamEnd::Truncated(BROKE_OFF)),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            self.placement.record_first_token();
            let Some(batch) = self.events.push(&data) else {
                return Err(StreamEnd::Truncated(NO_EVENTS));
            };
            if !self.buffer.resize(self.events.held_bytes()) {
                return Err(StreamEnd::Truncated(NO_MEMORY));
            }
            if self.events.event_count() > self.max_events {
                return Err(StreamEnd::Truncated(TOO_MANY_EVENTS));
            }
            if let Some(turn) = &mut self.turn {
                turn.reservation.used.0 += batch.event_count * turn.event_tokens;
            }
            if !batch.bytes.is_empty() {
                return Ok(batch.bytes);
            }
        }
    }

    /// Finishes the stream after its last byte: keeps the connection and commits the turn.
    async fn finish(&mut self, shared: &Arc<Shared>, deadline: Time) -> StreamEnd {
        if self.events.has_partial_event() {
            return StreamEnd::Truncated(BROKE_OFF);
        }
        losses::clear(shared, self.exchange.suspect);
        if let Some((lease, pool, meta)) = self.connection.take() {
            self.exchange.keep_connection(lease, &pool, meta);
        }
        let events = std::mem::take(&mut self.events);
        if let Some(turn) = &self.turn {
            let commit = turn.commit(
                shared,
                &self.exchange.environment,
                &self.placement.choice.id,
                self.hold_output(events),
            );
            let expire = expire(shared, deadline, Refusal::EndpointTimedOut);
            if let Err(refusal) = commit.or(expire).await {
                info!(shared.log, "turn not committed"; "request" => %self.exchange.call.id,
                    "why" => refusal.code(), "store_away" => shared.rows.is_all_unavailable());
                return StreamEnd::Truncated("turn not committed");
            }
        }
        StreamEnd::Complete
    }

    /// Returns the data of all events, which stays in memory after the stream.
    fn hold_output(&self, events: EventSplitter) -> Bytes {
        let output = events.into_data();
        let limiter = &self.exchange.shared.limiter;
        let charge = limiter.charge_anyway(units::Bytes(output.len() as u64));
        hold(output, charge)
    }

    /// Investigates whether the endpoint crashed, if it may have.
    fn investigate(&self, reason: &str) {
        let kind = match reason {
            BROKE_OFF => LossKind::BrokenOff,
            TIME_IS_UP => LossKind::TimedOut,
            _ => return,
        };
        let exchange = &self.exchange;
        crashes::investigate(&exchange.shared, &self.placement, exchange.suspect, kind);
    }

    fn log_end(&mut self, outcome: &'static str) {
        if !std::mem::replace(&mut self.is_logged, true) {
            self.exchange
                .log_end(&self.placement, StatusCode::OK, outcome);
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.log_end("caller left");
    }
}
