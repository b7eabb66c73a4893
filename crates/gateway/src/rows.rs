//! Calls to the store, made directly or through a peer.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use compact_str::CompactString;
use event_listener::Event;
use memory::{Charge, Full, Limiter};
use slog::{Logger, info, warn};
use smol::future::FutureExt;
use store::api::Transaction;
use store::{Error, Feed, Outcome, Page, Partition, Progress, Result, Table, key_after};
use telemetry::Metrics;
use turns::VersionAges;
use units::{Bytes, Clock, Incarnation, Span, Time};
use wire::{Relay, Relayed};

use crate::availability::{Availability, AvailabilityChange};
use crate::control::FEED_WAIT;
use crate::peers::Peers;

/// Most rows that one read requests.
pub(crate) const PAGE_ROWS_MAX: usize = 500;
/// Time after which a request that waits for the store tries again without a notification: nothing
/// reports that a partition is available again until some request calls it.
const RECHECK_INTERVAL: Span = Span::from_ms(250);
/// How long a feed through a peer waits for changes: short, as a peer that hangs is detected only
/// after this time.
const RELAYED_FEED_WAIT: Span = Span::from_ms(500);
/// Time between tests of the direct path while a peer makes a call.
const DIRECT_TEST_INTERVAL: Span = Span::from_ms(500);
/// Memory of a write for a peer, in lengths of its values: they and the request.
const WRITE_COPIES: usize = 3;
/// How long a feed waits for an unavailable store before a peer is called as well.
const PEER_DELAY: Span = Span::from_ms(300);

/// Client of the store.
///
/// While this host does not reach a partition, calls to it go through a peer that does.
pub(crate) struct Rows {
    table: Arc<dyn Table>,
    peers: Peers,
    direct: Path,
    relayed: Path,
    /// Notified when a partition becomes available again.
    available: Event,
    /// Versions of the store that responses have reported, with the time of each.
    ages: Mutex<VersionAges>,
    limiter: Arc<Limiter>,
    metrics: Metrics,
    clock: Clock,
}

/// One path to the store and its availability.
struct Path {
    name: &'static str,
    availability: Mutex<Availability>,
    log: Logger,
}

impl Path {
    fn new(name: &'static str, now: Time, log: &Logger) -> Self {
        Path {
            name,
            availability: Mutex::new(Availability::new(now)),
            log: log.clone(),
        }
    }

    fn availability(&self) -> MutexGuard<'_, Availability> {
        self.availability
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the result of a call; returns whether it made the partition available again.
    fn record_result<T>(
        &self,
        partition: &Partition,
        result: &Result<T>,
        latency: Option<Span>,
        now: Time,
    ) -> bool {
        let change = match result {
            Ok(_) => self.availability().record_response(partition, latency, now),
            // The store has answered.
            Err(Error::NoMemory) => self.availability().record_response(partition, latency, now),
            Err(_) => self.availability().record_failure(partition, now),
        };
        let (path, table, name) = (self.name, partition.table.as_str(), partition.name.as_str());
        match (change, result) {
            (Some(AvailabilityChange::Regained(outage)), _) => info!(self.log, "store regained";
                "way" => path, "table" => table, "part" => name,
                "silent_ms" => outage.as_ms()),
            (Some(AvailabilityChange::Lost), Err(error)) => warn!(self.log, "store lost";
                "way" => path, "table" => table, "part" => name, "error" => %error),
            _ => {}
        }
        matches!(change, Some(AvailabilityChange::Regained(_)))
    }
}

/// The result of a call, by the path that it came from.
enum Via<T> {
    Direct(T),
    Peer(Relayed),
}

impl Rows {
    pub(crate) fn new(
        table: Arc<dyn Table>,
        peers: Peers,
        limiter: Arc<Limiter>,
        clock: Clock,
        metrics: Metrics,
        log: &Logger,
    ) -> Self {
        let now = clock.now();
        Rows {
            table,
            peers,
            direct: Path::new("own", now, log),
            relayed: Path::new("peers", now, log),
            available: Event::new(),
            ages: Mutex::default(),
            limiter,
            metrics,
            clock,
        }
    }

    /// Calls the store directly, and counts the call by table and outcome.
    async fn write_table(&self, partition: &Partition, tx: &Transaction) -> Result<Outcome> {
        self.count(&partition.table, "writes");
        let result = self.table.write(partition, tx).await;
        match &result {
            Ok(Outcome::Committed(_)) => {}
            Ok(Outcome::Conflict(_)) => self.count(&partition.table, "conflicts"),
            Err(_) => self.count(&partition.table, "failures"),
        }
        result
    }

