//! The origins of streams that callers may resume, in memory and in the store.
//!
//! A row is written when the head of a stream arrives, and nothing waits for the write: if it is lost
//! with the host, the stream cannot be resumed.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use clients::Accounts;
use clients::owner::{Id, Name, Owner};
use rand::Rng;
use slog::{Logger, info, warn};
use store::api::Transaction;
use store::key_after;
use turns::{Origin, StreamKey};
use units::{Clock, Span, Time};

use crate::reply::Refusal;
use crate::rows::Rows;

/// How long a stream may be resumed after its beginning, also if the store is unavailable: longer than
/// any caller waits for a stream.
const RETENTION: Span = Span::from_ms(60_000);
/// Most streams of this host in memory.
const RECENT_MAX: usize = 4_096;
/// Most rows that wait to be written.
const UNWRITTEN_MAX: usize = 1_024;
/// Pause after the first failed write.
const PAUSE_AFTER_FAILURE: Span = Span::from_ms(250);
/// Longest pause between writes while they fail.
const PAUSE_MAX: Span = Span::from_ms(2_000);
/// Pause below which writes follow each other without one.
const PAUSE_MIN: Span = Span::from_ms(20);
/// Most rows of one transaction.
const ROWS_PER_WRITE_MAX: usize = 100;

/// The latest streams that began at this host.
#[derive(Default)]
struct Recent {
    origins: HashMap<Name, Origin>,
    order: VecDeque<(Time, Name)>,
}

/// Streams whose rows are not written yet, in the order in which they began.
#[derive(Default)]
struct Unwritten {
    streams: VecDeque<(Time, Name)>,
    is_task_running: bool,
}

/// Reads and writes the origins of streams.
pub(crate) struct Streams {
    rows: Arc<Rows>,
    clock: Clock,
    log: Logger,
    recent: Mutex<Recent>,
    unwritten: Mutex<Unwritten>,
}

impl Streams {
    pub(crate) fn new(rows: Arc<Rows>, clock: Clock, log: Logger) -> Self {
        Streams {
            rows,
            clock,
            log,
            recent: Mutex::default(),
            unwritten: Mutex::default(),
        }
    }

    /// Records the origin of the stream that the attempt `name` began.
    pub(crate) fn begin(self: &Arc<Self>, name: &Name, origin: Origin) {
        let now = self.clock.now();
        self.remember(name, origin, now);
        let mut unwritten = self.unwritten();
        unwritten.streams.push_back((now, name.clone()));
        if unwritten.streams.len() > UNWRITTEN_MAX {
            unwritten.streams.pop_front();
        }
        if !std::mem::replace(&mut unwritten.is_task_running, true) {
            let streams = self.clone();
            smol::spawn(async move { streams.write().await }).detach();
        }
    }

    /// Writes rows until none is left. One transaction is in flight at a time, and
    /// the streams that begin meanwhile go into the next one.
    ///
    /// A store that refuses a write may be overloaded. Other writes are more important than these, so
    /// the pause before the next one grows with each failure, and shrinks with each success.
    async fn write(&self) {
        let partition = StreamKey::partition();
        let mut pause = Span(0);
        while let Some(batch) = self.take_batch() {
            let transaction = self.transaction(&batch);
            if transaction.writes.is_empty() {
                continue;
            }
            match self.rows.write(&partition, &transaction).await {
                Ok(_) if pause < PAUSE_MIN => pause = Span(0),
                Ok(_) => pause = Span(pause.0 / 2),
                Err(error) => {
                    pause = Span(pause.0 * 2).clamp(PAUSE_AFTER_FAILURE, PAUSE_MAX);
                    info!(self.log, "origins of streams not written yet";
                        "part" => %partition.name, "rows" => transaction.writes.len(),
                        "error" => %error, "pause_ms" => pause.as_ms());
                    self.put_back(batch);
                }
            }
            if pause > Span(0) {
                let jitter = rand::rng().random_range(0..=pause.0 / 2);
                smol::Timer::after(Span(pause.0 + jitter).into()).await;
            }
        }
    }

