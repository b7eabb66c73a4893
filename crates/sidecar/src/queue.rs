//! Queue in front of the endpoint: calls wait in order of rank while all slots are in use.

use std::collections::BTreeMap;

use units::Call;

/// Queue of calls that wait for a slot, as a pure state machine.
#[derive(Debug)]
pub struct Queue {
    slots: u32,
    running: u32,
    arrivals: u64,
    /// Waiting calls by rank, then by number of arrival.
    waiting: BTreeMap<(u64, u64), Call>,
}

impl Queue {
    /// Creates an empty queue in front of an endpoint with `slots` slots.
    pub fn new(slots: u32) -> Self {
        Queue {
            slots,
            running: 0,
            arrivals: 0,
            waiting: BTreeMap::new(),
        }
    }

    /// Adds a call. Lower ranks go first, equal ranks in order of arrival.
    pub fn push(&mut self, call: Call, rank: u64) {
        self.arrivals += 1;
        self.waiting.insert((rank, self.arrivals), call);
    }

    /// Removes the next call and assigns a slot to it; `None` if no call waits or no slot is free.
    pub fn pop(&mut self) -> Option<Call> {
        if self.running >= self.slots {
            return None;
        }
        let (_, call) = self.waiting.pop_first()?;
        self.running += 1;
        Some(call)
    }

    /// Removes a waiting call. Returns whether the call was waiting.
    pub fn remove(&mut self, call: Call) -> bool {
        let old_length = self.waiting.len();
        self.waiting.retain(|_, waiting| *waiting != call);
        self.waiting.len() < old_length
    }

    /// Frees a slot after its call has ended.
    pub fn release_slot(&mut self) {
        self.running -= 1;
    }

    /// Returns the number of calls with a slot.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of calls that wait for a slot.
    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }
}
