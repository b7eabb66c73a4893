//! Decides which connection gives way when the shared limit is reached.

use std::collections::HashMap;

use units::{Bytes, Span, Time};

/// Memory of an open connection without a request: buffers, and the state of its task.
const CONNECTION_BYTES: u64 = 32 << 10;
/// Requests up to this size are ordinary; larger ones leave room for them.
const ORDINARY_MAX_BYTES: u64 = 64 << 10;
/// Share of the memory, in quarters, that larger requests may take together while they are served.
const LARGE_QUARTERS: u64 = 3;

/// Longest time to wait for connections that have given way to be closed.
const LEAVE_MAX: Span = Span::from_ms(1_000);

/// Time without progress after which an answer that its caller does not read may be cut.
const STALL_MIN: Span = Span::from_ms(1_000);

/// Limits for all connections together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Memory that they may hold.
    pub memory: Bytes,
    /// Number of connections.
    pub connections: usize,
}

impl Limits {
    /// No limits.
    pub const NONE: Limits = Limits {
        memory: Bytes(u64::MAX),
        connections: usize::MAX,
    };
}

/// Identifies a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(u64);

/// The limit is reached, and no other connection gives way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waits for a request.
    Idle,
    /// A request arrives.
    Reading,
    /// A complete request is served; it may run, so it is never broken off here.
    Serving,
    /// A complete answer is sent.
    Sending,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    phase: Phase,
    /// Begin of the phase, or the latest progress of an answer.
    since: Time,
    bytes: u64,
    /// Length of an answer that is sent; its memory is counted elsewhere.
    answer: u64,
    /// Memory of a larger request that is being served.
    large: u64,
    /// Whether the client is trusted, and what it sends is limited elsewhere.
    is_trusted: bool,
}

impl Holder {
    fn idle(now: Time) -> Self {
        Holder {
            phase: Phase::Idle,
            since: now,
            bytes: CONNECTION_BYTES,
            answer: 0,
            large: 0,
            is_trusted: false,
        }
    }

    /// Returns what holding the connection has cost so far, in bytes times microseconds. An ordinary
    /// request arrives within milliseconds and costs little.
    fn cost(&self, now: Time) -> u128 {
        let bytes = self.bytes + self.answer;
        u128::from(bytes) * u128::from(now.since(self.since).0 + 1)
    }

    fn can_give_way(&self, now: Time) -> bool {
        match self.phase {
            Phase::Idle | Phase::Reading => true,
            Phase::Serving => false,
            Phase::Sending => self.is_stalled(now),
        }
    }

    /// Whether the caller does not read its answer.
    fn is_stalled(&self, now: Time) -> bool {
        self.phase == Phase::Sending && now.since(self.since) >= STALL_MIN
    }
}

/// What the connections of a host hold.
///
/// The load that this answers: any number of callers that send large bodies, or many small ones, and
/// do not end them, or do not read their answers, beside ordinary callers. When the limit is reached, the
/// connection gives way whose unfinished request, or unread answer, has held the most memory for the
/// longest time.
#[derive(Debug)]
pub struct Ledger {
    limits: Limits,
    holders: HashMap<ConnectionId, Holder>,
    used: u64,
    /// Part of `used` that larger requests hold while they are served.
    large: u64,
    /// What connections that have given way hold until they are closed.
    leaving: HashMap<ConnectionId, u64>,
    /// Sum of `leaving`.
    leaving_bytes: u64,
    /// When a connection gave way last.
    gave_way_at: Time,
    next_id: u64,
}

impl Ledger {
    /// Creates the ledger of a host without connections.
    pub fn new(limits: Limits) -> Self {
        Ledger {
            limits,
            holders: HashMap::new(),
            used: 0,
            large: 0,
            leaving: HashMap::new(),
            leaving_bytes: 0,
            gave_way_at: Time(0),
            next_id: 0,
        }
    }

    /// Returns the memory in use.
    pub fn used(&self) -> Bytes {
        Bytes(self.used)
    }

    /// Whether nothing should be read until connections that have given way are closed.
    pub fn has_to_wait(&self, now: Time) -> bool {
        let is_over = self.used + self.leaving_bytes > self.limits.memory.0;
        self.leaving_bytes > 0 && is_over && now.since(self.gave_way_at) < LEAVE_MAX
    }

    /// Opens a connection; adds those that give way to `evicted`.
    ///
    /// # Errors
    /// If the limits are reached and none gives way.
    pub fn open(
        &mut self,
        now: Time,
        evicted: &mut Vec<ConnectionId>,
    ) -> Result<ConnectionId, Full> {
        while self.holders.len() >= self.limits.connections {
            self.evict(None, now, evicted)?;
        }
        self.make_room(CONNECTION_BYTES, None, now, evicted)?;
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        self.holders.insert(id, Holder::idle(now));
        self.used += CONNECTION_BYTES;
        Ok(id)
    }

