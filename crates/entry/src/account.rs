//! The account of a program: what happened, in order, for operators.

use log::{Answer, Route, Turn};
use serde_json::{Value, json};

use crate::live::Live;

/// The account of one program.
pub(crate) fn explain(live: &Live) -> Value {
    let program = live.program.borrow();
    let created = program.created();
    let turns: Vec<Value> = program.turns().iter().map(turn).collect();
    let intents = program.intents().iter();
    let pending: Vec<Value> = intents
        .map(|intent| json!({"seq": intent.call.seq, "route": route(&intent.route)}))
        .collect();
    json!({
        "program": live.id.to_string(),
        "account": created.account, "class": created.class, "entry": created.entry,
        "document": created.document, "created_at": created.at.to_string(),
        "budget": {"tokens": created.budget.tokens, "calls": created.budget.calls},
        "spent_tokens": program.ledger().spent(), "calls_left": program.calls_left(),
        "parent": created.parent.map(|parent| parent.program.to_string()),
        "calls": turns, "pending": pending,
        "ended": program.ended().map(|(cause, at)| json!({"cause": cause, "at": at.to_string()})),
    })
}

fn turn(turn: &Turn) -> Value {
    json!({
        "seq": turn.call.seq, "target": turn.call.target, "digest": turn.call.digest.to_string(),
        "at": turn.at.to_string(), "outcome": outcome(&turn.answer),
        "tokens": turn.usage.tokens, "cached": turn.usage.cached,
        "route": turn.route.as_ref().map(route),
    })
}

fn outcome(answer: &Answer) -> Value {
    match answer {
        Answer::Whole(bytes) => json!({"whole_bytes": bytes.len()}),
        Answer::Indeterminate => json!("indeterminate"),
        Answer::Child(child, _) => json!({"child": child.to_string()}),
    }
}

fn route(route: &Route) -> Value {
    json!({
        "entry": route.entry, "endpoint": route.endpoint, "sidecar": route.sidecar.to_string(),
        "attempt": route.attempt, "document": route.document, "why": route.why,
        "at": route.at.to_string(),
    })
}

/// One line about a program, for lists.
pub(crate) fn summary(live: &Live) -> Value {
    let program = live.program.borrow();
    json!({
        "program": live.id.to_string(), "account": program.created().account,
        "class": program.created().class, "calls": program.turns().len(),
        "running": program.is_running(),
    })
}
