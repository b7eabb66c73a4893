//! Lists that a server gives a page at a time.

use serde_json::{Value, json};
use units::{Clock, Span};

use crate::commands::Result;
use crate::commands::ctl::server::{Server, number, path};

const VERSIONS_DEFAULT: u64 = 50;

/// The accepted documents after a version, by default the last ones.
pub(crate) fn history(server: &Server, base: &str, after: Option<u64>) -> Result<Value> {
    let mut after = match after {
        Some(after) => after,
        None => last(server)?.saturating_sub(VERSIONS_DEFAULT),
    };
    let mut versions = Vec::new();
    loop {
        let page = server.get(&path(base, &[("after", &after.to_string())])?)?;
        let Some(last) = page["versions"].as_array().and_then(|page| page.last()) else {
            return Ok(json!({"versions": versions}));
        };
        after = number(last, "version")?;
        versions.extend(page["versions"].as_array().cloned().unwrap_or_default());
    }
}

/// The accepted version; 0 if there is none.
fn last(server: &Server) -> Result<u64> {
    match server.find("/v1/environment")? {
        Some(accepted) => number(&accepted, "version"),
        None => Ok(0),
    }
}

/// The audit records of the last `span`.
pub(crate) fn audit(server: &Server, base: &str, span: Span) -> Result<Value> {
    let since = Clock::new().now().0.saturating_sub(span.0).to_string();
    let mut page = server.get(&path(base, &[("since_us", &since)])?)?;
    let mut records = Vec::new();
    loop {
        records.extend(page["records"].as_array().cloned().unwrap_or_default());
        let Some(next) = page["next"].as_str() else {
            return Ok(json!({"records": records}));
        };
        page = server.get(&path(base, &[("after", next)])?)?;
    }
}
