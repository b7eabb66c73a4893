//! The first turn of a program comes in through one zone, the others through another zone. A later turn,
//! which the budget still holds, is refused however often it is sent. See `claim.txt` of the case.

use std::path::Path;

use crate::Verdict;
use crate::fleet::{Call, Fleet, MECHE, Turn};

const BUDGET: u64 = 1_080;
const TURN_MAX: u64 = 135;
const TURNS: u64 = BUDGET / TURN_MAX;
/// A turn that reached no worker in so many tries breaks the rule.
const TRIES_MAX: usize = 5;
/// Time in which the program is to be finished.
const FINISH_MS: u64 = 30_000;
/// Programs that begin afterwards: their first turns are to reach a worker.
const FIRST_TURNS: usize = 10;

pub fn run(record: &Path, has_trouble: bool) -> Verdict {
    let zones = ["port-louis", "pamplemousses", "pamplemousses"];
    let fleet = Fleet::start(record, &MECHE, &zones, 3, 1)?;
    let (port_louis, pamplemousses) = ([0], [1, 2]);
    let began = fleet.record.seconds();
    let first_zone: &[usize] = if has_trouble { &port_louis } else { &pamplemousses };
    let opening = fleet.send_turn(first_zone, &turn(None));
    let mut tokens = opening.tokens;
    let mut previous = opening.answered.ok_or("the first turn was not answered")?;
    let mut lost = Turn::default();
    for _ in 1..TURNS {
        // The budget holds one more turn at its most, whatever was generated.
        if tokens + TURN_MAX > BUDGET {
            return Err("the turns generated more than their most".into());
        }
        let sent = fleet.send_turn(&pamplemousses, &turn(Some(&previous)));
        tokens += sent.tokens;
        match sent.answered {
            Some(id) => previous = id,
            None => {
                lost = sent;
                break;
            }
        }
    }
    let took_ms = ((fleet.record.seconds() - began) * 1e3) as u64;
    let opened = (0..FIRST_TURNS).filter(|index| {
        let call = Call {
            program: format!("other{index}"),
            ..turn(None)
        };
        fleet.send_turn(&pamplemousses, &call).answered.is_some()
    });
    let opened = opened.count();
    let reached = lost.tries.iter().filter(|(id, _)| fleet.run_count(id) > 0).count();
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

fn turn(previous: Option<&str>) -> Call {
    Call {
        path: "/turn/kept/4b".into(),
        program: "3fa81c".into(),
        budget: BUDGET,
        most: TURN_MAX,
        previous: previous.map(str::to_owned),
        body: b"go on\n".to_vec(),
        deadline_ms: 5_000,
        finish_ms: FINISH_MS,
        resend_ms: 250,
        ..Call::default()
    }
}
