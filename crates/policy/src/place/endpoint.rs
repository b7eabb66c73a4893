//! What one host knows of one endpoint, and the expected cost of a request there.

use std::collections::HashMap;

use units::{Span, Time, Tokens};

use super::{Candidate, Chunk, Demand, Observation};
use crate::limit::Limit;

/// Prefill time of a token in microseconds: about 30 tokens a millisecond, the rate of the slower
/// engines.
pub const PREFILL_US_PER_TOKEN: f64 = 34.0;
/// Weight of the prefill time of uncached tokens. It is above 1 because reading them again delays
/// all other requests of the endpoint, and because noise in the observed delays at peak load would
/// otherwise move programs away from their cached prompts.
const MISSING_WEIGHT: f64 = 2.0;
/// Time in which the share of requests that an endpoint may get grows after it has joined: its cache
/// is empty, and all hosts find it idle at the same moment.
const RAMP: Span = Span::from_ms(2_000);
/// Share of requests for which an endpoint may be chosen when it has just joined.
const RAMP_START: f64 = 0.1;
/// Half-life of an observed delay: queues of bursts last seconds.
const DELAY_HALF_LIFE_SECONDS: f64 = 1.0;
/// Weight of a new sample in the delay of an endpoint.
const DELAY_SAMPLE_WEIGHT: f64 = 0.4;
/// Time after its last use for which a chunk counts as cached.
const CHUNK_LIFETIME: Span = Span::from_ms(30_000);
/// Largest number of chunks recorded for one endpoint.
const CHUNKS_MAX: usize = 4_096;
/// Cost of a fault in microseconds: above any queue at low load, below a timeout.
const FAULT_COST_US: f64 = 400_000.0;
/// Half-life of a fault.
const FAULT_HALF_LIFE_SECONDS: f64 = 2.0;
/// Share of an unseen prompt that counts as cached at the endpoint of the program's latest turn.
const LAST_ENDPOINT_CACHED_SHARE: f64 = 0.9;

#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    pub(super) info: Candidate,
    pub(super) is_present: bool,
    pub(super) outstanding: u32,
    /// Outstanding requests that were not sent yet.
    pub(super) unsent: u32,
    pub(super) limit: Option<Limit>,
    pub(super) backlog_tokens: f64,
    pub(super) delay_us: f64,
    pub(super) delay_at: Time,
    pub(super) fault_score: f64,
    pub(super) fault_at: Time,
    /// Time of the last use of each chunk, by its identifier.
    pub(super) chunk_uses: HashMap<u64, Time>,
    /// When the endpoint joined others of its service.
    joined_at: Option<Time>,
}

impl Endpoint {
    /// Creates the state of an endpoint. `joined_at` is set if others of its service were there before.
    pub(super) fn new(info: Candidate, joined_at: Option<Time>) -> Self {
        Endpoint {
            info,
            joined_at,
            is_present: true,
            outstanding: 0,
            unsent: 0,
            limit: None,
            backlog_tokens: 0.0,
            delay_us: 0.0,
            delay_at: Time(0),
            fault_score: 0.0,
            fault_at: Time(0),
            chunk_uses: HashMap::new(),
        }
    }

    /// Returns how long it takes until the limit allows another request; zero if there is none.
    pub(super) fn limit_wait(&self, now: Time) -> Span {
        let Some(limit) = &self.limit else {
            return Span(0);
        };
        limit.allowed_at(self.unsent, now).since(now)
    }

    /// Cost of the network path of a request, in microseconds.
    pub(super) fn path_cost(&self, demand: &Demand<'_>) -> f64 {
        let path = self.info.transfer_cost;
        path.per_request.0 as f64 + path.per_kilobyte.0 as f64 * demand.bytes as f64 / 1_000.0
    }

    /// Cost of sending a request to this endpoint, in microseconds: its expected time to the first
    /// token, with weights. The first `presumed_chunks` chunks of the prompt count as cached.
    pub(super) fn cost(
        &self,
        demand: &Demand<'_>,
        presumed_chunks: usize,
        service_time_us: f64,
        now: Time,
    ) -> f64 {
        let faults = FAULT_COST_US * self.fault_level(now);
        let work = if self.info.is_model {
            let missing = self.uncached_tokens(demand, presumed_chunks, now).0 as f64;
            (missing * MISSING_WEIGHT + self.backlog_tokens) * PREFILL_US_PER_TOKEN
                + self.delay_level(now)
        } else {
            f64::from(self.outstanding) * service_time_us
        };
        let limit_wait = self.limit_wait(now).0 as f64;
        self.path_cost(demand) + faults + work + self.slot_wait(service_time_us) + limit_wait
    }