    /// Takes the next streams to write that may still be resumed; `None` ends the task.
    fn take_batch(&self) -> Option<Vec<(Time, Name)>> {
        let now = self.clock.now();
        let mut unwritten = self.unwritten();
        unwritten
            .streams
            .retain(|(began, _)| now.since(*began) <= RETENTION);
        let count = unwritten.streams.len().min(ROWS_PER_WRITE_MAX);
        unwritten.is_task_running = count > 0;
        (count > 0).then(|| unwritten.streams.drain(..count).collect())
    }

    /// Returns a batch that was not written to the front of the queue, the latest streams first if it
    /// does not fit.
    fn put_back(&self, batch: Vec<(Time, Name)>) {
        let mut unwritten = self.unwritten();
        let room = UNWRITTEN_MAX.saturating_sub(unwritten.streams.len());
        let kept = batch.into_iter().rev().take(room);
        kept.for_each(|stream| unwritten.streams.push_front(stream));
    }

    fn transaction(&self, batch: &[(Time, Name)]) -> Transaction {
        let recent = self.recent();
        let origins = batch
            .iter()
            .filter_map(|(_, name)| Some((name, recent.origins.get(name)?)));
        origins.fold(
            Transaction::default(),
            |writes, (name, origin)| match origin.encode() {
                Ok(value) => writes.with_write(&StreamKey::new(name).key, value),
                Err(error) => {
                    warn!(self.log, "origin of stream cannot be encoded"; "stream" => %name,
                        "error" => %error);
                    writes
                }
            },
        )
    }

    /// Returns the origin of the stream that the attempt `id` began, while `accounts` are listed; `None`
    /// if none is recorded.
    ///
    /// # Errors
    /// [`Refusal::StoreUnavailable`] if the row cannot be read.
    pub(crate) async fn find(
        &self,
        id: &Id,
        accounts: &Accounts,
    ) -> Result<Option<Origin>, Refusal> {
        let name = id.name(accounts);
        if let Some(origin) = self.recent().origins.get(&name) {
            return Ok(Some(origin.clone()));
        }
        let origin = self.read(&StreamKey::new(&name)).await?;
        if origin.is_some() || *id.owner() == Owner::Anonymous {
            return Ok(origin);
        }
        // Rows of earlier releases state the owner only in the name of the program.
        let origin = self.read(&StreamKey::unowned(id)).await?;
        Ok(origin.filter(|origin| !origin.program.is_empty()))
    }

    /// Reads the origin of a stream from its row.
    async fn read(&self, key: &StreamKey) -> Result<Option<Origin>, Refusal> {
        let end = key_after(&key.key);
        let mut result = self.rows.read(&key.partition, &key.key, &end).await;
        if result.is_err() && !self.rows.is_unavailable(&key.partition) {
            result = self.rows.read(&key.partition, &key.key, &end).await;
        }
        let page = result.map_err(|error| {
            info!(self.log, "origin of stream not read"; "row" => %key.key,
                "part" => %key.partition.name, "error" => %error);
            Refusal::StoreUnavailable
        })?;
        Origin::from_rows(key, &page.rows).or_else(|error| {
            warn!(self.log, "origin of stream cannot be decoded"; "row" => %key.key,
                "error" => %error, "store_version" => page.version);
            Ok(None)
        })
    }

    fn remember(&self, name: &Name, origin: Origin, now: Time) {
        let mut recent = self.recent();
        if recent.origins.insert(name.clone(), origin).is_none() {
            recent.order.push_back((now, name.clone()));
        }
        while let Some((began, _)) = recent.order.front()
            && (recent.order.len() > RECENT_MAX || now.since(*began) > RETENTION)
        {
            if let Some((_, oldest)) = recent.order.pop_front() {
                recent.origins.remove(&oldest);
            }
        }
    }

    fn unwritten(&self) -> MutexGuard<'_, Unwritten> {
        self.unwritten
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn recent(&self) -> MutexGuard<'_, Recent> {
        self.recent.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
