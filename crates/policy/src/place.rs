//! Load balancing of a gateway host: chooses an endpoint for a request by the chunks of its prompt.
//!
//! Two situations matter. At low load, most of a prompt is cached at some endpoint, and any other
//! endpoint has to read it again. At peak load, the queue dominates. Each endpoint is therefore
//! rated by the expected time to the first token: the queued work, the part of the prompt that is
//! probably not cached, the network path, and the time until the endpoint's limit allows a request.
//! A host counts only its own requests; the work of other hosts shows in the observed time to the
//! first token.
//!
//! Many hosts that each see a small part of the load would have every endpoint read every part of
//! prompts that programs share. [`Ranking`] lets the hosts of an availability zone agree on the
//! endpoints that do, without any message between them.

use std::collections::HashMap;

use compact_str::CompactString;
use serde::Serialize;
use units::{Host, Rate, Span, Time, Tokens, Zone};

use crate::estimate::Mean;
use crate::limit::{Limit, LimitChange, Sender, Share, Target};

mod endpoint;
mod index;
mod parts;
mod ranking;

pub use self::endpoint::PREFILL_US_PER_TOKEN;

use self::endpoint::Endpoint;
use self::index::Index;
use self::parts::SharedParts;
use self::ranking::{Ranked, Ranking};

/// Service time of a request of a plain service before the first observation, in microseconds.
const INITIAL_SERVICE_TIME_US: f64 = 50_000.0;
/// Weight of a minor fault relative to a failure: healthy services also return a few errors.
const MINOR_FAULT_WEIGHT: f64 = 0.5;
/// Reduction of the cost of the preferred endpoint of a hash key, in microseconds. All hosts agree
/// on the preferred endpoint, so a program unknown to them goes there while loads are about equal.
const PREFERRED_BONUS_US: f64 = 2_000.0;
/// The same for a request that may have crashed endpoints: above the advantage of a cached prompt,
/// below the cost of a fault.
const SUSPECT_BONUS_US: f64 = 200_000.0;

/// A chunk of a prompt, identified together with all chunks before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Hash of the prompt up to the end of this chunk.
    pub id: u64,
    /// Length of this chunk.
    pub tokens: Tokens,
}

/// Description of an endpoint that requests may be sent to.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Identifier of the endpoint, kept across restarts.
    pub id: CompactString,
    /// Service that the endpoint is an instance of.
    pub service: CompactString,
    /// Release of the endpoint's software.
    pub release: CompactString,
    /// Availability zone of the endpoint.
    pub zone: Zone,
    /// Number of requests that the endpoint runs at once.
    pub slots: u32,
    /// Whether the endpoint is a model engine; otherwise it is a plain service.
    pub is_model: bool,
    /// Distinguishes the starts of an endpoint under the same identifier.
    pub start_id: u64,
    /// Cost of the network path to the endpoint.
    pub transfer_cost: TransferCost,
}

/// Cost of the network path to an endpoint, expressed as time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TransferCost {
    /// Cost of each request.
    pub per_request: Span,
    /// Cost of each kilobyte (1000 bytes) of the request.
    pub per_kilobyte: Span,
}

/// The properties of a request that decide which endpoint it is sent to.
#[derive(Clone, Debug)]
pub struct Demand<'a> {
    /// Service that the request is for.
    pub service: &'a str,
    /// The only release that may run the request, if it is bound to one.
    pub release: Option<&'a str>,
    /// Chunks of the prompt in order; empty for plain services.
    pub chunks: &'a [Chunk],
    /// Size of the request in bytes.
    pub bytes: u64,
    /// Identifier of the endpoint that ran the program's latest turn; empty if there is none.
    pub last_endpoint: &'a str,
    /// Hash of the program or object, for which all hosts prefer the same endpoint.
    pub hash_key: u64,
    /// Longest time that the request may wait until the limit of an endpoint allows it.
    pub max_wait: Span,
    /// Whether earlier attempts of the request ended with a crash of their endpoint. It then keeps to
    /// the preferred endpoint of its hash key, apart from other suspects.
    pub is_suspect: bool,
}

/// How an endpoint failed a request, if it did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// The endpoint served the request, or the request was abandoned for another reason.
    #[default]
    None,
    /// The endpoint answered with an error of its own or rejected the request.
    Minor,
    /// The endpoint was unreachable, closed the connection early, or sent an unusable response.
    Failed,
}

