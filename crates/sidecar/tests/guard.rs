//! Compares the guard with a model over random sequences of dispatches, queries and other steps.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a failed step fails the test"
)]

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use sidecar::{Guard, Verdict};
use units::{Bytes, Call, Digest, Incarnation, Program, Seq, Span, Tokens};
use wire::{Dispatch, Done, Epoch, Load, Ran, Reason, Refused, State, Usage, Work};

const INCARNATION: Incarnation = Incarnation(7);
const PROGRAMS: usize = 3;
const ANSWER: &[u8] = b"done";
const RETAIN_MAX: Bytes = Bytes(40);

/// A step of the model. Numbers select a program, or a dispatch or call modulo how many there are.
#[derive(Clone, Debug)]
enum Step {
    /// An entry creates a dispatch of a program's current call, for any number of deliveries.
    CreateDispatch(usize),
    Deliver(usize, bool),
    Query(usize),
    Cancel(usize),
    Start(usize),
    Finish(usize, bool),
    /// The program's current call is recorded. The guard is notified if the flag is set.
    Settle(usize, bool),
    Release(usize),
    Advance,
    Leave,
}

fn step() -> impl Strategy<Value = Step> {
    let index = 0..1_000_usize;
    prop_oneof![
        4 => (0..PROGRAMS).prop_map(Step::CreateDispatch),
        8 => (index.clone(), prop::bool::weighted(0.9)).prop_map(|(n, room)| Step::Deliver(n, room)),
        2 => index.clone().prop_map(Step::Query),
        1 => index.clone().prop_map(Step::Cancel),
        6 => index.clone().prop_map(Step::Start),
        6 => (index.clone(), prop::bool::weighted(0.8)).prop_map(|(n, done)| Step::Finish(n, done)),
        3 => (0..PROGRAMS, any::<bool>()).prop_map(|(n, notified)| Step::Settle(n, notified)),
        1 => (0..PROGRAMS).prop_map(Step::Release),
        1 => Just(Step::Advance),
        1 => prop::bool::weighted(0.02).prop_map(|leave| if leave { Step::Leave } else { Step::Advance }),
    ]
}

fn program(number: usize) -> Program {
    Program {
        origin: Incarnation(1),
        number: number as u64,
    }
}

fn dispatch(call: Call, epoch: Epoch) -> Dispatch {
    Dispatch {
        call,
        sidecar: INCARNATION,
        epoch,
        account: "meche".parse().unwrap(),
        target: "stock".parse().unwrap(),
        work: Work::Service { idempotent: false },
        time_remaining: Span::from_ms(1_000),
        priority: 0,
        input: Vec::new(),
        trace: Default::default(),
        tail: Vec::new(),
    }
}

/// Model of the entries, the queue and the endpoint around a guard.
struct Model {
    guard: Guard,
    dispatches: Vec<Dispatch>,
    attempts: u32,
    current: Vec<Seq>,
    ended: BTreeSet<Program>,
    waiting: Vec<Call>,
    running: Vec<Call>,
    executions: BTreeMap<Call, u32>,
    /// Calls that the guard has reported as "did not run".
    denied: BTreeSet<Call>,
    /// Calls whose answers the guard must retain.
    retained: BTreeSet<Call>,
}

fn choose<T>(all: &[T], number: usize) -> Option<usize> {
    (!all.is_empty()).then(|| number % all.len())
}

