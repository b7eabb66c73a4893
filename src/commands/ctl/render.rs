//! Answers of the administration API as text for reading.

use std::fmt::Write;
use std::time::{Duration, UNIX_EPOCH};

use serde_json::Value;

/// The point in time of a number of microseconds since the Unix epoch.
fn time(value: &Value) -> String {
    match value.as_u64() {
        Some(us) => {
            let at = UNIX_EPOCH + Duration::from_micros(us);
            humantime::format_rfc3339_millis(at).to_string()
        }
        None => "-".into(),
    }
}

/// A value without quotes; `-` for none.
fn plain(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn ms(value: &Value) -> String {
    value.as_u64().map_or("-".into(), |ms| format!("{ms} ms"))
}

fn list(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

/// Appends a line; writing to a string cannot fail.
macro_rules! line {
    ($text:expr, $($format:tt)*) => {
        let _ = writeln!($text, $($format)*);
    };
}

/// The version in force at each host, and the endpoints.
pub(crate) fn status(status: &Value) -> String {
    let mut text = String::new();
    line!(
        text,
        "environment {}, seen from {}: version {}, in force for {}, store or a peer heard {} ago",
        plain(&status["environment"]),
        plain(&status["host"]),
        plain(&status["version"]),
        ms(&status["in_force_ms"]),
        ms(&status["heard_ms"]),
    );
    line!(
        text,
        "{:<24} {:<8} {:>8} {:>10}  state",
        "host",
        "role",
        "version",
        "age"
    );
    for host in list(&status["hosts"]) {
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
            ms(&host["age_ms"]),
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
    for endpoint in list(&status["endpoints"]) {
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

/// The accepted documents.
pub(crate) fn history(history: &Value) -> String {
    let mut text = String::new();
    for version in list(&history["versions"]) {
        line!(
            text,
            "{:>6}  {}  {}  {}{}",
            plain(&version["version"]),
            time(&version["at"]),
            short(&version["digest"]),
            plain(&version["author"]),
            origin(&version["promoted"]),
        );
    }
    text
}

/// The first digits of a digest.
fn short(digest: &Value) -> String {
    plain(digest).chars().take(12).collect()
}

fn origin(promoted: &Value) -> String {
    if promoted.is_null() {
        return String::new();
    }
    format!(
        ", promoted from {} version {}",
        plain(&promoted["environment"]),
        plain(&promoted["version"]),
    )
}

/// All changes by operators.
pub(crate) fn audit(audit: &Value) -> String {
    let mut text = String::new();
    for record in list(&audit["records"]) {
        let (at, author) = (time(&record["at"]), plain(&record["author"]));
        line!(text, "{at}  {author}  {}", action(&record["action"]));
    }
    text
}

fn action(action: &Value) -> String {
    let document = &action["document"];
    if document.is_null() {
        return plain(action);
    }
    format!(
        "document version {} on base {}, digest {}{}",
        plain(&document["version"]),
        plain(&document["base"]),
        plain(&document["digest"]),
        origin(&document["promoted"]),
    )
}

/// The programs of an entry.
pub(crate) fn programs(programs: &Value) -> String {
    let mut text = String::new();
    for program in list(&programs["programs"]) {
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

/// The account of a program.
pub(crate) fn account(account: &Value) -> String {
    let mut text = String::new();
    line!(
        text,
        "program {} of {}, class {}: {} of {} tokens spent, {} calls left",
        plain(&account["program"]),
        plain(&account["account"]),
        plain(&account["class"]),
        plain(&account["spent_tokens"]),
        plain(&account["budget"]["tokens"]),
        plain(&account["calls_left"]),
    );
    if account["source"] == "memory" {
        line!(
            text,
            "The log cannot be read now: this is its owner's memory, without grants, withdrawals \
             and takeovers."
        );
    }
    for event in list(&account["events"]) {
        let call = match &event["seq"] {
            Value::Null => String::new(),
            seq => format!("call {seq} "),
        };
        line!(
            text,
            "{:<24}  {:<16}  {call}{}: {}",
            time(&event["at"]),
            plain(&event["host"]),
            plain(&event["event"]),
            plain(&event["detail"]),
        );
    }
    if !account["running"].is_null() {
        line!(
            text,
            "{:<24}  {:<16}  call {} is running",
            "now",
            plain(&account["owner"]),
            account["running"],
        );
    }
    text
}

/// An entry's programs, the endpoints' queues, and which are slow.
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
    for endpoint in list(&top["endpoints"]) {
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

/// The usage of each account against its limits.
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
    for account in list(&accounts["accounts"]) {
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
