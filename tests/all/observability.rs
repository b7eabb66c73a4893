//! Traces reach from the caller to the endpoint, metrics have their documented names, and secrets
//! are not shown.

use std::collections::BTreeMap;
use std::time::Duration;

use http_types::{Body, Method};
use serde_json::{Value, json};

use crate::cluster::{Cluster, Config, PEER_KEY, eventually};

/// Bound for log lines to be written.
const LOG_MAX: Duration = Duration::from_secs(5);

const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";
const CALLER_SPAN: &str = "b7ad6b7169203331";
const METRICS_PAGE: &str = include_str!("../../docs/operators/metrics.md");
const PEER_ERROR_SOURCE: &str = include_str!("../../crates/wire/src/error.rs");
const PROCESSES: [&str; 4] = [
    "entry-0",
    "entry-1",
    "sidecar-engine-0",
    "sidecar-service-0",
];

/// Sends a request with a trace header and returns the body of the response.
fn send(address: std::net::SocketAddr, request: (Method, &str), call: Option<Value>) -> String {
    let client = http_io::Client::new(address, LOG_MAX).with_bearer("meche-token");
    let mut request = client.request(request.0, request.1).unwrap();
    request.insert_header("traceparent", format!("00-{TRACE}-{CALLER_SPAN}-01"));
    if let Some(call) = call {
        request.set_body(Body::from_string(call.to_string()));
    }
    let bytes = smol::block_on(client.fetch_body(request)).unwrap();
    String::from_utf8(bytes).unwrap()
}

/// Reads the spans of the trace from all logs; returns hop and parent span of each.
fn spans(cluster: &Cluster) -> BTreeMap<String, (String, String)> {
    let logs = PROCESSES.map(|name| cluster.log(name)).concat();
    let lines = logs
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let spans = lines.filter(|line| line["msg"] == "span" && line["trace"] == TRACE);
    let text = |span: &Value, key: &str| span[key].as_str().unwrap().to_owned();
    let span = |span: Value| {
        (
            text(&span, "span"),
            (text(&span, "hop"), text(&span, "parent")),
        )
    };
    spans.map(span).collect()
}

/// Returns the hops from the caller to each span without children, in alphabetical order.
fn paths(spans: &BTreeMap<String, (String, String)>) -> Vec<String> {
    let path = |span: &String| {
        let mut path = Vec::new();
        let mut current = span.clone();
        while current != CALLER_SPAN {
            let (hop, parent) = spans
                .get(&current)
                .unwrap_or_else(|| panic!("no span {current}: {spans:?}"));
            path.insert(0, hop.clone());
            current.clone_from(parent);
        }
        path.join(">")
    };
    let is_leaf = |span: &&String| !spans.values().any(|(_, parent)| parent == *span);
    let mut paths: Vec<String> = spans.keys().filter(is_leaf).map(path).collect();
    paths.sort();
    paths
}

#[test]
fn spans_of_calls_nest_below_the_callers() {
    let cluster = Config::new().with_engines(1).start();
    let program = cluster.caller(0, "meche").create("reorder", 5_000, 20);
    let path = format!("/v1/programs/{program}/calls");
    let calls = [
        json!({"seq": 1, "model": "advisor", "input": "Which wax?", "max_tokens": 4}),
        json!({"seq": 2, "service": "stock", "input": "reserve 2 pallets"}),
    ];
    // Sent to the entry that does not own the program, so that forwarding is covered.
    for call in calls {
        send(cluster.caller_address(1), (Method::Post, &path), Some(call));
    }
    let expected = [
        // Appends: tranche and turn of the model call, intent and turn of the order.
        "entry>append",
        "entry>append",
        "entry>append",
        "entry>append",
        "entry>sidecar>endpoint",
        "entry>sidecar>endpoint",
    ];
    eventually(LOG_MAX, "all spans are written", || {
        spans(&cluster).len() >= 10
    });
    assert_eq!(paths(&spans(&cluster)), expected);
}

