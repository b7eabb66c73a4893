//! Audit records in the store: who changed what, and when.

use serde::{Deserialize, Serialize};
use store::Client;
use store::api::Transaction;
use units::{Digest, Host, Program, Time, Version};

use crate::document::{Promoted, decode, encode};
use crate::error::Result;

/// One change by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Name of the operator, as given in the request.
    pub author: String,
    /// Time on the clock of the entry that received the request.
    pub at: Time,
    /// What the operator did.
    pub action: Action,
}

/// An operator's action, with its object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// A document was accepted.
    Document {
        /// Version that the document was based on.
        base: Version,
        /// Version that the document got.
        version: Version,
        /// Digest of the document's text.
        digest: Digest,
        /// Origin of the document, if it was promoted from another environment.
        promoted: Option<Promoted>,
    },
    /// The process of this host was asked to drain.
    Drain(Host),
    /// This program was ended.
    End(#[serde(with = "text")] Program),
}

/// Serializes identifiers as text.
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

/// Adds the row of a record to a transaction; the keys of records sort by time.
pub(crate) fn add(
    transaction: Transaction,
    environment: &str,
    record: &Record,
) -> Result<Transaction> {
    let (time, unique) = (record.at.0, rand::random::<u32>());
    let key = format!("{}{time:016x}.{unique:08x}", prefix(environment));
    Ok(transaction.with_write(&key, encode(record)?))
}

/// Writes the row of a record in a transaction of its own.
pub(crate) async fn write(client: &Client, environment: &str, record: &Record) -> Result<()> {
    let transaction = add(Transaction::default(), environment, record)?;
    client.commit(&transaction).await?;
    Ok(())
}

/// Start of a page of records: `after` if it is set, else `since`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PageStart {
    /// Time of the earliest record.
    pub since: Time,
    /// [`Page::next`] of the previous page.
    pub after: Option<String>,
}

/// A page of records in the order of their times.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Page {
    /// Records of this page.
    pub records: Vec<Record>,
    /// Start of the next page, which may be empty; `None` if this page is the last.
    pub next: Option<String>,
}

/// Reads a page of at most `limit` records.
///
/// # Errors
/// [`crate::Error::Platform`] if the store gives no usable answer, [`crate::Error::Corrupt`] if a
/// row cannot be decoded.
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
    let is_full = rows.len() == limit as usize;
    let last = rows.last().filter(|_| is_full);
    let next = last.and_then(|row| Some(row.key.strip_prefix(&prefix)?.to_owned()));
    let records = rows.iter().map(|row| decode(&row.value.0));
    Ok(Page {
        records: records.collect::<Result<_>>()?,
        next,
    })
}
