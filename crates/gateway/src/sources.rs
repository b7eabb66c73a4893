//! From where a host gets the environment: from the store, or from a host of its region.
//!
//! All hosts rank the hosts of a region in the same way. A host follows one that is ranked before it,
//! first one of its own availability zone, so that one host of a region reads from the store, and a
//! failed host is replaced by the next one without any agreement. Lists of hosts may differ, so hosts
//! may follow each other for a moment; no copy then becomes current, its age grows, and the host
//! calls the store.

use std::collections::HashMap;

use units::{Host, Incarnation, Region, Span, Time, Zone};

use crate::peers::Peer;
use crate::prompt::stable_hash;

/// Age of a copy at which the store is called, for the hosts ranked first. A copy in use is younger:
/// the intervals of three hosts that follow each other, and their round trips.
const AGE_MAX: Span = Span::from_ms(1_350);
/// How much later each of the next ranks calls the store, so that its predecessors have the time to
/// become current again.
const AGE_MAX_STEP: Span = Span::from_ms(150);
/// Number of steps after which further ranks call the store at the same age.
const AGE_MAX_STEPS: usize = 2;
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
        if !is_store_failing && age > order.age_max() {
            return Source::Store;
        }
        let mut candidates = if is_store_failing {
            order.all()
        } else {
            order.earlier.clone()
        };
        candidates.retain(|peer| self.may_follow(peer, now));
        // The sort is stable: within the own zone and outside of it, the order stays.
        candidates.sort_by_key(|peer| peer.zone != own.zone);
        match candidates.first() {
            Some(peer) => Source::Peer((*peer).clone()),
            None => Source::Store,
        }
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

/// The other hosts in the order of their ranks.
struct Order<'a> {
    /// Hosts of the same region that are ranked before this one.
    earlier: Vec<&'a Peer>,
    /// Hosts of the same region that are ranked after this one, then those of other regions.
    later: Vec<&'a Peer>,
}

impl<'a> Order<'a> {
    fn new(own: &Peer, peers: &'a [Peer], regions: &HashMap<Zone, Region>) -> Self {
        let region = |peer: &Peer| regions.get(&peer.zone);
        let rank = |peer: &Peer| (stable_hash(peer.host.as_str()), peer.host.clone());
        let is_near = |peer: &&Peer| peer.zone == own.zone || region(peer) == region(own);
        let others = peers.iter().filter(|peer| peer.host != own.host);
        let (mut near, mut far): (Vec<&Peer>, Vec<&Peer>) = others.partition(is_near);
        near.sort_by_cached_key(|peer| rank(peer));
        far.sort_by_cached_key(|peer| rank(peer));
        let position = near.partition_point(|peer| rank(peer) < rank(own));
        let mut later = near.split_off(position);
        later.extend(far);
        Order {
            earlier: near,
            later,
        }
    }

    fn all(&self) -> Vec<&'a Peer> {
        self.earlier.iter().chain(&self.later).copied().collect()
    }

    fn age_max(&self) -> Span {
        let steps = self.earlier.len().saturating_sub(1).min(AGE_MAX_STEPS) as u64;
        Span(AGE_MAX.0 + AGE_MAX_STEP.0 * steps)
    }
}
