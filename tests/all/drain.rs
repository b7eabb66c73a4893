//! Entries stop on a signal without failing requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::caller::{Answer, Caller};
use crate::cluster::{Config, START_TIMEOUT, eventually};

/// Bound for a stopping entry to exit once its calls have ended.
const STOP_MAX: Duration = Duration::from_secs(10);

const CALLERS: u64 = 4;

/// Runs programs through one entry until `stop` is set, as a load balancer does that has not
/// removed the stopping entry yet.
fn run_programs(caller: &Caller, stop: &AtomicBool) -> Vec<Answer> {
    let mut answers = Vec::new();
    loop {
        let program = caller.create("reorder", 20_000, 20);
        for seq in 1..=4 {
            if stop.load(Ordering::Relaxed) {
                return answers;
            }
            answers.push(if seq % 2 == 1 {
                caller.model(&program, seq, "Which braid?", 20)
            } else {
                caller.service(&program, seq, "stock", "reserve 2 pallets")
            });
        }
    }
}

#[test]
fn stopping_entry_completes_all_requests() {
    let mut cluster = Config::new().start();
    // The other entry owns a program too, so that requests are forwarded in both directions.
    let other_caller = cluster.caller(1, "meche");
    let program_elsewhere = other_caller.create("reorder", 20_000, 20);
    assert!(
        other_caller
            .model(&program_elsewhere, 1, "Which braid?", 8)
            .is_complete()
    );
    let program = cluster.caller(0, "meche").create("reorder", 20_000, 20);
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let (caller, stop) = (cluster.caller(0, "meche"), stop.clone());
            std::thread::spawn(move || run_programs(&caller, &stop))
        })
        .collect();
    eventually(START_TIMEOUT, "calls are under way", || {
        cluster.services[0].state().inputs.len() >= 2 * CALLERS as usize
    });
    cluster.stop("entry-0");
    eventually(STOP_MAX, "the log is handed over", || {
        cluster.log("entry-0").contains("log handed over")
    });
    stop.store(true, Ordering::Relaxed);
    let mut answered_orders = 0;
    for caller in callers {
        for answer in caller.join().unwrap() {
            assert!(answer.is_complete(), "{answer:?}");
            answered_orders += usize::from(answer.text.starts_with("done: "));
        }
    }
    eventually(STOP_MAX, "the entry exits", || {
        cluster
            .exit_status("entry-0")
            .is_some_and(|status| status.success())
    });
    assert_eq!(cluster.services[0].state().inputs.len(), answered_orders);
    assert!(
        other_caller
            .model(&program, 1, "And braid?", 8)
            .is_complete()
    );
    assert!(
        other_caller
            .model(&program_elsewhere, 2, "And braid?", 8)
            .is_complete()
    );
}

#[test]
fn long_answer_is_finished_before_the_entry_ends() {
    let mut cluster = Config::new().with_token_us(20_000).start();
    let caller = cluster.caller(0, "meche");
    let program = caller.create("advisor", 50_000, 20);
    let call = caller.model_in_background(&program, 1, "Which wax?", 200);
    cluster.eventually_runs();
    cluster.stop("entry-0");
    let answer = call.join().unwrap();
    assert!(answer.is_complete(), "{answer:?}");
    eventually(STOP_MAX, "the entry exits", || {
        cluster.exit_status("entry-0").is_some()
    });
    let there = cluster.caller(1, "meche");
    let again = there.model(&program, 1, "Which wax?", 200);
    assert_eq!(again.text, answer.text);
}
