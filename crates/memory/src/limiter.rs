//! The limit of a process.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak};

use units::Bytes;

use crate::charge::Charge;
use crate::usage::{Full, Size, Usage};

/// Share of a machine's memory, in eighths, for what its process holds. The remainder is for connections
/// and for the process itself.
const MACHINE_EIGHTHS: u64 = 3;

/// What is held only because it may be needed again, and so gives way to everything else.
pub trait Cache: Send + Sync {
    /// Evicts the oldest entries, of `bytes` in sum if there are as many. Returns whether any was
    /// evicted; one that is in use elsewhere keeps its memory.
    fn evict(&self, bytes: Bytes) -> bool;
}

/// The memory of a process, and what is charged of it.
pub struct Limiter {
    usage: Mutex<Usage>,
    cache: OnceLock<Weak<dyn Cache>>,
}

impl fmt::Debug for Limiter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Limiter")
            .field("usage", &*self.usage())
            .finish_non_exhaustive()
    }
}

impl Limiter {
    /// Creates a limiter of `limit` bytes, to which nothing is charged.
    pub fn new(limit: Bytes) -> Self {
        Limiter {
            usage: Mutex::new(Usage::new(limit)),
            cache: OnceLock::new(),
        }
    }

    /// Creates the limiter of a process on a machine with this much memory.
    pub fn of_machine(memory: Bytes) -> Self {
        Limiter::new(Bytes(memory.0 / 8 * MACHINE_EIGHTHS))
    }

    /// Has `cache` give way when there is no room. The first one counts.
    pub fn set_cache(&self, cache: Weak<dyn Cache>) {
        // A later cache would not be asked.
        let _ = self.cache.set(cache);
    }

    /// Charges memory for something of `bytes`.
    ///
    /// # Errors
    /// If there is no room, even without the cache.
    pub fn charge(self: &Arc<Self>, bytes: Bytes) -> Result<Charge, Full> {
        self.charge_sized(bytes, Size::of(bytes))
    }

    /// Charges `bytes` for a part of something of this size.
    ///
    /// # Errors
    /// If there is no room, even without the cache.
    pub fn charge_sized(self: &Arc<Self>, bytes: Bytes, size: Size) -> Result<Charge, Full> {
        self.grow(bytes, size)?;
        Ok(Charge::new(self.clone(), bytes))
    }

    /// Charges memory that is held already, or was promised, also if there is no room.
    pub fn charge_anyway(self: &Arc<Self>, bytes: Bytes) -> Charge {
        self.usage().charge_anyway(bytes);
        Charge::new(self.clone(), bytes)
    }

    /// Returns what is charged.
    pub fn charged(&self) -> Bytes {
        self.usage().charged()
    }

    /// Whether more is charged than there is.
    pub fn is_over(&self) -> bool {
        self.usage().is_over()
    }

    /// Charges `bytes` more for something of this size.
    pub(crate) fn grow(&self, bytes: Bytes, size: Size) -> Result<(), Full> {
        loop {
            let shortage = {
                let mut usage = self.usage();
                if usage.charge(bytes, size).is_ok() {
                    return Ok(());
                }
                usage.shortage(bytes, size)
            };
            // Evicted entries release their charges, so the limiter is not locked here.
            let cache = self.cache.get().and_then(Weak::upgrade);
            if !cache.is_some_and(|cache| cache.evict(shortage)) {
                return Err(Full);
            }
        }
    }

    pub(crate) fn grow_anyway(&self, bytes: Bytes) {
        self.usage().charge_anyway(bytes);
    }

    pub(crate) fn release(&self, bytes: Bytes) {
        self.usage().release(bytes);
    }

    fn usage(&self) -> MutexGuard<'_, Usage> {
        self.usage.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
