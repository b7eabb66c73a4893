//! Entries that are told to stop.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::caller::{Answer, Caller};
use crate::cluster::{Config, START_MAX, eventually};

/// Bound for a leaving entry to end once its calls have ended.
const STOP_MAX: Duration = Duration::from_secs(10);

const CALLERS: u64 = 4;

/// Runs programs through one entry until told to stop, as a balancer that has not noticed yet would.
fn make_programs(caller: &Caller, stop: &AtomicBool) -> Vec<Answer> {
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
fn entry_told_to_stop_cuts_off_no_request() {
    let mut cluster = Config::new().start();
    // The other entry holds programs too, so that requests are passed on in both directions.
    let elsewhere = cluster.caller(1, "meche");
    let other = elsewhere.create("reorder", 20_000, 20);
    assert!(elsewhere.model(&other, 1, "Which braid?", 8).is_whole());
    let kept = cluster.caller(0, "meche").create("reorder", 20_000, 20);
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let (caller, stop) = (cluster.caller(0, "meche"), stop.clone());
            std::thread::spawn(move || make_programs(&caller, &stop))
        })
        .collect();
    eventually(START_MAX, "calls are under way", || {
        cluster.services[0].state().inputs.len() >= 2 * CALLERS as usize
    });
    cluster.stop("entry-0");
    eventually(STOP_MAX, "the log is handed over", || {
        cluster.log("entry-0").contains("log handed over")
    });
    stop.store(true, Ordering::Relaxed);
    let mut orders = 0;
    for caller in callers {
        for answer in caller.join().unwrap() {
            assert!(answer.is_whole(), "{answer:?}");
            orders += usize::from(answer.text.starts_with("done: "));
        }
    }
    eventually(STOP_MAX, "the entry ends", || {
        cluster
            .ended("entry-0")
            .is_some_and(|status| status.success())
    });
    assert_eq!(cluster.services[0].state().inputs.len(), orders);
    assert!(elsewhere.model(&kept, 1, "And braid?", 8).is_whole());
    assert!(elsewhere.model(&other, 2, "And braid?", 8).is_whole());
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
    assert!(answer.is_whole(), "{answer:?}");
    eventually(STOP_MAX, "the entry ends", || {
        cluster.ended("entry-0").is_some()
    });
    let there = cluster.caller(1, "meche");
    let again = there.model(&program, 1, "Which wax?", 200);
    assert_eq!(again.text, answer.text);
}
