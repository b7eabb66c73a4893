//! The choice of an endpoint: the least expected completion among a few candidates.
//!
//! The candidates are the endpoints that hold a prefix of the program and a few random ones, so that
//! the cost of a decision does not grow with the number of endpoints.

use std::fmt;

use rand::Rng;
use units::{Host, Program, Span, Target, Time, Tokens};

use crate::fleet::{Endpoint, EndpointInfo, Fleet};
use crate::settings::Routing;

const CANDIDATES_MAX: usize = 24;
const TOKEN_BYTES: u64 = 4;

/// What a call needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The call's program.
    pub program: Program,
    /// The model or service.
    pub target: Target,
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Tokens that may be generated at most; 1 for a call of a plain service.
    pub generated_max: Tokens,
}

/// A call given to an endpoint: counted by [`Fleet::start`] until [`Fleet::finish`].
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    /// The chosen endpoint's host.
    pub host: Host,
    /// The call's program.
    pub program: Program,
    /// The model or service.
    pub target: Target,
    /// Time that the call is expected to hold a slot at full speed.
    pub service_time: Span,
    /// Tokens of the prompt expected in the cache.
    pub expected_cached: Tokens,
    /// Tokens expected to be generated.
    pub expected_generated: Tokens,
    /// Reason the endpoint was chosen.
    pub reason: Reason,
}

/// The figures behind a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reason {
    /// How it was chosen.
    pub routing: Routing,
    /// Expected time to completion.
    pub expected: Span,
    /// Candidates compared.
    pub compared: usize,
    /// Tokens expected in the cache.
    pub cached: Tokens,
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
            self.expected, self.compared, self.cached
        )
    }
}

/// The endpoints compared, each once.
struct Candidates {
    all: [usize; CANDIDATES_MAX],
    count: usize,
    except: Option<usize>,
}

impl Candidates {
    fn new(except: Option<usize>) -> Self {
        Candidates {
            all: [0; CANDIDATES_MAX],
            count: 0,
            except,
        }
    }

    fn add(&mut self, index: usize) {
        let known = Some(index) == self.except || self.all().contains(&index);
        if !known && self.count < CANDIDATES_MAX {
            self.all[self.count] = index;
            self.count += 1;
        }
    }

    fn all(&self) -> &[usize] {
        &self.all[..self.count]
    }
}

impl Fleet {
    /// Chooses an endpoint for a call, other than `except`.
    pub fn route(
        &mut self,
        request: &Request,
        except: Option<&Host>,
        now: Time,
        rng: &mut impl Rng,
    ) -> Option<Ticket> {
        let except = except.and_then(|host| self.index(host));
        let (index, compared) = match self.settings.routing {
            Routing::Completion => self.by_completion(request, except, now, rng)?,
            Routing::LeastOutstanding => self.by_outstanding(request, except, rng)?,
            Routing::RoundRobin => self.in_turn(request, except)?,
        };
        let cached = self.cached(request, index, now);
        Some(Ticket {
            host: self.endpoints[index].info.host.clone(),
            program: request.program,
            target: request.target.clone(),
            service_time: Span(self.service_time(request, index, now) as u64),
            expected_cached: cached,
            expected_generated: Tokens(self.predicted(request) as u64),
            reason: Reason {
                routing: self.settings.routing,
                expected: Span(self.expected(request, index, now) as u64),
                compared,
                cached,
            },
        })
    }

    fn by_completion(
        &self,
        request: &Request,
        except: Option<usize>,
        now: Time,
        rng: &mut impl Rng,
    ) -> Option<(usize, usize)> {
        let members = &self.groups.get(&request.target)?.members;
        let mut candidates = Candidates::new(except);
        if self.settings.affinity
            && let Some(known) = self.programs.get(&request.program)
        {
            let holders = known.holders.iter().map(|holder| holder.endpoint);
            holders
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
        let chosen = candidates.all().iter().copied().min_by(|left, right| {
            let left = self.expected(request, *left, now);
            let right = self.expected(request, *right, now);
            left.total_cmp(&right)
        });
        chosen.map(|index| (index, candidates.count))
    }

    fn by_outstanding(
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

    fn in_turn(&mut self, request: &Request, except: Option<usize>) -> Option<(usize, usize)> {
        let group = self.groups.get_mut(&request.target)?;
        let members = &group.members;
        let next = (1..=members.len())
            .map(|step| (group.turn + step) % members.len())
            .find(|position| Some(members[*position]) != except)?;
        group.turn = next;
        Some((group.members[next], 1))
    }

    /// Time that the call would hold a slot there at full speed, in microseconds.
    fn service_time(&self, request: &Request, index: usize, now: Time) -> f64 {
        let token_time = self
            .groups
            .get(&request.target)
            .map_or(0.0, |group| group.token_time.value());
        let missing = request.prompt.minus(self.cached(request, index, now)).0 as f64;
        self.endpoints[index].prefill_time() * missing + token_time * self.predicted(request)
    }

    /// Expected time to completion, in microseconds: waiting for a slot, the missing prefix, the
    /// answer and the link.
    pub(crate) fn expected(&self, request: &Request, index: usize, now: Time) -> f64 {
        let endpoint = &self.endpoints[index];
        let service = self.service_time(request, index, now);
        (endpoint.waiting(service) + service) * self.slowness(index, now)
            + self.crossing(request, &endpoint.info)
    }

    /// Cost of crossing to another region, in microseconds: the time, and a price for the bytes.
    fn crossing(&self, request: &Request, info: &EndpointInfo) -> f64 {
        if info.link_cost == Span(0) {
            return 0.0;
        }
        let kilobytes = (request.prompt.0 * TOKEN_BYTES) as f64 / 1e3;
        info.link_cost.0 as f64 + kilobytes * self.settings.link_price.0 as f64
    }
}

impl Endpoint {
    /// Time until a slot is free at full speed, in microseconds; `service` stands for the work of a
    /// call of others.
    fn waiting(&self, service: f64) -> f64 {
        let slots = self.info.slots.max(1);
        let calls = self.outstanding + self.others;
        if calls < slots {
            // A busier endpoint is a little worse even while it has slots.
            return service * 0.01 * f64::from(calls) / f64::from(slots);
        }
        let work = self.work.0 as f64 + f64::from(self.others) * service;
        let mean = work / f64::from(calls);
        mean * f64::from(calls - slots + 1) / f64::from(slots)
    }
}
