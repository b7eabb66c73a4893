//! What is charged to a limiter.

use std::sync::Arc;

use units::Bytes;

use crate::limiter::Limiter;
use crate::usage::{Full, Size};

/// Memory that is charged to a limiter until this is dropped.
#[derive(Debug)]
pub struct Charge {
    limiter: Arc<Limiter>,
    bytes: Bytes,
}

impl Charge {
    pub(crate) fn new(limiter: Arc<Limiter>, bytes: Bytes) -> Self {
        Charge { limiter, bytes }
    }

    /// Returns what is charged.
    pub fn bytes(&self) -> Bytes {
        self.bytes
    }

    /// Changes the charge to `bytes`, for something of this size.
    ///
    /// # Errors
    /// If there is no room for a larger charge; the charge stays as it is.
    pub fn resize(&mut self, bytes: Bytes, size: Size) -> Result<(), Full> {
        if bytes > self.bytes {
            self.limiter.grow(Bytes(bytes.0 - self.bytes.0), size)?;
        } else if bytes < self.bytes {
            self.limiter.release(Bytes(self.bytes.0 - bytes.0));
        }
        self.bytes = bytes;
        Ok(())
    }

    /// Like [`Charge::resize`], also if there is no room.
    pub fn resize_anyway(&mut self, bytes: Bytes) {
        if bytes > self.bytes {
            self.limiter.grow_anyway(Bytes(bytes.0 - self.bytes.0));
        } else if bytes < self.bytes {
            self.limiter.release(Bytes(self.bytes.0 - bytes.0));
        }
        self.bytes = bytes;
    }

    /// Ends the charge.
    pub fn close(self) {}
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.limiter.release(self.bytes);
    }
}

/// Bytes with the charge for them.
struct Held<C> {
    bytes: bytes::Bytes,
    _charge: C,
}

impl<C> AsRef<[u8]> for Held<C> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Attaches a charge, or one that is shared, to the bytes that it is for: it ends with the last copy or
/// slice of them.
pub fn hold<C: Send + 'static>(bytes: bytes::Bytes, charge: C) -> bytes::Bytes {
    bytes::Bytes::from_owner(Held {
        bytes,
        _charge: charge,
    })
}
