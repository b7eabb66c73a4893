//! Streams that callers resume while endpoints of several releases serve.

use std::time::Duration;

use nix::sys::signal::Signal;
use standins::platform::Knobs;
use standins::worker::{ERROR_TEXT, Fault};

use crate::cases;
use crate::cluster::{START_TIMEOUT, eventually};
use crate::gateway::cluster::{Cluster, PLAIN_TURN, RESUMABLE_TURN, turn};
use crate::gateway::http::{Answer, Request};

const GATEWAYS: u16 = 2;
/// How late a host that is out of step receives what the store sends.
const OUT_OF_STEP: Duration = Duration::from_millis(600);
const STREAMS: usize = 12;
/// Number of the last event that a caller has of a stream that broke off.
const LAST_EVENT: &str = "3";

/// Starts gateways and four model workers, of which the first two are of release `v1` and listed.
fn start() -> Cluster {
    let cluster = Cluster::start(GATEWAYS, 4);
    for worker in &cluster.models[2..] {
        worker.state().release = "v2".into();
        cluster.store.state().delete_row("servers", &worker.id);
    }
    eventually(START_TIMEOUT, "one release is listed", || {
        (0..GATEWAYS).all(|gateway| cluster.log(gateway).matches("endpoint gone").count() == 2)
    });
    cluster
}

/// Lists the workers of the release `v2` as well.
fn release(cluster: &Cluster) {
    for worker in &cluster.models[2..] {
        let entry = worker.registry_entry("models", "z0", "ready");
        let mut store = cluster.store.state();
        store.put("servers", &worker.id, entry.as_bytes());
    }
    eventually(START_TIMEOUT, "both releases are listed", || {
        (0..GATEWAYS).all(|gateway| {
            let log = cluster.log(gateway);
            log.matches("\"release\":\"v2\"").count() >= 2
        })
    });
}

/// Ends the release `v1`: its workers get the state, or are no longer listed.
fn stop_release(cluster: &Cluster, state: Option<&str>) {
    for worker in &cluster.models[..2] {
        let entry = state.map(|state| worker.registry_entry("models", "z0", state));
        let mut store = cluster.store.state();
        match entry {
            Some(entry) => store.put("servers", &worker.id, entry.as_bytes()),
            None => store.delete_row("servers", &worker.id),
        }
    }
    // The workers of `v2` were removed from the list before.
    let (line, count) = state.map_or(("endpoint gone", 4), |_| ("endpoint draining", 2));
    eventually(START_TIMEOUT, "the first release has ended", || {
        (0..GATEWAYS).all(|gateway| cluster.log(gateway).matches(line).count() == count)
    });
}

/// Begins a stream at the first gateway that breaks off in its last event.
fn begin(cluster: &Cluster, id: &str) -> Answer {
    begin_at(cluster, 0, id)
}

/// Begins a stream that breaks off in its last event.
fn begin_at(cluster: &Cluster, gateway: u16, id: &str) -> Answer {
    for worker in &cluster.models {
        worker.state().faults = [Fault::Truncated].into();
    }
    let request = turn(RESUMABLE_TURN, id, &format!("program-{id}"), 900).with_body("body");
    let answer = request.send(cluster.caller_address(gateway));
    assert_eq!(
        (answer.status, answer.is_complete),
        (200, false),
        "{answer:?}"
    );
    for worker in &cluster.models {
        worker.state().faults.clear();
    }
    answer
}

fn resumption(id: &str, program: &str, resumed: &str) -> Request {
    let request = turn(RESUMABLE_TURN, id, program, 900)
        .with_body("body")
        .with_header("Last-Event-Id", LAST_EVENT);
    match resumed {
        "" => request,
        resumed => request.with_header("Resumes", resumed),
    }
}

/// Resumes the stream `stream-NUMBER` at a gateway.
fn resume(cluster: &Cluster, gateway: u16, number: usize) -> Answer {
    let stream = format!("stream-{number}");
    let request = resumption(
        &format!("resumed-{number}"),
        &format!("program-{stream}"),
        &stream,
    );
    request.send(cluster.caller_address(gateway))
}