impl Model {
    fn new() -> Self {
        Model {
            guard: Guard::new(INCARNATION, RETAIN_MAX),
            dispatches: Vec::new(),
            attempts: 0,
            current: vec![Seq(1); PROGRAMS],
            ended: BTreeSet::new(),
            waiting: Vec::new(),
            running: Vec::new(),
            executions: BTreeMap::new(),
            denied: BTreeSet::new(),
            retained: BTreeSet::new(),
        }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::CreateDispatch(number) => self.create_dispatch(number),
            Step::Deliver(number, has_room) => self.deliver(number, has_room),
            Step::Query(number) => self.query(number),
            Step::Cancel(number) => self.cancel(number),
            Step::Start(number) => {
                if let Some(index) = choose(&self.waiting, number) {
                    let call = self.waiting.remove(index);
                    *self.executions.entry(call).or_default() += 1;
                    self.running.push(call);
                }
            }
            Step::Finish(number, complete) => {
                if let Some(index) = choose(&self.running, number) {
                    let call = self.running.remove(index);
                    self.finish(call, complete);
                }
            }
            Step::Settle(number, notified) => self.settle(number, notified),
            Step::Release(number) => {
                self.ended.insert(program(number));
                self.guard.release(program(number));
                self.retained.retain(|call| call.program != program(number));
            }
            Step::Advance => self.guard.advance_epoch(),
            Step::Leave => self.guard.set_leaving(),
        }
    }

    fn create_dispatch(&mut self, number: usize) {
        if !self.ended.contains(&program(number)) {
            let call = Call {
                program: program(number),
                seq: self.current[number],
                attempt: self.attempts,
            };
            self.attempts += 1;
            self.dispatches.push(dispatch(call, self.guard.epoch()));
        }
    }

    fn deliver(&mut self, number: usize, has_room: bool) {
        let Some(index) = choose(&self.dispatches, number) else {
            return;
        };
        let dispatch = self.dispatches[index].clone();
        match self.guard.dispatch(&dispatch, has_room) {
            Verdict::Run(_) => self.waiting.push(dispatch.call),
            Verdict::Attach(answer) => {
                if let Some(Err(refused)) = answer.end() {
                    self.record_refusal(dispatch.call, refused);
                }
            }
            Verdict::Reject(refused) => self.record_refusal(dispatch.call, refused),
        }
    }

    fn record_refusal(&mut self, call: Call, refused: Refused) {
        match refused.ran {
            Ran::No => drop(self.denied.insert(call)),
            Ran::Yes => assert!(self.executions.contains_key(&call)),
            Ran::Unknown => {}
        }
    }

    /// An entry queries a call: the current call of a program that it owns, or a call that it
    /// dispatched. For the latter it accepts a tombstone only up to the epoch after the dispatch's.
    fn query(&mut self, number: usize) {
        let Some(index) = choose(&self.dispatches, number) else {
            return;
        };
        let (call, epoch) = (self.dispatches[index].call, self.dispatches[index].epoch);
        let state = self.guard.query(call);
        if self.retained.contains(&call) {
            assert!(matches!(state, State::Retained(_)), "{call}: {state:?}");
        }
        let is_current = !self.ended.contains(&call.program)
            && call.seq == self.current[call.program.number as usize];
        match state {
            State::Tombstone if is_current || self.guard.epoch() <= epoch.next() => {
                self.denied.insert(call);
            }
            State::Refused(refused) => self.record_refusal(call, refused),
            State::Tombstone | State::Retained(_) | State::Running => {}
        }
    }

    fn cancel(&mut self, number: usize) {
        let Some(index) = choose(&self.dispatches, number) else {
            return;
        };
        let call = self.dispatches[index].call;
        if self.waiting.contains(&call) {
            self.waiting.retain(|waiting| *waiting != call);
            let refused = Refused {
                ran: Ran::No,
                reason: Reason::Cancelled,
            };
            self.guard.finish(call, Err(refused));
            self.denied.insert(call);
        } else {
            self.query(index);
        }
    }

    fn finish(&mut self, call: Call, complete: bool) {
        let index = call.program.number as usize;
        let is_settled = self.ended.contains(&call.program) || call.seq < self.current[index];
        if complete && !is_settled {
            self.retained.insert(call);
        }
        if let Some(answer) = self.guard.answer(call) {
            answer.push(ANSWER);
        }
        let done = Done {
            length: Bytes(ANSWER.len() as u64),
            digest: Digest::of(ANSWER),
            usage: Usage {
                generated: Tokens(1),
                ..Usage::default()
            },
            load: Load::default(),
        };
        let maybe_ran = Refused {
            ran: Ran::Unknown,
            reason: Reason::Endpoint,
        };
        self.guard
            .finish(call, if complete { Ok(done) } else { Err(maybe_ran) });
    }

    fn settle(&mut self, number: usize, notified: bool) {
        let (program, seq) = (program(number), self.current[number]);
        self.current[number] = seq.next();
        self.retained
            .retain(|call| call.program != program || call.seq > seq);
        let mut calls = self.dispatches.iter().map(|dispatch| dispatch.call);
        if let Some(call) =
            calls.find(|call| notified && call.program == program && call.seq == seq)
        {
            self.guard.record_saved(&[call]);
        }
    }

    fn check(&self) {
        for (call, executions) in &self.executions {
            assert!(*executions <= 1, "{call} ran {executions} times");
            assert!(
                !self.denied.contains(call),
                "{call} ran, but the guard denied it"
            );
        }
        let max_retained = RETAIN_MAX.0 + (self.executions.len() * ANSWER.len()) as u64;
        assert!(self.guard.retained().0 <= max_retained);
    }

    /// Releases all programs, ends all calls and checks that the guard becomes empty.
    fn check_empties(mut self) {
        for number in 0..PROGRAMS {
            self.apply(&Step::Release(number));
        }
        while !self.waiting.is_empty() {
            self.apply(&Step::Start(0));
        }
        while !self.running.is_empty() {
            self.apply(&Step::Finish(0, true));
        }
        for _ in 0..5 {
            self.guard.advance_epoch();
        }
        assert_eq!(self.guard.retained(), Bytes(0));
        // Calls that may have run stay recorded until the release of their program, done above.
        assert!(self.guard.is_empty(), "{:?}", self.guard);
        for number in 0..self.dispatches.len() {
            self.deliver(number, true);
        }
        assert!(self.waiting.is_empty(), "a late dispatch would run");
        self.check();
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]
    #[test]
    fn calls_run_at_most_once_and_denials_are_true(steps in prop::collection::vec(step(), 1..120)) {
        let mut model = Model::new();
        for step in &steps {
            model.apply(step);
            model.check();
        }
        model.check_empties();
    }
}

