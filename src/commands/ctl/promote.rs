//! Promotion of a document from one environment to another.

use http_types::Method;
use serde_json::Value;
use settings::Document;
use units::Digest;

use crate::commands::ctl::rollout;
use crate::commands::ctl::server::{Server, number_field, text_field, with_query};
use crate::commands::{Error, Result};

/// Arguments of a promotion.
pub(crate) struct Promotion<'a> {
    /// Name of the environment in which the document is in force.
    pub(crate) source: &'a str,
    /// Name of the environment that accepts the document.
    pub(crate) target: &'a str,
    /// Operator who is recorded as the author.
    pub(crate) author: &'a str,
}

impl Promotion<'_> {
    /// Makes the target accept the last document of the source, which must be in force at every
    /// live host there. Only the name of the environment in the text changes.
    pub(crate) fn run(&self, source_server: &Server, target_server: &Server) -> Result<Value> {
        let status = source_server.get("/v1/status")?;
        check_environment(&status, self.source)?;
        check_environment(&target_server.get("/v1/status")?, self.target)?;
        let source_document = source_server.get("/v1/environment")?;
        let version = number_field(&source_document, "version")?;
        let lagging = rollout::lagging_hosts(&status, version);
        if !lagging.is_empty() {
            return Err(Error::NotInForce(version, lagging));
        }
        let source_text = text_field(&source_document, "text")?;
        let target_text = Document::rename(source_text, self.target);
        let target_document = target_server.find("/v1/environment")?;
        let base = match &target_document {
            Some(target_document) => number_field(target_document, "version")?,
            None => 0,
        };
        if target_document
            .as_ref()
            .is_some_and(|target_document| target_document["text"] == target_text)
        {
            // An earlier attempt took effect but its response was lost, or the text is unchanged.
            return Ok(target_document.unwrap_or_default());
        }
        let digest = Digest::of(source_text.as_bytes()).to_string();
        let query = [
            ("base", base.to_string()),
            ("author", self.author.to_owned()),
            ("promoted_from", self.source.to_owned()),
            ("promoted_version", version.to_string()),
            ("promoted_digest", digest),
        ];
        let query = query.each_ref().map(|(key, value)| (*key, value.as_str()));
        target_server.send(
            Method::Put,
            &with_query("/v1/environment", &query)?,
            Some(target_text),
        )
    }
}

fn check_environment(status: &Value, expected: &str) -> Result<()> {
    let found = text_field(status, "environment")?;
    if found == expected {
        return Ok(());
    }
    Err(Error::Environment {
        expected: expected.into(),
        found: found.into(),
    })
}
