//! Why an operator's request is refused.

use std::fmt;

use compact_str::CompactString;
use serde_json::{Value, json};
use similar::TextDiff;
use units::Version;

/// Why an operator's request is refused.
#[derive(Debug)]
pub enum Error {
    /// The token is missing or unknown.
    Unauthorized,
    /// The token's role may not do this.
    Forbidden,
    /// There is no such thing.
    NotFound,
    /// The document is not acceptable.
    Document(settings::Error),
    /// The document is for this environment, not the one addressed.
    Environment(CompactString),
    /// The document was changed meanwhile.
    Stale(Stale),
    /// The request is malformed.
    Malformed(&'static str),
    /// The process is stopping.
    Stopping,
    /// A row of the platform's table cannot be read.
    Corrupt,
    /// The platform's service gave no usable answer.
    Platform(store::Error),
}

/// Another version is in force than the one that a change is based on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stale {
    /// The version in force; 0 if there is none.
    pub version: Version,
    /// The lines in which the offered document differs from the one in force.
    pub diff: String,
}

impl Stale {
    /// The refusal of an `offered` text where `current` is in force as `version`.
    pub(crate) fn new(version: Version, current: &str, offered: &str) -> Self {
        let diff = TextDiff::from_lines(current, offered)
            .unified_diff()
            .header(&format!("version {version}"), "offered")
            .to_string();
        Stale { version, diff }
    }
}

impl Error {
    /// The HTTP status.
    pub fn status(&self) -> u16 {
        match self {
            Error::Unauthorized => 401,
            Error::Forbidden => 403,
            Error::NotFound => 404,
            Error::Document(_) | Error::Environment(_) => 422,
            Error::Stale(_) => 409,
            Error::Malformed(_) => 400,
            Error::Corrupt => 500,
            Error::Stopping | Error::Platform(_) => 503,
        }
    }

    /// The stable name of the error.
    pub fn code(&self) -> &'static str {
        match self {
            Error::Unauthorized => "unauthorized",
            Error::Forbidden => "forbidden",
            Error::NotFound => "not-found",
            Error::Document(_) => "invalid-document",
            Error::Environment(_) => "other-environment",
            Error::Stale(_) => "stale-version",
            Error::Malformed(_) => "malformed",
            Error::Stopping => "stopping",
            Error::Corrupt => "corrupt-row",
            Error::Platform(_) => "store-unavailable",
        }
    }

    /// Whether the request changed anything: `no`, or `unknown` if the store's answer was lost.
    pub fn changed(&self) -> &'static str {
        match self {
            Error::Platform(error) if error.is_uncertain() => "unknown",
            _ => "no",
        }
    }

    /// The error as JSON.
    pub fn json(&self) -> Value {
        let mut value = json!({
            "code": self.code(), "changed": self.changed(), "message": self.to_string(),
        });
        if let Error::Stale(stale) = self {
            value["version"] = json!(stale.version);
            value["diff"] = json!(stale.diff);
        }
        value
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Unauthorized => f.write_str("the token is missing or unknown"),
            Error::Forbidden => f.write_str("the token's role may not do this"),
            Error::NotFound => f.write_str("there is no such thing"),
            Error::Document(error) => error.fmt(f),
            Error::Environment(name) => write!(f, "the document is for environment {name}"),
            Error::Stale(stale) => write!(f, "version {} is in force", stale.version),
            Error::Malformed(what) => write!(f, "malformed request: {what}"),
            Error::Stopping => f.write_str("the process is stopping"),
            Error::Corrupt => f.write_str("a row of the platform's table cannot be read"),
            Error::Platform(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for Error {}

impl From<store::Error> for Error {
    fn from(error: store::Error) -> Self {
        Error::Platform(error)
    }
}

/// Result of an operator's request.
pub type Result<T> = std::result::Result<T, Error>;
