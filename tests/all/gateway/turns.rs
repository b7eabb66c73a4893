//! Retained turns are available at every host and after the loss of all hosts, and are stored
//! exactly as they ran.

use crate::cluster::{START_TIMEOUT, eventually};
use crate::gateway::cluster::{Cluster, KEPT_TURN, turn};
use crate::gateway::http::Answer;

/// Returns the text that a worker generates in a run.
fn turn_text(id: &str) -> String {
    (1..=4).map(|number| format!("{id}.{number}\n")).collect()
}

fn assert_complete(answer: &Answer) {
    assert_eq!(
        (answer.status, answer.is_complete),
        (200, true),
        "{answer:?}"
    );
}

#[test]
fn turn_receives_the_transcript_before_it_at_any_host() {
    let cluster = Cluster::start(2, 1);
    let first = turn(KEPT_TURN, "t1", "p", 900).with_body("one ");
    assert_complete(&first.send(cluster.caller_address(0)));
    let second = turn(KEPT_TURN, "t2", "p", 900).with_body("two ");
    assert_complete(
        &second
            .with_header("Previous-Turn", "t1")
            .send(cluster.caller_address(1)),
    );
    // A program may continue a turn of another program.
    let third = turn(KEPT_TURN, "t3", "q", 900).with_body("three ");
    assert_complete(
        &third
            .with_header("Previous-Turn", "t2")
            .send(cluster.caller_address(0)),
    );
    let text = String::from_utf8(cluster.runs("t3")[0].body.clone()).unwrap();
    assert_eq!(
        text,
        format!("one {}two {}three ", turn_text("t1"), turn_text("t2"))
    );
}

#[test]
fn turns_outlive_all_hosts() {
    let mut cluster = Cluster::start(2, 1);
    assert_complete(
        &turn(KEPT_TURN, "t1", "p", 900)
            .with_body("one ")
            .send(cluster.caller_address(0)),
    );
    for index in 0..2 {
        cluster.kill(index);
    }
    for index in 0..2 {
        cluster.spawn(index);
        cluster.eventually_ready(index);
    }
    let next = turn(KEPT_TURN, "t2", "p", 900).with_header("Previous-Turn", "t1");
    assert_complete(&next.with_body("two").send(cluster.caller_address(1)));
    let text = String::from_utf8(cluster.runs("t2")[0].body.clone()).unwrap();
    assert_eq!(text, format!("one {}two", turn_text("t1")));
}

#[test]
fn turn_ends_only_after_it_is_stored() {
    let cluster = Cluster::start(1, 1);
    assert_complete(&turn(KEPT_TURN, "t0", "p", 900).send(cluster.caller_address(0)));
    cluster.models[0].state().pause_ms = 50;
    let address = cluster.caller_address(0);
    let running = std::thread::spawn(move || {
        turn(KEPT_TURN, "t1", "p", 900)
            .with_header("Previous-Turn", "t0")
            .with_header("Deadline-Ms", "1000")
            .send(address)
    });
    eventually(START_TIMEOUT, "the turn runs", || {
        !cluster.runs("t1").is_empty()
    });
    cluster.store.state().knobs.down = true;
    let answer = running.join().unwrap();
    // All events arrived, but not the end of the stream.
    assert_eq!(answer.text().matches("data:").count(), 4);
    assert!(!answer.is_complete);
}

#[test]
fn lost_and_late_responses_of_the_store_neither_lose_nor_repeat_turns() {
    let cluster = Cluster::start(2, 1);
    let mut previous: Option<String> = None;
    for number in 0..6_u16 {
        {
            let mut store = cluster.store.state();
            store.knobs.lose_answers = 1;
            store.knobs.late_ms = if number % 2 == 0 { 0 } else { 300 };
        }
        let id = format!("t{number}");
        let mut request = turn(KEPT_TURN, &id, "p", 9_000).with_body(&format!("{number} "));
        if let Some(previous) = &previous {
            request = request.with_header("Previous-Turn", previous);
        }
        assert_complete(&request.send(cluster.caller_address(number % 2)));
        assert_eq!(cluster.runs(&id).len(), 1);
        previous = Some(id);
    }
    let body = cluster.runs("t5")[0].body.clone();
    let expected: String = (0..5)
        .map(|number| format!("{number} {}", turn_text(&format!("t{number}"))))
        .collect();
    assert_eq!(String::from_utf8(body).unwrap(), expected + "5 ");
}
