//! Identifiers of processes, programs and calls, and positions in logs and programs.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{Error, Result};

macro_rules! number {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The value after this one.
            pub fn next(self) -> Self {
                $name(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                text.parse().map($name).map_err(|_| Error::Number)
            }
        }
    };
}

number! {
    /// Position of a call in its program; the first call is 1.
    Seq
}
number! {
    /// Position of a batch in a writer's log; the first batch is 0.
    Slot
}
number! {
    /// Version of an environment document; the first accepted document is 1.
    Version
}

/// Identifier of one start of a process, drawn at random at the start and never reused.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Draws a new incarnation.
    pub fn random(rng: &mut impl rand::Rng) -> Self {
        Incarnation(rng.random())
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

impl FromStr for Incarnation {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        if text.len() != 16 {
            return Err(Error::Number);
        }
        u64::from_str_radix(text, 16)
            .map(Incarnation)
            .map_err(|_| Error::Number)
    }
}

/// Identifier of a program: the log writer that created it and a number unique to that writer.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Program {
    /// The log writer that created the program.
    pub origin: Incarnation,
    /// The program's number, unique to that writer.
    pub number: u64,
}

impl fmt::Display for Program {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.origin, self.number)
    }
}

impl fmt::Debug for Program {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

impl FromStr for Program {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let (origin, number) = text.split_once('-').ok_or(Error::Number)?;
        Ok(Program {
            origin: origin.parse()?,
            number: number.parse().map_err(|_| Error::Number)?,
        })
    }
}

/// Identifier of one dispatch of one call: the idempotency key at sidecars and endpoints.
///
/// Each dispatch of a program has an attempt number of its own. An idempotent call may have several
/// dispatches, as hedges and retries. A non-idempotent call is dispatched again only after its
/// previous dispatch was proved not to have run.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Call {
    /// Program that makes the call.
    pub program: Program,
    /// The call's position in the program.
    pub seq: Seq,
    /// Number of the dispatch, unique within the program.
    pub attempt: u32,
}

impl fmt::Display for Call {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.program, self.seq, self.attempt)
    }
}

impl fmt::Debug for Call {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

impl FromStr for Call {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let mut parts = text.splitn(3, '.');
        let mut part = || parts.next().ok_or(Error::Number);
        Ok(Call {
            program: part()?.parse()?,
            seq: part()?.parse()?,
            attempt: part()?.parse().map_err(|_| Error::Number)?,
        })
    }
}
