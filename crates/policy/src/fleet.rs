//! State of the endpoints as observed by one entry: their load and the program prefixes in cache.
//!
//! The entry's own outstanding work counts immediately. Load reports of endpoints arrive late and
//! only supply the work of other entries. Whether a prefix is cached is an estimate that decays
//! with time and is corrected by the usage that endpoints report.

use std::collections::HashMap;

use units::{Host, Program, Span, Target, Time, Tokens};

use crate::estimate::{Mean, Quantile, Slowness};
use crate::route::{Request, Ticket};
use crate::settings::Settings;

const INITIAL_TOKEN_TIME: Span = Span(4_000);
const PREFILL_TIME_PER_TOKEN: Span = Span(50);
const INITIAL_FIRST_TOKEN_TIME: Span = Span::from_ms(200);
const INITIAL_GENERATED: Tokens = Tokens(64);
const INITIAL_CACHE_HALF_LIFE: Span = Span::from_ms(60_000);
const CACHE_HALF_LIFE_MIN: Span = Span::from_ms(2_000);
const CACHE_HALF_LIFE_MAX: Span = Span::from_ms(600_000);
/// Lowest slowness that counts: smaller ratios are noise of a loaded host, and moving a program
/// away from its cached prefix because of them costs more than it gains.
const SLOWNESS_MIN: f64 = 2.0;
/// Largest number of endpoints recorded as holding a prefix of one program.
const PREFIXES_MAX: usize = 3;
/// Weight, in calls, of the mean of all programs when the tokens of a program's call are predicted.
const MEAN_WEIGHT_CALLS: f64 = 2.0;

/// Description of an endpoint that calls can be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointInfo {
    /// Host of the endpoint's sidecar.
    pub host: Host,
    /// Models or services that the endpoint serves.
    pub serves: Vec<Target>,
    /// Number of calls that the endpoint runs at once.
    pub slots: u32,
    /// Round-trip time to the endpoint's region; zero within the entry's own region.
    pub link_round_trip: Span,
    /// Whether the endpoint is a model engine; at a plain service a call counts as one token.
    pub is_model: bool,
}

/// Observed state of one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) info: EndpointInfo,
    is_present: bool,
    pub(crate) outstanding: u32,
    /// Expected slot time of the outstanding calls of this entry.
    pub(crate) outstanding_work: Span,
    /// Calls of other entries at the endpoint, by its latest load report.
    pub(crate) other_calls: u32,
    pub(crate) slowness: Slowness,
    pub(crate) cache_half_life: Span,
}

/// The endpoints of one target, with estimates over all of them; times are in microseconds.
#[derive(Clone, Debug)]
pub(crate) struct Group {
    pub(crate) members: Vec<usize>,
    pub(crate) round_robin_position: usize,
    pub(crate) token_time: Mean,
    pub(crate) generated: Mean,
    pub(crate) first_token_time: Quantile,
}

/// Observed state of one program; `work` is its slot time at full speed, in microseconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProgramState {
    pub(crate) prefixes: Vec<Prefix>,
    generated: u64,
    calls: u64,
    work: f64,
}

/// A prefix of a program that an endpoint has cached, by estimate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Prefix {
    pub(crate) endpoint: usize,
    pub(crate) tokens: Tokens,
    pub(crate) used_at: Time,
}

/// Tokens used by a finished call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Tokens of the prompt that were cached.
    pub cached: Tokens,
    /// Tokens generated; 1 for a call of a plain service.
    pub generated: Tokens,
}

