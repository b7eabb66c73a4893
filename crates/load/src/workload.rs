//! Arrivals of programs, generated from a seed so that all policies are given the same ones.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use units::{Span, Time, Tokens};

/// Size of a deployment and of the demand on it.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Name on the command line and in the titles of results.
    pub name: &'static str,
    /// Number of model engines in each region.
    pub engines: [u32; 2],
    /// Number of plain services in each region.
    pub services: [u32; 2],
    /// Number of entries in each region.
    pub entries: [u32; 2],
    /// Share of programs of the top class.
    pub top_class_share: f64,
    /// Share of programs that arrive in the second region.
    pub second_region_share: f64,
    /// Share of all engine time that the demand uses outside the crest.
    pub utilisation: f64,
    /// Share of endpoints that are slow at any one time.
    pub slowed_share: f64,
}

/// Number of calls that an endpoint runs at once.
pub const SLOTS: u32 = 4;
/// Time per generated token.
pub const TOKEN_TIME: Span = Span(4_000);
/// Time per prompt token that is not cached.
pub const PREFILL_TIME: Span = Span(50);
/// Number of tokens that an engine's prefix cache holds.
pub const CACHE_CAPACITY: Tokens = Tokens(80_000);
/// Time after which no more programs arrive.
pub const ARRIVAL_PERIOD: Span = Span::from_ms(30_000);
/// Start of the crest, the period of highest demand.
pub const CREST_START: Span = Span::from_ms(10_000);
/// End of the crest, after which the demand is back at the base rate.
pub const CREST_END: Span = Span::from_ms(17_000);
/// Time from arrival within which a program should be finished.
pub const OBJECTIVE: Span = Span::from_ms(12_000);

const CREST_RAMP: Span = Span::from_ms(2_000);
const CREST_FACTOR: f64 = 5.0;
const STRAGGLER_SHARE: f64 = 0.015;
const STRAGGLER_FACTOR: u64 = 20;
const CALL_COUNT_RANGE: (f64, f64) = (3.0, 30.0);
const SLOW_FACTOR_RANGE: (f64, f64) = (5.0, 10.0);
const SLOW_SECONDS_RANGE: (f64, f64) = (2.0, 5.0);

impl Shape {
    /// Mèche Royale: 10 workers of the advisor and 3 of the ordering application.
    pub fn meche() -> Self {
        Shape {
            name: "meche",
            engines: [7, 3],
            services: [2, 1],
            entries: [2, 1],
            top_class_share: 0.25,
            second_region_share: 0.3,
            utilisation: 0.4,
            slowed_share: 0.1,
        }
    }

    /// Pindan: 20 workers of the advisory model and 15 of the records service.
    pub fn pindan() -> Self {
        Shape {
            name: "pindan",
            engines: [13, 7],
            services: [10, 5],
            entries: [2, 1],
            top_class_share: 0.3,
            second_region_share: 0.35,
            utilisation: 0.35,
            slowed_share: 0.15,
        }
    }

    /// Multiplies the demand by `factor`.
    pub fn with_demand(mut self, factor: f64) -> Self {
        self.utilisation *= factor;
        self
    }

    /// Number of model engines in both regions.
    pub fn engines(&self) -> u32 {
        self.engines.iter().sum()
    }

    /// Number of plain services in both regions.
    pub fn services(&self) -> u32 {
        self.services.iter().sum()
    }
}

/// Disturbances that a run includes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Conditions {
    /// Whether some programs generate 20 times more tokens than others.
    pub has_stragglers: bool,
    /// Whether some endpoints are slow for a time.
    pub has_slow_periods: bool,
}