/// Checks that resumed streams went on at release `v1` or were refused without a run; returns how
/// many went on.
fn count_resumed(cluster: &Cluster, answers: &[Answer]) -> usize {
    for worker in &cluster.models[2..] {
        let runs = worker.state().runs.clone();
        let joined = runs.iter().find(|run| run.id.starts_with("resumed-"));
        assert_eq!(joined, None, "joined at another release");
    }
    for (number, answer) in answers.iter().enumerate() {
        let runs = cluster.runs(&format!("resumed-{number}")).len();
        let expected = usize::from(answer.status == 200);
        assert_eq!(runs, expected, "{answer:?}");
        assert!(matches!(answer.status, 200 | 503), "{answer:?}");
    }
    let resumed = answers.iter().filter(|answer| answer.status == 200);
    resumed.count()
}

fn restart_all(cluster: &mut Cluster) {
    for gateway in 0..GATEWAYS {
        cluster.signal(gateway, Signal::SIGKILL);
    }
    for gateway in 0..GATEWAYS {
        cluster.wait_for_exit(gateway);
        cluster.spawn(gateway);
    }
    for gateway in 0..GATEWAYS {
        cluster.eventually_ready(gateway);
    }
}

#[test]
fn streams_go_on_at_their_release_after_all_hosts_were_killed() {
    let mut cluster = start();
    for number in 0..STREAMS {
        begin(&cluster, &format!("stream-{number}"));
    }
    release(&cluster);
    restart_all(&mut cluster);
    eventually(START_TIMEOUT, "both releases are listed", || {
        (0..GATEWAYS).all(|gateway| {
            let log = cluster.log(gateway);
            let (_, log) = log
                .rsplit_once("gateway started")
                .expect("a line of the start");
            log.matches("endpoint added").count() >= 6
        })
    });
    let answers: Vec<Answer> = (0..STREAMS)
        .map(|number| resume(&cluster, (number % 2) as u16, number))
        .collect();
    let resumed = count_resumed(&cluster, &answers);
    assert!(2 * resumed >= STREAMS, "{resumed} of {STREAMS} went on");
}

#[test]
fn streams_go_on_at_their_release_at_another_host() {
    let cluster = start();
    for number in 0..STREAMS {
        begin(&cluster, &format!("stream-{number}"));
    }
    release(&cluster);
    let answers: Vec<Answer> = (0..STREAMS)
        .map(|number| resume(&cluster, 1, number))
        .collect();
    let resumed = count_resumed(&cluster, &answers);
    assert!(2 * resumed >= STREAMS, "{resumed} of {STREAMS} went on");
}

/// The release that began a stream ends, as its entries show it.
fn check_ended_release(state: Option<&'static str>) {
    let cluster = start();
    begin(&cluster, "stream-0");
    release(&cluster);
    stop_release(&cluster, state);
    let answer = resume(&cluster, 1, 0);
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.text().contains("\"ran\":\"no\""), "{answer:?}");
    assert_eq!(answer.header("retry-after"), None, "{answer:?}");
    assert_eq!(count_resumed(&cluster, &[answer]), 0);
}

cases!(check_ended_release;
    stream_whose_release_is_gone_is_refused: None,
    stream_whose_release_is_draining_is_refused: Some("draining"),
);

/// A request that resumes a stream of which the gateway cannot know the release.
struct Unknown {
    program: &'static str,
    resumed: &'static str,
    status: u16,
}

fn check_unknown_stream(case: Unknown) {
    let cluster = start();
    begin(&cluster, "stream-0");
    release(&cluster);
    for gateway in 0..GATEWAYS {
        let id = format!("resumed-{gateway}");
        let request = resumption(&id, case.program, case.resumed);
        let answer = request.send(cluster.caller_address(gateway));
        assert_eq!(answer.status, case.status, "{answer:?}");
        assert!(answer.text().contains("\"ran\":\"no\""), "{answer:?}");
        assert_eq!(cluster.runs(&id).len(), 0);
    }
}

