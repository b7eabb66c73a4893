//! The store as a dependency: its calls, how long to wait for them, and what its feeds tell.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use compact_str::CompactString;
use rand::Rng;
use slog::{Logger, info, warn};
use smol::future::FutureExt;
use store::api::{Row, Transaction};
use store::{Change, Error, Feed, Page, Place, Result, Table, Written, after};
use units::{Clock, Span, Time};
use wire::{Relay, Relayed};

use crate::endpoints::News;
use crate::peers::{self, Peers};
use crate::state::Shared;

/// Most rows asked for at once.
const PAGE_ROWS: usize = 500;
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
pub(crate) const FEED_WAIT: Span = Span::from_ms(1_500);
/// Pause between two waits of a feed, so that changes which come together are told together.
const FEED_PAUSE: Duration = Duration::from_millis(300);
/// How long a store that is away is given to show that it is back.
const PROBE_MAX: Span = Span::from_ms(300);
/// Pause before the store is asked again after a failure; doubled by jitter.
const RETRY_PAUSE: Span = Span::from_ms(150);
/// A feed that heard nothing for longer than its wait and this cannot say that the store was there meanwhile.
const GAP_MAX: Span = Span::from_ms(1_000);

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
///
/// While this host does not reach it, calls go through a peer that does.
pub(crate) struct Rows {
    table: Arc<dyn Table>,
    peers: Peers,
    link: Mutex<Link>,
    relayed: Mutex<Link>,
    clock: Clock,
    log: Logger,
}

impl Rows {
    pub(crate) fn new(table: Arc<dyn Table>, peers: Peers, clock: Clock, log: Logger) -> Self {
        Rows {
            table,
            peers,
            link: Mutex::new(Link::new(clock.now())),
            relayed: Mutex::new(Link::new(clock.now())),
            clock,
            log,
        }
    }

    /// Whether calls would only fail now, over every way.
    pub(crate) fn is_away(&self) -> bool {
        self.link().is_away() && lock(&self.relayed).is_away()
    }

    pub(crate) async fn write(&self, place: &Place, tx: &Transaction) -> Result<Written> {
        let direct = self.table.write(place, tx);
        let relay = || Relay::Write {
            place: place.clone(),
            transaction: tx.clone(),
        };
        match self.call(direct, relay).await? {
            Reached::Here(written) | Reached::There(Relayed::Written(written)) => Ok(written),
            Reached::There(_) => Err(unexpected()),
        }
    }

    /// Reads all rows from `from` to `to`, page by page.
    pub(crate) async fn read(&self, place: &Place, from: &str, to: &str) -> Result<Page> {
        let mut all = self.read_page(place, from, to).await?;
        while all.more {
            let Some(last) = all.rows.last() else {
                break;
            };
            let page = self.read_page(place, &after(&last.key), to).await?;
            all.more = page.more;
            all.rows.extend(page.rows);
        }
        Ok(all)
    }

    async fn read_page(&self, place: &Place, from: &str, to: &str) -> Result<Page> {
        let direct = self.table.read(place, from, to, PAGE_ROWS);
        let relay = || Relay::Read {
            place: place.clone(),
            from: from.into(),
            to: to.into(),
            limit: PAGE_ROWS as u32,
        };
        match self.call(direct, relay).await? {
            Reached::Here(page) | Reached::There(Relayed::Page(page)) => Ok(page),
            Reached::There(_) => Err(unexpected()),
        }
    }

    /// Waits for changes of a table; also tries whether the store is back.
    async fn feed(&self, table: &str, version: u64, wait: Span) -> Result<Feed> {
        let away = self.link().is_away();
        // A short call tells as well whether the store is back.
        let own_wait = if away { Span(0) } else { wait };
        let feed = self.table.feed(table, version, own_wait);
        let limit = if away {
            PROBE_MAX
        } else {
            Span(wait.0 + self.link().wait().0)
        };
        let result = self.timed(feed, limit, away).await;
        if result.is_ok() || !self.link().is_away() {
            return result;
        }
        let relay = Relay::Feed {
            table: table.into(),
            version,
            wait,
        };
        match self.relay(relay, wait).await? {
            Relayed::Feed(feed) => Ok(feed),
            _ => Err(unexpected()),
        }
    }

