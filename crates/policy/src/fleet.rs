//! What an entry knows of the endpoints and of the programs' prefixes there.
//!
//! Own outstanding work counts at once; the endpoints' late reports only tell the work of others. A
//! prefix is claimed, never known: the claim fades with time and is corrected by reported usage.

use std::collections::HashMap;

use units::{Host, Program, Span, Target, Time, Tokens};

use crate::estimate::{Mean, Quantile, Slowness};
use crate::route::{Request, Ticket};
use crate::settings::Settings;

const TOKEN_TIME_START: Span = Span(4_000);
const PREFILL_TIME_START: Span = Span(50);
const FIRST_TOKEN_START: Span = Span::from_ms(200);
const GENERATED_START: Tokens = Tokens(64);
const CACHE_LIFE_START: Span = Span::from_ms(60_000);
const CACHE_LIFE_MIN: Span = Span::from_ms(2_000);
const CACHE_LIFE_MAX: Span = Span::from_ms(600_000);
/// Less than this is the noise of a loaded host; leaving a prefix for it costs more than it gives.
const SLOWNESS_MIN: f64 = 2.0;
const HOLDERS_MAX: usize = 3;
const OWN_CALLS_WEIGHT: f64 = 2.0;

/// A place where calls can go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointInfo {
    /// The sidecar's host.
    pub host: Host,
    /// What the endpoint serves.
    pub serves: Vec<Target>,
    /// Calls that it runs at a time.
    pub slots: u32,
    /// Time for a call and its answer to cross to the endpoint's region.
    pub link_cost: Span,
    /// Whether its work is generated from a prompt; otherwise a call counts as one token.
    pub is_model: bool,
}

/// What is known of one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) info: EndpointInfo,
    present: bool,
    pub(crate) outstanding: u32,
    pub(crate) work: Span,
    pub(crate) others: u32,
    pub(crate) slowness: Slowness,
    pub(crate) cache_life: Span,
}

/// What is known of all endpoints of one target.
#[derive(Clone, Debug)]
pub(crate) struct Group {
    pub(crate) members: Vec<usize>,
    pub(crate) turn: usize,
    pub(crate) token_time: Mean,
    pub(crate) generated: Mean,
    pub(crate) first_token: Quantile,
}

/// What is known of one program.
#[derive(Clone, Debug, Default)]
pub(crate) struct Known {
    pub(crate) holders: Vec<Holder>,
    generated: u64,
    calls: u64,
    work: f64,
}

/// A claimed prefix.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Holder {
    pub(crate) endpoint: usize,
    pub(crate) tokens: Tokens,
    pub(crate) at: Time,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Tokens of the prompt that were found in the cache.
    pub cached: Tokens,
    /// Tokens generated; 1 for a call of a plain service.
    pub generated: Tokens,
}

/// The endpoints as one entry sees them.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub(crate) settings: Settings,
    pub(crate) endpoints: Vec<Endpoint>,
    pub(crate) groups: HashMap<Target, Group>,
    pub(crate) programs: HashMap<Program, Known>,
    index: HashMap<Host, usize>,
    slots: u32,
    outstanding: u32,
    others: u32,
}

impl Fleet {
    /// A fleet without endpoints.
    pub fn new(settings: Settings) -> Self {
        Fleet {
            settings,
            endpoints: Vec::new(),
            groups: HashMap::new(),
            programs: HashMap::new(),
            index: HashMap::new(),
            slots: 0,
            outstanding: 0,
            others: 0,
        }
    }

