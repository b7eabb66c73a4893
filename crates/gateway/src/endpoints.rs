//! The endpoints that the platform lists.
//!
//! An endpoint without an entry in the list is removed, with one exception: entries may expire while
//! the store is unavailable, so for some time after an outage a missing entry only makes its
//! endpoint suspect.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;
use http_io::Pool;
use policy::Listing;
use serde::{Deserialize, Serialize};
use units::{Span, Time, Zone};

use crate::crashes::EndpointStart;

/// How long after a store outage the entry of a running endpoint may be missing: the platform
/// guarantees two seconds, the remainder is the delay of the feed.
const ENTRY_OUTAGE_GRACE: Span = Span::from_ms(2_300);
/// Number of starts that stated that they stop, above which those that are not listed are forgotten.
const LEAVING_MAX: usize = 4_096;

/// One start of a back end, as its entry describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Identifier, which is the key of the entry; a restart may reuse it.
    pub id: CompactString,
    /// Distinguishes the starts under one identifier.
    pub start_id: u64,
    /// Service that the endpoint belongs to.
    pub service: CompactString,
    /// Release of its software; streams cannot go on at another one.
    pub release: CompactString,
    /// Address at which the endpoint accepts requests.
    pub address: SocketAddr,
    /// Availability zone of the endpoint.
    pub zone: Zone,
    /// Requests that the endpoint runs at once.
    pub slots: u32,
    /// Whether the endpoint accepts no new requests.
    pub draining: bool,
}

/// A listed endpoint with the pool of connections to it.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) endpoint: Arc<Endpoint>,
    pub(crate) pool: Pool,
}

/// Change of a listed endpoint, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointChange {
    /// The endpoint is new.
    Added,
    /// The endpoint has started again, or another one has taken over its identifier.
    Restarted,
    /// The endpoint no longer accepts new requests.
    Draining,
    /// Another field of the entry has changed.
    Updated,
    /// The entry is missing, possibly because of a store outage.
    Suspect,
    /// The endpoint is no longer listed.
    Removed,
}

impl EndpointChange {
    /// Returns the log message for the change.
    pub fn as_str(self) -> &'static str {
        match self {
            EndpointChange::Added => "endpoint added",
            EndpointChange::Restarted => "endpoint restarted with the same identifier",
            EndpointChange::Draining => "endpoint draining",
            EndpointChange::Updated => "endpoint changed",
            EndpointChange::Suspect => "endpoint missing after a store outage",
            EndpointChange::Removed => "endpoint gone",
        }
    }
}

/// All listed endpoints, by identifier.
#[derive(Debug, Default)]
pub struct Endpoints {
    members: HashMap<CompactString, Member>,
    /// The suspect endpoints, with the time at which each is removed.
    suspects: HashMap<CompactString, Time>,
    /// Starts of endpoints that stated themselves that they stop, by identifier; their entries may not
    /// show it yet.
    leaving: HashMap<CompactString, u64>,
    /// Until when a missing entry only makes its endpoint suspect.
    grace_until: Time,
}

impl Endpoints {
    /// Returns the endpoints, including draining and suspect ones.
    pub(crate) fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Whether an endpoint is listed; includes draining and suspect ones.
    pub fn contains(&self, id: &str) -> bool {
        self.members.contains_key(id)
    }

    pub(crate) fn get(&self, id: &str) -> Option<&Member> {
        self.members.get(id)
    }

    /// Returns what the list says of one start of an endpoint.
    pub(crate) fn listing(&self, start: &EndpointStart) -> Listing {
        let at_address = || {
            let mut members = self.members();
            members.find(|member| member.endpoint.address == start.address)
        };
        let Some(member) = self.get(&start.id).or_else(at_address) else {
            return Listing::Absent;
        };
        let endpoint = &member.endpoint;
        if endpoint.id != start.id || endpoint.start_id != start.start_id {
            Listing::Replaced
        } else if endpoint.draining {
            Listing::Draining
        } else {
            Listing::Listed
        }
    }

    /// Records that the store was unavailable until `now`.
    pub fn record_store_outage(&mut self, now: Time) {
        self.grace_until = now.after(ENTRY_OUTAGE_GRACE);
    }

    /// Inserts or updates an endpoint from its entry; `None` if nothing has changed.
    pub fn upsert(&mut self, mut endpoint: Endpoint) -> Option<EndpointChange> {
        self.suspects.remove(&endpoint.id);
        endpoint.draining |= self.leaving.get(&endpoint.id) == Some(&endpoint.start_id);
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
        let change = if endpoint.draining && !old.draining {
            EndpointChange::Draining
        } else {
            EndpointChange::Updated
        };
        member.endpoint = Arc::new(endpoint);
        Some(change)
    }

    /// Records that one start of an endpoint stated that it stops; `None` if that is known. It holds
    /// for this start, whatever its entry says.
    pub fn record_leaving(&mut self, id: &str, start_id: u64) -> Option<EndpointChange> {
        if self.leaving.len() >= LEAVING_MAX {
            let members = &self.members;
            self.leaving.retain(|id, _| members.contains_key(id));
        }
        self.leaving.insert(id.into(), start_id);
        let member = self.members.get_mut(id)?;
        let endpoint = &member.endpoint;
        if endpoint.start_id != start_id || endpoint.draining {
            return None;
        }
        member.endpoint = Arc::new(Endpoint {
            draining: true,
            ..(**endpoint).clone()
        });
        Some(EndpointChange::Draining)
    }

    /// Records that an entry is missing: removes its endpoint, or makes it suspect for some time
    /// after a store outage. `None` if the endpoint is unknown or already suspect.
    pub fn mark_missing(&mut self, id: &str, now: Time) -> Option<EndpointChange> {
        if !self.members.contains_key(id) || self.suspects.contains_key(id) {
            return None;
        }
        if now < self.grace_until {
            self.suspects.insert(id.into(), self.grace_until);
            return Some(EndpointChange::Suspect);
        }
        self.members.remove(id);
        Some(EndpointChange::Removed)
    }

    /// Applies [`Endpoints::mark_missing`] to each endpoint that is not in the complete list.
    pub fn reconcile(
        &mut self,
        listed: &[CompactString],
        now: Time,
    ) -> Vec<(CompactString, EndpointChange)> {
        let absent: Vec<_> = self
            .members
            .keys()
            .filter(|id| !listed.contains(id))
            .cloned()
            .collect();
        absent
            .into_iter()
            .filter_map(|id| self.mark_missing(&id, now).map(|change| (id, change)))
            .collect()
    }

    /// Removes the suspect endpoints whose grace time is over, as their entries are still missing;
    /// returns their identifiers.
    pub fn expire(&mut self, now: Time) -> Vec<CompactString> {
        let expired: Vec<CompactString> = self
            .suspects
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.suspects.remove(id);
            self.members.remove(id);
        }
        expired
    }

    fn insert(&mut self, endpoint: Endpoint) {
        let member = Member {
            pool: Pool::new(endpoint.address),
            endpoint: Arc::new(endpoint),
        };
        self.members.insert(member.endpoint.id.clone(), member);
    }
}
