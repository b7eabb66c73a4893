//! Renders the tables that stand between markers in docs/CAPACITY.md.

use std::fmt::Write;
use std::io::{Error, ErrorKind, Result};

use crate::fit::{Fit, format_number};
use crate::measure::Slope;

/// Size of the installation to plan for, as the users give it.
mod target {
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

/// Figures that the design keeps to at the target size.
mod design {
    /// Endpoints per model to which an entry keeps connections.
    pub const ENDPOINTS_PER_MODEL: f64 = 100.0;
    /// Batches that the log of a zone commits per second.
    pub const BATCHES_PER_S: f64 = 10.0;
    /// Rows written per batch.
    pub const ROWS_PER_BATCH: f64 = 2.0;
    /// Entries of a zone, each of which has a connection to the zone's log writer.
    pub const ZONE_ENTRIES: f64 = super::target::ENTRIES / super::target::ZONES;
}

const DAY_S: f64 = 86_400.0;
const CORE_US_PER_S: f64 = 1e6;
const CORE_MAX_PERCENT: f64 = 2.3;
const MEMORY_MAX_BYTES: f64 = 64e6;
const WIRE_MAX_BYTES_PER_S: f64 = 6e3;

/// Replaces the text between the markers of the section `name`.
///
/// # Errors
/// Fails if the page lacks one of the markers.
pub fn replace_section(page: &str, name: &str, table: &str) -> Result<String> {
    let (begin, end) = (
        format!("<!-- {name}:begin -->\n"),
        format!("<!-- {name}:end -->"),
    );
    let missing_marker = || Error::from(ErrorKind::InvalidData);
    let (before, remainder) = page.split_once(&begin).ok_or_else(missing_marker)?;
    let (_, after) = remainder.split_once(&end).ok_or_else(missing_marker)?;
    Ok(format!("{before}{begin}{table}{end}{after}"))
}

/// Returns the table of the measured points and the lines fitted to them.
pub fn slopes_table(slopes: &[Slope]) -> String {
    let mut table =
        String::from("| measured | n | points (n: value) | line |\n| --- | --- | --- | --- |\n");
    for slope in slopes {
        let points: Vec<String> = slope
            .points
            .iter()
            .map(|point| {
                format!(
                    "{}: {}",
                    format_number(point.size),
                    format_number(point.value)
                )
            })
            .collect();
        let (quantity, varied, points) = (slope.quantity, slope.varied, points.join(", "));
        push_line(
            &mut table,
            &format!("| {quantity} | {varied} | {points} | {} |", slope.fit()),
        );
    }
    table
}

fn push_line(table: &mut String, line: &str) {
    // Writing to a `String` cannot fail.
    let _ = writeln!(table, "{line}");
}

/// Fitted lines of slopes, found by quantity and varied size.
struct Lines<'a>(&'a [Slope]);

impl Lines<'_> {
    fn get(&self, quantity: &str, varied: &str) -> Result<Fit> {
        let mut slopes = self.0.iter();
        let slope = slopes.find(|slope| slope.quantity == quantity && slope.varied == varied);
        slope
            .map(Slope::fit)
            .ok_or_else(|| Error::from(ErrorKind::NotFound))
    }
}

/// A row of the table of roles.
struct Row {
    role: &'static str,
    figure: &'static str,
    today: f64,
    design: f64,
    limit: Option<f64>,
    unit: &'static str,
}

/// Returns the table of what each role needs at the target size: with today's connections between
/// all hosts, and with those of the design.
///
/// # Errors
/// Fails if a slope is missing.
pub fn roles_table(slopes: &[Slope]) -> Result<String> {
    let lines = Lines(slopes);
    let mut rows = entry_rows(&lines)?;
    rows.extend(sidecar_rows(&lines)?);
    rows.extend(writer_rows(&lines)?);
    rows.extend(platform_rows(&lines)?);
    let mut text = String::from(
        "| role | figure | today's build | as designed | limit |\n| --- | --- | --- | --- | --- |\n",
    );
    for row in rows {
        let with_unit = |value: f64| format!("{} {}", format_number(value), row.unit);
        let limit = row.limit.map_or_else(|| "-".to_owned(), with_unit);
        let (today, design) = (with_unit(row.today), with_unit(row.design));
        push_line(
            &mut text,
            &format!(
                "| {} | {} | {today} | {design} | {limit} |",
                row.role, row.figure
            ),
        );
    }
    Ok(text)
}

fn core_percent(us_per_s: f64) -> f64 {
    us_per_s / CORE_US_PER_S * 100.0
}

