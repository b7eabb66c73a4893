//! What was said: turns in memory and in the store.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use compact_str::CompactString;
use futures_util::future::join_all;
use slog::{Logger, info, warn};
use store::Outcome;
use store::api::Transaction;
use turns::{CHAIN_SLACK, History, Transcript, Turn, TurnKey, WriteTimes};
use units::{Clock, Span, Time};

use crate::control::pause;
use crate::reply::Refusal;
use crate::rows::Rows;

/// Turns kept in memory, in bytes of text: a part of the smallest host that this runs on (88 MB).
const MEMORY_MAX_BYTES: usize = 16 << 20;
/// How long a turn stays in memory at most; longer than programs live, as the store has it too.
const MEMORY_KEEP: Span = Span::from_ms(120_000);
/// Turns whose rows are dropped at a time.
const DROPS_MAX: usize = 32;

/// The turns that this host reads and writes.
pub(crate) struct Histories {
    rows: Arc<Rows>,
    clock: Clock,
    log: Logger,
    memory: Mutex<History>,
    /// Turns that this host wrote, in the order of their writing.
    written: Mutex<VecDeque<Own>>,
    lives: Mutex<WriteTimes>,
}

/// A turn that this host wrote.
struct Own {
    id: CompactString,
    key: TurnKey,
    /// The version of its rows; another host may write them again.
    version: u64,
    /// Until when they have to stay.
    until: Time,
}

impl Histories {
    pub(crate) fn new(rows: Arc<Rows>, clock: Clock, log: Logger) -> Self {
        Histories {
            rows,
            clock,
            log,
            memory: Mutex::new(History::new(MEMORY_MAX_BYTES, MEMORY_KEEP)),
            written: Mutex::default(),
            lives: Mutex::default(),
        }
    }

    /// What was said up to and with a turn.
    ///
    /// # Errors
    /// [`Refusal::UnknownTurn`] only after a fresh read of the store.
    pub(crate) async fn past(&self, id: &CompactString) -> Result<Transcript, Refusal> {
        // The last turn names the others, so two rounds of reads find them all.
        for _ in 0..2 {
            let missing = match self.memory().transcript(id) {
                Ok(past) => return Ok(past),
                Err(missing) => missing,
            };
            let reads = missing.iter().map(|turn| self.read(turn));
            for read in join_all(reads).await {
                read?;
            }
        }
        self.memory()
            .transcript(id)
            .map_err(|_| Refusal::StoreUnavailable)
    }

