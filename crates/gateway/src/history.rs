//! What was said: turns in memory and in the store.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use compact_str::CompactString;
use futures_util::future::join_all;
use slog::{Logger, info, warn};
use store::api::Transaction;
use turns::{History, Past, Turn, TurnKey};
use units::{Clock, Span, Time};

use crate::control::pause;
use crate::reply::Refusal;
use crate::rows::Rows;

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
            let reads = missing.iter().map(|turn| self.read(turn));
            for read in join_all(reads).await {
                read?;
            }
        }
        self.memory().past(id).map_err(|_| Refusal::Away)
    }

    /// Reads a turn into memory from the first of its places that has it.
    async fn read(&self, id: &CompactString) -> Result<(), Refusal> {
        let mut missing = Refusal::NoTurn;
        for key in TurnKey::all(id) {
            match self.read_at(id, &key).await {
                Ok(Some(turn)) => {
                    self.memory().insert(id, turn, self.clock.now());
                    return Ok(());
                }
                Ok(None) => {}
                // What cannot be read may be there.
                Err(refusal) => missing = refusal,
            }
        }
        Err(missing)
    }

    /// Reads a turn from one place; once more if an answer is lost.
    async fn read_at(&self, id: &CompactString, key: &TurnKey) -> Result<Option<Turn>, Refusal> {
        let mut result = self.rows.read(&key.place, &key.first, &key.end).await;
        if result.is_err() && !self.rows.is_away(&key.place) {
            result = self.rows.read(&key.place, &key.first, &key.end).await;
        }
        let page = result.map_err(|error| {
            info!(self.log, "turn not read"; "turn" => %id, "part" => %key.place.part,
                "error" => %error);
            Refusal::Away
        })?;
        Turn::read(&page.rows).map_err(|error| {
            warn!(self.log, "turn cannot be read"; "turn" => %id, "error" => %error,
                "store_version" => page.version);
            Refusal::Away
        })
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
        let keys = TurnKey::all(id);
        // One place is enough; the second serves while the first is away.
        for key in keys.iter().cycle() {
            let transaction = turn.write(key).map_err(|error| {
                warn!(self.log, "turn cannot be encoded"; "turn" => %id, "error" => %error);
                Refusal::Broken
            })?;
            let Err(error) = self.rows.write(&key.place, &transaction).await else {
                break;
            };
            info!(self.log, "turn not written yet"; "turn" => %id, "part" => %key.place.part,
                "error" => %error);
            if keys.iter().all(|key| self.rows.is_away(&key.place)) {
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
            for key in TurnKey::all(&id) {
                if let Err(error) = self.drop_at(&key).await {
                    info!(self.log, "rows of a turn stay"; "turn" => %id, "error" => %error);
                }
            }
        }
    }

    async fn drop_at(&self, key: &TurnKey) -> store::Result<()> {
        let page = self.rows.read(&key.place, &key.first, &key.end).await?;
        if page.rows.is_empty() {
            return Ok(());
        }
        let rows = page.rows.iter();
        let drop = rows.fold(Transaction::default(), |drop, row| {
            drop.with_delete(&row.key)
        });
        self.rows.write(&key.place, &drop).await.map(|_| ())
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
