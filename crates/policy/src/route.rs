//! Routing of calls: chooses the least expected completion time among a few candidate endpoints.
//!
//! The candidates are the endpoints that have cached a prefix of the program and a few random ones,
//! so the cost of a decision does not grow with the number of endpoints.

use std::fmt;

use rand::Rng;
use units::{Host, Program, Span, Target, Time, Tokens};

use crate::fleet::{Endpoint, EndpointInfo, Fleet};
use crate::settings::Routing;

const CANDIDATES_MAX: usize = 24;
const BYTES_PER_TOKEN: u64 = 4;

/// The properties of a call that decide where it is routed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Program that makes the call.
    pub program: Program,
    /// Model or service that the call addresses.
    pub target: Target,
    /// Length of the prompt; zero for a call of a plain service.
    pub prompt: Tokens,
    /// Most tokens that may be generated; 1 for a call of a plain service.
    pub generated_max: Tokens,
}

/// A routing decision for a call, outstanding from [`Fleet::start`] until [`Fleet::finish`].
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    /// Host of the chosen endpoint.
    pub host: Host,
    /// Program that makes the call.
    pub program: Program,
    /// Model or service that the call addresses.
    pub target: Target,
    /// Time for which the call is expected to hold a slot at full speed.
    pub service_time: Span,
    /// Tokens of the prompt expected to be cached.
    pub expected_cached: Tokens,
    /// Tokens expected to be generated.
    pub expected_generated: Tokens,
    /// Figures by which the endpoint was chosen.
    pub reason: Reason,
}

/// The figures behind a routing decision; their text is stored with each call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reason {
    /// Rule by which the endpoint was chosen.
    pub routing: Routing,
    /// Expected time to completion.
    pub expected: Span,
    /// Number of candidates compared.
    pub compared: usize,
    /// Tokens of the prompt expected to be cached.
    pub expected_cached: Tokens,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let routing = match self.routing {
            Routing::Completion => "least expected completion",
            Routing::LeastOutstanding => "least outstanding",
            Routing::RoundRobin => "round-robin",
        };
        write!(
            f,
            "{routing} {} of {} compared, {} tokens cached",
            self.expected, self.compared, self.expected_cached
        )
    }
}

/// The endpoints to compare, by index and without duplicates.
struct Candidates {
    indexes: [usize; CANDIDATES_MAX],
    count: usize,
    except: Option<usize>,
}

impl Candidates {
    fn new(except: Option<usize>) -> Self {
        Candidates {
            indexes: [0; CANDIDATES_MAX],
            count: 0,
            except,
        }
    }

    fn add(&mut self, index: usize) {
        let skip = Some(index) == self.except || self.indexes().contains(&index);
        if !skip && self.count < CANDIDATES_MAX {
            self.indexes[self.count] = index;
            self.count += 1;
        }
    }

    fn indexes(&self) -> &[usize] {
        &self.indexes[..self.count]
    }
}

impl Fleet {
    /// Chooses an endpoint for a call, other than `except`; `None` if no endpoint is eligible.
    pub fn route(
        &mut self,
        request: &Request,
        except: Option<&Host>,
        now: Time,
        rng: &mut impl Rng,
    ) -> Option<Ticket> {
        let except = except.and_then(|host| self.index(host));
        let (index, compared) = match self.settings.routing {
            Routing::Completion => self.least_completion(request, except, now, rng)?,
            Routing::LeastOutstanding => self.least_outstanding(request, except, rng)?,
            Routing::RoundRobin => self.round_robin(request, except)?,
        };
        let expected_cached = self.cached_tokens(request, index, now);
        Some(Ticket {
            host: self.endpoints[index].info.host.clone(),
            program: request.program,
            target: request.target.clone(),
            service_time: Span(self.service_time(request, index, now) as u64),
            expected_cached,
            expected_generated: Tokens(self.predicted_tokens(request) as u64),
            reason: Reason {
                routing: self.settings.routing,
                expected: Span(self.expected_completion(request, index, now) as u64),
                compared,
                expected_cached,
            },
        })
    }

