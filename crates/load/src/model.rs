//! The model: the shipped policy code over a small event-driven model of engines, in virtual time.
//!
//! It is no proof of what real processes do: there is no log, no admission API and no CPU cost. It is
//! here to try a change of the policy over many seeds in seconds; the result is confirmed by a run
//! over real processes.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use policy::{
    AdmissionControl, EndpointInfo, Fleet, HedgeBudget, Rank, RankFactors, Request, Settings,
    Stream, Ticket, Usage,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use units::{Host, Program, Span, Target, Time, Tokens};

use crate::engine::{Engine, Exec};
use crate::outcome::{Outcome, Run};
use crate::workload::{OBJECTIVE, Plan, SLOTS, Shape, Step, Workload};

const HOP_NEAR: Span = Span::from_ms(1);
const HOP_FAR: Span = Span::from_ms(12);
const REPORT_INTERVAL: Span = Span::from_ms(200);
const REPORT_DELAY: Span = Span::from_ms(100);
const HEDGE_INTERVAL: Span = Span::from_ms(20);
const TOKEN_BYTES: u64 = 4;
const EVENTS_MAX: u64 = 50_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A root program arrives or tries again.
    Arrive(usize),
    /// A program takes its next step.
    Step(usize),
    /// A dispatch reaches its endpoint.
    Dispatched(usize),
    /// A part of an answer is done.
    Part(usize),
    /// A whole answer reaches its entry.
    Done(usize),
    /// An entry looks at a call under way.
    Check(usize),
    /// Endpoints measure their load.
    Measure,
    /// A load report reaches the entries.
    Report(usize, u32),
}

/// An entry with the policy's state.
struct Entry {
    fleet: Fleet,
    gate: AdmissionControl,
    budget: HedgeBudget,
    region: usize,
    others: Vec<u32>,
}

/// A program under way.
struct Agent {
    plan: usize,
    steps: Vec<Step>,
    next: usize,
    entry: usize,
    began: Time,
    context: Tokens,
    parent: Option<usize>,
    children: u32,
}

/// A call under way: its dispatches are `execs`.
struct Call {
    agent: usize,
    request: Request,
    idempotent: bool,
    answer: Tokens,
    length: Span,
    execs: Vec<usize>,
    done: bool,
}

/// A dispatch as its entry sees it.
struct Order {
    ticket: Option<Ticket>,
    stream: Stream,
}

/// One run of the model.
pub struct Model<'a> {
    shape: &'a Shape,
    workload: &'a Workload,
    knobs: Settings,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    counter: u64,
    entries: Vec<Entry>,
    engines: Vec<Engine>,
    regions: Vec<usize>,
    agents: Vec<Agent>,
    calls: Vec<Call>,
    execs: Vec<Exec>,
    orders: Vec<Order>,
    served: Vec<Option<Time>>,
    live: usize,
    index: HashMap<Host, usize>,
    rng: StdRng,
    run: Run,
}

fn host(number: usize) -> Host {
    format!("host-{number}").parse().unwrap_or_default()
}

fn target(name: &str) -> Target {
    name.parse().unwrap_or_default()
}

/// Runs a workload under `knobs`.
pub fn run(shape: &Shape, workload: &Workload, knobs: &Settings, seed: u64) -> Run {
    let mut model = Model::new(shape, workload, knobs, seed);
    model.run();
    model.run
}

impl<'a> Model<'a> {
    fn new(shape: &'a Shape, workload: &'a Workload, knobs: &Settings, seed: u64) -> Self {
        let mut regions = Vec::new();
        for counts in [shape.engines, shape.services] {
            for (region, count) in counts.into_iter().enumerate() {
                regions.extend(std::iter::repeat_n(region, count as usize));
            }
        }
        let engines = (0..regions.len()).map(|number| {
            let windows = workload.windows.iter().copied();
            Engine::new(windows.filter(|window| window.endpoint == number).collect())
        });
        let index = (0..regions.len()).map(|number| (host(number), number));
        let mut model = Model {
            shape,
            workload,
            knobs: *knobs,
            now: Time(0),
            events: BinaryHeap::new(),
            counter: 0,
            entries: Vec::new(),
            engines: engines.collect(),
            index: index.collect(),
            regions,
            agents: Vec::new(),
            calls: Vec::new(),
            execs: Vec::new(),
            orders: Vec::new(),
            served: vec![None; workload.plans.len()],
            live: 0,
            rng: StdRng::seed_from_u64(seed),
            run: Run::default(),
        };
        for (region, count) in shape.entries.into_iter().enumerate() {
            for _ in 0..count {
                let entry = model.entry(region);
                model.entries.push(entry);
            }
        }
        model
    }

