//! Explanation of a program for operators: its state and its events in order.
//!
//! Events are listed in the order of the log, which is causal even if the clocks of the hosts
//! differ. An event without a time happened between its neighbours. Inputs and answers of callers
//! are not shown, only their digests and sizes.

use log::{Answer, Call, Created, Event, Intent, LoggedEvent, Route, Turn};
use program::Program;
use serde::Serialize;
use serde_json::{Value, json};
use units::{Host, Seq, Time};

/// One event in the explanation of a program.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EventLine {
    /// Time of the event, if the event carries one.
    pub at: Option<Time>,
    /// Host that recorded the event.
    pub host: Host,
    /// Position of the call, for events of one call.
    pub seq: Option<Seq>,
    /// Kind of the event.
    pub event: &'static str,
    /// Description of the event in English.
    pub detail: String,
}

/// Explains a program from its durable events; `None` if the first one is not its creation.
pub fn explain_from_log(id: units::Program, events: &[LoggedEvent]) -> Option<Value> {
    let Event::Created(created) = &events.first()?.event else {
        return None;
    };
    let mut program = Program::new(created.clone());
    let later = events.iter().skip(1);
    later.for_each(|logged| program.apply(&logged.event));
    let mut lines = Vec::new();
    for logged in events {
        push_lines(&mut lines, &logged.host, &logged.event, events);
    }
    Some(explanation_json(id, &program, &lines, "log"))
}

/// Explains a program from its owner's memory, which lacks grants, takeovers and withdrawals.
pub fn explain_from_memory(id: units::Program, program: &Program, owner: &Host) -> Value {
    let mut lines = Vec::new();
    let mut push = |event: &Event| push_lines(&mut lines, owner, event, &[]);
    push(&Event::Created(program.created().clone()));
    for turn in program.turns() {
        push(&Event::Turn(turn.clone()));
    }
    for intent in program.intents() {
        push(&Event::Intent(intent.clone()));
    }
    if let Some((cause, at)) = program.ended() {
        push(&Event::Ended { cause, at });
    }
    let mut explanation = explanation_json(id, program, &lines, "memory");
    explanation["owner"] = json!(owner);
    explanation["running"] = json!(program.is_running().then(|| program.next_seq()));
    explanation
}

fn explanation_json(
    id: units::Program,
    program: &Program,
    lines: &[EventLine],
    source: &str,
) -> Value {
    let created = program.created();
    let turns: Vec<Value> = program.turns().iter().map(turn_json).collect();
    let intents = program.intents().iter();
    let pending: Vec<Value> = intents
        .map(|intent| json!({"seq": intent.call.seq, "route": route_json(&intent.route)}))
        .collect();
    json!({
        "program": id.to_string(), "source": source,
        "account": created.account, "class": created.class, "entry": created.entry,
        "document": created.document, "created_at": created.at, "deadline": created.deadline,
        "budget": {"tokens": created.budget.tokens, "calls": created.budget.calls},
        "spent_tokens": program.ledger().spent(), "calls_left": program.remaining_calls(),
        "parent": created.parent.map(|parent| parent.program.to_string()),
        "calls": turns, "pending": pending, "events": lines,
        "ended": program.ended().map(|(cause, at)| json!({"cause": cause, "at": at})),
    })
}

fn turn_json(turn: &Turn) -> Value {
    json!({
        "seq": turn.call.seq, "target": turn.call.target, "digest": turn.call.digest.to_string(),
        "at": turn.at, "outcome": outcome_json(&turn.answer),
        "tokens": turn.usage.tokens, "cached": turn.usage.cached,
        "route": turn.route.as_ref().map(route_json),
    })
}

fn outcome_json(answer: &Answer) -> Value {
    match answer {
        Answer::Complete(bytes) => json!({"whole_bytes": bytes.len()}),
        Answer::Indeterminate => json!("indeterminate"),
        Answer::Child(child, _) => json!({"child": child.to_string()}),
    }
}

fn route_json(route: &Route) -> Value {
    json!({
        "entry": route.entry, "endpoint": route.endpoint, "sidecar": route.sidecar.to_string(),
        "attempt": route.attempt, "document": route.document, "why": route.why, "at": route.at,
    })
}

