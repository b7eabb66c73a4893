//! Sidecars stop under load without failing requests.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use standins::engine::expected;

use crate::caller::Caller;
use crate::cluster::{Config, START_TIMEOUT, eventually};

/// Bound for the remaining sidecars to take over the work of the stopped ones.
const REROUTING_MAX: Duration = Duration::from_secs(3);

/// Bound for a stopping sidecar to exit; its calls take at most a second.
const STOP_MAX: Duration = Duration::from_secs(10);

const CALLERS: u64 = 12;

/// Runs a program of model calls and orders until `stop` is set, checks that every answer is
/// complete, and returns the number of calls.
fn run_program(caller: &Caller, number: u64, stop: &AtomicBool) -> u64 {
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
        assert!(answer.is_complete(), "{answer:?}");
        prompt.push_str(&input);
        prompt.push_str(&answer.text);
    }
    seq
}

#[test]
fn sidecars_stop_under_load_without_failing_a_request() {
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
            .map(|(caller, number)| scope.spawn(move || run_program(caller, number, stop)))
            .collect();
        let executed = |cluster: &crate::cluster::Cluster| {
            let engine = cluster.engines[0].state().executions.len();
            let service = cluster.services[0].state().executions.len();
            (engine, service)
        };
        eventually(START_TIMEOUT, "both sidecars work", || {
            let (engine, service) = executed(&cluster);
            engine > 20 && service > 20
        });
        for name in ["sidecar-engine-0", "sidecar-service-0"] {
            cluster.stop(name);
        }
        let stopped = Instant::now();
        eventually(STOP_MAX, "both sidecars exit", || {
            let engine = cluster.exit_status("sidecar-engine-0");
            let service = cluster.exit_status("sidecar-service-0");
            engine.is_some_and(|status| status.success())
                && service.is_some_and(|status| status.success())
        });
        println!("both exited after {:?}", stopped.elapsed());
        let (engine, service) = executed(&cluster);
        let executed_elsewhere =
            |cluster: &crate::cluster::Cluster| cluster.engines[1].state().executions.len();
        let before = executed_elsewhere(&cluster);
        eventually(REROUTING_MAX, "the others serve calls", || {
            executed_elsewhere(&cluster) > before + 20
        });
        assert_eq!(executed(&cluster), (engine, service));
        stop.store(true, Ordering::Relaxed);
        let calls: u64 = workers
            .into_iter()
            .map(|worker| worker.join().unwrap())
            .sum();
        println!("{calls} calls, all complete");
    });
    for service in &cluster.services {
        let executions = service.state().executions.clone();
        assert!(executions.values().all(|count| *count == 1));
    }
}