    /// Makes a call for a peer; never passes it on.
    pub(crate) async fn serve(&self, relay: Relay) -> Relayed {
        if self.link().is_away() {
            return Relayed::Unavailable;
        }
        let result = match relay {
            Relay::Write { place, transaction } => {
                let call = self.table.write(&place, &transaction);
                self.bounded(call).await.map(Relayed::Written)
            }
            Relay::Read {
                place,
                from,
                to,
                limit,
            } => {
                let limit = (limit as usize).min(PAGE_ROWS);
                let call = self.table.read(&place, &from, &to, limit);
                self.bounded(call).await.map(Relayed::Page)
            }
            Relay::Feed {
                table,
                version,
                wait,
            } => {
                let wait = wait.min(FEED_WAIT);
                let call = self.table.feed(&table, version, wait);
                let limit = Span(wait.0 + self.link().wait().0);
                self.timed(call, limit, false).await.map(Relayed::Feed)
            }
        };
        result.unwrap_or_else(|error| {
            if error.is_uncertain() {
                Relayed::Uncertain
            } else {
                Relayed::Unavailable
            }
        })
    }

    /// Calls the store, or has a peer call it.
    async fn call<T>(
        &self,
        direct: impl Future<Output = Result<T>>,
        relay: impl Fn() -> Relay,
    ) -> Result<Reached<T>> {
        if !self.link().is_away() {
            let result = self.bounded(direct).await;
            if result.is_ok() || !self.link().is_away() {
                return result.map(Reached::Here);
            }
        }
        self.relay(relay(), Span(0)).await.map(Reached::There)
    }

    async fn relay(&self, relay: Relay, wait: Span) -> Result<Relayed> {
        let start = self.clock.now();
        let result = self.peers.relay(relay, wait).await;
        let now = self.clock.now();
        let mut link = lock(&self.relayed);
        match &result {
            Ok(_) => {
                if link.answered(now.since(start), now) {
                    info!(self.log, "store reached through peers");
                }
            }
            Err(error) => {
                if link.failed() {
                    warn!(self.log, "store not reached through peers"; "error" => %error);
                }
            }
        }
        result
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
        let mut link = lock(&self.link);
        let silent = now.since(link.last_answer).as_ms();
        match &result {
            Ok(_) => {
                let took = if sample { now.since(start) } else { link.mean };
                if link.answered(took, now) {
                    info!(self.log, "store regained"; "silent_ms" => silent);
                }
            }
            Err(error) => {
                if link.failed() {
                    warn!(self.log, "store lost"; "error" => %error,
                        "limit_ms" => limit.as_ms(), "silent_ms" => silent);
                }
            }
        }
        result
    }

    fn link(&self) -> Link {
        *lock(&self.link)
    }
}

/// How the store was reached.
enum Reached<T> {
    Here(T),
    There(Relayed),
}

fn lock(link: &Mutex<Link>) -> MutexGuard<'_, Link> {
    link.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A peer answered something else than what it was asked: it may have done it.
fn unexpected() -> Error {
    Error::Uncertain(http_io::Error::Timeout)
}

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

/// Takes in rows of the table of gateways.
pub(crate) fn peer_news(shared: &Shared, news: Told<'_>) {
    match news {
        Told::Gap => {}
        Told::Whole(rows, _) => rows
            .iter()
            .for_each(|row| peers::list(&shared.peers, row, &shared.log)),
        Told::Change(change, _) if change.dropped => {
            shared.peers.roster().unlist(&change.row.key);
        }
        Told::Change(change, _) => peers::list(&shared.peers, &change.row, &shared.log),
    }
}
