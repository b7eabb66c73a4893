//! Follows tables of the store by their feeds, and applies the rows to the state of the gateway.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use rand::Rng;
use slog::{info, warn};
use store::api::Row;
use store::{Change, Feed, Page, Partition, Result};
use units::{Span, Time};

use crate::endpoints::EndpointChange;
use crate::peers;
use crate::state::Shared;

/// How long a feed waits for changes. A connection that was lost without notice is detected after
/// this time plus the response timeout.
pub(crate) const FEED_WAIT: Span = Span::from_ms(1_500);
/// Pause between two waits of a feed, so that changes of about the same time arrive in one response.
pub(crate) const FEED_PAUSE: Duration = Duration::from_millis(300);
/// Shortest pause before a failed call of the store is repeated; jitter adds up to as much again.
const RETRY_PAUSE: Span = Span::from_ms(150);
/// If the time since the last response of a feed exceeds its wait by more than this, the store may
/// have been unavailable in between.
const GAP_MAX: Span = Span::from_ms(1_000);

/// Follows one table for as long as the process runs, and calls `apply` with each event.
pub(crate) async fn follow_table<F>(
    shared: Arc<Shared>,
    table: CompactString,
    wait: Span,
    mut apply: F,
) where
    F: FnMut(&Shared, TableEvent<'_>),
{
    let mut version = None;
    let mut last_response = shared.clock.now();
    loop {
        let started = shared.clock.now();
        let result = match version {
            None => read_table(&shared, &table).await,
            Some(version) => shared
                .rows
                .feed(&table, version, wait)
                .await
                .map(Update::Feed),
        };
        let now = shared.clock.now();
        let is_gap = now.since(last_response) > Span(wait.0 + GAP_MAX.0);
        match result {
            Ok(update) => {
                last_response = now;
                version = deliver(&shared, update, is_gap, &mut apply);
                smol::Timer::after(FEED_PAUSE).await;
            }
            Err(error) => {
                shared.metrics.count("feeds-failed");
                info!(shared.log, "feed failed"; "table" => %table, "error" => %error,
                    "took_ms" => now.since(started).as_ms(),
                    "silent_ms" => now.since(last_response).as_ms());
                retry_pause().await;
            }
        }
    }
}

/// Result of reading a table or waiting for its changes.
enum Update {
    Snapshot(Page),
    Feed(Feed),
}

/// Event of a followed table.
pub(crate) enum TableEvent<'a> {
    /// The store may have been unavailable until now, and have dropped rows of running processes.
    Gap,
    /// All rows of the table, and the version of the store that they were read at.
    Snapshot(&'a [Row], u64),
    /// The rows that changed, in order, and the version of the store that the feed has reached.
    Changes(&'a [&'a Change], u64),
}

async fn read_table(shared: &Shared, table: &str) -> Result<Update> {
    let partition = Partition::new(table, "");
    shared
        .rows
        .read(&partition, "", "")
        .await
        .map(Update::Snapshot)
}

/// Applies an update; returns the version to wait from, `None` if the table has to be read again.
fn deliver(
    shared: &Shared,
    update: Update,
    is_gap: bool,
    apply: &mut impl FnMut(&Shared, TableEvent<'_>),
) -> Option<u64> {
    if is_gap {
        apply(shared, TableEvent::Gap);
    }
    match update {
        Update::Snapshot(page) => {
            apply(shared, TableEvent::Snapshot(&page.rows, page.version));
            Some(page.version)
        }
        Update::Feed(Feed::Changes(changes, version)) => {
            let changes = changes.iter();
            let changes: Vec<&Change> = changes
                .filter(|change| change.partition.is_empty())
                .collect();
            if !changes.is_empty() {
                apply(shared, TableEvent::Changes(&changes, version));
            }
            Some(version)
        }
        Update::Feed(Feed::Truncated) => {
            info!(shared.log, "feed history lost, reading the table again");
            None
        }
    }
}

pub(crate) async fn retry_pause() {
    let pause = RETRY_PAUSE.0 + rand::rng().random_range(0..=RETRY_PAUSE.0);
    smol::Timer::after(Duration::from_micros(pause)).await;
}

/// Applies an event of the table of endpoints.
pub(crate) fn apply_endpoint_event(shared: &Shared, event: TableEvent<'_>) {
    let now = shared.clock.now();
    match event {
        TableEvent::Gap => shared.endpoints().record_store_outage(now),
        TableEvent::Snapshot(rows, version) => {
            let ids: Vec<CompactString> = rows.iter().map(|row| row.key.clone()).collect();
            for row in rows {
                apply_endpoint_row(shared, row);
            }
            let missing = shared.endpoints().reconcile(&ids, now);
            for (id, change) in missing {
                log_endpoint_change(shared, change, &id, version);
            }
            shared.sync_balancer();
        }
        TableEvent::Changes(changes, version) => {
            for change in changes {
                apply_endpoint_change(shared, change, version, now);
            }
        }
    }
}

/// Applies a changed row. The load balancer is updated only if the row describes another endpoint than
/// before: most changes concern fields that are not used here.
fn apply_endpoint_change(shared: &Shared, change: &Change, version: u64, now: Time) {
    let id = &change.row.key;
    let is_changed = if change.is_deleted {
        let change = shared.endpoints().mark_missing(id, now);
        if let Some(change) = change {
            log_endpoint_change(shared, change, id, version);
        }
        change.is_some()
    } else {
        apply_endpoint_row(shared, &change.row)
    };
    if is_changed {
        shared.sync_endpoint(id);
    }
}

/// Applies a row; returns whether its endpoint has changed.
fn apply_endpoint_row(shared: &Shared, row: &Row) -> bool {
    match shared.adapter.directory.endpoint(row) {
        Ok(endpoint) => {
            let release = endpoint.release.clone();
            let change = shared.endpoints().upsert(endpoint);
            if let Some(change) = change {
                shared.metrics.count("endpoint-changes");
                info!(shared.log, "{}", change.as_str(); "endpoint" => %row.key,
                    "release" => %release, "row_version" => row.version);
            }
            change.is_some()
        }
        // An entry that cannot be read describes no usable endpoint, even if an earlier version did.
        Err(error) => {
            warn!(shared.log, "endpoint entry ignored"; "endpoint" => %row.key,
                "row_version" => row.version, "why" => error);
            let change = shared
                .endpoints()
                .mark_missing(&row.key, shared.clock.now());
            if let Some(change) = change {
                log_endpoint_change(shared, change, &row.key, row.version);
            }
            change.is_some()
        }
    }
}

pub(crate) fn log_endpoint_change(shared: &Shared, change: EndpointChange, id: &str, version: u64) {
    shared.metrics.count("endpoint-changes");
    info!(shared.log, "{}", change.as_str(); "endpoint" => id, "row_version" => version);
}

/// Applies an event of the table of gateways.
pub(crate) fn apply_peer_event(shared: &Shared, event: TableEvent<'_>) {
    match event {
        TableEvent::Gap => return,
        TableEvent::Snapshot(rows, _) => shared.peers.list(rows, &shared.log),
        TableEvent::Changes(changes, _) => {
            for change in changes {
                if change.is_deleted {
                    shared.peers.roster().remove(&change.row.key);
                } else {
                    peers::apply_row(&mut shared.peers.roster(), &change.row, &shared.log);
                }
            }
        }
    }
    shared.sync_senders();
}
