//! The choice of an endpoint for a request by the parts of its prompt.
//!
//! It answers two loads. On a calm day most of a prompt is in some endpoint's memory, and a request
//! that goes elsewhere costs the time to read it again. At a crest the queue is what counts. So each
//! endpoint is rated by the expected time to the first token: the work queued there, the part of
//! the prompt that is probably missing, and the way. A host sees its own requests only; how long
//! first tokens really took tells of the work of the others.

use std::collections::HashMap;

use compact_str::CompactString;
use units::{Span, Time, Tokens, Zone};

use crate::estimate::Mean;

/// Time to read a token of a prompt, in microseconds: about 30 tokens a millisecond, the slower of
/// the engines served.
const PREFILL: f64 = 34.0;
/// How much more a token that has to be read again counts than the time it takes: it delays all
/// others of that endpoint as well, and at a crest noise in the observed delays would move programs
/// about.
const MISSING_WEIGHT: f64 = 2.0;
/// Time that a request of a plain service takes before any was observed.
const SERVICE_START: f64 = 50_000.0;
/// Half-life of an observed delay: queues of bursts last seconds.
const DELAY_HALF_LIFE_SECONDS: f64 = 1.0;
/// Weight of a new observation in the delay of an endpoint.
const DELAY_WEIGHT: f64 = 0.4;
/// How long a part is believed to be in memory after its last use.
const MEMORY_LIFE: Span = Span::from_ms(30_000);
/// Parts remembered for one endpoint.
const PARTS_MAX: usize = 4_096;
/// How much a fault counts as delay: more than any calm queue, less than a timeout.
const FAULT_DELAY: f64 = 400_000.0;
/// How much of a fault an error of the endpoint's own counts, or a request that it did not take on:
/// services have some of them on good days.
const MINOR_SHARE: f64 = 0.5;
/// Half-life of a fault.
const FAULT_HALF_LIFE_SECONDS: f64 = 2.0;
/// How much better the endpoint is rated that all hosts prefer for an unknown program, so that they
/// agree on it as long as loads are about equal.
const AGREED_BONUS: f64 = 4_000.0;
/// Share of the memory of an endpoint that a home is believed to hold of an unseen prompt.
const HOME_SHARE: f64 = 0.9;

/// A part of a prompt, identified together with all parts before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Identity of the prompt up to the end of this part.
    pub id: u64,
    /// Length of this part.
    pub tokens: Tokens,
}

/// What is known of an endpoint from its entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Its identifier.
    pub id: CompactString,
    /// Its service.
    pub service: CompactString,
    /// Its availability zone.
    pub zone: Zone,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is a model engine.
    pub is_model: bool,
    /// Tells starts under the same identifier apart.
    pub start_id: u64,
    /// How much the way there counts, by round trip and by each kilobyte.
    pub transfer_cost: TransferCost,
}

/// What the way to an endpoint costs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TransferCost {
    /// Per request.
    pub per_request: Span,
    /// Per kilobyte of the request.
    pub per_kilobyte: Span,
}

/// A request to be placed.
#[derive(Clone, Debug)]
pub struct Demand<'a> {
    /// The service.
    pub service: &'a str,
    /// The prompt; empty for plain services.
    pub chunks: &'a [Chunk],
    /// Size of the request in bytes.
    pub bytes: u64,
    /// The endpoint that ran the latest turn of the program.
    pub last_endpoint: &'a str,
    /// Spreads programs, or objects, over endpoints in the same way at each host.
    pub hash_key: u64,
}

/// How an endpoint served a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// As it should, or the request was given up for another reason.
    #[default]
    None,
    /// It answered with an error of its own, or did not take the request on.
    Minor,
    /// It could not be reached, broke off, or answered with what is no answer.
    Failed,
}

impl Fault {
    fn weight(self) -> f64 {
        match self {
            Fault::None => 0.0,
            Fault::Minor => MINOR_SHARE,
            Fault::Failed => 1.0,
        }
    }
}

/// A choice, to be given back by [`Balancer::finish`].
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The endpoint.
    pub id: CompactString,
    /// Tokens that it will probably have to read.
    pub missing: Tokens,
    /// Expected time to the first token.
    pub expected: Span,
    /// Endpoints that were compared.
    pub compared: usize,
    start_id: u64,
}

