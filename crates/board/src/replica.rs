//! A process's copy of the environment document.
//!
//! Invariants: the version in force never decreases, in whatever order documents are received, and
//! a text that is not a valid document never comes into force.

use std::sync::Arc;

use settings::Document;
use units::{Span, Time, Version};

use crate::view::Environment;

/// A process's copy of the environment document, and the time of the last contact with the store
/// or a peer whose version was not higher.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    environment: Option<Arc<Environment>>,
    last_contact: Option<Time>,
}

/// Reply of a process to a peer that reported its version.
#[derive(Clone, Debug)]
pub enum Report {
    /// The version in force here, for a peer whose version is not lower.
    InForce(Version),
    /// The document in force here, for a peer whose version is lower.
    Document(Arc<Environment>),
}

impl Replica {
    /// Creates a copy without a document.
    pub fn new() -> Self {
        Replica::default()
    }

    /// Returns the document in force, if there is one.
    pub fn environment(&self) -> Option<&Arc<Environment>> {
        self.environment.as_ref()
    }

    /// Returns the version in force; 0 if there is none.
    pub fn version(&self) -> Version {
        self.environment
            .as_ref()
            .map_or(Version(0), |environment| environment.version)
    }

    /// Records that the store or a peer reported `version` at `now`. A higher version than the one
    /// in force does not count as contact until its document is in force: this copy is outdated.
    pub fn record_contact(&mut self, version: Version, now: Time) {
        if version <= self.version() {
            self.last_contact = self.last_contact.max(Some(now));
        }
    }

    /// Returns the time of the last contact with the store or a peer.
    pub fn last_contact(&self) -> Option<Time> {
        self.last_contact
    }

    /// Puts a document in force if its version is higher than the one here; returns whether it did.
    ///
    /// # Errors
    /// If the text is not a valid document.
    pub fn adopt(&mut self, version: Version, text: String, now: Time) -> settings::Result<bool> {
        if version <= self.version() {
            self.record_contact(version, now);
            return Ok(false);
        }
        let document = Document::parse("document", &text)?;
        self.environment = Some(Arc::new(Environment {
            version,
            text,
            document,
            since: now,
        }));
        self.record_contact(version, now);
        Ok(true)
    }

    /// Whether a document is in force and the last contact is at most `age_max` ago.
    pub fn is_fresh(&self, age_max: Span, now: Time) -> bool {
        let is_recent = self.last_contact.is_some_and(|at| now.since(at) <= age_max);
        is_recent && self.environment.is_some()
    }

    /// Returns the reply to a peer that reported `version`.
    pub fn report(&self, version: Version) -> Report {
        match &self.environment {
            Some(environment) if environment.version > version => {
                Report::Document(environment.clone())
            }
            _ => Report::InForce(self.version()),
        }
    }
}