impl Fault {
    fn weight(self) -> f64 {
        match self {
            Fault::None => 0.0,
            Fault::Minor => MINOR_FAULT_WEIGHT,
            Fault::Failed => 1.0,
        }
    }
}

/// The chosen endpoint of a request, to be passed to [`Balancer::finish`] when the request ends.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Identifier of the endpoint.
    pub id: CompactString,
    /// Tokens of the prompt that are probably not cached at the endpoint.
    pub missing: Tokens,
    /// Expected time to the first token.
    pub expected: Span,
    /// Number of endpoints that were compared.
    pub compared: usize,
    /// When the limit of the endpoint allows the request.
    pub allowed_at: Time,
    /// Release of the endpoint's software.
    pub release: CompactString,
    start_id: u64,
    is_sent: bool,
}

/// What one host has observed of an endpoint, and whether it sends requests there.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Observation {
    /// Identifier of the endpoint.
    pub endpoint: CompactString,
    /// Service that it is an instance of.
    pub service: CompactString,
    /// Release of its software.
    pub release: CompactString,
    /// Its availability zone.
    pub zone: Zone,
    /// Whether requests may be sent there: false if it drains or has left, and its last requests run.
    pub is_present: bool,
    /// Percentage of requests that it may get; below 100 soon after it has joined.
    pub open_percent: u8,
    /// Outstanding requests of this host.
    pub outstanding: u32,
    /// Tokens of these requests that it still has to read.
    pub backlog_tokens: u64,
    /// Chunks of prompts that this host sent there and that count as cached.
    pub cached_chunks: usize,
    /// By how many milliseconds first tokens came later than their own prefill explains; decays.
    pub delay_ms: u64,
    /// Milliseconds since that was observed; `None` if never.
    pub delay_age_ms: Option<u64>,
    /// Number of recent failures; decays.
    pub faults: f64,
    /// Milliseconds until its limit allows a request.
    pub limit_wait_ms: u64,
}

/// The endpoints that one host can choose from, with the load it has observed at each.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    own_host: Option<Host>,
    senders: Vec<Sender>,
    endpoints: Index,
    service_time_us: HashMap<CompactString, Mean>,
    parts: SharedParts,
}

impl Balancer {
    /// Replaces the set of endpoints that can be chosen. The state of an endpoint that is no longer
    /// in the set is kept until its outstanding requests have finished.
    pub fn sync(&mut self, candidates: impl Iterator<Item = Candidate>) {
        self.endpoints
            .values_mut()
            .for_each(|endpoint| endpoint.is_present = false);
        candidates.for_each(|candidate| self.insert(candidate, None));
        self.endpoints
            .retain(|endpoint| endpoint.is_present || endpoint.outstanding > 0);
    }

    /// Adds an endpoint that can be chosen, or replaces its description. An engine that joins others
    /// gets a growing share of the requests at first.
    pub fn upsert(&mut self, candidate: Candidate, now: Time) {
        let others = self.endpoints.of_service(&candidate.service);
        let has_others = others.iter().any(|other| other.info.id != candidate.id);
        let is_joining = candidate.is_model && has_others;
        self.insert(candidate, is_joining.then_some(now));
    }

    fn insert(&mut self, candidate: Candidate, joined_at: Option<Time>) {
        match self.endpoints.get_mut(&candidate.id) {
            Some(endpoint) if endpoint.info.is_same_start(&candidate) => {
                endpoint.info = candidate;
                endpoint.is_present = true;
            }
            _ => self.endpoints.insert(Endpoint::new(candidate, joined_at)),
        }
    }

    /// Removes an endpoint from those that can be chosen. Its state is kept until its outstanding
    /// requests have finished.
    pub fn remove(&mut self, id: &str) {
        match self.endpoints.get_mut(id) {
            Some(endpoint) if endpoint.outstanding > 0 => endpoint.is_present = false,
            _ => self.endpoints.remove(id),
        }
    }

    /// Replaces the list of hosts that share the limits of endpoints; `own` is this host.
    pub fn set_senders(&mut self, own: &Host, senders: Vec<Sender>, now: Time) {
        self.own_host = Some(own.clone());
        self.senders = senders;
        for endpoint in self.endpoints.values_mut() {
            if let Some(limit) = &mut endpoint.limit {
                let share = endpoint.info.share(limit.rate(), Some(own), &self.senders);
                limit.update(limit.rate(), share, now);
            }
        }
    }