/// One step of a program.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// A call of the model.
    Model {
        /// Tokens added to the prompt.
        input: Tokens,
        /// Tokens that the engine generates.
        answer: Tokens,
    },
    /// A call of a plain service.
    Service {
        /// Whether the call may run more than once.
        is_idempotent: bool,
        /// Time that the call takes at full speed.
        service_time: Span,
    },
    /// A pause of the caller.
    Pause(Span),
    /// Sub-agents that run concurrently, each with its steps.
    Children(Vec<Vec<Step>>),
}

/// One program that arrives: when, where and with which steps.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Time of arrival.
    pub arrival: Time,
    /// Whether the program is of the class with the higher precedence.
    pub is_top_class: bool,
    /// Index of the caller's region.
    pub region: usize,
    /// Whether the model calls generate 20 times more tokens than those of other programs.
    pub is_straggler: bool,
    /// Steps in the order in which they run.
    pub steps: Vec<Step>,
}

/// A period in which an endpoint is slow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowPeriod {
    /// Index of the endpoint; engines come first, then services.
    pub endpoint: usize,
    /// Start of the period.
    pub start: Time,
    /// End of the period (exclusive).
    pub end: Time,
    /// Factor by which the endpoint is slower.
    pub factor: f64,
}

/// Programs and slow periods of one run.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Programs in order of arrival.
    pub plans: Vec<Plan>,
    /// Slow periods of engines, then of services.
    pub slow_periods: Vec<SlowPeriod>,
}

impl Workload {
    /// Generates the workload of a seed. A seed gives the same arrivals under all conditions.
    pub fn new(shape: &Shape, conditions: Conditions, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let base_rate = shape.utilisation * capacity(shape) / mean_work_seconds();
        let mut plans = Vec::new();
        let mut seconds = 0.0;
        while seconds < ARRIVAL_PERIOD.as_secs_f64() {
            seconds += exponential(&mut rng, base_rate * CREST_FACTOR);
            let arrival = Time((seconds * 1e6) as u64);
            let mut plan_rng = StdRng::seed_from_u64(rng.random());
            let is_kept = rng.random_bool(demand_factor(arrival) / CREST_FACTOR);
            if is_kept && seconds < ARRIVAL_PERIOD.as_secs_f64() {
                plans.push(random_plan(
                    shape,
                    arrival,
                    conditions.has_stragglers,
                    &mut plan_rng,
                ));
            }
        }
        let slow_periods = if conditions.has_slow_periods {
            random_slow_periods(shape, seed)
        } else {
            Vec::new()
        };
        Workload {
            plans,
            slow_periods,
        }
    }
}

/// Demand at a time, relative to the base rate.
fn demand_factor(at: Time) -> f64 {
    let (start, end) = (Time(CREST_START.0), Time(CREST_END.0));
    if at < start || at > end {
        return 1.0;
    }
    let rise = at.since(start).as_secs_f64() / CREST_RAMP.as_secs_f64();
    1.0 + (CREST_FACTOR - 1.0) * rise.min(1.0)
}

/// Slot seconds that all engines provide per second.
fn capacity(shape: &Shape) -> f64 {
    f64::from(shape.engines() * SLOTS)
}

/// Mean slot seconds of a program whose prefixes are always cached.
fn mean_work_seconds() -> f64 {
    const SAMPLES: u32 = 4_000;
    let mut rng = StdRng::seed_from_u64(0);
    let shape = Shape::meche();
    let total: f64 = (0..SAMPLES)
        .map(|_| work_seconds(&random_plan(&shape, Time(0), true, &mut rng).steps))
        .sum();
    total / f64::from(SAMPLES)
}

fn work_seconds(steps: &[Step]) -> f64 {
    steps
        .iter()
        .map(|step| match step {
            Step::Model { input, answer } => {
                (PREFILL_TIME.0 * input.0 + TOKEN_TIME.0 * answer.0) as f64 / 1e6
            }
            Step::Children(children) => children.iter().map(|steps| work_seconds(steps)).sum(),
            Step::Service { .. } | Step::Pause(_) => 0.0,
        })
        .sum()
}

