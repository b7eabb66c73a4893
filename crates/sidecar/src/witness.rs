//! Tails of program histories that this sidecar holds while the platform's store is unavailable.
//!
//! This is a retransmission buffer, not a store. Once the turns of a tail are in the program's log,
//! the entry reports this by a `Committed` frame and the tail is dropped. After a takeover, the new
//! owner of a program collects the program's tail. A tail that does not fit is refused.

use std::collections::HashMap;

use units::{Bytes, Incarnation, Program};
use wire::Tail;

/// Buffer of tails, at most one per program.
#[derive(Debug)]
pub struct Witness {
    tails: HashMap<Program, Tail>,
    held_bytes: u64,
    capacity: Bytes,
}

impl Witness {
    /// Creates an empty buffer for at most `capacity` of encoded turns.
    pub fn new(capacity: Bytes) -> Self {
        Witness {
            tails: HashMap::new(),
            held_bytes: 0,
            capacity,
        }
    }

    /// Holds a tail in place of the program's earlier one. Returns false if there is no room.
    pub fn hold(&mut self, tail: Tail) -> bool {
        let freed_bytes = self.tails.get(&tail.program).map_or(0, size_bytes);
        let held_bytes = self.held_bytes - freed_bytes + size_bytes(&tail);
        if held_bytes > self.capacity.0 {
            return false;
        }
        self.held_bytes = held_bytes;
        self.tails.insert(tail.program, tail);
        true
    }

    /// Returns the tails of programs whose log is written by one of these writers.
    pub fn collect(&self, writers: &[Incarnation]) -> Vec<Tail> {
        let tails = self.tails.values();
        tails
            .filter(|tail| writers.contains(&tail.writer))
            .cloned()
            .collect()
    }

    /// Drops the tails of these programs.
    pub fn drop_tails(&mut self, programs: &[Program]) {
        for program in programs {
            if let Some(tail) = self.tails.remove(program) {
                self.held_bytes -= size_bytes(&tail);
            }
        }
    }

    /// Returns the total size of the tails held.
    pub fn held(&self) -> Bytes {
        Bytes(self.held_bytes)
    }
}

fn size_bytes(tail: &Tail) -> u64 {
    tail.turns.len() as u64
}
