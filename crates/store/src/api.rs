//! Rows, transactions and hosts in their serialized form, with values as base64 in JSON.

use std::net::SocketAddr;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use compact_str::CompactString;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use units::{Host, Region, Zone};

/// Bytes, which are base64 in text formats such as JSON.
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
    /// Key of the row, unique within its partition.
    pub key: CompactString,
    /// Version of the row's last write, from 1; a missing row has version 0.
    pub version: u64,
    /// Value of the row.
    pub value: Value,
}

/// A condition of a transaction on the version of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// The row's key.
    pub key: CompactString,
    /// The version that the row must have; 0 if the row must not exist.
    pub version: u64,
}

/// A write of a transaction to a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The row's key.
    pub key: CompactString,
    /// The new value; `None` deletes the row.
    pub value: Option<Value>,
}

/// Conditions, and writes that take effect together if all conditions hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// The conditions, all of which must hold; may be empty.
    pub checks: Vec<Check>,
    /// The writes, none of which takes effect if a condition fails.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds the condition that the row `key` has `version`.
    pub fn with_check(mut self, key: &str, version: u64) -> Self {
        self.checks.push(Check {
            key: key.into(),
            version,
        });
        self
    }

    /// Adds a write of `value` to the row `key`.
    pub fn with_write(mut self, key: &str, value: Vec<u8>) -> Self {
        self.writes.push(Write {
            key: key.into(),
            value: Some(Value(value)),
        });
        self
    }

    /// Adds the deletion of the row `key`.
    pub fn with_delete(mut self, key: &str) -> Self {
        self.writes.push(Write {
            key: key.into(),
            value: None,
        });
        self
    }
}

/// The kind of process that a listed host runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostRole {
    /// An entry process.
    Entry,
    /// The sidecar process of an endpoint.
    Sidecar,
}

/// A host in the platform's list, which may be out of date.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostInfo {
    /// Name of the host.
    pub host: Host,
    /// Kind of the host's process.
    pub role: HostRole,
    /// Address of the host's process for other balsamhold processes.
    pub address: SocketAddr,
    /// Region of the host.
    pub region: Region,
    /// Availability zone of the host.
    pub zone: Zone,
    /// Whether the platform is about to remove the host.
    pub leaving: bool,
}
