//! What the feeds of the store tell, and what is believed because of it.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use rand::Rng;
use slog::{debug, info, warn};
use store::api::Row;
use store::{Change, Feed, Page, Partition, Result};
use units::Span;

use crate::endpoints::EndpointChange;
use crate::peers;
use crate::state::Shared;

/// How long a feed waits for news: a feed whose connection is silently dead is noticed after this
/// and the wait for an answer.
pub(crate) const FEED_WAIT: Span = Span::from_ms(1_500);
/// Pause between two waits of a feed, so that changes which come together are told together.
const FEED_PAUSE: Duration = Duration::from_millis(300);
/// Pause before the store is asked again after a failure; doubled by jitter.
const RETRY_PAUSE: Span = Span::from_ms(150);
/// A feed that heard nothing for longer than its wait and this cannot say that the store was there
/// meanwhile.
const GAP_MAX: Span = Span::from_ms(1_000);

/// Follows one table for as long as the process runs.
pub(crate) async fn follow<F>(shared: Arc<Shared>, table: CompactString, wait: Span, mut apply: F)
where
    F: FnMut(&Shared, Told<'_>),
{
    let mut version = None;
    let mut heard = shared.clock.now();
    loop {
        let result = match version {
            None => read_table(&shared, &table).await,
            Some(version) => shared
                .rows
                .feed(&table, version, wait)
                .await
                .map(Update::Feed),
        };
        let now = shared.clock.now();
        let gap = now.since(heard) > Span(wait.0 + GAP_MAX.0);
        match result {
            Ok(update) => {
                heard = now;
                version = deliver(&shared, update, gap, &mut apply);
                smol::Timer::after(FEED_PAUSE).await;
            }
            Err(error) => {
                debug!(shared.log, "feed failed"; "table" => %table, "error" => %error);
                pause().await;
            }
        }
    }
}

enum Update {
    Whole(Page),
    Feed(Feed),
}

/// What a follower is told.
pub(crate) enum Told<'a> {
    /// The store may have dropped entries of living endpoints until now.
    Gap,
    /// All rows of the table.
    Whole(&'a [Row], u64),
    /// One change.
    Change(&'a Change, u64),
}

async fn read_table(shared: &Shared, table: &str) -> Result<Update> {
    let place = Partition::new(table, "");
    shared.rows.read(&place, "", "").await.map(Update::Whole)
}

fn deliver(
    shared: &Shared,
    update: Update,
    gap: bool,
    apply: &mut impl FnMut(&Shared, Told<'_>),
) -> Option<u64> {
    if gap {
        apply(shared, Told::Gap);
    }
    match update {
        Update::Whole(page) => {
            apply(shared, Told::Whole(&page.rows, page.version));
            Some(page.version)
        }
        Update::Feed(Feed::Changes(changes, version)) => {
            for change in changes.iter().filter(|change| change.partition.is_empty()) {
                apply(shared, Told::Change(change, version));
            }
            Some(version)
        }
        Update::Feed(Feed::Truncated) => {
            info!(shared.log, "feed lost its history, reading the table anew");
            None
        }
    }
}

pub(crate) async fn pause() {
    let pause = RETRY_PAUSE.0 + rand::rng().random_range(0..=RETRY_PAUSE.0);
    smol::Timer::after(Duration::from_micros(pause)).await;
}

/// Takes in rows of the table with the environment.
pub(crate) fn environment_news(shared: &Shared, news: Told<'_>) {
    match news {
        Told::Gap => {}
        Told::Whole(rows, _) => rows.iter().for_each(|row| adopt(shared, row)),
        Told::Change(change, _) if !change.is_deleted => adopt(shared, &change.row),
        Told::Change(..) => {}
    }
}

fn adopt(shared: &Shared, row: &Row) {
    match shared.adapter.directory.environment(row) {
        Ok(Some(environment)) => shared.adopt(environment, row.version),
        Ok(None) => {}
        Err(why) => warn!(shared.log, "environment cannot be read"; "row" => %row.key,
            "row_version" => row.version, "why" => why),
    }
}

/// Takes in rows of the table of endpoints.
pub(crate) fn endpoint_news(shared: &Shared, news: Told<'_>) {
    let now = shared.clock.now();
    match news {
        Told::Gap => shared.endpoints().record_store_outage(now),
        Told::Whole(rows, version) => {
            let ids: Vec<CompactString> = rows.iter().map(|row| row.key.clone()).collect();
            rows.iter().for_each(|row| list(shared, row));
            let missing = shared.endpoints().reconcile(&ids, now);
            for (id, news) in missing {
                tell(shared, news, &id, version);
            }
        }
        Told::Change(change, version) if change.is_deleted => {
            let id = &change.row.key;
            let news = shared.endpoints().mark_missing(id, now);
            if let Some(news) = news {
                tell(shared, news, id, version);
            }
        }
        Told::Change(change, _) => list(shared, &change.row),
    }
    shared.sync_places();
}

fn list(shared: &Shared, row: &Row) {
    match shared.adapter.directory.endpoint(row) {
        Ok(endpoint) => {
            let news = shared.endpoints().upsert(endpoint);
            if let Some(news) = news {
                tell(shared, news, &row.key, row.version);
            }
        }
        // An entry that cannot be read names no endpoint to use, also if it named one before.
        Err(why) => {
            warn!(shared.log, "endpoint entry ignored"; "endpoint" => %row.key,
                "row_version" => row.version, "why" => why);
            let news = shared
                .endpoints()
                .mark_missing(&row.key, shared.clock.now());
            if let Some(news) = news {
                tell(shared, news, &row.key, row.version);
            }
        }
    }
}

pub(crate) fn tell(shared: &Shared, news: EndpointChange, id: &str, version: u64) {
    shared.metrics.count("endpoint-changes");
    info!(shared.log, "{}", news.as_str(); "endpoint" => id, "row_version" => version);
}

/// Takes in rows of the table of gateways.
pub(crate) fn peer_news(shared: &Shared, news: Told<'_>) {
    match news {
        Told::Gap => {}
        Told::Whole(rows, _) => rows
            .iter()
            .for_each(|row| peers::list(&shared.peers, row, &shared.log)),
        Told::Change(change, _) if change.is_deleted => {
            shared.peers.roster().remove(&change.row.key);
        }
        Told::Change(change, _) => peers::list(&shared.peers, &change.row, &shared.log),
    }
}
