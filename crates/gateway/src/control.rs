//! The store as a dependency: its calls, how long to wait for them, and what its feeds tell.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use compact_str::CompactString;
use rand::Rng;
use slog::{Logger, info, warn};
use smol::future::FutureExt;
use store::api::{Row, Transaction};
use store::{Change, Error, Feed, Page, Place, Result, Table, Written};
use units::{Clock, Span, Time};

use crate::endpoints::News;
use crate::state::Shared;

/// Shortest wait for the store's answer: several round trips between regions and a transaction.
const WAIT_MIN: Span = Span::from_ms(200);
/// Longest wait; a store that takes this long is away for callers.
const WAIT_MAX: Span = Span::from_ms(1_600);
/// Waits are so many times the mean time of an answer.
const WAIT_FACTOR: u64 = 6;
/// Weight of a new sample in the mean time of an answer, as a divisor.
const MEAN_DIVISOR: u64 = 8;
/// Failures in a row after which the store counts as away.
const FAILURES_AWAY: u32 = 2;
/// How long a feed waits for news: a feed whose connection is silently dead is noticed after this
/// and [`WAIT_MAX`].
const FEED_WAIT: Span = Span::from_ms(1_500);
/// Pause between two waits of a feed, so that changes which come together are told together.
const FEED_PAUSE: Duration = Duration::from_millis(300);
/// Pause before the store is asked again after a failure; doubled by jitter.
const RETRY_PAUSE: Span = Span::from_ms(150);
/// A feed that heard nothing for longer than this cannot say that the store was there meanwhile.
const GAP_MAX: Span = Span::from_ms(2_500);

/// How the store has answered lately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Link {
    mean: Span,
    failures: u32,
    last_answer: Time,
}

impl Link {
    /// A store that has not been asked yet.
    pub fn new(now: Time) -> Self {
        Link {
            mean: Span(WAIT_MIN.0 / WAIT_FACTOR),
            failures: 0,
            last_answer: now,
        }
    }

    /// Whether calls would only fail now.
    pub fn is_away(&self) -> bool {
        self.failures >= FAILURES_AWAY
    }

    /// How long to wait for an answer: longer after each failure, as the store may be slow.
    pub fn wait(&self) -> Span {
        let wait = (self.mean.0 * WAIT_FACTOR).clamp(WAIT_MIN.0, WAIT_MAX.0);
        Span((wait << self.failures.min(4)).min(WAIT_MAX.0))
    }

    /// Takes in an answer after `took`; whether the store was away before.
    pub fn answered(&mut self, took: Span, now: Time) -> bool {
        let returned = self.is_away();
        self.mean.0 = (self.mean.0 * (MEAN_DIVISOR - 1) + took.0) / MEAN_DIVISOR;
        self.failures = 0;
        self.last_answer = now;
        returned
    }

    /// Takes in a failure; whether the store counts as away from now on.
    pub fn failed(&mut self) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.failures == FAILURES_AWAY
    }
}

/// The store with its state.
pub(crate) struct Rows {
    table: Arc<dyn Table>,
    link: Mutex<Link>,
    clock: Clock,
    log: Logger,
}

impl Rows {
    pub(crate) fn new(table: Arc<dyn Table>, clock: Clock, log: Logger) -> Self {
        Rows {
            table,
            link: Mutex::new(Link::new(clock.now())),
            clock,
            log,
        }
    }

    pub(crate) fn link(&self) -> Link {
        *self.link.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) async fn write(&self, place: &Place, tx: &Transaction) -> Result<Written> {
        self.bounded(self.table.write(place, tx)).await
    }

    /// Reads all rows from `from` to `to`, page by page.
    pub(crate) async fn read(&self, place: &Place, from: &str, to: &str) -> Result<Page> {
        let mut all = self.bounded(self.table.read(place, from, to)).await?;
        while all.more {
            let Some(last) = all.rows.last() else {
                break;
            };
            // The key after the last one in byte order.
            let next = format!("{}\u{1}", last.key);
            let page = self.bounded(self.table.read(place, &next, to)).await?;
            all.more = page.more;
            all.rows.extend(page.rows);
        }
        Ok(all)
    }

