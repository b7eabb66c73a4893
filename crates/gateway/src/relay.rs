//! Streams on their way to callers.
//!
//! Whole events go on as they come. The end goes on only when the stream is complete and, for a turn
//! that is kept, committed; in any other case the caller's connection is cut.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream::unfold;
use http_body_util::{BodyExt, StreamBody};
use http_io::{Lease, Pool};
use hyper::StatusCode;
use hyper::body::{Frame, Incoming};
use policy::Fault;
use slog::info;
use smol::future::FutureExt;
use turns::EventSplitter;
use units::Time;

use crate::accept::expire;
use crate::attempt::Visit;
use crate::call::ResponseMeta;
use crate::exchange::Exchange;
use crate::reply::{Body, Refusal};
use crate::state::Shared;
use crate::turn::Ticket;

/// Reads a body of at most `limit` bytes until `deadline`.
///
/// # Errors
/// [`Refusal::EndpointFailed`] if it is cut or longer, [`Refusal::EndpointTimedOut`] if it takes longer.
pub(crate) async fn collect(
    shared: &Shared,
    body: &mut Incoming,
    limit: usize,
    deadline: Time,
) -> Result<Bytes, Refusal> {
    let read = async {
        let mut all = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| Refusal::EndpointFailed)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            all.extend_from_slice(&data);
            if all.len() > limit {
                return Err(Refusal::EndpointFailed);
            }
        }
        Ok(all.into())
    };
    read.or(expire(shared, deadline, Refusal::EndpointTimedOut))
        .await
}

/// A stream under way.
pub(crate) struct Relay {
    exchange: Exchange,
    incoming: Incoming,
    visit: Visit,
    ticket: Option<Ticket>,
    events: EventSplitter,
    connection: Option<(Lease, Pool, ResponseMeta)>,
    told: bool,
}

/// Why a stream does not go on.
enum Stop {
    Complete,
    Cut(&'static str),
}

impl Relay {
    pub(crate) fn new(
        exchange: Exchange,
        incoming: Incoming,
        visit: Visit,
        ticket: Option<Ticket>,
    ) -> Self {
        let kept = ticket.as_ref().is_some_and(|ticket| ticket.kept.is_some());
        let events = if kept {
            EventSplitter::new().with_data()
        } else {
            EventSplitter::new()
        };
        Relay {
            exchange,
            incoming,
            visit,
            ticket,
            events,
            connection: None,
            told: false,
        }
    }

    /// Keeps the endpoint's connection once the stream is complete.
    pub(crate) fn with_connection(
        mut self,
        lease: Lease,
        pool: Pool,
        receipt: ResponseMeta,
    ) -> Self {
        self.connection = Some((lease, pool, receipt));
        self
    }

    /// The body of the caller's answer.
    pub(crate) fn into_body(self) -> Body {
        let pieces = unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Ok(bytes) => Some((Ok(Frame::data(bytes)), Some(relay))),
                Err(Stop::Complete) => {
                    relay.tell("answered");
                    None
                }
                Err(Stop::Cut(why)) => {
                    if why == "endpoint broke off" {
                        relay.visit.fault = Fault::Failed;
                    }
                    relay.tell(why);
                    Some((Err(std::io::Error::other(why)), None))
                }
            }
        });
        StreamBody::new(pieces).boxed_unsync()
    }

    /// The next whole events.
    async fn next(&mut self) -> Result<Bytes, Stop> {
        loop {
            let shared = self.exchange.shared.clone();
            let deadline = self.exchange.deadline;
            let frame = async { Ok(self.incoming.frame().await) };
            let frame = frame
                .or(expire(&shared, deadline, Refusal::EndpointTimedOut))
                .await;
            let data = match frame {
                Err(_) => return Err(Stop::Cut("time is up")),
                Ok(None) => return Err(self.end(&shared, deadline).await),
                Ok(Some(Err(_))) => return Err(Stop::Cut("endpoint broke off")),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            self.visit.begin();
            let Some(piece) = self.events.push(&data) else {
                return Err(Stop::Cut("endpoint sent no events"));
            };
            if let Some(ticket) = &mut self.ticket {
                ticket.reservation.used.0 += piece.event_count * ticket.event_tokens;
            }
            if !piece.bytes.is_empty() {
                return Ok(piece.bytes);
            }
        }
    }

    /// Ends the stream: the endpoint's part of it is over.
    async fn end(&mut self, shared: &Arc<Shared>, deadline: Time) -> Stop {
        if self.events.has_partial_event() {
            return Stop::Cut("endpoint broke off");
        }
        if let Some((lease, pool, receipt)) = self.connection.take() {
            self.exchange.keep(lease, &pool, receipt);
        }
        let events = std::mem::take(&mut self.events);
        if let Some(ticket) = &self.ticket {
            let commit = ticket.end(
                shared,
                &self.exchange.call.id,
                &self.visit.choice.id,
                events.into_data(),
            );
            let late = expire(shared, deadline, Refusal::EndpointTimedOut);
            if let Err(refusal) = commit.or(late).await {
                info!(shared.log, "turn not committed"; "request" => %self.exchange.call.id,
                    "why" => refusal.code(), "store_away" => shared.rows.is_all_unavailable());
                return Stop::Cut("turn not committed");
            }
        }
        Stop::Complete
    }

    fn tell(&mut self, outcome: &'static str) {
        if !std::mem::replace(&mut self.told, true) {
            self.exchange
                .tell_answer(&self.visit, StatusCode::OK, outcome);
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.tell("caller left");
    }
}
