//! What was said: turns in memory and in the store.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use compact_str::CompactString;
use futures_util::future::join_all;
use slog::{Logger, info, warn};
use store::api::Transaction;
use turns::{History, Past, Turn, TurnKey};
use units::{Clock, Span, Time};

use crate::control::{Rows, pause};
use crate::reply::Refusal;

/// Turns kept in memory, in bytes of text: a part of the smallest host that this runs on (88 MB).
const MEMORY_MAX_BYTES: usize = 16 << 20;
/// How long a turn stays in memory at most; longer than programs live, as the store has it too.
const MEMORY_KEEP: Span = Span::from_ms(120_000);
/// Rows are kept this much longer than turns have to be, for requests under way.
const RETAIN_SLACK: Span = Span::from_ms(10_000);
/// Turns whose rows are dropped at a time.
const DROPS_MAX: usize = 32;

/// The turns that this host reads and writes.
pub(crate) struct Histories {
    rows: Arc<Rows>,
    clock: Clock,
    log: Logger,
    memory: Mutex<History>,
    /// Turns that this host wrote, with the time until which they have to be kept.
    written: Mutex<Vec<(Time, CompactString)>>,
}

impl Histories {
    pub(crate) fn new(rows: Arc<Rows>, clock: Clock, log: Logger) -> Self {
        Histories {
            rows,
            clock,
            log,
            memory: Mutex::new(History::new(MEMORY_MAX_BYTES, MEMORY_KEEP)),
            written: Mutex::default(),
        }
    }

    /// What was said up to and with a turn.
    ///
    /// # Errors
    /// [`Refusal::NoTurn`] only after a fresh read of the store.
    pub(crate) async fn past(&self, id: &CompactString) -> Result<Past, Refusal> {
        // The last turn names the others, so two rounds of reads find them all.
        for _ in 0..2 {
            let missing = match self.memory().past(id) {
                Ok(past) => return Ok(past),
                Err(missing) => missing,
            };
            if self.rows.is_away() {
                return Err(Refusal::Away);
            }
            let reads = missing.iter().map(|turn| self.read(turn));
            for read in join_all(reads).await {
                read?;
            }
        }
        self.memory().past(id).map_err(|_| Refusal::Away)
    }

    /// Reads a turn into memory; once more if the store fails.
    async fn read(&self, id: &CompactString) -> Result<(), Refusal> {
        let key = TurnKey::new(id);
        let mut result = self.rows.read(&key.place, &key.first, &key.end).await;
        if result.is_err() && !self.rows.is_away() {
            result = self.rows.read(&key.place, &key.first, &key.end).await;
        }
        let page = result.map_err(|error| {
            info!(self.log, "turn not read"; "turn" => %id, "error" => %error);
            Refusal::Away
        })?;
        match Turn::read(&page.rows) {
            Ok(Some(turn)) => {
                self.memory().insert(id, turn, self.clock.now());
                Ok(())
            }
            Ok(None) => Err(Refusal::NoTurn),
            Err(error) => {
                warn!(self.log, "turn cannot be read"; "turn" => %id, "error" => %error,
                    "store_version" => page.version);
                Err(Refusal::Away)
            }
        }
    }

    /// Commits a turn: returns once it is durable, however long that takes.
    ///
    /// # Errors
    /// If the turn cannot be encoded.
    pub(crate) async fn commit(
        &self,
        id: &CompactString,
        turn: Turn,
        retain: Span,
    ) -> Result<(), Refusal> {
        let key = TurnKey::new(id);
        let transaction = turn.write(&key).map_err(|error| {
            warn!(self.log, "turn cannot be encoded"; "turn" => %id, "error" => %error);
            Refusal::Broken
        })?;
        while let Err(error) = self.rows.write(&key.place, &transaction).await {
            info!(self.log, "turn not written yet"; "turn" => %id, "error" => %error);
            if !error.is_uncertain() || self.rows.is_away() {
                pause().await;
            }
        }
        let now = self.clock.now();
        self.memory().insert(id, turn, now);
        let until = now.after(Span(retain.0 + RETAIN_SLACK.0));
        self.written().push((until, id.clone()));
        Ok(())
    }

    /// Drops the rows of some turns whose time is over. Those of a host that is gone stay.
    pub(crate) async fn drop_expired(&self) {
        let now = self.clock.now();
        let expired: Vec<CompactString> = {
            let mut written = self.written();
            let split = written.partition_point(|(until, _)| *until <= now);
            let expired = written.drain(..split.min(DROPS_MAX));
            expired.map(|(_, id)| id).collect()
        };
        for id in expired {
            let key = TurnKey::new(&id);
            let rows = self.memory().get(&id).map(|turn| turn.write(&key));
            let count = match rows {
                Some(Ok(transaction)) => transaction.writes.len(),
                _ => 1,
            };
            let mut transaction = Transaction::default();
            for index in 0..count {
                transaction = transaction.with_delete(&key.row(index));
            }
            if let Err(error) = self.rows.write(&key.place, &transaction).await {
                info!(self.log, "rows of a turn stay"; "turn" => %id, "error" => %error);
            }
        }
    }

    /// Bytes of text in memory.
    pub(crate) fn size(&self) -> usize {
        self.memory().size()
    }

    fn memory(&self) -> MutexGuard<'_, History> {
        self.memory.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn written(&self) -> MutexGuard<'_, Vec<(Time, CompactString)>> {
        self.written.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
