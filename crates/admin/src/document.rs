//! Environment documents in the platform's table.

use platform::Client;
use platform::api::{Outcome, Transaction};
use serde::{Deserialize, Serialize};
use settings::Document;
use units::{Time, Version};

use crate::error::{Error, Result};

/// Prefix of the key of an environment's accepted document.
pub const ACCEPTED_KEY: &str = "environment.";

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
}

/// The accepted document of an environment, if there is one.
pub async fn current(client: &Client, environment: &str) -> Result<Option<Accepted>> {
    let Some(row) = client.row(&format!("{ACCEPTED_KEY}{environment}")).await? else {
        return Ok(None);
    };
    let decoded = serde_json::from_slice(&row.value.0);
    decoded
        .map(Some)
        .map_err(|_| Error::Malformed("stored document"))
}

/// Accepts `text` as the version after `base`.
///
/// # Errors
/// [`Error::Document`] if it is not valid, [`Error::Stale`] if another version is in force.
pub async fn accept(
    client: &Client,
    environment: &str,
    base: Version,
    text: String,
    author: String,
    at: Time,
) -> Result<Accepted> {
    let document = Document::parse("document", &text).map_err(Error::Document)?;
    if document.name != environment {
        return Err(Error::Malformed("the document is for another environment"));
    }
    let accepted = Accepted {
        version: base.next(),
        text,
        author,
        at,
    };
    let value = serde_json::to_vec(&accepted).map_err(|_| Error::Malformed("document"))?;
    let key = format!("{ACCEPTED_KEY}{environment}");
    let history = format!(
        "environment-history.{environment}.{:016x}",
        accepted.version.0
    );
    // The row is written only here, once a version, so that its own version is the document's.
    let transaction = Transaction::default()
        .with_check(&key, base.0)
        .with_write(&key, value.clone())
        .with_write(&history, value);
    match client.commit(&transaction).await {
        Ok(Outcome::Committed) => Ok(accepted),
        Ok(Outcome::Conflict(_)) => stale(client, environment, accepted).await,
        Err(error) if error.is_uncertain() => stale(client, environment, accepted).await,
        Err(error) => Err(error.into()),
    }
}

/// Reads back after a conflict or a lost answer: the document in force may be this one.
async fn stale(client: &Client, environment: &str, accepted: Accepted) -> Result<Accepted> {
    let current = current(client, environment).await?;
    match current {
        Some(current) if current == accepted => Ok(accepted),
        Some(current) => Err(Error::Stale(current.version)),
        None => Err(Error::Stale(Version(0))),
    }
}
