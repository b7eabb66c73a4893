//! Sizes and rates.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{Error, Result};

macro_rules! quantity {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The sum, or the largest value if it would overflow.
            pub fn plus(self, other: Self) -> Self {
                $name(self.0.saturating_add(other.0))
            }

            /// The difference, or zero if `other` is larger.
            pub fn minus(self, other: Self) -> Self {
                $name(self.0.saturating_sub(other.0))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

quantity! {
    /// A number of model tokens.
    Tokens
}
quantity! {
    /// A number of calls.
    Calls
}
quantity! {
    /// A size in bytes; parsed with an optional suffix `k`, `m` or `g` (powers of 1024).
    Bytes
}

impl FromStr for Tokens {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        text.parse().map(Tokens).map_err(|_| Error::Number)
    }
}

impl FromStr for Calls {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        text.parse().map(Calls).map_err(|_| Error::Number)
    }
}

impl FromStr for Bytes {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
        let scale: u64 = match &text[digits.len()..] {
            "" => 1,
            "k" => 1 << 10,
            "m" => 1 << 20,
            "g" => 1 << 30,
            _ => return Err(Error::Unit),
        };
        let number: u64 = digits.parse().map_err(|_| Error::Number)?;
        number.checked_mul(scale).map(Bytes).ok_or(Error::Number)
    }
}

/// A rate per second, a share, or a factor; finite and not negative when parsed.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Rate(pub f64);

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Rate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let rate: f64 = text.parse().map_err(|_| Error::Number)?;
        if rate.is_finite() && rate >= 0.0 {
            Ok(Rate(rate))
        } else {
            Err(Error::Number)
        }
    }
}
