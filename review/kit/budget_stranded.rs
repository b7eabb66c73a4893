//! The first two turns of a program come in through one zone, the others through another zone. A later
//! turn, which the budget still holds, is refused however often it is sent. See `claim.txt` of the case.

use std::path::Path;

use crate::Verdict;
use crate::fleet::{Call, Fleet, MECHE, Turn};

const BUDGET: u64 = 1_080;
const TURN_MAX: u64 = 135;
/// A turn that reached no worker in so many tries breaks the rule.
const TRIES_MAX: usize = 5;
/// Time in which the program is to be finished.
const FINISH_MS: u64 = 30_000;
/// Programs that begin afterwards: their first turns are to reach a worker.
const FIRST_TURNS: usize = 10;

pub fn run(record: &Path, has_trouble: bool) -> Verdict {
    let zones = ["port-louis", "port-louis", "pamplemousses", "pamplemousses"];
    let fleet = Fleet::start(record, &MECHE, &zones, 3, 1)?;
    let (port_louis, pamplemousses) = ([[0, 1], [1, 0]], [2, 3]);
    let began = fleet.record.seconds();
    let mut tokens = 0;
    let mut previous = None;
    // Two short turns, each through another gateway of the first zone.
    for gateways in &port_louis {
        let gateways = if has_trouble {
            gateways
        } else {
            &pamplemousses
        };
        let sent = fleet.send_turn(gateways, &turn(previous, "events=10"));
        tokens += sent.tokens;
        previous = Some(sent.answered.ok_or("a first turn was not answered")?);
    }
    let mut lost = Turn::default();
    // As long as the budget holds one more turn at its most.
    while tokens + TURN_MAX <= BUDGET {
        let sent = fleet.send_turn(&pamplemousses, &turn(previous.clone(), "go on"));
        tokens += sent.tokens;
        if sent.answered.is_none() {
            lost = sent;
            break;
        }
        previous = sent.answered;
    }
    let took_ms = ((fleet.record.seconds() - began) * 1e3) as u64;
    let opened = (0..FIRST_TURNS).filter(|index| {
        let call = Call {
            program: format!("other{index}"),
            ..turn(None, "go on")
        };
        fleet.send_turn(&pamplemousses, &call).answered.is_some()
    });
    let opened = opened.count();
    let reached = lost
        .tries
        .iter()
        .filter(|(id, _)| fleet.run_count(id) > 0)
        .count();
    fleet.record.line(&format!(
        "tokens handed to the client: {tokens} of {BUDGET}; the lost turn has {} tries, of which {reached} \
         reached a worker; the last try ended {took_ms} ms after the program began, which has {FINISH_MS} \
         ms; first turns of other programs that reached a worker: {opened} of {FIRST_TURNS}",
        lost.tries.len()
    ));
    fleet.record_logs(&["request refused"], 6);
    let is_broken = lost.tries.len() >= TRIES_MAX
        && reached == 0
        && took_ms < FINISH_MS
        && opened * 10 >= FIRST_TURNS * 9;
    Ok(!is_broken)
}

fn turn(previous: Option<String>, input: &str) -> Call {
    Call {
        path: "/turn/kept/4b".into(),
        program: "3fa81c".into(),
        budget: BUDGET,
        most: TURN_MAX,
        previous,
        body: format!("{input}\n").into(),
        deadline_ms: 5_000,
        finish_ms: FINISH_MS,
        resend_ms: 250,
        ..Call::default()
    }
}
