//! Drops orphaned rows.
//!
//! A host drops the rows that it wrote when their retention is over; the rows of a host that failed
//! would stay for ever. So each host reads through the tables, one partition at a time and at long
//! intervals, and drops the rows that no request may need any more:
//!
//! - turns, which are never changed, after their retention;
//! - accounts that were not written for as long, if no process that holds a grant in them is listed:
//!   a listed process may hand out tokens without a write;
//! - rows of gateways that have not been written again for a long time;
//! - losses of requests after some time, so that a request gets another chance.

use std::sync::Arc;
use std::time::Duration;

use slog::info;
use store::api::{Row, Transaction};
use store::{Outcome, Partition, key_after};
use turns::{ACCOUNTS, Account, CHAIN_SLACK, TURNS};
use units::{Incarnation, Span, Time};

use crate::list_copy;
use crate::losses;
use crate::peers;
use crate::roster::Peer;
use crate::rows::PAGE_ROWS_MAX;
use crate::state::Shared;

/// Time between two partitions, for all hosts together: a partition holds some hundred kilobytes,
/// and all partitions are read in two minutes.
const PARTITION_INTERVAL: Duration = Duration::from_millis(1_000);
/// Rows are swept this much later than their retention: the host that wrote them drops them first.
const RETENTION_SLACK: Span = Span::from_ms(30_000);
/// Shortest retention that the sweep assumes, also while the routes are not known yet.
const RETENTION_MIN: Span = Span::from_ms(60_000);
/// Age at which the row of a gateway counts as orphaned: a running gateway writes its row five times
/// in this time.
const GATEWAY_ROW_AGE_MAX: Span = Span::from_ms(600_000);
/// Age at which the losses of a request are forgotten.
const LOSS_AGE_MAX: Span = Span::from_ms(600_000);
/// Time between two writes of a gateway's own row.
const GATEWAY_ROW_INTERVAL: Span = Span::from_ms(120_000);
/// Most rows that one transaction drops: it has a check and a write for each row, and holds 100 of
/// both together.
const ROWS_PER_DROP_MAX: usize = 50;

/// Sweeps for as long as the process runs.
pub(crate) async fn run(shared: Arc<Shared>, own: Peer) {
    let mut partitions = turns::partitions();
    partitions.push(Partition::new(peers::TABLE, ""));
    partitions.push(list_copy::partition());
    partitions.push(Partition::new(losses::TABLE, ""));
    // Each host begins at another partition, so that hosts do not read the same one together.
    let mut next = own.incarnation.0 as usize % partitions.len();
    let mut retention = RETENTION_MIN;
    let mut row_written_at = shared.clock.now();
    loop {
        let hosts = shared.peers.roster().count().max(1) as u32;
        smol::Timer::after(PARTITION_INTERVAL * hosts).await;
        if shared.is_draining() {
            // The stopping gateway has deleted its row; writing the row again would bring it back.
            return;
        }
        let now = shared.clock.now();
        if now.since(row_written_at) >= GATEWAY_ROW_INTERVAL {
            peers::register(&shared.rows, &own, &shared.log).await;
            let listed = shared.peers.roster().count();
            // If it fails, the next write follows well before the row counts as orphaned.
            drop(list_copy::write(&shared.rows, &own, listed).await);
            row_written_at = now;
        }
        retention = retention.max(longest_retention(&shared));
        let partition = &partitions[next];
        if let Some(newest_expired) = newest_expired_version(&shared, partition, retention, now) {
            sweep(&shared, &own, partition, newest_expired).await;
        }
        next = (next + 1) % partitions.len();
    }
}

/// Returns the longest retention of the routes in force.
fn longest_retention(shared: &Shared) -> Span {
    let environment = shared.environment();
    let routes = environment
        .iter()
        .flat_map(|environment| &environment.routes);
    routes.map(|route| route.retention).max().unwrap_or(Span(0))
}

/// Returns the highest version of expired rows of a partition; `None` if no version is known to be
/// old enough.
fn newest_expired_version(
    shared: &Shared,
    partition: &Partition,
    retention: Span,
    now: Time,
) -> Option<u64> {
    let age = match partition.table.as_str() {
        peers::TABLE | list_copy::TABLE => GATEWAY_ROW_AGE_MAX,
        losses::TABLE => LOSS_AGE_MAX,
        TURNS => Span(retention.0 + CHAIN_SLACK.0 + RETENTION_SLACK.0),
        _ => Span(retention.0 + RETENTION_SLACK.0),
    };
    shared.rows.ages().newest_older_than(age, now)
}

/// Drops the orphaned rows of a partition.
async fn sweep(shared: &Shared, own: &Peer, partition: &Partition, newest_expired: u64) {
    let mut from = String::new();
    loop {
        let page = match shared
            .rows
            .read_page(partition, &from, "", PAGE_ROWS_MAX)
            .await
        {
            Ok(page) => page,
            Err(error) => {
                info!(shared.log, "partition not swept"; "table" => %partition.table,
                    "part" => %partition.name, "error" => %error);
                return;
            }
        };
        let is_live =
            |process| process == own.incarnation || shared.peers.roster().contains(process);
        let rows = page.rows.iter();
        let orphaned: Vec<&Row> = rows
            .filter(|row| row.key != own.host.as_str())
            .filter(|row| is_orphaned(partition, row, newest_expired, is_live))
            .collect();
        for rows in orphaned.chunks(ROWS_PER_DROP_MAX) {
            drop_rows(shared, partition, rows, newest_expired).await;
        }
        match page.rows.last() {
            Some(last) if page.has_more => from = key_after(&last.key).into(),
            _ => return,
        }
    }
}

/// Whether a row is orphaned: its version is not above `newest_expired`, and if it is an account, no
/// live process holds a grant in it. `is_live` returns whether a process is listed.
pub fn is_orphaned(
    partition: &Partition,
    row: &Row,
    newest_expired: u64,
    is_live: impl Fn(Incarnation) -> bool,
) -> bool {
    if row.version > newest_expired {
        return false;
    }
    if partition.table != ACCOUNTS {
        return true;
    }
    // An account that cannot be decoded may have a grant that a live process holds.
    let account = Account::decode(&row.value.0).ok();
    account.is_some_and(|account| !account.grants.iter().any(|grant| is_live(grant.holder)))
}

async fn drop_rows(shared: &Shared, partition: &Partition, rows: &[&Row], newest_expired: u64) {
    let drops = rows.iter().fold(Transaction::default(), |drops, row| {
        drops
            .with_check(&row.key, row.version)
            .with_delete(&row.key)
    });
    let outcome = match shared.rows.write(partition, &drops).await {
        Ok(Outcome::Committed(_)) => "dropped",
        // Another host has written or dropped one of the rows; the next pass reads them again.
        Ok(Outcome::Conflict(_)) => "changed concurrently",
        Err(_) => "unknown",
    };
    info!(shared.log, "rows left behind"; "table" => %partition.table, "part" => %partition.name,
        "rows" => rows.len(), "written_before" => newest_expired, "outcome" => outcome);
}
