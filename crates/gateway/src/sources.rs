//! From where a host gets the environment: from the store, or from a host of its region.
//!
//! All hosts rank the hosts of a region in the same way. A host follows one that is ranked before it,
//! first one of its own availability zone, so that one host of a region reads from the store, and a
//! failed host is replaced by the next one without any agreement. A host that does not reach the store
//! follows any other that does. Lists of hosts may differ, so hosts may follow each other for a
//! moment; no copy then becomes current, its age grows, and the hosts look for other sources.

use std::collections::HashMap;

use units::{Host, Incarnation, Region, Span, Time, Zone};

use crate::prompt::stable_hash;
use crate::roster::Peer;

/// Age of a copy at which another source is looked for, for the hosts ranked first. A copy in use is
/// younger: the intervals of three hosts that follow each other, and their round trips.
const AGE_MAX: Span = Span::from_ms(1_350);
/// How much later each of the next ranks does so: the one before it, which may have to call the store,
/// then has a copy that arrives, and the way to the store is not shared by all.
const AGE_MAX_STEP: Span = Span::from_ms(100);
/// Number of steps after which further ranks look for another source at the same age.
const AGE_MAX_STEPS: usize = 5;
/// Age at which no further host is tried.
const TRY_AGE_MAX: Span = Span::from_ms(2_000);
/// How long a host that failed is not followed; doubles with each failure in series.
const BACKOFF_MIN: Span = Span::from_ms(1_000);
/// How often that time doubles at most.
const BACKOFF_DOUBLINGS_MAX: u32 = 4;
/// How long after a failed call of the store any host may be followed.
const STORE_BACKOFF: Span = Span::from_ms(1_000);

/// Where the environment is read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// From the store.
    Store,
    /// From a host that has a copy.
    Peer(Peer),
}

#[derive(Clone, Copy, Debug)]
struct Failure {
    incarnation: Incarnation,
    retry_at: Time,
    count: u32,
}

/// The failures of possible sources.
#[derive(Clone, Debug, Default)]
pub struct Sources {
    failures: HashMap<Host, Failure>,
    store_failed_at: Option<Time>,
}

impl Sources {
    /// Records that a peer could not be followed any more.
    pub fn record_failure(&mut self, peer: &Peer, now: Time) {
        let previous = self.failures.get(&peer.host);
        let previous = previous.filter(|failure| failure.incarnation == peer.incarnation);
        let count = previous.map_or(0, |failure| failure.count + 1);
        let backoff = Span(BACKOFF_MIN.0 << count.min(BACKOFF_DOUBLINGS_MAX));
        let failure = Failure {
            incarnation: peer.incarnation,
            retry_at: now.after(backoff),
            count,
        };
        self.failures.insert(peer.host.clone(), failure);
    }

    /// Records that a peer had a current copy.
    pub fn record_success(&mut self, peer: &Peer) {
        self.failures.remove(&peer.host);
    }

    /// Records the result of a call of the store.
    pub fn record_store(&mut self, is_reached: bool, now: Time) {
        self.store_failed_at = (!is_reached).then_some(now);
    }

    /// Chooses a source for the host `own`, whose copy has this age, among all listed hosts.
    pub fn choose(
        &self,
        own: &Peer,
        peers: &[Peer],
        regions: &HashMap<Zone, Region>,
        age: Span,
        now: Time,
    ) -> Source {
        let order = Order::new(own, peers, regions);
        let is_store_failing = self
            .store_failed_at
            .is_some_and(|failed_at| now.since(failed_at) < STORE_BACKOFF);
        let others: &[&Peer] = if is_store_failing { &order.others } else { &[] };
        let mut candidates = order.earlier.iter().chain(others);
        let candidate = candidates.find(|peer| self.may_follow(peer, now));
        match candidate {
            Some(peer) if is_store_failing || age <= TRY_AGE_MAX => Source::Peer((*peer).clone()),
            _ => Source::Store,
        }
    }

    /// Whether `peer` is one that `own` follows while it reaches the store itself.
    pub fn is_regular(
        own: &Peer,
        peer: &Peer,
        peers: &[Peer],
        regions: &HashMap<Zone, Region>,
    ) -> bool {
        Order::new(own, peers, regions).earlier.contains(&peer)
    }

    /// Returns the age at which the copy of `own` is out of date.
    pub fn age_max(own: &Peer, peers: &[Peer], regions: &HashMap<Zone, Region>) -> Span {
        Order::new(own, peers, regions).age_max()
    }

    fn may_follow(&self, peer: &Peer, now: Time) -> bool {
        self.failures.get(&peer.host).is_none_or(|failure| {
            failure.incarnation != peer.incarnation || now >= failure.retry_at
        })
    }
}

/// The other hosts in the order in which they are tried.
struct Order<'a> {
    /// Hosts of the same region that are ranked before this one, first those of its zone.
    earlier: Vec<&'a Peer>,
    /// Hosts of other regions, then those of the same region that are ranked after this one, which
    /// probably follow it.
    others: Vec<&'a Peer>,
}

impl<'a> Order<'a> {
    fn new(own: &Peer, peers: &'a [Peer], regions: &HashMap<Zone, Region>) -> Self {
        let region = |peer: &Peer| regions.get(&peer.zone);
        let rank = |peer: &Peer| (stable_hash(peer.host.as_str()), peer.host.clone());
        let is_near = |peer: &&Peer| peer.zone == own.zone || region(peer) == region(own);
        let others = peers.iter().filter(|peer| peer.host != own.host);
        let (mut near, mut others): (Vec<&Peer>, Vec<&Peer>) = others.partition(is_near);
        near.sort_by_cached_key(|peer| rank(peer));
        others.sort_by_cached_key(|peer| rank(peer));
        let position = near.partition_point(|peer| rank(peer) < rank(own));
        others.extend(near.split_off(position));
        // The sort is stable: within the own zone and outside of it, the order stays.
        near.sort_by_key(|peer| peer.zone != own.zone);
        Order {
            earlier: near,
            others,
        }
    }

    fn age_max(&self) -> Span {
        let steps = self.earlier.len().saturating_sub(1).min(AGE_MAX_STEPS) as u64;
        Span(AGE_MAX.0 + AGE_MAX_STEP.0 * steps)
    }
}