    /// Like [`Rows::write_table`], for a read.
    async fn read_table(
        &self,
        partition: &Partition,
        (from, to): (&str, &str),
        limit: usize,
        progress: &Progress,
    ) -> Result<Page> {
        self.count(&partition.table, "reads");
        let read = self.table.read(partition, from, to, limit, progress);
        read.await
    }

    /// Like [`Rows::write_table`], for a call that waits for changes.
    async fn feed_table(
        &self,
        table: &str,
        version: u64,
        wait: Span,
        progress: &Progress,
    ) -> Result<Feed> {
        self.count(table, "feeds");
        self.table.feed(table, version, wait, progress).await
    }

    fn count(&self, table: &str, call: &str) {
        self.metrics.count(&format!("store-{table}-{call}"));
    }

    /// Whether a gateway with this incarnation is listed.
    pub(crate) fn is_listed(&self, incarnation: Incarnation) -> bool {
        self.peers.roster().contains(incarnation)
    }

    /// Whether a partition is unavailable on both paths.
    pub(crate) fn is_unavailable(&self, partition: &Partition) -> bool {
        self.direct.availability().is_unavailable(partition)
            && self.relayed.availability().is_unavailable(partition)
    }

    /// Whether a partition is unavailable without the help of peers.
    pub(crate) fn is_direct_unavailable(&self, partition: &Partition) -> bool {
        self.direct.availability().is_unavailable(partition)
    }

    /// Whether a request that needs a partition is to be refused now, without a call.
    pub(crate) fn should_refuse(&self, partition: &Partition) -> bool {
        let now = self.clock.now();
        self.direct.availability().should_refuse(partition, now)
            && self.relayed.availability().should_refuse(partition, now)
    }

    /// Waits until some partition becomes available again or [`RECHECK_INTERVAL`] has passed, at
    /// most until `deadline`.
    pub(crate) async fn wait_available(&self, deadline: Time) {
        let available = self.available.listen();
        let wait = RECHECK_INTERVAL.min(deadline.since(self.clock.now()));
        let recheck = async {
            smol::Timer::after(wait.into()).await;
        };
        available.or(recheck).await;
    }

    /// Whether all partitions are unavailable on both paths.
    pub(crate) fn is_all_unavailable(&self) -> bool {
        self.direct.availability().is_all_unavailable()
            && self.relayed.availability().is_all_unavailable()
    }

    /// Returns the versions of the store and their times, from which the age of a row is derived.
    pub(crate) fn ages(&self) -> MutexGuard<'_, VersionAges> {
        self.ages.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_version(&self, version: u64) {
        self.ages().record(version, self.clock.now());
    }

    pub(crate) async fn write(&self, partition: &Partition, tx: &Transaction) -> Result<Outcome> {
        let progress = self.progress();
        let direct = (self.write_table(partition, tx), &progress);
        let relay = || Relay::Write {
            partition: partition.clone(),
            transaction: tx.clone(),
        };
        match self.call(partition, direct, relay).await? {
            Via::Direct(written) | Via::Peer(Relayed::Written(written)) => Ok(written),
            Via::Peer(_) => Err(unexpected_response()),
        }
    }

    /// Reads all rows from `from` to `to`, page by page, also if there is no memory for them: for single
    /// rows, and for tables that this host needs to go on.
    pub(crate) async fn read(&self, partition: &Partition, from: &str, to: &str) -> Result<Page> {
        let mut pages = Page::default();
        let mut from = CompactString::from(from);
        loop {
            let progress = self.progress().with_priority();
            let range = (from.as_str(), to);
            let page = self.read_range(partition, range, PAGE_ROWS_MAX, &progress);
            let page = page.await?;
            pages.version = page.version;
            pages.has_more = page.has_more;
            pages.rows.extend(page.rows);
            match pages.rows.last() {
                Some(last) if pages.has_more => from = key_after(&last.key),
                _ => return Ok(pages),
            }
        }
    }

    /// Reads the first rows from `from` to `to`, at most `limit` of them.
    ///
    /// # Errors
    /// [`Error::NoMemory`] if there is no memory for them.
    pub(crate) async fn read_page(
        &self,
        partition: &Partition,
        from: &str,
        to: &str,
        limit: usize,
    ) -> Result<Page> {
        let progress = self.progress();
        self.read_range(partition, (from, to), limit, &progress)
            .await
    }

    async fn read_range(
        &self,
        partition: &Partition,
        (from, to): (&str, &str),
        limit: usize,
        progress: &Progress,
    ) -> Result<Page> {
        let limit = limit.min(PAGE_ROWS_MAX);
        let read = self.read_table(partition, (from, to), limit, progress);
        let direct = (read, progress);
        let relay = || Relay::Read {
            partition: partition.clone(),
            from: from.into(),
            to: to.into(),
            limit: limit as u32,
        };
        match self.call(partition, direct, relay).await? {
            Via::Direct(page) | Via::Peer(Relayed::Page(page)) => {
                self.record_version(page.version);
                Ok(page)
            }
            Via::Peer(_) => Err(unexpected_response()),
        }
    }

