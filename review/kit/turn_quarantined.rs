//! Three workers crash while each runs a turn with the same short input. Afterwards, turns of other
//! programs with that input are refused. See `claim.txt` of the case.

use std::path::Path;
use std::time::Duration;

use crate::Verdict;
use crate::fleet::{Call, Fleet, PINDAN, Turn};

const WORKERS: usize = 18;
/// Workers that crash: what `srv_crash` with `share = 0.14` takes of 18.
const CRASHED: usize = 3;
/// Time for which they are down.
const DOWN_S: f64 = 4.5;
/// A worker's entry is removed after three pings without a sign of it.
const ENTRY_LAPSE_S: f64 = 3.6;
/// `ContactMs`, counted from the end of the disruption, and a second more.
const CALM_S: f64 = 5.0;
/// Input of a turn that goes on after a tool: what each climber's program says.
const INPUT: &[u8] = b"The record was stored. Go on.\n";
const PROGRAMS: usize = 12;
/// A turn that reached no worker in so many tries breaks the rule.
const TRIES_MAX: usize = 5;
/// Time until a turn that has failed is sent again: within the 100 to 400 ms that clients wait.
const RESEND_MS: u64 = 390;
/// Time in which each program is to be finished.
const FINISH_MS: u64 = 12_000;

pub fn run(record: &Path, has_trouble: bool) -> Verdict {
    let zones = ["carnarvon", "gascoyne", "perth-hills"];
    let mut fleet = Fleet::start(record, &PINDAN, &zones, WORKERS, 1)?;
    let early = first_turns(&fleet, "early");
    let chosen = on_different_workers(&fleet, &early);
    if chosen.len() < CRASHED {
        return Err("the first turns ran on too few workers".into());
    }
    let crashed_at = if has_trouble {
        let (crashed, crashed_at) = crash_during(&fleet, &chosen)?;
        fleet.record.wait_until(crashed_at + ENTRY_LAPSE_S);
        for id in crashed {
            fleet.platform.remove("servers", &id);
        }
        crashed_at
    } else {
        std::thread::scope(|scope| {
            for previous in &chosen {
                scope.spawn(|| fleet.send_turn(&[0], &later_turn(previous, "early", FINISH_MS)));
            }
        });
        fleet.record.seconds()
    };
    fleet.record.wait_until(crashed_at + DOWN_S);
    if has_trouble {
        for index in 0..CRASHED {
            fleet.add_worker(
                PINDAN.engine_service,
                PINDAN.zones[index].0,
                PINDAN.engine_gap_ms,
            )?;
        }
    }
    fleet.record.wait_until(crashed_at + DOWN_S + CALM_S);
    fleet
        .record
        .line("calm: programs begin, whose later turns are judged");
    let late = first_turns(&fleet, "late");
    let reached = late.iter().filter(|turn| turn.answered.is_some()).count();
    let turns = later_turns(&fleet, &late);
    let lost = turns.iter().filter(|turn| is_lost(&fleet, turn)).count();
    fleet.record.line(&format!(
        "first turns that reached a worker: {reached} of {PROGRAMS}; later turns that reached none in \
         {TRIES_MAX} tries or more: {lost} of {}",
        turns.len()
    ));
    fleet.record_logs(
        &["endpoint investigated", "request suspected", "quarantined"],
        8,
    );
    Ok(reached * 10 < PROGRAMS * 9 || lost == 0)
}

fn is_lost(fleet: &Fleet, turn: &Turn) -> bool {
    turn.tries.len() >= TRIES_MAX && turn.tries.iter().all(|(id, _)| fleet.run_count(id) == 0)
}

/// Begins programs, each with a question of its own.
fn first_turns(fleet: &Fleet, group: &str) -> Vec<Turn> {
    let turn = |index: usize| {
        let call = Call {
            path: "/turn/kept/4b".into(),
            program: format!("{group}{index}"),
            budget: 1_080,
            most: 136,
            body: format!(
                "events=8 Grower {group} {index} asks about palm {}.\n",
                index * 17
            )
            .into(),
            deadline_ms: 4_000,
            finish_ms: FINISH_MS,
            resend_ms: RESEND_MS,
            ..Call::default()
        };
        fleet.send_turn(&nodes(index), &call)
    };
    in_parallel(turn)
}

/// Sends the second turn of each program.
fn later_turns(fleet: &Fleet, first: &[Turn]) -> Vec<Turn> {
    in_parallel(|index| match &first[index].answered {
        Some(previous) => {
            let call = later_turn(previous, &format!("late{index}"), FINISH_MS - 2_000);
            fleet.send_turn(&nodes(index), &call)
        }
        None => Turn::default(),
    })
}

fn later_turn(previous: &str, program: &str, finish_ms: u64) -> Call {
    Call {
        path: "/turn/kept/4b".into(),
        program: program.into(),
        budget: 1_080,
        most: 136,
        previous: Some(previous.into()),
        body: INPUT.into(),
        deadline_ms: 4_000,
        finish_ms,
        resend_ms: RESEND_MS,
        ..Call::default()
    }
}

fn in_parallel(turn: impl Fn(usize) -> Turn + Sync) -> Vec<Turn> {
    let turn = &turn;
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..PROGRAMS)
            .map(|index| {
                std::thread::sleep(Duration::from_millis(40));
                scope.spawn(move || turn(index))
            })
            .collect();
        let results = threads
            .into_iter()
            .map(|thread| thread.join().unwrap_or_default());
        results.collect()
    })
}

/// Returns turns that ran on different workers, at most [`CRASHED`].
fn on_different_workers(fleet: &Fleet, turns: &[Turn]) -> Vec<String> {
    let mut workers = Vec::new();
    let mut chosen = Vec::new();
    for id in turns.iter().filter_map(|turn| turn.answered.clone()) {
        let worker = fleet.worker_of(&id);
        if chosen.len() < CRASHED && !workers.contains(&worker) {
            workers.push(worker);
            chosen.push(id);
        }
    }
    chosen
}

/// Goes on with the chosen turns, and kills the workers that run the next ones. Returns these workers
/// and the moment.
fn crash_during(fleet: &Fleet, chosen: &[String]) -> crate::fleet::Result<(Vec<String>, f64)> {
    let runs_before = fleet.all_runs().len();
    std::thread::scope(|scope| {
        for (index, previous) in chosen.iter().enumerate() {
            let call = later_turn(previous, &format!("early-next{index}"), FINISH_MS);
            scope.spawn(move || fleet.send_turn(&nodes(index), &call));
        }
        let mut workers: Vec<String> = Vec::new();
        for _ in 0..100 {
            let runs = fleet.all_runs();
            workers = runs[runs_before..]
                .iter()
                .map(|run| run.worker.clone())
                .collect();
            if workers.len() >= CRASHED {
                break;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        workers.sort();
        workers.dedup();
        if workers.len() < CRASHED {
            return Err("the turns ran on too few workers".into());
        }
        std::thread::sleep(Duration::from_millis(100));
        for worker in &workers {
            fleet.kill_worker(worker)?;
        }
        Ok((workers, fleet.record.seconds()))
    })
}

/// Gateways that a client reaches: the one that its hash selects, then others.
fn nodes(client: usize) -> [usize; 3] {
    [client % 3, (client + 1) % 3, (client + 2) % 3]
}
