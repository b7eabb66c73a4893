//! Drops rows that hosts have left behind.
//!
//! A host drops the rows that it wrote when their time is over; the rows of one that died would stay
//! for ever. Each host reads through the tables, a part at a time and seldom, and drops what is
//! older than anyone may ask for:
//!
//! - turns, which are never changed, once they are older than turns are retained;
//! - accounts that were not written for as long, if no process that holds a grant is listed: one
//!   that is may hand out tokens without a write;
//! - the entries of gateways that have not been written again for long.

use std::sync::Arc;
use std::time::Duration;

use slog::info;
use store::api::{Row, Transaction};
use store::{Outcome, Partition, key_after};
use turns::{ACCOUNTS, Account, CHAIN_SLACK, TURNS};
use units::{Incarnation, Span, Time};

use crate::peers::{self, Peer};
use crate::state::Shared;

/// Time between two parts that all hosts together read: a part holds some hundred kilobytes, and
/// all parts are read in two minutes.
const PART_INTERVAL: Duration = Duration::from_millis(1_000);
/// Rows are left for this much longer than turns are retained: their own host drops them first.
const AGE_SLACK: Span = Span::from_ms(30_000);
/// The least that rows are left for, before routes are known that retain turns.
const AGE_MIN: Span = Span::from_ms(60_000);
/// Age at which the entry of a gateway counts as left behind: it is written again five times
/// meanwhile.
const ENTRY_AGE: Span = Span::from_ms(600_000);
/// Time between two writes of a gateway's own entry.
const ENTRY_INTERVAL: Span = Span::from_ms(120_000);
/// Rows that one transaction drops; it has a check and a write for each, and holds 100 of both.
const DROPS_MAX: usize = 50;

/// Sweeps for as long as the process runs.
pub(crate) async fn run(shared: Arc<Shared>, own: Peer) {
    let mut places = turns::partitions();
    places.push(Partition::new(peers::TABLE, ""));
    // Hosts begin at places of their own, so that they do not read the same ones together.
    let mut next = own.incarnation.0 as usize % places.len();
    let mut retain = AGE_MIN;
    let mut written = shared.clock.now();
    loop {
        let hosts = shared.peers.roster().count().max(1) as u32;
        smol::Timer::after(PART_INTERVAL * hosts).await;
        if shared.is_draining() {
            // The entry that was dropped must not come back.
            return;
        }
        let now = shared.clock.now();
        if now.since(written) >= ENTRY_INTERVAL {
            peers::register(&shared.rows, &own, &shared.log).await;
            written = now;
        }
        retain = retain.max(longest_retained(&shared));
        let place = &places[next];
        if let Some(before) = old_version(&shared, place, retain, now) {
            sweep(&shared, &own, place, before).await;
        }
        next = (next + 1) % places.len();
    }
}

/// How long the routes in force have turns kept.
fn longest_retained(shared: &Shared) -> Span {
    let environment = shared.environment();
    let routes = environment
        .iter()
        .flat_map(|environment| &environment.routes);
    routes.map(|route| route.retention).max().unwrap_or(Span(0))
}

/// The version up to which rows of a place are old; `None` if none are known to be.
fn old_version(shared: &Shared, place: &Partition, retain: Span, now: Time) -> Option<u64> {
    let age = match place.table.as_str() {
        peers::TABLE => ENTRY_AGE,
        TURNS => Span(retain.0 + CHAIN_SLACK.0 + AGE_SLACK.0),
        _ => Span(retain.0 + AGE_SLACK.0),
    };
    shared.rows.ages().newest_older_than(age, now)
}

/// Drops the rows of a place that are left behind.
async fn sweep(shared: &Shared, own: &Peer, place: &Partition, before: u64) {
    let mut from = String::new();
    loop {
        let page = match shared.rows.read_page(place, &from, "").await {
            Ok(page) => page,
            Err(error) => {
                info!(shared.log, "part not swept"; "table" => %place.table, "part" => %place.name,
                    "error" => %error);
                return;
            }
        };
        let is_live =
            |process| process == own.incarnation || shared.peers.roster().contains(process);
        let rows = page.rows.iter();
        let left: Vec<&Row> = rows
            .filter(|row| row.key != own.host.as_str())
            .filter(|row| is_orphaned(place, row, before, is_live))
            .collect();
        for rows in left.chunks(DROPS_MAX) {
            drop_rows(shared, place, rows, before).await;
        }
        match page.rows.last() {
            Some(last) if page.has_more => from = key_after(&last.key).into(),
            _ => return,
        }
    }
}

/// Whether no one needs a row any more, if what has at most the version `before` is old;
/// `is_live` tells whether a process is listed.
pub fn is_orphaned(
    place: &Partition,
    row: &Row,
    before: u64,
    is_live: impl Fn(Incarnation) -> bool,
) -> bool {
    if row.version > before {
        return false;
    }
    if place.table != ACCOUNTS {
        return true;
    }
    // What cannot be read may have a holder.
    let account = Account::decode(&row.value.0).ok();
    account.is_some_and(|account| !account.grants.iter().any(|grant| is_live(grant.holder)))
}

async fn drop_rows(shared: &Shared, place: &Partition, rows: &[&Row], before: u64) {
    let drops = rows.iter().fold(Transaction::default(), |drops, row| {
        drops
            .with_check(&row.key, row.version)
            .with_delete(&row.key)
    });
    let outcome = match shared.rows.write(place, &drops).await {
        Ok(Outcome::Committed(_)) => "dropped",
        // Someone has written one of them again, or dropped it; the next pass sees.
        Ok(Outcome::Conflict(_)) => "changed meanwhile",
        Err(_) => "not known",
    };
    info!(shared.log, "rows left behind"; "table" => %place.table, "part" => %place.name,
        "rows" => rows.len(), "written_before" => before, "outcome" => outcome);
}
