//! Model calls go on while the platform's store is down, and nothing that was answered is lost.

use std::time::Duration;

use serde_json::{Value, json};
use standins::engine::expected;

use crate::caller::{Answer, Caller};
use crate::cluster::{Cluster, Config, START_MAX, eventually};

/// Bound for a program to go on once the store is back: three times the target of a takeover.
const RECOVERY_MAX: Duration = Duration::from_secs(9);

fn start() -> Cluster {
    Config::new()
        .with_document("[limits]\ncommit-wait = 100ms\n")
        .start()
}

/// A model call that presents the token of the last answer.
fn call_after(caller: &Caller, program: &str, seq: u64, input: &str, last: &Answer) -> Answer {
    let call = json!({"seq": seq, "model": "advisor", "input": input, "max_tokens": 8,
        "after": last.end["after"]});
    caller.call(program, &call)
}

/// A program with one call in the log and two more answered while the store is down.
fn answered_in_outage(cluster: &Cluster) -> (String, Vec<Answer>) {
    let caller = cluster.caller(0, "meche");
    let program = caller.create("advisor", 100_000, 20);
    let mut answers = vec![caller.model(&program, 1, "a", 8)];
    cluster.platform.state().knobs.down = true;
    for (seq, input) in [(2, "b"), (3, "c")] {
        let last = answers.last().unwrap();
        answers.push(call_after(&caller, &program, seq, input, last));
    }
    assert!(answers.iter().all(Answer::is_whole), "{answers:?}");
    let durable: Vec<&Value> = answers.iter().map(|one| &one.end["durable"]).collect();
    assert_eq!(durable, [&json!(true), &json!(false), &json!(false)]);
    (program, answers)
}

/// The prompt of the call after these answers.
fn prompt(answers: &[Answer], input: &str) -> String {
    let turns = ["a", "b", "c"].iter().zip(answers);
    let turns: String = turns
        .map(|(input, answer)| format!("{input}{}", answer.text))
        .collect();
    turns + input
}

#[test]
fn answers_of_an_outage_are_recorded_when_the_store_is_back() {
    let mut cluster = start();
    let (program, answers) = answered_in_outage(&cluster);
    cluster.platform.state().knobs.down = false;
    let caller = cluster.caller(0, "meche");
    eventually(RECOVERY_MAX, "the answers are in the log", || {
        caller.model(&program, 3, "c", 8).end["durable"] == true
    });
    cluster.kill("entry-0");
    let there = cluster.caller(1, "meche");
    let next = call_after(&there, &program, 4, "d", &answers[2]);
    assert_eq!(next.text, expected(&prompt(&answers, "d"), 8), "{next:?}");
}

#[test]
fn answers_of_an_outage_survive_their_entry() {
    let mut cluster = start();
    let (program, answers) = answered_in_outage(&cluster);
    cluster.kill("entry-0");
    cluster.platform.state().knobs.down = false;
    let there = cluster.caller(1, "meche");
    let mut next = call_after(&there, &program, 4, "d", &answers[2]);
    eventually(RECOVERY_MAX, "the program goes on", || {
        if !next.is_whole() {
            assert_eq!(next.ran(), "no", "{next:?}");
            next = call_after(&there, &program, 4, "d", &answers[2]);
        }
        next.is_whole()
    });
    assert_eq!(next.text, expected(&prompt(&answers, "d"), 8));
    assert_eq!(there.model(&program, 2, "b", 8).text, answers[1].text);
    let history = there.history(&program).unwrap().1;
    assert_eq!(history["calls"].as_array().unwrap().len(), 4);
    let used: u64 = cluster
        .engines
        .iter()
        .flat_map(|engine| {
            let state = engine.state();
            state.used_tokens.values().copied().collect::<Vec<_>>()
        })
        .sum();
    assert!(history["spent_tokens"].as_u64().unwrap() >= used);
}

#[test]
fn without_its_witnesses_a_shorter_history_is_not_gone_on_from() {
    let mut cluster = start();
    let (program, answers) = answered_in_outage(&cluster);
    cluster.kill("entry-0");
    for sidecar in ["engine-0", "engine-1", "service-0"] {
        cluster.kill(&format!("sidecar-{sidecar}"));
        cluster.restart(&format!("sidecar-{sidecar}"));
    }
    cluster.platform.state().knobs.down = false;
    let there = cluster.caller(1, "meche");
    eventually(RECOVERY_MAX, "the program is taken over", || {
        there
            .history(&program)
            .is_some_and(|(status, _)| status == 200)
    });
    let refused = call_after(&there, &program, 4, "d", &answers[2]);
    let said = (refused.status, refused.code(), refused.ran());
    assert_eq!(said, (503, "history-unavailable", "no"));
}

#[test]
fn order_in_an_outage_is_refused_at_its_deadline_and_never_runs() {
    let cluster = start();
    let caller = cluster.caller(0, "meche");
    let body = json!({"class": "reorder", "tokens": 1_000, "calls": 5, "deadline_ms": 1_500});
    let created = caller.request("POST", "/v1/programs", Some(&body.to_string()));
    let program = created.unwrap().1["program"].as_str().unwrap().to_owned();
    cluster.platform.state().knobs.down = true;
    let refused = caller.service(&program, 1, "stock", "reserve 2 pallets");
    assert_eq!((refused.code(), refused.ran()), ("deadline", "no"));
    cluster.platform.state().knobs.down = false;
    // An order of another program shows that the log has caught up.
    let other = caller.create("reorder", 1_000, 5);
    assert!(
        caller
            .service(&other, 1, "stock", "reserve 1 pallet")
            .is_whole()
    );
    assert_eq!(cluster.services[0].state().inputs, ["reserve 1 pallet"]);
    eventually(START_MAX, "the withdrawal is in the account", || {
        let account = cluster.explain(&program).unwrap();
        let mut events = account["events"].as_array().unwrap().iter();
        events.any(|event| event["event"] == "withdrawn")
    });
}
