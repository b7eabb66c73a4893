//! The store of the platform is down or loses responses.

use crate::cluster::{Cluster, Config, START_TIMEOUT, eventually};

const ORDER: &str = "reserve 2 pallets";

fn ready_status(cluster: &Cluster, entry: u16) -> u16 {
    cluster
        .operator_request(entry, "GET", "/ready", None)
        .map_or(0, |(status, _)| status)
}

#[test]
fn entry_started_during_a_store_outage_is_unready_until_the_store_is_available() {
    let mut cluster = Config::new().start();
    assert_eq!(ready_status(&cluster, 1), 200);
    cluster.kill("entry-1");
    cluster.platform.state().knobs.down = true;
    cluster.restart("entry-1");
    eventually(START_TIMEOUT, "the entry is alive", || {
        cluster.operator_request(1, "GET", "/live", None).is_some()
    });
    assert_eq!(ready_status(&cluster, 1), 503);
    let caller = cluster.caller(1, "meche");
    let body = r#"{"class": "advisor", "tokens": 1000, "calls": 2}"#;
    let (status, refusal) = caller.request("POST", "/v1/programs", Some(body)).unwrap();
    assert_eq!((status, refusal["ran"].as_str()), (503, Some("no")));
    cluster.platform.state().knobs.down = false;
    eventually(START_TIMEOUT, "the entry is ready", || {
        ready_status(&cluster, 1) == 200
    });
    caller.create("advisor", 1_000, 2);
}

#[test]
fn lost_commit_responses_neither_lose_nor_repeat_calls() {
    let cluster = Config::new().start();
    let caller = cluster.caller(0, "meche");
    let program = caller.create("reorder", 20_000, 20);
    for seq in 1..=4 {
        cluster.platform.state().knobs.lose_answers = 1;
        let answer = caller.service(&program, seq, "stock", ORDER);
        assert!(answer.is_complete(), "{answer:?}");
    }
    let inputs = cluster.services[0].state().inputs.clone();
    assert_eq!(inputs, [ORDER; 4]);
    let history = cluster.caller(1, "meche").history(&program).unwrap().1;
    assert_eq!(history["calls"].as_array().unwrap().len(), 4);
}

#[test]
fn order_in_a_store_outage_waits_and_runs_once() {
    let cluster = Config::new().start();
    let caller = cluster.caller(0, "meche");
    let program = caller.create("reorder", 20_000, 20);
    cluster.platform.state().knobs.down = true;
    let order = {
        let (caller, program) = (caller.clone(), program.clone());
        std::thread::spawn(move || caller.service(&program, 1, "stock", ORDER))
    };
    // The list of programs is the only sign that the entry has received the order.
    eventually(START_TIMEOUT, "the order is running", || {
        let programs = cluster
            .operator_request(0, "GET", "/v1/programs", None)
            .unwrap()
            .1;
        programs["programs"][0]["running"] == true
    });
    assert!(cluster.services[0].state().inputs.is_empty());
    cluster.platform.state().knobs.down = false;
    assert!(order.join().unwrap().is_complete());
    assert_eq!(cluster.services[0].state().inputs, [ORDER]);
}
