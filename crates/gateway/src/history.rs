//! The stored turns of programs, in memory and in the store.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use clients::Accounts;
use clients::owner::{Id, Name};
use futures_util::FutureExt;
use futures_util::future::{BoxFuture, WeakShared, try_join_all};
use memory::{Cache, Charge, Full, Limiter, hold};
use slog::{Logger, info, warn};
use smol::lock::Semaphore;
use store::api::Transaction;
use store::{Outcome, Page, key_after};
use turns::{
    CHAIN_SLACK, History, ReadTurn, Transcript, Turn, TurnKey, WriteTimes, text_max_bytes,
};
use units::{Bytes, Clock, Span, Time};

use crate::control::retry_pause;
use crate::environment::Environment;
use crate::reply::Refusal;
use crate::rows::{PAGE_ROWS_MAX, Rows};

/// Most text of turns that is kept in memory: a fraction of the memory of the smallest host that a
/// gateway runs on (88 MB).
const MEMORY_MAX_BYTES: usize = 16 << 20;
/// Longest time that a turn stays in memory: longer than programs run. An evicted turn is read from
/// the store.
const MEMORY_RETENTION: Span = Span::from_ms(120_000);
/// Most turns whose rows one call of [`Histories::drop_expired`] drops.
const TURNS_PER_DROP_MAX: usize = 32;

/// Most reads of first rows at a time: each may bring a whole row.
const READS_MAX: usize = 128;
/// Most reads and writes of turns with several rows at a time: each holds several times the text.
const TRANSFERS_MAX: usize = 4;
/// Text above which a turn has, or may have, several rows.
const LONG_BYTES: usize = 40 << 10;
/// Memory of a turn beside its text: identifiers and entries of tables.
const TURN_BYTES: usize = 512;
/// Memory for writing a turn beside its text, in lengths of it: its rows and the request.
const WRITE_COPIES: usize = 4;

/// Cache and store of the turns that this host reads and writes.
pub(crate) struct Histories {
    rows: Arc<Rows>,
    clock: Clock,
    log: Logger,
    memory: Mutex<History>,
    /// Turns that this host wrote, in the order of the writes.
    written: Mutex<VecDeque<WrittenTurn>>,
    write_times: Mutex<WriteTimes>,
    limiter: Arc<Limiter>,
    /// Turns that are being read, for the requests that need the same ones.
    loads: Mutex<HashMap<Id, WeakShared<Load>>>,
    /// Reads of first rows under way.
    reads: Semaphore,
    /// Reads and writes of long turns under way.
    transfers: Semaphore,
}

type Load = BoxFuture<'static, Result<Turn, Refusal>>;

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

/// Attaches the charge for a turn that was read to its text.
fn hold_turn(turn: Turn, mut charge: Charge) -> Turn {
    let bytes = (turn.size_bytes() + TURN_BYTES) as u64;
    charge.resize_anyway(Bytes(bytes));
    let charge = Arc::new(charge);
    Turn {
        input: hold(turn.input, charge.clone()),
        output: hold(turn.output, charge),
        ..turn
    }
}

impl Cache for Histories {
    fn evict(&self, bytes: Bytes) -> bool {
        let evicted = self.memory().evict(bytes.0 as usize);
        !evicted.is_empty()
    }
}

impl Histories {
    pub(crate) fn new(rows: Arc<Rows>, limiter: Arc<Limiter>, clock: Clock, log: Logger) -> Self {
        Histories {
            rows,
            clock,
            log,
            memory: Mutex::new(History::new(MEMORY_MAX_BYTES, MEMORY_RETENTION)),
            written: Mutex::default(),
            write_times: Mutex::default(),
            limiter,
            loads: Mutex::default(),
            reads: Semaphore::new(READS_MAX),
            transfers: Semaphore::new(TRANSFERS_MAX),
        }
    }

    /// Loads the text of a turn and of all turns before it.
    ///
    /// # Errors
    /// [`Refusal::UnknownTurn`] only if a read of the store shows that a turn does not exist,
    /// [`Refusal::Overloaded`] if there is no memory for the text, else [`Refusal::StoreUnavailable`].
    pub(crate) async fn load_transcript(
        self: &Arc<Self>,
        id: &Id,
        environment: &Arc<Environment>,
    ) -> Result<Transcript, Refusal> {
        if let Ok(transcript) = self.memory().transcript(id) {
            return Ok(transcript);
        }
        // The last turn names the others.
        let last = self.load(id, environment).await?;
        let before = last.predecessors.iter();
        let before = try_join_all(before.map(|id| self.load(id, environment))).await?;
        Ok(Transcript::new(id, before.iter(), &last))
    }

    /// Loads a turn. Requests that need the same one share what is loaded.
    async fn load(
        self: &Arc<Self>,
        id: &Id,
        environment: &Arc<Environment>,
    ) -> Result<Turn, Refusal> {
        if let Some(turn) = self.memory().get(id) {
            return Ok(turn.clone());
        }
        let load = {
            let mut loads = self.loads.lock().unwrap_or_else(PoisonError::into_inner);
            let under_way = loads.get(id).and_then(WeakShared::upgrade);
            under_way.unwrap_or_else(|| {
                let (histories, id, environment) = (self.clone(), id.clone(), environment.clone());
                let key = id.clone();
                let read = async move { histories.read(&id, &environment.accounts).await };
                let load = read.boxed().shared();
                loads.retain(|_, load| load.upgrade().is_some());
                loads.extend(load.downgrade().map(|load| (key, load)));
                load
            })
        };
        load.await
    }

