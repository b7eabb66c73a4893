//! Tails of histories that this sidecar holds while the platform's store is down.
//!
//! This is a retransmission buffer, not a store: an entry that recovers records its tails and has them
//! dropped; after a takeover the new owner collects them. It is bounded, and full means that more is
//! refused.

use std::collections::HashMap;

use units::{Bytes, Incarnation, Program};
use wire::Tail;

/// The tails held, by program.
#[derive(Debug)]
pub struct Witness {
    tails: HashMap<Program, Tail>,
    held: u64,
    max: Bytes,
}

impl Witness {
    /// Holds at most `max`.
    pub fn new(max: Bytes) -> Self {
        Witness {
            tails: HashMap::new(),
            held: 0,
            max,
        }
    }

    /// Holds a tail in place of the program's earlier one; false if there is no room.
    pub fn hold(&mut self, tail: Tail) -> bool {
        let freed = self.tails.get(&tail.program).map_or(0, size);
        let held = self.held - freed + size(&tail);
        if held > self.max.0 {
            return false;
        }
        self.held = held;
        self.tails.insert(tail.program, tail);
        true
    }

    /// The tails of programs in the logs of these writers.
    pub fn collect(&self, writers: &[Incarnation]) -> Vec<Tail> {
        let tails = self.tails.values();
        tails
            .filter(|tail| writers.contains(&tail.writer))
            .cloned()
            .collect()
    }

    /// Drops the tails of these programs.
    pub fn drop_all(&mut self, programs: &[Program]) {
        for program in programs {
            if let Some(tail) = self.tails.remove(program) {
                self.held -= size(&tail);
            }
        }
    }

    /// Bytes held.
    pub fn held(&self) -> Bytes {
        Bytes(self.held)
    }
}

fn size(tail: &Tail) -> u64 {
    tail.turns.len() as u64
}
