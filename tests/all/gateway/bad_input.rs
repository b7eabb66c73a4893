//! Requests that are malformed, or crafted so that two parsers read them differently.

use crate::cases;
use crate::gateway::cluster::{Cluster, KEPT_TURN, ORDER, SAFE, turn};
use crate::gateway::http::{Connection, Request};

/// A request and the response expected for it.
struct Case {
    bytes: Vec<u8>,
    status: u16,
    /// Whether the gateway closes the connection after its response.
    closes: bool,
}

fn check_refusal(case: Case) {
    let cluster = Cluster::start(1, 1);
    let mut connection = Connection::open(cluster.caller_address(0));
    let answer = connection.send(&case.bytes);
    assert_eq!(answer.status, case.status, "{answer:?}");
    if case.closes {
        assert!(connection.is_closed());
    } else {
        let again = connection.send(&Request::new("GET", SAFE, "again").bytes());
        assert_eq!(again.status, 200);
    }
    for worker in cluster.desks.iter().chain(&cluster.models) {
        let runs = worker.state().runs.clone();
        assert!(runs.iter().all(|run| run.id == "again"), "{runs:?}");
    }
}

fn with_crlf(text: &str) -> Vec<u8> {
    text.replace('\n', "\r\n").into_bytes()
}

/// A request that runs if a parser takes the body of the outer request for a second request.
const INNER_REQUEST: &str = "POST /order/a HTTP/1.1\nHost: shop.example\nRequest-Id: inner\n\n";

/// Returns a request with two contradicting headers for the length of its body.
fn two_framings(first: &str, second: &str) -> Vec<u8> {
    with_crlf(&format!(
        "POST /order/a HTTP/1.1\nHost: shop.example\nRequest-Id: outer\n{first}\n{second}\n\n0\n\n{INNER_REQUEST}"
    ))
}

cases!(check_refusal;
    no_request_id: Case {
        bytes: with_crlf("GET /look/a HTTP/1.1\nHost: shop.example\n\n"),
        status: 400, closes: true },
    not_http: Case { bytes: with_crlf("hello\n\n"), status: 400, closes: true },
    length_then_chunks: Case {
        bytes: two_framings("Content-Length: 5", "Transfer-Encoding: chunked"),
        status: 400, closes: true },
    chunks_then_length: Case {
        bytes: two_framings("Transfer-Encoding: chunked", "Content-Length: 5"),
        status: 400, closes: true },
    two_lengths: Case {
        bytes: two_framings("Content-Length: 5", "Content-Length: 6"), status: 400, closes: true },
    bad_chunk: Case {
        bytes: with_crlf("POST /order/a HTTP/1.1\nHost: shop.example\nRequest-Id: r\n\
            Transfer-Encoding: chunked\n\nzz\n\n"),
        status: 400, closes: true },
    head_too_long: Case {
        bytes: Request::new("GET", SAFE, "r").with_header("X-Long", &"x".repeat(17_000)).bytes(),
        status: 431, closes: true },
    body_too_long: Case {
        bytes: with_crlf("POST /order/a HTTP/1.1\nHost: shop.example\nRequest-Id: r\n\
            Content-Length: 200000\n\n"),
        status: 413, closes: true },
    unknown_path: Case {
        bytes: Request::new("GET", "/nowhere/a", "r").bytes(), status: 404, closes: false },
    unknown_host: Case {
        bytes: with_crlf("GET /look/a HTTP/1.1\nHost: other.example\nRequest-Id: r\n\n"),
        status: 404, closes: false },
    blank_previous_turn: Case {
        bytes: turn(KEPT_TURN, "r", "p", 9).with_header("Previous-Turn", " ").bytes(),
        status: 400, closes: true },
    deadline_that_is_no_number: Case {
        bytes: Request::new("GET", SAFE, "r").with_header("Deadline-Ms", "soon").bytes(),
        status: 400, closes: true },
    unknown_turn: Case {
        bytes: turn(KEPT_TURN, "r", "p", 900).with_header("Previous-Turn", "nobody").bytes(),
        status: 404, closes: false },
    spent_budget: Case { bytes: turn(KEPT_TURN, "r", "p", 9).bytes(), status: 402, closes: false },
);

#[test]
fn headers_reserved_for_the_gateway_are_not_forwarded() {
    let cluster = Cluster::start(1, 1);
    let reserved = ["Kv-Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Kv-Fetch"];
    let request = Request::new("POST", ORDER, "r1")
        .with_header("Expect-Instance", "forged")
        .with_header("Request-Urgency", "0")
        .with_header("X-Own", "kept")
        .with_header("Connection", "x-hop")
        .with_header("X-Hop", "dropped")
        .with_header("Deadline-Ms", "900")
        .with_body("body");
    let request = reserved
        .into_iter()
        .fold(request, |request, name| request.with_header(name, "9"));
    assert_eq!(request.send(cluster.caller_address(0)).status, 200);
    let run = &cluster.runs("r1")[0];
    assert_eq!(run.request_line, "POST /order/a HTTP/1.1");
    assert_eq!(run.body, b"body");
    assert_eq!(run.header("x-own"), Some("kept"));
    assert_eq!(run.header("x-hop"), None);
    assert_eq!(run.header("expect-instance"), Some("desk-0"));
    assert_eq!(run.header("request-urgency"), None);
    for name in reserved {
        assert_eq!(run.header(&name.to_ascii_lowercase()), None, "{name}");
    }
    let remaining_ms: u64 = run.header("deadline-ms").unwrap().parse().unwrap();
    assert!(remaining_ms <= 900);
}
