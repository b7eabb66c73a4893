//! What operators change, and how a gateway starts, stops and reads its settings.

use std::process::Command;

use nix::sys::signal::Signal;

use crate::cluster::{START_MAX, eventually};
use crate::gateway::cluster::{Cluster, ORDER, PLAIN_TURN, SAFE, document, turn};
use crate::gateway::http::{Connection, Request};

#[test]
fn a_document_that_is_older_is_not_adopted() {
    let cluster = Cluster::start(1, 1);
    let put = |version, timeout| {
        let text = document(version, timeout);
        cluster.store.state().put("op", "config", text.as_bytes());
    };
    put(9, 400);
    eventually(START_MAX, "the new document is in force", || {
        cluster.log(0).contains("\"version\":9")
    });
    put(5, 3_000);
    // A later one shows that the older one has been read.
    put(10, 400);
    eventually(START_MAX, "the next document is in force", || {
        cluster.log(0).contains("\"version\":10")
    });
    assert!(!cluster.log(0).contains("\"version\":5,"));
    cluster.desks[0].state().pause_ms = 2_000;
    let answer = Request::new("POST", ORDER, "r1").send(cluster.callers(0));
    assert_eq!(answer.status, 504);
}

#[test]
fn a_row_that_cannot_be_read_changes_nothing() {
    let cluster = Cluster::start(1, 1);
    {
        let mut store = cluster.store.state();
        store.put("op", "config", b"{\"Version\": 7");
        store.put(
            "servers",
            "odd",
            b"{\"Service\":\"desk\",\"Slots\":\"many\"}",
        );
    }
    eventually(START_MAX, "both are in the log", || {
        let log = cluster.log(0);
        log.contains("environment cannot be read") && log.contains("endpoint entry ignored")
    });
    let answer = Request::new("GET", SAFE, "r1").send(cluster.callers(0));
    assert_eq!(answer.status, 200);
}

#[test]
fn a_draining_worker_gets_nothing_new() {
    let cluster = Cluster::start(1, 2);
    let entry = cluster.desks[0].registry_entry("desk", "z0", "draining");
    cluster
        .store
        .state()
        .put("servers", "desk-0", entry.as_bytes());
    eventually(START_MAX, "the news is known", || {
        cluster.log(0).contains("endpoint draining")
    });
    for number in 0..20 {
        let answer = Request::new("GET", SAFE, &format!("r{number}")).send(cluster.callers(0));
        assert_eq!(answer.status, 200);
    }
    assert!(cluster.desks[0].state().runs.is_empty());
}

#[test]
fn forgotten_history_is_read_anew() {
    let cluster = Cluster::start(1, 1);
    {
        let mut store = cluster.store.state();
        let entry = cluster.desks[0].registry_entry("desk", "z0", "draining");
        store.put("servers", "desk-0", entry.as_bytes());
        store.truncate_history();
    }
    eventually(START_MAX, "the news is known", || {
        cluster.log(0).contains("endpoint draining")
    });
}

#[test]
fn stopping_cuts_off_nothing() {
    let mut cluster = Cluster::start(1, 1);
    cluster.models[0].state().pause_ms = 400;
    let mut idle = Connection::open(cluster.callers(0));
    assert_eq!(
        idle.send(&Request::new("GET", SAFE, "r0").bytes()).status,
        200
    );
    let address = cluster.callers(0);
    let running = std::thread::spawn(move || turn(PLAIN_TURN, "t1", "p", 900).send(address));
    eventually(START_MAX, "the turn runs", || {
        !cluster.runs("t1").is_empty()
    });
    cluster.signal(0, Signal::SIGTERM);
    eventually(START_MAX, "the gateway is not ready", || {
        cluster
            .status(0, "/-/readyz")
            .is_some_and(|answer| answer.status == 503)
    });
    // What still comes is served, on a connection that then ends.
    let answer = idle.send(&Request::new("GET", SAFE, "r1").bytes());
    assert_eq!(answer.status, 200);
    assert!(idle.is_closed());
    let answer = running.join().unwrap();
    assert_eq!((answer.status, answer.whole), (200, true));
    assert!(cluster.wait(0).success());
}

