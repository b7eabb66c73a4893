//! Runs the shipped policy code over an event-driven model of the endpoints, in virtual time.
//!
//! The model makes it possible to try a change of the policy over many seeds within seconds. It has
//! no log, no admission API and no CPU cost, so a result must be confirmed by a run over real
//! processes.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use policy::{
    AdmissionControl, EndpointInfo, Fleet, HedgeBudget, Rank, RankFactors, Request, Settings,
    Stream, Ticket, Usage,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use units::{Host, Program, Span, Target, Time, Tokens};

use crate::engine::{Endpoint, Execution};
use crate::outcome::{Outcome, Run};
use crate::workload::{OBJECTIVE, Plan, SLOTS, Shape, Step, Workload};

const LOCAL_LATENCY: Span = Span::from_ms(1);
const CROSS_REGION_LATENCY: Span = Span::from_ms(12);
const REPORT_INTERVAL: Span = Span::from_ms(200);
const REPORT_DELAY: Span = Span::from_ms(100);
const HEDGE_CHECK_INTERVAL: Span = Span::from_ms(20);
const BYTES_PER_TOKEN: u64 = 4;
const EVENTS_MAX: u64 = 50_000_000;

/// An event of the simulation; indexes refer to the vectors of [`Model`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The program of a plan asks for admission, for the first time or again.
    Arrival(usize),
    /// An agent begins its next step.
    NextStep(usize),
    /// A dispatch reaches its endpoint.
    DispatchReceived(usize),
    /// An endpoint has completed the prefill or a part of an answer.
    PartComplete(usize),
    /// A complete answer reaches its entry.
    AnswerReceived(usize),
    /// An entry checks whether to hedge a running call.
    HedgeCheck(usize),
    /// Endpoints measure their load.
    MeasureLoad,
    /// The load report of an endpoint, with its number of calls, reaches the entries.
    LoadReport(usize, u32),
}

/// An entry with its policy state.
struct Entry {
    fleet: Fleet,
    admission: AdmissionControl,
    hedge_budget: HedgeBudget,
    region: usize,
    reported_calls: Vec<u32>,
}

/// A running program or sub-agent.
struct Agent {
    plan: usize,
    steps: Vec<Step>,
    next_step: usize,
    entry: usize,
    started_at: Time,
    context: Tokens,
    parent: Option<usize>,
    running_children: u32,
}

/// A call of an agent; `executions` has more than one element if the call was hedged.
struct Call {
    agent: usize,
    request: Request,
    is_idempotent: bool,
    answer: Tokens,
    service_time: Span,
    executions: Vec<usize>,
    is_done: bool,
}

/// State that an entry keeps of one execution; `ticket` is `None` once the execution is settled.
struct Dispatch {
    ticket: Option<Ticket>,
    stream: Stream,
}

/// One run of the model; `dispatches` and `executions` have the same indexes.
pub struct Model<'a> {
    shape: &'a Shape,
    workload: &'a Workload,
    settings: Settings,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    event_counter: u64,
    entries: Vec<Entry>,
    endpoints: Vec<Endpoint>,
    endpoint_regions: Vec<usize>,
    agents: Vec<Agent>,
    calls: Vec<Call>,
    executions: Vec<Execution>,
    dispatches: Vec<Dispatch>,
    finished_at: Vec<Option<Time>>,
    unfinished_plans: usize,
    endpoint_index: HashMap<Host, usize>,
    rng: StdRng,
    run: Run,
}

fn host(number: usize) -> Host {
    format!("host-{number}").parse().unwrap_or_default()
}

fn target(name: &str) -> Target {
    name.parse().unwrap_or_default()
}

/// Runs a workload under a policy; `seed` determines the random choices of the policy.
pub fn run(shape: &Shape, workload: &Workload, settings: &Settings, seed: u64) -> Run {
    let mut model = Model::new(shape, workload, settings, seed);
    model.run();
    model.run
}

