//! Content digests.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::{Error, Result};

/// A 256-bit blake3 digest, written as hexadecimal in text formats and as 32 bytes in binary ones.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Digest([u8; 32]);

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = CompactString::deserialize(deserializer)?;
            text.parse().map_err(serde::de::Error::custom)
        } else {
            <[u8; 32]>::deserialize(deserializer).map(Digest)
        }
    }
}

impl Digest {
    /// The digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Digest(*blake3::hash(bytes).as_bytes())
    }

    /// The digest of `previous` followed by `bytes`: one link of a hash chain.
    pub fn chain(previous: Digest, bytes: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&previous.0);
        hasher.update(bytes);
        Digest(*hasher.finalize().as_bytes())
    }

    /// The digest of `bytes` keyed with a secret: a message authentication code.
    pub fn keyed(key: &[u8; 32], bytes: &[u8]) -> Self {
        Digest(*blake3::keyed_hash(key, bytes).as_bytes())
    }

    /// The 32 bytes of the digest, which may serve as a key.
    pub fn bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// Whether both digests are equal, compared in constant time.
    pub fn matches(&self, other: &Digest) -> bool {
        blake3::Hash::from_bytes(self.0) == blake3::Hash::from_bytes(other.0)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

impl FromStr for Digest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let hash = blake3::Hash::from_hex(text).map_err(|_| Error::Number)?;
        Ok(Digest(*hash.as_bytes()))
    }
}
