//! A model turn of a program: its tokens and its text, before it runs and after.

use std::sync::Arc;

use bytes::Bytes;
use compact_str::CompactString;
use turns::{Transcript, Turn};
use units::{Span, Tokens};

use crate::call::Call;
use crate::environment::{Environment, Repeat, Route};
use crate::programs::{Program, Reservation};
use crate::reply::Refusal;
use crate::state::Shared;

/// A turn that may run.
pub(crate) struct Ticket {
    pub(crate) reservation: Reservation,
    /// Tokens that each event counts as.
    pub(crate) event_tokens: u64,
    /// Set if the turn is kept once it has ended.
    pub(crate) kept: Option<Kept>,
}

/// What is kept of a turn beside its answer.
#[derive(Clone, Debug)]
pub(crate) struct Kept {
    line: Vec<CompactString>,
    input: Bytes,
    retain: Span,
}

impl Ticket {
    /// Commits the turn, which ran at `endpoint`, with this output; at once if nothing is kept.
    pub(crate) async fn end(
        &self,
        shared: &Shared,
        id: &CompactString,
        endpoint: &CompactString,
        output: Bytes,
    ) -> Result<(), Refusal> {
        let Some(kept) = &self.kept else {
            return Ok(());
        };
        let turn = Turn {
            predecessors: kept.line.clone(),
            endpoint: endpoint.clone(),
            input: kept.input.clone(),
            output,
        };
        shared.histories.commit(id, turn, kept.retain).await
    }
}

/// A turn whose text is complete and whose tokens are not reserved yet.
pub(crate) struct Opened {
    program: Arc<Program>,
    /// Where the turn before ran, if that is known.
    before: CompactString,
    need: Tokens,
    budget: Tokens,
    event_tokens: u64,
    kept: Option<Kept>,
}

impl Opened {
    /// The endpoint that probably has most of the turn's text in memory; empty if none is known.
    pub(crate) fn home(&self) -> CompactString {
        if self.before.is_empty() {
            self.program.home()
        } else {
            self.before.clone()
        }
    }

    /// Reserves the turn's tokens; `endpoint` is where it is to run.
    ///
    /// # Errors
    /// A refusal; the turn must not run then.
    pub(crate) async fn reserve(&self, endpoint: &CompactString) -> Result<Ticket, Refusal> {
        let reservation = self
            .program
            .reserve(self.need, self.budget, endpoint, self.kept.is_none())
            .await?;
        Ok(Ticket {
            reservation,
            event_tokens: self.event_tokens,
            kept: self.kept.clone(),
        })
    }
}

/// Opens a call that is a turn, with the body to send; nothing is opened for other calls.
///
/// # Errors
/// A refusal; the turn must not run then.
pub(crate) async fn open(
    shared: &Shared,
    environment: &Environment,
    route: &Route,
    call: &Call,
    service: &str,
    body: Bytes,
) -> Result<(Bytes, Option<Opened>), Refusal> {
    let is_turn = route.repeat == Repeat::Stream;
    let (Some(id), true) = (&call.program, is_turn) else {
        return Ok((body, None));
    };
    if route.retains_turns && call.resumes {
        // What the caller has of the stream was not kept, so the turn could not be kept whole.
        return Err(Refusal::StreamNotKept);
    }
    let past = match &call.previous_turn {
        Some(previous) if route.retains_turns => shared.histories.past(previous).await?,
        _ => Transcript::default(),
    };
    let mut text = past.text;
    text.extend_from_slice(&body);
    let engine = environment
        .services
        .get(service)
        .and_then(|service| service.engine.as_ref());
    // Without a budget the program may generate what it likes.
    let (need, budget) = match call.budget {
        Some(budget) => (call.max_output_tokens, budget),
        None => (Tokens(0), Tokens(u64::MAX)),
    };
    let opened = Opened {
        program: shared.programs.open(id, route.retention),
        before: past.endpoint,
        need,
        budget,
        event_tokens: engine.map_or(1, |engine| engine.event_tokens),
        kept: route.retains_turns.then_some(Kept {
            line: past.turns,
            input: body,
            retain: route.retention,
        }),
    };
    Ok((text.freeze(), Some(opened)))
}
