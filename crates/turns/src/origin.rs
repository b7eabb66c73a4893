//! Where streams began.
//!
//! Releases of an endpoint's software write streams that do not fit together, and endpoints do not
//! check this. A stream may therefore be resumed only at the release that began it, by the program
//! that it belongs to. Without the row of a stream, its release is unknown, and it must not be
//! resumed: a row may be missing, but a row that is there is right, as it never changes.

use compact_str::{CompactString, ToCompactString};
use serde::{Deserialize, Serialize};
use store::api::Row;

use crate::error::{Error, Result};
use crate::key::StreamKey;

/// Where a stream began: the value of its row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// Service of the endpoint that began the stream.
    pub service: CompactString,
    /// Release of the endpoint's software.
    pub release: CompactString,
    /// Name of the program that the stream belongs to, with its owner; empty for none.
    pub program: CompactString,
    /// Identifier of the endpoint that began the stream; empty in rows of older releases.
    pub endpoint: CompactString,
}

/// An origin as older releases write it.
#[derive(Deserialize)]
struct OldOrigin {
    service: CompactString,
    release: CompactString,
    program: CompactString,
}

impl From<OldOrigin> for Origin {
    fn from(old: OldOrigin) -> Self {
        Origin {
            service: old.service,
            release: old.release,
            program: old.program,
            endpoint: CompactString::default(),
        }
    }
}

impl Origin {
    /// Returns the release at which a request of `program` that is routed to `service` may resume the
    /// stream; `None` if it must not resume it.
    pub fn release_for(&self, service: &str, program: &str) -> Option<&CompactString> {
        (self.service == service && self.program == program).then_some(&self.release)
    }

    /// Encodes the origin as the value of its row. The row of a stream is always written with the same
    /// content, so a write needs no condition.
    ///
    /// # Errors
    /// If the origin cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>> {
        bincode::serde::encode_to_vec(self, bincode::config::standard())
            .map_err(|error| Error::Decode(error.to_compact_string()))
    }

    /// Decodes the row of a stream from the rows that were read; `None` if it is not among them.
    ///
    /// # Errors
    /// If the row cannot be decoded.
    pub fn from_rows(key: &StreamKey, rows: &[Row]) -> Result<Option<Self>> {
        let Some(row) = rows.iter().find(|row| row.key == key.key) else {
            return Ok(None);
        };
        let config = bincode::config::standard();
        let decoded = bincode::serde::decode_from_slice::<Origin, _>(&row.value.0, config);
        let decoded = decoded.map(|(origin, _)| origin).or_else(|_| {
            let old = bincode::serde::decode_from_slice::<OldOrigin, _>(&row.value.0, config);
            old.map(|(origin, _)| origin.into())
        });
        decoded
            .map(Some)
            .map_err(|error| Error::Decode(error.to_compact_string()))
    }
}
