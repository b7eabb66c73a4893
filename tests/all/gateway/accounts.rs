//! Keys and limits of client accounts, over several gateways.

use serde_json::{Value, json};

use crate::cluster::{START_TIMEOUT, eventually};
use crate::gateway::cluster::{Cluster, KEPT_TURN, ORDER, SAFE, document, turn};
use crate::gateway::http::{Answer, Request};

/// Returns a document with these accounts; requests of `SAFE` need no key.
fn document_with_accounts(version: u64, accounts: Value) -> String {
    let mut document: Value = serde_json::from_str(&document(version, 3_000)).unwrap();
    document["Tenants"] = accounts;
    for route in document["Routes"].as_array_mut().unwrap() {
        route["Public"] = json!(route["Prefix"] == "/look/");
    }
    document.to_string()
}

/// Puts an environment with these accounts in force at all gateways.
pub fn apply(cluster: &Cluster, gateways: u16, version: u64, accounts: Value) {
    let document = document_with_accounts(version, accounts);
    cluster
        .store
        .state()
        .put("op", "config", document.as_bytes());
    for index in 0..gateways {
        eventually(START_TIMEOUT, "the document is in force", || {
            cluster.environment_version(index) == Some(version)
        });
    }
}

fn two_accounts() -> Value {
    json!([{"Name": "ada", "ApiKeys": ["key-a1", "key-a2"], "Priority": 0},
        {"Name": "bob", "ApiKeys": ["key-b"], "Priority": 2}])
}

/// Returns an order with a key.
pub fn order_request(id: &str, key: &str) -> Request {
    Request::new("POST", ORDER, id)
        .with_header("Credential", key)
        .with_header("Tenant", "root")
        .with_body("x")
}

/// Sends an order with a key.
pub fn order(cluster: &Cluster, host: u16, id: &str, key: &str) -> Answer {
    order_request(id, key).send(cluster.caller_address(host))
}

#[test]
fn an_endpoint_gets_the_name_of_the_account_and_not_its_key() {
    let cluster = Cluster::start(1, 1);
    apply(&cluster, 1, 2, two_accounts());
    assert_eq!(order(&cluster, 0, "o1", "key-a2").status, 200);
    let run = &cluster.runs("o1")[0];
    assert_eq!(run.header("tenant"), Some("ada"));
    assert_eq!(run.header("credential"), None);
    // Nothing of a key is logged either.
    assert!(!cluster.log(0).contains("key-a2"));
}

#[test]
fn a_request_without_a_key_of_an_account_is_not_run() {
    let cluster = Cluster::start(1, 1);
    apply(&cluster, 1, 2, two_accounts());
    assert_eq!(order(&cluster, 0, "o1", "key-c").status, 401);
    let bare = Request::new("POST", ORDER, "o2").with_body("x");
    assert_eq!(bare.send(cluster.caller_address(0)).status, 401);
    assert!(cluster.runs("o1").is_empty() && cluster.runs("o2").is_empty());
}

#[test]
fn a_public_route_needs_no_key_and_passes_none_on() {
    let cluster = Cluster::start(1, 1);
    apply(&cluster, 1, 2, two_accounts());
    let request = Request::new("GET", SAFE, "g1")
        .with_header("Credential", "key-c")
        .with_header("Tenant", "root");
    assert_eq!(request.send(cluster.caller_address(0)).status, 200);
    let run = &cluster.runs("g1")[0];
    assert_eq!(
        (run.header("tenant"), run.header("credential")),
        (None, None)
    );
}

#[test]
fn a_withdrawn_key_is_refused_and_a_new_one_accepted() {
    let cluster = Cluster::start(2, 1);
    apply(&cluster, 2, 2, two_accounts());
    assert_eq!(order(&cluster, 1, "o1", "key-a1").status, 200);
    apply(
        &cluster,
        2,
        3,
        json!([{"Name": "ada", "ApiKeys": ["key-a3"]}]),
    );
    for host in 0..2 {
        assert_eq!(
            order(&cluster, host, &format!("o2-{host}"), "key-a1").status,
            401
        );
        assert_eq!(
            order(&cluster, host, &format!("o3-{host}"), "key-a3").status,
            200
        );
    }
}

