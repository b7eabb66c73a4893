//! Programs that ended long ago leave memory; what ran is still never denied.

use std::time::Duration;

use crate::cluster::{Config, eventually};

/// Bound for a program to be forgotten once its retention of one second has passed.
const FORGOTTEN_MAX: Duration = Duration::from_secs(5);

#[test]
fn ended_program_is_forgotten_and_its_order_is_not_denied() {
    let cluster = Config::new()
        .with_engines(0)
        .with_document("[limits]\nended-retention = 1s\n")
        .start();
    let caller = cluster.caller(0, "meche");
    let program = caller.create("reorder", 100, 5);
    let order = || caller.service(&program, 1, "stock", "reserve 2 pallets");
    assert!(order().is_whole());
    assert_eq!(caller.end(&program).unwrap().0, 200);
    assert!(order().is_whole(), "a repeat within the retention");
    eventually(FORGOTTEN_MAX, "the program is forgotten", || {
        caller.history(&program).unwrap().0 == 404
    });
    let repeat = order();
    assert_eq!((repeat.status, repeat.ran()), (404, "unknown"));
    assert_eq!(cluster.services[0].state().inputs.len(), 1);
    assert_eq!(
        cluster.explain(&program).unwrap()["program"],
        program.as_str()
    );
    let never = program.rsplit_once('-').unwrap().0.to_owned() + "-99";
    let unknown = caller.service(&never, 1, "stock", "reserve 2 pallets");
    assert_eq!((unknown.status, unknown.ran()), (404, "no"));
}