#[test]
fn records_of_saved_calls_are_removed() {
    let mut guard = Guard::new(INCARNATION, RETAIN_MAX);
    let mut max_calls = 0;
    for seq in 1..=10_000 {
        let call = Call {
            program: program(seq as usize % PROGRAMS),
            seq: Seq(seq),
            attempt: 0,
        };
        guard.dispatch(&dispatch(call, guard.epoch()), true);
        guard.query(call);
        guard.finish(
            call,
            Err(Refused {
                ran: Ran::Unknown,
                reason: Reason::Endpoint,
            }),
        );
        guard.record_saved(&[call]);
        if seq % 100 == 0 {
            guard.advance_epoch();
        }
        max_calls = max_calls.max(guard.len());
    }
    assert!(max_calls <= 300, "{max_calls} calls recorded");
    // The guard becomes empty although no program was released.
    (0..2).for_each(|_| guard.advance_epoch());
    assert!(guard.is_empty(), "{guard:?}");
}

#[test]
fn tombstone_created_after_a_call_was_removed_does_not_deny_that_it_ran() {
    let mut guard = Guard::new(INCARNATION, RETAIN_MAX);
    let call = Call {
        program: program(0),
        seq: Seq(1),
        attempt: 0,
    };
    let dispatch = dispatch(call, guard.epoch());
    assert!(matches!(guard.dispatch(&dispatch, true), Verdict::Run(_)));
    guard.release(call.program);
    let maybe_ran = Refused {
        ran: Ran::Unknown,
        reason: Reason::Endpoint,
    };
    guard.finish(call, Err(maybe_ran));
    guard.advance_epoch();
    guard.advance_epoch();
    guard.advance_epoch();
    guard.query(call);
    let Verdict::Reject(refused) = guard.dispatch(&dispatch, true) else {
        panic!("a late dispatch was accepted");
    };
    assert_eq!(refused.ran, Ran::Unknown);
}
