//! Answers that callers receive when connections between processes fail.

use std::time::Duration;

use standins::engine::{self, expected};
use standins::link::Direction;

use crate::cases;
use crate::cluster::{Cluster, Config, START_TIMEOUT, eventually};

/// Bound for a silent connection to be detected and a second one to be opened.
const DETECTION_MAX: Duration = Duration::from_secs(2);

const ANSWER_TOKENS: u64 = 160;
/// Time that the service takes for an order.
const ORDER_MS: u64 = 1_500;

/// Silences the connections to `host` during a model call that `entry` received for a program owned
/// by the first entry.
fn silence_mid_stream((host, entry, direction): (&str, u16, Direction)) {
    let slow_engine = engine::Config {
        token_us: 20_000,
        ..engine::Config::default()
    };
    let config = Config::new().with_engines(1).with_engine(slow_engine);
    let cluster = config.with_links().start();
    let program = cluster.caller(0, "meche").create("advisor", 50_000, 20);
    let caller = cluster.caller(entry, "meche");
    let call = std::thread::spawn(move || caller.model(&program, 1, "Which wax?", ANSWER_TOKENS));
    let generated_tokens = || cluster.engines[0].state().used_tokens.values().sum::<u64>();
    eventually(START_TIMEOUT, "the answer grows", || {
        generated_tokens() > 20
    });
    let link = &cluster.links[host];
    let accepted = link.accepted();
    link.silence(direction);
    eventually(DETECTION_MAX, "a second connection is open", || {
        link.accepted() > accepted
    });
    let answer = call.join().unwrap();
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(answer.text, expected("Which wax?", ANSWER_TOKENS));
    let executions = cluster.engines[0].state().executions.clone();
    assert_eq!(executions.values().sum::<u32>(), 1, "{executions:?}");
}

cases! {
    silence_mid_stream;
    sidecar_silent_both_ways: ("sidecar-engine-0", 0, Direction::Both),
    sidecar_silent_to_the_entry: ("sidecar-engine-0", 0, Direction::ToClient),
    sidecar_silent_from_the_entry: ("sidecar-engine-0", 0, Direction::ToServer),
    owner_silent_both_ways: ("entry-0", 1, Direction::Both),
    owner_silent_to_the_other_entry: ("entry-0", 1, Direction::ToClient),
}

#[test]
fn calls_pass_through_slow_links() {
    let cluster = Config::new().with_links().start();
    for link in cluster.links.values() {
        link.delay(Duration::from_millis(12));
    }
    let caller = cluster.caller(0, "meche");
    let program = caller.create("advisor", 5_000, 20);
    let answer = caller.model(&program, 1, "Which wax?", 8);
    assert_eq!(answer.text, expected("Which wax?", 8));
}

/// Injects a fault while an order runs. The order must be answered and must run once.
fn fail_during_order(inject_fault: fn(&Cluster)) {
    let cluster = Config::new().with_links().start();
    cluster.services[0].state().delay_ms = ORDER_MS;
    let caller = cluster.caller(0, "meche");
    let program = caller.create("reorder", 5_000, 20);
    let call = {
        let (caller, program) = (caller.clone(), program.clone());
        std::thread::spawn(move || caller.service(&program, 1, "stock", "reserve 2 pallets"))
    };
    let executions = || cluster.services[0].state().inputs.len();
    eventually(START_TIMEOUT, "the order runs", || executions() == 1);
    inject_fault(&cluster);
    let answer = call.join().unwrap();
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(answer.text, "done: reserve 2 pallets");
    assert_eq!(executions(), 1);
}

fn silence_link(cluster: &Cluster) {
    cluster.links["sidecar-service-0"].silence(Direction::Both);
}

fn cut_link(cluster: &Cluster) {
    cluster.links["sidecar-service-0"].cut();
}

/// Pauses the sidecar until the entry has replaced its connection.
fn pause_sidecar(cluster: &Cluster) {
    let link = &cluster.links["sidecar-service-0"];
    let accepted = link.accepted();
    cluster.pause("sidecar-service-0");
    eventually(DETECTION_MAX, "another connection is opened", || {
        link.accepted() > accepted
    });
    cluster.resume("sidecar-service-0");
}

cases! {
    fail_during_order;
    order_completes_after_its_connection_goes_silent: silence_link,
    order_completes_after_its_connection_is_cut: cut_link,
    order_completes_after_its_sidecar_is_paused: pause_sidecar,
}

#[test]
fn an_order_waits_for_a_connection_that_was_just_lost() {
    let cluster = Config::new().with_links().start();
    let caller = cluster.caller(0, "meche");
    let program = caller.create("reorder", 5_000, 20);
    let link = &cluster.links["sidecar-service-0"];
    link.refuse(true);
    link.cut();
    eventually(START_TIMEOUT, "the entry has lost its connection", || {
        let endpoints = cluster.status(0)["endpoints"]
            .as_array()
            .map_or(0, Vec::len);
        endpoints == 2
    });
    let call =
        std::thread::spawn(move || caller.service(&program, 1, "stock", "reserve 2 pallets"));
    // Long enough for the order to find no endpoint, and far below its longest wait.
    std::thread::sleep(Duration::from_millis(100));
    link.refuse(false);
    let answer = call.join().unwrap();
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(cluster.services[0].state().inputs.len(), 1);
}
