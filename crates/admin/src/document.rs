//! Environment documents in the platform's table.
//!
//! Rows of an environment: the accepted document, its version alone (which is what processes poll),
//! one history row a version, and one audit row a change. An acceptance writes all four in one
//! transaction on condition that the accepted row has not changed, so versions have no gaps and
//! operators who race are put in one order.
//!
//! Acceptance is idempotent: an operator who repeats it after a lost answer gets the version that
//! the first try made, even if others have changed the document since.

use std::time::Duration;

use board::Environment;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use settings::Document;
use store::Client;
use store::Outcome;
use store::api::Transaction;
use units::{Digest, Time, Version};

use crate::audit::{self, Action, Record};
use crate::error::{Error, Result, Stale};

/// Prefix of the key of an environment's accepted document.
pub const ACCEPTED_KEY: &str = "environment.";

const COMMIT_TRIES: u32 = 4;
const COMMIT_DELAY: Duration = Duration::from_millis(200);

/// An accepted document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Its version.
    pub version: Version,
    /// Its text.
    pub text: String,
    /// Who had it accepted.
    pub author: String,
    /// When.
    pub at: Time,
    /// Where it was promoted from, if it was.
    #[serde(default)]
    pub promoted: Option<Promoted>,
}

/// Where a document was promoted from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promoted {
    /// The environment.
    pub environment: String,
    /// Its version there.
    pub version: Version,
    /// Digest of its text there.
    pub digest: Digest,
}

/// A document that an operator wants to have accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The version that it is based on.
    pub base: Version,
    /// Its text.
    pub text: String,
    /// Who wants it.
    pub author: String,
    /// Where it is promoted from, if it is.
    pub promoted: Option<Promoted>,
}

impl Change {
    fn accept(self, at: Time) -> Accepted {
        Accepted {
            version: self.base.next(),
            text: self.text,
            author: self.author,
            at,
            promoted: self.promoted,
        }
    }
}

impl Accepted {
    /// Whether both are the outcome of the same change.
    fn is_same_change(&self, other: &Accepted) -> bool {
        self.version == other.version
            && self.author == other.author
            && self.text == other.text
            && self.promoted == other.promoted
    }

    /// The audit record of the acceptance.
    fn record(&self) -> Record {
        let action = Action::Document {
            base: Version(self.version.0.saturating_sub(1)),
            version: self.version,
            digest: Digest::of(self.text.as_bytes()),
            promoted: self.promoted.clone(),
        };
        Record {
            author: self.author.clone(),
            at: self.at,
            action,
        }
    }
}

fn accepted_key(environment: &str) -> String {
    format!("{ACCEPTED_KEY}{environment}")
}

fn version_key(environment: &str) -> String {
    format!("environment-version.{environment}")
}

fn history_prefix(environment: &str) -> String {
    format!("environment-history.{environment}.")
}

fn history_key(environment: &str, version: Version) -> String {
    format!("{}{:016x}", history_prefix(environment), version.0)
}

/// The accepted document of an environment, if there is one.
pub async fn accepted_document(client: &Client, environment: &str) -> Result<Option<Accepted>> {
    read(client, &accepted_key(environment)).await
}

/// The version of the accepted document; 0 if there is none.
pub async fn accepted_version(client: &Client, environment: &str) -> Result<Version> {
    let version = read(client, &version_key(environment)).await?;
    Ok(version.unwrap_or_default())
}

/// A version of the document, if there was one.
pub async fn past_document(
    client: &Client,
    environment: &str,
    version: Version,
) -> Result<Option<Accepted>> {
    read(client, &history_key(environment, version)).await
}

/// The accepted documents in order after version `after`, at most `limit`.
pub async fn document_history(
    client: &Client,
    environment: &str,
    after: Version,
    limit: u32,
) -> Result<Vec<Accepted>> {
    let prefix = history_prefix(environment);
    let after = history_key(environment, after);
    let rows = client.rows(&prefix, &after, limit).await?;
    rows.iter().map(|row| decode(&row.value.0)).collect()
}

