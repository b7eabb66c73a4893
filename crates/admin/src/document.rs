//! Environment documents in the store.
//!
//! Rows of an environment: the accepted document, its version alone (which processes poll), one
//! history row per version, and one audit row per change. Accepting a document writes all four in
//! one transaction on condition that the accepted row has not changed. So versions have no gaps, and
//! concurrent changes by operators are serialized.
//!
//! A text that is too long for a row is in an object, which is stored before the rows that refer to it.
//!
//! Acceptance is idempotent: an operator who repeats a request after its response was lost gets the
//! version that the first attempt created, even if others have changed the document since.

use std::time::Duration;

use board::Environment;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use settings::Document;
use store::Client;
use store::Outcome;
use store::api::{Row, Transaction};
use units::{Digest, Time, Version};

use crate::audit::{self, Action, Record};
use crate::error::{Error, Result, Stale};

/// Prefix of the key of an environment's accepted document; the environment's name follows.
pub const ACCEPTED_KEY: &str = "environment.";

const COMMIT_MAX_ATTEMPTS: u32 = 4;
/// Longest row; the store takes it in base64.
const ROW_VALUE_MAX_BYTES: usize = (64 << 10) / 4 * 3;
const COMMIT_RETRY_DELAY: Duration = Duration::from_millis(200);

/// A document as accepted and stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Version of the document, from 1.
    pub version: Version,
    /// Text of the document in INI.
    pub text: String,
    /// Name of the operator who submitted the document.
    pub author: String,
    /// Time of acceptance on the clock of the entry that received the request.
    pub at: Time,
    /// Origin of the document, if it was promoted from another environment.
    #[serde(default)]
    pub promoted: Option<Promoted>,
    /// Digest of a text that is in an object; `text` is then empty until it has been read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    object: Option<Digest>,
}

/// Origin of a document that was promoted from another environment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promoted {
    /// Name of the environment of origin.
    pub environment: String,
    /// Version of the document in that environment.
    pub version: Version,
    /// Digest of the document's text in that environment.
    pub digest: Digest,
}

/// A document that an operator submits for acceptance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Version that the change is based on; 0 if there is none yet.
    pub base: Version,
    /// Text of the new document in INI.
    pub text: String,
    /// Name of the operator.
    pub author: String,
    /// Origin of the document, if it is promoted from another environment.
    pub promoted: Option<Promoted>,
}

impl Change {
    fn into_accepted(self, at: Time) -> Accepted {
        Accepted {
            version: self.base.next(),
            text: self.text,
            author: self.author,
            at,
            promoted: self.promoted,
            object: None,
        }
    }
}

impl Accepted {
    /// Returns the digest of the text, also of one that has not been read.
    pub(crate) fn digest(&self) -> Digest {
        self.object
            .unwrap_or_else(|| Digest::of(self.text.as_bytes()))
    }

    /// Returns whether both result from the same change.
    fn is_same_change(&self, other: &Accepted) -> bool {
        self.version == other.version
            && self.author == other.author
            && self.text == other.text
            && self.promoted == other.promoted
    }

    /// Returns the audit record of the acceptance.
    fn audit_record(&self) -> Record {
        let action = Action::Document {
            base: Version(self.version.0.saturating_sub(1)),
            version: self.version,
            digest: self.digest(),
            promoted: self.promoted.clone(),
        };
        Record {
            author: self.author.clone(),
            at: self.at,
            action,
        }
    }
}

fn object_key(environment: &str, text: &Digest) -> String {
    format!("document.{environment}.{text}")
}

/// Returns what the rows of a document hold, after a text that is too long for them has been stored.
async fn store_text(client: &Client, environment: &str, accepted: &Accepted) -> Result<Accepted> {
    if encode(accepted)?.len() <= ROW_VALUE_MAX_BYTES {
        return Ok(accepted.clone());
    }
    let digest = accepted.digest();
    let key = object_key(environment, &digest);
    let text = accepted.text.clone().into_bytes();
    client.put_object(&key, text).await?;
    Ok(Accepted {
        text: String::new(),
        object: Some(digest),
        ..accepted.clone()
    })
}

/// Reads the document of a row, with a text that is in an object.
async fn read_document(client: &Client, environment: &str, key: &str) -> Result<Option<Accepted>> {
    let Some(row) = client.row(key).await? else {
        return Ok(None);
    };
    Ok(Some(read_text(client, environment, &row).await?))
}