fn entry_rows(lines: &Lines<'_>) -> Result<Vec<Row>> {
    let row = |figure, today, design, limit, unit| Row {
        role: "entry",
        figure,
        today,
        design,
        limit,
        unit,
    };
    let (all_peers, designed_peers) = (
        target::SIDECARS + target::ENTRIES - 1.0,
        design::ENDPOINTS_PER_MODEL * target::MODELS,
    );
    let memory = lines.get("entry memory, bytes", "sidecar")?;
    let accounts = lines.get("entry memory, bytes", "account")?.slope * target::ACCOUNTS;
    let idle = lines.get("idle entry, µs/s", "sidecar")?;
    let parse = lines.get("idle entry, µs/s", "account")?.slope * target::ACCOUNTS;
    let change = lines.get("entry, µs", "change of the document")?.slope;
    let changes = change * target::CHANGES_PER_DAY / DAY_S;
    let wire = lines.get("idle links, bytes/s", "sidecar")?;
    let programs = target::PROGRAMS / target::ENTRIES;
    let program = lines.get("entry memory, bytes", "program")?.slope * programs;
    let history = lines.get("entry memory, bytes", "byte of history")?.slope;
    let history = history * programs * target::HISTORY_MAX_TOKENS / 2.0 * target::TOKEN_BYTES;
    let (calls_per_s, tokens_per_s) = (
        target::CALLS_PER_S / target::ENTRIES,
        target::TOKENS_PER_S / target::ENTRIES,
    );
    let us_per_call = lines.get("entry, µs", "call")?.slope;
    let us_per_token = lines.get("entry, µs a call", "token of the answer")?.slope;
    let traffic = core_percent(us_per_call * calls_per_s + us_per_token * tokens_per_s);
    let control = |peers: f64| core_percent(idle.at(peers) + parse + changes);
    Ok(vec![
        row(
            "memory for control",
            memory.at(all_peers) + accounts,
            memory.at(designed_peers) + accounts,
            Some(MEMORY_MAX_BYTES),
            "B",
        ),
        row(
            "processor for control",
            control(all_peers),
            control(designed_peers),
            Some(CORE_MAX_PERCENT),
            "% of a core",
        ),
        row(
            "control traffic",
            wire.at(all_peers),
            wire.at(designed_peers),
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

fn sidecar_rows(lines: &Lines<'_>) -> Result<Vec<Row>> {
    let row = |figure, today, design, limit, unit| Row {
        role: "sidecar",
        figure,
        today,
        design,
        limit,
        unit,
    };
    let designed_entries =
        target::ENTRIES * design::ENDPOINTS_PER_MODEL * target::MODELS / target::SIDECARS;
    let memory = lines.get("sidecar memory, bytes", "entry")?;
    let idle = lines.get("idle sidecar, µs/s", "entry")?;
    let wire = lines.get("idle links, bytes/s", "sidecar")?.slope;
    let (calls_per_s, tokens_per_s) = (
        target::CALLS_PER_S / target::SIDECARS,
        target::TOKENS_PER_S / target::SIDECARS,
    );
    let us_per_call = lines.get("sidecar, µs", "call")?.slope;
    let us_per_token = lines
        .get("sidecar, µs a call", "token of the answer")?
        .slope;
    let traffic = core_percent(us_per_call * calls_per_s + us_per_token * tokens_per_s);
    Ok(vec![
        row(
            "memory for control",
            memory.at(target::ENTRIES),
            memory.at(designed_entries),
            Some(MEMORY_MAX_BYTES),
            "B",
        ),
        row(
            "processor for control",
            core_percent(idle.at(target::ENTRIES)),
            core_percent(idle.at(designed_entries)),
            Some(CORE_MAX_PERCENT),
            "% of a core",
        ),
        row(
            "control traffic",
            wire * target::ENTRIES,
            wire * designed_entries,
            Some(WIRE_MAX_BYTES_PER_S),
            "B/s",
        ),
        row("calls and tokens", traffic, traffic, None, "% of a core"),
    ])
}

fn writer_rows(lines: &Lines<'_>) -> Result<Vec<Row>> {
    let row = |figure, today, design, unit| Row {
        role: "log writer",
        figure,
        today,
        design,
        limit: None,
        unit,
    };
    let bytes = lines.get("log in the table, bytes", "call")?.slope;
    let control = lines.get("entry's control thread, µs", "call")?.slope;
    let memory = lines.get("entry memory, bytes", "sidecar")?;
    let (own_calls_per_s, zone_calls_per_s) = (
        target::CALLS_PER_S / target::ENTRIES,
        target::CALLS_PER_S / target::ZONES,
    );
    Ok(vec![
        row("calls recorded", own_calls_per_s, zone_calls_per_s, "/s"),
        row(
            "log written",
            bytes * own_calls_per_s,
            bytes * zone_calls_per_s,
            "B/s",
        ),
        row(
            "processor, the control thread's",
            core_percent(control * own_calls_per_s),
            core_percent(control * zone_calls_per_s),
            "% of a core",
        ),
        row("memory", memory.base, memory.at(design::ZONE_ENTRIES), "B"),
    ])
}

fn platform_rows(lines: &Lines<'_>) -> Result<Vec<Row>> {
    let row = |figure, today, design, limit, unit| Row {
        role: "platform's table",
        figure,
        today,
        design,
        limit,
        unit,
    };
    let reads = lines.get("platform, reads/s", "entry")?;
    let commits = lines.get("table, transactions", "call")?.slope * target::CALLS_PER_S;
    let batches = design::BATCHES_PER_S * target::ZONES;
    let changes = target::CHANGES_PER_DAY / DAY_S;
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
            reads.at(target::ENTRIES),
            reads.at(target::ZONES),
            Some(2_000.0),
            "/s",
        ),
        row("changes of configuration", changes, changes, None, "/s"),
    ])
}
