//! Processes that leave while callers keep them busy.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use standins::engine::expected;

use crate::caller::Caller;
use crate::cluster::{Config, START_MAX, eventually};

/// Bound for a leaving sidecar to get no new work.
const LEAVE_MAX: Duration = Duration::from_secs(3);

/// Bound for a sidecar that is told to stop to end, with calls of at most a second.
const STOP_MAX: Duration = Duration::from_secs(10);

const CALLERS: u64 = 12;

/// Runs programs of model calls and orders until told to stop; all must be whole.
fn work(caller: &Caller, number: u64, stop: &AtomicBool) -> u64 {
    let program = caller.create("advisor", 2_000_000, 10_000);
    let mut prompt = String::new();
    let mut seq = 0;
    while !stop.load(Ordering::Relaxed) {
        seq += 1;
        let input = format!("question {number}.{seq} ");
        let answer = if seq % 2 == 0 {
            let answer = caller.service(&program, seq, "stock", &input);
            assert_eq!(answer.text, format!("done: {input}"), "{answer:?}");
            answer
        } else {
            let answer = caller.model(&program, seq, &input, 8);
            let expected = expected(&format!("{prompt}{input}"), 8);
            assert_eq!(answer.text, expected, "{answer:?}");
            answer
        };
        assert!(answer.is_whole(), "{answer:?}");
        prompt.push_str(&input);
        prompt.push_str(&answer.text);
    }
    seq
}

#[test]
fn sidecars_leave_under_load_without_cutting_off_a_request() {
    let mut cluster = Config::new().with_services(2).start();
    let callers: Vec<Caller> = (0..CALLERS)
        .map(|number| cluster.caller((number % 2) as u16, "meche"))
        .collect();
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let stop = &stop;
        let workers: Vec<_> = callers
            .iter()
            .zip(0..)
            .map(|(caller, number)| scope.spawn(move || work(caller, number, stop)))
            .collect();
        let executed = |cluster: &crate::cluster::Cluster| {
            let engine = cluster.engines[0].state().executions.len();
            let service = cluster.services[0].state().executions.len();
            (engine, service)
        };
        eventually(START_MAX, "both sidecars work", || {
            let (engine, service) = executed(&cluster);
            engine > 20 && service > 20
        });
        for name in ["sidecar-engine-0", "sidecar-service-0"] {
            cluster.stop(name);
        }
        let stopped = Instant::now();
        eventually(STOP_MAX, "both sidecars end", || {
            let engine = cluster.ended("sidecar-engine-0");
            let service = cluster.ended("sidecar-service-0");
            engine.is_some_and(|status| status.success())
                && service.is_some_and(|status| status.success())
        });
        println!("both ended after {:?}", stopped.elapsed());
        let (engine, service) = executed(&cluster);
        let elsewhere =
            |cluster: &crate::cluster::Cluster| cluster.engines[1].state().executions.len();
        let before = elsewhere(&cluster);
        eventually(LEAVE_MAX, "the others go on", || {
            elsewhere(&cluster) > before + 20
        });
        assert_eq!(executed(&cluster), (engine, service));
        stop.store(true, Ordering::Relaxed);
        let calls: u64 = workers
            .into_iter()
            .map(|worker| worker.join().unwrap())
            .sum();
        println!("{calls} calls, none cut off");
    });
    for service in &cluster.services {
        let executions = service.state().executions.clone();
        assert!(executions.values().all(|count| *count == 1));
    }
}
