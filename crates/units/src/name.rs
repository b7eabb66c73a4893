//! Names given by operators.

use std::borrow::Borrow;
use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{Error, Result};

const NAME_MAX_BYTES: usize = 64;

fn check(text: &str) -> Result<()> {
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
                check(text)?;
                Ok($name(CompactString::new(text)))
            }
        }

        impl TryFrom<CompactString> for $name {
            type Error = Error;

            fn try_from(text: CompactString) -> Result<Self> {
                check(&text)?;
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
    /// A caller's account.
    Account
}
name! {
    /// A class of programs with its own precedence.
    Class
}
name! {
    /// A back end: a model engine or a plain service, one instance.
    Endpoint
}
name! {
    /// A host.
    Host
}
name! {
    /// A model served by some endpoints.
    Model
}
name! {
    /// A region.
    Region
}
name! {
    /// What a call addresses: the name of a model or of a service.
    Target
}
name! {
    /// An availability zone.
    Zone
}
