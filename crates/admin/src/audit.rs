//! The audit trail: who changed what, when, in the platform's table.

use serde::{Deserialize, Serialize};
use store::Client;
use store::api::Transaction;
use units::{Digest, Host, Program, Time, Version};

use crate::document::{Promoted, decode, encode};
use crate::error::Result;

/// One change by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Who made it.
    pub author: String,
    /// When.
    pub at: Time,
    /// What was done.
    pub action: Action,
}

/// What an operator did.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Had a document accepted.
    Document {
        /// The version that it was based on.
        base: Version,
        /// Its version.
        version: Version,
        /// Digest of its text.
        digest: Digest,
        /// Where it was promoted from, if it was.
        promoted: Option<Promoted>,
    },
    /// Marked a host as leaving.
    Drain(Host),
    /// Ended a program.
    End(#[serde(with = "text")] Program),
}

/// Identifiers as text.
mod text {
    use std::fmt::Display;
    use std::str::FromStr;

    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<T: Display, S: Serializer>(
        value: &T,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_str(value)
    }

    pub(super) fn deserialize<'de, T, D>(deserializer: D) -> Result<T, D::Error>
    where
        T: FromStr<Err: Display>,
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

fn prefix(environment: &str) -> String {
    format!("audit.{environment}.")
}

/// Adds the row of a record to a transaction; keys sort by time.
pub(crate) fn add(
    transaction: Transaction,
    environment: &str,
    record: &Record,
) -> Result<Transaction> {
    let (time, unique) = (record.at.0, rand::random::<u32>());
    let key = format!("{}{time:016x}.{unique:08x}", prefix(environment));
    Ok(transaction.with_write(&key, encode(record)?))
}

/// Writes the row of a record by itself.
pub(crate) async fn write(client: &Client, environment: &str, record: &Record) -> Result<()> {
    let transaction = add(Transaction::default(), environment, record)?;
    client.commit(&transaction).await?;
    Ok(())
}

/// Where a page of records begins.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PageStart {
    /// At this time,
    pub since: Time,
    /// or after this place, which the page before named.
    pub after: Option<String>,
}

/// Records in the order of time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Page {
    /// The records.
    pub records: Vec<Record>,
    /// The place after which there may be more.
    pub next: Option<String>,
}

/// A page of at most `limit` records.
pub async fn read(
    client: &Client,
    environment: &str,
    start: PageStart,
    limit: u32,
) -> Result<Page> {
    let prefix = prefix(environment);
    let since = format!("{:016x}", start.since.0);
    let after = format!("{prefix}{}", start.after.unwrap_or(since));
    let rows = client.rows(&prefix, &after, limit).await?;
    let full = rows.len() == limit as usize;
    let last = rows.last().filter(|_| full);
    let next = last.and_then(|row| Some(row.key.strip_prefix(&prefix)?.to_owned()));
    let records = rows.iter().map(|row| decode(&row.value.0));
    Ok(Page {
        records: records.collect::<Result<_>>()?,
        next,
    })
}