#[derive(Clone, Debug)]
struct Endpoint {
    info: Candidate,
    present: bool,
    outstanding: u32,
    backlog: f64,
    delay: f64,
    delay_at: Time,
    faults: f64,
    fault_at: Time,
    memory: HashMap<u64, Time>,
}

/// The endpoints as one host sees them.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    endpoints: HashMap<CompactString, Endpoint>,
    service_time: HashMap<CompactString, Mean>,
}

impl Balancer {
    /// Takes in the endpoints that may get requests; what is known of the others is kept while they
    /// have requests.
    pub fn sync(&mut self, candidates: impl Iterator<Item = Candidate>) {
        self.endpoints
            .values_mut()
            .for_each(|endpoint| endpoint.present = false);
        for candidate in candidates {
            match self.endpoints.get_mut(&candidate.id) {
                Some(endpoint) if endpoint.info.start_id == candidate.start_id => {
                    endpoint.info = candidate;
                    endpoint.present = true;
                }
                _ => drop(
                    self.endpoints
                        .insert(candidate.id.clone(), Endpoint::new(candidate)),
                ),
            }
        }
        self.endpoints
            .retain(|_, endpoint| endpoint.present || endpoint.outstanding > 0);
    }

    /// Chooses an endpoint, other than those in `except`, and counts the request there.
    pub fn choose(
        &mut self,
        demand: &Demand<'_>,
        except: &[CompactString],
        now: Time,
    ) -> Option<Choice> {
        let service_time = self
            .service_time
            .get(demand.service)
            .map_or(SERVICE_START, Mean::value);
        let candidates = self.endpoints.values().filter(|endpoint| {
            endpoint.present
                && endpoint.info.service == demand.service
                && !except.contains(&endpoint.info.id)
        });
        let agreed = candidates
            .clone()
            .max_by_key(|endpoint| weight(demand.hash_key, &endpoint.info.id))
            .map(|endpoint| endpoint.info.id.clone());
        let mut compared = 0;
        let mut best: Option<(f64, &Endpoint)> = None;
        for endpoint in candidates {
            compared += 1;
            let mut cost = endpoint.cost(demand, service_time, now);
            if agreed.as_ref() == Some(&endpoint.info.id) {
                cost -= AGREED_BONUS;
            }
            let better = best
                .is_none_or(|(least, other)| (cost, &endpoint.info.id) < (least, &other.info.id));
            if better {
                best = Some((cost, endpoint));
            }
        }
        let (cost, endpoint) = best?;
        let missing = endpoint.missing(demand, now);
        let id = endpoint.info.id.clone();
        let endpoint = self.endpoints.get_mut(&id)?;
        endpoint.outstanding += 1;
        endpoint.backlog += missing.0 as f64;
        Some(Choice {
            id,
            missing,
            expected: Span(cost.max(0.0) as u64),
            compared,
            start_id: endpoint.info.start_id,
        })
    }

    /// Takes in that the request was sent there: from now on its prompt is in that memory.
    pub fn record_sent(&mut self, choice: &Choice, chunks: &[Chunk], now: Time) {
        if let Some(endpoint) = self.endpoint(choice) {
            endpoint.remember(chunks, now);
        }
    }

    /// Takes in that the first token, or the answer of a plain service, came after `span`.
    pub fn record_first_token(&mut self, choice: &Choice, span: Span, now: Time) {
        let Some(endpoint) = self.endpoint(choice) else {
            return;
        };
        endpoint.backlog = (endpoint.backlog - choice.missing.0 as f64).max(0.0);
        if endpoint.info.is_model {
            let own = choice.missing.0 as f64 * PREFILL;
            let excess =
                (span.0 as f64 - own - endpoint.info.transfer_cost.per_request.0 as f64).max(0.0);
            endpoint.observe(excess, now);
        } else {
            let service = endpoint.info.service.clone();
            self.service_time
                .entry(service)
                .or_insert_with(|| Mean::new(SERVICE_START, 0.05))
                .add_limited(span.0 as f64, 4.0);
        }
    }

