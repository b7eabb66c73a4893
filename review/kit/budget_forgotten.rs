//! A program that loops spends its budget and is stopped. It returns through another zone and is
//! stopped there, and returns once more. See `claim.txt` of the case.

use std::path::Path;

use crate::Verdict;
use crate::fleet::{Call, Fleet, MECHE, event_count};

const BUDGET: u64 = 1_080;
const TURN_MAX: u64 = 135;
/// Moments at which the program returns, in seconds after the start of its first turn. Each is within
/// `RetainS` (60 s) of the moment when it was stopped before.
const FIRST_RETURN_S: f64 = 50.0;
const SECOND_RETURN_S: f64 = 85.0;

pub fn run(record: &Path, has_trouble: bool) -> Verdict {
    let fleet = Fleet::start(record, &MECHE, &["port-louis", "pamplemousses"], 3, 1)?;
    let began = fleet.record.seconds();
    let (home, other_zone) = (0, 1);
    let mut program = Program::default();
    program.loop_until_stopped(&fleet, home)?;
    fleet.record.wait_until(began + FIRST_RETURN_S);
    let first_return = if has_trouble { other_zone } else { home };
    program.loop_until_stopped(&fleet, first_return)?;
    fleet.record.wait_until(began + SECOND_RETURN_S);
    // The turns of the first line are older than `RetainS`, so the program starts another line.
    program.previous = None;
    program.loop_until_stopped(&fleet, home)?;
    let limit = BUDGET + TURN_MAX;
    fleet.record.line(&format!(
        "tokens handed to the client: {}; Token-Budget + the most of one turn: {limit}",
        program.tokens
    ));
    fleet.record_logs(&["account"], 10);
    Ok(program.tokens <= limit)
}

#[derive(Default)]
struct Program {
    tokens: u64,
    previous: Option<String>,
}

impl Program {
    /// Sends turns until one is answered 402, at most as many as twice the budget pays for. A turn that
    /// is refused with 503 is sent again after the time that the refusal names.
    fn loop_until_stopped(&mut self, fleet: &Fleet, gateway: usize) -> crate::fleet::Result<()> {
        for _ in 0..2 * BUDGET / TURN_MAX {
            let call = Call {
                id: fleet.new_id(),
                path: "/turn/kept/4b".into(),
                program: "3fa81c".into(),
                budget: BUDGET,
                most: TURN_MAX,
                previous: self.previous.clone(),
                body: b"go on\n".to_vec(),
                deadline_ms: 5_000,
                finish_ms: 5_200,
                resend_ms: 250,
            };
            let response = fleet.send(gateway, &call)?;
            self.tokens += event_count(&response.body) * MECHE.event_tokens;
            match response.status() {
                200 if response.is_complete => self.previous = Some(call.id),
                402 => return Ok(()),
                503 => std::thread::sleep(std::time::Duration::from_millis(700)),
                _ => {}
            }
        }
        Ok(())
    }
}
