//! Budgets over random histories of a parent and its children: calls, hedges, retries, sub-agents,
//! ends and takeovers. The tokens counted by the engines must stay within the ledger's bounds.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use log::{Answer, Budget, Call, Cause, Created, Event, Parent, Turn, Usage};
use program::{Program, Request, Reservation};
use proptest::prelude::*;
use units::{Calls, Incarnation, Time, Tokens, Version};

const TRANCHE: Tokens = Tokens(400);

/// One step of a family of programs; a program number is taken modulo the number of programs.
#[derive(Clone, Debug)]
enum Step {
    /// A call of one program with the outcome of each dispatch; if `killed`, the entry is killed
    /// before it records the answer of the last dispatch.
    Call {
        program: usize,
        worst_case: u64,
        dispatches: Vec<Outcome>,
        killed: bool,
    },
    /// A sub-agent with this budget.
    Child { program: usize, tokens: u64 },
    /// The end of one program; its unused tokens return to its parent, reported `twice` or once.
    End { program: usize, twice: bool },
    /// Another entry takes over all programs; it recovers unrecorded turns from witnesses or not.
    Takeover { recovers: bool },
}

/// How one dispatch ended.
#[derive(Clone, Copy, Debug)]
enum Outcome {
    /// The dispatch is proved not to have run.
    DidNotRun,
    /// The outcome is unknown to the entry; the dispatch used the given number of tokens.
    Lost(u64),
    /// The dispatch was answered and used the given number of tokens.
    Answered(u64),
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        Just(Outcome::DidNotRun),
        (0..300_u64).prop_map(Outcome::Lost),
        (0..300_u64).prop_map(Outcome::Answered),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let call = (
        0..4_usize,
        1..300_u64,
        prop::collection::vec(outcome(), 1..4),
        any::<bool>(),
    );
    prop_oneof![
        6 => call.prop_map(|(program, worst_case, dispatches, killed)| Step::Call {
            program,
            worst_case,
            dispatches,
            killed: killed && worst_case % 3 == 0,
        }),
        2 => (0..4_usize, 0..1_000_u64)
            .prop_map(|(program, tokens)| Step::Child { program, tokens }),
        1 => (0..4_usize, any::<bool>()).prop_map(|(program, twice)| Step::End { program, twice }),
        1 => any::<bool>().prop_map(|recovers| Step::Takeover { recovers }),
    ]
}

/// A program, its durable events, and the tokens that engines counted for it.
struct Member {
    id: units::Program,
    program: Program,
    events: Vec<Event>,
    used: u64,
    /// The turn that a killed entry did not record; witnesses may hold a copy.
    unrecorded: Option<Turn>,
}

impl Member {
    fn new(number: u64, budget: Budget, parent: Option<Parent>) -> Self {
        let created = Created {
            account: "meche".parse().unwrap(),
            class: "reorder".parse().unwrap(),
            budget,
            deadline: Time(u64::MAX),
            parent,
            document: Version(1),
            entry: "entry-0".parse().unwrap(),
            at: Time(0),
        };
        let origin = Incarnation(1);
        Member {
            id: units::Program { origin, number },
            program: Program::new(created.clone()),
            events: vec![Event::Created(created)],
            used: 0,
            unrecorded: None,
        }
    }

    fn append(&mut self, event: Event) {
        self.program.apply(&event);
        self.events.push(event);
    }

    fn reserve(&mut self, worst_case: Tokens) -> bool {
        loop {
            match self.program.reserve(worst_case, TRANCHE) {
                Reservation::Granted => return true,
                Reservation::Exhausted => return false,
                Reservation::Tranche(tokens) => self.append(Event::Tranche(tokens)),
            }
        }
    }

    fn request(&self) -> Request {
        Request {
            seq: self.program.next_seq(),
            target: Some("advisor".parse().unwrap()),
            input: Vec::new(),
            budget: Budget::default(),
        }
    }

    fn make_turn(&self, request: &Request, answer: Answer, tokens: Tokens) -> Turn {
        let usage = Usage {
            tokens: tokens.plus(self.program.written_off()),
            ..Usage::default()
        };
        Turn {
            call: Call::from(request),
            answer,
            usage,
            route: None,
            at: Time(1),
        }
    }

    fn append_turn(&mut self, request: &Request, answer: Answer, tokens: Tokens) {
        let turn = self.make_turn(request, answer, tokens);
        self.append(Event::Turn(turn));
    }

