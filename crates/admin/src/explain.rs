//! The account of a program: what happened, in order, for operators.
//!
//! The log's order is the order of the account: it is the causal one, whatever the clocks of the
//! hosts say. An event without a time of its own happened between its neighbours. Inputs and
//! answers of callers are left out; digests and sizes stand for them.

use log::{Answer, Call, Created, Event, Intent, LoggedEvent, Route, Turn};
use program::Program;
use serde::Serialize;
use serde_json::{Value, json};
use units::{Host, Seq, Time};

/// One line of an account.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// When, if it is known to itself.
    pub at: Option<Time>,
    /// The host that recorded it.
    pub host: Host,
    /// The call, for events of one call.
    pub seq: Option<Seq>,
    /// What happened.
    pub event: &'static str,
    /// The particulars.
    pub detail: String,
}

/// The account of a program from its durable events; `None` if they do not begin with its start.
pub fn explain_from_log(id: units::Program, steps: &[LoggedEvent]) -> Option<Value> {
    let Event::Created(created) = &steps.first()?.event else {
        return None;
    };
    let mut program = Program::new(created.clone());
    let later = steps.iter().skip(1);
    later.for_each(|step| program.apply(&step.event));
    let mut lines = Vec::new();
    for step in steps {
        add(&mut lines, &step.host, &step.event, steps);
    }
    Some(render(id, &program, &lines, "log"))
}

/// The account of a program from its owner's memory: without grants, takeovers and withdrawals.
pub fn explain_from_memory(id: units::Program, program: &Program, owner: &Host) -> Value {
    let mut lines = Vec::new();
    let mut add = |event: &Event| add(&mut lines, owner, event, &[]);
    add(&Event::Created(program.created().clone()));
    for turn in program.turns() {
        add(&Event::Turn(turn.clone()));
    }
    for intent in program.intents() {
        add(&Event::Intent(intent.clone()));
    }
    if let Some((cause, at)) = program.ended() {
        add(&Event::Ended { cause, at });
    }
    let mut account = render(id, program, &lines, "memory");
    account["owner"] = json!(owner);
    account["running"] = json!(program.is_running().then(|| program.next_seq()));
    account
}

fn render(id: units::Program, program: &Program, lines: &[Line], source: &str) -> Value {
    let created = program.created();
    let turns: Vec<Value> = program.turns().iter().map(turn).collect();
    let intents = program.intents().iter();
    let pending: Vec<Value> = intents
        .map(|intent| json!({"seq": intent.call.seq, "route": route(&intent.route)}))
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

fn turn(turn: &Turn) -> Value {
    json!({
        "seq": turn.call.seq, "target": turn.call.target, "digest": turn.call.digest.to_string(),
        "at": turn.at, "outcome": outcome(&turn.answer),
        "tokens": turn.usage.tokens, "cached": turn.usage.cached,
        "route": turn.route.as_ref().map(route),
    })
}

fn outcome(answer: &Answer) -> Value {
    match answer {
        Answer::Complete(bytes) => json!({"whole_bytes": bytes.len()}),
        Answer::Indeterminate => json!("indeterminate"),
        Answer::Child(child, _) => json!({"child": child.to_string()}),
    }
}

fn route(route: &Route) -> Value {
    json!({
        "entry": route.entry, "endpoint": route.endpoint, "sidecar": route.sidecar.to_string(),
        "attempt": route.attempt, "document": route.document, "why": route.why, "at": route.at,
    })
}

/// Adds the lines of one event; `steps` tells which dispatches have an intent of their own.
fn add(lines: &mut Vec<Line>, host: &Host, event: &Event, steps: &[LoggedEvent]) {
    let mut line = |at: Option<Time>, seq: Option<Seq>, event: &'static str, detail: String| {
        let host = host.clone();
        lines.push(Line {
            at,
            host,
            seq,
            event,
            detail,
        });
    };
    match event {
        Event::Created(created) => line(Some(created.at), None, "created", describe(created)),
        Event::Tranche(tokens) => {
            let detail = format!("{tokens} tokens of the budget may be spent");
            line(None, None, "granted", detail);
        }
        Event::Intent(Intent { call, route }) => {
            let detail = format!("{}, once and never again; {}", ask(call), way(route));
            line(Some(route.at), Some(call.seq), "intent", detail);
        }
        Event::Withdrawn(seq) => {
            let detail = "the announced dispatch did not run and never will".into();
            line(None, Some(*seq), "withdrawn", detail);
        }
        Event::Turn(turn) => {
            let seq = Some(turn.call.seq);
            if let Some(route) = &turn.route
                && !announced(steps, &turn.call)
            {
                let detail = format!("{}; {}", ask(&turn.call), way(route));
                line(Some(route.at), seq, "dispatched", detail);
            }
            let (event, detail) = answer(turn);
            line(Some(turn.at), seq, event, detail);
        }
        Event::Recovered(turn) => {
            let (_, detail) = answer(turn);
            let detail = format!("{detail}; from witnesses, as it was not in the log");
            line(Some(turn.at), Some(turn.call.seq), "recovered", detail);
        }
        Event::Returned { child, tokens } => {
            let detail = format!("{tokens} tokens left over by sub-agent {child}");
            line(None, None, "returned", detail);
        }
        Event::Ended { cause, at } => {
            let cause = json!(cause);
            let detail = format!("cause: {}", cause.as_str().unwrap_or_default());
            line(Some(*at), None, "ended", detail);
        }
        Event::Adopted { from, at } => {
            let detail = format!("from {}; open grants count as spent", place(*from, steps));
            line(Some(*at), None, "taken over", detail);
        }
        Event::HandedOver { to, at } => {
            let detail = format!("to {}", place(*to, steps));
            line(Some(*at), None, "handed over", detail);
        }
    }
}

/// Whether the steps have an intent of this call.
fn announced(steps: &[LoggedEvent], call: &Call) -> bool {
    steps.iter().any(|step| match &step.event {
        Event::Intent(intent) => intent.call.seq == call.seq,
        _ => false,
    })
}

/// A log's writer, with its host where that is known.
fn place(writer: units::Incarnation, steps: &[LoggedEvent]) -> String {
    let step = steps.iter().find(|step| step.writer == writer);
    let host = step.map_or("another entry", |step| step.host.as_str());
    format!("{host} (log {writer})")
}

fn describe(created: &Created) -> String {
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

/// What a call asks for; its input is shown as size and digest only.
fn ask(call: &Call) -> String {
    let target = call
        .target
        .as_ref()
        .map_or("a sub-agent", |one| one.as_str());
    let digest = call.digest.to_string();
    let (size, digest) = (call.input.len(), &digest[..12]);
    format!("{target}, input of {size} bytes, digest {digest}")
}

fn way(route: &Route) -> String {
    format!(
        "to {} (sidecar {}, attempt {}) by entry {} under document version {}, because: {}",
        route.endpoint, route.sidecar, route.attempt, route.entry, route.document, route.why,
    )
}

fn answer(turn: &Turn) -> (&'static str, String) {
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