    async fn feed(&self, table: &str, version: u64) -> Result<Feed> {
        let feed = self.table.feed(table, version, FEED_WAIT);
        let limit = FEED_WAIT.0 + self.link().wait().0;
        self.timed(feed, Span(limit), false).await
    }

    async fn bounded<T>(&self, call: impl Future<Output = Result<T>>) -> Result<T> {
        let wait = self.link().wait();
        self.timed(call, wait, true).await
    }

    async fn timed<T>(
        &self,
        call: impl Future<Output = Result<T>>,
        limit: Span,
        sample: bool,
    ) -> Result<T> {
        let start = self.clock.now();
        let expire = async {
            smol::Timer::after(limit.into()).await;
            Err(Error::Uncertain(http_io::Error::Timeout))
        };
        let result = call.or(expire).await;
        let now = self.clock.now();
        let mut link = self.link.lock().unwrap_or_else(PoisonError::into_inner);
        match &result {
            Ok(_) => {
                let silent = now.since(link.last_answer);
                let took = if sample { now.since(start) } else { link.mean };
                if link.answered(took, now) {
                    info!(self.log, "store regained"; "silent_ms" => silent.as_ms());
                }
            }
            Err(error) => {
                let silent = now.since(link.last_answer);
                if link.failed() {
                    warn!(self.log, "store lost"; "error" => %error,
                        "limit_ms" => limit.as_ms(), "silent_ms" => silent.as_ms());
                }
            }
        }
        result
    }
}

/// Follows one table for as long as the process runs.
pub(crate) async fn follow<F>(shared: Arc<Shared>, table: CompactString, mut apply: F)
where
    F: FnMut(&Shared, Told<'_>),
{
    let mut version = None;
    let mut heard = shared.clock.now();
    loop {
        let result = match version {
            None => read_table(&shared, &table).await,
            Some(version) => shared.rows.feed(&table, version).await.map(Update::Feed),
        };
        let now = shared.clock.now();
        let gap = now.since(heard) > GAP_MAX;
        match result {
            Ok(update) => {
                heard = now;
                version = deliver(&shared, update, gap, &mut apply);
                smol::Timer::after(FEED_PAUSE).await;
            }
            Err(error) => {
                slog::debug!(shared.log, "feed failed"; "table" => %table, "error" => %error);
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
    let place = Place::new(table, "");
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
            for change in changes.iter().filter(|change| change.part.is_empty()) {
                apply(shared, Told::Change(change, version));
            }
            Some(version)
        }
        Update::Feed(Feed::Forgotten) => {
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
        Told::Change(change, _) if !change.dropped => adopt(shared, &change.row),
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
        Told::Gap => shared.endpoints().store_returned(now),
        Told::Whole(rows, version) => {
            let ids: Vec<CompactString> = rows.iter().map(|row| row.key.clone()).collect();
            rows.iter().for_each(|row| list(shared, row));
            let missing = shared.endpoints().unlist_others(&ids, now);
            for (id, news) in missing {
                tell(shared, news, &id, version);
            }
        }
        Told::Change(change, version) if change.dropped => {
            let id = &change.row.key;
            let news = shared.endpoints().unlist(id, now);
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
            let news = shared.endpoints().list(endpoint);
            if let Some(news) = news {
                tell(shared, news, &row.key, row.version);
            }
        }
        // An entry that cannot be read names no endpoint to use, also if it named one before.
        Err(why) => {
            warn!(shared.log, "endpoint entry ignored"; "endpoint" => %row.key,
                "row_version" => row.version, "why" => why);
            let news = shared.endpoints().unlist(&row.key, shared.clock.now());
            if let Some(news) = news {
                tell(shared, news, &row.key, row.version);
            }
        }
    }
}

pub(crate) fn tell(shared: &Shared, news: News, id: &str, version: u64) {
    shared.metrics.count("endpoint-changes");
    info!(shared.log, "{}", news.as_str(); "endpoint" => id, "row_version" => version);
}