cases!(check_unknown_stream;
    resumption_that_names_no_attempt_is_refused:
        Unknown { program: "program-stream-0", resumed: "", status: 503 },
    resumption_of_an_unknown_attempt_is_refused:
        Unknown { program: "program-stream-0", resumed: "stream-1", status: 503 },
    resumption_of_another_programs_attempt_is_refused:
        Unknown { program: "program-other", resumed: "stream-0", status: 503 },
    resumption_of_a_malformed_attempt_is_rejected:
        Unknown { program: "program-stream-0", resumed: "not an id", status: 400 },
);

#[test]
fn resumption_on_a_route_without_it_is_refused() {
    let cluster = start();
    let request = turn(PLAIN_TURN, "resumed-0", "program", 900)
        .with_body("body")
        .with_header("Last-Event-Id", LAST_EVENT)
        .with_header("Resumes", "stream-0");
    let answer = request.send(cluster.caller_address(0));
    assert_eq!((answer.status, cluster.runs("resumed-0").len()), (503, 0));
}

#[test]
fn resumption_at_another_host_without_the_store_is_refused_without_a_run() {
    let cluster = start();
    begin(&cluster, "stream-0");
    release(&cluster);
    cluster.store.state().knobs = Knobs {
        down: true,
        ..Knobs::default()
    };
    let answer = resume(&cluster, 1, 0);
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(count_resumed(&cluster, &[answer]), 0);
}

#[test]
fn stream_that_is_resumed_twice_goes_on_at_its_release_both_times() {
    let cluster = start();
    begin(&cluster, "stream-0");
    release(&cluster);
    for (gateway, id) in [(0, "resumed-0"), (1, "resumed-1")] {
        let request = resumption(id, "program-stream-0", "stream-0");
        let answer = request.send(cluster.caller_address(gateway));
        assert_eq!((answer.status, answer.is_complete), (200, true));
        assert_eq!(cluster.runs(id).len(), 1);
    }
    for worker in &cluster.models[2..] {
        assert!(worker.state().runs.is_empty());
    }
}

#[test]
fn error_of_the_next_worker_is_no_part_of_a_stream() {
    let cluster = start();
    for number in 0..STREAMS {
        let id = format!("stream-{number}");
        let program = format!("program-{id}");
        let begun = begin(&cluster, &id);
        assert!(!begun.text().contains(ERROR_TEXT), "{begun:?}");
        for worker in &cluster.models {
            worker.state().faults = [Fault::Failed].into();
        }
        let resumed = resumption(&format!("{id}-again"), &program, &id);
        let answer = resumed.send(cluster.caller_address(0));
        assert_eq!((answer.status, answer.text().as_str()), (500, ERROR_TEXT));
        assert_eq!(answer.header("response-seal"), None);
    }
}

/// A worker starts again under its identifier, of another release, which the store lists.
fn restart_as(cluster: &Cluster, worker: usize, release: &str) {
    let worker = &cluster.models[worker];
    worker.state().release = release.into();
    let entry = worker.registry_entry("models", "z0", "ready");
    let entry = entry.replace("\"born\":1", "\"born\":2");
    cluster
        .store
        .state()
        .put("servers", &worker.id, entry.as_bytes());
}

#[test]
fn host_out_of_step_joins_no_stream_to_an_endpoint_that_started_again() {
    let cluster = start();
    for number in 0..STREAMS {
        begin_at(&cluster, 1, &format!("stream-{number}"));
    }
    // What the host reads from the store is late from now on.
    cluster.store_link(1).delay(OUT_OF_STEP);
    restart_as(&cluster, 0, "v2");
    eventually(START_TIMEOUT, "the other host has the new entry", || {
        cluster.log(0).contains("endpoint restarted")
    });
    std::thread::scope(|scope| {
        for number in 0..STREAMS {
            let cluster = &cluster;
            scope.spawn(move || resume(cluster, 1, number));
        }
    });
    let runs = cluster.models[0].state().runs.clone();
    let joined = runs.iter().find(|run| run.id.starts_with("resumed-"));
    assert_eq!(joined, None, "joined at another release");
    cluster.store_link(1).delay(Duration::ZERO);
    let mut number = STREAMS;
    eventually(START_TIMEOUT, "streams go on at their release", || {
        number += 1;
        let id = format!("later-{number}");
        resumption(&id, "program-stream-0", "stream-0")
            .send(cluster.caller_address(1))
            .status
            == 200
    });
}

