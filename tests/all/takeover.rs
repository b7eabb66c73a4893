//! Programs whose entry was killed, paused or sealed continue at another entry.

use std::time::Duration;

use log::{SealOutcome, read_writer, seal_log};
use standins::engine::expected;
use units::{Incarnation, Program, Span};

use crate::caller::{Answer, Caller};
use crate::cluster::{Cluster, Config, START_TIMEOUT, eventually};

/// Bound for a program to continue at another entry: the target of 3 s, tripled for busy machines.
const TAKEOVER_MAX: Duration = Duration::from_secs(9);

const ORDER: &str = "reserve 2 pallets";

/// Repeats a request while it gets no response or is refused as `history-unavailable` or `unready`.
fn retry(description: &str, mut request: impl FnMut() -> Answer) -> Answer {
    let mut answer = request();
    eventually(TAKEOVER_MAX, description, || {
        let is_retried =
            answer.status == 0 || ["history-unavailable", "unready"].contains(&answer.code());
        if is_retried {
            assert_ne!(answer.ran(), "unknown", "{answer:?}");
            answer = request();
        }
        !is_retried
    });
    answer
}

fn executed_orders(cluster: &Cluster) -> usize {
    cluster.services[0].state().inputs.len()
}

/// Sends an order that takes `delay_ms` to the first entry and waits until the service runs it.
fn begin_order(cluster: &Cluster, program: &str, delay_ms: u64) {
    cluster.services[0].state().delay_ms = delay_ms;
    let (caller, program) = (cluster.caller(0, "meche"), program.to_owned());
    std::thread::spawn(move || caller.service(&program, 1, "stock", ORDER));
    eventually(START_TIMEOUT, "the service runs the order", || {
        executed_orders(cluster) == 1
    });
}

#[test]
fn another_entry_goes_on_with_the_program_of_a_killed_one() {
    let mut cluster = Config::new().start();
    let (here, there) = (cluster.caller(0, "meche"), cluster.caller(1, "meche"));
    let program = here.create("reorder", 20_000, 20);
    let first = here.model(&program, 1, "Which braid?", 12);
    let order = here.service(&program, 2, "stock", ORDER);
    assert!(first.is_complete() && order.is_complete());
    cluster.kill("entry-0");
    let killed = std::time::Instant::now();
    let next = retry("the program continues", || {
        there.model(&program, 3, "And which wax?", 12)
    });
    println!("kill to the next complete answer: {:?}", killed.elapsed());
    let prompt = format!(
        "Which braid?{}{ORDER}{}And which wax?",
        first.text, order.text
    );
    assert_eq!(next.text, expected(&prompt, 12));
    assert_eq!(there.service(&program, 2, "stock", ORDER).text, order.text);
    assert_eq!(executed_orders(&cluster), 1);
    let history = there.history(&program).unwrap().1;
    assert_eq!(history["calls"].as_array().unwrap().len(), 3);
}

#[test]
fn order_running_at_the_kill_is_answered_once() {
    let mut cluster = Config::new().start();
    let program = cluster.caller(0, "meche").create("reorder", 5_000, 20);
    begin_order(&cluster, &program, 500);
    cluster.kill("entry-0");
    let there = cluster.caller(1, "meche");
    let answer = retry("the order is answered", || {
        there.service(&program, 1, "stock", ORDER)
    });
    assert_eq!(answer.text, format!("done: {ORDER}"));
    assert_eq!(executed_orders(&cluster), 1);
}

#[test]
fn order_whose_sidecar_died_too_is_indeterminate_and_not_repeated() {
    let mut cluster = Config::new().start();
    let program = cluster.caller(0, "meche").create("reorder", 5_000, 20);
    begin_order(&cluster, &program, 60_000);
    cluster.kill("entry-0");
    cluster.kill("sidecar-service-0");
    cluster.restart("sidecar-service-0");
    let there = cluster.caller(1, "meche");
    let mut answer = there.service(&program, 1, "stock", ORDER);
    eventually(
        TAKEOVER_MAX,
        "the order is reported as indeterminate",
        || {
            answer = there.service(&program, 1, "stock", ORDER);
            answer.code() == "indeterminate"
        },
    );
    assert_eq!(answer.ran(), "unknown");
    assert_eq!(executed_orders(&cluster), 1);
    assert!(there.model(&program, 2, "What now?", 4).is_complete());
}

#[test]
fn abandoned_programs_of_a_killed_entry_end_and_free_engine_memory() {
    let mut cluster = Config::new()
        .with_sections("[limits]\nidle-timeout = 1s\n")
        .start();
    let caller = cluster.caller(0, "meche");
    let program = caller.create("advisor", 5_000, 20);
    assert!(caller.model(&program, 1, "Which wax?", 8).is_complete());
    cluster.kill("entry-0");
    eventually(TAKEOVER_MAX, "the program ends", || {
        let explanation = cluster.explain(&program);
        explanation.is_some_and(|explanation| explanation["ended"]["cause"] == "idle")
    });
    let held_programs = |cluster: &Cluster| {
        let engines = cluster.engines.iter();
        engines
            .map(|engine| engine.state().cache.len())
            .sum::<usize>()
    };
    eventually(TAKEOVER_MAX, "engine memory is freed", || {
        held_programs(&cluster) == 0
    });
}