fn random_plan(shape: &Shape, arrival: Time, has_stragglers: bool, rng: &mut StdRng) -> Plan {
    let is_top_class = rng.random_bool(shape.top_class_share);
    let region = usize::from(rng.random_bool(shape.second_region_share));
    let is_chosen = rng.random_bool(STRAGGLER_SHARE);
    let calls = lognormal(rng, 7.0, 0.7).clamp(CALL_COUNT_RANGE.0, CALL_COUNT_RANGE.1) as u64;
    let is_straggler = is_chosen && has_stragglers;
    let answer_factor = if is_straggler { STRAGGLER_FACTOR } else { 1 };
    Plan {
        arrival,
        is_top_class,
        region,
        is_straggler,
        steps: random_steps(rng, calls, is_top_class, answer_factor, true),
    }
}

fn random_steps(
    rng: &mut StdRng,
    calls: u64,
    is_top_class: bool,
    answer_factor: u64,
    may_have_children: bool,
) -> Vec<Step> {
    let mut steps = vec![random_model_call(rng, 600.0, answer_factor)];
    for _ in 1..calls {
        let kind: f64 = rng.random();
        if kind < 0.2 {
            let is_idempotent = !is_top_class || rng.random_bool(0.5);
            let service_time = Span((lognormal(rng, 20.0, 0.5) * 1e3) as u64);
            steps.push(Step::Service {
                is_idempotent,
                service_time,
            });
        } else if kind < 0.25 && may_have_children && answer_factor == 1 {
            let count = rng.random_range(1..=2);
            let child = |_| self::random_steps(rng, 3, is_top_class, answer_factor, false);
            steps.push(Step::Children((0..count).map(child).collect()));
        } else {
            steps.push(random_model_call(rng, 150.0, answer_factor));
        }
        if rng.random_bool(0.5) {
            let pause_ms = lognormal(rng, 100.0, 1.0).min(2_000.0);
            steps.push(Step::Pause(Span((pause_ms * 1e3) as u64)));
        }
    }
    steps
}

fn random_model_call(rng: &mut StdRng, median_input: f64, answer_factor: u64) -> Step {
    let input = lognormal(rng, median_input, 0.6).clamp(20.0, 3_000.0) as u64;
    let answer = lognormal(rng, 40.0, 0.7).clamp(4.0, 400.0) as u64;
    Step::Model {
        input: Tokens(input),
        answer: Tokens(answer * answer_factor),
    }
}

/// Generates slow periods such that a constant share of engines and of services is slow.
fn random_slow_periods(shape: &Shape, seed: u64) -> Vec<SlowPeriod> {
    let mut rng = StdRng::seed_from_u64(seed ^ 0x510);
    let engines = shape.engines() as usize;
    let services = shape.services() as usize;
    let mut periods = Vec::new();
    for (first, count) in [(0, engines), (engines, services)] {
        let slow_count = (count as f64 * shape.slowed_share).round().max(1.0) as usize;
        for _ in 0..slow_count {
            let mut start = rng.random_range(0.0..2.0);
            while start < ARRIVAL_PERIOD.as_secs_f64() {
                let seconds = rng.random_range(SLOW_SECONDS_RANGE.0..SLOW_SECONDS_RANGE.1);
                periods.push(SlowPeriod {
                    endpoint: first + rng.random_range(0..count),
                    start: Time((start * 1e6) as u64),
                    end: Time(((start + seconds) * 1e6) as u64),
                    factor: rng.random_range(SLOW_FACTOR_RANGE.0..SLOW_FACTOR_RANGE.1),
                });
                start += seconds;
            }
        }
    }
    periods
}

fn exponential(rng: &mut StdRng, rate: f64) -> f64 {
    -(1.0 - rng.random::<f64>()).ln() / rate
}

fn lognormal(rng: &mut StdRng, median: f64, sigma: f64) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
    median * (sigma * normal).exp()
}
