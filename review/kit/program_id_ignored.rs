//! A program whose `Program-Id` is longer than 128 bytes. See `claim.txt` of the case.

use std::path::Path;

use crate::Verdict;
use crate::fleet::{Call, Fleet, MECHE};
use crate::worker::hash;

const BUDGET: u64 = 1_080;
const TURN_MAX: u64 = 135;
const LONG_ID_BYTES: usize = 160;
/// More turns than the budget pays for.
const TURNS: usize = 12;

pub fn run(record: &Path, has_trouble: bool) -> Verdict {
    let fleet = Fleet::start(record, &MECHE, &["port-louis", "pamplemousses"], 3, 1)?;
    let mut program = String::from("wick-advice-of-shop-17-in-curepipe-3fa81c");
    if has_trouble {
        program.push_str(&"-0123456789".repeat(LONG_ID_BYTES / 10));
        program.truncate(LONG_ID_BYTES);
    }
    let mut text = Vec::new();
    let mut previous = None;
    let (mut tokens, mut wrong) = (0, 0);
    for index in 0..TURNS {
        let input = format!("question {index}\n").into_bytes();
        let call = Call {
            id: fleet.new_id(),
            path: "/turn/kept/4b".into(),
            program: program.clone(),
            budget: BUDGET,
            most: TURN_MAX,
            previous: previous.clone(),
            body: input.clone(),
            deadline_ms: 5_000,
            finish_ms: 20_000,
            ..Call::default()
        };
        let response = fleet.send(0, &call)?;
        text.extend_from_slice(&input);
        let expected = format!("{:016x}", hash(&text));
        let run = fleet
            .all_runs()
            .into_iter()
            .find(|run| run.request == call.id);
        if run.is_some_and(|run| run.hash != expected) {
            wrong += 1;
        }
        match response.status() {
            200 if response.is_complete => {}
            402 => break,
            status => return Err(format!("a turn was answered {status}").into()),
        }
        let body = String::from_utf8_lossy(&response.body).into_owned();
        for data in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
            text.extend_from_slice(data.as_bytes());
            text.push(b'\n');
            tokens += MECHE.event_tokens;
        }
        previous = Some(call.id);
    }
    let limit = BUDGET + TURN_MAX;
    fleet.record.line(&format!(
        "turns that a worker ran with another body than the chain and the new input: {wrong}; tokens \
         handed to the client: {tokens}, where {limit} are allowed"
    ));
    Ok(wrong == 0 && tokens <= limit)
}
