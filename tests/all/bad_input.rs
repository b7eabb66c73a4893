//! Bad input is refused with a body that states whether the call ran; the program stays unchanged.

use std::sync::{Arc, Mutex, Weak};

use serde_json::Value;

use crate::caller::Caller;
use crate::cases;
use crate::cluster::{Cluster, Config};

/// A request and the refusal expected for it.
struct Case {
    account: &'static str,
    path: &'static str,
    body: &'static str,
    status: u16,
    code: &'static str,
}

/// The environment that concurrent cases share. It stops when the last case drops its reference.
static SHARED_CLUSTER: Mutex<Weak<Cluster>> = Mutex::new(Weak::new());

fn shared_cluster() -> Arc<Cluster> {
    let mut shared = SHARED_CLUSTER.lock().unwrap();
    if let Some(running) = shared.upgrade() {
        return running;
    }
    let running = Arc::new(Config::new().with_entries(1).with_engines(1).start());
    *shared = Arc::downgrade(&running);
    running
}

/// Creates a program with one answered call. Each case has its own: while a call of one case runs,
/// calls of other cases to the same program would be refused as `busy`.
fn create_program(cluster: &Cluster) -> String {
    let caller = cluster.caller(0, "meche");
    let program = caller.create("advisor", 500, 5);
    assert!(caller.model(&program, 1, "hello", 4).is_complete());
    program
}

fn check_refusal(case: Case) {
    let cluster = shared_cluster();
    let program = create_program(&cluster);
    let caller: Caller = cluster.caller(0, case.account);
    let path = case.path.replace("ID", &program);
    let (status, answer) = caller.request("POST", &path, Some(case.body)).unwrap();
    assert_eq!(status, case.status, "{answer}");
    assert_eq!(answer["code"], case.code);
    assert_eq!(answer["ran"], "no");
    assert!(answer["message"].is_string());
    let history = cluster.caller(0, "meche").history(&program).unwrap().1;
    assert_eq!(history["calls"].as_array().map(Vec::len), Some(1));
    assert_eq!(history["ended"], Value::Null);
}

const CALLS_PATH: &str = "/v1/programs/ID/calls";

cases! { check_refusal;
    malformed_json: Case {
        account: "meche", path: CALLS_PATH, body: "{", status: 400, code: "malformed",
    },
    unknown_field: Case {
        account: "meche", path: CALLS_PATH, body: r#"{"seq":2,"model":"advisor","maxtokens":4}"#,
        status: 400, code: "malformed",
    },
    two_targets: Case {
        account: "meche", path: CALLS_PATH,
        body: r#"{"seq":2,"model":"advisor","service":"stock"}"#, status: 400, code: "malformed",
    },
    unknown_token: Case {
        account: "nobody", path: CALLS_PATH, body: "{}", status: 401, code: "unauthorized",
    },
    program_of_another_account: Case {
        account: "pindan", path: CALLS_PATH, body: r#"{"seq":2,"model":"advisor"}"#,
        status: 404, code: "unknown-program",
    },
    unknown_path: Case {
        account: "meche", path: "/v1/nothing", body: "", status: 404, code: "unknown-path",
    },
    gap: Case {
        account: "meche", path: CALLS_PATH, body: r#"{"seq":4,"model":"advisor"}"#,
        status: 409, code: "gap",
    },
    mismatch: Case {
        account: "meche", path: CALLS_PATH, body: r#"{"seq":1,"model":"advisor","input":"other"}"#,
        status: 409, code: "mismatch",
    },
    unknown_model: Case {
        account: "meche", path: CALLS_PATH, body: r#"{"seq":2,"model":"oracle"}"#,
        status: 422, code: "unknown-target",
    },
    over_budget: Case {
        account: "meche", path: CALLS_PATH,
        body: r#"{"seq":2,"model":"advisor","max_tokens":9999}"#, status: 402, code: "budget",
    },
    forged_after: Case {
        account: "meche", path: CALLS_PATH, body: r#"{"seq":2,"model":"advisor","after":"AAAA"}"#,
        status: 400, code: "invalid-after",
    },
    class_not_allowed: Case {
        account: "meche", path: "/v1/programs", body: r#"{"class":"vip","tokens":1,"calls":1}"#,
        status: 403, code: "class-not-allowed",
    },
}

#[test]
fn oversized_body() {
    let cluster = shared_cluster();
    let program = create_program(&cluster);
    let body = format!(
        r#"{{"seq":2,"model":"advisor","input":"{}"}}"#,
        "x".repeat(70_000)
    );
    let path = CALLS_PATH.replace("ID", &program);
    let (status, answer) = cluster
        .caller(0, "meche")
        .request("POST", &path, Some(&body))
        .unwrap();
    assert_eq!((status, answer["code"].as_str()), (413, Some("too-large")));
}
