//! Environment documents under concurrent changes, lost responses of the store, and paused or
//! restarted hosts.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use todc_utils::linearizability::history::Action::{self, Call, Response};
use todc_utils::{History, Specification, WGLChecker};

use crate::cluster::{Cluster, Config, document, eventually};
use crate::scenarios::seed_count;

const OPERATORS: usize = 3;
/// Changes that each operator attempts.
const CHANGES: u64 = 5;
const IN_FORCE_MAX: Duration = Duration::from_secs(5);

/// An operation on the version of the accepted document.
#[derive(Clone, Copy, Debug)]
enum Operation {
    /// A read and the version that it returned.
    Read(u64),
    /// A change of a base version, and whether it was accepted.
    Accept(u64, bool),
}

/// Specification of the accepted version: a register that is incremented only by a change based on
/// its current value.
struct Register;

impl Specification for Register {
    type State = u64;
    type Operation = Operation;

    fn init() -> u64 {
        1
    }

    fn apply(operation: &Operation, version: &u64) -> (bool, u64) {
        match *operation {
            Operation::Read(read) => (read == *version, *version),
            Operation::Accept(base, true) => {
                (base == *version, version + u64::from(base == *version))
            }
            Operation::Accept(base, false) => (base != *version, *version),
        }
    }
}

type Actions = Mutex<Vec<(usize, Action<Operation>)>>;

fn record(actions: &Actions, operator: usize, action: Action<Operation>) -> usize {
    let mut actions = actions.lock().unwrap_or_else(PoisonError::into_inner);
    actions.push((operator, action));
    actions.len() - 1
}

/// Reads the version and changes the document of that version, `CHANGES` times.
fn run_operator(cluster: &Cluster, operator: usize, actions: &Actions) {
    let entry = operator as u16 % 2;
    for change in 0..CHANGES {
        let call = record(actions, operator, Call(Operation::Read(0)));
        let Some((200, read)) = cluster.operator_request(entry, "GET", "/v1/environment", None)
        else {
            mark_removed(actions, call);
            continue;
        };
        let base = read["version"].as_u64().unwrap();
        record(actions, operator, Response(Operation::Read(base)));
        let section = format!(
            "[limits]\nidle-timeout = {}s\n",
            600 + operator as u64 * 100 + change
        );
        let path = format!("/v1/environment?base={base}&author=operator-{operator}-{change}");
        let call = record(actions, operator, Call(Operation::Accept(base, true)));
        let answer = cluster.operator_request(entry, "PUT", &path, Some(&document(&section)));
        let accepted = match answer.map(|(status, _)| status) {
            Some(200) => true,
            Some(409) => false,
            _ if was_accepted(cluster, operator, change) => true,
            _ => {
                mark_removed(actions, call);
                continue;
            }
        };
        record(
            actions,
            operator,
            Response(Operation::Accept(base, accepted)),
        );
    }
}

/// Marks a call without effect for removal; removing it now would shift the later actions.
fn mark_removed(actions: &Actions, call: usize) {
    let mut actions = actions.lock().unwrap_or_else(PoisonError::into_inner);
    actions[call].0 = usize::MAX;
}

/// Returns whether a change whose response was lost is among the accepted ones.
fn was_accepted(cluster: &Cluster, operator: usize, change: u64) -> bool {
    let author = format!("operator-{operator}-{change}");
    let platform = cluster.platform.state();
    let mut rows = platform.rows.iter();
    rows.any(|(row, (_, value))| {
        row.key.starts_with("environment-history.")
            && String::from_utf8_lossy(value).contains(&author)
    })
}

/// Fails if the version in force at an entry decreases.
fn watch_versions(cluster: &Cluster, stop: &AtomicBool) {
    let mut seen = [0; 2];
    while !stop.load(Ordering::Relaxed) {
        for (entry, seen) in seen.iter_mut().enumerate() {
            if let Some(version) = cluster.status(entry as u16)["version"].as_u64() {
                assert!(
                    version >= *seen,
                    "entry-{entry} went from {seen} to {version}"
                );
                *seen = version;
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn run_operators(seed: u64) {
    println!("seed {seed}");
    let mut rng = StdRng::seed_from_u64(seed);
    let cluster = Config::new().with_engines(1).start();
    let (actions, stop) = (Actions::default(), AtomicBool::new(false));
    std::thread::scope(|scope| {
        let watcher = scope.spawn(|| watch_versions(&cluster, &stop));
        let operators: Vec<_> = (0..OPERATORS)
            .map(|operator| {
                scope.spawn({
                    let (cluster, actions) = (&cluster, &actions);
                    move || run_operator(cluster, operator, actions)
                })
            })
            .collect();
        cluster.platform.state().knobs.lose_answers = rng.random_range(0..4);
        cluster.platform.state().knobs.slow_ms = rng.random_range(0..20);
        cluster.pause("entry-1");
        std::thread::sleep(Duration::from_millis(rng.random_range(0..300)));
        cluster.resume("entry-1");
        for operator in operators {
            operator.join().unwrap();
        }
        stop.store(true, Ordering::Relaxed);
        watcher.join().unwrap();
    });
    cluster.platform.state().knobs = Default::default();
    let mut actions = actions.into_inner().unwrap();
    actions.retain(|(operator, _)| *operator != usize::MAX);
    let description = format!("{actions:?}");
    assert!(
        WGLChecker::<Register>::is_linearizable(History::from_actions(actions)),
        "{description}"
    );
    let (_, read) = cluster
        .operator_request(0, "GET", "/v1/environment", None)
        .unwrap();
    for entry in 0..2 {
        eventually(IN_FORCE_MAX, "the last document is in force", || {
            cluster.status(entry)["version"] == read["version"]
        });
    }
}

#[test]
fn concurrent_changes_are_linearizable_and_no_host_reverts() {
    (0..seed_count()).for_each(run_operators);
}

#[test]
fn restarted_host_takes_the_document_in_force() {
    let mut cluster = Config::new().with_engines(1).start();
    cluster.kill("entry-1");
    let version = cluster
        .put_document(1, &document("[limits]\nidle-timeout = 700s\n"))
        .unwrap();
    cluster.restart("entry-1");
    eventually(
        IN_FORCE_MAX,
        "the document is in force after a restart",
        || (0..2).all(|entry| cluster.status(entry)["version"] == version),
    );
    cluster.platform.state().knobs.down = true;
    assert_eq!(
        cluster.put_document(version, &document("")).err(),
        Some(503)
    );
    cluster.platform.state().knobs.down = false;
    assert_eq!(cluster.status(1)["version"], version);
}