    /// Whether a turn is in memory, and thus committed.
    pub(crate) fn is_in_memory(&self, id: &Id) -> bool {
        self.memory().get(id).is_some()
    }

    /// Reads a turn into memory. It may stand under the name that it had while other accounts were
    /// listed.
    async fn read(&self, id: &Id, accounts: &Accounts) -> Result<Turn, Refusal> {
        let name = id.name(accounts);
        let mut read = self.read_name(id, &name, true).await;
        if matches!(read, Err(Refusal::UnknownTurn))
            && let Some(other) = id.other_name(accounts)
        {
            read = self.read_name(id, &other, false).await;
        }
        let turn = read?;
        self.remember(id, turn.clone());
        Ok(turn)
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

    /// Reads a turn from one partition, with the version of its rows. Only the first row, which states
    /// how many there are, is read before there is memory for the turn.
    async fn read_partition(
        &self,
        id: &Id,
        key: &TurnKey,
    ) -> Result<Option<(ReadTurn, u64)>, Refusal> {
        let reading = self.reads.acquire().await;
        let mut page = self.read_rows(id, key, &key.first, 1).await?;
        drop(reading);
        let Some(first) = page.rows.first() else {
            return Ok(None);
        };
        let text_max = text_max_bytes(first).map_err(|error| self.undecodable(id, &error))?;
        let text = self.limiter.charge(Bytes(text_max as u64));
        let text = text.map_err(|Full| self.overloaded(id, text_max))?;
        let _transfer = match page.has_more {
            true => Some(self.transfers.acquire().await),
            false => None,
        };
        while let (true, Some(last)) = (page.has_more, page.rows.last()) {
            let from = key_after(&last.key);
            let next = self.read_rows(id, key, &from, PAGE_ROWS_MAX).await?;
            page.has_more = next.has_more;
            page.rows.extend(next.rows);
        }
        let versions = || page.rows.iter().map(|row| row.version);
        let earliest = versions().min();
        let earliest = earliest.and_then(|version| self.rows.ages().earliest_write_time(version));
        if let Some(earliest) = earliest {
            self.write_times().record(id, earliest);
        }
        let newest = versions().max();
        let read = Turn::from_rows(&page.rows, id.owner());
        let read = read.map_err(|error| self.undecodable(id, &error))?;
        let read = read.map(|read| ReadTurn {
            turn: hold_turn(read.turn, text),
            ..read
        });
        Ok(read.zip(newest))
    }

    /// Reads at most `limit` rows of a turn; repeats the read once if the response is lost.
    async fn read_rows(
        &self,
        id: &Id,
        key: &TurnKey,
        from: &str,
        limit: usize,
    ) -> Result<Page, Refusal> {
        let read = || self.rows.read_page(&key.partition, from, &key.end, limit);
        let mut result = read().await;
        let is_lost = result
            .as_ref()
            .is_err_and(|error| !matches!(error, store::Error::NoMemory));
        if is_lost && !self.rows.is_unavailable(&key.partition) {
            result = read().await;
        }
        result.map_err(|error| {
            info!(self.log, "turn not read"; "turn" => %id, "part" => %key.partition.name,
                "error" => %error);
            match error {
                store::Error::NoMemory => Refusal::Overloaded,
                _ => Refusal::StoreUnavailable,
            }
        })
    }

    fn undecodable(&self, id: &Id, error: &turns::Error) -> Refusal {
        warn!(self.log, "turn cannot be decoded"; "turn" => %id, "error" => %error);
        Refusal::StoreUnavailable
    }

    fn overloaded(&self, id: &Id, bytes: usize) -> Refusal {
        info!(self.log, "no memory for a turn"; "turn" => %id, "bytes" => bytes,
            "charged" => self.limiter.charged().0);
        Refusal::Overloaded
    }

    /// Commits a turn, and rewrites those turns before it whose rows would be dropped earlier.
    /// Returns when all of them are durable, however long that takes.
    ///
    /// # Errors
    /// [`Refusal::TurnExists`] if another turn with this identifier is stored, and
    /// [`Refusal::EndpointFailed`] if a turn cannot be encoded.
    pub(crate) async fn commit(
        self: &Arc<Self>,
        id: &Id,
        turn: Turn,
        environment: &Arc<Environment>,
        retention: Span,
    ) -> Result<(), Refusal> {
        let accounts = &environment.accounts;
        for previous in self.due_for_rewrite(&turn.predecessors) {
            // The turn was read when this one began, and may have been evicted since.
            let old = match self.load(&previous, environment).await {
                Ok(old) => old,
                Err(refusal) => {
                    warn!(self.log, "retention of turn not extended"; "turn" => %previous,
                        "for" => %id, "why" => refusal.code());
                    continue;
                }
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
        self.remember(id, turn);
        Ok(())
    }

    fn remember(&self, id: &Id, turn: Turn) {
        // What is evicted releases its memory, which needs the lock that is held in this line only.
        let evicted = self.memory().insert(id, turn, self.clock.now());
        drop(evicted);
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
            let transfer = match turn.size_bytes() {
                bytes if bytes > LONG_BYTES => Some(self.transfers.acquire().await),
                _ => None,
            };
            // The turn has run, so it is stored also if there is no room.
            let bytes = Bytes((turn.size_bytes() * WRITE_COPIES) as u64);
            let charge = self.limiter.charge_anyway(bytes);
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
            charge.close();
            drop(transfer);
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