    /// Waits for changes of a table. While the table is unavailable, this also tests whether the
    /// store answers again.
    pub(crate) async fn feed(&self, table: &str, version: u64, wait: Span) -> Result<Feed> {
        let partition = Partition::new(table, "");
        if !self.direct.availability().is_unavailable(&partition) {
            let progress = self.progress().with_priority();
            let feed = self.feed_direct(&partition, version, wait, &progress);
            let result = feed.await;
            if result.is_ok() || !self.direct.availability().is_unavailable(&partition) {
                return result;
            }
        }
        // Neither a peer that hangs nor a slow store delays the other path.
        let has_peer_failed = AtomicBool::new(false);
        let relayed = async {
            smol::Timer::after(PEER_DELAY.into()).await;
            let wait = wait.min(RELAYED_FEED_WAIT);
            match self.feed_through_peer(&partition, version, wait).await {
                Ok(feed) => Ok(feed),
                Err(_) => {
                    has_peer_failed.store(true, Ordering::Release);
                    smol::future::pending().await
                }
            }
        };
        let direct = async {
            loop {
                let progress = self.progress().with_priority();
                let feed = self.feed_direct(&partition, version, wait, &progress);
                let result = feed.await;
                if result.is_ok() || has_peer_failed.load(Ordering::Acquire) {
                    return result;
                }
                smol::Timer::after(DIRECT_TEST_INTERVAL.into()).await;
            }
        };
        relayed.or(direct).await
    }

    /// Like [`Rows::feed`], without the help of peers.
    pub(crate) async fn feed_direct(
        &self,
        partition: &Partition,
        version: u64,
        wait: Span,
        progress: &Progress,
    ) -> Result<Feed> {
        let (is_unavailable, response_timeout) = {
            let availability = self.direct.availability();
            (
                availability.is_unavailable(partition),
                availability.response_timeout(partition),
            )
        };
        // A call that does not wait for changes is enough for the test.
        let feed_wait = if is_unavailable { Span(0) } else { wait };
        let timeout = Span(feed_wait.0 + response_timeout.0);
        let feed = self.feed_table(&partition.table, version, feed_wait, progress);
        let result = self
            .with_timeout(partition, (feed, progress), timeout, is_unavailable)
            .await;
        if let Ok(Feed::Changes(_, version)) = &result {
            self.record_version(*version);
        }
        result
    }

    /// Reads all rows of a partition, page by page, without the help of peers.
    pub(crate) async fn read_direct(
        &self,
        partition: &Partition,
        progress: &Progress,
    ) -> Result<Page> {
        let mut pages = Page::default();
        loop {
            let from = pages.rows.last().map(|row| key_after(&row.key));
            let from = from.unwrap_or_default();
            let read = self.read_table(partition, (&from, ""), PAGE_ROWS_MAX, progress);
            let page = self.call_direct(partition, (read, progress)).await?;
            self.record_version(page.version);
            if pages.rows.is_empty() {
                // Changes after the first page may be missing in the later ones.
                pages.version = page.version;
            }
            let is_last = page.rows.is_empty() || !page.has_more;
            pages.rows.extend(page.rows);
            if is_last {
                return Ok(pages);
            }
        }
    }

    async fn feed_through_peer(
        &self,
        partition: &Partition,
        version: u64,
        wait: Span,
    ) -> Result<Feed> {
        let relay = Relay::Feed {
            table: partition.table.clone(),
            version,
            wait,
        };
        match self.call_peer(partition, relay, wait).await? {
            Relayed::Feed(feed) => Ok(feed),
            _ => Err(unexpected_response()),
        }
    }

    /// Makes a call for a peer; never forwards it to another peer.
    pub(crate) async fn serve_peer(&self, relay: Relay) -> Relayed {
        self.serve_relay(relay).await.unwrap_or_else(|error| {
            if error.is_uncertain() {
                Relayed::Uncertain
            } else {
                Relayed::Unavailable
            }
        })
    }

    /// Charges the memory for a write that a peer requests, which the peer may request of others.
    fn charge_write(&self, transaction: &Transaction) -> Result<Charge> {
        let values = transaction.writes.iter();
        let values = values.filter_map(|write| write.value.as_ref());
        let bytes: usize = values.map(|value| value.0.len()).sum();
        let charge = self.limiter.charge(Bytes((bytes * WRITE_COPIES) as u64));
        charge.map_err(|Full| Error::NoMemory)
    }