    /// The settings in force.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Uses other settings from now on.
    pub fn configure(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Takes in the endpoints that may be given new work; what is known of the others is kept, so
    /// that one that comes back is not new.
    pub fn sync(&mut self, endpoints: impl Iterator<Item = EndpointInfo>) {
        self.groups
            .values_mut()
            .for_each(|group| group.members.clear());
        self.endpoints
            .iter_mut()
            .for_each(|endpoint| endpoint.present = false);
        self.slots = 0;
        for info in endpoints {
            let next = self.endpoints.len();
            let index = *self.index.entry(info.host.clone()).or_insert(next);
            for target in &info.serves {
                let group = self
                    .groups
                    .entry(target.clone())
                    .or_insert_with(|| Group::new(&info));
                group.members.push(index);
            }
            self.slots += if info.is_model { info.slots } else { 0 };
            match self.endpoints.get_mut(index) {
                Some(endpoint) => {
                    endpoint.info = info;
                    endpoint.present = true;
                }
                None => self.endpoints.push(Endpoint::new(info)),
            }
        }
    }

    /// Takes in the load that an endpoint reported: calls running or waiting there.
    pub fn record_load(&mut self, host: &Host, calls: u32) {
        let Some(endpoint) = self.endpoint_mut(host) else {
            return;
        };
        let before = endpoint.others;
        endpoint.others = calls.saturating_sub(endpoint.outstanding);
        let after = endpoint.others;
        self.others = (self.others + after).saturating_sub(before);
    }

    /// Hosts whose endpoints serve a target, also those that may not be given new work now.
    pub fn hosts_serving(&self, target: &Target) -> impl Iterator<Item = &Host> {
        let serving = self.endpoints.iter();
        let serving = serving.filter(|endpoint| endpoint.info.serves.contains(target));
        serving.map(|endpoint| &endpoint.info.host)
    }

    /// This entry's part of all slots, by its part of the work under way.
    pub fn slot_share(&self) -> f64 {
        let own = f64::from(self.outstanding + 1);
        f64::from(self.slots) * own / (own + f64::from(self.others))
    }

    /// Counts a call as outstanding at its endpoint.
    pub fn start(&mut self, ticket: &Ticket) {
        self.outstanding += 1;
        if let Some(endpoint) = self.endpoint_mut(&ticket.host) {
            endpoint.outstanding += 1;
            endpoint.work.0 += ticket.service_time.0;
        }
    }

    /// Takes in that `tokens` were streamed within `span`.
    pub fn record_progress(&mut self, ticket: &Ticket, tokens: Tokens, span: Span, now: Time) {
        let sample = span.0 as f64 / tokens.0.max(1) as f64;
        let Some(group) = self.groups.get_mut(&ticket.target) else {
            return;
        };
        let ratio = sample / group.token_time.value();
        group.token_time.add_limited(sample, 1.5);
        if let Some(endpoint) = self.endpoint_mut(&ticket.host) {
            endpoint.slowness.observe(ratio, now);
        }
    }

    /// Takes in the time from dispatch to the first token; the answer of a plain service counts as
    /// one token.
    pub fn record_first_token(&mut self, ticket: &Ticket, span: Span, now: Time) {
        if let Some(group) = self.groups.get_mut(&ticket.target) {
            group.first_token.add(span.0 as f64);
        }
        let index = self.index(&ticket.host);
        if index.is_some_and(|index| !self.endpoints[index].info.is_model) {
            self.record_progress(ticket, Tokens(1), span, now);
        }
    }

    /// Takes the call off its endpoint; `used` tells how it ended, if it has an answer.
    pub fn finish(&mut self, ticket: &Ticket, used: Option<Usage>, now: Time) {
        self.outstanding = self.outstanding.saturating_sub(1);
        let Some(&index) = self.index.get(&ticket.host) else {
            return;
        };
        let endpoint = &mut self.endpoints[index];
        endpoint.outstanding = endpoint.outstanding.saturating_sub(1);
        endpoint.work.0 = endpoint.work.0.saturating_sub(ticket.service_time.0);
        if let Some(used) = used.filter(|_| endpoint.info.is_model) {
            self.learn(ticket, index, used, now);
        }
    }

    fn learn(&mut self, ticket: &Ticket, index: usize, used: Usage, now: Time) {
        if ticket.expected_cached.0 > 0 {
            let life = &mut self.endpoints[index].cache_life;
            let missed = used.cached.0 * 2 < ticket.expected_cached.0;
            let next = if missed { life.0 / 2 } else { life.0 * 11 / 10 };
            *life = Span(next).clamp(CACHE_LIFE_MIN, CACHE_LIFE_MAX);
        }
        let missing = used.prompt.minus(used.cached).0 as f64;
        let mut work = missing * self.endpoints[index].prefill_time();
        if let Some(group) = self.groups.get_mut(&ticket.target) {
            group.generated.add(used.generated.0 as f64);
            work += used.generated.0 as f64 * group.token_time.value();
        }
        let known = self.programs.entry(ticket.program).or_default();
        known.work += work;
        known.generated += used.generated.0;
        known.calls += 1;
        known.holders.retain(|holder| holder.endpoint != index);
        let holder = Holder {
            endpoint: index,
            tokens: used.prompt.plus(used.generated),
            at: now,
        };
        known.holders.insert(0, holder);
        known.holders.truncate(HOLDERS_MAX);
    }

    /// Forgets a program that has ended; the slot time that its calls took at full speed.
    pub fn forget(&mut self, program: Program) -> Span {
        let known = self.programs.remove(&program).unwrap_or_default();
        Span(known.work as u64)
    }

    /// Tokens generated for a program so far.
    pub fn attained(&self, program: Program) -> Tokens {
        let known = self.programs.get(&program);
        Tokens(known.map_or(0, |known| known.generated))
    }

    /// Tokens that a call will probably generate: the program's own calls and those of others.
    pub(crate) fn predicted(&self, request: &Request) -> f64 {
        let Some(group) = self.groups.get(&request.target) else {
            return 1.0;
        };
        let mean = group.generated.value();
        let (own, calls) = self
            .programs
            .get(&request.program)
            .map_or((0.0, 0.0), |known| {
                (known.generated as f64, known.calls as f64)
            });
        let predicted = (mean * OWN_CALLS_WEIGHT + own) / (OWN_CALLS_WEIGHT + calls);
        predicted.min(request.generated_max.0 as f64).max(1.0)
    }

    /// Tokens of the prompt that an endpoint probably holds.
    pub(crate) fn cached(&self, request: &Request, index: usize, now: Time) -> Tokens {
        if !self.settings.affinity {
            return Tokens(0);
        }
        let known = self.programs.get(&request.program);
        let holder = known.and_then(|known| {
            known
                .holders
                .iter()
                .find(|holder| holder.endpoint == index)
                .copied()
        });
        holder.map_or(Tokens(0), |holder| {
            let age = now.since(holder.at).as_secs_f64();
            let left = (-age / self.endpoints[index].cache_life.as_secs_f64()).exp2();
            Tokens((holder.tokens.min(request.prompt).0 as f64 * left) as u64)
        })
    }

    /// How many times slower than its peers an endpoint is.
    pub(crate) fn slowness(&self, index: usize, now: Time) -> f64 {
        let slowness = self.endpoints[index].slowness.at(now);
        if self.settings.slowness && slowness >= SLOWNESS_MIN {
            slowness
        } else {
            1.0
        }
    }

    pub(crate) fn index(&self, host: &Host) -> Option<usize> {
        self.index.get(host).copied()
    }

    fn endpoint_mut(&mut self, host: &Host) -> Option<&mut Endpoint> {
        let index = *self.index.get(host)?;
        self.endpoints.get_mut(index)
    }
}

impl Endpoint {
    fn new(info: EndpointInfo) -> Self {
        Endpoint {
            info,
            present: true,
            outstanding: 0,
            work: Span(0),
            others: 0,
            slowness: Slowness::new(),
            cache_life: CACHE_LIFE_START,
        }
    }

    /// Whether it may be given new work for `target`.
    pub(crate) fn is_serving(&self, target: &Target) -> bool {
        self.present && self.info.serves.contains(target)
    }

    /// Time per prompt token that is not cached.
    pub(crate) fn prefill_time(&self) -> f64 {
        if self.info.is_model {
            PREFILL_TIME_START.0 as f64
        } else {
            0.0
        }
    }
}

impl Group {
    fn new(info: &EndpointInfo) -> Self {
        let generated = if info.is_model { GENERATED_START.0 } else { 1 };
        Group {
            members: Vec::new(),
            turn: 0,
            token_time: Mean::new(TOKEN_TIME_START.0 as f64, 0.01),
            generated: Mean::new(generated as f64, 0.02),
            first_token: Quantile::new(FIRST_TOKEN_START.0 as f64, 0.95, 0.1),
        }
    }
}