    /// Makes a call whose dispatches all run at once, as hedges do; returns whether the entry was
    /// killed before the call ended.
    fn call(&mut self, worst_case: u64, dispatches: &[Outcome], killed: bool) -> bool {
        let request = self.request();
        self.program.begin(&request);
        for (index, outcome) in dispatches.iter().enumerate() {
            if !self.reserve(Tokens(worst_case)) {
                break;
            }
            match *outcome {
                Outcome::DidNotRun => self.program.unreserve(Tokens(worst_case)),
                Outcome::Lost(used) => {
                    self.used += used.min(worst_case);
                    self.program.write_off(Tokens(worst_case));
                }
                Outcome::Answered(used) => {
                    self.used += used.min(worst_case);
                    if killed && index + 1 == dispatches.len() {
                        let answer = Answer::Complete(Vec::new());
                        let turn = self.make_turn(&request, answer, Tokens(used.min(worst_case)));
                        self.unrecorded = Some(turn);
                        return true;
                    }
                    self.append_turn(
                        &request,
                        Answer::Complete(Vec::new()),
                        Tokens(used.min(worst_case)),
                    );
                    return false;
                }
            }
        }
        self.program.release(request.seq);
        false
    }

    fn take_over(&mut self, recovers: bool) {
        self.events.push(Event::Adopted {
            from: Incarnation(1),
            at: Time(2),
        });
        if let Some(turn) = self.unrecorded.take()
            && recovers
        {
            self.events.push(Event::Recovered(turn));
        }
        self.program = Program::replay(&self.events).unwrap();
    }

    fn check(&self) {
        let ledger = self.program.ledger();
        let budget = self.program.created().budget.tokens;
        assert!(ledger.granted() <= budget);
        assert!(ledger.spent().plus(ledger.reserved()) <= ledger.granted());
    }
}

fn child(members: &mut Vec<Member>, index: usize, tokens: u64) {
    let number = members.len() as u64;
    let member = &mut members[index];
    let request = member.request();
    let budget = Budget {
        tokens: Tokens(tokens),
        calls: Calls(100),
    };
    member.program.begin(&request);
    if !member.reserve(budget.tokens) {
        member.program.release(request.seq);
        return;
    }
    let parent = Parent {
        program: member.id,
        seq: request.seq,
    };
    let child = Member::new(number, budget, Some(parent));
    member.append_turn(&request, Answer::Child(child.id, budget), Tokens(0));
    members.push(child);
}

fn end(members: &mut [Member], index: usize, twice: bool) {
    let (cause, at) = (Cause::Caller, Time(3));
    members[index].append(Event::Ended { cause, at });
    let member = &members[index];
    let Some(parent) = member.program.created().parent else {
        return;
    };
    let returned = Event::Returned {
        child: member.id,
        tokens: member.program.unused_tokens(),
    };
    let parent = members
        .iter_mut()
        .find(|member| member.id == parent.program)
        .unwrap();
    for _ in 0..=u32::from(twice) {
        parent.append(returned.clone());
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3_000))]

    #[test]
    fn budget_bounds_what_a_family_of_programs_uses(
        tokens in 0..5_000_u64,
        steps in prop::collection::vec(step(), 1..40),
    ) {
        let budget = Budget { tokens: Tokens(tokens), calls: Calls(1_000) };
        let mut members = vec![Member::new(0, budget, None)];
        for step in steps {
            let count = members.len();
            let is_live = |members: &[Member], program: usize| {
                members[program % count].program.ended().is_none()
            };
            let mut is_takeover = matches!(step, Step::Takeover { .. });
            let recovers = !matches!(step, Step::Takeover { recovers: false });
            match step {
                Step::Call { program, worst_case, dispatches, killed } if is_live(&members, program) => {
                    is_takeover = members[program % count].call(worst_case, &dispatches, killed);
                }
                Step::Child { program, tokens } if is_live(&members, program) => {
                    child(&mut members, program % count, tokens);
                }
                Step::End { program, twice } if is_live(&members, program) => {
                    end(&mut members, program % count, twice);
                }
                _ => {}
            }
            if is_takeover {
                members.iter_mut().for_each(|member| member.take_over(recovers));
            }
            members.iter().for_each(Member::check);
            let used: u64 = members.iter().map(|member| member.used).sum();
            prop_assert!(used <= tokens, "used {} of {}", used, tokens);
        }
    }
}
