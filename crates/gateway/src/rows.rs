//! The calls of the store, over whichever way reaches it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use event_listener::Event;
use slog::{Logger, info, warn};
use smol::future::FutureExt;
use store::api::Transaction;
use store::{Error, Feed, Outcome, Page, Partition, Result, Table, key_after};
use turns::VersionAges;
use units::{Clock, Span, Time};
use wire::{Relay, Relayed};

use crate::availability::{Availability, AvailabilityChange};
use crate::control::FEED_WAIT;
use crate::peers::Peers;

/// Most rows asked for at once.
const PAGE_ROWS: usize = 500;
/// Time after which a caller that waits for the store looks again by itself: a part may be back
/// without news, and some caller has to find out.
const LOOK_INTERVAL: Span = Span::from_ms(250);
/// How long a store that is away is given to show that it is back.
const PROBE_MAX: Span = Span::from_ms(300);

/// The store.
///
/// While this host does not reach a part of it, calls go through a peer that does.
pub(crate) struct Rows {
    table: Arc<dyn Table>,
    peers: Peers,
    own: Way,
    relayed: Way,
    /// Tells those who wait that a part is back.
    back: Event,
    /// The versions of the store that were heard of.
    ages: Mutex<VersionAges>,
    clock: Clock,
}

/// One way to the store.
struct Way {
    name: &'static str,
    reach: Mutex<Availability>,
    log: Logger,
}

impl Way {
    fn new(name: &'static str, now: Time, log: &Logger) -> Self {
        Way {
            name,
            reach: Mutex::new(Availability::new(now)),
            log: log.clone(),
        }
    }

    fn reach(&self) -> MutexGuard<'_, Availability> {
        self.reach.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in what came of a call; whether the part is back by it.
    fn note<T>(
        &self,
        place: &Partition,
        result: &Result<T>,
        took: Option<Span>,
        now: Time,
    ) -> bool {
        let turned = match result {
            Ok(_) => self.reach().record_response(place, took, now),
            Err(_) => self.reach().record_failure(place, now),
        };
        let (way, table, part) = (self.name, place.table.as_str(), place.name.as_str());
        match (turned, result) {
            (Some(AvailabilityChange::Regained(silent)), _) => {
                info!(self.log, "store regained"; "way" => way,
                "table" => table, "part" => part, "silent_ms" => silent.as_ms())
            }
            (Some(AvailabilityChange::Lost), Err(error)) => {
                warn!(self.log, "store lost"; "way" => way,
                "table" => table, "part" => part, "error" => %error)
            }
            _ => {}
        }
        matches!(turned, Some(AvailabilityChange::Regained(_)))
    }
}

/// How the store was reached.
enum Reached<T> {
    Here(T),
    There(Relayed),
}

impl Rows {
    pub(crate) fn new(table: Arc<dyn Table>, peers: Peers, clock: Clock, log: &Logger) -> Self {
        let now = clock.now();
        Rows {
            table,
            peers,
            own: Way::new("own", now, log),
            relayed: Way::new("peers", now, log),
            back: Event::new(),
            ages: Mutex::default(),
            clock,
        }
    }

    /// Whether calls to a part would only fail now, over every way.
    pub(crate) fn is_unavailable(&self, place: &Partition) -> bool {
        self.own.reach().is_unavailable(place) && self.relayed.reach().is_unavailable(place)
    }

    /// Whether a caller that needs a part is to be refused now.
    pub(crate) fn should_refuse(&self, place: &Partition) -> bool {
        let now = self.clock.now();
        self.own.reach().should_refuse(place, now) && self.relayed.reach().should_refuse(place, now)
    }

    /// Waits until a part is back or it is time to look again, at most until `end`.
    pub(crate) async fn returned(&self, end: Time) {
        let back = self.back.listen();
        let wait = LOOK_INTERVAL.min(end.since(self.clock.now()));
        let look = async {
            smol::Timer::after(wait.into()).await;
        };
        back.or(look).await;
    }

    /// Whether calls to any part would only fail now, over every way.
    pub(crate) fn is_all_unavailable(&self) -> bool {
        self.own.reach().is_all_unavailable() && self.relayed.reach().is_all_unavailable()
    }

    /// How old rows are by their versions.
    pub(crate) fn ages(&self) -> MutexGuard<'_, VersionAges> {
        self.ages.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn heard(&self, version: u64) {
        self.ages().record(version, self.clock.now());
    }

    pub(crate) async fn write(&self, place: &Partition, tx: &Transaction) -> Result<Outcome> {
        let direct = self.table.write(place, tx);
        let relay = || Relay::Write {
            place: place.clone(),
            transaction: tx.clone(),
        };
        match self.call(place, direct, relay).await? {
            Reached::Here(written) | Reached::There(Relayed::Written(written)) => Ok(written),
            Reached::There(_) => Err(unexpected()),
        }
    }

    /// Reads all rows from `from` to `to`, page by page.
    pub(crate) async fn read(&self, place: &Partition, from: &str, to: &str) -> Result<Page> {
        let mut all = self.read_page(place, from, to).await?;
        while all.has_more {
            let Some(last) = all.rows.last() else {
                break;
            };
            let page = self.read_page(place, &key_after(&last.key), to).await?;
            all.has_more = page.has_more;
            all.rows.extend(page.rows);
        }
        Ok(all)
    }

