//! Promotion of a document from one environment to another.

use http_types::Method;
use serde_json::Value;
use settings::Document;
use units::Digest;

use crate::commands::ctl::rollout;
use crate::commands::ctl::server::{Server, number, path, text};
use crate::commands::{Error, Result};

/// The promotion of a document.
pub(crate) struct Promotion<'a> {
    /// The environment that the document was tried in.
    pub(crate) source: &'a str,
    /// The environment that gets it.
    pub(crate) target: &'a str,
    /// Who promotes it.
    pub(crate) author: &'a str,
}

impl Promotion<'_> {
    /// Has the target accept exactly the text that the source accepted last and has in force.
    pub(crate) fn run(&self, from: &Server, to: &Server) -> Result<Value> {
        let status = from.get("/v1/status")?;
        check_environment(&status, self.source)?;
        check_environment(&to.get("/v1/status")?, self.target)?;
        let accepted = from.get("/v1/environment")?;
        let version = number(&accepted, "version")?;
        let behind = rollout::behind(&status, version);
        if !behind.is_empty() {
            return Err(Error::NotInForce(version, behind));
        }
        let tried = text(&accepted, "text")?;
        let promoted = Document::rename(tried, self.target);
        let current = to.find("/v1/environment")?;
        let base = match &current {
            Some(current) => number(current, "version")?,
            None => 0,
        };
        if current
            .as_ref()
            .is_some_and(|current| current["text"] == promoted)
        {
            // An earlier try took effect although its answer was lost, or nothing has changed.
            return Ok(current.unwrap_or_default());
        }
        let digest = Digest::of(tried.as_bytes()).to_string();
        let query = [
            ("base", base.to_string()),
            ("author", self.author.to_owned()),
            ("promoted_from", self.source.to_owned()),
            ("promoted_version", version.to_string()),
            ("promoted_digest", digest),
        ];
        let query = query.each_ref().map(|(key, value)| (*key, value.as_str()));
        to.send(
            Method::Put,
            &path("/v1/environment", &query)?,
            Some(promoted),
        )
    }
}

fn check_environment(status: &Value, expected: &str) -> Result<()> {
    let found = text(status, "environment")?;
    if found == expected {
        return Ok(());
    }
    Err(Error::Environment {
        expected: expected.into(),
        found: found.into(),
    })
}