#[test]
fn history_survives_one_takeover_after_the_other() {
    let mut cluster = Config::new().start();
    let program = cluster.caller(0, "meche").create("reorder", 50_000, 50);
    for round in 0..4_u64 {
        let (killed, other) = if round % 2 == 0 { (0, 1) } else { (1, 0) };
        let caller = cluster.caller(other, "meche");
        let answer = retry("the next call is answered", || {
            caller.service(&program, round + 1, "stock", ORDER)
        });
        assert!(answer.is_complete(), "{answer:?}");
        cluster.kill(&format!("entry-{killed}"));
        let answer = retry("the history is available", || {
            caller.service(&program, round + 1, "stock", ORDER)
        });
        assert!(answer.is_complete(), "{answer:?}");
        cluster.restart(&format!("entry-{killed}"));
        cluster.eventually_sees(killed, 3);
        cluster.eventually_sees(other, 3);
    }
    assert_eq!(executed_orders(&cluster), 4);
}

/// Creates a program and returns the incarnation of the entry that writes its log.
fn writer_of_new_program(caller: &Caller) -> Incarnation {
    let program: Program = caller.create("advisor", 1_000, 2).parse().unwrap();
    program.origin
}

#[test]
fn falsely_sealed_entry_is_fenced_and_forwards_to_the_successor() {
    let cluster = Config::new().start();
    let (here, there) = (cluster.caller(0, "meche"), cluster.caller(1, "meche"));
    let program = here.create("reorder", 20_000, 20);
    assert!(here.service(&program, 1, "stock", ORDER).is_complete());
    let client = store::Client::new(
        platform::Client::new(cluster.platform.address),
        Span::from_ms(1_000),
    );
    let (old, successor) = (writer_of_new_program(&here), writer_of_new_program(&there));
    let outcome = smol::block_on(async {
        let writer = read_writer(&client, old).await.unwrap().unwrap();
        seal_log(&client, &writer, successor).await.unwrap()
    });
    assert_eq!(outcome, SealOutcome::Sealed(successor));
    for (seq, caller) in [(2, &here), (3, &there), (4, &here)] {
        let answer = retry("the call is answered", || {
            caller.service(&program, seq, "stock", ORDER)
        });
        assert!(answer.is_complete(), "{answer:?}");
    }
    assert_eq!(executed_orders(&cluster), 4);
    let histories = [&here, &there].map(|caller| caller.history(&program).unwrap().1);
    assert_eq!(histories[0], histories[1]);
    let mut newer = old;
    eventually(TAKEOVER_MAX, "the fenced entry has a new log", || {
        let body = r#"{"class": "advisor", "tokens": 1000, "calls": 2}"#;
        if let Some((201, answer)) = here.request("POST", "/v1/programs", Some(body)) {
            let created: Program = answer["program"].as_str().unwrap().parse().unwrap();
            newer = created.origin;
        }
        newer != old
    });
}

#[test]
fn frozen_entry_is_taken_over_and_fenced_when_it_wakes() {
    let cluster = Config::new().start();
    let (here, there) = (cluster.caller(0, "meche"), cluster.caller(1, "meche"));
    let program = here.create("reorder", 20_000, 20);
    begin_order(&cluster, &program, 500);
    cluster.pause("entry-0");
    let answer = retry("the order is answered elsewhere", || {
        there.service(&program, 1, "stock", ORDER)
    });
    assert_eq!(answer.text, format!("done: {ORDER}"), "{answer:?}");
    assert!(there.service(&program, 2, "stock", ORDER).is_complete());
    cluster.resume("entry-0");
    let answer = retry("the resumed entry forwards the call", || {
        here.service(&program, 3, "stock", ORDER)
    });
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(executed_orders(&cluster), 3);
    let histories = [&here, &there].map(|caller| caller.history(&program).unwrap().1);
    assert_eq!(histories[0], histories[1]);
}

#[test]
fn adopted_log_leaves_the_table_and_nothing_is_lost() {
    let mut cluster = Config::new().start();
    let (here, there) = (cluster.caller(0, "meche"), cluster.caller(1, "meche"));
    let program = here.create("reorder", 20_000, 20);
    let first = here.model(&program, 1, "Which braid?", 12);
    assert!(here.service(&program, 2, "stock", ORDER).is_complete());
    let key_prefix = format!("log.{}.", program.parse::<Program>().unwrap().origin);
    let batch_count = |cluster: &Cluster| {
        let state = cluster.platform.state();
        state
            .rows
            .keys()
            .filter(|row| row.key.starts_with(&key_prefix))
            .count()
    };
    assert!(batch_count(&cluster) > 0);
    cluster.kill("entry-0");
    let next = retry("the program continues", || {
        there.service(&program, 3, "stock", ORDER)
    });
    assert!(next.is_complete());
    eventually(TAKEOVER_MAX, "the log is removed from the table", || {
        batch_count(&cluster) == 0 && cluster.log("entry-1").contains("log compacted")
    });
    cluster.restart("entry-0");
    cluster.eventually_sees(0, 3);
    cluster.kill("entry-1");
    let again = retry("the history is available", || {
        here.model(&program, 1, "Which braid?", 12)
    });
    assert_eq!(again.text, first.text);
    let explanation = cluster.explain(&program).unwrap();
    let mut events = explanation["events"].as_array().unwrap().iter();
    assert!(
        events.any(|event| event["event"] == "created"),
        "{explanation:#}"
    );
    assert_eq!(executed_orders(&cluster), 2);
}
