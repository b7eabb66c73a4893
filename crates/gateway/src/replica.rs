//! This host's copy of the row with the environment, which other hosts may follow.

use std::io::{Read, Write};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use event_listener::Event;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use smol::future::FutureExt;
use store::Progress;
use store::api::Row;
use units::{Clock, Host, Span, Time};
use wire::{Body, Frame, PackedRow, Relayed, Stream};

/// Time between two reports to a host that follows the copy.
pub(crate) const REPORT_INTERVAL: Span = Span::from_ms(300);
/// Longest value of a row after decompression.
const VALUE_MAX_BYTES: u64 = 16 << 20;
/// Bytes of a compressed value in one frame.
const CHUNK_BYTES: usize = 16 << 10;

/// A copy of the row with the environment.
pub(crate) struct Replica {
    state: Mutex<State>,
    /// Notified of each new row.
    changed: Event,
    clock: Clock,
}

#[derive(Default)]
struct State {
    row: Option<Arc<Row>>,
    /// Compressed value of the row, once it was needed.
    packed: Option<Arc<Vec<u8>>>,
    position: u64,
    /// When the copy was current last.
    current_at: Option<Time>,
    /// The host that read it from the store.
    reader: Option<Host>,
    /// The row that arrives at the moment, if any.
    arriving: Option<Arc<Progress>>,
}

impl Replica {
    pub(crate) fn new(clock: Clock) -> Self {
        Replica {
            state: Mutex::default(),
            changed: Event::new(),
            clock,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the version of the row and the version of the store at which it was current; 0 for
    /// none.
    pub(crate) fn versions(&self) -> (u64, u64) {
        let state = self.state();
        let row = state.row.as_ref().map_or(0, |row| row.version);
        (row, state.position)
    }

    /// Stores a row unless the copy is as new.
    pub(crate) fn store(&self, row: &Row) {
        let mut state = self.state();
        if state
            .row
            .as_ref()
            .is_none_or(|old| row.version > old.version)
        {
            state.row = Some(Arc::new(row.clone()));
            state.packed = None;
            drop(state);
            self.changed.notify(usize::MAX);
        }
    }

    /// Records that the copy was current at `time`, at the version `position` of the store, as
    /// `reader` found there.
    pub(crate) fn record_current(&self, position: u64, time: Time, reader: Option<Host>) {
        let mut state = self.state();
        state.reader = reader;
        state.position = state.position.max(position);
        state.current_at = state.current_at.max(Some(time));
    }

    /// Returns a record for the arrival of a newer row, which keeps the copy from ageing.
    pub(crate) fn begin_arrival(&self) -> Arc<Progress> {
        let progress = Arc::new(Progress::new(self.clock));
        self.state().arriving = Some(progress.clone());
        progress
    }

    /// Returns how long ago the copy was current, or anything of a newer row arrived; the longest
    /// time if never.
    pub(crate) fn age(&self) -> Span {
        let state = self.state();
        let arriving = state.arriving.as_ref();
        let arriving = arriving.and_then(|arriving| arriving.last_of_result());
        let contact = state.current_at.max(arriving);
        let now = self.clock.now();
        contact.map_or(Span(u64::MAX), |contact| now.since(contact))
    }

    /// Returns what is sent to a host that has the row at `version`: a report, and the compressed
    /// value of a newer row.
    fn report(&self, version: u64) -> (wire::Replica, Option<Arc<Vec<u8>>>) {
        let newer = loop {
            let row = self.state().row.clone();
            let Some(row) = row.filter(|row| row.version > version) else {
                break None;
            };
            if let Some(packed) = self.packed(&row) {
                break Some((row, packed));
            }
            // The row has changed while it was compressed.
        };
        let state = self.state();
        // A row that was stored meanwhile is part of the next report, and so is its position.
        let sent = newer.as_ref().map_or(version, |(row, _)| row.version);
        let is_latest = state.row.as_ref().is_none_or(|row| row.version <= sent);
        let position = if is_latest { state.position } else { 0 };
        let reader = state.reader.clone();
        drop(state);
        let report = wire::Replica {
            position,
            age: self.age(),
            reader,
            row: newer.as_ref().map(|(row, packed)| PackedRow {
                key: row.key.clone(),
                version: row.version,
                packed_bytes: packed.len() as u32,
            }),
        };
        (report, newer.map(|(_, packed)| packed))
    }

    /// Returns the compressed value of `row`; `None` if the copy has another row by now.
    fn packed(&self, row: &Arc<Row>) -> Option<Arc<Vec<u8>>> {
        {
            let state = self.state();
            let is_current = state
                .row
                .as_ref()
                .is_some_and(|latest| Arc::ptr_eq(latest, row));
            if !is_current || state.packed.is_some() {
                return state.packed.clone().filter(|_| is_current);
            }
        }
        let packed = Arc::new(pack(&row.value.0));
        let mut state = self.state();
        let is_current = state
            .row
            .as_ref()
            .is_some_and(|latest| Arc::ptr_eq(latest, row));
        if is_current {
            state.packed = Some(packed.clone());
        }
        is_current.then_some(packed)
    }

    /// Sends the copy to a host that follows it and has the row at `version`, until the exchange
    /// ends.
    pub(crate) async fn serve(&self, mut stream: Stream, mut version: u64) -> wire::Result<()> {
        loop {
            let changed = self.changed.listen();
            let (report, packed) = self.report(version);
            version = report.row.as_ref().map_or(version, |row| row.version);
            stream
                .send(&Frame::Relayed(Relayed::Replica(report)))
                .await?;
            if let Some(packed) = packed {
                for chunk in packed.chunks(CHUNK_BYTES) {
                    let bytes = chunk.to_vec();
                    stream.send(&Frame::Body(Body { bytes })).await?;
                }
                continue;
            }
            let interval = async {
                smol::Timer::after(REPORT_INTERVAL.into()).await;
                true
            };
            let changed = async {
                changed.await;
                true
            };
            let closed = async {
                stream.closed().await;
                false
            };
            if !changed.or(interval).or(closed).await {
                return Ok(());
            }
        }
    }
}

/// Compresses a value.
fn pack(value: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    // Writing to memory does not fail.
    let _ = encoder.write_all(value);
    encoder.finish().unwrap_or_default()
}

/// Decompresses a value; `None` if it is malformed or too long.
pub(crate) fn unpack(packed: &[u8]) -> Option<Vec<u8>> {
    let mut value = Vec::new();
    let mut decoder = DeflateDecoder::new(packed).take(VALUE_MAX_BYTES + 1);
    decoder.read_to_end(&mut value).ok()?;
    (value.len() as u64 <= VALUE_MAX_BYTES).then_some(value)
}
