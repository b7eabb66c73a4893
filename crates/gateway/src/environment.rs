//! What operators set: which requests there are and where they go.

use std::collections::HashMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use units::{Bytes, Span, Tokens};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// It is idempotent.
    Safe,
    /// It runs at most once.
    Never,
    /// Its answer is a stream of events; it runs at most once unless the route allows resuming.
    Stream,
}

/// A service and its part of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: CompactString,
    /// Its weight against the other services of the route.
    pub weight: u32,
}

/// Requests that go the same way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: CompactString,
    /// The host that its requests name.
    pub host: CompactString,
    /// What their paths begin with; begins and ends with a slash.
    pub prefix: CompactString,
    /// Whether they may be repeated.
    pub repeat: Repeat,
    /// How long a caller is kept waiting at most.
    pub timeout: Span,
    /// Time within which an answer has its full value.
    pub objective: Span,
    /// Rank among the routes; 0 goes first.
    pub rank: u8,
    /// Where its requests go; not empty.
    pub shares: Vec<Share>,
    /// Endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether the gateway keeps what was said, and callers send only what is new.
    pub retains_turns: bool,
    /// How long turns and accounts are kept.
    pub retention: Span,
    /// Whether requests for the same object are faster at the endpoint that had it last.
    pub sticky: bool,
    /// Whether a stream may go on at another endpoint.
    pub resumable: bool,
}

/// A model engine's own limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that it runs at once.
    pub slots: u32,
    /// Tokens that fit into its memory.
    pub kv_cache: Tokens,
    /// Tokens in each event of a stream.
    pub event_tokens: u64,
    /// Longest time that it keeps a prompt in memory on demand.
    pub max_pin: Span,
}

/// A group of endpoints that do the same.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Connections that one endpoint takes from all callers together.
    pub max_connections: u32,
    /// Set if its endpoints are model engines.
    pub engine: Option<Engine>,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Longest head of a request.
    pub max_head: Bytes,
    /// Longest body.
    pub max_body: Bytes,
    /// How long a head may take.
    pub head_timeout: Span,
    /// How long a connection may be idle.
    pub idle_timeout: Span,
}

/// One version of all of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Environment {
    /// Its version; a higher one replaces a lower one.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services by name.
    pub services: HashMap<CompactString, Service>,
    /// What callers may send.
    pub limits: Limits,
}

impl Environment {
    /// The route of a request: of those for its host, the one with the longest prefix of its path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.host == host && path.starts_with(route.prefix.as_str()))
            .max_by_key(|route| route.prefix.len())
    }
}

impl Route {
    /// The service for a request; `point` from 0 to 1 decides between several.
    pub fn select_service(&self, point: f64) -> Option<&CompactString> {
        let total: u32 = self.shares.iter().map(|share| share.weight).sum();
        let mut left = (point * f64::from(total)) as u32;
        for share in &self.shares {
            if left < share.weight {
                return Some(&share.service);
            }
            left -= share.weight;
        }
        self.shares.last().map(|share| &share.service)
    }

    /// Whether a request may be sent again although it may have run.
    pub fn is_idempotent(&self) -> bool {
        self.repeat == Repeat::Safe
    }
}
