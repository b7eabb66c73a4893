//! The connections of a process, and what each of them holds.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender};
use units::{Bytes, Clock};

use crate::ledger::{ConnectionId, Full, Ledger, Limits};

/// Callers hold too much; the request was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overloaded;

/// All connections of a process.
#[derive(Debug)]
pub struct Gate {
    state: Mutex<State>,
    clock: Clock,
}

#[derive(Debug)]
struct State {
    ledger: Ledger,
    /// Closed when the connection has to give way.
    signals: HashMap<ConnectionId, Sender<()>>,
}

impl Gate {
    /// Creates the gate of a process without connections.
    pub fn new(limits: Limits, clock: Clock) -> Self {
        Gate {
            state: Mutex::new(State {
                ledger: Ledger::new(limits),
                signals: HashMap::new(),
            }),
            clock,
        }
    }

    /// Returns the memory in use.
    pub fn used(&self) -> Bytes {
        self.lock().ledger.used()
    }

    /// Admits a connection.
    ///
    /// # Errors
    /// If there is no room for it.
    pub fn open(self: &Arc<Self>) -> Result<Connection, Overloaded> {
        let id = self.apply(|ledger, now, evicted| ledger.open(now, evicted))?;
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
        let mut state = self.lock();
        let result = change(&mut state.ledger, self.clock.now(), &mut evicted);
        for id in &evicted {
            state.signals.remove(id);
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

    /// Begins a request whose head has arrived.
    pub fn request(&self) -> Request {
        Request(self.holder.clone())
    }
}

/// A request of a connection; ends when this is dropped, after its answer.
#[derive(Debug)]
pub struct Request(Arc<Holder>);

impl Request {
    /// Records that the request is complete, and takes this much memory while it is served.
    ///
    /// # Errors
    /// If the requests that are served leave no room for it.
    pub fn serve(&self, memory: Bytes) -> Result<(), Overloaded> {
        let id = self.0.id;
        self.0
            .gate
            .apply(|ledger, now, evicted| ledger.serve(id, memory.0, now, evicted))
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        let now = self.0.gate.clock.now();
        self.0.gate.lock().ledger.finish(self.0.id, now);
    }
}