#[test]
fn metrics_have_their_documented_names() {
    let cluster = Config::new().with_engines(1).start();
    let caller = cluster.caller(0, "meche");
    let program = caller.create("advisor", 5_000, 20);
    assert!(caller.model(&program, 1, "Which wax?", 4).is_complete());
    caller.model(&program, 9, "gap", 4);
    let metrics = send(cluster.admin_address(0), (Method::Get, "/metrics"), None);
    for line in [
        "balsamhold_entry_requests_total{code=\"answered\"} 2",
        "balsamhold_entry_requests_total{code=\"gap\"} 1",
        "balsamhold_entry_programs_count 1",
        "balsamhold_entry_document_version 1",
        "balsamhold_entry_endpoints_count 2",
        "balsamhold_entry_hosts_unreachable_count 0",
        "balsamhold_entry_request_seconds_count 3",
    ] {
        assert!(
            metrics.lines().any(|found| found == line),
            "{line} in\n{metrics}"
        );
    }
    let names = metrics.lines().filter(|line| line.starts_with("# TYPE "));
    for name in names.map(|line| line.split(' ').nth(2).unwrap()) {
        assert!(
            METRICS_PAGE.contains(&format!("`{name}`")),
            "{name} is not on the operators' page"
        );
    }
}

/// Covers events that no test causes: looks for every counter in the sources.
#[test]
fn every_event_that_is_counted_is_on_the_operators_page() {
    let labels = PEER_ERROR_SOURCE.split("\"peer-").skip(1);
    let labels: Vec<String> = labels
        .map(|rest| format!("peer-{}", rest.split('"').next().unwrap()))
        .collect();
    for area in ["entry", "sidecar"] {
        let sources = concat!(env!("CARGO_MANIFEST_DIR"), "/crates/");
        let files = std::fs::read_dir(format!("{sources}{area}/src")).unwrap();
        let text = files.map(|file| std::fs::read_to_string(file.unwrap().path()).unwrap());
        let text: String = text.collect();
        let counted = text.split(".count(\"").skip(1);
        let counted = counted.map(|rest| rest.split('"').next().unwrap().to_owned());
        for event in counted.chain(labels.clone()) {
            let name = format!("`balsamhold_{area}_{}_total`", event.replace('-', "_"));
            assert!(
                METRICS_PAGE.contains(&name),
                "{name} is not on the operators' page"
            );
        }
    }
}

#[test]
fn secrets_get_into_no_log_metric_or_refusal() {
    const INPUT: &str = "reserve for Mme Perrine";
    let cluster = Config::new().with_engines(1).start();
    let caller = cluster.caller(0, "meche");
    let program = caller.create("reorder", 5_000, 20);
    assert!(caller.service(&program, 1, "stock", INPUT).is_complete());
    assert!(caller.model(&program, 2, INPUT, 4).is_complete());
    let mut shown = caller.model(&program, 9, INPUT, 4).last_line.to_string();
    let stranger = cluster.caller(0, "stranger");
    let path = format!("/v1/programs/{program}/calls");
    let refusal = stranger.request("POST", &path, Some(INPUT)).unwrap();
    assert_eq!(refusal.0, 401);
    shown += &refusal.1.to_string();
    shown += &send(cluster.admin_address(0), (Method::Get, "/metrics"), None);
    shown += &PROCESSES.map(|name| cluster.log(name)).concat();
    for path in ["status", "top", "accounts", "programs", "audit"] {
        let path = format!("/v1/{path}");
        shown += &cluster
            .operator_request(0, "GET", &path, None)
            .unwrap()
            .1
            .to_string();
    }
    for secret in [
        INPUT,
        "meche-token",
        "stranger-token",
        "operator-token",
        PEER_KEY,
    ] {
        assert!(!shown.contains(secret), "{secret}");
    }
}
