//! An accepted environment document takes effect on all hosts within seconds and is never reverted.

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use units::Digest;

use crate::cluster::{Cluster, Config, document, eventually};

/// Bound for an accepted document to be in force on all hosts; a requirement of the users.
const IN_FORCE_MAX: Duration = Duration::from_secs(5);

const IDLE_TIMEOUT_SECTION: &str = "[limits]\nidle-timeout = 2m\n";

/// Returns the version in force on all hosts, as listed by an entry, if it is the same on all.
fn common_version(cluster: &Cluster, entry: u16) -> Option<u64> {
    let status = cluster.status(entry);
    let hosts = status["hosts"].as_array()?;
    let version = hosts.first()?["version"].as_u64()?;
    let is_same = |host: &Value| host["version"].as_u64() == Some(version);
    hosts.iter().all(is_same).then_some(version)
}

#[track_caller]
fn eventually_in_force(cluster: &Cluster, entry: u16, version: u64) {
    let description = format!("version {version} in force everywhere, seen from entry {entry}");
    let start = Instant::now();
    eventually(IN_FORCE_MAX, &description, || {
        common_version(cluster, entry) == Some(version)
    });
    println!("{description}: after {} ms", start.elapsed().as_millis());
}

fn version(cluster: &Cluster, entry: u16) -> Option<u64> {
    cluster.status(entry)["version"].as_u64()
}

fn is_ready(cluster: &Cluster, entry: u16) -> bool {
    let answer = cluster.operator_request(entry, "GET", "/ready", None);
    answer.is_some_and(|(status, _)| status == 200)
}

#[test]
fn accepted_document_takes_effect_during_a_store_outage() {
    let mut cluster = Config::new().start();
    assert_eq!(
        cluster.put_document(1, &document(IDLE_TIMEOUT_SECTION)),
        Ok(2)
    );
    cluster.platform.state().knobs.down = true;
    eventually_in_force(&cluster, 0, 2);
    eventually_in_force(&cluster, 1, 2);
    // A new process cannot read the store: it receives the document from entries and sidecars.
    cluster.kill("entry-0");
    cluster.restart("entry-0");
    eventually(IN_FORCE_MAX, "the new process has the version", || {
        version(&cluster, 0) == Some(2)
    });
    // Without the store the entry cannot open its log and must not be sent new work.
    assert!(!is_ready(&cluster, 0));
    cluster.platform.state().knobs.down = false;
    eventually(IN_FORCE_MAX, "the new process is ready", || {
        is_ready(&cluster, 0)
    });
}

#[test]
fn restored_copy_of_the_store_does_not_revert_the_document() {
    let mut cluster = Config::new().start();
    let old = cluster.platform.state().rows.clone();
    assert_eq!(
        cluster.put_document(1, &document(IDLE_TIMEOUT_SECTION)),
        Ok(2)
    );
    eventually_in_force(&cluster, 0, 2);
    cluster.platform.state().rows.extend(old);
    // The next version follows the one in force, not the one in the store.
    assert_eq!(cluster.put_document(1, &document("")), Err(409));
    cluster.kill("entry-1");
    cluster.restart("entry-1");
    eventually(
        IN_FORCE_MAX,
        "the new process has the peers' version",
        || version(&cluster, 1) == Some(2),
    );
    eventually_in_force(&cluster, 0, 2);
    assert_eq!(cluster.put_document(2, &document("")), Ok(3));
    eventually_in_force(&cluster, 1, 3);
}

#[test]
fn rollout_waits_for_a_paused_host() {
    let cluster = Config::new().start();
    cluster.pause("entry-1");
    assert_eq!(
        cluster.put_document(1, &document(IDLE_TIMEOUT_SECTION)),
        Ok(2)
    );
    let server = cluster.admin_address(0).to_string();
    let rollout =
        |timeout: &str| cluster.ctl(&["rollout", "--server", &server, "--timeout", timeout, "2"]);
    let waiting = rollout("1s");
    assert!(!waiting.status.success());
    let message = String::from_utf8(waiting.stderr).unwrap();
    assert!(message.contains("entry-1"), "{message}");
    cluster.resume("entry-1");
    let done = rollout("5s");
    assert!(done.status.success(), "{done:?}");
    assert_eq!(version(&cluster, 1), Some(2));
}

#[test]
fn process_without_store_and_peers_is_not_ready() {
    let cluster = Config::new().with_entries(1).with_engines(0).start();
    assert!(is_ready(&cluster, 0));
    cluster.platform.state().knobs.down = true;
    cluster.pause("sidecar-service-0");
    let bound = IN_FORCE_MAX + Duration::from_secs(1);
    eventually(bound, "not ready after the bound", || {
        !is_ready(&cluster, 0)
    });
    cluster.resume("sidecar-service-0");
    eventually(IN_FORCE_MAX, "ready with a peer only", || {
        is_ready(&cluster, 0)
    });
}

