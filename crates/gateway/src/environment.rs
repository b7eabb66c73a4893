//! The environment that operators set: routes, services and limits.

use std::collections::HashMap;

use clients::Accounts;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use units::{Bytes, Span, Tokens};

/// Whether the requests of a route may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// A request is idempotent.
    Safe,
    /// A request runs at most once.
    Never,
    /// The answer is a stream of events. A request runs at most once unless the route allows
    /// resuming.
    Stream,
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// Name of the service.
    pub service: CompactString,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// How requests for one host and path prefix are served.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name, for the log.
    pub name: CompactString,
    /// Host that the requests name.
    pub host: CompactString,
    /// Prefix of the paths of the requests; begins and ends with a slash.
    pub prefix: CompactString,
    /// Whether the requests may be repeated.
    pub repeat: Repeat,
    /// Longest time that a caller waits for the answer.
    pub timeout: Span,
    /// Service level objective: time within which an answer has its full value.
    pub objective: Span,
    /// Priority among the routes; 0 is the highest.
    pub rank: u8,
    /// Services that the requests are split over; not empty.
    pub shares: Vec<Share>,
    /// Most endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether the gateway stores the text of turns, so that callers send only the new text.
    pub retains_turns: bool,
    /// How long turns and accounts are retained.
    pub retention: Span,
    /// Whether requests for an object are faster at the endpoint that served the object last.
    pub sticky: bool,
    /// Whether another endpoint may continue a stream.
    pub resumable: bool,
    /// Whether requests need no key of a client account.
    pub is_public: bool,
}

/// Capacity of a model engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that the engine runs at once.
    pub slots: u32,
    /// Capacity of its KV cache, for running requests and kept prompts.
    pub kv_cache: Tokens,
    /// Tokens that each event of a stream counts as.
    pub event_tokens: u64,
    /// Longest time that the engine keeps a prompt in memory on request.
    pub max_pin: Span,
}

/// A group of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Connections that one endpoint accepts from all of its clients together.
    pub max_connections: u32,
    /// Set if the endpoints are model engines.
    pub engine: Option<Engine>,
}

/// Limits for requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Longest head of a request in bytes.
    pub max_head: Bytes,
    /// Longest body of a request in bytes.
    pub max_body: Bytes,
    /// Time within which a head has to arrive.
    pub head_timeout: Span,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Span,
}

/// One version of the environment document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Environment {
    /// Version of the document; a higher one replaces a lower one.
    pub version: u64,
    /// Routes; the longest matching prefix decides.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: HashMap<CompactString, Service>,
    /// Limits for requests and connections of callers.
    pub limits: Limits,
    /// Client accounts; if there are none, requests need no key.
    pub accounts: Accounts,
}

impl Environment {
    /// Returns the route of a request: among those for `host`, the one with the longest prefix of
    /// `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.host == host && path.starts_with(route.prefix.as_str()))
            .max_by_key(|route| route.prefix.len())
    }
}

impl Route {
    /// Selects the service for a request by weight; `point` is a number from 0 to 1.
    pub fn select_service(&self, point: f64) -> Option<&CompactString> {
        let total_weight: u32 = self.shares.iter().map(|share| share.weight).sum();
        let mut offset = (point * f64::from(total_weight)) as u32;
        for share in &self.shares {
            if offset < share.weight {
                return Some(&share.service);
            }
            offset -= share.weight;
        }
        self.shares.last().map(|share| &share.service)
    }

    /// Whether a request may be sent again even if it may have run.
    pub fn is_idempotent(&self) -> bool {
        self.repeat == Repeat::Safe
    }
}