async fn read_text(client: &Client, environment: &str, row: &Row) -> Result<Accepted> {
    let mut accepted: Accepted = decode(&row.value.0)?;
    if let Some(digest) = accepted.object.take() {
        let text = client.object(&object_key(environment, &digest)).await?;
        let text = text.ok_or(Error::Corrupt)?;
        accepted.text = String::from_utf8(text).map_err(|_| Error::Corrupt)?;
    }
    Ok(accepted)
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

/// Reads the accepted document of an environment from the store, if there is one.
///
/// # Errors
/// [`Error::Platform`] if the store gives no usable answer, [`Error::Corrupt`] if the row cannot be
/// decoded; likewise for the other reads of this module.
pub async fn accepted_document(client: &Client, environment: &str) -> Result<Option<Accepted>> {
    read_document(client, environment, &accepted_key(environment)).await
}

/// Reads the version of the accepted document; 0 if there is none.
pub async fn accepted_version(client: &Client, environment: &str) -> Result<Version> {
    let version = read_row(client, &version_key(environment)).await?;
    Ok(version.unwrap_or_default())
}

/// Reads the document that was accepted as `version`, if there is one.
pub async fn past_document(
    client: &Client,
    environment: &str,
    version: Version,
) -> Result<Option<Accepted>> {
    read_document(client, environment, &history_key(environment, version)).await
}

/// Reads at most `limit` accepted documents after version `after`, in the order of versions, without
/// texts that are in objects.
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

async fn read_row<T: DeserializeOwned>(client: &Client, key: &str) -> Result<Option<T>> {
    let row = client.row(key).await?;
    row.map(|row| decode(&row.value.0)).transpose()
}

pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    serde_json::from_slice(bytes).map_err(|_| Error::Corrupt)
}

pub(crate) fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    serde_json::to_vec(value).map_err(|_| Error::Corrupt)
}

/// The current document: the accepted one in the store, or the one in force in this process if its
/// version is higher.
///
/// The version in force is higher if the store was restored from an old copy. New versions then
/// continue from the version in force, so that no version is given to two documents.
struct Current {
    version: Version,
    text: String,
    row_version: u64,
}

async fn find_current(
    client: &Client,
    environment: &str,
    in_force: Option<&Environment>,
) -> Result<Current> {
    let row = client.row(&accepted_key(environment)).await?;
    let mut current = match &row {
        Some(row) => {
            let accepted = read_text(client, environment, row).await?;
            Current {
                version: accepted.version,
                text: accepted.text,
                row_version: row.version,
            }
        }
        None => Current {
            version: Version(0),
            text: String::new(),
            row_version: 0,
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
/// [`Error::Document`] if the document is not valid, [`Error::Environment`] if it is for another
/// environment, [`Error::Stale`] if the change is not based on the current version,
/// [`Error::Platform`] if the store gives no usable answer ([`Error::changed`] returns whether the
/// change may have taken effect), [`Error::Corrupt`] if a row cannot be decoded.
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
    let accepted = change.into_accepted(at);
    let mut uncertain = None;
    for _ in 0..COMMIT_MAX_ATTEMPTS {
        let error = match try_accept(client, environment, in_force, &accepted).await {
            Err(Error::Platform(error)) => error,
            result => return result,
        };
        if error.is_uncertain() {
            uncertain = Some(error);
        } else if uncertain.is_none() {
            return Err(error.into());
        }
        // Repeating is safe: if the attempt without a response took effect, the next one finds its
        // change.
        smol::Timer::after(COMMIT_RETRY_DELAY).await;
    }
    Err(uncertain.map_or(Error::Corrupt, Error::Platform))
}

/// Makes one attempt to accept a change.
async fn try_accept(
    client: &Client,
    environment: &str,
    in_force: Option<&Environment>,
    accepted: &Accepted,
) -> Result<Accepted> {
    let current = find_current(client, environment, in_force).await?;
    if current.version.next() == accepted.version {
        let stored = store_text(client, environment, accepted).await?;
        let transaction = accept_transaction(environment, current.row_version, &stored)?;
        if let Outcome::Committed(_) = client.commit(&transaction).await? {
            return Ok(accepted.clone());
        }
    }
    find_accepted(client, environment, in_force, accepted).await
}

fn accept_transaction(
    environment: &str,
    row_version: u64,
    accepted: &Accepted,
) -> Result<Transaction> {
    let key = accepted_key(environment);
    let value = encode(accepted)?;
    let transaction = Transaction::default()
        .with_check(&key, row_version)
        .with_write(&key, value.clone())
        .with_write(&version_key(environment), encode(&accepted.version)?)
        .with_write(&history_key(environment, accepted.version), value);
    audit::add(transaction, environment, &accepted.audit_record())
}

/// Returns the stored document if an earlier attempt had the same change accepted, else the error
/// that the change is not based on the current version.
async fn find_accepted(
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
