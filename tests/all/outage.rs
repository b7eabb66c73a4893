//! Model calls continue while the store of the platform is down, and no answered call is lost.

use std::time::Duration;

use serde_json::{Value, json};
use standins::engine::expected;

use crate::caller::{Answer, Caller};
use crate::cluster::{Cluster, Config, START_TIMEOUT, eventually};

/// Bound for a program to continue after a store outage: three times the target of a takeover.
const RECOVERY_MAX: Duration = Duration::from_secs(9);

fn start() -> Cluster {
    Config::new()
        .with_sections("[limits]\ncommit-wait = 100ms\n")
        .start()
}

/// Makes a model call that presents the continuation token of the last answer.
fn call_after(caller: &Caller, program: &str, seq: u64, input: &str, last: &Answer) -> Answer {
    let call = json!({"seq": seq, "model": "advisor", "input": input, "max_tokens": 8,
        "after": last.last_line["after"]});
    caller.call(program, &call)
}

/// Creates a program with one call in the log, takes the store down and makes two more calls.
/// Returns the program and the answers.
fn create_program_and_begin_outage(cluster: &Cluster) -> (String, Vec<Answer>) {
    let caller = cluster.caller(0, "meche");
    let program = caller.create("advisor", 100_000, 20);
    let mut answers = vec![caller.model(&program, 1, "a", 8)];
    cluster.platform.state().knobs.down = true;
    for (seq, input) in [(2, "b"), (3, "c")] {
        let last = answers.last().unwrap();
        answers.push(call_after(&caller, &program, seq, input, last));
    }
    assert!(answers.iter().all(Answer::is_complete), "{answers:?}");
    let durable: Vec<&Value> = answers
        .iter()
        .map(|one| &one.last_line["durable"])
        .collect();
    assert_eq!(durable, [&json!(true), &json!(false), &json!(false)]);
    (program, answers)
}

/// Returns the prompt of a call that follows these answers.
fn prompt(answers: &[Answer], input: &str) -> String {
    let turns = ["a", "b", "c"].iter().zip(answers);
    let turns: String = turns
        .map(|(input, answer)| format!("{input}{}", answer.text))
        .collect();
    turns + input
}

#[test]
fn answers_of_an_outage_are_recorded_once_the_store_is_available() {
    let mut cluster = start();
    let (program, answers) = create_program_and_begin_outage(&cluster);
    cluster.platform.state().knobs.down = false;
    let caller = cluster.caller(0, "meche");
    eventually(RECOVERY_MAX, "the answers are in the log", || {
        caller.model(&program, 3, "c", 8).last_line["durable"] == true
    });
    cluster.kill("entry-0");
    let there = cluster.caller(1, "meche");
    let next = call_after(&there, &program, 4, "d", &answers[2]);
    assert_eq!(next.text, expected(&prompt(&answers, "d"), 8), "{next:?}");
}

#[test]
fn answers_of_an_outage_survive_the_kill_of_their_entry() {
    let mut cluster = start();
    let (program, answers) = create_program_and_begin_outage(&cluster);
    cluster.kill("entry-0");
    cluster.platform.state().knobs.down = false;
    let there = cluster.caller(1, "meche");
    let mut next = call_after(&there, &program, 4, "d", &answers[2]);
    eventually(RECOVERY_MAX, "the program continues", || {
        if !next.is_complete() {
            assert_eq!(next.ran(), "no", "{next:?}");
            next = call_after(&there, &program, 4, "d", &answers[2]);
        }
        next.is_complete()
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
fn shorter_history_is_not_continued_after_the_loss_of_its_witnesses() {
    let mut cluster = start();
    let (program, answers) = create_program_and_begin_outage(&cluster);
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
    let refusal = (refused.status, refused.code(), refused.ran());
    assert_eq!(refusal, (503, "history-unavailable", "no"));
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
    // An answered order of another program shows that earlier log writes are complete.
    let other = caller.create("reorder", 1_000, 5);
    assert!(
        caller
            .service(&other, 1, "stock", "reserve 1 pallet")
            .is_complete()
    );
    assert_eq!(cluster.services[0].state().inputs, ["reserve 1 pallet"]);
    eventually(
        START_TIMEOUT,
        "the explanation shows the withdrawal",
        || {
            let explanation = cluster.explain(&program).unwrap();
            let mut events = explanation["events"].as_array().unwrap().iter();
            events.any(|event| event["event"] == "withdrawn")
        },
    );
}
