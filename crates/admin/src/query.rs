//! The queries of requests.

use http_types::Request;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use units::Version;

use crate::document::Promoted;
use crate::error::{Error, Result};

/// Reads a request's query; `needs` says in the refusal what it needs.
pub(crate) fn read<T: DeserializeOwned>(request: &Request, needs: &'static str) -> Result<T> {
    request.query().map_err(|_| Error::Malformed(needs))
}

/// The name of an operator, not empty.
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

/// Who makes a change.
#[derive(Deserialize)]
pub(crate) struct Operator {
    pub(crate) author: Author,
}

/// Which versions are listed.
#[derive(Deserialize)]
pub(crate) struct History {
    #[serde(default)]
    pub(crate) after: u64,
}

/// Which audit records are listed.
#[derive(Deserialize)]
pub(crate) struct Audit {
    #[serde(default)]
    pub(crate) since_us: u64,
    pub(crate) after: Option<String>,
}

/// What a document is based on and where it comes from.
#[derive(Deserialize)]
pub(crate) struct Accept {
    pub(crate) base: u64,
    pub(crate) author: Author,
    promoted_from: Option<String>,
    promoted_version: Option<u64>,
    promoted_digest: Option<String>,
}

impl Accept {
    /// Where the document is promoted from: all three parts or none.
    pub(crate) fn promoted(&self) -> Result<Option<Promoted>> {
        let malformed = Error::Malformed("a promotion needs its origin, version and digest");
        let parts = (
            &self.promoted_from,
            self.promoted_version,
            &self.promoted_digest,
        );
        match parts {
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
