//! The queue before the endpoint: calls wait by rank while all slots are taken.

use std::collections::BTreeMap;

use units::Call;

/// Calls that wait for a slot, as a pure state machine.
#[derive(Debug)]
pub struct Queue {
    slots: u32,
    running: u32,
    arrivals: u64,
    waiting: BTreeMap<(u64, u64), Call>,
}

impl Queue {
    /// An empty queue before `slots` slots.
    pub fn new(slots: u32) -> Self {
        Queue {
            slots,
            running: 0,
            arrivals: 0,
            waiting: BTreeMap::new(),
        }
    }

    /// Adds a call; lower ranks go first, equal ranks in order of arrival.
    pub fn push(&mut self, call: Call, rank: u64) {
        self.arrivals += 1;
        self.waiting.insert((rank, self.arrivals), call);
    }

    /// Takes the next call and a slot for it, if there are both.
    pub fn pop(&mut self) -> Option<Call> {
        if self.running >= self.slots {
            return None;
        }
        let (_, call) = self.waiting.pop_first()?;
        self.running += 1;
        Some(call)
    }

    /// Takes a waiting call out; false if it is not waiting.
    pub fn remove(&mut self, call: Call) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|_, waiting| *waiting != call);
        self.waiting.len() < before
    }

    /// Gives a slot back.
    pub fn release_slot(&mut self) {
        self.running -= 1;
    }

    /// Calls with a slot.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Calls without a slot.
    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }
}
