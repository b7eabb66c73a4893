//! How all hosts of an availability zone rank the endpoints for a request.
//!
//! The nearest endpoints that are ranked first for the first part of a prompt are its homes: they count
//! as having it cached at each host, so that few endpoints read it.

use units::Time;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Demand;
use super::endpoint::Endpoint;
use super::parts::SharedParts;

/// Share of the nearest endpoints, as a divisor, that are homes of the same part: each of them reads it
/// once, and the load of a popular part is spread over all.
const HOME_DIVISOR: usize = 4;

/// An endpoint that may be chosen.
pub(super) struct Ranked<'a> {
    pub(super) endpoint: &'a Endpoint,
    /// Weight for the program or object.
    pub(super) weight: u64,
    /// Weight for the first part of the prompt.
    part_weight: u64,
    is_near: bool,
}

/// The endpoints that may be chosen for a request, as all hosts of an availability zone rank them.
pub(super) struct Ranking<'a> {
    pub(super) ranked: Vec<Ranked<'a>>,
    /// Weight of the endpoint that the program or object prefers.
    pub(super) preferred: Option<u64>,
    /// Number of chunks at the start of the prompt that other programs share.
    shared_chunks: usize,
    /// Least weight with which an endpoint counts as one that has these chunks.
    home_weight: u64,
}

impl<'a> Ranking<'a> {
    /// Ranks the endpoints for a request. Those that have just joined are left out of most requests,
    /// unless there are no others.
    pub(super) fn new(
        candidates: impl Iterator<Item = &'a Endpoint> + Clone,
        demand: &Demand<'_>,
        parts: &SharedParts,
        now: Time,
    ) -> Self {
        let path_costs = candidates
            .clone()
            .map(|endpoint| endpoint.path_cost(demand));
        let shortest = path_costs.fold(f64::INFINITY, f64::min);
        let shared_chunks = if demand.is_suspect {
            0
        } else {
            parts.count(demand.chunks, demand.last_endpoint.is_empty())
        };
        let part_key = demand.chunks.first().map_or(0, |chunk| chunk.id);
        let ranked = candidates.map(|endpoint| Ranked {
            weight: rendezvous_weight(demand.hash_key, &endpoint.info.id),
            part_weight: rendezvous_weight(part_key, &endpoint.info.id),
            is_near: endpoint.path_cost(demand) <= shortest,
            endpoint,
        });
        let (open, joining): (Vec<_>, Vec<_>) = ranked.partition(|candidate| {
            let unit_hash = candidate.weight as f64 / u64::MAX as f64;
            let is_last = candidate.endpoint.info.id == demand.last_endpoint;
            is_last || candidate.endpoint.is_open_to(unit_hash, now)
        });
        let ranked = if open.is_empty() { joining } else { open };
        let near = ranked.iter().filter(|candidate| candidate.is_near);
        let mut part_weights: Vec<u64> = near.map(|candidate| candidate.part_weight).collect();
        part_weights.sort_unstable_by(|a, b| b.cmp(a));
        let homes = part_weights.len().div_ceil(HOME_DIVISOR);
        let preferring = ranked
            .iter()
            .filter(|candidate| demand.is_suspect || candidate.is_near);
        Ranking {
            preferred: preferring.map(|candidate| candidate.weight).max(),
            shared_chunks,
            home_weight: homes
                .checked_sub(1)
                .map_or(u64::MAX, |last| part_weights[last]),
            ranked,
        }
    }

    /// Returns how many chunks of the prompt count as cached at an endpoint, although this host may
    /// not have sent them there: the other hosts of the zone send them to the same endpoints.
    pub(super) fn presumed_chunks(&self, candidate: &Ranked<'_>) -> usize {
        let is_home = candidate.is_near && candidate.part_weight >= self.home_weight;
        if is_home { self.shared_chunks } else { 0 }
    }
}

/// Weight of an endpoint in rendezvous hashing: the same for a key and an identifier at each host.
fn rendezvous_weight(key: u64, id: &str) -> u64 {
    xxh3_64_with_seed(id.as_bytes(), key)
}
