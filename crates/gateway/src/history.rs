//! The stored turns of programs, in memory and in the store.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use clients::Accounts;
use clients::owner::{Id, Name};
use futures_util::future::join_all;
use slog::{Logger, info, warn};
use store::Outcome;
use store::api::Transaction;
use turns::{CHAIN_SLACK, History, ReadTurn, Transcript, Turn, TurnKey, WriteTimes};
use units::{Clock, Span, Time};

use crate::control::retry_pause;
use crate::reply::Refusal;
use crate::rows::Rows;

/// Most text of turns that is kept in memory: a fraction of the memory of the smallest host that a
/// gateway runs on (88 MB).
const MEMORY_MAX_BYTES: usize = 16 << 20;
/// Longest time that a turn stays in memory: longer than programs run. An evicted turn is read from
/// the store.
const MEMORY_RETENTION: Span = Span::from_ms(120_000);
/// Most turns whose rows one call of [`Histories::drop_expired`] drops.
const TURNS_PER_DROP_MAX: usize = 32;

/// Cache and store of the turns that this host reads and writes.
pub(crate) struct Histories {
    rows: Arc<Rows>,
    clock: Clock,
    log: Logger,
    memory: Mutex<History>,
    /// Turns that this host wrote, in the order of the writes.
    written: Mutex<VecDeque<WrittenTurn>>,
    write_times: Mutex<WriteTimes>,
}

/// A turn that this host wrote and has to drop later.
struct WrittenTurn {
    id: Id,
    key: TurnKey,
    /// Version of the rows as this host wrote them; another host may write them again.
    version: u64,
    /// Until when the rows have to stay.
    expires_at: Time,
}

/// A turn to write while `accounts` are listed.
#[derive(Clone, Copy)]
struct Write<'a> {
    id: &'a Id,
    turn: &'a Turn,
    accounts: &'a Accounts,
    /// Whether no turn with this identifier may be stored before. Else the same turn is.
    is_new: bool,
}

impl Histories {
    pub(crate) fn new(rows: Arc<Rows>, clock: Clock, log: Logger) -> Self {
        Histories {
            rows,
            clock,
            log,
            memory: Mutex::new(History::new(MEMORY_MAX_BYTES, MEMORY_RETENTION)),
            written: Mutex::default(),
            write_times: Mutex::default(),
        }
    }

    /// Loads the text of a turn and of all turns before it, while `accounts` are listed.
    ///
    /// # Errors
    /// [`Refusal::UnknownTurn`] only if a read of the store shows that a turn does not exist, else
    /// [`Refusal::StoreUnavailable`].
    pub(crate) async fn load_transcript(
        &self,
        id: &Id,
        accounts: &Accounts,
    ) -> Result<Transcript, Refusal> {
        // The last turn names the others, so two rounds of reads find them all.
        for _ in 0..2 {
            let missing = match self.memory().transcript(id) {
                Ok(transcript) => return Ok(transcript),
                Err(missing) => missing,
            };
            let reads = missing.iter().map(|turn| self.read(turn, accounts));
            for read in join_all(reads).await {
                read?;
            }
        }
        self.memory()
            .transcript(id)
            .map_err(|_| Refusal::StoreUnavailable)
    }

    /// Whether a turn is in memory, and thus committed.
    pub(crate) fn is_in_memory(&self, id: &Id) -> bool {
        self.memory().get(id).is_some()
    }

    /// Reads a turn into memory. It may stand under the name that it had while other accounts were
    /// listed.
    async fn read(&self, id: &Id, accounts: &Accounts) -> Result<(), Refusal> {
        let name = id.name(accounts);
        let mut read = self.read_name(id, &name, true).await;
        if matches!(read, Err(Refusal::UnknownTurn))
            && let Some(other) = id.other_name(accounts)
        {
            read = self.read_name(id, &other, false).await;
        }
        self.memory().insert(id, read?, self.clock.now());
        Ok(())
    }