/// The endpoints that one entry can send calls to, and the state it has observed of each.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub(crate) settings: Settings,
    pub(crate) endpoints: Vec<Endpoint>,
    pub(crate) groups: HashMap<Target, Group>,
    pub(crate) programs: HashMap<Program, ProgramState>,
    index: HashMap<Host, usize>,
    model_slots: u32,
    outstanding: u32,
    other_calls: u32,
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
            model_slots: 0,
            outstanding: 0,
            other_calls: 0,
        }
    }

    /// The settings in force.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Replaces the settings, which apply to all later decisions.
    pub fn configure(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Replaces the set of endpoints that may receive new calls. The state of the others is kept in
    /// case they return.
    pub fn sync(&mut self, endpoints: impl Iterator<Item = EndpointInfo>) {
        self.groups
            .values_mut()
            .for_each(|group| group.members.clear());
        self.endpoints
            .iter_mut()
            .for_each(|endpoint| endpoint.is_present = false);
        self.model_slots = 0;
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
            self.model_slots += if info.is_model { info.slots } else { 0 };
            match self.endpoints.get_mut(index) {
                Some(endpoint) => {
                    endpoint.info = info;
                    endpoint.is_present = true;
                }
                None => self.endpoints.push(Endpoint::new(info)),
            }
        }
    }

    /// Records the load that an endpoint reported: the number of calls running or waiting there.
    pub fn record_load(&mut self, host: &Host, calls: u32) {
        let Some(endpoint) = self.endpoint_mut(host) else {
            return;
        };
        let before = endpoint.other_calls;
        endpoint.other_calls = calls.saturating_sub(endpoint.outstanding);
        let after = endpoint.other_calls;
        self.other_calls = (self.other_calls + after).saturating_sub(before);
    }

    /// Hosts whose endpoints serve a target, including those that may not receive new calls now.
    pub fn hosts_serving(&self, target: &Target) -> impl Iterator<Item = &Host> {
        let serving = self.endpoints.iter();
        let serving = serving.filter(|endpoint| endpoint.info.serves.contains(target));
        serving.map(|endpoint| &endpoint.info.host)
    }

    /// Number of slots that fall to this entry out of those of all model engines, by its share of
    /// the running calls.
    pub fn slot_share(&self) -> f64 {
        let own = f64::from(self.outstanding + 1);
        f64::from(self.model_slots) * own / (own + f64::from(self.other_calls))
    }

    /// Counts a call as outstanding at its endpoint.
    pub fn start(&mut self, ticket: &Ticket) {
        self.outstanding += 1;
        if let Some(endpoint) = self.endpoint_mut(&ticket.host) {
            endpoint.outstanding += 1;
            endpoint.outstanding_work.0 += ticket.service_time.0;
        }
    }

    /// Records that `tokens` of the answer arrived within `span`.
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

    /// Records the time from dispatch to the first token; the answer of a plain service counts as
    /// one token.
    pub fn record_first_token(&mut self, ticket: &Ticket, span: Span, now: Time) {
        if let Some(group) = self.groups.get_mut(&ticket.target) {
            group.first_token_time.add(span.0 as f64);
        }
        let index = self.index(&ticket.host);
        if index.is_some_and(|index| !self.endpoints[index].info.is_model) {
            self.record_progress(ticket, Tokens(1), span, now);
        }
    }

    /// Stops counting a call as outstanding; `usage` is `None` if the call has no answer.
    pub fn finish(&mut self, ticket: &Ticket, usage: Option<Usage>, now: Time) {
        self.outstanding = self.outstanding.saturating_sub(1);
        let Some(&index) = self.index.get(&ticket.host) else {
            return;
        };
        let endpoint = &mut self.endpoints[index];
        endpoint.outstanding = endpoint.outstanding.saturating_sub(1);
        endpoint.outstanding_work.0 = endpoint
            .outstanding_work
            .0
            .saturating_sub(ticket.service_time.0);
        if let Some(usage) = usage.filter(|_| endpoint.info.is_model) {
            self.record_usage(ticket, index, usage, now);
        }
    }

    fn record_usage(&mut self, ticket: &Ticket, index: usize, usage: Usage, now: Time) {
        if ticket.expected_cached.0 > 0 {
            let half_life = &mut self.endpoints[index].cache_half_life;
            let is_miss = usage.cached.0 * 2 < ticket.expected_cached.0;
            let next = if is_miss {
                half_life.0 / 2
            } else {
                half_life.0 * 11 / 10
            };
            *half_life = Span(next).clamp(CACHE_HALF_LIFE_MIN, CACHE_HALF_LIFE_MAX);
        }
        let missing = usage.prompt.minus(usage.cached).0 as f64;
        let mut work = missing * self.endpoints[index].prefill_us_per_token();
        if let Some(group) = self.groups.get_mut(&ticket.target) {
            group.generated.add(usage.generated.0 as f64);
            work += usage.generated.0 as f64 * group.token_time.value();
        }
        let state = self.programs.entry(ticket.program).or_default();
        state.work += work;
        state.generated += usage.generated.0;
        state.calls += 1;
        state.prefixes.retain(|prefix| prefix.endpoint != index);
        let prefix = Prefix {
            endpoint: index,
            tokens: usage.prompt.plus(usage.generated),
            used_at: now,
        };
        state.prefixes.insert(0, prefix);
        state.prefixes.truncate(PREFIXES_MAX);
    }

    /// Drops the state of a program and returns the slot time that its calls took at full speed.
    pub fn forget(&mut self, program: Program) -> Span {
        let state = self.programs.remove(&program).unwrap_or_default();
        Span(state.work as u64)
    }

    /// Tokens generated for a program so far.
    pub fn attained(&self, program: Program) -> Tokens {
        let state = self.programs.get(&program);
        Tokens(state.map_or(0, |state| state.generated))
    }

    /// Expected number of generated tokens, from earlier calls of the program and of all programs.
    pub(crate) fn predicted_tokens(&self, request: &Request) -> f64 {
        let Some(group) = self.groups.get(&request.target) else {
            return 1.0;
        };
        let mean = group.generated.value();
        let (own, calls) = self
            .programs
            .get(&request.program)
            .map_or((0.0, 0.0), |state| {
                (state.generated as f64, state.calls as f64)
            });
        let predicted = (mean * MEAN_WEIGHT_CALLS + own) / (MEAN_WEIGHT_CALLS + calls);
        predicted.min(request.generated_max.0 as f64).max(1.0)
    }

    /// Tokens of the prompt that an endpoint has probably cached.
    pub(crate) fn cached_tokens(&self, request: &Request, index: usize, now: Time) -> Tokens {
        if !self.settings.affinity {
            return Tokens(0);
        }
        let state = self.programs.get(&request.program);
        let prefix = state.and_then(|state| {
            state
                .prefixes
                .iter()
                .find(|prefix| prefix.endpoint == index)
                .copied()
        });
        prefix.map_or(Tokens(0), |prefix| {
            let age = now.since(prefix.used_at).as_secs_f64();
            let remaining = (-age / self.endpoints[index].cache_half_life.as_secs_f64()).exp2();
            Tokens((prefix.tokens.min(request.prompt).0 as f64 * remaining) as u64)
        })
    }

    /// How many times slower an endpoint is than its peers; 1 if the ratio is too small to count.
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
            is_present: true,
            outstanding: 0,
            outstanding_work: Span(0),
            other_calls: 0,
            slowness: Slowness::new(),
            cache_half_life: INITIAL_CACHE_HALF_LIFE,
        }
    }

    /// Whether the endpoint may receive new calls of `target`.
    pub(crate) fn is_serving(&self, target: &Target) -> bool {
        self.is_present && self.info.serves.contains(target)
    }

    /// Time per uncached token of a prompt, in microseconds.
    pub(crate) fn prefill_us_per_token(&self) -> f64 {
        if self.info.is_model {
            PREFILL_TIME_PER_TOKEN.0 as f64
        } else {
            0.0
        }
    }
}

impl Group {
    fn new(info: &EndpointInfo) -> Self {
        let generated = if info.is_model {
            INITIAL_GENERATED.0
        } else {
            1
        };
        Group {
            members: Vec::new(),
            round_robin_position: 0,
            token_time: Mean::new(INITIAL_TOKEN_TIME.0 as f64, 0.01),
            generated: Mean::new(generated as f64, 0.02),
            first_token_time: Quantile::new(INITIAL_FIRST_TOKEN_TIME.0 as f64, 0.95, 0.1),
        }
    }
}