#[test]
fn requests_that_come_until_the_end_are_answered() {
    let mut cluster = Cluster::start(1, 1);
    cluster.desks[0].state().pause_ms = 150;
    // The last writes of the gateway take their time.
    assert_eq!(
        turn(PLAIN_TURN, "t0", "p", 900)
            .send(cluster.callers(0))
            .status,
        200
    );
    cluster.store.state().knobs.slow_ms = 150;
    cluster.signal(0, Signal::SIGTERM);
    let mut callers = Vec::new();
    for number in 0.. {
        let address = cluster.callers(0);
        if std::net::TcpStream::connect(address).is_err() {
            break;
        }
        let id = format!("r{number}");
        let caller = std::thread::spawn(move || {
            let Ok(stream) = std::net::TcpStream::connect(address) else {
                return (id, None);
            };
            let request = Request::new("GET", SAFE, &id).bytes();
            let answer = Connection::from(stream).send(&request);
            (id, Some(answer))
        });
        callers.push(caller);
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
    assert!(cluster.wait(0).success());
    assert!(callers.len() > 100, "{}", callers.len());
    for caller in callers {
        let (id, answer) = caller.join().unwrap();
        let answered = answer.is_some_and(|answer| answer.status == 200 && answer.whole);
        assert!(answered || cluster.runs(&id).is_empty(), "{id} was cut off");
    }
}

#[test]
fn settings_are_read_again_and_bad_ones_change_nothing() {
    let cluster = Cluster::start(1, 1);
    let file = cluster.file(0).to_owned();
    let text = std::fs::read_to_string(&file).unwrap();
    std::fs::write(&file, text.replace("[zones]", "[zones]\nz2 = south")).unwrap();
    cluster.signal(0, Signal::SIGHUP);
    eventually(START_MAX, "the settings are read again", || {
        cluster.log(0).contains("settings read again")
    });
    std::fs::write(&file, text.replace("[zones]", "[zonnes]")).unwrap();
    cluster.signal(0, Signal::SIGHUP);
    eventually(START_MAX, "the bad settings are refused", || {
        cluster.log(0).contains("settings not accepted")
    });
    let answer = Request::new("GET", SAFE, "r1").send(cluster.callers(0));
    assert_eq!(answer.status, 200);
}

#[test]
fn bad_settings_end_the_start_with_their_place() {
    let cluster = Cluster::start(1, 1);
    let text = std::fs::read_to_string(cluster.file(0)).unwrap();
    let bad = [
        (
            "stop-within-seconds = 6",
            "stop-within-seconds = 0",
            "stop-within-seconds",
        ),
        ("peer-key = ", "peer-key = x", "peer-key"),
        ("region = north", "region = North", "region"),
        ("[platform]", "[platfrom]", "platfrom"),
        ("z0 = north", "Z0 = north", "Z0"),
    ];
    for (good, changed, place) in bad {
        let file = cluster.file(0).with_extension("bad.ini");
        std::fs::write(&file, text.replacen(good, changed, 1)).unwrap();
        let output = Command::new(env!("CARGO_BIN_EXE_balsamhold"))
            .args(["gateway", "--settings"])
            .arg(&file)
            .output()
            .unwrap();
        std::fs::remove_file(&file).unwrap();
        assert_eq!(output.status.code(), Some(2));
        let error = String::from_utf8(output.stderr).unwrap();
        assert!(error.contains(place) && error.contains(".ini:"), "{error}");
    }
}

#[test]
fn metrics_count_what_became_of_requests() {
    let cluster = Cluster::start(1, 1);
    Request::new("GET", SAFE, "r1").send(cluster.callers(0));
    Request::new("GET", "/nowhere/", "r2").send(cluster.callers(0));
    let page = cluster.status(0, "/metrics").unwrap().text();
    for line in [
        "balsamhold_gateway_requests_total{code=\"answered\"} 1",
        "balsamhold_gateway_requests_total{code=\"no-route\"} 1",
        "balsamhold_gateway_request_seconds_count 1",
    ] {
        assert!(page.contains(line), "{page}");
    }
}

#[test]
fn a_kept_connection_carries_one_request_after_the_other() {
    let cluster = Cluster::start(1, 1);
    let mut connection = Connection::open(cluster.callers(0));
    for number in 0..10 {
        let id = format!("r{number}");
        let answer = connection.send(&Request::new("GET", SAFE, &id).bytes());
        assert_eq!(answer.text(), format!("answer to {id}"));
    }
    // The way to the worker is kept as well.
    assert_eq!(cluster.desks[0].state().accepted, 1);
}