#[test]
fn host_out_of_step_joins_no_stream_of_a_release_that_it_has_not_seen() {
    let cluster = start();
    cluster.signal(1, Signal::SIGSTOP);
    for worker in &cluster.models[2..] {
        let entry = worker.registry_entry("models", "z0", "ready");
        let mut store = cluster.store.state();
        store.put("servers", &worker.id, entry.as_bytes());
    }
    eventually(START_TIMEOUT, "the new release is listed", || {
        cluster.log(0).matches("\"release\":\"v2\"").count() >= 2
    });
    let is_new = |number: usize| {
        let id = format!("stream-{number}");
        let workers = cluster.models[2..].iter();
        workers
            .flat_map(|worker| worker.state().runs.clone())
            .any(|run| run.id == id)
    };
    // New endpoints get few requests at first.
    let mut streams = 0;
    eventually(START_TIMEOUT, "streams begin at the new release", || {
        begin(&cluster, &format!("stream-{streams}"));
        streams += 1;
        streams >= STREAMS && (0..streams).any(is_new)
    });
    cluster.signal(1, Signal::SIGCONT);
    for number in 0..streams {
        resume(&cluster, 1, number);
        let expected = if is_new(number) { 2..4 } else { 0..2 };
        for (index, worker) in cluster.models.iter().enumerate() {
            let id = format!("resumed-{number}");
            let is_run = worker.state().runs.iter().any(|run| run.id == id);
            assert!(
                !is_run || expected.contains(&index),
                "{id} at worker {index}"
            );
        }
    }
}

#[test]
fn stream_that_a_host_out_of_step_began_is_joined_to_no_other_release() {
    let cluster = start();
    let begin = |id: &str, number: usize| {
        let request = turn(RESUMABLE_TURN, id, &format!("program-stream-{number}"), 900);
        let address = cluster.caller_address(1);
        request.with_body("body").send(address)
    };
    // The host then holds tokens of the programs, so that the next turns need no call of the store.
    for number in 0..STREAMS {
        assert_eq!(begin(&format!("first-{number}"), number).status, 200);
    }
    cluster.store_link(1).delay(OUT_OF_STEP);
    restart_as(&cluster, 0, "v2");
    eventually(START_TIMEOUT, "the other host has the new entry", || {
        cluster.log(0).contains("endpoint restarted")
    });
    for worker in &cluster.models {
        worker.state().faults = [Fault::Truncated; STREAMS].into();
    }
    std::thread::scope(|scope| {
        for number in 0..STREAMS {
            let begin = &begin;
            scope.spawn(move || begin(&format!("stream-{number}"), number));
        }
    });
    let has_run = |worker: usize, id: &str| {
        let runs = cluster.models[worker].state().runs.clone();
        runs.iter().any(|run| run.id == id)
    };
    let is_new = |number: usize| has_run(0, &format!("stream-{number}"));
    assert!((0..STREAMS).any(is_new), "no stream began at the new start");
    cluster.store_link(1).delay(Duration::ZERO);
    eventually(
        START_TIMEOUT,
        "the origins of the streams are written",
        || {
            cluster.log(1).contains("endpoint restarted") && {
                let rows = cluster.store.state().rows.clone();
                rows.keys()
                    .filter(|row| row.key.starts_with("stream-"))
                    .count()
                    == STREAMS
            }
        },
    );
    for worker in &cluster.models {
        worker.state().faults.clear();
    }
    for number in (0..STREAMS).filter(|number| is_new(*number)) {
        resume(&cluster, 0, number);
        let id = format!("resumed-{number}");
        assert!(!has_run(1, &id), "{id} joined at another release");
    }
}