async fn read<T: DeserializeOwned>(client: &Client, key: &str) -> Result<Option<T>> {
    let row = client.row(key).await?;
    row.map(|row| decode(&row.value.0)).transpose()
}

pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    serde_json::from_slice(bytes).map_err(|_| Error::Corrupt)
}

pub(crate) fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    serde_json::to_vec(value).map_err(|_| Error::Corrupt)
}

/// What is accepted now: by the store, or by a process that has a higher version in force.
///
/// The store comes second where it was restored from an old copy: versions go on from the one that
/// is in force, so that no version is given to two documents.
struct Current {
    version: Version,
    text: String,
    row: u64,
}

async fn find_current(
    client: &Client,
    environment: &str,
    in_force: Option<&Environment>,
) -> Result<Current> {
    let row = client.row(&accepted_key(environment)).await?;
    let mut current = match &row {
        Some(row) => {
            let accepted: Accepted = decode(&row.value.0)?;
            Current {
                version: accepted.version,
                text: accepted.text,
                row: row.version,
            }
        }
        None => Current {
            version: Version(0),
            text: String::new(),
            row: 0,
        },
    };
    if let Some(in_force) = in_force
        && in_force.version > current.version
    {
        current.version = in_force.version;
        current.text.clone_from(&in_force.text);
    }
    Ok(current)
}

/// Accepts a change as the version after its base; `in_force` is the document in force here.
///
/// # Errors
/// [`Error::Document`] if it is not valid, [`Error::Stale`] if it is not based on the version in
/// force, [`Error::Platform`] if the store gives no answer; it tells whether the change may have
/// taken effect.
pub async fn accept(
    client: &Client,
    environment: &str,
    in_force: Option<&Environment>,
    change: Change,
    at: Time,
) -> Result<Accepted> {
    let document = Document::parse("document", &change.text).map_err(Error::Document)?;
    if document.name != environment {
        return Err(Error::Environment(document.name));
    }
    let accepted = change.accept(at);
    let mut lost = None;
    for _ in 0..COMMIT_TRIES {
        let error = match attempt(client, environment, in_force, &accepted).await {
            Err(Error::Platform(error)) => error,
            settled => return settled,
        };
        if error.is_uncertain() {
            lost = Some(error);
        } else if lost.is_none() {
            return Err(error.into());
        }
        // A repeat is safe: it finds the change if the lost try took effect.
        smol::Timer::after(COMMIT_DELAY).await;
    }
    Err(lost.map_or(Error::Corrupt, Error::Platform))
}

/// One try to accept a change.
async fn attempt(
    client: &Client,
    environment: &str,
    in_force: Option<&Environment>,
    accepted: &Accepted,
) -> Result<Accepted> {
    let current = find_current(client, environment, in_force).await?;
    if current.version.next() == accepted.version {
        let transaction = transaction(environment, current.row, accepted)?;
        if let Outcome::Committed(_) = client.commit(&transaction).await? {
            return Ok(accepted.clone());
        }
    }
    settle(client, environment, in_force, accepted).await
}

fn transaction(environment: &str, row: u64, accepted: &Accepted) -> Result<Transaction> {
    let key = accepted_key(environment);
    let value = encode(accepted)?;
    let transaction = Transaction::default()
        .with_check(&key, row)
        .with_write(&key, value.clone())
        .with_write(&version_key(environment), encode(&accepted.version)?)
        .with_write(&history_key(environment, accepted.version), value);
    audit::add(transaction, environment, &accepted.record())
}

/// Where a change is not based on the current version: it may itself have been accepted by an
/// earlier try.
async fn settle(
    client: &Client,
    environment: &str,
    in_force: Option<&Environment>,
    accepted: &Accepted,
) -> Result<Accepted> {
    let stored = past_document(client, environment, accepted.version).await?;
    if let Some(stored) = stored
        && stored.is_same_change(accepted)
    {
        return Ok(stored);
    }
    let current = find_current(client, environment, in_force).await?;
    Err(Error::Stale(Stale::new(
        current.version,
        &current.text,
        &accepted.text,
    )))
}