    fn entry(&self, region: usize) -> Entry {
        let mut fleet = Fleet::new(self.knobs);
        let engines = self.shape.engines() as usize;
        fleet.sync(
            self.regions
                .iter()
                .enumerate()
                .map(|(number, at)| EndpointInfo {
                    host: host(number),
                    serves: vec![target(if number < engines {
                        "advisor"
                    } else {
                        "records"
                    })],
                    slots: SLOTS,
                    link_round_trip: if region == *at {
                        Span(0)
                    } else {
                        Span(2 * HOP_FAR.0)
                    },
                    is_model: number < engines,
                }),
        );
        Entry {
            fleet,
            gate: AdmissionControl::new(),
            budget: HedgeBudget::new(),
            region,
            others: vec![0; self.regions.len()],
        }
    }

    fn at(&mut self, after: Span, event: Event) {
        self.counter += 1;
        let key = (self.now.after(after), self.counter, event);
        self.events.push(Reverse(key));
    }

    fn run(&mut self) {
        for (number, plan) in self.workload.plans.iter().enumerate() {
            self.at(Span(plan.at.0), Event::Arrive(number));
        }
        self.live = self.workload.plans.len();
        self.at(REPORT_INTERVAL, Event::Measure);
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            self.now = time;
            self.handle(event);
            if self.live == 0 || self.counter > EVENTS_MAX {
                break;
            }
        }
        for (plan, served) in self.workload.plans.iter().zip(&self.served) {
            self.run.outcomes.push(Outcome::new(plan, *served));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(plan) => self.arrive(plan),
            Event::Step(agent) => self.step(agent),
            Event::Dispatched(exec) => {
                let engine = self.execs[exec].engine;
                self.engines[engine].push(exec, &self.execs);
                self.fill(engine);
            }
            Event::Part(exec) => self.part(exec),
            Event::Done(exec) => self.done(exec),
            Event::Check(call) => self.check(call),
            Event::Measure => self.measure(),
            Event::Report(engine, calls) => {
                let host = host(engine);
                for entry in &mut self.entries {
                    entry.fleet.record_load(&host, calls);
                    entry.others[engine] = calls;
                }
            }
        }
    }

    fn plan(&self, number: usize) -> &'a Plan {
        &self.workload.plans[number]
    }

    fn arrive(&mut self, number: usize) {
        let plan = self.plan(number);
        let choices: Vec<usize> = (0..self.entries.len())
            .filter(|entry| self.entries[*entry].region == plan.region)
            .collect();
        let entry = choices[number % choices.len()];
        let precedence = precedence(plan);
        let at = &mut self.entries[entry];
        let slots = at.fleet.slot_share();
        let left = Span(OBJECTIVE.0.saturating_sub(self.now.since(plan.at).0));
        let admitted = at
            .gate
            .admit(precedence, slots, left, self.knobs.admission, &mut self.rng);
        match admitted {
            Ok(()) => self.spawn(number, plan.steps.clone(), entry, None),
            Err(delay) => {
                self.run.refusals += 1;
                if self.now.after(delay) < plan.at.after(OBJECTIVE) {
                    self.at(delay, Event::Arrive(number));
                } else {
                    self.live -= 1;
                }
            }
        }
    }

    fn spawn(&mut self, plan: usize, steps: Vec<Step>, entry: usize, parent: Option<usize>) {
        self.agents.push(Agent {
            plan,
            steps,
            next: 0,
            entry,
            began: self.now,
            context: Tokens(0),
            parent,
            children: 0,
        });
        let precedence = precedence(self.plan(plan));
        self.entries[entry].gate.begin(precedence);
        self.at(HOP_NEAR, Event::Step(self.agents.len() - 1));
    }

    fn step(&mut self, number: usize) {
        let agent = &mut self.agents[number];
        let Some(step) = agent.steps.get(agent.next).cloned() else {
            return self.end(number);
        };
        agent.next += 1;
        match step {
            Step::Pause(span) => self.at(span, Event::Step(number)),
            Step::Children(all) => {
                agent.children = all.len() as u32;
                let (plan, entry) = (agent.plan, agent.entry);
                for steps in all {
                    self.spawn(plan, steps, entry, Some(number));
                }
            }
            Step::Model { input, answer } => {
                agent.context = agent.context.plus(input);
                let prompt = agent.context;
                let most = Tokens((answer.0 * 4).next_power_of_two().max(256));
                self.call(number, "advisor", prompt, answer, most, true, Span(0));
            }
            Step::Service { idempotent, length } => {
                let one = Tokens(1);
                self.call(number, "records", Tokens(0), one, one, idempotent, length);
            }
        }
    }

    #[allow(clippy::too_many_arguments, reason = "the parts of one call")]
    fn call(
        &mut self,
        agent: usize,
        name: &str,
        prompt: Tokens,
        answer: Tokens,
        most: Tokens,
        idempotent: bool,
        length: Span,
    ) {
        let request = Request {
            program: program(agent),
            target: target(name),
            prompt,
            generated_max: most,
        };
        self.calls.push(Call {
            agent,
            request,
            idempotent,
            answer,
            length,
            execs: Vec::new(),
            done: false,
        });
        let call = self.calls.len() - 1;
        let entry = self.agents[agent].entry;
        let request = &self.calls[call].request;
        let fleet = &mut self.entries[entry].fleet;
        let ticket = fleet.route(request, None, self.now, &mut self.rng);
        if let Some(ticket) = ticket {
            self.dispatch(call, ticket);
            if self.knobs.hedge_budget.0 > 0.0 && idempotent {
                self.at(HEDGE_INTERVAL, Event::Check(call));
            }
        }
    }

    fn dispatch(&mut self, number: usize, ticket: Ticket) {
        let call = &self.calls[number];
        let agent = &self.agents[call.agent];
        let entry = &mut self.entries[agent.entry];
        let plan = &self.workload.plans[agent.plan];
        let factors = RankFactors {
            precedence: precedence(plan),
            objective: OBJECTIVE,
            attained: entry.fleet.attained(call.request.program),
            started_at: agent.began,
        };
        entry.fleet.start(&ticket);
        let engine = self.index[&ticket.host];
        let hop = hop(entry.region, self.regions[engine]);
        let rank = Rank::new(&self.knobs, &factors, self.now);
        if entry.region != self.regions[engine] {
            let tokens = call.request.prompt.plus(call.answer);
            self.run.link_bytes += tokens.0 * TOKEN_BYTES;
        }
        self.execs.push(Exec::new(
            number,
            engine,
            call.request.program,
            call.request.prompt,
            call.answer,
            call.length,
            rank,
        ));
        let exec = self.execs.len() - 1;
        self.orders.push(Order {
            ticket: Some(ticket),
            stream: Stream {
                dispatched_at: self.now,
                last_received_at: None,
                received: Tokens(0),
            },
        });
        self.calls[number].execs.push(exec);
        self.at(hop, Event::Dispatched(exec));
    }

    /// Starts waiting calls while there are slots.
    fn fill(&mut self, engine: usize) {
        while let Some(number) = self.engines[engine].pop() {
            let exec = &self.execs[number];
            let prompt = exec.prompt;
            let elsewhere = self.engines.iter().map(|other| other.held(exec.program));
            let best = elsewhere.max().unwrap_or_default().min(prompt);
            let held = self.engines[engine].take(exec.program).min(prompt);
            let exec = &mut self.execs[number];
            exec.begin(held, self.now);
            self.run.prefilled += prompt.minus(held).0;
            self.run.wasted += best.minus(held).0;
            let next = self.engines[engine].next(exec, self.now);
            self.at(next, Event::Part(number));
        }
    }

    fn part(&mut self, number: usize) {
        let exec = &mut self.execs[number];
        if exec.cancelled {
            return;
        }
        let tokens = exec.advance();
        let (engine, call) = (exec.engine, exec.call);
        let entry = self.agents[self.calls[call].agent].entry;
        self.observe(number, entry, tokens);
        let exec = &mut self.execs[number];
        if exec.is_done() {
            self.engines[engine].finish(exec);
            let hop = hop(self.entries[entry].region, self.regions[engine]);
            self.at(hop, Event::Done(number));
            self.fill(engine);
        } else {
            let next = self.engines[engine].next(exec, self.now);
            self.at(next, Event::Part(number));
        }
    }

    /// Shows the entry a part of a stream.
    fn observe(&mut self, number: usize, entry: usize, tokens: Tokens) {
        let order = &mut self.orders[number];
        let fleet = &mut self.entries[entry].fleet;
        let Some(ticket) = &order.ticket else {
            return;
        };
        if tokens.0 == 0 {
            // The prompt is done; the entry sees nothing yet.
            return;
        }
        if let Some(last) = order.stream.last_received_at {
            fleet.record_progress(ticket, tokens, self.now.since(last), self.now);
        } else {
            fleet.record_first_token(ticket, self.now.since(order.stream.dispatched_at), self.now);
        }
        order.stream.last_received_at = Some(self.now);
        order.stream.received = order.stream.received.plus(tokens);
    }

    /// A whole answer has come: the losers are cancelled and the program goes on.
    fn done(&mut self, number: usize) {
        let call = self.execs[number].call;
        if self.calls[call].done {
            return;
        }
        self.calls[call].done = true;
        let entry = self.agents[self.calls[call].agent].entry;
        for exec in self.calls[call].execs.clone() {
            if exec == number {
                self.settle(exec, entry, true);
            } else {
                self.cancel(exec);
                self.settle(exec, entry, false);
            }
        }
        let agent = self.calls[call].agent;
        if self.calls[call].length == Span(0) {
            let context = &mut self.agents[agent].context;
            *context = context.plus(self.calls[call].answer);
        }
        self.at(HOP_NEAR, Event::Step(agent));
    }

    fn settle(&mut self, number: usize, entry: usize, won: bool) {
        let Some(ticket) = self.orders[number].ticket.take() else {
            return;
        };
        let exec = &self.execs[number];
        let work = exec.worked(self.now);
        let entry = &mut self.entries[entry];
        self.run.work += work.0;
        if !won {
            self.run.extra += work.0;
        }
        let used = won.then_some(Usage {
            prompt: exec.prompt,
            cached: exec.cached,
            generated: exec.made,
        });
        if won {
            entry.budget.refill(work, self.knobs.hedge_budget);
        }
        entry.fleet.finish(&ticket, used, self.now);
    }

    fn cancel(&mut self, number: usize) {
        let exec = &mut self.execs[number];
        if exec.is_done() {
            return;
        }
        exec.cancelled = true;
        let engine = exec.engine;
        self.engines[engine].cancel(number, &self.execs[number]);
        self.fill(engine);
    }

    fn check(&mut self, number: usize) {
        let call = &self.calls[number];
        let [first] = call.execs[..] else {
            return;
        };
        if call.done || !call.idempotent {
            return;
        }
        let entry = &mut self.entries[self.agents[call.agent].entry];
        let order = &self.orders[first];
        let Some(ticket) = &order.ticket else {
            return;
        };
        let fleet = &mut entry.fleet;
        let other = fleet.route(&call.request, Some(&ticket.host), self.now, &mut self.rng);
        if let Some(other) = other
            && fleet.is_hedge_worthwhile(&call.request, ticket, &order.stream, &other, self.now)
            && entry
                .budget
                .try_spend(fleet.hedge_cost(ticket, &order.stream, &other))
        {
            self.run.hedges += 1;
            return self.dispatch(number, other);
        }
        self.at(HEDGE_INTERVAL, Event::Check(number));
    }

    fn measure(&mut self) {
        for engine in 0..self.engines.len() {
            let calls = self.engines[engine].calls();
            self.at(REPORT_DELAY, Event::Report(engine, calls));
        }
        self.at(REPORT_INTERVAL, Event::Measure);
    }

    fn end(&mut self, number: usize) {
        let id = program(number);
        for engine in &mut self.engines {
            engine.release(id);
        }
        let (entry, parent) = (self.agents[number].entry, self.agents[number].parent);
        let work = self.entries[entry].fleet.forget(id);
        let plan = self.agents[number].plan;
        let precedence = precedence(self.plan(plan));
        self.entries[entry].gate.end(precedence, work);
        if let Some(parent) = parent {
            self.agents[parent].children -= 1;
            if self.agents[parent].children == 0 {
                self.at(HOP_NEAR, Event::Step(parent));
            }
            return;
        }
        self.served[plan] = Some(self.now);
        self.live -= 1;
    }
}

fn program(number: usize) -> Program {
    Program {
        number: number as u64,
        ..Program::default()
    }
}

fn precedence(plan: &Plan) -> u32 {
    if plan.top { 10 } else { 1 }
}

fn hop(from: usize, to: usize) -> Span {
    if from == to { HOP_NEAR } else { HOP_FAR }
}
