//! Budget wasted by a takeover and grants written by a program, for several tranche sizes. Programs
//! make model calls with a growing context and are taken over once, after a random call.

use log::{Answer, Budget, Call, Created, Event, Turn, Usage};
use program::{Program, Request, Reservation};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use units::{Calls, Time, Tokens, Version};

const PROGRAMS: u64 = 2_000;
const BUDGET: Tokens = Tokens(50_000);
const INPUT_BYTES: u64 = 400;
const INPUT_TOKENS: u64 = 100;
const ANSWER_MAX_TOKENS: u64 = 256;
const CALLS_MAX: u64 = 16;

/// Results of one program; tokens for `wasted`, counts for the others.
#[derive(Default)]
struct Outcome {
    wasted: u64,
    grants: u64,
    calls: u64,
}

fn main() {
    println!("tranche  wasted of the budget  grants a call");
    for tranche in [500, 2_000, 5_000, 20_000, 50_000] {
        let mut rng = StdRng::seed_from_u64(1);
        let mut total = Outcome::default();
        for _ in 0..PROGRAMS {
            let outcome = run_program(Tokens(tranche), &mut rng);
            total.wasted += outcome.wasted;
            total.grants += outcome.grants;
            total.calls += outcome.calls;
        }
        let wasted = total.wasted as f64 / (PROGRAMS * BUDGET.0) as f64;
        let grants = total.grants as f64 / total.calls as f64;
        println!("{tranche:>7}  {:>19.1}%  {grants:>13.2}", wasted * 100.0);
    }
}

/// Runs one program up to its takeover.
fn run_program(tranche: Tokens, rng: &mut StdRng) -> Outcome {
    let mut program = Program::new(created());
    let mut outcome = Outcome::default();
    for _ in 0..rng.random_range(1..=CALLS_MAX) {
        let request = request(&program);
        let context = program.context().0;
        let worst_case = program.worst_case(INPUT_BYTES, Tokens(ANSWER_MAX_TOKENS));
        program.begin(&request);
        loop {
            match program.reserve(worst_case, tranche) {
                Reservation::Granted => break,
                Reservation::Tranche(tokens) => {
                    program.apply(&Event::Tranche(tokens));
                    outcome.grants += 1;
                }
                Reservation::Exhausted => {
                    program.release(request.seq);
                    break;
                }
            }
        }
        if !program.is_running() {
            break;
        }
        let used = Tokens(context + INPUT_TOKENS + rng.random_range(16..=ANSWER_MAX_TOKENS));
        program.apply(&Event::Turn(turn(&request, used)));
        outcome.calls += 1;
    }
    let ledger = program.ledger();
    outcome.wasted = ledger.granted().minus(ledger.spent()).0;
    outcome
}

fn created() -> Created {
    Created {
        account: "meche".parse().unwrap_or_default(),
        class: "reorder".parse().unwrap_or_default(),
        budget: Budget {
            tokens: BUDGET,
            calls: Calls(100),
        },
        deadline: Time(u64::MAX),
        parent: None,
        document: Version(1),
        entry: "entry-0".parse().unwrap_or_default(),
        at: Time(0),
    }
}

fn request(program: &Program) -> Request {
    Request {
        seq: program.next_seq(),
        target: "advisor".parse().ok(),
        input: vec![0; INPUT_BYTES as usize],
        budget: Budget::default(),
    }
}

fn turn(request: &Request, used: Tokens) -> Turn {
    Turn {
        call: Call::from(request),
        answer: Answer::Complete(Vec::new()),
        usage: Usage {
            tokens: used,
            context: used,
            cached: Tokens(0),
        },
        route: None,
        at: Time(0),
    }
}