    /// Records that `bytes` more of a request were read; adds the connections that give way to
    /// `evicted`.
    ///
    /// # Errors
    /// If the connection itself is the one that gives way, or has already.
    pub fn read(
        &mut self,
        id: ConnectionId,
        bytes: u64,
        now: Time,
        evicted: &mut Vec<ConnectionId>,
    ) -> Result<(), Full> {
        let holder = self.holders.get_mut(&id).ok_or(Full)?;
        if holder.is_trusted {
            return Ok(());
        }
        if holder.phase == Phase::Idle {
            holder.phase = Phase::Reading;
            holder.since = now;
        }
        self.make_room(bytes, Some(id), now, evicted)?;
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.bytes += bytes;
            self.used += bytes;
        }
        Ok(())
    }

    /// Records that a request is complete and takes `bytes` while it is served. A single one is never
    /// refused for its size.
    ///
    /// # Errors
    /// If the requests that are served leave no room for it, or the connection has given way.
    pub fn serve(
        &mut self,
        id: ConnectionId,
        bytes: u64,
        now: Time,
        evicted: &mut Vec<ConnectionId>,
    ) -> Result<(), Full> {
        let holder = *self.holders.get(&id).ok_or(Full)?;
        let is_large = bytes > ORDINARY_MAX_BYTES;
        let large_max = self.limits.memory.0 / 4 * LARGE_QUARTERS;
        if is_large && self.large > 0 && self.large + bytes > large_max {
            return Err(Full);
        }
        let total = bytes + CONNECTION_BYTES;
        let missing = total.saturating_sub(holder.bytes);
        if self.make_room(missing, Some(id), now, evicted).is_err() && self.is_serving() {
            return Err(Full);
        }
        if let Some(holder) = self.holders.get_mut(&id) {
            self.used = self.used - holder.bytes + total;
            *holder = Holder {
                phase: Phase::Serving,
                since: now,
                bytes: total,
                answer: 0,
                large: if is_large { bytes } else { 0 },
                is_trusted: false,
            };
            self.large += holder.large;
        }
        Ok(())
    }

    /// Records that the client has proved to be an own process: its connection stays until it ends, and
    /// takes none of the memory that is shared with strangers.
    pub fn trust(&mut self, id: ConnectionId, now: Time) {
        if let Some(holder) = self.holders.get_mut(&id) {
            self.used -= holder.bytes;
            *holder = Holder {
                phase: Phase::Serving,
                bytes: 0,
                is_trusted: true,
                ..Holder::idle(now)
            };
        }
    }

    /// Records that the answer to a request is complete, and is sent from now on.
    pub fn send(&mut self, id: ConnectionId, bytes: u64, now: Time) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.phase = Phase::Sending;
            holder.since = now;
            holder.answer = bytes;
        }
    }

    /// Records that the caller has read more of its answer.
    pub fn progress(&mut self, id: ConnectionId, now: Time) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.since = now;
        }
    }

    /// Closes the connection whose answer has been held for the longest time and the most memory without
    /// its caller reading it, and adds it to `evicted`.
    ///
    /// # Errors
    /// If there is no such connection.
    pub fn evict_stalled(
        &mut self,
        now: Time,
        evicted: &mut Vec<ConnectionId>,
    ) -> Result<(), Full> {
        let id = self.costliest(now, |holder| holder.is_stalled(now))?;
        self.give_way(id, now, evicted);
        Ok(())
    }

    /// Closes the connection that has cost the most, for a descriptor that the process lacks, and adds it
    /// to `evicted`.
    ///
    /// # Errors
    /// If no connection gives way.
    pub fn evict_costliest(
        &mut self,
        now: Time,
        evicted: &mut Vec<ConnectionId>,
    ) -> Result<(), Full> {
        self.evict(None, now, evicted)
    }

    /// Records that a request has ended; the connection waits for the next one.
    pub fn finish(&mut self, id: ConnectionId, now: Time) {
        if let Some(holder) = self.holders.get_mut(&id) {
            let ended = *holder;
            *holder = Holder::idle(now);
            self.used = self.used - ended.bytes + CONNECTION_BYTES;
            self.large -= ended.large;
        }
    }

    /// Closes a connection.
    pub fn close(&mut self, id: ConnectionId) {
        self.remove(id);
        self.leaving_bytes -= self.leaving.remove(&id).unwrap_or_default();
    }

    /// Removes a connection from those that count; returns what it holds.
    fn remove(&mut self, id: ConnectionId) -> u64 {
        let Some(holder) = self.holders.remove(&id) else {
            return 0;
        };
        self.used -= holder.bytes;
        self.large -= holder.large;
        holder.bytes
    }

    /// Has a connection give way. It holds its memory until it is closed.
    fn give_way(&mut self, id: ConnectionId, now: Time, evicted: &mut Vec<ConnectionId>) {
        let bytes = self.remove(id);
        self.leaving.insert(id, bytes);
        self.leaving_bytes += bytes;
        self.gave_way_at = now;
        evicted.push(id);
    }

    fn is_serving(&self) -> bool {
        let mut holders = self.holders.values();
        holders.any(|holder| matches!(holder.phase, Phase::Serving | Phase::Sending))
    }

    fn costliest(
        &self,
        now: Time,
        is_candidate: impl Fn(&Holder) -> bool,
    ) -> Result<ConnectionId, Full> {
        let holders = self.holders.iter();
        let candidates = holders.filter(|(_, holder)| is_candidate(holder));
        let costliest = candidates.max_by_key(|(id, holder)| (holder.cost(now), **id));
        costliest.map(|(id, _)| *id).ok_or(Full)
    }

    /// Has connections give way until there is room for `bytes`.
    fn make_room(
        &mut self,
        bytes: u64,
        asking: Option<ConnectionId>,
        now: Time,
        evicted: &mut Vec<ConnectionId>,
    ) -> Result<(), Full> {
        while self.used.saturating_add(bytes) > self.limits.memory.0 {
            self.evict(asking, now, evicted)?;
        }
        Ok(())
    }

    /// Closes the connection that has cost the most, unless it is `asking`.
    fn evict(
        &mut self,
        asking: Option<ConnectionId>,
        now: Time,
        evicted: &mut Vec<ConnectionId>,
    ) -> Result<(), Full> {
        let id = self.costliest(now, |holder| holder.can_give_way(now))?;
        if Some(id) == asking {
            return Err(Full);
        }
        self.give_way(id, now, evicted);
        Ok(())
    }
}
