//! The list of gateways, and which of them fail.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;

use compact_str::CompactString;
use serde::Serialize;
use store::api::{Row, Value};
use units::{Host, Incarnation, Span, Time, Zone};

use crate::prompt::stable_hash;

/// Time after the last failure of any peer until failed peers are called like the others again.
const FAILED_PEER_BACKOFF: Span = Span::from_ms(3_000);

/// A gateway, as its row describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Peer {
    /// Host that the gateway runs on; the key of its row.
    pub host: Host,
    /// Identifies the start of the process.
    pub incarnation: Incarnation,
    /// Address at which the gateway accepts peers.
    pub address: SocketAddr,
    /// Availability zone of the host.
    pub zone: Zone,
    /// Processor time of the host in thousandths of a core; 0 if unknown. Rows of earlier releases end
    /// before it, and these ignore it.
    pub processor: u32,
}

impl Peer {
    /// Decodes the value of a row.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        let config = bincode::config::standard().with_limit::<4_096>();
        let ((host, incarnation, address, zone), length) =
            bincode::serde::decode_from_slice(bytes, config).ok()?;
        let processor = bincode::serde::decode_from_slice(&bytes[length..], config);
        Some(Peer {
            host,
            incarnation,
            address,
            zone,
            processor: processor.map_or(0, |(processor, _)| processor),
        })
    }

    pub(crate) fn encode(&self) -> Vec<u8> {
        // Plain data of bounded size always encodes; an empty row is skipped by readers.
        bincode::serde::encode_to_vec(self, bincode::config::standard()).unwrap_or_default()
    }
}

/// A gateway, with the version of its row.
#[derive(Debug)]
struct Listed {
    peer: Peer,
    row_version: u64,
}

/// The known gateways and their recent failures.
#[derive(Debug, Default)]
pub struct Roster {
    listed: HashMap<CompactString, Listed>,
    /// When each peer failed last to make a call of the store, unless one has succeeded since.
    failures: HashMap<Host, Time>,
    /// When each peer failed last to answer as a meter: one that does not reach the store answers.
    meter_failures: HashMap<Host, Time>,
    last_failure: Time,
    /// Whether all gateways have been listed at some time. An empty list says nothing before that.
    is_known: bool,
}

impl Roster {
    /// Inserts or replaces the gateway of a row, and clears the failures of its host. Returns whether
    /// the row is newer than the one that is known; another one is ignored.
    pub fn insert(&mut self, key: &CompactString, peer: Peer, row_version: u64) -> bool {
        let known = self.listed.get(key);
        if known.is_some_and(|known| known.row_version >= row_version) {
            return false;
        }
        self.failures.remove(&peer.host);
        self.meter_failures.remove(&peer.host);
        let listed = Listed { peer, row_version };
        self.listed.insert(key.clone(), listed);
        true
    }

    /// Removes the gateway whose row was deleted.
    pub fn remove(&mut self, key: &str) {
        self.listed.remove(key);
    }

    /// Removes the gateways whose rows are not among `listed`, the keys of all rows. The list is known
    /// from then on.
    pub fn reconcile(&mut self, listed: &[CompactString]) {
        self.set_known();
        self.listed.retain(|key, _| listed.contains(key));
    }

    /// Records that a call through a peer failed.
    pub fn record_failure(&mut self, host: &Host, now: Time) {
        self.failures.insert(host.clone(), now);
        self.last_failure = now;
    }

    /// Records that a peer did not answer as a meter.
    pub fn record_meter_failure(&mut self, host: &Host, now: Time) {
        self.meter_failures.insert(host.clone(), now);
    }

    /// Records that a call through a peer succeeded.
    pub fn record_success(&mut self, host: &Host) {
        self.failures.remove(host);
    }

    /// Returns the peers of `own` in the order in which they are to be called: first those without a
    /// failure, among these first those of the same availability zone, then the failed ones, the
    /// latest failure last. Each peer thus has its turn while calls keep failing. Failures are
    /// forgotten some time after the last one. `spread` orders equal peers differently on each host.
    pub fn call_order(&self, own: &Peer, spread: u64, now: Time) -> Vec<Peer> {
        let is_backing_off = now.since(self.last_failure) < FAILED_PEER_BACKOFF;
        let failed_at = |peer: &Peer| {
            let failure = self.failures.get(&peer.host).copied();
            failure.filter(|_| is_backing_off)
        };
        let mut peers: Vec<&Peer> = self.peers().collect();
        peers.retain(|peer| peer.host != own.host);
        peers.sort_by_key(|peer| {
            let tie_break = spread.wrapping_mul(peer.incarnation.0 | 1);
            (failed_at(peer), peer.zone != own.zone, tie_break)
        });
        peers.into_iter().cloned().collect()
    }

    /// Returns the gateways in the order in which they meter a group of client accounts: first those
    /// that did not fail as meters recently, the ones with the most processor time, in an order that
    /// differs between groups.
    pub fn meter_order(&self, group: u64, now: Time) -> Vec<Peer> {
        let is_failed = |peer: &Peer| {
            let failure = self.meter_failures.get(&peer.host);
            failure.is_some_and(|failed_at| now.since(*failed_at) < FAILED_PEER_BACKOFF)
        };
        let mut peers: Vec<&Peer> = self.peers().collect();
        peers.sort_by_cached_key(|peer| {
            let tie_break = stable_hash(&format!("{group}/{}", peer.host));
            (is_failed(peer), Reverse(peer.processor), tie_break)
        });
        peers.into_iter().cloned().collect()
    }

    /// Records that all gateways have been listed.
    pub fn set_known(&mut self) {
        self.is_known = true;
    }

    /// Whether all gateways have been listed at some time.
    pub fn is_known(&self) -> bool {
        self.is_known
    }

    /// Whether the gateway on `own` may meter client accounts. The others take their parts of a limit
    /// from the number of listed hosts, so one that does not know the list or is not on it has none.
    pub fn may_meter(&self, own: &Host) -> bool {
        self.is_known && self.peers().any(|peer| peer.host == *own)
    }

    /// Whether a listed gateway has this incarnation.
    pub fn contains(&self, incarnation: Incarnation) -> bool {
        let mut peers = self.peers();
        peers.any(|peer| peer.incarnation == incarnation)
    }

    /// Returns the listed gateways, including this one.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.listed.values().map(|listed| &listed.peer)
    }

    /// Returns the rows of the list.
    pub(crate) fn rows(&self) -> Vec<Row> {
        let rows = self.listed.iter().map(|(key, listed)| Row {
            key: key.clone(),
            version: listed.row_version,
            value: Value(listed.peer.encode()),
        });
        rows.collect()
    }

    /// Returns the number of listed gateways, including this one.
    pub fn count(&self) -> usize {
        self.listed.len()
    }
}
