//! Decoding of the values of rows.

use compact_str::ToCompactString;
use serde::de::DeserializeOwned;

use crate::error::{Error, Result};

/// Decodes a value; returns it with its length in bytes, as later releases may append to it.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, usize)> {
    bincode::serde::decode_from_slice(bytes, bincode::config::standard())
        .map_err(|error| Error::Decode(error.to_compact_string()))
}
