//! Workers that say in their answers that they leave.

use crate::cases;
use crate::cluster::{START_TIMEOUT, eventually};
use crate::gateway::cluster::{Cluster, ORDER, PLAIN_TURN, turn};
use crate::gateway::http::Request;

/// Requests after which a worker that may be used has run one.
const REQUESTS: usize = 12;

fn send(cluster: &Cluster, path: &str, id: &str) -> u16 {
    let request = match path {
        ORDER => Request::new("POST", path, id).with_body("body"),
        _ => turn(path, id, &format!("program-{id}"), 900),
    };
    request.send(cluster.caller_address(0)).status
}

fn check_leaving(path: &str) {
    let cluster = Cluster::start(1, 2);
    let workers = || match path {
        ORDER => &cluster.desks,
        _ => &cluster.models,
    };
    let leaving = &workers()[0];
    leaving.state().is_leaving = true;
    let mut number = 0;
    eventually(START_TIMEOUT, "the worker has answered", || {
        number += 1;
        send(&cluster, path, &format!("r{number}"));
        !leaving.state().runs.is_empty()
    });
    let runs = leaving.state().runs.len();
    for number in 0..REQUESTS {
        assert_eq!(send(&cluster, path, &format!("after-{number}")), 200);
        // The store says for some time that the worker is ready, and its entry is written anew.
        let entry = leaving.registry_entry("any", "z0", "ready");
        let service = if path == ORDER { "desk" } else { "models" };
        let entry = entry.replace("any", service);
        let mut store = cluster.store.state();
        store.put("servers", &leaving.id, entry.as_bytes());
    }
    assert_eq!(leaving.state().runs.len(), runs);
    // Another start under the same identifier is used.
    leaving.state().is_leaving = false;
    let service = if path == ORDER { "desk" } else { "models" };
    let entry = leaving.registry_entry(service, "z0", "ready");
    let entry = entry.replace("\"born\":1", "\"born\":2");
    let mut store = cluster.store.state();
    store.put("servers", &leaving.id, entry.as_bytes());
    drop(store);
    eventually(START_TIMEOUT, "the new start is used", || {
        number += 1;
        send(&cluster, path, &format!("r{number}"));
        leaving.state().runs.len() > runs
    });
}

cases!(check_leaving;
    plain_worker_that_says_it_leaves_gets_no_more_requests: ORDER,
    engine_that_says_it_leaves_gets_no_more_requests: PLAIN_TURN,
);
