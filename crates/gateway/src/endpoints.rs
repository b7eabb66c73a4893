//! The endpoints that the platform lists.
//!
//! An endpoint that is missing from the list is gone, with one exception: entries may lapse while
//! the store is away, so for a while after its return a missing entry only counts as doubtful.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;
use http_io::Pool;
use serde::{Deserialize, Serialize};
use units::{Span, Time, Zone};

/// How long after the store's return an entry may be missing although its endpoint lives: the
/// platform promises two seconds; the rest is the way of the news.
const LAPSE_MAX: Span = Span::from_ms(2_300);

/// One start of a back end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Its identifier.
    pub id: CompactString,
    /// Tells starts under the same identifier apart.
    pub start_id: u64,
    /// The service that it belongs to.
    pub service: CompactString,
    /// Its address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new requests.
    pub draining: bool,
}

/// An endpoint with the connections to it.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) endpoint: Arc<Endpoint>,
    pub(crate) pool: Pool,
}

/// What happened to an endpoint, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointChange {
    /// It is new.
    Added,
    /// It has started again, or is another one under the same identifier.
    Restarted,
    /// It takes no new requests from now on.
    Draining,
    /// Something else about it has changed.
    Updated,
    /// Its entry is missing, which may be the store's doing.
    Suspect,
    /// It is gone.
    Removed,
}

impl EndpointChange {
    /// The news as a log message.
    pub fn as_str(self) -> &'static str {
        match self {
            EndpointChange::Added => "endpoint added",
            EndpointChange::Restarted => "endpoint restarted under its identifier",
            EndpointChange::Draining => "endpoint draining",
            EndpointChange::Updated => "endpoint changed",
            EndpointChange::Suspect => "endpoint missing after the store's return",
            EndpointChange::Removed => "endpoint gone",
        }
    }
}

/// All endpoints by identifier.
#[derive(Debug, Default)]
pub struct Endpoints {
    members: HashMap<CompactString, Member>,
    missing: HashMap<CompactString, Time>,
    doubt_until: Time,
}

impl Endpoints {
    /// The endpoints, those that drain included.
    pub(crate) fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Whether an endpoint is known, be it draining or doubtful.
    pub fn contains(&self, id: &str) -> bool {
        self.members.contains_key(id)
    }

    pub(crate) fn get(&self, id: &str) -> Option<&Member> {
        self.members.get(id)
    }

    /// Takes in that the store was away until now.
    pub fn record_store_outage(&mut self, now: Time) {
        self.doubt_until = now.after(LAPSE_MAX);
    }

    /// Takes in an entry.
    pub fn upsert(&mut self, endpoint: Endpoint) -> Option<EndpointChange> {
        self.missing.remove(&endpoint.id);
        let Some(member) = self.members.get_mut(&endpoint.id) else {
            self.insert(endpoint);
            return Some(EndpointChange::Added);
        };
        let old = &member.endpoint;
        if **old == endpoint {
            return None;
        }
        let restarted = old.start_id != endpoint.start_id || old.address != endpoint.address;
        if restarted || old.service != endpoint.service {
            self.insert(endpoint);
            return Some(EndpointChange::Restarted);
        }
        let news = if endpoint.draining && !old.draining {
            EndpointChange::Draining
        } else {
            EndpointChange::Updated
        };
        member.endpoint = Arc::new(endpoint);
        Some(news)
    }

    /// Takes in that an entry is missing.
    pub fn mark_missing(&mut self, id: &str, now: Time) -> Option<EndpointChange> {
        if !self.members.contains_key(id) || self.missing.contains_key(id) {
            return None;
        }
        if now < self.doubt_until {
            self.missing.insert(id.into(), self.doubt_until);
            return Some(EndpointChange::Suspect);
        }
        self.members.remove(id);
        Some(EndpointChange::Removed)
    }

    /// Takes in the whole list: entries that are not in it are missing.
    pub fn reconcile(
        &mut self,
        listed: &[CompactString],
        now: Time,
    ) -> Vec<(CompactString, EndpointChange)> {
        let missing: Vec<_> = self
            .members
            .keys()
            .filter(|id| !listed.contains(id))
            .cloned()
            .collect();
        missing
            .into_iter()
            .filter_map(|id| self.mark_missing(&id, now).map(|news| (id, news)))
            .collect()
    }

    /// Drops the entries that are still missing when they have to be back.
    pub fn expire(&mut self, now: Time) -> Vec<CompactString> {
        let gone: Vec<CompactString> = self
            .missing
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            self.missing.remove(id);
            self.members.remove(id);
        }
        gone
    }

    fn insert(&mut self, endpoint: Endpoint) {
        let member = Member {
            pool: Pool::new(endpoint.address),
            endpoint: Arc::new(endpoint),
        };
        self.members.insert(member.endpoint.id.clone(), member);
    }
}
