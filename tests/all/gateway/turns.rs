//! Turns that are kept: over hosts, over the loss of all hosts, and never made up.

use crate::cluster::{START_MAX, eventually};
use crate::gateway::cluster::{Cluster, KEPT, turn};
use crate::gateway::http::Answer;

/// What a worker says in a run.
fn said(id: &str) -> String {
    (1..=4).map(|number| format!("{id}.{number}\n")).collect()
}

fn whole(answer: &Answer) {
    assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
}

#[test]
fn a_turn_gets_all_that_was_said_before_it_at_any_host() {
    let cluster = Cluster::start(2, 1);
    let first = turn(KEPT, "t1", "p", 900).with_body("one ");
    whole(&first.send(cluster.callers(0)));
    let second = turn(KEPT, "t2", "p", 900).with_body("two ");
    whole(&second.with("Previous-Turn", "t1").send(cluster.callers(1)));
    // A program may go on from a turn of another one.
    let third = turn(KEPT, "t3", "q", 900).with_body("three ");
    whole(&third.with("Previous-Turn", "t2").send(cluster.callers(0)));
    let text = String::from_utf8(cluster.runs("t3")[0].body.clone()).unwrap();
    assert_eq!(text, format!("one {}two {}three ", said("t1"), said("t2")));
}

#[test]
fn turns_outlive_all_hosts() {
    let mut cluster = Cluster::start(2, 1);
    whole(
        &turn(KEPT, "t1", "p", 900)
            .with_body("one ")
            .send(cluster.callers(0)),
    );
    for index in 0..2 {
        cluster.kill(index);
    }
    for index in 0..2 {
        cluster.spawn(index);
        cluster.eventually_ready(index);
    }
    let next = turn(KEPT, "t2", "p", 900).with("Previous-Turn", "t1");
    whole(&next.with_body("two").send(cluster.callers(1)));
    let text = String::from_utf8(cluster.runs("t2")[0].body.clone()).unwrap();
    assert_eq!(text, format!("one {}two", said("t1")));
}

#[test]
fn a_turn_ends_only_once_it_is_kept() {
    let cluster = Cluster::start(1, 1);
    whole(&turn(KEPT, "t0", "p", 900).send(cluster.callers(0)));
    cluster.models[0].state().pause_ms = 50;
    let address = cluster.callers(0);
    let running = std::thread::spawn(move || {
        turn(KEPT, "t1", "p", 900)
            .with("Previous-Turn", "t0")
            .with("Deadline-Ms", "1000")
            .send(address)
    });
    eventually(START_MAX, "the turn runs", || {
        !cluster.runs("t1").is_empty()
    });
    cluster.store.state().knobs.down = true;
    let answer = running.join().unwrap();
    // All events came, and no end.
    assert_eq!(answer.text().matches("data:").count(), 4);
    assert!(!answer.whole);
}

#[test]
fn lost_and_late_answers_of_the_store_lose_and_repeat_nothing() {
    let cluster = Cluster::start(2, 1);
    let mut previous: Option<String> = None;
    for number in 0..6_u16 {
        {
            let mut store = cluster.store.state();
            store.knobs.lose_answers = 1;
            store.knobs.late_ms = if number % 2 == 0 { 0 } else { 300 };
        }
        let id = format!("t{number}");
        let mut request = turn(KEPT, &id, "p", 9_000).with_body(&format!("{number} "));
        if let Some(previous) = &previous {
            request = request.with("Previous-Turn", previous);
        }
        whole(&request.send(cluster.callers(number % 2)));
        assert_eq!(cluster.runs(&id).len(), 1);
        previous = Some(id);
    }
    let body = cluster.runs("t5")[0].body.clone();
    let expected: String = (0..5)
        .map(|number| format!("{number} {}", said(&format!("t{number}"))))
        .collect();
    assert_eq!(String::from_utf8(body).unwrap(), expected + "5 ");
}
