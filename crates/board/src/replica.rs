//! A process's copy of the environment document.
//!
//! Invariants: the version in force never goes back, whatever is received in whatever order, and a
//! text that is not a valid document never comes into force.

use std::sync::Arc;

use settings::Document;
use units::{Span, Time, Version};

use crate::view::Environment;

/// A process's copy of the environment document, and when it last heard of the environment.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    environment: Option<Arc<Environment>>,
    last_contact: Option<Time>,
}

/// What a process answers a peer that has told its version.
#[derive(Clone, Debug)]
pub enum Report {
    /// The peer is not behind: the version here.
    InForce(Version),
    /// The peer is behind: the whole document here.
    Document(Arc<Environment>),
}

impl Replica {
    /// A copy that has no document yet.
    pub fn new() -> Self {
        Replica::default()
    }

    /// The document in force, if there is one.
    pub fn environment(&self) -> Option<&Arc<Environment>> {
        self.environment.as_ref()
    }

    /// The version in force; 0 if there is none.
    pub fn version(&self) -> Version {
        self.environment
            .as_ref()
            .map_or(Version(0), |environment| environment.version)
    }

    /// Notes that the store or a peer told its version at `now`. A higher one than the version here
    /// does not count as heard until its document is in force: this process knows that it is behind.
    pub fn record_contact(&mut self, version: Version, now: Time) {
        if version <= self.version() {
            self.last_contact = self.last_contact.max(Some(now));
        }
    }

    /// When the store or a peer was last heard.
    pub fn last_contact(&self) -> Option<Time> {
        self.last_contact
    }

    /// Puts a document in force if its version is higher than the one here; whether it did.
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

    /// Whether there is a document and the store or a peer was heard within `bound`.
    pub fn is_fresh(&self, bound: Span, now: Time) -> bool {
        let heard = self
            .last_contact
            .is_some_and(|heard| now.since(heard) <= bound);
        heard && self.environment.is_some()
    }

    /// What to answer a peer that has `version`.
    pub fn report(&self, version: Version) -> Report {
        match &self.environment {
            Some(environment) if environment.version > version => {
                Report::Document(environment.clone())
            }
            _ => Report::InForce(self.version()),
        }
    }
}