    /// Records the limit that an endpoint named in an answer, or that it named none. An answer
    /// without a limit ends one only if its request was sent after the limit was learned.
    pub fn record_limit(
        &mut self,
        choice: &Choice,
        rate: Option<Rate>,
        sent_at: Time,
        now: Time,
    ) -> Option<LimitChange> {
        let endpoint = self.endpoints.get_mut(&choice.id)?;
        if endpoint.info.start_id != choice.start_id {
            return None;
        }
        let Some(rate) = rate else {
            let ended = endpoint
                .limit
                .take_if(|limit| sent_at >= limit.learned_at())?;
            return Some(LimitChange::Lifted(ended.rate()));
        };
        let share = endpoint
            .info
            .share(rate, self.own_host.as_ref(), &self.senders);
        match &mut endpoint.limit {
            Some(limit) if limit.rate() == rate => return None,
            Some(limit) => limit.update(rate, share, now),
            None => endpoint.limit = Some(Limit::new(rate, share, now)),
        }
        Some(LimitChange::Set(rate, share))
    }

    /// Returns how long it takes until the limit of some endpoint that may run the request and is not in
    /// `except` allows it; `None` if there is no such endpoint.
    pub fn limit_wait(
        &self,
        demand: &Demand<'_>,
        except: &[CompactString],
        now: Time,
    ) -> Option<Span> {
        self.candidates(demand, except)
            .map(|endpoint| endpoint.limit_wait(now))
            .min()
    }