    /// Takes in that a request is no longer at its endpoint, and how it was served there.
    pub fn finish(&mut self, choice: &Choice, begun: bool, fault: Fault, now: Time) {
        let Some(endpoint) = self.endpoint(choice) else {
            return;
        };
        endpoint.outstanding = endpoint.outstanding.saturating_sub(1);
        if !begun {
            endpoint.backlog = (endpoint.backlog - choice.missing.0 as f64).max(0.0);
        }
        if fault != Fault::None {
            endpoint.faults = endpoint.fault_level(now) + fault.weight();
            endpoint.fault_at = now;
        }
    }

    /// Requests of this host at an endpoint.
    pub fn outstanding(&self, id: &str) -> u32 {
        self.endpoints
            .get(id)
            .map_or(0, |endpoint| endpoint.outstanding)
    }

    fn endpoint(&mut self, choice: &Choice) -> Option<&mut Endpoint> {
        let endpoint = self.endpoints.get_mut(&choice.id)?;
        (endpoint.info.start_id == choice.start_id).then_some(endpoint)
    }
}

impl Endpoint {
    fn new(info: Candidate) -> Self {
        Endpoint {
            info,
            present: true,
            outstanding: 0,
            backlog: 0.0,
            delay: 0.0,
            delay_at: Time(0),
            faults: 0.0,
            fault_at: Time(0),
            memory: HashMap::new(),
        }
    }

    fn cost(&self, demand: &Demand<'_>, service_time: f64, now: Time) -> f64 {
        let way = self.info.transfer_cost;
        let way =
            way.per_request.0 as f64 + way.per_kilobyte.0 as f64 * demand.bytes as f64 / 1_000.0;
        let faults = FAULT_DELAY * self.fault_level(now);
        let work = if self.info.is_model {
            let missing = self.missing(demand, now).0 as f64;
            (missing * MISSING_WEIGHT + self.backlog) * PREFILL + self.delay_level(now)
        } else {
            f64::from(self.outstanding) * service_time
        };
        way + faults + work + self.waiting(service_time)
    }

    /// What a request beyond the slots waits for one.
    fn waiting(&self, service_time: f64) -> f64 {
        let slots = self.info.slots.max(1);
        let over = (self.outstanding + 1).saturating_sub(slots);
        f64::from(over) * service_time / f64::from(slots)
    }

    fn missing(&self, demand: &Demand<'_>, now: Time) -> Tokens {
        let fresh = |chunk: &&Chunk| {
            self.memory
                .get(&chunk.id)
                .is_some_and(|at| now.since(*at) < MEMORY_LIFE)
        };
        let held = demand.chunks.iter().take_while(fresh).count();
        let missing = demand.chunks[held..].iter();
        let missing = missing.fold(Tokens(0), |sum, chunk| sum.plus(chunk.tokens));
        // The last part is new with each request; what comes before it is at the home.
        let last = demand.chunks.last().map_or(Tokens(0), |chunk| chunk.tokens);
        if !demand.last_endpoint.is_empty()
            && demand.last_endpoint == self.info.id
            && missing > last
        {
            let before = missing.minus(last).0 as f64;
            return last.plus(Tokens((before * (1.0 - HOME_SHARE)) as u64));
        }
        missing
    }

    fn remember(&mut self, chunks: &[Chunk], now: Time) {
        if self.memory.len() + chunks.len() > PARTS_MAX {
            self.memory.retain(|_, at| now.since(*at) < MEMORY_LIFE);
        }
        if self.memory.len() + chunks.len() > PARTS_MAX {
            self.memory.clear();
        }
        for chunk in chunks {
            self.memory.insert(chunk.id, now);
        }
    }

    fn observe(&mut self, excess: f64, now: Time) {
        let level = self.delay_level(now);
        self.delay = level + DELAY_WEIGHT * (excess - level);
        self.delay_at = now;
    }

    fn delay_level(&self, now: Time) -> f64 {
        let age = now.since(self.delay_at).as_secs_f64();
        self.delay * (-age / DELAY_HALF_LIFE_SECONDS).exp2()
    }

    fn fault_level(&self, now: Time) -> f64 {
        let age = now.since(self.fault_at).as_secs_f64();
        self.faults * (-age / FAULT_HALF_LIFE_SECONDS).exp2()
    }
}

/// A weight of an endpoint for a key that is the same at each host.
fn weight(key: u64, id: &str) -> u64 {
    let mut hash = key ^ 0x9e37_79b9_7f4a_7c15;
    for byte in id.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    hash ^ (hash >> 29)
}
