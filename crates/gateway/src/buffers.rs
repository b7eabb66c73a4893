//! Memory for the parts of endpoints' answers that a host has to hold back.
//!
//! The limit of a single answer does not bound a host: an endpoint that sends bytes without end does so
//! on all of its connections at once, and callers that do not read keep theirs. So the answers share one
//! limit. The beginning of an answer, and the buffers of its connections, are reserved when its request
//! is accepted, so that ordinary answers are never refused because of others.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use memory::{Charge, Full, Limiter, Size};
use units::Bytes;

/// Bytes of each answer that do not count for the limit.
const BEGINNING_MAX_BYTES: usize = 64 << 10;
/// Most bytes that all answers together may hold beyond those: a fifth of the smallest host's memory.
const TOTAL_MAX_BYTES: usize = 16 << 20;

/// Memory that is in use for answers of endpoints.
#[derive(Clone, Debug)]
pub struct Buffers {
    limiter: Arc<Limiter>,
    used: Arc<AtomicUsize>,
}

/// The part of one answer; ends when this is dropped.
#[derive(Debug)]
pub struct Buffer {
    used: Arc<AtomicUsize>,
    /// What is held beyond the beginning.
    charge: Charge,
}

impl Buffers {
    /// Returns buffers that charge their memory to `limiter`.
    pub fn new(limiter: Arc<Limiter>) -> Self {
        Buffers {
            limiter,
            used: Arc::default(),
        }
    }

    /// Reserves the memory for the beginning of an answer.
    ///
    /// # Errors
    /// If there is no room; the request must not be sent.
    pub fn reserve(&self) -> Result<Charge, Full> {
        let bytes = Bytes(BEGINNING_MAX_BYTES as u64);
        self.limiter.charge_sized(bytes, Size::Ordinary)
    }

    /// Returns the buffer of an answer that has not begun.
    pub fn open(&self) -> Buffer {
        Buffer {
            used: self.used.clone(),
            charge: self.limiter.charge_anyway(Bytes(0)),
        }
    }
}

impl Buffer {
    /// Records that the answer holds this many bytes; returns whether it may.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let before = self.charge.bytes().0 as usize;
        let counted = bytes.saturating_sub(BEGINNING_MAX_BYTES);
        if counted > before {
            let others = self.used.load(Ordering::Acquire) - before;
            if others + counted > TOTAL_MAX_BYTES {
                return false;
            }
        }
        if counted == before {
            return true;
        }
        if self
            .charge
            .resize(Bytes(counted as u64), Size::Large)
            .is_err()
        {
            return false;
        }
        self.used.fetch_add(counted, Ordering::AcqRel);
        self.used.fetch_sub(before, Ordering::AcqRel);
        true
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        let counted = self.charge.bytes().0 as usize;
        self.used.fetch_sub(counted, Ordering::AcqRel);
    }
}
