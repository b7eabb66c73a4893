//! Limits that endpoints name for the rate of requests from all hosts together.

use std::time::{Duration, Instant};

use crate::cluster::{START_TIMEOUT, eventually};
use crate::gateway::cluster::{Cluster, ORDER};
use crate::gateway::http::{Answer, Request};

fn set_limit(cluster: &Cluster, limit: &str) {
    for desk in &cluster.desks {
        desk.state().limit = limit.into();
    }
}

fn send(cluster: &Cluster, gateway: u16, number: &mut u64) -> Answer {
    *number += 1;
    Request::new("POST", ORDER, &format!("r{number}"))
        .with_header("Deadline-Ms", "1000")
        .send(cluster.caller_address(gateway))
}

fn run_count(cluster: &Cluster) -> usize {
    let desks = cluster.desks.iter();
    desks.map(|desk| desk.state().runs.len()).sum()
}

#[test]
fn hosts_together_do_not_exceed_the_limit_of_an_endpoint() {
    let cluster = Cluster::start(3, 1);
    eventually(START_TIMEOUT, "the hosts know each other", || {
        (0..3).all(|gateway| cluster.log(gateway).matches("peer listed").count() >= 3)
    });
    set_limit(&cluster, "5");
    let mut number = 0;
    for gateway in 0..3 {
        assert_eq!(send(&cluster, gateway, &mut number).status, 200);
    }
    let (started, runs_before) = (Instant::now(), run_count(&cluster));
    while started.elapsed() < Duration::from_secs(4) {
        for gateway in 0..3 {
            let answer = send(&cluster, gateway, &mut number);
            assert!(matches!(answer.status, 200 | 503), "{answer:?}");
        }
    }
    let runs = (run_count(&cluster) - runs_before) as f64;
    let allowed = 1.5 * 5.0 * started.elapsed().as_secs_f64() + 5.0;
    assert!(runs >= 1.0 && runs <= allowed, "{runs} of {allowed}");
    set_limit(&cluster, "");
    eventually(START_TIMEOUT, "the limit has ended", || {
        send(&cluster, 0, &mut number);
        cluster.log(0).contains("endpoint no longer limited")
    });
}

#[test]
fn request_beyond_a_limit_is_refused_at_once_with_the_time_to_return() {
    let cluster = Cluster::start(1, 1);
    eventually(START_TIMEOUT, "the host is listed", || {
        cluster.log(0).contains("peer listed")
    });
    set_limit(&cluster, "0");
    let mut number = 0;
    assert_eq!(send(&cluster, 0, &mut number).status, 200);
    let answer = send(&cluster, 0, &mut number);
    assert_eq!(answer.status, 503);
    assert!(answer.text().contains("endpoints-limited"), "{answer:?}");
    assert!(answer.header("retry-after").is_some(), "{answer:?}");
    assert_eq!(run_count(&cluster), 1);
}

#[test]
fn limit_that_cannot_be_read_is_reported_and_ignored() {
    let cluster = Cluster::start(1, 1);
    set_limit(&cluster, "-3 or so");
    let mut number = 0;
    for _ in 0..20 {
        assert_eq!(send(&cluster, 0, &mut number).status, 200);
    }
    eventually(START_TIMEOUT, "the limit is reported", || {
        cluster.log(0).contains("limit cannot be read")
    });
}