    /// Reads a turn into memory from the first of its places that has it.
    async fn read(&self, id: &CompactString) -> Result<(), Refusal> {
        let mut missing = Refusal::UnknownTurn;
        for key in TurnKey::candidates(id) {
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
        let mut result = self.rows.read(&key.partition, &key.first, &key.end).await;
        if result.is_err() && !self.rows.is_unavailable(&key.partition) {
            result = self.rows.read(&key.partition, &key.first, &key.end).await;
        }
        let page = result.map_err(|error| {
            info!(self.log, "turn not read"; "turn" => %id, "part" => %key.partition.name,
                "error" => %error);
            Refusal::StoreUnavailable
        })?;
        let version = page.rows.iter().map(|row| row.version).min();
        let since = version.and_then(|version| self.rows.ages().earliest_write_time(version));
        if let Some(since) = since {
            self.lives().record(id, since);
        }
        Turn::from_rows(&page.rows).map_err(|error| {
            warn!(self.log, "turn cannot be read"; "turn" => %id, "error" => %error,
                "store_version" => page.version);
            Refusal::StoreUnavailable
        })
    }

    /// Commits a turn, with the turns before it whose rows would not stay as long: returns once all
    /// are durable, however long that takes.
    ///
    /// # Errors
    /// If a turn cannot be encoded.
    pub(crate) async fn commit(
        &self,
        id: &CompactString,
        turn: Turn,
        retain: Span,
    ) -> Result<(), Refusal> {
        for before in self.aging(&turn.predecessors) {
            let old = self.memory().get(&before).cloned();
            let Some(old) = old else {
                // It was read when the turn began and has left the memory since.
                warn!(self.log, "turn not prolonged"; "turn" => %before, "for" => %id);
                continue;
            };
            info!(self.log, "turn prolonged"; "turn" => %before, "for" => %id);
            self.write(&before, &old, retain).await?;
        }
        self.write(id, &turn, retain).await?;
        self.memory().insert(id, turn, self.clock.now());
        Ok(())
    }

    fn aging(&self, line: &[CompactString]) -> Vec<CompactString> {
        let now = self.clock.now();
        self.lives()
            .due_for_rewrite(line, now)
            .into_iter()
            .cloned()
            .collect()
    }

    /// Writes a turn's rows; returns once they are durable.
    async fn write(&self, id: &CompactString, turn: &Turn, retain: Span) -> Result<(), Refusal> {
        let keys = TurnKey::candidates(id);
        // One place is enough; the second serves while the first is away.
        for key in keys.iter().cycle() {
            let transaction = turn.write_transaction(key).map_err(|error| {
                warn!(self.log, "turn cannot be encoded"; "turn" => %id, "error" => %error);
                Refusal::EndpointFailed
            })?;
            match self.rows.write(&key.partition, &transaction).await {
                Ok(Outcome::Committed(version)) => {
                    self.note_written(id, key, version, retain);
                    break;
                }
                // There is no condition that could fail.
                Ok(Outcome::Conflict(_)) => {}
                Err(error) => {
                    info!(self.log, "turn not written yet"; "turn" => %id,
                        "part" => %key.partition.name, "error" => %error);
                }
            }
            if keys
                .iter()
                .all(|key| self.rows.is_unavailable(&key.partition))
            {
                pause().await;
            }
        }
        Ok(())
    }

    fn note_written(&self, id: &CompactString, key: &TurnKey, version: u64, retain: Span) {
        let now = self.clock.now();
        self.lives().record(id, now);
        let mut written = self.written.lock().unwrap_or_else(PoisonError::into_inner);
        written.push_back(Own {
            id: id.clone(),
            key: key.clone(),
            version,
            until: now.after(Span(retain.0 + CHAIN_SLACK.0)),
        });
    }

    /// Drops the rows of some turns whose time is over; those of hosts that are gone are swept.
    pub(crate) async fn drop_expired(&self) {
        let now = self.clock.now();
        self.lives().remove_expired(now);
        let expired: Vec<Own> = {
            let mut written = self.written.lock().unwrap_or_else(PoisonError::into_inner);
            let count = written.iter().take(DROPS_MAX);
            let count = count.take_while(|turn| turn.until <= now).count();
            written.drain(..count).collect()
        };
        for turn in expired {
            if let Err(error) = self.drop_rows(&turn).await {
                info!(self.log, "rows of a turn stay"; "turn" => %turn.id, "error" => %error);
            }
        }
    }

    /// Drops the rows of a turn, unless they were written again. A copy that a lost write has left at
    /// the turn's other place is swept.
    async fn drop_rows(&self, turn: &Own) -> store::Result<()> {
        let TurnKey {
            partition,
            first,
            end,
        } = &turn.key;
        let page = self.rows.read(partition, first, end).await?;
        let is_own = page.rows.iter().all(|row| row.version <= turn.version);
        if page.rows.is_empty() || !is_own {
            return Ok(());
        }
        let rows = page.rows.iter();
        let drop = rows.fold(Transaction::default(), |drop, row| {
            drop.with_check(&row.key, row.version).with_delete(&row.key)
        });
        self.rows.write(partition, &drop).await.map(|_| ())
    }

    /// Bytes of text in memory.
    pub(crate) fn size(&self) -> usize {
        self.memory().size_bytes()
    }

    fn memory(&self) -> MutexGuard<'_, History> {
        self.memory.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lives(&self) -> MutexGuard<'_, WriteTimes> {
        self.lives.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
