//! Every entry explains every program, also after the end of the program or of its owner.

use std::time::Duration;

use serde_json::{Value, json};

use crate::cluster::{Cluster, Config, START_TIMEOUT, eventually};

/// Bound for an explanation, including the wait for peers that do not respond.
const EXPLAIN_MAX: Duration = Duration::from_secs(5);

const SECRET_INPUT: &str = "reserve for Mme Perrine";

fn explain(cluster: &Cluster, entry: u16, program: &str) -> Option<Value> {
    let path = format!("/v1/programs/{program}/explain");
    let (status, explanation) = cluster.operator_request(entry, "GET", &path, None)?;
    (status == 200).then_some(explanation)
}

fn events(explanation: &Value) -> Vec<(Option<u64>, String)> {
    let events = explanation["events"].as_array().unwrap().iter();
    let event = |event: &Value| {
        (
            event["seq"].as_u64(),
            event["event"].as_str().unwrap().into(),
        )
    };
    events.map(event).collect()
}

#[test]
fn any_entry_explains_an_ended_program_after_the_kill_of_its_owner() {
    let mut cluster = Config::new().start();
    let caller = cluster.caller(0, "meche");
    let program = caller.create("reorder", 20_000, 20);
    assert!(caller.model(&program, 1, "Which braid?", 8).is_complete());
    assert!(
        caller
            .service(&program, 2, "stock", SECRET_INPUT)
            .is_complete()
    );
    let child = json!({"seq": 3, "program": {"tokens": 200, "calls": 2}});
    caller.call(&program, &child);
    let explanation = explain(&cluster, 1, &program).unwrap();
    assert_eq!(
        (&explanation["source"], &explanation["owner"]),
        (&json!("log"), &json!("entry-0"))
    );
    assert_eq!(caller.end(&program).unwrap().0, 200);
    let call_event = |seq: u64, event: &str| (Some(seq), event.to_owned());
    let program_event = |event: &str| (None, event.to_owned());
    let expected = [
        program_event("created"),
        program_event("granted"),
        call_event(1, "dispatched"),
        call_event(1, "answered"),
        call_event(2, "intent"),
        call_event(2, "answered"),
        call_event(3, "sub-agent"),
        program_event("returned"),
        program_event("ended"),
    ];
    cluster.kill("entry-0");
    let mut found = None;
    eventually(EXPLAIN_MAX, "an explanation without the owner", || {
        found = explain(&cluster, 1, &program);
        found.is_some()
    });
    let found = found.unwrap();
    assert_eq!(events(&found), expected, "{found:#}");
    assert_eq!(found["ended"]["cause"], "caller");
    let server = cluster.admin_address(1).to_string();
    let shown = cluster.ctl(&["explain", "--server", &server, &program]);
    let shown = String::from_utf8(shown.stdout).unwrap();
    for part in [
        "account meche as reorder",
        "entry-0",
        "service-0",
        "because",
        "document version 1",
    ] {
        assert!(shown.contains(part), "{part}: {shown}");
    }
    for secret in [SECRET_INPUT, "meche-token", "operator-token"] {
        assert!(!shown.contains(secret) && !found.to_string().contains(secret));
    }
}

#[test]
fn owner_explains_from_memory_while_the_store_is_down() {
    let cluster = Config::new().with_engines(1).start();
    let caller = cluster.caller(0, "meche");
    let program = caller.create("reorder", 20_000, 20);
    assert!(caller.model(&program, 1, "Which braid?", 8).is_complete());
    cluster.platform.state().knobs.down = true;
    let explanation = explain(&cluster, 1, &program).unwrap();
    assert_eq!(
        (&explanation["source"], &explanation["owner"]),
        (&json!("memory"), &json!("entry-0"))
    );
    assert_eq!(explanation["calls"].as_array().map(Vec::len), Some(1));
    let server = cluster.admin_address(1).to_string();
    let shown = cluster.ctl(&["explain", "--server", &server, &program]);
    assert!(
        String::from_utf8(shown.stdout)
            .unwrap()
            .contains("The log cannot be read now")
    );
}

#[test]
fn order_that_may_have_run_is_explained() {
    let mut cluster = Config::new().with_engines(0).start();
    cluster.services[0].state().hangs = true;
    let caller = cluster.caller(0, "meche");
    let program = caller.create("reorder", 2_000, 20);
    let call = {
        let (caller, program) = (caller.clone(), program.clone());
        std::thread::spawn(move || caller.service(&program, 1, "stock", "reserve 2 pallets"))
    };
    eventually(START_TIMEOUT, "the service runs the order", || {
        !cluster.services[0].state().inputs.is_empty()
    });
    let running = explain(&cluster, 1, &program).unwrap();
    assert_eq!(running["running"], 1);
    assert_eq!(running["pending"][0]["route"]["endpoint"], "service-0");
    cluster.kill("sidecar-service-0");
    assert_eq!(call.join().unwrap().ran(), "unknown");
    let explanation = explain(&cluster, 1, &program).unwrap();
    let events = events(&explanation);
    let events: Vec<&str> = events.iter().map(|(_, event)| event.as_str()).collect();
    assert_eq!(events, ["created", "intent", "indeterminate"]);
}

#[test]
fn unknown_program_is_not_explained() {
    let cluster = Config::new().with_entries(1).with_engines(0).start();
    let path = "/v1/programs/0123456789abcdef-1/explain";
    assert_eq!(
        cluster.operator_request(0, "GET", path, None).unwrap().0,
        404
    );
}

/// Bound for a program of a killed entry to continue at another entry.
const TAKEOVER_MAX: Duration = Duration::from_secs(15);

#[test]
fn takeover_is_explained_with_the_previous_owner() {
    let mut cluster = Config::new().with_engines(1).start();
    let (here, there) = (cluster.caller(0, "meche"), cluster.caller(1, "meche"));
    let program = here.create("reorder", 20_000, 20);
    assert!(here.model(&program, 1, "Which braid?", 8).is_complete());
    cluster.kill("entry-0");
    eventually(
        TAKEOVER_MAX,
        "the program continues at the other entry",
        || there.model(&program, 2, "And which wax?", 8).is_complete(),
    );
    let explanation = explain(&cluster, 1, &program).unwrap();
    assert_eq!(explanation["owner"], "entry-1");
    let lines = explanation["events"].as_array().unwrap();
    let takeover = lines
        .iter()
        .position(|line| line["event"] == "taken over")
        .unwrap();
    let detail = lines[takeover]["detail"].as_str().unwrap();
    assert!(detail.starts_with("from entry-0 (log "), "{detail}");
    assert_eq!(lines[takeover]["host"], "entry-1");
    let all_from = |lines: &[Value], host: &str| lines.iter().all(|line| line["host"] == host);
    assert!(all_from(&lines[..takeover], "entry-0") && all_from(&lines[takeover..], "entry-1"));
}
