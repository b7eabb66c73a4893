//! Turns whose new input is longer than one call of the store holds. See `claim.txt` of the case.

use std::path::Path;

use crate::Verdict;
use crate::fleet::{Call, Fleet, MECHE};
use crate::http::Channel;

/// Below `MaxBodyBytes`, which is 4,194,304.
const LONG_BYTES: usize = 1_000_000;
/// The mean of the sheet.
const SHORT_BYTES: usize = 5_100;
const TURNS: usize = 6;
/// More such turns than this break the rule.
const LOST_MAX: usize = 3;

pub fn run(record: &Path, has_trouble: bool) -> Verdict {
    let fleet = Fleet::start(record, &MECHE, &["port-louis", "pamplemousses"], 3, 1)?;
    let bytes = if has_trouble { LONG_BYTES } else { SHORT_BYTES };
    let mut lost = 0;
    for index in 0..TURNS {
        let mut channel = Channel::connect(fleet.gateways[0].address)?;
        // The channel is a kept one: it has carried a request before.
        let opening = turn(&fleet, SHORT_BYTES, index);
        let opened = fleet.send_on(&mut channel, 0, &opening)?;
        if !opened.is_complete {
            return Err("the short turn was not answered".into());
        }
        let long = Call {
            previous: Some(opening.id),
            ..turn(&fleet, bytes, index)
        };
        let response = fleet.send_on(&mut channel, 0, &long);
        let is_answered = response.is_ok_and(|response| response.is_complete);
        if !is_answered && fleet.run_count(&long.id) > 0 {
            lost += 1;
        }
    }
    fleet.record.line(&format!(
        "turns that a worker ran to its end and whose channel was closed without the end of an answer: \
         {lost} of {TURNS}"
    ));
    fleet.record_logs(&["turn not committed", "store lost"], 6);
    Ok(lost <= LOST_MAX)
}

fn turn(fleet: &Fleet, bytes: usize, index: usize) -> Call {
    let mut body = format!("events=8 report {index} ").into_bytes();
    body.resize(bytes, b'x');
    body.push(b'\n');
    Call {
        id: fleet.new_id(),
        path: "/turn/kept/4b".into(),
        program: format!("report{index}"),
        budget: 1_080,
        most: 135,
        body,
        deadline_ms: 5_000,
        finish_ms: 20_000,
        ..Call::default()
    }
}
