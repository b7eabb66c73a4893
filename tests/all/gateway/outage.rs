//! The store is away, as a whole or for one host.

use std::time::Duration;

use crate::cluster::{START_MAX, eventually};
use crate::gateway::cluster::{Cluster, KEPT, PLAIN_TURN, SAFE, turn};
use crate::gateway::http::Request;

/// Bound for a host to notice that the store is away, or back: several waits for an answer.
const NOTICE_MAX: Duration = Duration::from_secs(10);

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
fn new_programs_are_refused_at_once_while_the_store_is_away() {
    let cluster = Cluster::start(1, 1);
    cluster.store.state().knobs.down = true;
    let mut number = 0;
    eventually(NOTICE_MAX, "the refusal comes at once", || {
        number += 1;
        let id = format!("n{number}");
        let answer = turn(PLAIN_TURN, &id, &id, 900).send(cluster.callers(0));
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(cluster.runs(&id).is_empty());
        let delay: f64 = answer.header("retry-after").unwrap().parse().unwrap();
        // No longer than a third of what the caller has left.
        assert!((0.0..=4.0 / 3.0).contains(&delay), "{delay}");
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
