//! The store is away, as a whole or for one host.

use std::time::Duration;

use serde_json::Value;

use crate::cluster::{START_MAX, eventually};
use crate::gateway::cluster::{Cluster, KEPT, PLAIN_TURN, SAFE, turn};
use crate::gateway::http::Request;

/// Bound for a host to notice that the store is away, or back: several waits for an answer.
const NOTICE_MAX: Duration = Duration::from_secs(10);

/// The log line of a refused request, which a thread of its own writes.
fn refusal(cluster: &Cluster, id: &str) -> Value {
    let mut found = None;
    eventually(NOTICE_MAX, "the refusal is logged", || {
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
fn a_host_that_is_cut_off_calls_through_its_peer() {
    let cluster = Cluster::start(2, 1);
    assert_eq!(
        turn(KEPT, "t0", "p", 900).send(cluster.callers(1)).status,
        200
    );
    eventually(START_MAX, "the peer is known", || {
        cluster.log(0).matches("peer listed").count() >= 2
    });
    cluster.cut_off(0, true);
    let mut number = 0;
    eventually(NOTICE_MAX, "a new program runs at the host", || {
        number += 1;
        let program = format!("q{number}");
        let id = format!("n{number}");
        let answer = turn(PLAIN_TURN, &id, &program, 900).send(cluster.callers(0));
        assert!(matches!(answer.status, 200 | 503), "{answer:?}");
        answer.status == 200
    });
    // A chain that only the store and the peer have is read and written through the peer.
    let next = turn(KEPT, "t1", "p", 900).with("Previous-Turn", "t0");
    let answer = next.send(cluster.callers(0));
    assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
    let after = turn(KEPT, "t2", "p", 900).with("Previous-Turn", "t1");
    assert_eq!(after.send(cluster.callers(1)).status, 200);
    cluster.cut_off(0, false);
    eventually(NOTICE_MAX, "the host is back", || {
        cluster.log(0).contains("store regained")
    });
}

#[test]
fn new_programs_are_refused_with_time_left_while_the_store_is_away() {
    let cluster = Cluster::start(1, 1);
    cluster.store.state().knobs.down = true;
    let mut number = 0;
    eventually(NOTICE_MAX, "the refusal names the store", || {
        number += 1;
        let id = format!("n{number}");
        let answer = turn(PLAIN_TURN, &id, &id, 900).send(cluster.callers(0));
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(cluster.runs(&id).is_empty());
        let refused = refusal(&cluster, &id);
        let ms = |field: &str| refused[field].as_u64().unwrap();
        let delay: f64 = answer.header("retry-after").unwrap().parse().unwrap();
        assert!(
            (delay * 1_000.0 - ms("retry_ms") as f64).abs() <= 1.0,
            "{delay} {refused}"
        );
        // A third of what the caller has left is the most that it honours.
        assert!(
            ms("retry_ms") * 3 <= 4_000 - ms("after_ms") + 3,
            "{refused}"
        );
        answer.text().contains("store-away")
    });
    // What needs no store is served.
    let answer = Request::new("GET", SAFE, "r1").send(cluster.callers(0));
    assert_eq!(answer.status, 200);
    cluster.store.state().knobs.down = false;
    eventually(NOTICE_MAX, "new programs run again", || {
        number += 1;
        let id = format!("n{number}");
        turn(PLAIN_TURN, &id, &id, 900)
            .send(cluster.callers(0))
            .status
            == 200
    });
}

#[test]
fn a_new_program_waits_for_the_store_and_then_runs() {
    let cluster = Cluster::start(1, 1);
    cluster.store.state().knobs.down = true;
    eventually(NOTICE_MAX, "the store is seen to be away", || {
        turn(PLAIN_TURN, "early", "early", 900).send(cluster.callers(0));
        cluster.log(0).contains("store lost")
    });
    let callers = cluster.callers(0);
    let call = std::thread::spawn(move || turn(PLAIN_TURN, "t0", "p", 900).send(callers));
    // Long enough for the request to find the store away, and far below what it may wait.
    std::thread::sleep(Duration::from_millis(200));
    cluster.store.state().knobs.down = false;
    let answer = call.join().unwrap();
    assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
    assert_eq!(cluster.runs("t0").len(), 1);
}

#[test]
fn a_program_under_way_goes_on_while_the_store_is_away() {
    let cluster = Cluster::start(1, 1);
    assert_eq!(
        turn(PLAIN_TURN, "t0", "p", 900)
            .send(cluster.callers(0))
            .status,
        200
    );
    cluster.store.state().knobs.down = true;
    let answer = turn(PLAIN_TURN, "t1", "p", 900).send(cluster.callers(0));
    assert_eq!((answer.status, answer.whole), (200, true));
}

#[test]
fn a_silent_store_does_not_hold_callers() {
    let cluster = Cluster::start(1, 1);
    cluster.store.state().knobs.silent = true;
    let answer = turn(PLAIN_TURN, "t0", "p", 900).send(cluster.callers(0));
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(cluster.runs("t0").is_empty());
}