    /// Reads the first rows from `from` to `to`.
    pub(crate) async fn read_page(&self, place: &Partition, from: &str, to: &str) -> Result<Page> {
        let direct = self.table.read(place, from, to, PAGE_ROWS);
        let relay = || Relay::Read {
            place: place.clone(),
            from: from.into(),
            to: to.into(),
            limit: PAGE_ROWS as u32,
        };
        match self.call(place, direct, relay).await? {
            Reached::Here(page) | Reached::There(Relayed::Page(page)) => {
                self.heard(page.version);
                Ok(page)
            }
            Reached::There(_) => Err(unexpected()),
        }
    }

    /// Waits for changes of a table; also tries whether the store is back.
    pub(crate) async fn feed(&self, table: &str, version: u64, wait: Span) -> Result<Feed> {
        let place = Partition::new(table, "");
        let (away, answer) = {
            let reach = self.own.reach();
            (reach.is_unavailable(&place), reach.response_timeout(&place))
        };
        // A short call tells as well whether the store is back.
        let (own_wait, limit) = if away {
            (Span(0), PROBE_MAX)
        } else {
            (wait, Span(wait.0 + answer.0))
        };
        let feed = self.table.feed(table, version, own_wait);
        let result = self.timed(&place, feed, limit, away).await;
        if let Ok(Feed::Changes(_, version)) = &result {
            self.heard(*version);
        }
        if result.is_ok() || !self.own.reach().is_unavailable(&place) {
            return result;
        }
        let relay = Relay::Feed {
            table: table.into(),
            version,
            wait,
        };
        match self.relay(&place, relay, wait).await? {
            Relayed::Feed(feed) => Ok(feed),
            _ => Err(unexpected()),
        }
    }

    /// Makes a call for a peer; never passes it on.
    pub(crate) async fn serve(&self, relay: Relay) -> Relayed {
        let result = match relay {
            Relay::Write { place, transaction } => {
                let call = self.table.write(&place, &transaction);
                self.direct(&place, call).await.map(Relayed::Written)
            }
            Relay::Read {
                place,
                from,
                to,
                limit,
            } => {
                let limit = (limit as usize).min(PAGE_ROWS);
                let call = self.table.read(&place, &from, &to, limit);
                self.direct(&place, call).await.map(Relayed::Page)
            }
            Relay::Feed {
                table,
                version,
                wait,
            } => self.serve_feed(&table, version, wait.min(FEED_WAIT)).await,
        };
        result.unwrap_or_else(|error| {
            if error.is_uncertain() {
                Relayed::Uncertain
            } else {
                Relayed::Unavailable
            }
        })
    }

    async fn serve_feed(&self, table: &str, version: u64, wait: Span) -> Result<Relayed> {
        let place = Partition::new(table, "");
        if !self.own.reach().admit(&place, self.clock.now()) {
            return Err(away());
        }
        let limit = Span(wait.0 + self.own.reach().response_timeout(&place).0);
        let call = self.table.feed(table, version, wait);
        let feed = self.timed(&place, call, limit, false).await?;
        Ok(Relayed::Feed(feed))
    }

    /// Calls the store, or has a peer call it.
    async fn call<T>(
        &self,
        place: &Partition,
        direct: impl Future<Output = Result<T>>,
        relay: impl Fn() -> Relay,
    ) -> Result<Reached<T>> {
        let result = self.direct(place, direct).await;
        if result.is_ok() || !self.own.reach().is_unavailable(place) {
            return result.map(Reached::Here);
        }
        let relayed = self.relay(place, relay(), Span(0)).await;
        match (relayed, result) {
            (Ok(relayed), _) => Ok(Reached::There(relayed)),
            // What was sent on either way may still be done.
            (Err(_), Err(error)) if error.is_uncertain() => Err(error),
            (Err(error), _) => Err(error),
        }
    }

    async fn direct<T>(
        &self,
        place: &Partition,
        call: impl Future<Output = Result<T>>,
    ) -> Result<T> {
        if !self.own.reach().admit(place, self.clock.now()) {
            return Err(away());
        }
        let wait = self.own.reach().response_timeout(place);
        self.timed(place, call, wait, true).await
    }

    async fn relay(&self, place: &Partition, relay: Relay, wait: Span) -> Result<Relayed> {
        let start = self.clock.now();
        if !self.relayed.reach().admit(place, start) {
            return Err(away());
        }
        let result = self.peers.relay(relay, wait).await;
        let now = self.clock.now();
        let took = Some(now.since(start));
        if self.relayed.note(place, &result, took, now) {
            self.back.notify(usize::MAX);
        }
        result
    }

    async fn timed<T>(
        &self,
        place: &Partition,
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
        let took = sample.then(|| now.since(start));
        if self.own.note(place, &result, took, now) {
            self.back.notify(usize::MAX);
        }
        result
    }
}

/// The store is known to be away: nothing was sent.
fn away() -> Error {
    let kind = std::io::ErrorKind::NotConnected;
    Error::Unavailable(http_io::Error::Connect(kind.into()))
}

/// A peer answered something else than what it was asked: it may have done it.
fn unexpected() -> Error {
    Error::Uncertain(http_io::Error::Timeout)
}
