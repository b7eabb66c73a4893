//! Ended programs are removed from memory after their retention. A call that may have run is then
//! refused with `ran: unknown`, never with `ran: no`.

use std::time::Duration;

use crate::cluster::{Config, eventually};

/// Bound for a program to be removed from memory after its retention of one second.
const REMOVAL_MAX: Duration = Duration::from_secs(5);

#[test]
fn order_of_a_removed_program_is_not_reported_as_not_run() {
    let cluster = Config::new()
        .with_engines(0)
        .with_sections("[limits]\nended-retention = 1s\n")
        .start();
    let caller = cluster.caller(0, "meche");
    let program = caller.create("reorder", 100, 5);
    let order = || caller.service(&program, 1, "stock", "reserve 2 pallets");
    assert!(order().is_complete());
    assert_eq!(caller.end(&program).unwrap().0, 200);
    assert!(order().is_complete(), "a repeat within the retention");
    eventually(REMOVAL_MAX, "the program is removed", || {
        caller.history(&program).unwrap().0 == 404
    });
    let repeated = order();
    assert_eq!((repeated.status, repeated.ran()), (404, "unknown"));
    assert_eq!(cluster.services[0].state().inputs.len(), 1);
    assert_eq!(
        cluster.explain(&program).unwrap()["program"],
        program.as_str()
    );
    let never_created = program.rsplit_once('-').unwrap().0.to_owned() + "-99";
    let unknown = caller.service(&never_created, 1, "stock", "reserve 2 pallets");
    assert_eq!((unknown.status, unknown.ran()), (404, "no"));
}

// A recorded answer is sent in pieces, none of which ends within a character.
#[test]
fn long_recorded_answer_is_whole_whatever_its_characters() {
    let cluster = Config::new().with_entries(1).with_engines(1).start();
    let caller = cluster.caller(0, "meche");
    for character in ["a", "é", "€", "🕯"] {
        let program = caller.create("reorder", 1_000, 10);
        let input = format!("x{}", character.repeat(40_000 / character.len()));
        let first = caller.service(&program, 1, "catalogue", &input);
        assert!(first.is_complete(), "{character}: {}", first.last_line);
        assert_eq!(first.text, format!("done: {input}"));
        let again = caller.service(&program, 1, "catalogue", &input);
        assert!(again.is_complete(), "{character}: {}", again.last_line);
        assert_eq!(again.text, first.text);
    }
}
