//! The tables of docs/CAPACITY.md, between markers.

use std::fmt::Write;
use std::io::{Error, ErrorKind, Result};

use crate::fit::{Fit, number};
use crate::measure::Slope;

/// The size to come, as the users give it.
mod size {
    pub const ENTRIES: f64 = 390.0;
    pub const SIDECARS: f64 = 12_000.0;
    pub const CALLS_PER_S: f64 = 11_000.0;
    pub const TOKENS_PER_S: f64 = 2_300_000.0;
    pub const PROGRAMS: f64 = 120_000.0;
    pub const HISTORY_MAX_TOKENS: f64 = 240_000.0;
    pub const TOKEN_BYTES: f64 = 4.0;
    pub const ACCOUNTS: f64 = 1_500.0;
    pub const MODELS: f64 = 5.0;
    pub const ZONES: f64 = 14.0;
    pub const CHANGES_PER_DAY: f64 = 26_000.0;
}

/// What the design holds at that size.
mod design {
    /// Endpoints of a model to which an entry keeps connections.
    pub const SUBSET: f64 = 100.0;
    /// Batches that a zone log commits in a second.
    pub const BATCHES_PER_S: f64 = 10.0;
    /// Rows written in a batch.
    pub const ROWS_PER_BATCH: f64 = 2.0;
    /// Connections of a log writer: the entries of its zone.
    pub const ZONE_ENTRIES: f64 = super::size::ENTRIES / super::size::ZONES;
}

const DAY_S: f64 = 86_400.0;
const CORE_US_PER_S: f64 = 1e6;
const CORE_MAX_PERCENT: f64 = 2.3;
const MEMORY_MAX_BYTES: f64 = 64e6;
const WIRE_MAX_BYTES_PER_S: f64 = 6e3;

/// Replaces what is between the markers of `name`.
///
/// # Errors
/// If the page has no such markers.
pub fn replace(page: &str, name: &str, table: &str) -> Result<String> {
    let (begin, end) = (
        format!("<!-- {name}:begin -->\n"),
        format!("<!-- {name}:end -->"),
    );
    let missing = || Error::from(ErrorKind::InvalidData);
    let (before, rest) = page.split_once(&begin).ok_or_else(missing)?;
    let (_, after) = rest.split_once(&end).ok_or_else(missing)?;
    Ok(format!("{before}{begin}{table}{end}{after}"))
}

/// The measured points and their lines.
pub fn slopes(slopes: &[Slope]) -> String {
    let mut table =
        String::from("| measured | n | points (n: value) | line |\n| --- | --- | --- | --- |\n");
    for slope in slopes {
        let points: Vec<String> = slope
            .points
            .iter()
            .map(|point| format!("{}: {}", number(point.size), number(point.value)))
            .collect();
        let (what, per, points) = (slope.what, slope.per, points.join(", "));
        push(
            &mut table,
            &format!("| {what} | {per} | {points} | {} |", slope.fit()),
        );
    }
    table
}

fn push(table: &mut String, line: &str) {
    // Writing into a string does not fail.
    let _ = writeln!(table, "{line}");
}

/// The lines by name.
struct Lines<'a>(&'a [Slope]);

impl Lines<'_> {
    fn get(&self, what: &str, per: &str) -> Result<Fit> {
        let mut slopes = self.0.iter();
        let slope = slopes.find(|slope| slope.what == what && slope.per == per);
        slope
            .map(Slope::fit)
            .ok_or_else(|| Error::from(ErrorKind::NotFound))
    }
}

/// A row of the table of roles.
struct Row {
    role: &'static str,
    what: &'static str,
    today: f64,
    design: f64,
    limit: Option<f64>,
    unit: &'static str,
}

/// What each role needs at the size to come: all hosts connected as today, and as designed.
///
/// # Errors
/// If a slope is missing.
pub fn roles(slopes: &[Slope]) -> Result<String> {
    let lines = Lines(slopes);
    let mut rows = entry(&lines)?;
    rows.extend(sidecar(&lines)?);
    rows.extend(writer(&lines)?);
    rows.extend(table(&lines)?);
    let mut text = String::from(
        "| role | figure | today's build | as designed | limit |\n| --- | --- | --- | --- | --- |\n",
    );
    for row in rows {
        let shown = |value: f64| format!("{} {}", number(value), row.unit);
        let limit = row.limit.map_or_else(|| "-".to_owned(), shown);
        let (today, design) = (shown(row.today), shown(row.design));
        push(
            &mut text,
            &format!(
                "| {} | {} | {today} | {design} | {limit} |",
                row.role, row.what
            ),
        );
    }
    Ok(text)
}

fn percent(us_per_s: f64) -> f64 {
    us_per_s / CORE_US_PER_S * 100.0
}

