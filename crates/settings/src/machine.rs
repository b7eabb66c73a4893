//! What the machine has that a process runs on.

use std::ops::RangeInclusive;

use units::Bytes;

use crate::error::Result;
use crate::reader::Section;

/// What the machine has that a process runs on; the one who starts the process knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Memory.
    pub memory: Bytes,
    /// Descriptors that the process may open.
    pub descriptors: usize,
    /// Processor time in thousandths of a core; 0 if unknown.
    pub processor: u32,
}

impl Machine {
    /// Bounds of the memory: less does not hold the process, more is a mistake.
    pub const MEMORY: RangeInclusive<Bytes> = Bytes(32 << 20)..=Bytes(1_000_000 << 20);
    /// Bounds of the descriptors.
    pub const DESCRIPTORS: RangeInclusive<usize> = 256..=10_000_000;

    /// Parses and checks the section `[machine]`.
    pub(crate) fn read(section: Option<Section<'_>>) -> Result<Self> {
        let default = Machine::default();
        let Some(section) = section else {
            return Ok(default);
        };
        let memory =
            section.get_in_range("memory", "32m to 1000000m", default.memory, Self::MEMORY)?;
        let descriptors = section.get_in_range(
            "descriptors",
            "256 to 10000000",
            default.descriptors,
            Self::DESCRIPTORS,
        )?;
        section.check_unknown_keys()?;
        Ok(Machine {
            memory,
            descriptors,
            ..default
        })
    }

    /// Lowers the descriptors to what the process may open.
    pub fn with_descriptors_max(mut self, descriptors_max: usize) -> Self {
        self.descriptors = self.descriptors.min(descriptors_max);
        self
    }
}

impl Default for Machine {
    /// The smallest machine in use.
    fn default() -> Self {
        Machine {
            memory: Bytes(88 << 20),
            descriptors: 4_096,
            processor: 0,
        }
    }
}