    /// Chooses by [`Routing::Completion`]; returns the index of the endpoint and the number of
    /// candidates compared, as the functions of the other rules do.
    fn least_completion(
        &self,
        request: &Request,
        except: Option<usize>,
        now: Time,
        rng: &mut impl Rng,
    ) -> Option<(usize, usize)> {
        let members = &self.groups.get(&request.target)?.members;
        let mut candidates = Candidates::new(except);
        if self.settings.affinity
            && let Some(state) = self.programs.get(&request.program)
        {
            let cached_at = state.prefixes.iter().map(|prefix| prefix.endpoint);
            cached_at
                .filter(|index| self.endpoints[*index].is_serving(&request.target))
                .for_each(|index| candidates.add(index));
        }
        let sample = (self.settings.candidates as usize).min(members.len());
        for position in rand::seq::index::sample(rng, members.len(), sample) {
            candidates.add(members[position]);
        }
        if candidates.count == 0 {
            members
                .iter()
                .take(2)
                .for_each(|index| candidates.add(*index));
        }
        let chosen = candidates.indexes().iter().copied().min_by(|left, right| {
            let left = self.expected_completion(request, *left, now);
            let right = self.expected_completion(request, *right, now);
            left.total_cmp(&right)
        });
        chosen.map(|index| (index, candidates.count))
    }

    fn least_outstanding(
        &self,
        request: &Request,
        except: Option<usize>,
        rng: &mut impl Rng,
    ) -> Option<(usize, usize)> {
        let members = &self.groups.get(&request.target)?.members;
        let offset = rng.random_range(0..members.len().max(1));
        let chosen = (0..members.len())
            .map(|index| members[(index + offset) % members.len()])
            .filter(|index| Some(*index) != except)
            .min_by_key(|index| self.endpoints[*index].outstanding);
        chosen.map(|index| (index, members.len()))
    }

    fn round_robin(&mut self, request: &Request, except: Option<usize>) -> Option<(usize, usize)> {
        let group = self.groups.get_mut(&request.target)?;
        let members = &group.members;
        let next = (1..=members.len())
            .map(|step| (group.round_robin_position + step) % members.len())
            .find(|position| Some(members[*position]) != except)?;
        group.round_robin_position = next;
        Some((group.members[next], 1))
    }

    /// Time for which the call would hold a slot of an endpoint at full speed, in microseconds.
    fn service_time(&self, request: &Request, index: usize, now: Time) -> f64 {
        let token_time = self
            .groups
            .get(&request.target)
            .map_or(0.0, |group| group.token_time.value());
        let missing = request
            .prompt
            .minus(self.cached_tokens(request, index, now))
            .0 as f64;
        self.endpoints[index].prefill_us_per_token() * missing
            + token_time * self.predicted_tokens(request)
    }

    /// Expected time to completion in microseconds: the wait for a slot, the prefill of uncached
    /// tokens, the generation of the answer, and the link between regions.
    pub(crate) fn expected_completion(&self, request: &Request, index: usize, now: Time) -> f64 {
        let endpoint = &self.endpoints[index];
        let service_time = self.service_time(request, index, now);
        (endpoint.slot_wait(service_time) + service_time) * self.slowness(index, now)
            + self.transfer_cost(request, &endpoint.info)
    }

    /// Cost of a transfer to another region in microseconds: the round trip and a price per byte.
    fn transfer_cost(&self, request: &Request, info: &EndpointInfo) -> f64 {
        if info.link_round_trip == Span(0) {
            return 0.0;
        }
        let kilobytes = (request.prompt.0 * BYTES_PER_TOKEN) as f64 / 1e3;
        info.link_round_trip.0 as f64 + kilobytes * self.settings.link_price.0 as f64
    }
}

impl Endpoint {
    /// Expected wait for a free slot at full speed, in microseconds; a call of another entry is
    /// assumed to take as long as `service_time`.
    fn slot_wait(&self, service_time: f64) -> f64 {
        let slots = self.info.slots.max(1);
        let calls = self.outstanding + self.other_calls;
        if calls < slots {
            // A small penalty prefers the less busy of two endpoints with free slots.
            return service_time * 0.01 * f64::from(calls) / f64::from(slots);
        }
        let work = self.outstanding_work.0 as f64 + f64::from(self.other_calls) * service_time;
        let mean = work / f64::from(calls);
        mean * f64::from(calls - slots + 1) / f64::from(slots)
    }
}
