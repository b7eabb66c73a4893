//! The programs that arrive: seeded, so that all policies are given the same ones.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use units::{Span, Time, Tokens};

/// The shape of a deployment and of its demand.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Its name.
    pub name: &'static str,
    /// Model engines by region.
    pub engines: [u32; 2],
    /// Plain services by region.
    pub services: [u32; 2],
    /// Entries by region.
    pub entries: [u32; 2],
    /// Share of programs of the top class.
    pub top_share: f64,
    /// Share of programs that arrive in the second region.
    pub second_share: f64,
    /// Share of all engine time that the demand takes outside the crest.
    pub utilisation: f64,
    /// Share of endpoints that are slow at a time.
    pub slowed: f64,
}

/// Calls that an endpoint runs at a time.
pub const SLOTS: u32 = 4;
/// Time per generated token.
pub const TOKEN_TIME: Span = Span(4_000);
/// Time per prompt token that is not cached.
pub const PREFILL_TIME: Span = Span(50);
/// Prompt tokens that an engine's cache holds.
pub const CACHE: Tokens = Tokens(80_000);
/// Arrivals end after this.
pub const LENGTH: Span = Span::from_ms(30_000);
/// The crest begins to rise at this time.
pub const CREST_FROM: Span = Span::from_ms(10_000);
/// The crest has passed at this time.
pub const CREST_TO: Span = Span::from_ms(17_000);
/// Time in which a program should be done.
pub const OBJECTIVE: Span = Span::from_ms(12_000);

const CREST_RAMP: Span = Span::from_ms(2_000);
const CREST_FACTOR: f64 = 5.0;
const STRAGGLER_SHARE: f64 = 0.015;
const STRAGGLER_FACTOR: u64 = 20;
const CALLS: (f64, f64) = (3.0, 30.0);
const SLOW_FACTOR: (f64, f64) = (5.0, 10.0);
const SLOW_SECONDS: (f64, f64) = (2.0, 5.0);

impl Shape {
    /// Mèche Royale: 10 advisor workers and 3 of the ordering application.
    pub fn meche() -> Self {
        Shape {
            name: "meche",
            engines: [7, 3],
            services: [2, 1],
            entries: [2, 1],
            top_share: 0.25,
            second_share: 0.3,
            utilisation: 0.4,
            slowed: 0.1,
        }
    }

    /// Pindan: 20 advisory workers and 15 of the records.
    pub fn pindan() -> Self {
        Shape {
            name: "pindan",
            engines: [13, 7],
            services: [10, 5],
            entries: [2, 1],
            top_share: 0.3,
            second_share: 0.35,
            utilisation: 0.35,
            slowed: 0.15,
        }
    }

    /// Scales the demand.
    pub fn with_demand(mut self, factor: f64) -> Self {
        self.utilisation *= factor;
        self
    }

    /// Engines in both regions.
    pub fn engines(&self) -> u32 {
        self.engines.iter().sum()
    }

    /// Services in both regions.
    pub fn services(&self) -> u32 {
        self.services.iter().sum()
    }
}

/// What a run includes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Conditions {
    /// Whether some programs run 20 times longer.
    pub stragglers: bool,
    /// Whether some endpoints are slowed.
    pub slowed: bool,
}

/// One step of a program.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// A model call.
    Model {
        /// Tokens added to the prompt.
        input: Tokens,
        /// Tokens that the engine generates.
        answer: Tokens,
    },
    /// A call of a plain service.
    Service {
        /// Whether it may be repeated.
        idempotent: bool,
        /// Its time at full speed.
        length: Span,
    },
    /// A pause of the caller.
    Pause(Span),
    /// Sub-agents that run side by side.
    Children(Vec<Vec<Step>>),
}

/// One program.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// When it arrives.
    pub at: Time,
    /// Whether it is of the class that goes first.
    pub top: bool,
    /// Its caller's region.
    pub region: usize,
    /// Whether it runs far longer than others.
    pub straggler: bool,
    /// Its steps.
    pub steps: Vec<Step>,
}

/// A time in which an endpoint is slow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    /// The endpoint's number.
    pub endpoint: usize,
    /// From when.
    pub from: Time,
    /// To when.
    pub to: Time,
    /// How many times slower.
    pub factor: f64,
}

/// Everything that a run is given.
#[derive(Clone, Debug)]
pub struct Workload {
    /// The programs in order of arrival.
    pub plans: Vec<Plan>,
    /// The slow times of engines, then services.
    pub windows: Vec<Window>,
}

impl Workload {
    /// The workload of a seed; the same seed gives the same arrivals under all conditions.
    pub fn new(shape: &Shape, conditions: Conditions, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let base = shape.utilisation * capacity(shape) / mean_work();
        let mut plans = Vec::new();
        let mut at = 0.0;
        while at < LENGTH.as_secs_f64() {
            at += exponential(&mut rng, base * CREST_FACTOR);
            let time = Time((at * 1e6) as u64);
            let mut own = StdRng::seed_from_u64(rng.random());
            let keep = rng.random_bool(factor(time) / CREST_FACTOR);
            if keep && at < LENGTH.as_secs_f64() {
                plans.push(plan(shape, time, conditions.stragglers, &mut own));
            }
        }
        let windows = if conditions.slowed {
            windows(shape, seed)
        } else {
            Vec::new()
        };
        Workload { plans, windows }
    }
}

