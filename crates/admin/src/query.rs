//! Parses the query parameters of requests.

use http_types::Request;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use units::Version;

use crate::document::Promoted;
use crate::error::{Error, Result};

/// Parses a request's query; `needs` describes the required parameters in the error.
pub(crate) fn read<T: DeserializeOwned>(request: &Request, needs: &'static str) -> Result<T> {
    request.query().map_err(|_| Error::Malformed(needs))
}

/// Name of an operator, not empty.
#[derive(Deserialize)]
#[serde(try_from = "String")]
pub(crate) struct Author(pub(crate) String);

impl TryFrom<String> for Author {
    type Error = units::Error;

    fn try_from(name: String) -> units::Result<Self> {
        if name.trim().is_empty() {
            return Err(units::Error::Empty);
        }
        Ok(Author(name))
    }
}

/// Query of a request that changes something: the operator who makes the change.
#[derive(Deserialize)]
pub(crate) struct Operator {
    pub(crate) author: Author,
}

/// Query of the document history: the version after which the list starts.
#[derive(Deserialize)]
pub(crate) struct History {
    #[serde(default)]
    pub(crate) after: u64,
}

/// Query of the audit records: the time or key at which the page starts.
#[derive(Deserialize)]
pub(crate) struct Audit {
    #[serde(default)]
    pub(crate) since_us: u64,
    pub(crate) after: Option<String>,
}

/// Query of a submitted document: its base version, its author and, if promoted, its origin.
#[derive(Deserialize)]
pub(crate) struct Accept {
    pub(crate) base: u64,
    pub(crate) author: Author,
    promoted_from: Option<String>,
    promoted_version: Option<u64>,
    promoted_digest: Option<String>,
}

impl Accept {
    /// Returns the origin of a promoted document; fails if only some of its parameters are given.
    pub(crate) fn promoted(&self) -> Result<Option<Promoted>> {
        let malformed = Error::Malformed("a promotion needs its origin, version and digest");
        let origin = (
            &self.promoted_from,
            self.promoted_version,
            &self.promoted_digest,
        );
        match origin {
            (None, None, None) => Ok(None),
            (Some(from), Some(version), Some(digest)) => Ok(Some(Promoted {
                environment: from.clone(),
                version: Version(version),
                digest: digest.parse().map_err(|_| malformed)?,
            })),
            _ => Err(malformed),
        }
    }
}