impl<'a> Model<'a> {
    fn new(shape: &'a Shape, workload: &'a Workload, settings: &Settings, seed: u64) -> Self {
        let mut endpoint_regions = Vec::new();
        for counts in [shape.engines, shape.services] {
            for (region, count) in counts.into_iter().enumerate() {
                endpoint_regions.extend(std::iter::repeat_n(region, count as usize));
            }
        }
        let endpoints = (0..endpoint_regions.len()).map(|index| {
            let periods = workload.slow_periods.iter().copied();
            Endpoint::new(periods.filter(|period| period.endpoint == index).collect())
        });
        let endpoint_index = (0..endpoint_regions.len()).map(|index| (host(index), index));
        let mut model = Model {
            shape,
            workload,
            settings: *settings,
            now: Time(0),
            events: BinaryHeap::new(),
            event_counter: 0,
            entries: Vec::new(),
            endpoints: endpoints.collect(),
            endpoint_index: endpoint_index.collect(),
            endpoint_regions,
            agents: Vec::new(),
            calls: Vec::new(),
            executions: Vec::new(),
            dispatches: Vec::new(),
            finished_at: vec![None; workload.plans.len()],
            unfinished_plans: 0,
            rng: StdRng::seed_from_u64(seed),
            run: Run::default(),
        };
        for (region, count) in shape.entries.into_iter().enumerate() {
            for _ in 0..count {
                let entry = model.new_entry(region);
                model.entries.push(entry);
            }
        }
        model
    }

    fn new_entry(&self, region: usize) -> Entry {
        let mut fleet = Fleet::new(self.settings);
        let engine_count = self.shape.engines() as usize;
        fleet.sync(
            self.endpoint_regions
                .iter()
                .enumerate()
                .map(|(index, endpoint_region)| EndpointInfo {
                    host: host(index),
                    serves: vec![target(if index < engine_count {
                        "advisor"
                    } else {
                        "records"
                    })],
                    slots: SLOTS,
                    link_round_trip: if region == *endpoint_region {
                        Span(0)
                    } else {
                        Span(2 * CROSS_REGION_LATENCY.0)
                    },
                    is_model: index < engine_count,
                }),
        );
        Entry {
            fleet,
            admission: AdmissionControl::new(),
            hedge_budget: HedgeBudget::new(),
            region,
            reported_calls: vec![0; self.endpoint_regions.len()],
        }
    }

    fn schedule(&mut self, delay: Span, event: Event) {
        self.event_counter += 1;
        let key = (self.now.after(delay), self.event_counter, event);
        self.events.push(Reverse(key));
    }