#[test]
fn a_document_whose_accounts_share_a_key_does_not_replace_the_previous_one() {
    let cluster = Cluster::start(1, 1);
    apply(&cluster, 1, 2, two_accounts());
    let shared =
        json!([{"Name": "ada", "ApiKeys": ["key-a1"]}, {"Name": "bob", "ApiKeys": ["key-a1"]}]);
    let document = document_with_accounts(3, shared);
    cluster
        .store
        .state()
        .put("op", "config", document.as_bytes());
    eventually(START_TIMEOUT, "the document is rejected", || {
        cluster.log(0).contains("hold the same key")
    });
    assert_eq!(cluster.environment_version(0), Some(2));
    assert_eq!(order(&cluster, 0, "o1", "key-a1").status, 200);
}

// Another account's chain would tell what that account's callers said.
#[test]
fn a_turn_of_another_account_does_not_exist() {
    let cluster = Cluster::start(2, 1);
    apply(&cluster, 2, 2, two_accounts());
    let send = |host, id: &str, key: &str, previous: Option<&str>| {
        let request = turn(KEPT_TURN, id, "p", 900).with_header("Credential", key);
        let request = match previous {
            Some(previous) => request.with_header("Previous-Turn", previous),
            None => request,
        };
        request
            .with_body("text ")
            .send(cluster.caller_address(host))
            .status
    };
    assert_eq!(send(0, "t1", "key-a1", None), 200);
    assert_eq!(send(0, "t2", "key-b", Some("t1")), 404);
    assert_eq!(send(1, "t3", "key-b", Some("t1")), 404);
    assert_eq!(send(1, "t4", "key-a2", Some("t1")), 200);
    assert!(cluster.runs("t2").is_empty() && cluster.runs("t3").is_empty());
}

// A limit was kept by no host: an account could send any number of requests through all of them.
#[test]
fn all_hosts_together_keep_the_limit_of_an_account() {
    const HOSTS: u16 = 3;
    const REQUESTS: u16 = 120;
    let cluster = Cluster::start(HOSTS, 1);
    let accounts = json!([{"Name": "ada", "ApiKeys": ["key-a1"], "RatePerS": 2, "Burst": 10},
        {"Name": "bob", "ApiKeys": ["key-b"], "RatePerS": 1_000, "Burst": 1_000}]);
    apply(&cluster, HOSTS, 2, accounts);
    let began = std::time::Instant::now();
    let mut statuses = Vec::new();
    for number in 0..REQUESTS {
        let answer = order(&cluster, number % HOSTS, &format!("o{number}"), "key-a1");
        if answer.status == 429 {
            assert!(answer.header("retry-after").is_some(), "{answer:?}");
            assert!(cluster.runs(&format!("o{number}")).is_empty());
        }
        statuses.push(answer.status);
    }
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert!(statuses.iter().all(|status| matches!(status, 200 | 429)));
    // The tolerance of the platform: a tenth of the limit and 20 requests.
    let seconds = began.elapsed().as_secs_f64();
    let bound = (2.0 * seconds + 10.0) * 1.1 + 20.0;
    assert!(served as f64 <= bound, "{served} of {bound}");
    assert!(served < usize::from(REQUESTS));
    // Another account is not affected.
    for host in 0..HOSTS {
        assert_eq!(
            order(&cluster, host, &format!("b{host}"), "key-b").status,
            200
        );
    }
}

// The hosts that the meter failed for must not refuse what the limit holds.
#[test]
fn a_limit_outlives_the_host_that_meters_it() {
    const HOSTS: u16 = 3;
    let mut cluster = Cluster::start(HOSTS, 1);
    let accounts = json!([{"Name": "ada", "ApiKeys": ["key-a1"], "RatePerS": 50, "Burst": 50}]);
    apply(&cluster, HOSTS, 2, accounts);
    let send =
        |cluster: &Cluster, host: u16, id: String| order(cluster, host, &id, "key-a1").status;
    assert_eq!(send(&cluster, 0, "before".into()), 200);
    for killed in 0..HOSTS {
        cluster.kill(killed);
        let other = (killed + 1) % HOSTS;
        eventually(
            START_TIMEOUT,
            "a request is admitted without the host",
            || {
                send(
                    &cluster,
                    other,
                    format!("o{killed}-{}", rand::random::<u32>()),
                ) == 200
            },
        );
        cluster.spawn(killed);
        cluster.eventually_ready(killed);
    }
}