    async fn serve_relay(&self, relay: Relay) -> Result<Relayed> {
        match relay {
            Relay::Write {
                partition,
                transaction,
            } => {
                let _charge = self.charge_write(&transaction)?;
                let progress = self.progress();
                let call = self.write_table(&partition, &transaction);
                self.call_direct(&partition, (call, &progress))
                    .await
                    .map(Relayed::Written)
            }
            Relay::Read {
                partition,
                from,
                to,
                limit,
            } => {
                let limit = (limit as usize).min(PAGE_ROWS_MAX);
                let progress = self.progress();
                let call = self.read_table(&partition, (&from, &to), limit, &progress);
                let page = self.call_direct(&partition, (call, &progress)).await;
                page.map(Relayed::Page)
            }
            Relay::Feed {
                table,
                version,
                wait,
            } => self.serve_feed(&table, version, wait.min(FEED_WAIT)).await,
            // Served by other parts of the gateway.
            Relay::Environment { .. }
            | Relay::Settle { .. }
            | Relay::Acquire { .. }
            | Relay::Introduce { .. } => Err(unavailable()),
        }
    }

    async fn serve_feed(&self, table: &str, version: u64, wait: Span) -> Result<Relayed> {
        let partition = Partition::new(table, "");
        if !self
            .direct
            .availability()
            .admit(&partition, self.clock.now())
        {
            return Err(unavailable());
        }
        let timeout = Span(wait.0 + self.direct.availability().response_timeout(&partition).0);
        let progress = self.progress();
        let call = self.feed_table(table, version, wait, &progress);
        let call = (call, &progress);
        let feed = self.with_timeout(&partition, call, timeout, false).await?;
        Ok(Relayed::Feed(feed))
    }

    /// Calls the store directly; if it is unavailable on that path, through a peer.
    async fn call<T>(
        &self,
        partition: &Partition,
        direct: (impl Future<Output = Result<T>>, &Progress),
        relay: impl Fn() -> Relay,
    ) -> Result<Via<T>> {
        let result = self.call_direct(partition, direct).await;
        if result.is_ok() || !self.direct.availability().is_unavailable(partition) {
            return result.map(Via::Direct);
        }
        let relayed = self.call_peer(partition, relay(), Span(0)).await;
        match (relayed, result) {
            (Ok(relayed), _) => Ok(Via::Peer(relayed)),
            // The direct call may still take effect, even if the relayed one was not made.
            (Err(_), Err(error)) if error.is_uncertain() => Err(error),
            (Err(error), _) => Err(error),
        }
    }

    async fn call_direct<T>(
        &self,
        partition: &Partition,
        call: (impl Future<Output = Result<T>>, &Progress),
    ) -> Result<T> {
        if !self
            .direct
            .availability()
            .admit(partition, self.clock.now())
        {
            return Err(unavailable());
        }
        let timeout = self.direct.availability().response_timeout(partition);
        self.with_timeout(partition, call, timeout, true).await
    }

    async fn call_peer(&self, partition: &Partition, relay: Relay, wait: Span) -> Result<Relayed> {
        let started = self.clock.now();
        if !self.relayed.availability().admit(partition, started) {
            return Err(unavailable());
        }
        let result = self.peers.relay(relay, wait).await;
        let now = self.clock.now();
        let latency = Some(now.since(started));
        if self.relayed.record_result(partition, &result, latency, now) {
            self.available.notify(usize::MAX);
        }
        result
    }

    /// Returns the progress of a call whose response needs memory.
    fn progress(&self) -> Progress {
        Progress::new(self.clock).with_charge(self.limiter.charge_anyway(Bytes(0)))
    }

    async fn with_timeout<T>(
        &self,
        partition: &Partition,
        (call, progress): (impl Future<Output = Result<T>>, &Progress),
        timeout: Span,
        sample_latency: bool,
    ) -> Result<T> {
        let started = self.clock.now();
        let result = progress.limit(timeout, call).await;
        let now = self.clock.now();
        let head_at = progress.first().unwrap_or(now);
        let latency = sample_latency.then(|| head_at.since(started));
        if let Err(error) = &result {
            let first_ms = progress.first().map(|first| first.since(started).as_ms());
            info!(self.direct.log, "call of the store failed"; "table" => %partition.table,
                "part" => %partition.name, "error" => %error,
                "took_ms" => now.since(started).as_ms(), "limit_ms" => timeout.as_ms(),
                "head_ms" => first_ms, "bytes" => progress.bytes());
        }
        if self.direct.record_result(partition, &result, latency, now) {
            self.available.notify(usize::MAX);
        }
        result
    }
}

/// Error of a call to an unavailable partition: nothing was sent.
fn unavailable() -> Error {
    let kind = std::io::ErrorKind::NotConnected;
    Error::Unavailable(http_io::Error::Connect(kind.into()))
}

/// Error of a response of the wrong kind: the peer may have made the call.
fn unexpected_response() -> Error {
    Error::Uncertain(http_io::Error::Timeout)
}
