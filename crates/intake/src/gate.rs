//! The connections of a process, and what each of them holds.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender};
use units::{Bytes, Clock, Span, Time};

use crate::ledger::{ConnectionId, Full, Ledger, Limits};
use crate::monitor::Monitor;

/// Shortest time between two records of the progress of an answer.
const PROGRESS_INTERVAL: Span = Span::from_ms(100);

/// Callers hold too much; the request was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overloaded;

/// All connections of a port.
#[derive(Debug)]
pub struct Gate {
    state: Mutex<State>,
    clock: Clock,
    monitor: Option<Monitor>,
}

#[derive(Debug)]
struct State {
    ledger: Ledger,
    /// Closed when the connection has to give way.
    signals: HashMap<ConnectionId, Sender<()>>,
}

impl Gate {
    /// Creates the gate of a port without connections.
    pub fn new(limits: Limits, clock: Clock) -> Self {
        Gate {
            state: Mutex::new(State {
                ledger: Ledger::new(limits),
                signals: HashMap::new(),
            }),
            clock,
            monitor: None,
        }
    }

    /// Has `monitor` report which connections are refused and which give way.
    pub fn with_monitor(mut self, monitor: Monitor) -> Self {
        self.monitor = Some(monitor);
        self
    }

    /// Reports an accept that failed, and closes a connection for the descriptor that may be lacking.
    pub(crate) fn report_failed_accept(&self, error: &std::io::Error) {
        if let Some(monitor) = &self.monitor {
            monitor.fail(error, self.used(), self.clock.now());
        }
        // Without a connection that gives way, the next accept may succeed all the same.
        let _ = self.apply(|ledger, now, evicted| ledger.evict_costliest(now, evicted));
    }

    /// Returns the memory in use.
    pub fn used(&self) -> Bytes {
        self.lock().ledger.used()
    }

    /// Closes the connection whose unread answer costs the most; returns whether there is one. Its memory
    /// is released when its task has ended.
    pub fn evict_stalled(&self) -> bool {
        let evict = self.apply(|ledger, now, evicted| ledger.evict_stalled(now, evicted));
        evict.is_ok()
    }

    /// Admits a connection.
    ///
    /// # Errors
    /// If there is no room for it.
    pub fn open(self: &Arc<Self>) -> Result<Connection, Overloaded> {
        let opened = self.apply(|ledger, now, evicted| ledger.open(now, evicted));
        let id = opened.inspect_err(|Overloaded| {
            if let Some(monitor) = &self.monitor {
                monitor.refuse(self.used(), self.clock.now());
            }
        })?;
        let (signal, evicted) = async_channel::bounded(1);
        self.lock().signals.insert(id, signal);
        let holder = Arc::new(Holder {
            gate: self.clone(),
            id,
        });
        Ok(Connection { holder, evicted })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn apply<T>(
        &self,
        change: impl FnOnce(&mut Ledger, units::Time, &mut Vec<ConnectionId>) -> Result<T, Full>,
    ) -> Result<T, Overloaded> {
        let mut evicted = Vec::new();
        let now = self.clock.now();
        let mut state = self.lock();
        let result = change(&mut state.ledger, now, &mut evicted);
        for id in &evicted {
            state.signals.remove(id);
        }
        let used = state.ledger.used();
        drop(state);
        if let (Some(monitor), false) = (&self.monitor, evicted.is_empty()) {
            monitor.evict(evicted.len(), used, now);
        }
        result.map_err(|Full| Overloaded)
    }
}

/// An entry of the ledger; ends when this is dropped.
#[derive(Debug)]
struct Holder {
    gate: Arc<Gate>,
    id: ConnectionId,
}

impl Drop for Holder {
    fn drop(&mut self) {
        let mut state = self.gate.lock();
        state.ledger.close(self.id);
        state.signals.remove(&self.id);
    }
}

/// An open connection. Clones are the same connection.
#[derive(Clone, Debug)]
pub struct Connection {
    holder: Arc<Holder>,
    evicted: Receiver<()>,
}

impl Connection {
    /// Resolves when the connection has to be closed, as it gives way to others.
    pub async fn evicted(&self) {
        // Nothing is sent: the channel closes.
        let _ = self.evicted.recv().await;
    }

    /// Whether nothing should be read until the tasks of connections that give way have run.
    pub fn has_to_wait(&self) -> bool {
        let gate = &self.holder.gate;
        let now = gate.clock.now();
        gate.lock().ledger.has_to_wait(now)
    }

    /// Records that more of a request was read.
    ///
    /// # Errors
    /// If the connection has to be closed.
    pub fn read(&self, bytes: usize) -> Result<(), Overloaded> {
        let id = self.holder.id;
        self.holder
            .gate
            .apply(|ledger, now, evicted| ledger.read(id, bytes as u64, now, evicted))
    }

    /// Records that the client is an own process, whose connection does not give way.
    pub fn trust(&self) {
        let Holder { gate, id } = &*self.holder;
        let now = gate.clock.now();
        gate.lock().ledger.trust(*id, now);
    }

    /// Begins a request whose head has arrived.
    pub fn request(&self) -> Request {
        Request {
            holder: self.holder.clone(),
            progress_at: Time(0),
        }
    }
}

/// A request of a connection; ends when this is dropped, after its answer.
#[derive(Debug)]
pub struct Request {
    holder: Arc<Holder>,
    /// When progress of the answer was recorded last.
    progress_at: Time,
}

impl Request {
    /// Records that the request is complete, and takes this much memory while it is served.
    ///
    /// # Errors
    /// If the requests that are served leave no room for it.
    pub fn serve(&self, memory: Bytes) -> Result<(), Overloaded> {
        let id = self.holder.id;
        self.holder
            .gate
            .apply(|ledger, now, evicted| ledger.serve(id, memory.0, now, evicted))
    }

    /// Records that the answer is complete and is sent from now on. Its connection may give way if the
    /// caller does not read.
    pub fn send(&mut self, answer: Bytes) {
        let Holder { gate, id } = &*self.holder;
        let now = gate.clock.now();
        gate.lock().ledger.send(*id, answer.0, now);
        self.progress_at = now;
    }

    /// Records that the caller has read more of the answer.
    pub fn progress(&mut self) {
        let Holder { gate, id } = &*self.holder;
        let now = gate.clock.now();
        if now.since(self.progress_at) >= PROGRESS_INTERVAL {
            gate.lock().ledger.progress(*id, now);
            self.progress_at = now;
        }
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        let Holder { gate, id } = &*self.holder;
        let now = gate.clock.now();
        gate.lock().ledger.finish(*id, now);
    }
}