/// Appends the lines of one event. The dispatch of a turn gets a line of its own unless `events`
/// contains an intent of the same call.
fn push_lines(lines: &mut Vec<EventLine>, host: &Host, event: &Event, events: &[LoggedEvent]) {
    let mut push = |at: Option<Time>, seq: Option<Seq>, event: &'static str, detail: String| {
        let host = host.clone();
        lines.push(EventLine {
            at,
            host,
            seq,
            event,
            detail,
        });
    };
    match event {
        Event::Created(created) => push(
            Some(created.at),
            None,
            "created",
            describe_creation(created),
        ),
        Event::Tranche(tokens) => {
            let detail = format!("{tokens} tokens of the budget may be spent");
            push(None, None, "granted", detail);
        }
        Event::Intent(Intent { call, route }) => {
            let detail = format!(
                "{}, once and never again; {}",
                describe_call(call),
                describe_route(route)
            );
            push(Some(route.at), Some(call.seq), "intent", detail);
        }
        Event::Withdrawn(seq) => {
            let detail = "the announced dispatch did not run and never will".into();
            push(None, Some(*seq), "withdrawn", detail);
        }
        Event::Turn(turn) => {
            let seq = Some(turn.call.seq);
            if let Some(route) = &turn.route
                && !has_intent(events, &turn.call)
            {
                let detail = format!("{}; {}", describe_call(&turn.call), describe_route(route));
                push(Some(route.at), seq, "dispatched", detail);
            }
            let (event, detail) = describe_answer(turn);
            push(Some(turn.at), seq, event, detail);
        }
        Event::Recovered(turn) => {
            let (_, detail) = describe_answer(turn);
            let detail = format!("{detail}; from witnesses, as it was not in the log");
            push(Some(turn.at), Some(turn.call.seq), "recovered", detail);
        }
        Event::Returned { child, tokens } => {
            let detail = format!("{tokens} tokens left over by sub-agent {child}");
            push(None, None, "returned", detail);
        }
        Event::Ended { cause, at } => {
            let cause = json!(cause);
            let detail = format!("cause: {}", cause.as_str().unwrap_or_default());
            push(Some(*at), None, "ended", detail);
        }
        Event::Adopted { from, at } => {
            let detail = format!(
                "from {}; open grants count as spent",
                describe_writer(*from, events)
            );
            push(Some(*at), None, "taken over", detail);
        }
        Event::HandedOver { to, at } => {
            let detail = format!("to {}", describe_writer(*to, events));
            push(Some(*at), None, "handed over", detail);
        }
    }
}

/// Returns whether `events` contains an intent of this call.
fn has_intent(events: &[LoggedEvent], call: &Call) -> bool {
    events.iter().any(|logged| match &logged.event {
        Event::Intent(intent) => intent.call.seq == call.seq,
        _ => false,
    })
}

/// Describes the log of `writer`, with the writer's host if `events` contains an event of that log.
fn describe_writer(writer: units::Incarnation, events: &[LoggedEvent]) -> String {
    let logged = events.iter().find(|logged| logged.writer == writer);
    let host = logged.map_or("another entry", |logged| logged.host.as_str());
    format!("{host} (log {writer})")
}

fn describe_creation(created: &Created) -> String {
    let parent = created.parent.map_or(String::new(), |parent| {
        format!(", call {} of program {}", parent.seq, parent.program)
    });
    format!(
        "by account {} as {}{parent}, at entry {} under document version {}: {} tokens, {} calls, \
         {} to the deadline",
        created.account,
        created.class,
        created.entry,
        created.document,
        created.budget.tokens,
        created.budget.calls,
        created.deadline.since(created.at),
    )
}

/// Describes a call by its target and by size and digest of its input.
fn describe_call(call: &Call) -> String {
    let target = call
        .target
        .as_ref()
        .map_or("a sub-agent", |one| one.as_str());
    let digest = call.digest.to_string();
    let (size, digest) = (call.input.len(), &digest[..12]);
    format!("{target}, input of {size} bytes, digest {digest}")
}

fn describe_route(route: &Route) -> String {
    format!(
        "to {} (sidecar {}, attempt {}) by entry {} under document version {}, because: {}",
        route.endpoint, route.sidecar, route.attempt, route.entry, route.document, route.why,
    )
}

fn describe_answer(turn: &Turn) -> (&'static str, String) {
    let usage = format!(
        "{} tokens, {} of them cached",
        turn.usage.tokens, turn.usage.cached
    );
    match &turn.answer {
        Answer::Complete(bytes) => (
            "answered",
            format!("whole answer of {} bytes, {usage}", bytes.len()),
        ),
        Answer::Indeterminate => (
            "indeterminate",
            "nobody can tell whether it ran; it is never dispatched again, and the caller was told"
                .into(),
        ),
        Answer::Child(child, budget) => (
            "sub-agent",
            format!(
                "{child} with {} tokens and {} calls of the budget",
                budget.tokens, budget.calls
            ),
        ),
    }
}
