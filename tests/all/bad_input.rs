//! Bad input gets a JSON refusal that says whether anything ran, and nothing is lost by it.

use std::sync::{Arc, Mutex, Weak};

use serde_json::Value;

use crate::caller::Caller;
use crate::cases;
use crate::cluster::{Cluster, Config};

/// A request and the refusal that it must get.
struct Case {
    account: &'static str,
    path: &'static str,
    body: &'static str,
    status: u16,
    code: &'static str,
}

/// The environment that concurrent cases share; the last one stops it.
static SHARED: Mutex<Weak<Cluster>> = Mutex::new(Weak::new());

fn shared() -> Arc<Cluster> {
    let mut shared = SHARED.lock().unwrap();
    if let Some(running) = shared.upgrade() {
        return running;
    }
    let running = Arc::new(Config::new().with_entries(1).with_engines(1).start());
    *shared = Arc::downgrade(&running);
    running
}

/// A program with one answered call. Cases do not share it: a call that one of them makes is under
/// way for a moment, for which the others would be refused as busy.
fn program(cluster: &Cluster) -> String {
    let caller = cluster.caller(0, "meche");
    let program = caller.create("advisor", 500, 5);
    assert!(caller.model(&program, 1, "hello", 4).is_whole());
    program
}

fn refused(case: Case) {
    let cluster = shared();
    let program = program(&cluster);
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

const CALLS: &str = "/v1/programs/ID/calls";

cases! { refused;
    malformed_json: Case {
        account: "meche", path: CALLS, body: "{", status: 400, code: "malformed",
    },
    unknown_field: Case {
        account: "meche", path: CALLS, body: r#"{"seq":2,"model":"advisor","maxtokens":4}"#,
        status: 400, code: "malformed",
    },
    two_targets: Case {
        account: "meche", path: CALLS, body: r#"{"seq":2,"model":"advisor","service":"stock"}"#,
        status: 400, code: "malformed",
    },
    unknown_token: Case {
        account: "nobody", path: CALLS, body: "{}", status: 401, code: "unauthorized",
    },
    program_of_another_account: Case {
        account: "pindan", path: CALLS, body: r#"{"seq":2,"model":"advisor"}"#,
        status: 404, code: "unknown-program",
    },
    unknown_path: Case {
        account: "meche", path: "/v1/nothing", body: "", status: 404, code: "unknown-path",
    },
    gap: Case {
        account: "meche", path: CALLS, body: r#"{"seq":4,"model":"advisor"}"#,
        status: 409, code: "gap",
    },
    mismatch: Case {
        account: "meche", path: CALLS, body: r#"{"seq":1,"model":"advisor","input":"other"}"#,
        status: 409, code: "mismatch",
    },
    unknown_model: Case {
        account: "meche", path: CALLS, body: r#"{"seq":2,"model":"oracle"}"#,
        status: 422, code: "unknown-target",
    },
    over_budget: Case {
        account: "meche", path: CALLS, body: r#"{"seq":2,"model":"advisor","max_tokens":9999}"#,
        status: 402, code: "budget",
    },
    forged_after: Case {
        account: "meche", path: CALLS, body: r#"{"seq":2,"model":"advisor","after":"AAAA"}"#,
        status: 400, code: "invalid-after",
    },
    class_not_allowed: Case {
        account: "meche", path: "/v1/programs", body: r#"{"class":"vip","tokens":1,"calls":1}"#,
        status: 403, code: "class-not-allowed",
    },
}

#[test]
fn oversized_body() {
    let cluster = shared();
    let program = program(&cluster);
    let body = format!(
        r#"{{"seq":2,"model":"advisor","input":"{}"}}"#,
        "x".repeat(70_000)
    );
    let path = CALLS.replace("ID", &program);
    let (status, answer) = cluster
        .caller(0, "meche")
        .request("POST", &path, Some(&body))
        .unwrap();
    assert_eq!((status, answer["code"].as_str()), (413, Some("too-large")));
}
