//! Names that operators assign in settings and in the environment document.

use std::borrow::Borrow;
use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{Error, Result};

const NAME_MAX_BYTES: usize = 64;

fn validate(text: &str) -> Result<()> {
    if text.is_empty() {
        return Err(Error::Empty);
    }
    if text.len() > NAME_MAX_BYTES {
        return Err(Error::TooLong);
    }
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    if text.chars().all(allowed) {
        Ok(())
    } else {
        Err(Error::Character)
    }
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "CompactString", into = "CompactString")]
        pub struct $name(CompactString);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                validate(text)?;
                Ok($name(CompactString::new(text)))
            }
        }

        impl TryFrom<CompactString> for $name {
            type Error = Error;

            fn try_from(text: CompactString) -> Result<Self> {
                validate(&text)?;
                Ok($name(text))
            }
        }

        impl From<$name> for CompactString {
            fn from(name: $name) -> Self {
                name.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

name! {
    /// Name of a client account.
    Account
}
name! {
    /// Name of a class of programs, which sets their precedence and objective.
    Class
}
name! {
    /// Name of an endpoint: one instance of a model engine or a plain service.
    Endpoint
}
name! {
    /// Name of a host.
    Host
}
name! {
    /// Name of a model that endpoints serve.
    Model
}
name! {
    /// Name of a region.
    Region
}
name! {
    /// Name of the model or service that a call addresses.
    Target
}
name! {
    /// Name of an availability zone.
    Zone
}