#[test]
fn concurrent_changes_get_consecutive_versions() {
    const OPERATORS: u64 = 6;
    let cluster = Config::new().with_engines(0).start();
    let text = |operator: u64| document(&format!("[limits]\nloop-limit = {}\n", operator + 1));
    let change_until_accepted = |operator: u64| {
        let mut base = 1;
        let mut refusals = Vec::new();
        loop {
            let path = format!("/v1/environment?base={base}&author=operator-{operator}");
            let entry = (operator % 2) as u16;
            let answer = cluster.operator_request(entry, "PUT", &path, Some(&text(operator)));
            let (status, answer) = answer.unwrap();
            if status == 200 {
                return (answer["version"].as_u64().unwrap(), operator, refusals);
            }
            assert_eq!(status, 409, "{answer}");
            let line = format!("+loop-limit = {}", operator + 1);
            assert!(answer["diff"].as_str().unwrap().contains(&line), "{answer}");
            base = answer["version"].as_u64().unwrap();
            refusals.push(base);
        }
    };
    let mut accepted = std::thread::scope(|scope| {
        let change_until_accepted = &change_until_accepted;
        let operators =
            (0..OPERATORS).map(|operator| scope.spawn(move || change_until_accepted(operator)));
        let operators: Vec<_> = operators.collect();
        let join = |operator: std::thread::ScopedJoinHandle<'_, _>| operator.join().unwrap();
        operators.into_iter().map(join).collect::<Vec<_>>()
    });
    accepted.sort();
    let versions: Vec<u64> = accepted.iter().map(|(version, ..)| *version).collect();
    assert_eq!(versions, (2..2 + OPERATORS).collect::<Vec<_>>());
    for (version, operator, refusals) in &accepted {
        // Each refusal named a newer version, all below the one that was accepted in the end.
        assert!(refusals.is_sorted() && refusals.iter().all(|named| named < version));
        let path = format!("/v1/environment/history/{version}");
        let (_, stored) = cluster.operator_request(0, "GET", &path, None).unwrap();
        assert_eq!(stored["text"].as_str(), Some(text(*operator).as_str()));
        assert_eq!(stored["author"], format!("operator-{operator}"));
    }
    eventually_in_force(&cluster, 0, 1 + OPERATORS);
    eventually_in_force(&cluster, 1, 1 + OPERATORS);
}

#[test]
fn acceptance_whose_answer_is_lost_happens_once() {
    let cluster = Config::new().with_entries(1).with_engines(0).start();
    cluster.platform.state().knobs.lose_answers = 1;
    let text = document(IDLE_TIMEOUT_SECTION);
    assert_eq!(cluster.put_document(1, &text), Ok(2));
    // The operator may repeat the request, even after another change.
    assert_eq!(cluster.put_document(2, &document("")), Ok(3));
    assert_eq!(cluster.put_document(1, &text), Ok(2));
    eventually_in_force(&cluster, 0, 3);
    let (_, history) = cluster
        .operator_request(0, "GET", "/v1/environment/history", None)
        .unwrap();
    assert_eq!(history["versions"].as_array().map(Vec::len), Some(3));
}

#[test]
fn promotion_takes_exactly_what_the_trial_has_in_force() {
    let trial = Config::new().with_engines(0).start();
    let production = Config::new()
        .with_entries(1)
        .with_engines(0)
        .with_environment("production")
        .start();
    let (from, to) = (trial.admin_address(0), production.admin_address(0));
    let (from, to) = (from.to_string(), to.to_string());
    let promote = |source: &str, target: &str| {
        let servers = [
            "promote", "--server", &from, "--to", &to, "--author", "rosa",
        ];
        trial.ctl(&[&servers[..], &[source, target]].concat())
    };
    let text = document("; tried on Monday\n[limits]\nidle-timeout = 2m\n");
    assert_eq!(trial.put_document(1, &text), Ok(2));
    trial.pause("entry-1");
    assert!(!promote("production", "trial").status.success());
    assert_eq!(trial.put_document(2, &text.replace("2m", "3m")), Ok(3));
    let early = promote("trial", "production");
    assert!(
        !early.status.success(),
        "not in force at entry-1: {early:?}"
    );
    trial.resume("entry-1");
    eventually_in_force(&trial, 0, 3);
    let done = promote("trial", "production");
    assert!(done.status.success(), "{done:?}");
    let promoted = |key: &str| {
        let (_, accepted) = production
            .operator_request(0, "GET", "/v1/environment", None)
            .unwrap();
        accepted[key].clone()
    };
    let expected = text.replace("2m", "3m").replace("= trial", "= production");
    assert_eq!(
        (promoted("version"), promoted("text")),
        (json!(2), json!(expected))
    );
    // Repeating the promotion, as after a lost response, changes nothing.
    assert!(promote("trial", "production").status.success());
    assert_eq!(promoted("version"), json!(2));
    eventually_in_force(&production, 0, 2);
    let (_, audit) = production
        .operator_request(0, "GET", "/v1/audit", None)
        .unwrap();
    let record = &audit["records"][1];
    let digest = Digest::of(expected.as_bytes()).to_string();
    let source_digest = Digest::of(text.replace("2m", "3m").as_bytes()).to_string();
    assert_eq!(record["author"], "rosa");
    assert_eq!(
        record["action"]["document"],
        json!({
            "base": 1, "version": 2, "digest": digest,
            "promoted": {"environment": "trial", "version": 3, "digest": source_digest},
        })
    );
    let shown = production.ctl(&["audit", "--server", &to]);
    let shown = String::from_utf8(shown.stdout).unwrap();
    assert!(
        shown.contains("rosa") && shown.contains("promoted from trial version 3"),
        "{shown}"
    );
}
