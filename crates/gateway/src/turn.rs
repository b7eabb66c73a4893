//! Turns of a program: their text and tokens before they run, their commit afterwards.

use std::sync::Arc;

use bytes::Bytes;
use clients::owner::{Id, Owner};
use compact_str::CompactString;
use http_io::Payload;
use turns::{Transcript, Turn};
use units::{Span, Tokens};

use crate::call::Call;
use crate::environment::{Environment, Repeat, Route};
use crate::programs::{Program, Reservation};
use crate::reply::Refusal;
use crate::state::Shared;

/// A turn that may run: its tokens are reserved.
pub(crate) struct AdmittedTurn {
    pub(crate) reservation: Reservation,
    /// Tokens that each event of the stream counts as.
    pub(crate) event_tokens: u64,
    /// Set if the turn is stored after it has ended.
    pub(crate) record: Option<TurnRecord>,
}

/// What is stored of a turn beside its endpoint and its output, and for how long.
#[derive(Clone, Debug)]
pub(crate) struct TurnRecord {
    id: Id,
    predecessors: Vec<Id>,
    input: Bytes,
    retention: Span,
}

impl AdmittedTurn {
    /// Commits the turn, which ran at `endpoint`; returns at once if the turn is not stored.
    pub(crate) async fn commit(
        &self,
        shared: &Shared,
        environment: &Arc<Environment>,
        endpoint: &CompactString,
        output: Bytes,
    ) -> Result<(), Refusal> {
        let Some(record) = &self.record else {
            return Ok(());
        };
        let turn = Turn {
            predecessors: record.predecessors.clone(),
            endpoint: endpoint.clone(),
            input: record.input.clone(),
            output,
        };
        let commit = shared
            .histories
            .commit(&record.id, turn, environment, record.retention);
        commit.await
    }
}

/// A turn whose text is loaded and whose tokens are not reserved yet.
pub(crate) struct OpenTurn {
    program: Arc<Program>,
    /// Endpoint that ran the previous turn; empty if unknown.
    previous_endpoint: CompactString,
    /// Tokens to reserve for this turn.
    need: Tokens,
    /// Tokens that all turns of the program together may generate.
    budget: Tokens,
    event_tokens: u64,
    record: Option<TurnRecord>,
}

impl OpenTurn {
    /// Returns the endpoint that probably has most of the turn's text in memory; empty if unknown.
    pub(crate) fn last_endpoint(&self) -> CompactString {
        if self.previous_endpoint.is_empty() {
            self.program.last_endpoint()
        } else {
            self.previous_endpoint.clone()
        }
    }

    /// Reserves the tokens of the turn, which is to run at `endpoint`.
    ///
    /// # Errors
    /// If the tokens cannot be reserved; the turn must not run.
    pub(crate) async fn reserve(&self, endpoint: &CompactString) -> Result<AdmittedTurn, Refusal> {
        let reservation = self
            .program
            .reserve(self.need, self.budget, endpoint, self.record.is_none())
            .await?;
        Ok(AdmittedTurn {
            reservation,
            event_tokens: self.event_tokens,
            record: self.record.clone(),
        })
    }
}

/// Returns the body to send and, if the call is a turn of a program, the open turn.
///
/// # Errors
/// If the previous turns cannot be loaded, or a turn with this identifier is stored; the turn must not
/// run.
pub(crate) async fn open(
    shared: &Shared,
    environment: &Arc<Environment>,
    route: &Route,
    call: &Call,
    owner: &Owner,
    service: &str,
    body: Bytes,
) -> Result<(Payload, Option<OpenTurn>), Refusal> {
    let is_turn = route.repeat == Repeat::Stream;
    let (Some(program), true) = (&call.program, is_turn) else {
        return Ok((body.into(), None));
    };
    let (id, histories, accounts) = (owner.id(&call.id), &shared.histories, &environment.accounts);
    if route.retains_turns && histories.is_in_memory(&id) {
        return Err(Refusal::TurnExists);
    }
    let transcript = match &call.previous_turn {
        Some(previous) if route.retains_turns => {
            histories
                .load_transcript(&owner.id(previous), environment)
                .await?
        }
        _ => Transcript::default(),
    };
    let text: Payload = transcript.text.into_iter().chain([body.clone()]).collect();
    let engine = environment
        .services
        .get(service)
        .and_then(|service| service.engine.as_ref());
    // Without a budget, the tokens of the program are not limited.
    let (need, budget) = match call.budget {
        Some(budget) => (call.max_output_tokens, budget),
        None => (Tokens(0), Tokens(u64::MAX)),
    };
    let turn = OpenTurn {
        program: shared
            .programs
            .open(&owner.id(program).name(accounts), route.retention),
        previous_endpoint: transcript.endpoint,
        need,
        budget,
        event_tokens: engine.map_or(1, |engine| engine.event_tokens),
        record: route.retains_turns.then_some(TurnRecord {
            id,
            predecessors: transcript.turns,
            input: body,
            retention: route.retention,
        }),
    };
    Ok((text, Some(turn)))
}