/// Demand at a time, relative to the base.
fn factor(at: Time) -> f64 {
    let (from, to) = (Time(CREST_FROM.0), Time(CREST_TO.0));
    if at < from || at > to {
        return 1.0;
    }
    let rise = at.since(from).as_secs_f64() / CREST_RAMP.as_secs_f64();
    1.0 + (CREST_FACTOR - 1.0) * rise.min(1.0)
}

/// Engine seconds a second.
fn capacity(shape: &Shape) -> f64 {
    f64::from(shape.engines() * SLOTS)
}

/// Mean engine seconds of a program whose prefixes are always cached.
fn mean_work() -> f64 {
    const SAMPLES: u32 = 4_000;
    let mut rng = StdRng::seed_from_u64(0);
    let shape = Shape::meche();
    let total: f64 = (0..SAMPLES)
        .map(|_| work(&plan(&shape, Time(0), true, &mut rng).steps))
        .sum();
    total / f64::from(SAMPLES)
}

fn work(steps: &[Step]) -> f64 {
    steps
        .iter()
        .map(|step| match step {
            Step::Model { input, answer } => {
                (PREFILL_TIME.0 * input.0 + TOKEN_TIME.0 * answer.0) as f64 / 1e6
            }
            Step::Children(all) => all.iter().map(|steps| work(steps)).sum(),
            Step::Service { .. } | Step::Pause(_) => 0.0,
        })
        .sum()
}

fn plan(shape: &Shape, at: Time, stragglers: bool, rng: &mut StdRng) -> Plan {
    let top = rng.random_bool(shape.top_share);
    let region = usize::from(rng.random_bool(shape.second_share));
    let chosen = rng.random_bool(STRAGGLER_SHARE);
    let calls = lognormal(rng, 7.0, 0.7).clamp(CALLS.0, CALLS.1) as u64;
    let straggler = chosen && stragglers;
    let scale = if straggler { STRAGGLER_FACTOR } else { 1 };
    Plan {
        at,
        top,
        region,
        straggler,
        steps: steps(rng, calls, top, scale, true),
    }
}

fn steps(rng: &mut StdRng, calls: u64, top: bool, scale: u64, children: bool) -> Vec<Step> {
    let mut steps = vec![model(rng, 600.0, scale)];
    for _ in 1..calls {
        let kind: f64 = rng.random();
        if kind < 0.2 {
            let idempotent = !top || rng.random_bool(0.5);
            let length = Span((lognormal(rng, 20.0, 0.5) * 1e3) as u64);
            steps.push(Step::Service { idempotent, length });
        } else if kind < 0.25 && children && scale == 1 {
            let count = rng.random_range(1..=2);
            let child = |_| self::steps(rng, 3, top, scale, false);
            steps.push(Step::Children((0..count).map(child).collect()));
        } else {
            steps.push(model(rng, 150.0, scale));
        }
        if rng.random_bool(0.5) {
            let pause = lognormal(rng, 100.0, 1.0).min(2_000.0);
            steps.push(Step::Pause(Span((pause * 1e3) as u64)));
        }
    }
    steps
}

fn model(rng: &mut StdRng, input: f64, scale: u64) -> Step {
    let input = lognormal(rng, input, 0.6).clamp(20.0, 3_000.0) as u64;
    let answer = lognormal(rng, 40.0, 0.7).clamp(4.0, 400.0) as u64;
    Step::Model {
        input: Tokens(input),
        answer: Tokens(answer * scale),
    }
}

/// Slow times such that a constant share of engines and of services is slow.
fn windows(shape: &Shape, seed: u64) -> Vec<Window> {
    let mut rng = StdRng::seed_from_u64(seed ^ 0x510);
    let engines = shape.engines() as usize;
    let services = shape.services() as usize;
    let mut windows = Vec::new();
    for (first, count) in [(0, engines), (engines, services)] {
        let slow = (count as f64 * shape.slowed).round().max(1.0) as usize;
        for _ in 0..slow {
            let mut at = rng.random_range(0.0..2.0);
            while at < LENGTH.as_secs_f64() {
                let length = rng.random_range(SLOW_SECONDS.0..SLOW_SECONDS.1);
                windows.push(Window {
                    endpoint: first + rng.random_range(0..count),
                    from: Time((at * 1e6) as u64),
                    to: Time(((at + length) * 1e6) as u64),
                    factor: rng.random_range(SLOW_FACTOR.0..SLOW_FACTOR.1),
                });
                at += length;
            }
        }
    }
    windows
}

fn exponential(rng: &mut StdRng, rate: f64) -> f64 {
    -(1.0 - rng.random::<f64>()).ln() / rate
}

fn lognormal(rng: &mut StdRng, median: f64, sigma: f64) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
    median * (sigma * normal).exp()
}
