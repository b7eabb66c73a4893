//! How long rows stay: those that a host has left behind, and those of long chains.

use std::time::Duration;

use crate::cluster::eventually;
use crate::gateway::cluster::{Cluster, KEPT, document, turn};

/// Age of what is dropped (turns 60 s retained, and 90 s more), the marks' exactness, and two passes
/// over all parts.
const PASS_MAX: Duration = Duration::from_secs(150 + 5 + 2 * 130);
/// Pause between the turns of a long chain, which are retained for 20 s each.
const PAUSE: Duration = Duration::from_secs(15);

#[test]
#[ignore = "takes five minutes; run by hand with --ignored"]
fn rows_of_a_host_that_is_gone_are_dropped() {
    let mut cluster = Cluster::start(2, 1);
    for number in 0..20 {
        let (id, program) = (format!("t{number}"), format!("p{number}"));
        let answer = turn(KEPT, &id, &program, 900).send(cluster.callers(0));
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    let rows = |cluster: &Cluster, table: &str| {
        let state = cluster.store.state();
        state.rows.keys().filter(|row| row.table == table).count()
    };
    assert!(rows(&cluster, "turns") >= 20 && rows(&cluster, "accounts") >= 20);
    cluster.kill(0);
    cluster.store.state().delete_row("gateways", "gateway-0");
    eventually(PASS_MAX, "the rows are dropped", || {
        rows(&cluster, "turns") == 0 && rows(&cluster, "accounts") == 0
    });
    assert!(cluster.log(1).contains("rows left behind"));
}

#[test]
#[ignore = "takes two minutes; run by hand with --ignored"]
fn a_chain_stays_whole_for_as_long_as_it_goes_on() {
    let mut cluster = Cluster::start(2, 1);
    let short = document(2, 3_000).replace("\"RetainS\":60.0", "\"RetainS\":20.0");
    cluster.store.state().put("op", "config", short.as_bytes());
    std::thread::sleep(Duration::from_secs(2));
    let send = |cluster: &Cluster, host: u16, number: usize| {
        let id = format!("t{number}");
        let mut next = turn(KEPT, &id, "p", 9_000);
        if number > 0 {
            next = next.with("Previous-Turn", &format!("t{}", number - 1));
        }
        let answer = next.send(cluster.callers(host));
        assert_eq!(
            (answer.status, answer.whole),
            (200, true),
            "{id}: {answer:?}"
        );
    };
    // The first turn is older than its rows would stay alone when the chain ends.
    for number in 0..8 {
        send(&cluster, (number % 2) as u16, number);
        std::thread::sleep(PAUSE);
    }
    // A host that has nothing in memory goes on from all of them.
    cluster.kill(1);
    cluster.spawn(1);
    cluster.eventually_ready(1);
    send(&cluster, 1, 8);
}
