//! What callers see when processes fail.

use std::time::Duration;

use standins::engine;

use crate::cluster::{Config, START_MAX, eventually};

/// Bound for a leaving process to end once its calls have ended.
const STOP_MAX: Duration = Duration::from_secs(10);

#[test]
fn model_call_survives_the_kill_of_its_sidecar() {
    let slow = engine::Config {
        token_us: 20_000,
        ..engine::Config::default()
    };
    let mut cluster = Config::new().with_engine(slow).start();
    let caller = cluster.caller(0, "meche");
    let program = caller.create("advisor", 50_000, 20);
    let call = {
        let (caller, program) = (caller.clone(), program.clone());
        std::thread::spawn(move || caller.model(&program, 1, "Which wax?", 100))
    };
    let running = |cluster: &crate::cluster::Cluster| {
        cluster
            .engines
            .iter()
            .position(|engine| engine.state().running > 0)
    };
    eventually(START_MAX, "an engine runs the call", || {
        running(&cluster).is_some()
    });
    let engine = running(&cluster).unwrap();
    cluster.kill(&format!("sidecar-engine-{engine}"));
    let answer = call.join().unwrap();
    assert!(answer.is_whole(), "{answer:?}");
    assert_eq!(answer.text, engine::expected("Which wax?", 100));
}

#[test]
fn sidecar_told_to_stop_finishes_its_call_first() {
    let slow = engine::Config {
        token_us: 10_000,
        ..engine::Config::default()
    };
    let mut cluster = Config::new().with_engines(1).with_engine(slow).start();
    let caller = cluster.caller(0, "meche");
    let program = caller.create("advisor", 50_000, 20);
    let call = {
        let (caller, program) = (caller.clone(), program.clone());
        std::thread::spawn(move || caller.model(&program, 1, "Which wax?", 100))
    };
    eventually(START_MAX, "the engine runs the call", || {
        cluster.engines[0].state().running > 0
    });
    cluster.stop("sidecar-engine-0");
    let answer = call.join().unwrap();
    assert!(answer.is_whole(), "{answer:?}");
    assert_eq!(cluster.engines[0].state().executions.len(), 1);
    eventually(STOP_MAX, "the sidecar ends", || {
        cluster.ended("sidecar-engine-0").is_some()
    });
}
