//! A model turn of a program: its tokens and its text, before it runs and after.

use std::sync::Arc;

use bytes::Bytes;
use compact_str::CompactString;
use turns::{Past, Turn};
use units::{Span, Tokens};

use crate::call::Call;
use crate::environment::{Environment, Repeat, Route};
use crate::programs::{Program, Reservation};
use crate::reply::Refusal;
use crate::state::Shared;

/// A turn that may run.
pub(crate) struct Ticket {
    pub(crate) program: Arc<Program>,
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
    /// Commits the turn with this output; at once if nothing is kept.
    pub(crate) async fn end(
        &self,
        shared: &Shared,
        id: &CompactString,
        output: Bytes,
    ) -> Result<(), Refusal> {
        let Some(kept) = &self.kept else {
            return Ok(());
        };
        let turn = Turn {
            line: kept.line.clone(),
            input: kept.input.clone(),
            output,
        };
        shared.histories.commit(id, turn, kept.retain).await
    }
}

/// Prepares a call that is a turn: the body to send, and the ticket; no ticket for other calls.
///
/// # Errors
/// A refusal; the turn must not run then.
pub(crate) async fn prepare(
    shared: &Shared,
    environment: &Environment,
    route: &Route,
    call: &Call,
    service: &str,
    body: Bytes,
) -> Result<(Bytes, Option<Ticket>), Refusal> {
    let is_turn = route.repeat == Repeat::Stream;
    let (Some(id), true) = (&call.program, is_turn) else {
        return Ok((body, None));
    };
    if route.keeps && call.resumes {
        // What the caller has of the stream was not kept, so the turn could not be kept whole.
        return Err(Refusal::NoBeginning);
    }
    let program = shared.programs.open(id, route.retain);
    let past = match &call.previous {
        Some(previous) if route.keeps => shared.histories.past(previous).await?,
        _ => Past::default(),
    };
    let mut text = past.text;
    text.extend_from_slice(&body);
    let engine = environment
        .services
        .get(service)
        .and_then(|service| service.engine.as_ref());
    // Without a budget the program may generate what it likes.
    let (need, budget) = match call.budget {
        Some(budget) => (call.output_max, budget),
        None => (Tokens(0), Tokens(u64::MAX)),
    };
    let reservation = program.reserve(need, budget).await?;
    let kept = route.keeps.then_some(Kept {
        line: past.line,
        input: body,
        retain: route.retain,
    });
    let ticket = Ticket {
        program,
        reservation,
        event_tokens: engine.map_or(1, |engine| engine.event_tokens),
        kept,
    };
    Ok((text.freeze(), Some(ticket)))
}
