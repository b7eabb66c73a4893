//! The store is unavailable, for all hosts or for one.

use std::time::Duration;

use serde_json::Value;

use crate::cluster::{START_TIMEOUT, eventually};
use crate::gateway::cluster::{Cluster, KEPT_TURN, PLAIN_TURN, SAFE, document, turn};
use crate::gateway::http::Request;

/// Bound for a host to detect that the store is unavailable or available again: several response
/// timeouts.
const DETECTION_MAX: Duration = Duration::from_secs(10);

/// Returns the log line of a refused request after waiting for the logging thread to write it.
fn wait_for_refusal(cluster: &Cluster, id: &str) -> Value {
    let mut found = None;
    eventually(DETECTION_MAX, "the refusal is logged", || {
        let log = cluster.log(0);
        let lines = log
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok());
        let mut refused = lines.filter(|line: &Value| line["msg"] == "request refused");
        found = refused.find(|line| line["request"] == id);
        found.is_some()
    });
    found.unwrap()
}

#[test]
fn host_cut_off_from_the_store_reaches_it_through_its_peer() {
    let cluster = Cluster::start(2, 1);
    assert_eq!(
        turn(KEPT_TURN, "t0", "p", 900)
            .send(cluster.caller_address(1))
            .status,
        200
    );
    eventually(START_TIMEOUT, "the peer is known", || {
        cluster.log(0).matches("peer listed").count() >= 2
    });
    cluster.set_cut_off(0, true);
    let mut number = 0;
    eventually(DETECTION_MAX, "a new program runs at the host", || {
        number += 1;
        let program = format!("q{number}");
        let id = format!("n{number}");
        let answer = turn(PLAIN_TURN, &id, &program, 900).send(cluster.caller_address(0));
        assert!(matches!(answer.status, 200 | 503), "{answer:?}");
        answer.status == 200
    });
    // Only the store and the peer have the chain. The host reads and writes it through the peer.
    let next = turn(KEPT_TURN, "t1", "p", 900).with_header("Previous-Turn", "t0");
    let answer = next.send(cluster.caller_address(0));
    assert_eq!(
        (answer.status, answer.is_complete),
        (200, true),
        "{answer:?}"
    );
    let third = turn(KEPT_TURN, "t2", "p", 900).with_header("Previous-Turn", "t1");
    assert_eq!(third.send(cluster.caller_address(1)).status, 200);
    cluster.set_cut_off(0, false);
    eventually(DETECTION_MAX, "the host reaches the store again", || {
        cluster.log(0).contains("store regained")
    });
}

#[test]
fn refusal_during_a_store_outage_leaves_time_for_a_retry() {
    let cluster = Cluster::start(1, 1);
    cluster.store.state().knobs.down = true;
    let mut number = 0;
    eventually(DETECTION_MAX, "the refusal names the store", || {
        number += 1;
        let id = format!("n{number}");
        let answer = turn(PLAIN_TURN, &id, &id, 900).send(cluster.caller_address(0));
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(cluster.runs(&id).is_empty());
        let refused = wait_for_refusal(&cluster, &id);
        let ms = |field: &str| refused[field].as_u64().unwrap();
        let delay: f64 = answer.header("retry-after").unwrap().parse().unwrap();
        assert!(
            (delay * 1_000.0 - ms("retry_ms") as f64).abs() <= 1.0,
            "{delay} {refused}"
        );
        // The delay is at most a third of the time that remains until the deadline of the caller.
        assert!(
            ms("retry_ms") * 3 <= 4_000 - ms("after_ms") + 3,
            "{refused}"
        );
        answer.text().contains("store-away")
    });
    // Requests that need no store are served.
    let answer = Request::new("GET", SAFE, "r1").send(cluster.caller_address(0));
    assert_eq!(answer.status, 200);
    cluster.store.state().knobs.down = false;
    eventually(DETECTION_MAX, "new programs run again", || {
        number += 1;
        let id = format!("n{number}");
        turn(PLAIN_TURN, &id, &id, 900)
            .send(cluster.caller_address(0))
            .status
            == 200
    });
}

#[test]
fn a_new_program_waits_for_the_store_and_then_runs() {
    let cluster = Cluster::start(1, 1);
    cluster.store.state().knobs.down = true;
    eventually(DETECTION_MAX, "the gateway detects the outage", || {
        turn(PLAIN_TURN, "early", "early", 900).send(cluster.caller_address(0));
        cluster.log(0).contains("store lost")
    });
    let address = cluster.caller_address(0);
    let call = std::thread::spawn(move || turn(PLAIN_TURN, "t0", "p", 900).send(address));
    // Long enough for the request to find the store unavailable, and far below its longest wait.
    std::thread::sleep(Duration::from_millis(200));
    cluster.store.state().knobs.down = false;
    let answer = call.join().unwrap();
    assert_eq!(
        (answer.status, answer.is_complete),
        (200, true),
        "{answer:?}"
    );
    assert_eq!(cluster.runs("t0").len(), 1);
}

#[test]
fn running_program_continues_during_a_store_outage() {
    let cluster = Cluster::start(1, 1);
    assert_eq!(
        turn(PLAIN_TURN, "t0", "p", 900)
            .send(cluster.caller_address(0))
            .status,
        200
    );
    cluster.store.state().knobs.down = true;
    let answer = turn(PLAIN_TURN, "t1", "p", 900).send(cluster.caller_address(0));
    assert_eq!((answer.status, answer.is_complete), (200, true));
}

#[test]
fn slow_store_does_not_keep_an_environment_from_its_hosts() {
    let cluster = Cluster::start(1, 1);
    cluster.store.state().knobs.slow_ms = 700;
    eventually(DETECTION_MAX, "the feed of the environment fails", || {
        let log = cluster.log(0);
        let failed = log.lines().filter(|line| line.contains("feed failed"));
        failed.filter(|line| line.contains("\"op\"")).count() >= 2
    });
    let document = document(2, 3_000);
    cluster
        .store
        .state()
        .put("op", "config", document.as_bytes());
    eventually(START_TIMEOUT, "the environment is in force", || {
        cluster.log(0).matches("environment in force").count() == 2
    });
}

#[test]
fn silent_store_does_not_block_callers() {
    let cluster = Cluster::start(1, 1);
    cluster.store.state().knobs.silent = true;
    let answer = turn(PLAIN_TURN, "t0", "p", 900).send(cluster.caller_address(0));
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(cluster.runs("t0").is_empty());
}

#[test]
fn host_that_lost_touch_does_not_deny_a_route() {
    let cluster = Cluster::start(1, 1);
    cluster.set_cut_off(0, true);
    let get = |path: &str| Request::new("GET", path, "r1").send(cluster.caller_address(0));
    eventually(DETECTION_MAX, "the host has lost touch", || {
        get("/added/a").text().contains("environment-stale")
    });
    let answer = get("/added/a");
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.header("retry-after").is_some(), "{answer:?}");
    assert_eq!(get(SAFE).status, 200);
    cluster.set_cut_off(0, false);
    eventually(DETECTION_MAX, "the route does not exist", || {
        get("/added/a").status == 404
    });
}
