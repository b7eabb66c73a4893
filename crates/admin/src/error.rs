//! Errors of the administration API, with HTTP status, code and JSON.

use std::fmt;

use compact_str::CompactString;
use serde_json::{Value, json};
use similar::TextDiff;
use units::Version;

/// Why an operator's request was refused or failed.
#[derive(Debug)]
pub enum Error {
    /// The request's token is missing or unknown.
    Unauthorized,
    /// The role of the token does not permit the operation.
    Forbidden,
    /// The path, or the program, host or version that it names, does not exist.
    NotFound,
    /// The document is not valid.
    Document(settings::Error),
    /// The document is for the environment of this name, not for that of the process.
    Environment(CompactString),
    /// The change is not based on the current version of the document.
    Stale(Stale),
    /// The query or the body of the request is malformed; holds what is wrong or needed.
    Malformed(&'static str),
    /// The process is stopping, so the request was not carried out completely.
    Stopping,
    /// Other requests take all the memory that they may; the request was not carried out.
    Overloaded,
    /// A row of the store cannot be decoded.
    Corrupt,
    /// The platform's store gave no usable answer.
    Platform(store::Error),
}

/// Details of [`Error::Stale`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stale {
    /// Current version of the document; 0 if there is none.
    pub version: Version,
    /// Unified diff from the current document to the submitted one.
    pub diff: String,
}

impl Stale {
    /// Builds the details for a `submitted` text, with `current` as the text of `version`.
    pub(crate) fn new(version: Version, current: &str, submitted: &str) -> Self {
        let diff = TextDiff::from_lines(current, submitted)
            .unified_diff()
            .header(&format!("version {version}"), "offered")
            .to_string();
        Stale { version, diff }
    }
}

impl Error {
    /// Returns the HTTP status of the response.
    pub fn status(&self) -> u16 {
        match self {
            Error::Unauthorized => 401,
            Error::Forbidden => 403,
            Error::NotFound => 404,
            Error::Document(_) | Error::Environment(_) => 422,
            Error::Stale(_) => 409,
            Error::Malformed(_) => 400,
            Error::Corrupt => 500,
            Error::Stopping | Error::Overloaded | Error::Platform(_) => 503,
        }
    }

    /// Returns the code of the error in responses; codes are stable for operators' tools.
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
            Error::Overloaded => "overloaded",
            Error::Corrupt => "corrupt-row",
            Error::Platform(_) => "store-unavailable",
        }
    }

    /// Returns whether the request changed anything: `no`, or `unknown` if the response of the store
    /// to a write was lost.
    pub fn changed(&self) -> &'static str {
        match self {
            Error::Platform(error) if error.is_uncertain() => "unknown",
            _ => "no",
        }
    }

    /// Returns the JSON body of the response.
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
            Error::Overloaded => f.write_str("other requests take all the memory that they may"),
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

/// Result of an operator's request or of a part of it.
pub type Result<T> = std::result::Result<T, Error>;
