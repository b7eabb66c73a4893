//! Answers and refusals that callers receive when processes fail or stop.

use std::time::{Duration, Instant};

use standins::engine;

use crate::cluster::{Config, eventually};

/// Bound for a stopping process to exit once its calls have ended.
const STOP_MAX: Duration = Duration::from_secs(10);

#[test]
fn model_call_survives_the_kill_of_its_sidecar() {
    let mut cluster = Config::new().with_token_us(20_000).start();
    let caller = cluster.caller(0, "meche");
    let program = caller.create("advisor", 50_000, 20);
    let call = caller.model_in_background(&program, 1, "Which wax?", 100);
    let engine = cluster.eventually_runs();
    cluster.kill(&format!("sidecar-engine-{engine}"));
    let answer = call.join().unwrap();
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(answer.text, engine::expected("Which wax?", 100));
}

#[test]
fn stopping_sidecar_finishes_its_call_first() {
    let mut cluster = Config::new().with_engines(1).with_token_us(10_000).start();
    let caller = cluster.caller(0, "meche");
    let program = caller.create("advisor", 50_000, 20);
    let call = caller.model_in_background(&program, 1, "Which wax?", 100);
    cluster.eventually_runs();
    cluster.stop("sidecar-engine-0");
    let answer = call.join().unwrap();
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(cluster.engines[0].state().executions.len(), 1);
    eventually(STOP_MAX, "the sidecar exits", || {
        cluster.exit_status("sidecar-engine-0").is_some()
    });
}

/// Bound for engine memory to be freed after the end of a program.
const RELEASE_MAX: Duration = Duration::from_secs(5);

#[test]
fn idle_program_is_ended_and_holds_no_engine_memory() {
    let cluster = Config::new()
        .with_sections("[limits]\nidle-timeout = 1s\n")
        .start();
    let caller = cluster.caller(0, "meche");
    let program = caller.create("advisor", 5_000, 20);
    assert!(caller.model(&program, 1, "Which wax?", 8).is_complete());
    let cause = || {
        cluster
            .explain(&program)
            .map(|explanation| explanation["ended"]["cause"].clone())
    };
    eventually(RELEASE_MAX, "the program ends", || {
        cause().is_some_and(|cause| cause == "idle")
    });
    let held_programs = || {
        cluster
            .engines
            .iter()
            .map(|engine| engine.state().cache.len())
            .sum::<usize>()
    };
    eventually(RELEASE_MAX, "engine memory is freed", || {
        held_programs() == 0
    });
}

#[test]
fn one_entry_serves_while_another_is_frozen_or_restarted() {
    let mut cluster = Config::new().start();
    let caller = cluster.caller(0, "meche");
    let program = caller.create("advisor", 5_000, 20);
    cluster.pause("entry-1");
    assert!(caller.model(&program, 1, "Which wax?", 8).is_complete());
    cluster.resume("entry-1");
    cluster.kill("entry-1");
    assert!(
        caller
            .model(&program, 2, "And which braid?", 8)
            .is_complete()
    );
    cluster.restart("entry-1");
    cluster.eventually_sees(1, 3);
    let elsewhere = cluster.caller(1, "meche");
    assert_eq!(
        elsewhere.history(&program).map(|(status, _)| status),
        Some(200)
    );
    for name in ["entry-0", "entry-1", "sidecar-engine-0"] {
        let log = cluster.log(name);
        assert!(log.contains("ready"));
        assert!(!log.contains("meche-token") && !log.contains("operator-token"));
    }
}

/// Bound for engine memory to be freed with the owner killed: takeover (3 s), idle timeout (1 s)
/// and release (5 s).
const ORPHAN_RELEASE_MAX: Duration = Duration::from_secs(9);

#[test]
fn engine_memory_is_freed_though_sidecar_and_owner_were_killed() {
    let mut cluster = Config::new()
        .with_engines(1)
        .with_sections("[limits]\nidle-timeout = 1s\n")
        .start();
    let caller = cluster.caller(0, "meche");
    let held_programs = |cluster: &crate::cluster::Cluster| cluster.engines[0].state().cache.len();
    // The sidecar is down when the program ends and does not receive the release.
    let program = caller.create("advisor", 5_000, 20);
    assert!(caller.model(&program, 1, "Which wax?", 8).is_complete());
    assert_eq!(held_programs(&cluster), 1);
    cluster.kill("sidecar-engine-0");
    assert_eq!(caller.end(&program).map(|(status, _)| status), Some(200));
    cluster.restart("sidecar-engine-0");
    let restarted = Instant::now();
    let description = "memory is freed after the kill of the sidecar";
    eventually(RELEASE_MAX, description, || held_programs(&cluster) == 0);
    println!("freed {:?} after the restart", restarted.elapsed());
    // The owner and the sidecar are killed together, and the caller sends nothing more.
    cluster.eventually_sees(0, 2);
    let program = caller.create("advisor", 5_000, 20);
    assert!(caller.model(&program, 1, "Which wax?", 8).is_complete());
    assert_eq!(held_programs(&cluster), 1);
    cluster.kill("entry-0");
    cluster.kill("sidecar-engine-0");
    cluster.restart("sidecar-engine-0");
    let restarted = Instant::now();
    let description = "memory is freed after both were killed";
    eventually(ORPHAN_RELEASE_MAX, description, || {
        held_programs(&cluster) == 0
    });
    println!("freed {:?} after the restart", restarted.elapsed());
}
