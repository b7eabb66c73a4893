use std::fmt;

use compact_str::CompactString;

/// Result of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Why the accounts of an environment cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// Two accounts have the same name.
    DuplicateAccount(CompactString),
    /// Two accounts hold the same key.
    SharedKey(CompactString, CompactString),
    /// A limit is negative or not a number.
    Limit(CompactString),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::DuplicateAccount(name) => write!(f, "client account {name} is listed twice"),
            Error::SharedKey(first, second) => {
                write!(f, "client accounts {first} and {second} hold the same key")
            }
            Error::Limit(name) => write!(
                f,
                "the limit of client account {name} is negative or not a number"
            ),
        }
    }
}

impl std::error::Error for Error {}
