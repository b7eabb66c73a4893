//! Keeps the environment current: reads it from the store, or follows a host that does.
//!
//! A document may be large, and the hosts of a region share the way to the store. [`Sources`] decides
//! who reads there.

use std::sync::Arc;

use slog::{info, warn};
use smol::future::FutureExt;
use store::api::Row;
use store::{Feed, Partition, Progress, Result};
use units::Span;

use crate::control::{FEED_PAUSE, retry_pause};
use crate::peers::Update;
use crate::replica::REPORT_INTERVAL;
use crate::roster::Peer;
use crate::sources::{Source, Sources};
use crate::state::Shared;

/// Least time between two calls of the store by a host that follows another as it did not reach the
/// store, if the calls of other tables reach it.
const STORE_INTERVAL_MIN: Span = Span::from_ms(1_000);
/// The same while no call reaches the store.
const STORE_INTERVAL_MAX: Span = Span::from_ms(10_000);

/// How much later than it is due the age of the copy is checked.
const AGE_CHECK_SLACK: Span = Span::from_ms(5);
/// Time in which a response arrives after which more than one version may have been written.
const SLOW_ARRIVAL: Span = Span::from_ms(1_000);

/// Keeps the environment current for as long as the process runs.
pub(crate) async fn run(shared: Arc<Shared>, own: Peer) {
    let mut follower = Follower {
        partition: Partition::new(shared.adapter.directory.environment_table(), ""),
        shared,
        own,
        sources: Sources::default(),
        latest: None,
        reads_row: false,
    };
    loop {
        let source = follower.choose();
        follower.log_change(&source);
        match source {
            Source::Store => follower.call_store().await,
            Source::Peer(peer) => follower.follow(peer).await,
        }
    }
}

struct Follower {
    shared: Arc<Shared>,
    own: Peer,
    partition: Partition,
    sources: Sources,
    /// The source used last.
    latest: Option<Source>,
    /// Whether the next call of the store reads the whole row, rather than all changes since the last
    /// one: these are lost, or several large versions may wait.
    reads_row: bool,
}

impl Follower {
    fn choose(&self) -> Source {
        let (peers, zones) = (self.peers(), &self.shared.settings().zones);
        let (age, now) = (self.shared.replica.age(), self.shared.clock.now());
        self.sources.choose(&self.own, &peers, zones, age, now)
    }

    fn peers(&self) -> Vec<Peer> {
        self.shared.peers.roster().peers().cloned().collect()
    }

    fn log_change(&mut self, source: &Source) {
        if self.latest.as_ref() == Some(source) {
            return;
        }
        let name = match source {
            Source::Store => "store",
            Source::Peer(peer) => peer.host.as_str(),
        };
        info!(self.shared.log, "environment source"; "source" => name,
            "age_ms" => age_ms(self.shared.replica.age()),
            "row_version" => self.shared.replica.versions().0,
            "hosts" => self.shared.peers.roster().count());
        self.latest = Some(source.clone());
    }

    /// Reads changes, or the whole row, from the store once.
    async fn call_store(&mut self) {
        let shared = self.shared.clone();
        let progress = shared.replica.begin_arrival();
        let started = shared.clock.now();
        let before = shared.replica.versions().0;
        let result = self.read_store(&progress).await;
        let now = shared.clock.now();
        self.sources.record_store(result.is_ok(), now);
        match result {
            Ok(()) if shared.replica.versions().0 > before => {
                self.reads_row = progress.arrival_time() >= SLOW_ARRIVAL;
                smol::Timer::after(FEED_PAUSE).await;
            }
            Ok(()) => {}
            Err(error) => {
                shared.metrics.count("feeds-failed");
                info!(shared.log, "feed failed"; "table" => %self.partition.table,
                    "error" => %error, "took_ms" => now.since(started).as_ms(),
                    "age_ms" => age_ms(shared.replica.age()));
                retry_pause().await;
            }
        }
    }

