//! Entries of another writer among those of the workers.

use crate::cases;
use crate::cluster::{START_TIMEOUT, eventually};
use crate::gateway::cluster::{Cluster, SAFE};
use crate::gateway::http::Request;

/// How the gateway comes to read an entry.
#[derive(Clone, Copy)]
enum Reading {
    Feed,
    /// With the complete table, after its history was lost.
    Snapshot,
    /// At its start.
    Start,
}

/// Returns an entry like that of a worker, with a further field or another address.
fn entry(address: &str, field: &str) -> String {
    format!(
        "{{\"Service\":\"desk\",\"Address\":\"{address}\",\"Zone\":\"z0\",\"Version\":\"v1\",\
         \"Slots\":8,\"State\":\"ready\",\"ColdLeftMs\":0,\"CallSeq\":0,\"born\":1{field}}}"
    )
}

fn nested(depth: usize) -> String {
    format!(",\"x\":{}{}", "[".repeat(depth), "]".repeat(depth))
}

/// Writes an odd entry and then the entry of a worker that was not listed, which must be used.
fn check_odd_entry((entry, reading): (Vec<u8>, Reading)) {
    let mut cluster = Cluster::start(1, 2);
    let later = &cluster.desks[1];
    let listed = later.registry_entry("desk", "z0", "ready");
    let later_id = later.id.clone();
    cluster.store.state().delete_row("servers", &later_id);
    eventually(START_TIMEOUT, "the worker is gone", || {
        cluster.log(0).contains("endpoint gone")
    });
    cluster.store.state().put("servers", "an-odd-entry", &entry);
    match reading {
        Reading::Feed => {}
        Reading::Snapshot => cluster.store.state().truncate_history(),
        Reading::Start => {
            cluster.kill(0);
            cluster.spawn(0);
            cluster.eventually_ready(0);
        }
    }
    eventually(START_TIMEOUT, "the entry is read", || {
        cluster.log(0).contains("an-odd-entry")
    });
    cluster
        .store
        .state()
        .put("servers", &later_id, listed.as_bytes());
    let mut number = 0;
    eventually(START_TIMEOUT, "the later worker is used", || {
        number += 1;
        let id = format!("r{number}");
        let answer = Request::new("GET", SAFE, &id).send(cluster.caller_address(0));
        assert_eq!(answer.status, 200, "{answer:?}");
        !cluster.desks[1].state().runs.is_empty()
    });
}

cases!(check_odd_entry;
    deeply_nested_entry_in_a_feed:
        (entry("127.0.0.1:9", &nested(100_000)).into_bytes(), Reading::Feed),
    deeply_nested_entry_in_a_table:
        (entry("127.0.0.1:9", &nested(100_000)).into_bytes(), Reading::Snapshot),
    deeply_nested_entry_at_the_start:
        (entry("127.0.0.1:9", &nested(100_000)).into_bytes(), Reading::Start),
    number_too_large_in_a_feed:
        (entry("127.0.0.1:9", ",\"CallSeq2\":1e999").into_bytes(), Reading::Feed),
    start_too_large_in_a_table:
        (entry("127.0.0.1:9", "").replace("\"born\":1", "\"born\":1e30").into_bytes(),
            Reading::Snapshot),
    slots_too_many_at_the_start:
        (entry("127.0.0.1:9", "").replace("\"Slots\":8", "\"Slots\":99999999999").into_bytes(),
            Reading::Start),
    port_out_of_range_in_a_feed: (entry("127.0.0.1:70000", "").into_bytes(), Reading::Feed),
    port_out_of_range_in_a_table: (entry("127.0.0.1:70000", "").into_bytes(), Reading::Snapshot),
    bytes_that_are_no_text_in_a_feed: (vec![0xff, 0xfe, 0, 1], Reading::Feed),
    empty_entry_at_the_start: (Vec::new(), Reading::Start),
);
