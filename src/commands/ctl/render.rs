//! Renders responses of the administration API as text.

use std::fmt::Write;
use std::time::{Duration, UNIX_EPOCH};

use serde_json::Value;

/// Formats a time in microseconds since the Unix epoch; `-` for none.
fn format_time(value: &Value) -> String {
    match value.as_u64() {
        Some(us) => {
            let at = UNIX_EPOCH + Duration::from_micros(us);
            humantime::format_rfc3339_millis(at).to_string()
        }
        None => "-".into(),
    }
}

/// Formats a value without quotes; `-` for none.
fn plain(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn format_ms(value: &Value) -> String {
    value.as_u64().map_or("-".into(), |ms| format!("{ms} ms"))
}

fn items(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

/// Appends a line to a string, which cannot fail.
macro_rules! line {
    ($text:expr, $($format:tt)*) => {
        let _ = writeln!($text, $($format)*);
    };
}

/// Renders the version in force at each host, and the endpoints.
pub(crate) fn status(status: &Value) -> String {
    let mut text = String::new();
    line!(
        text,
        "environment {}, seen from {}: version {}, in force for {}, store or a peer heard {} ago",
        plain(&status["environment"]),
        plain(&status["host"]),
        plain(&status["version"]),
        format_ms(&status["in_force_ms"]),
        format_ms(&status["heard_ms"]),
    );
    line!(
        text,
        "{:<24} {:<8} {:>8} {:>10}  state",
        "host",
        "role",
        "version",
        "age"
    );
    for host in items(&status["hosts"]) {
        let mut states = Vec::new();
        let mut state = |holds: bool, name: &'static str| {
            if holds {
                states.push(name);
            }
        };
        state(host["connected"] != true, "not connected");
        state(host["listed"] != true, "not listed");
        state(host["leaving"] == true, "leaving");
        line!(
            text,
            "{:<24} {:<8} {:>8} {:>10}  {}",
            plain(&host["host"]),
            plain(&host["role"]),
            plain(&host["version"]),
            format_ms(&host["age_ms"]),
            if states.is_empty() {
                "live".into()
            } else {
                states.join(", ")
            },
        );
    }
    line!(
        text,
        "{:<24} {:<24} {:>8} {:>8}",
        "endpoint",
        "host",
        "running",
        "queued"
    );
    for endpoint in items(&status["endpoints"]) {
        line!(
            text,
            "{:<24} {:<24} {:>8} {:>8}",
            plain(&endpoint["name"]),
            plain(&endpoint["host"]),
            plain(&endpoint["running"]),
            plain(&endpoint["queued"]),
        );
    }
    text
}

/// Renders the list of accepted documents.
pub(crate) fn history(history: &Value) -> String {
    let mut text = String::new();
    for version in items(&history["versions"]) {
        line!(
            text,
            "{:>6}  {}  {}  {}{}",
            plain(&version["version"]),
            format_time(&version["at"]),
            short_digest(&version["digest"]),
            plain(&version["author"]),
            promoted_from(&version["promoted"]),
        );
    }
    text
}

/// Returns the first digits of a digest.
fn short_digest(digest: &Value) -> String {
    plain(digest).chars().take(12).collect()
}

fn promoted_from(promoted: &Value) -> String {
    if promoted.is_null() {
        return String::new();
    }
    format!(
        ", promoted from {} version {}",
        plain(&promoted["environment"]),
        plain(&promoted["version"]),
    )
}

/// Renders the changes by operators.
pub(crate) fn audit(audit: &Value) -> String {
    let mut text = String::new();
    for record in items(&audit["records"]) {
        let (at, author) = (format_time(&record["at"]), plain(&record["author"]));
        line!(
            text,
            "{at}  {author}  {}",
            describe_action(&record["action"])
        );
    }
    text
}

fn describe_action(action: &Value) -> String {
    let document = &action["document"];
    if document.is_null() {
        return plain(action);
    }
    format!(
        "document version {} on base {}, digest {}{}",
        plain(&document["version"]),
        plain(&document["base"]),
        plain(&document["digest"]),
        promoted_from(&document["promoted"]),
    )
}

/// Renders the programs of an entry.
pub(crate) fn programs(programs: &Value) -> String {
    let mut text = String::new();
    for program in items(&programs["programs"]) {
        line!(
            text,
            "{}  {:<16} {:<12} {:>6} calls {:>10} tokens  {}",
            plain(&program["program"]),
            plain(&program["account"]),
            plain(&program["class"]),
            plain(&program["calls"]),
            plain(&program["spent_tokens"]),
            if program["running"] == true {
                "running"
            } else {
                "waiting"
            },
        );
    }
    text
}

/// Renders the budget and the events of a program.
pub(crate) fn program_events(report: &Value) -> String {
    let mut text = String::new();
    line!(
        text,
        "program {} of {}, class {}: {} of {} tokens spent, {} calls left",
        plain(&report["program"]),
        plain(&report["account"]),
        plain(&report["class"]),
        plain(&report["spent_tokens"]),
        plain(&report["budget"]["tokens"]),
        plain(&report["calls_left"]),
    );
    if report["source"] == "memory" {
        line!(
            text,
            "The log cannot be read now: this is its owner's memory, without grants, withdrawals \
             and takeovers."
        );
    }
    for event in items(&report["events"]) {
        let call = match &event["seq"] {
            Value::Null => String::new(),
            seq => format!("call {seq} "),
        };
        line!(
            text,
            "{:<24}  {:<16}  {call}{}: {}",
            format_time(&event["at"]),
            plain(&event["host"]),
            plain(&event["event"]),
            plain(&event["detail"]),
        );
    }
    if !report["running"].is_null() {
        line!(
            text,
            "{:<24}  {:<16}  call {} is running",
            "now",
            plain(&report["owner"]),
            report["running"],
        );
    }
    text
}

/// Renders an entry's programs, the queues of the endpoints, and which endpoints are slow.
pub(crate) fn top(top: &Value) -> String {
    let mut text = String::new();
    line!(
        text,
        "{}: {} programs under way; those that spent most:",
        plain(&top["host"]),
        plain(&top["programs_count"]),
    );
    text += &programs(top);
    line!(
        text,
        "{:<24} {:>8} {:>8} {:>8}  slow",
        "endpoint",
        "running",
        "slots",
        "queued"
    );
    for endpoint in items(&top["endpoints"]) {
        line!(
            text,
            "{:<24} {:>8} {:>8} {:>8}  {}",
            plain(&endpoint["name"]),
            plain(&endpoint["running"]),
            plain(&endpoint["slots"]),
            plain(&endpoint["queued"]),
            plain(&endpoint["slow"]),
        );
    }
    text
}

/// Renders the usage and limits of each account.
pub(crate) fn accounts(accounts: &Value) -> String {
    let mut text = String::new();
    line!(
        text,
        "{:<24} {:>10} {:>10} {:>10} {:>10} {:>12}",
        "account",
        "programs",
        "at most",
        "children",
        "calls",
        "tokens"
    );
    for account in items(&accounts["accounts"]) {
        line!(
            text,
            "{:<24} {:>10} {:>10} {:>10} {:>10} {:>12}",
            plain(&account["account"]),
            plain(&account["programs"]),
            plain(&account["programs_max"]),
            plain(&account["children"]),
            plain(&account["calls"]),
            plain(&account["tokens"]),
        );
    }
    text
}
