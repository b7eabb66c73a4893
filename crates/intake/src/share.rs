//! The shares of a process's limits.

use units::Bytes;

use crate::ledger::Limits;

/// Largest number of connections of operators and of what scrapes the status.
const OPERATOR_CONNECTIONS_MAX: usize = 64;

/// The clients of a port, which decide the port's share of the limits of its process: a crowd on one
/// port leaves the shares of the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Clients {
    /// Callers. Each may need a descriptor to an endpoint as well.
    Callers,
    /// Own processes, which keep a connection for a long time.
    Peers,
    /// Operators, load balancers and collectors of metrics.
    Operators,
}

impl Clients {
    /// Returns the limits of a port in a process with `memory` that may open this many `descriptors`.
    pub fn limits(self, memory: Bytes, descriptors: usize) -> Limits {
        let (memory_divisor, connections) = match self {
            Clients::Callers => (4, descriptors / 2),
            Clients::Peers => (8, descriptors / 8),
            Clients::Operators => (16, (descriptors / 16).min(OPERATOR_CONNECTIONS_MAX)),
        };
        Limits {
            memory: Bytes(memory.0 / memory_divisor),
            connections,
        }
    }
}
