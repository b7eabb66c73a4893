//! Decides what finds room.

use units::Bytes;

/// Charges up to this size are ordinary; larger ones leave room for them.
const ORDINARY_MAX: Bytes = Bytes(64 << 10);
/// Share of the memory, in quarters, beyond which no larger charge is granted.
const LARGE_QUARTERS: u64 = 3;

/// There is no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// The size of what a charge is for, which decides how much room it leaves for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Size {
    /// May take all of the memory.
    Ordinary,
    /// Leaves a quarter of the memory for ordinary charges.
    Large,
}

impl Size {
    /// Returns the size of a thing of this many bytes.
    pub fn of(bytes: Bytes) -> Self {
        if bytes > ORDINARY_MAX {
            Size::Large
        } else {
            Size::Ordinary
        }
    }
}

/// The memory that may be held, and what is charged to it.
///
/// The load that this answers: any number of large messages at once, beside ordinary ones. Larger charges
/// are refused while there is still room for ordinary ones. A charge is granted whatever its size if
/// nothing else is charged.
#[derive(Debug)]
pub struct Usage {
    limit: Bytes,
    charged: Bytes,
}

impl Usage {
    /// Returns the usage of `limit` bytes, to which nothing is charged.
    pub fn new(limit: Bytes) -> Self {
        Usage {
            limit,
            charged: Bytes(0),
        }
    }

    /// Returns what is charged.
    pub fn charged(&self) -> Bytes {
        self.charged
    }

    /// Returns how many of the charged bytes have to be released before a charge is granted.
    pub fn shortage(&self, bytes: Bytes, size: Size) -> Bytes {
        let limit = match size {
            Size::Ordinary => self.limit.0,
            Size::Large => self.limit.0 / 4 * LARGE_QUARTERS,
        };
        let excess = (self.charged.0 + bytes.0).saturating_sub(limit);
        Bytes(excess.min(self.charged.0))
    }

    /// Charges `bytes`.
    ///
    /// # Errors
    /// If there is no room; nothing is charged.
    pub fn charge(&mut self, bytes: Bytes, size: Size) -> Result<(), Full> {
        if self.shortage(bytes, size) > Bytes(0) {
            return Err(Full);
        }
        self.charge_anyway(bytes);
        Ok(())
    }

    /// Charges `bytes`, also if there is no room: they are held already, or were promised.
    pub fn charge_anyway(&mut self, bytes: Bytes) {
        self.charged.0 += bytes.0;
    }

    /// Releases charged bytes.
    pub fn release(&mut self, bytes: Bytes) {
        self.charged.0 = self.charged.0.saturating_sub(bytes.0);
    }

    /// Whether more is charged than there is.
    pub fn is_over(&self) -> bool {
        self.charged > self.limit
    }
}