    /// Reads a turn from the first of the partitions of a name that has it. `is_own` states that rows
    /// of releases that did not write the owner belong to this one.
    async fn read_name(&self, id: &Id, name: &Name, is_own: bool) -> Result<Turn, Refusal> {
        let mut refusal = Refusal::UnknownTurn;
        for key in TurnKey::candidates(name) {
            match self.read_partition(id, &key).await {
                Ok(Some((read, _))) => {
                    let owner = read.owner.as_ref();
                    if owner.map_or(is_own, |owner| owner == id.owner()) {
                        return Ok(read.turn);
                    }
                    info!(self.log, "turn belongs to another owner"; "turn" => %name,
                        "owner" => owner.map(ToString::to_string));
                }
                Ok(None) => {}
                // A partition that cannot be read may have the turn.
                Err(error) => refusal = error,
            }
        }
        Err(refusal)
    }

    /// Reads a turn from one partition, with the version of its rows; repeats the read once if the
    /// response is lost.
    async fn read_partition(
        &self,
        id: &Id,
        key: &TurnKey,
    ) -> Result<Option<(ReadTurn, u64)>, Refusal> {
        let mut result = self.rows.read(&key.partition, &key.first, &key.end).await;
        if result.is_err() && !self.rows.is_unavailable(&key.partition) {
            result = self.rows.read(&key.partition, &key.first, &key.end).await;
        }
        let page = result.map_err(|error| {
            info!(self.log, "turn not read"; "turn" => %id, "part" => %key.partition.name,
                "error" => %error);
            Refusal::StoreUnavailable
        })?;
        let versions = || page.rows.iter().map(|row| row.version);
        let earliest = versions().min();
        let earliest = earliest.and_then(|version| self.rows.ages().earliest_write_time(version));
        if let Some(earliest) = earliest {
            self.write_times().record(id, earliest);
        }
        let read = Turn::from_rows(&page.rows, id.owner()).map_err(|error| {
            warn!(self.log, "turn cannot be decoded"; "turn" => %id, "error" => %error,
                "store_version" => page.version);
            Refusal::StoreUnavailable
        })?;
        Ok(read.zip(versions().max()))
    }

    /// Commits a turn, and rewrites those turns before it whose rows would be dropped earlier.
    /// Returns when all of them are durable, however long that takes.
    ///
    /// # Errors
    /// [`Refusal::TurnExists`] if another turn with this identifier is stored, and
    /// [`Refusal::EndpointFailed`] if a turn cannot be encoded.
    pub(crate) async fn commit(
        &self,
        id: &Id,
        turn: Turn,
        accounts: &Accounts,
        retention: Span,
    ) -> Result<(), Refusal> {
        for previous in self.due_for_rewrite(&turn.predecessors) {
            let old = self.memory().get(&previous).cloned();
            let Some(old) = old else {
                // The previous turn was read when this turn began, and was evicted since.
                warn!(self.log, "retention of turn not extended"; "turn" => %previous, "for" => %id);
                continue;
            };
            info!(self.log, "retention of turn extended"; "turn" => %previous, "for" => %id);
            let write = Write {
                id: &previous,
                turn: &old,
                accounts,
                is_new: false,
            };
            self.write(write, retention).await?;
        }
        let write = Write {
            id,
            turn: &turn,
            accounts,
            is_new: true,
        };
        self.write(write, retention).await?;
        self.memory().insert(id, turn, self.clock.now());
        Ok(())
    }

    fn due_for_rewrite(&self, predecessors: &[Id]) -> Vec<Id> {
        let now = self.clock.now();
        self.write_times()
            .due_for_rewrite(predecessors, now)
            .into_iter()
            .cloned()
            .collect()
    }

