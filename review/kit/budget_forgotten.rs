//! Two programs whose turns come in through two zones. One loops, spends its budget, is stopped, and
//! returns twice; the other goes on for longer than a minute. See `claim.txt` of the case.

use std::path::Path;

use crate::Verdict;
use crate::fleet::{Call, Fleet, MECHE, Turn};

const BUDGET: u64 = 1_080;
const TURN_MAX: u64 = 135;
/// Most tokens that all turns of a program may hand out.
const TOKENS_MAX: u64 = BUDGET + TURN_MAX;
const HOME: [usize; 1] = [0];
const OTHER_ZONE: [usize; 1] = [1];

/// Moments at which the program that loops returns, in seconds after the start. Each is within `RetainS`
/// (60 s) of the moment when it was stopped before.
const FIRST_RETURN_S: f64 = 50.0;
const SECOND_RETURN_S: f64 = 85.0;

/// Turns of the other program at home, moments of its turns in the other zone, and when it is back.
const HOME_TURNS: usize = 4;
const AWAY_S: [f64; 4] = [4.0, 26.0, 48.0, 70.0];
const BACK_S: f64 = 85.0;

pub fn run(record: &Path, has_trouble: bool) -> Verdict {
    let fleet = Fleet::start(record, &MECHE, &["port-louis", "pamplemousses"], 3, 1)?;
    let began = fleet.record.seconds();
    let away: &[usize] = if has_trouble { &OTHER_ZONE } else { &HOME };
    let (stopped, moving) = std::thread::scope(|scope| {
        let stopped = scope.spawn(|| play_stopped(&fleet, began, away));
        let moving = scope.spawn(|| play_moving(&fleet, began, away));
        (
            stopped.join().unwrap_or_default(),
            moving.join().unwrap_or_default(),
        )
    });
    fleet.record.line(&format!(
        "tokens handed to the client, where {TOKENS_MAX} are allowed: {stopped} to the program that was \
         stopped and returned, {moving} to the program that moved"
    ));
    fleet.record_logs(&["account"], 10);
    if stopped == 0 || moving == 0 {
        return Err("a program got no tokens".into());
    }
    Ok(stopped <= TOKENS_MAX && moving <= TOKENS_MAX)
}

/// Plays the program that loops; returns the tokens handed out.
fn play_stopped(fleet: &Fleet, began: f64, away: &[usize]) -> u64 {
    let mut program = Program::new("3fa81c");
    program.loop_until_stopped(fleet, &HOME);
    fleet.record.wait_until(began + FIRST_RETURN_S);
    program.loop_until_stopped(fleet, away);
    fleet.record.wait_until(began + SECOND_RETURN_S);
    // The turns of the first line are older than `RetainS`, so the program starts another line.
    program.previous = None;
    program.loop_until_stopped(fleet, &HOME);
    program.tokens
}

/// Plays the program that moves to the other zone and back; returns the tokens handed out.
fn play_moving(fleet: &Fleet, began: f64, away: &[usize]) -> u64 {
    let mut program = Program::new("77d20b");
    for _ in 0..HOME_TURNS {
        program.send(fleet, &HOME, "go on");
    }
    for moment in AWAY_S {
        fleet.record.wait_until(began + moment);
        program.send(fleet, away, "events=1");
    }
    fleet.record.wait_until(began + BACK_S);
    program.loop_until_stopped(fleet, &HOME);
    program.tokens
}

struct Program {
    id: &'static str,
    tokens: u64,
    previous: Option<String>,
}

impl Program {
    fn new(id: &'static str) -> Self {
        Program {
            id,
            tokens: 0,
            previous: None,
        }
    }

    /// Sends turns until one is not answered, at most as many as twice the budget pays for.
    fn loop_until_stopped(&mut self, fleet: &Fleet, gateways: &[usize]) {
        for _ in 0..2 * BUDGET / TURN_MAX {
            if self.send(fleet, gateways, "go on").answered.is_none() {
                return;
            }
        }
    }

    fn send(&mut self, fleet: &Fleet, gateways: &[usize], input: &str) -> Turn {
        let call = Call {
            path: "/turn/kept/4b".into(),
            program: self.id.into(),
            budget: BUDGET,
            most: TURN_MAX,
            previous: self.previous.clone(),
            body: format!("{input}\n").into(),
            deadline_ms: 5_000,
            finish_ms: 5_200,
            resend_ms: 250,
            ..Call::default()
        };
        let turn = fleet.send_turn(gateways, &call);
        self.tokens += turn.tokens;
        if let Some(answered) = &turn.answered {
            self.previous = Some(answered.clone());
        }
        turn
    }
}