    async fn read_store(&mut self, progress: &Progress) -> Result<()> {
        let shared = self.shared.clone();
        let position = shared.replica.versions().1;
        if position == 0 || self.reads_row {
            let page = shared.rows.read_direct(&self.partition, progress).await?;
            self.reads_row = false;
            for row in &page.rows {
                apply(&shared, row, "store");
            }
            self.record_current(page.version);
            return Ok(());
        }
        let feed = shared
            .rows
            .feed_direct(&self.partition, position, REPORT_INTERVAL, progress)
            .await?;
        let Feed::Changes(changes, version) = feed else {
            info!(shared.log, "feed history lost, reading the table again";
                "table" => %self.partition.table);
            self.reads_row = true;
            return Ok(());
        };
        let rows = changes
            .iter()
            .filter(|change| change.partition.is_empty() && !change.is_deleted);
        // Only the latest version matters, unless it cannot be read.
        rows.rev()
            .any(|change| apply(&shared, &change.row, "store"));
        self.record_current(version);
        Ok(())
    }

    fn record_current(&self, position: u64) {
        let now = self.shared.clock.now();
        let reader = Some(self.own.host.clone());
        self.shared.replica.record_current(position, now, reader);
    }

    /// Follows a peer until it fails or its copy is out of date.
    async fn follow(&mut self, peer: Peer) {
        let shared = self.shared.clone();
        let version = shared.replica.versions().0;
        let progress = shared.replica.begin_arrival();
        let updates = shared.peers.follow(peer.clone(), version, progress);
        let began = shared.clock.now();
        let why = loop {
            let update = async { Some(updates.recv().await) };
            match update.or(self.wait_out_of_date()).await {
                None => {}
                Some(Ok(Ok(update))) if update.reader.as_ref() == Some(&self.own.host) => {
                    break "follows this host".to_owned();
                }
                Some(Ok(Ok(update))) => self.apply_update(&peer, update),
                Some(Ok(Err(error))) => break error.to_string(),
                Some(Err(_)) => break "not followed".to_owned(),
            }
            let listed = self.peers();
            if !listed.contains(&peer) {
                break "no longer listed".to_owned();
            }
            if shared.replica.age() > self.age_max() {
                break "out of date".to_owned();
            }
            self.sources.record_success(&peer);
            let zones = &shared.settings().zones;
            if !Sources::is_regular(&self.own, &peer, &listed, zones)
                && self.is_store_due(shared.clock.now().since(began))
            {
                return;
            }
        };
        info!(shared.log, "environment source lost"; "source" => %peer.host, "why" => why,
            "age_ms" => age_ms(shared.replica.age()));
        self.sources.record_failure(&peer, shared.clock.now());
    }

    /// Returns the age at which the copy is out of date.
    fn age_max(&self) -> Span {
        let zones = &self.shared.settings().zones;
        Sources::age_max(&self.own, &self.peers(), zones)
    }

    /// Waits until the copy is out of date unless it becomes newer: an update may come later than
    /// that, and hosts must not look for other sources all at once.
    async fn wait_out_of_date<T>(&self) -> Option<T> {
        let remaining = self.age_max().0.saturating_sub(self.shared.replica.age().0);
        smol::Timer::after(Span(remaining + AGE_CHECK_SLACK.0).into()).await;
        None
    }

    /// Whether the store is to be called again, after another host was followed for `followed`
    /// because the store was not reached.
    fn is_store_due(&self, followed: Span) -> bool {
        let is_reached = !self.shared.rows.is_direct_unavailable(&self.partition);
        followed >= STORE_INTERVAL_MAX || (is_reached && followed >= STORE_INTERVAL_MIN)
    }

    fn apply_update(&self, peer: &Peer, update: Update) {
        if let Some(row) = &update.row {
            apply(&self.shared, row, peer.host.as_str());
        }
        let replica = &self.shared.replica;
        replica.record_current(update.position, update.current_at, update.reader);
    }
}

/// Puts the environment of a row in force, and keeps the row for hosts that follow this one. Returns
/// whether the row has an environment.
fn apply(shared: &Shared, row: &Row, source: &str) -> bool {
    let environment = match shared.adapter.directory.environment(row) {
        Ok(None) => return false,
        Ok(Some(environment)) => Some(environment),
        Err(error) => {
            warn!(shared.log, "environment cannot be read"; "row" => %row.key,
                "row_version" => row.version, "source" => source, "why" => error);
            None
        }
    };
    shared.replica.store(row);
    let is_readable = environment.is_some();
    if let Some(environment) = environment {
        shared.install_environment(environment, row, source);
    }
    is_readable
}

/// Returns an age for the log, which has none of a copy that was never current.
fn age_ms(age: Span) -> Option<u64> {
    (age < Span(u64::MAX)).then(|| age.as_ms())
}