    /// Writes the rows of a turn; returns when they are durable.
    async fn write(&self, write: Write<'_>, retention: Span) -> Result<(), Refusal> {
        let Write {
            id, turn, accounts, ..
        } = write;
        let name = id.name(accounts);
        let keys = TurnKey::candidates(&name);
        // One partition is enough; the second is used while the first is unavailable.
        for key in keys.iter().cycle() {
            let transaction = turn.write_transaction(key, id.owner(), accounts);
            let mut transaction = transaction.map_err(|error| {
                warn!(self.log, "turn cannot be encoded"; "turn" => %name, "error" => %error);
                Refusal::EndpointFailed
            })?;
            if write.is_new {
                transaction = transaction.with_check(&key.row(0), 0);
            }
            match self.rows.write(&key.partition, &transaction).await {
                Ok(Outcome::Committed(version)) => {
                    self.record_written(id, key, version, retention);
                    break;
                }
                // An earlier attempt of this write whose response was lost, or another turn.
                Ok(Outcome::Conflict(_)) => match self.read_partition(id, key).await {
                    Ok(Some((read, version))) if read.turn == *turn => {
                        self.record_written(id, key, version, retention);
                        break;
                    }
                    Ok(Some(_)) => {
                        warn!(self.log, "another turn has the identifier"; "turn" => %name,
                            "part" => %key.partition.name);
                        return Err(Refusal::TurnExists);
                    }
                    Ok(None) | Err(_) => {}
                },
                Err(error) => {
                    info!(self.log, "turn not written yet"; "turn" => %name,
                        "part" => %key.partition.name, "error" => %error);
                }
            }
            if keys
                .iter()
                .all(|key| self.rows.is_unavailable(&key.partition))
            {
                retry_pause().await;
            }
        }
        Ok(())
    }

    fn record_written(&self, id: &Id, key: &TurnKey, version: u64, retention: Span) {
        let now = self.clock.now();
        self.write_times().record(id, now);
        let mut written = self.written.lock().unwrap_or_else(PoisonError::into_inner);
        written.push_back(WrittenTurn {
            id: id.clone(),
            key: key.clone(),
            version,
            expires_at: now.after(Span(retention.0 + CHAIN_SLACK.0)),
        });
    }

    /// Drops the rows of some expired turns of this host. The sweep drops those of stopped hosts.
    pub(crate) async fn drop_expired(&self) {
        let now = self.clock.now();
        self.write_times().remove_expired(now);
        let expired: Vec<WrittenTurn> = {
            let mut written = self.written.lock().unwrap_or_else(PoisonError::into_inner);
            let expired = written.iter().take(TURNS_PER_DROP_MAX);
            let count = expired.take_while(|turn| turn.expires_at <= now).count();
            written.drain(..count).collect()
        };
        for turn in expired {
            if let Err(error) = self.drop_rows(&turn).await {
                info!(self.log, "rows of a turn not dropped"; "turn" => %turn.id, "error" => %error);
            }
        }
    }

    /// Drops the rows of a turn, unless they were written again. If a write with a lost response left
    /// a copy in the turn's other partition, the sweep drops it.
    async fn drop_rows(&self, turn: &WrittenTurn) -> store::Result<()> {
        let TurnKey {
            partition,
            first,
            end,
        } = &turn.key;
        let page = self.rows.read(partition, first, end).await?;
        let is_unchanged = page.rows.iter().all(|row| row.version <= turn.version);
        if page.rows.is_empty() || !is_unchanged {
            return Ok(());
        }
        let rows = page.rows.iter();
        let drops = rows.fold(Transaction::default(), |drops, row| {
            drops
                .with_check(&row.key, row.version)
                .with_delete(&row.key)
        });
        self.rows.write(partition, &drops).await.map(|_| ())
    }

    /// Returns the bytes of text in memory.
    pub(crate) fn size_bytes(&self) -> usize {
        self.memory().size_bytes()
    }

    fn memory(&self) -> MutexGuard<'_, History> {
        self.memory.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write_times(&self) -> MutexGuard<'_, WriteTimes> {
        self.write_times
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