fn entry(lines: &Lines<'_>) -> Result<Vec<Row>> {
    let row = |what, today, design, limit, unit| Row {
        role: "entry",
        what,
        today,
        design,
        limit,
        unit,
    };
    let (all, subset) = (
        size::SIDECARS + size::ENTRIES - 1.0,
        design::SUBSET * size::MODELS,
    );
    let memory = lines.get("entry memory, bytes", "sidecar")?;
    let accounts = lines.get("entry memory, bytes", "account")?.slope * size::ACCOUNTS;
    let idle = lines.get("idle entry, µs/s", "sidecar")?;
    let parse = lines.get("idle entry, µs/s", "account")?.slope * size::ACCOUNTS;
    let change = lines.get("entry, µs", "change of the document")?.slope;
    let changes = change * size::CHANGES_PER_DAY / DAY_S;
    let wire = lines.get("idle links, bytes/s", "sidecar")?;
    let programs = size::PROGRAMS / size::ENTRIES;
    let program = lines.get("entry memory, bytes", "program")?.slope * programs;
    let history = lines.get("entry memory, bytes", "byte of history")?.slope;
    let history = history * programs * size::HISTORY_MAX_TOKENS / 2.0 * size::TOKEN_BYTES;
    let (calls, tokens) = (
        size::CALLS_PER_S / size::ENTRIES,
        size::TOKENS_PER_S / size::ENTRIES,
    );
    let per_call = lines.get("entry, µs", "call")?.slope;
    let per_token = lines.get("entry, µs a call", "token of the answer")?.slope;
    let traffic = percent(per_call * calls + per_token * tokens);
    let control = |peers: f64| percent(idle.at(peers) + parse + changes);
    Ok(vec![
        row(
            "memory for control",
            memory.at(all) + accounts,
            memory.at(subset) + accounts,
            Some(MEMORY_MAX_BYTES),
            "B",
        ),
        row(
            "processor for control",
            control(all),
            control(subset),
            Some(CORE_MAX_PERCENT),
            "% of a core",
        ),
        row(
            "control traffic",
            wire.at(all),
            wire.at(subset),
            Some(WIRE_MAX_BYTES_PER_S),
            "B/s",
        ),
        row("programs, without histories", program, program, None, "B"),
        row(
            "histories at half their longest",
            history,
            history,
            None,
            "B",
        ),
        row("calls and tokens", traffic, traffic, None, "% of a core"),
    ])
}

fn sidecar(lines: &Lines<'_>) -> Result<Vec<Row>> {
    let row = |what, today, design, limit, unit| Row {
        role: "sidecar",
        what,
        today,
        design,
        limit,
        unit,
    };
    let near = size::ENTRIES * design::SUBSET * size::MODELS / size::SIDECARS;
    let memory = lines.get("sidecar memory, bytes", "entry")?;
    let idle = lines.get("idle sidecar, µs/s", "entry")?;
    let wire = lines.get("idle links, bytes/s", "sidecar")?.slope;
    let (calls, tokens) = (
        size::CALLS_PER_S / size::SIDECARS,
        size::TOKENS_PER_S / size::SIDECARS,
    );
    let per_call = lines.get("sidecar, µs", "call")?.slope;
    let per_token = lines
        .get("sidecar, µs a call", "token of the answer")?
        .slope;
    let traffic = percent(per_call * calls + per_token * tokens);
    Ok(vec![
        row(
            "memory for control",
            memory.at(size::ENTRIES),
            memory.at(near),
            Some(MEMORY_MAX_BYTES),
            "B",
        ),
        row(
            "processor for control",
            percent(idle.at(size::ENTRIES)),
            percent(idle.at(near)),
            Some(CORE_MAX_PERCENT),
            "% of a core",
        ),
        row(
            "control traffic",
            wire * size::ENTRIES,
            wire * near,
            Some(WIRE_MAX_BYTES_PER_S),
            "B/s",
        ),
        row("calls and tokens", traffic, traffic, None, "% of a core"),
    ])
}

fn writer(lines: &Lines<'_>) -> Result<Vec<Row>> {
    let row = |what, today, design, unit| Row {
        role: "log writer",
        what,
        today,
        design,
        limit: None,
        unit,
    };
    let bytes = lines.get("log in the table, bytes", "call")?.slope;
    let control = lines.get("entry's control thread, µs", "call")?.slope;
    let memory = lines.get("entry memory, bytes", "sidecar")?;
    let (own, zone) = (
        size::CALLS_PER_S / size::ENTRIES,
        size::CALLS_PER_S / size::ZONES,
    );
    Ok(vec![
        row("calls recorded", own, zone, "/s"),
        row("log written", bytes * own, bytes * zone, "B/s"),
        row(
            "processor, the control thread's",
            percent(control * own),
            percent(control * zone),
            "% of a core",
        ),
        row("memory", memory.base, memory.at(design::ZONE_ENTRIES), "B"),
    ])
}

fn table(lines: &Lines<'_>) -> Result<Vec<Row>> {
    let row = |what, today, design, limit, unit| Row {
        role: "platform's table",
        what,
        today,
        design,
        limit,
        unit,
    };
    let reads = lines.get("platform, reads/s", "entry")?;
    let commits = lines.get("table, transactions", "call")?.slope * size::CALLS_PER_S;
    let batches = design::BATCHES_PER_S * size::ZONES;
    let changes = size::CHANGES_PER_DAY / DAY_S;
    Ok(vec![
        row(
            "rows written by the log",
            commits * design::ROWS_PER_BATCH,
            batches * design::ROWS_PER_BATCH,
            Some(500.0),
            "/s",
        ),
        row(
            "reads by idle hosts",
            reads.at(size::ENTRIES),
            reads.at(size::ZONES),
            Some(2_000.0),
            "/s",
        ),
        row("changes of configuration", changes, changes, None, "/s"),
    ])
}