    fn candidates<'a>(
        &'a self,
        demand: &'a Demand<'_>,
        except: &'a [CompactString],
    ) -> impl Iterator<Item = &'a Endpoint> + Clone {
        let endpoints = self.endpoints.of_service(demand.service).iter();
        endpoints.filter(move |endpoint| {
            let is_allowed = |release| endpoint.info.release == release;
            endpoint.is_present
                && demand.release.is_none_or(is_allowed)
                && !except.contains(&endpoint.info.id)
        })
    }

    /// Chooses the endpoint of the lowest cost that is not in `except` and whose limit allows the
    /// request in time, and counts the request as outstanding there. Returns `None` if no endpoint is
    /// eligible.
    pub fn choose(
        &mut self,
        demand: &Demand<'_>,
        except: &[CompactString],
        now: Time,
    ) -> Option<Choice> {
        let service_time_us = self
            .service_time_us
            .get(demand.service)
            .map_or(INITIAL_SERVICE_TIME_US, Mean::value);
        let candidates = self
            .candidates(demand, except)
            .filter(|endpoint| endpoint.limit_wait(now) <= demand.max_wait);
        let ranking = Ranking::new(candidates, demand, &self.parts, now);
        let preferred_bonus = if demand.is_suspect {
            SUSPECT_BONUS_US
        } else {
            PREFERRED_BONUS_US
        };
        let compared = ranking.ranked.len();
        let mut best: Option<(f64, &Ranked<'_>)> = None;
        for candidate in &ranking.ranked {
            let presumed = ranking.presumed_chunks(candidate);
            let endpoint = candidate.endpoint;
            let mut cost = endpoint.cost(demand, presumed, service_time_us, now);
            if ranking.preferred == Some(candidate.weight) {
                cost -= preferred_bonus;
            }
            let is_better = best.is_none_or(|(least, other)| {
                cost < least || (cost == least && candidate.weight > other.weight)
            });
            if is_better {
                best = Some((cost, candidate));
            }
        }
        let (cost, best) = best?;
        let endpoint = best.endpoint;
        let missing = endpoint.uncached_tokens(demand, ranking.presumed_chunks(best), now);
        let id = endpoint.info.id.clone();
        let allowed_at = now.after(endpoint.limit_wait(now));
        let endpoint = self.endpoints.get_mut(&id)?;
        endpoint.outstanding += 1;
        endpoint.unsent += 1;
        endpoint.backlog_tokens += missing.0 as f64;
        let choice = Choice {
            id,
            missing,
            expected: Span(cost.max(0.0) as u64),
            compared,
            allowed_at,
            release: endpoint.info.release.clone(),
            start_id: endpoint.info.start_id,
            is_sent: false,
        };
        if !demand.is_suspect {
            self.parts.record(demand.chunks, demand.hash_key, now);
        }
        Some(choice)
    }

    /// Records that the request is sent, after which its prompt counts as cached at the endpoint.
    /// Returns false, and records nothing, if the endpoint's limit does not allow it any more.
    pub fn try_send(&mut self, choice: &mut Choice, chunks: &[Chunk], now: Time) -> bool {
        let Some(endpoint) = self.endpoint(choice) else {
            return true;
        };
        if let Some(limit) = &mut endpoint.limit
            && !limit.try_send(now)
        {
            return false;
        }
        endpoint.record_use(chunks, now);
        if !std::mem::replace(&mut choice.is_sent, true) {
            endpoint.unsent = endpoint.unsent.saturating_sub(1);
        }
        true
    }

    /// Records that the first token, or the answer of a plain service, arrived after `span`.
    pub fn record_first_token(&mut self, choice: &Choice, span: Span, now: Time) {
        let Some(endpoint) = self.endpoint(choice) else {
            return;
        };
        endpoint.backlog_tokens = (endpoint.backlog_tokens - choice.missing.0 as f64).max(0.0);
        if endpoint.info.is_model {
            let prefill = choice.missing.0 as f64 * PREFILL_US_PER_TOKEN;
            let excess =
                (span.0 as f64 - prefill - endpoint.info.transfer_cost.per_request.0 as f64)
                    .max(0.0);
            endpoint.record_delay(excess, now);
        } else {
            let service = endpoint.info.service.clone();
            self.service_time_us
                .entry(service)
                .or_insert_with(|| Mean::new(INITIAL_SERVICE_TIME_US, 0.05))
                .add_limited(span.0 as f64, 4.0);
        }
    }

    /// Records that a request has ended at its endpoint; `got_first_token` says whether
    /// [`Balancer::record_first_token`] was called for it.
    pub fn finish(&mut self, choice: &Choice, got_first_token: bool, fault: Fault, now: Time) {
        let Some(endpoint) = self.endpoint(choice) else {
            return;
        };
        endpoint.outstanding = endpoint.outstanding.saturating_sub(1);
        if !choice.is_sent {
            endpoint.unsent = endpoint.unsent.saturating_sub(1);
        }
        if !got_first_token {
            endpoint.backlog_tokens = (endpoint.backlog_tokens - choice.missing.0 as f64).max(0.0);
        }
        if fault != Fault::None {
            endpoint.fault_score = endpoint.fault_level(now) + fault.weight();
            endpoint.fault_at = now;
        }
        if !endpoint.is_present && endpoint.outstanding == 0 {
            self.endpoints.remove(&choice.id);
        }
    }

    /// Describes the endpoints as this host observes them, for operators, in the order of their
    /// identifiers.
    pub fn describe(&self, now: Time) -> Vec<Observation> {
        let endpoints = self.endpoints.values();
        let mut observations: Vec<_> = endpoints.map(|endpoint| endpoint.describe(now)).collect();
        observations.sort_by(|a, b| a.endpoint.cmp(&b.endpoint));
        observations
    }

    /// Number of outstanding requests of this host at an endpoint.
    pub fn outstanding(&self, id: &str) -> u32 {
        self.endpoints
            .get(id)
            .map_or(0, |endpoint| endpoint.outstanding)
    }

    /// The endpoint of `choice`, unless it has restarted since.
    fn endpoint(&mut self, choice: &Choice) -> Option<&mut Endpoint> {
        let endpoint = self.endpoints.get_mut(&choice.id)?;
        (endpoint.info.start_id == choice.start_id).then_some(endpoint)
    }
}

impl Choice {
    /// Returns the start of the endpoint that was chosen.
    pub fn start_id(&self) -> u64 {
        self.start_id
    }
}

impl Candidate {
    /// Whether `other` describes the same start of the same endpoint.
    fn is_same_start(&self, other: &Candidate) -> bool {
        self.start_id == other.start_id && self.service == other.service
    }

    /// Returns the share of the host `own` in a limit of this endpoint.
    fn share(&self, limit: Rate, own: Option<&Host>, senders: &[Sender]) -> Share {
        let target = Target {
            id: &self.id,
            zone: &self.zone,
        };
        own.map_or(Share::Unlisted, |own| {
            Share::new(limit, target, own, senders)
        })
    }
}