    fn run(&mut self) {
        for (index, plan) in self.workload.plans.iter().enumerate() {
            self.schedule(Span(plan.arrival.0), Event::Arrival(index));
        }
        self.unfinished_plans = self.workload.plans.len();
        self.schedule(REPORT_INTERVAL, Event::MeasureLoad);
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            self.now = time;
            self.handle(event);
            if self.unfinished_plans == 0 || self.event_counter > EVENTS_MAX {
                break;
            }
        }
        for (plan, finished_at) in self.workload.plans.iter().zip(&self.finished_at) {
            self.run.outcomes.push(Outcome::new(plan, *finished_at));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(plan) => self.request_admission(plan),
            Event::NextStep(agent) => self.next_step(agent),
            Event::DispatchReceived(execution) => {
                let endpoint = self.executions[execution].endpoint;
                self.endpoints[endpoint].enqueue(execution, &self.executions);
                self.start_queued(endpoint);
            }
            Event::PartComplete(execution) => self.complete_part(execution),
            Event::AnswerReceived(execution) => self.complete_call(execution),
            Event::HedgeCheck(call) => self.check_hedge(call),
            Event::MeasureLoad => self.measure_load(),
            Event::LoadReport(endpoint, calls) => {
                let host = host(endpoint);
                for entry in &mut self.entries {
                    entry.fleet.record_load(&host, calls);
                    entry.reported_calls[endpoint] = calls;
                }
            }
        }
    }

    fn plan(&self, index: usize) -> &'a Plan {
        &self.workload.plans[index]
    }

    fn request_admission(&mut self, plan_index: usize) {
        let plan = self.plan(plan_index);
        let candidates: Vec<usize> = (0..self.entries.len())
            .filter(|entry| self.entries[*entry].region == plan.region)
            .collect();
        let entry_index = candidates[plan_index % candidates.len()];
        let precedence = precedence(plan);
        let entry = &mut self.entries[entry_index];
        let slots = entry.fleet.slot_share();
        let remaining = Span(OBJECTIVE.0.saturating_sub(self.now.since(plan.arrival).0));
        let admitted = entry.admission.admit(
            precedence,
            slots,
            remaining,
            self.settings.admission,
            &mut self.rng,
        );
        match admitted {
            Ok(()) => self.start_agent(plan_index, plan.steps.clone(), entry_index, None),
            Err(delay) => {
                self.run.refusals += 1;
                if self.now.after(delay) < plan.arrival.after(OBJECTIVE) {
                    self.schedule(delay, Event::Arrival(plan_index));
                } else {
                    self.unfinished_plans -= 1;
                }
            }
        }
    }

    fn start_agent(&mut self, plan: usize, steps: Vec<Step>, entry: usize, parent: Option<usize>) {
        self.agents.push(Agent {
            plan,
            steps,
            next_step: 0,
            entry,
            started_at: self.now,
            context: Tokens(0),
            parent,
            running_children: 0,
        });
        let precedence = precedence(self.plan(plan));
        self.entries[entry].admission.begin(precedence);
        self.schedule(LOCAL_LATENCY, Event::NextStep(self.agents.len() - 1));
    }

    fn next_step(&mut self, index: usize) {
        let agent = &mut self.agents[index];
        let Some(step) = agent.steps.get(agent.next_step).cloned() else {
            return self.end_agent(index);
        };
        agent.next_step += 1;
        match step {
            Step::Pause(span) => self.schedule(span, Event::NextStep(index)),
            Step::Children(children) => {
                agent.running_children = children.len() as u32;
                let (plan, entry) = (agent.plan, agent.entry);
                for steps in children {
                    self.start_agent(plan, steps, entry, Some(index));
                }
            }
            Step::Model { input, answer } => {
                agent.context = agent.context.plus(input);
                let prompt = agent.context;
                let max_tokens = Tokens((answer.0 * 4).next_power_of_two().max(256));
                self.start_call(index, "advisor", prompt, answer, max_tokens, true, Span(0));
            }
            Step::Service {
                is_idempotent,
                service_time,
            } => {
                let one = Tokens(1);
                self.start_call(
                    index,
                    "records",
                    Tokens(0),
                    one,
                    one,
                    is_idempotent,
                    service_time,
                );
            }
        }
    }

    #[allow(clippy::too_many_arguments, reason = "the parts of one call")]
    fn start_call(
        &mut self,
        agent: usize,
        target_name: &str,
        prompt: Tokens,
        answer: Tokens,
        max_tokens: Tokens,
        is_idempotent: bool,
        service_time: Span,
    ) {
        let request = Request {
            program: program(agent),
            target: target(target_name),
            prompt,
            generated_max: max_tokens,
        };
        self.calls.push(Call {
            agent,
            request,
            is_idempotent,
            answer,
            service_time,
            executions: Vec::new(),
            is_done: false,
        });
        let call = self.calls.len() - 1;
        let entry = self.agents[agent].entry;
        let request = &self.calls[call].request;
        let fleet = &mut self.entries[entry].fleet;
        let ticket = fleet.route(request, None, self.now, &mut self.rng);
        if let Some(ticket) = ticket {
            self.dispatch(call, ticket);
            if self.settings.hedge_budget.0 > 0.0 && is_idempotent {
                self.schedule(HEDGE_CHECK_INTERVAL, Event::HedgeCheck(call));
            }
        }
    }

    fn dispatch(&mut self, call_index: usize, ticket: Ticket) {
        let call = &self.calls[call_index];
        let agent = &self.agents[call.agent];
        let entry = &mut self.entries[agent.entry];
        let plan = &self.workload.plans[agent.plan];
        let factors = RankFactors {
            precedence: precedence(plan),
            objective: OBJECTIVE,
            attained: entry.fleet.attained(call.request.program),
            started_at: agent.started_at,
        };
        entry.fleet.start(&ticket);
        let endpoint = self.endpoint_index[&ticket.host];
        let latency = latency(entry.region, self.endpoint_regions[endpoint]);
        let rank = Rank::new(&self.settings, &factors, self.now);
        if entry.region != self.endpoint_regions[endpoint] {
            let tokens = call.request.prompt.plus(call.answer);
            self.run.link_bytes += tokens.0 * BYTES_PER_TOKEN;
        }
        self.executions.push(Execution::new(
            call_index,
            endpoint,
            call.request.program,
            call.request.prompt,
            call.answer,
            call.service_time,
            rank,
        ));
        let execution = self.executions.len() - 1;
        self.dispatches.push(Dispatch {
            ticket: Some(ticket),
            stream: Stream {
                dispatched_at: self.now,
                last_received_at: None,
                received: Tokens(0),
            },
        });
        self.calls[call_index].executions.push(execution);
        self.schedule(latency, Event::DispatchReceived(execution));
    }

    /// Starts queued executions at an endpoint while it has free slots.
    fn start_queued(&mut self, endpoint: usize) {
        while let Some(index) = self.endpoints[endpoint].dequeue() {
            let execution = &self.executions[index];
            let prompt = execution.prompt;
            let cached_anywhere = self
                .endpoints
                .iter()
                .map(|other| other.cached_tokens(execution.program));
            let most_cached = cached_anywhere.max().unwrap_or_default().min(prompt);
            let cached = self.endpoints[endpoint]
                .use_cached_tokens(execution.program)
                .min(prompt);
            let execution = &mut self.executions[index];
            execution.start(cached, self.now);
            self.run.computed_prompt_tokens += prompt.minus(cached).0;
            self.run.wasted_prompt_tokens += most_cached.minus(cached).0;
            let delay = self.endpoints[endpoint].time_to_next_part(execution, self.now);
            self.schedule(delay, Event::PartComplete(index));
        }
    }

    fn complete_part(&mut self, index: usize) {
        let execution = &mut self.executions[index];
        if execution.is_cancelled {
            return;
        }
        let tokens = execution.complete_part();
        let (endpoint, call) = (execution.endpoint, execution.call);
        let entry = self.agents[self.calls[call].agent].entry;
        self.record_part(index, entry, tokens);
        let execution = &mut self.executions[index];
        if execution.is_complete() {
            self.endpoints[endpoint].finish(execution);
            let latency = latency(self.entries[entry].region, self.endpoint_regions[endpoint]);
            self.schedule(latency, Event::AnswerReceived(index));
            self.start_queued(endpoint);
        } else {
            let delay = self.endpoints[endpoint].time_to_next_part(execution, self.now);
            self.schedule(delay, Event::PartComplete(index));
        }
    }

    /// Records a part of an answer in the policy state of the entry.
    fn record_part(&mut self, index: usize, entry: usize, tokens: Tokens) {
        let dispatch = &mut self.dispatches[index];
        let fleet = &mut self.entries[entry].fleet;
        let Some(ticket) = &dispatch.ticket else {
            return;
        };
        if tokens.0 == 0 {
            // Only the prefill is complete; the entry has received nothing yet.
            return;
        }
        if let Some(last) = dispatch.stream.last_received_at {
            fleet.record_progress(ticket, tokens, self.now.since(last), self.now);
        } else {
            fleet.record_first_token(
                ticket,
                self.now.since(dispatch.stream.dispatched_at),
                self.now,
            );
        }
        dispatch.stream.last_received_at = Some(self.now);
        dispatch.stream.received = dispatch.stream.received.plus(tokens);
    }

    /// Completes a call with the first complete answer: cancels its other executions and lets the
    /// agent go on.
    fn complete_call(&mut self, winner: usize) {
        let call = self.executions[winner].call;
        if self.calls[call].is_done {
            return;
        }
        self.calls[call].is_done = true;
        let entry = self.agents[self.calls[call].agent].entry;
        for execution in self.calls[call].executions.clone() {
            if execution == winner {
                self.settle(execution, entry, true);
            } else {
                self.cancel(execution);
                self.settle(execution, entry, false);
            }
        }
        let agent = self.calls[call].agent;
        if self.calls[call].service_time == Span(0) {
            let context = &mut self.agents[agent].context;
            *context = context.plus(self.calls[call].answer);
        }
        self.schedule(LOCAL_LATENCY, Event::NextStep(agent));
    }

    fn settle(&mut self, index: usize, entry: usize, is_winner: bool) {
        let Some(ticket) = self.dispatches[index].ticket.take() else {
            return;
        };
        let execution = &self.executions[index];
        let work = execution.work_done(self.now);
        let entry = &mut self.entries[entry];
        self.run.work_us += work.0;
        if !is_winner {
            self.run.extra_work_us += work.0;
        }
        let usage = is_winner.then_some(Usage {
            prompt: execution.prompt,
            cached: execution.cached,
            generated: execution.generated,
        });
        if is_winner {
            entry.hedge_budget.refill(work, self.settings.hedge_budget);
        }
        entry.fleet.finish(&ticket, usage, self.now);
    }

    fn cancel(&mut self, index: usize) {
        let execution = &mut self.executions[index];
        if execution.is_complete() {
            return;
        }
        execution.is_cancelled = true;
        let endpoint = execution.endpoint;
        self.endpoints[endpoint].cancel(index, &self.executions[index]);
        self.start_queued(endpoint);
    }

    fn check_hedge(&mut self, call_index: usize) {
        let call = &self.calls[call_index];
        let [first] = call.executions[..] else {
            return;
        };
        if call.is_done || !call.is_idempotent {
            return;
        }
        let entry = &mut self.entries[self.agents[call.agent].entry];
        let dispatch = &self.dispatches[first];
        let Some(ticket) = &dispatch.ticket else {
            return;
        };
        let fleet = &mut entry.fleet;
        let other = fleet.route(&call.request, Some(&ticket.host), self.now, &mut self.rng);
        if let Some(other) = other
            && fleet.is_hedge_worthwhile(&call.request, ticket, &dispatch.stream, &other, self.now)
            && entry
                .hedge_budget
                .try_spend(fleet.hedge_cost(ticket, &dispatch.stream, &other))
        {
            self.run.hedges += 1;
            return self.dispatch(call_index, other);
        }
        self.schedule(HEDGE_CHECK_INTERVAL, Event::HedgeCheck(call_index));
    }

    fn measure_load(&mut self) {
        for endpoint in 0..self.endpoints.len() {
            let calls = self.endpoints[endpoint].call_count();
            self.schedule(REPORT_DELAY, Event::LoadReport(endpoint, calls));
        }
        self.schedule(REPORT_INTERVAL, Event::MeasureLoad);
    }

    fn end_agent(&mut self, index: usize) {
        let program = program(index);
        for endpoint in &mut self.endpoints {
            endpoint.drop_cached(program);
        }
        let (entry, parent) = (self.agents[index].entry, self.agents[index].parent);
        let work = self.entries[entry].fleet.forget(program);
        let plan = self.agents[index].plan;
        let precedence = precedence(self.plan(plan));
        self.entries[entry].admission.end(precedence, work);
        if let Some(parent) = parent {
            self.agents[parent].running_children -= 1;
            if self.agents[parent].running_children == 0 {
                self.schedule(LOCAL_LATENCY, Event::NextStep(parent));
            }
            return;
        }
        self.finished_at[plan] = Some(self.now);
        self.unfinished_plans -= 1;
    }
}

/// Identifier of an agent's program; sub-agents are programs of their own.
fn program(agent: usize) -> Program {
    Program {
        number: agent as u64,
        ..Program::default()
    }
}

fn precedence(plan: &Plan) -> u32 {
    if plan.is_top_class { 10 } else { 1 }
}

fn latency(from_region: usize, to_region: usize) -> Span {
    if from_region == to_region {
        LOCAL_LATENCY
    } else {
        CROSS_REGION_LATENCY
    }
}
