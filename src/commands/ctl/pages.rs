//! Lists that a server returns page by page.

use serde_json::{Value, json};
use units::{Clock, Span};

use crate::commands::Result;
use crate::commands::ctl::server::{Server, number_field, with_query};

const DEFAULT_VERSION_COUNT: u64 = 50;

/// Fetches the accepted documents after a version, by default the last [`DEFAULT_VERSION_COUNT`].
pub(crate) fn history(server: &Server, path: &str, after: Option<u64>) -> Result<Value> {
    let mut after = match after {
        Some(after) => after,
        None => accepted_version(server)?.saturating_sub(DEFAULT_VERSION_COUNT),
    };
    let mut versions = Vec::new();
    loop {
        let page = server.get(&with_query(path, &[("after", &after.to_string())])?)?;
        let Some(last) = page["versions"].as_array().and_then(|page| page.last()) else {
            return Ok(json!({"versions": versions}));
        };
        after = number_field(last, "version")?;
        versions.extend(page["versions"].as_array().cloned().unwrap_or_default());
    }
}

/// Fetches the version of the last accepted document; 0 if there is none.
fn accepted_version(server: &Server) -> Result<u64> {
    match server.find("/v1/environment")? {
        Some(accepted) => number_field(&accepted, "version"),
        None => Ok(0),
    }
}

/// Fetches the audit records of the last `span`.
pub(crate) fn audit(server: &Server, path: &str, span: Span) -> Result<Value> {
    let since = Clock::new().now().0.saturating_sub(span.0).to_string();
    let mut page = server.get(&with_query(path, &[("since_us", &since)])?)?;
    let mut records = Vec::new();
    loop {
        records.extend(page["records"].as_array().cloned().unwrap_or_default());
        let Some(next) = page["next"].as_str() else {
            return Ok(json!({"records": records}));
        };
        page = server.get(&with_query(path, &[("after", next)])?)?;
    }
}