    /// Whether a request with this hash, from 0 to 1, may be sent: all of them, except soon after the
    /// endpoint has joined.
    pub(super) fn is_open_to(&self, unit_hash: f64, now: Time) -> bool {
        unit_hash < self.open_share(now)
    }

    /// Share of requests that may be sent, from 0 to 1, above 1 some time after the endpoint has joined.
    fn open_share(&self, now: Time) -> f64 {
        self.joined_at.map_or(f64::INFINITY, |joined_at| {
            RAMP_START + now.since(joined_at).0 as f64 / RAMP.0 as f64
        })
    }

    /// Describes the endpoint for operators.
    pub(super) fn describe(&self, now: Time) -> Observation {
        let is_cached = |used_at: &&Time| now.since(**used_at) < CHUNK_LIFETIME;
        let is_observed = self.delay_at > Time(0);
        Observation {
            endpoint: self.info.id.clone(),
            service: self.info.service.clone(),
            release: self.info.release.clone(),
            zone: self.info.zone.clone(),
            is_present: self.is_present,
            open_percent: (self.open_share(now).min(1.0) * 100.0) as u8,
            outstanding: self.outstanding,
            backlog_tokens: self.backlog_tokens as u64,
            cached_chunks: self.chunk_uses.values().filter(is_cached).count(),
            delay_ms: self.delay_level(now) as u64 / 1_000,
            delay_age_ms: is_observed.then(|| now.since(self.delay_at).as_ms()),
            faults: (self.fault_level(now) * 100.0).round() / 100.0,
            limit_wait_ms: self.limit_wait(now).as_ms(),
        }
    }

    /// Expected wait for a slot in microseconds; zero while the endpoint has a free one.
    pub(super) fn slot_wait(&self, service_time_us: f64) -> f64 {
        let slots = self.info.slots.max(1);
        let excess = (self.outstanding + 1).saturating_sub(slots);
        f64::from(excess) * service_time_us / f64::from(slots)
    }

    /// Returns the tokens of a prompt that are probably not cached here. The first `presumed_chunks`
    /// chunks count as cached.
    pub(super) fn uncached_tokens(
        &self,
        demand: &Demand<'_>,
        presumed_chunks: usize,
        now: Time,
    ) -> Tokens {
        let is_cached = |chunk: &&Chunk| {
            self.chunk_uses
                .get(&chunk.id)
                .is_some_and(|used_at| now.since(*used_at) < CHUNK_LIFETIME)
        };
        let cached = demand.chunks.iter().take_while(is_cached).count();
        let missing = demand.chunks[cached.max(presumed_chunks)..].iter();
        let missing = missing.fold(Tokens(0), |sum, chunk| sum.plus(chunk.tokens));
        // The last chunk is new with each request; the endpoint of the latest turn has read the
        // others.
        let last = demand.chunks.last().map_or(Tokens(0), |chunk| chunk.tokens);
        if !demand.last_endpoint.is_empty()
            && demand.last_endpoint == self.info.id
            && missing > last
        {
            let before = missing.minus(last).0 as f64;
            return last.plus(Tokens((before * (1.0 - LAST_ENDPOINT_CACHED_SHARE)) as u64));
        }
        missing
    }

    /// Records the use of `chunks`; drops expired ones, or all earlier ones if too many remain.
    pub(super) fn record_use(&mut self, chunks: &[Chunk], now: Time) {
        if self.chunk_uses.len() + chunks.len() > CHUNKS_MAX {
            self.chunk_uses
                .retain(|_, used_at| now.since(*used_at) < CHUNK_LIFETIME);
        }
        if self.chunk_uses.len() + chunks.len() > CHUNKS_MAX {
            self.chunk_uses.clear();
        }
        for chunk in chunks {
            self.chunk_uses.insert(chunk.id, now);
        }
    }

    /// Records by how many microseconds a first token came later than its own prefill explains.
    pub(super) fn record_delay(&mut self, excess: f64, now: Time) {
        let level = self.delay_level(now);
        self.delay_us = level + DELAY_SAMPLE_WEIGHT * (excess - level);
        self.delay_at = now;
    }

    pub(super) fn delay_level(&self, now: Time) -> f64 {
        let age = now.since(self.delay_at).as_secs_f64();
        self.delay_us * (-age / DELAY_HALF_LIFE_SECONDS).exp2()
    }

    pub(super) fn fault_level(&self, now: Time) -> f64 {
        let age = now.since(self.fault_at).as_secs_f64();
        self.fault_score * (-age / FAULT_HALF_LIFE_SECONDS).exp2()
    }
}
