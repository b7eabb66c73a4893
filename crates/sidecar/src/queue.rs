//! The queue before the endpoint: calls wait by rank while all slots are taken.
//!
//! A rank may bound how many slots calls of its kind hold, so that short work finds a slot while long
//! work runs; such a call waits without holding up those behind it.

use std::collections::BTreeMap;

use policy::Rank;
use units::Call;

/// Calls that wait for a slot, as a pure state machine.
#[derive(Debug)]
pub struct Queue {
    slots: u32,
    running: u32,
    limited: u32,
    arrivals: u64,
    waiting: BTreeMap<(u64, u64), Call>,
}

/// A slot of the endpoint that a call holds.
#[derive(Debug, PartialEq, Eq)]
pub struct Slot {
    /// The call.
    pub call: Call,
    is_limited: bool,
}

impl Queue {
    /// An empty queue before `slots` slots.
    pub fn new(slots: u32) -> Self {
        Queue {
            slots,
            running: 0,
            limited: 0,
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
    pub fn pop(&mut self) -> Option<Slot> {
        if self.running >= self.slots {
            return None;
        }
        let may_run = |rank: u64| {
            let most = Rank::from_bits(rank).slots_max(self.slots);
            most.is_none_or(|most| self.limited < most)
        };
        let key = *self.waiting.keys().find(|(rank, _)| may_run(*rank))?;
        let call = self.waiting.remove(&key)?;
        let is_limited = Rank::from_bits(key.0).slots_max(self.slots).is_some();
        self.running += 1;
        self.limited += u32::from(is_limited);
        Some(Slot { call, is_limited })
    }

    /// Takes a waiting call out; false if it is not waiting.
    pub fn remove(&mut self, call: Call) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|_, waiting| *waiting != call);
        self.waiting.len() < before
    }

    /// Gives a slot back.
    pub fn finish(&mut self, slot: Slot) {
        self.running -= 1;
        self.limited -= u32::from(slot.is_limited);
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
