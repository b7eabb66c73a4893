//! Rows and transactions; values are base64 within JSON.

use std::net::SocketAddr;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use compact_str::CompactString;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use units::{Host, Region, Zone};

/// Bytes, which are base64 where text is written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Value(pub Vec<u8>);

impl Serialize for Value {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.serialize_str(&STANDARD.encode(&self.0))
        } else {
            serializer.serialize_bytes(&self.0)
        }
    }
}

impl<'de> Deserialize<'de> for Value {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if !deserializer.is_human_readable() {
            return Vec::deserialize(deserializer).map(Value);
        }
        let text = String::deserialize(deserializer)?;
        STANDARD
            .decode(text)
            .map(Value)
            .map_err(serde::de::Error::custom)
    }
}

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: CompactString,
    /// Its version, from 1; a missing row has version 0.
    pub version: u64,
    /// Its value.
    pub value: Value,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// The row's key.
    pub key: CompactString,
    /// The version that it must have; 0 if it must not exist.
    pub version: u64,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The row's key.
    pub key: CompactString,
    /// The new value; `None` deletes the row.
    pub value: Option<Value>,
}

/// Conditions and the writes that happen together if all of them hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// The conditions.
    pub checks: Vec<Check>,
    /// The writes.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Requires `key` to have `version`.
    pub fn with_check(mut self, key: &str, version: u64) -> Self {
        self.checks.push(Check {
            key: key.into(),
            version,
        });
        self
    }

    /// Writes `value` to `key`.
    pub fn with_write(mut self, key: &str, value: Vec<u8>) -> Self {
        self.writes.push(Write {
            key: key.into(),
            value: Some(Value(value)),
        });
        self
    }

    /// Deletes `key`.
    pub fn with_delete(mut self, key: &str) -> Self {
        self.writes.push(Write {
            key: key.into(),
            value: None,
        });
        self
    }
}

/// What a listed host runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostRole {
    /// An entry.
    Entry,
    /// A sidecar.
    Sidecar,
}

/// A host of the platform's list, which lags behind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostInfo {
    /// Its name.
    pub host: Host,
    /// What it runs.
    pub role: HostRole,
    /// The address for balsamhold's own processes.
    pub address: SocketAddr,
    /// Its region.
    pub region: Region,
    /// Its availability zone.
    pub zone: Zone,
    /// Whether the platform is about to take it away.
    pub leaving: bool,
}
