//! Retention of rows: orphaned rows of a lost host are removed, rows of a growing chain stay.

use std::time::Duration;

use crate::cluster::eventually;
use crate::gateway::cluster::{Cluster, KEPT_TURN, document, turn};

/// Bound for orphaned rows to be removed: their age (turns retained for 60 s, plus 90 s), the
/// precision of the ages (5 s) and two passes over all partitions (130 s each).
const REMOVAL_MAX: Duration = Duration::from_secs(150 + 5 + 2 * 130);
/// Pause between the turns of a long chain, each of which is retained for 20 s.
const TURN_INTERVAL: Duration = Duration::from_secs(15);

#[test]
#[ignore = "takes five minutes; run by hand with --ignored"]
fn rows_of_a_host_that_is_gone_are_dropped() {
    let mut cluster = Cluster::start(2, 1);
    for number in 0..20 {
        let (id, program) = (format!("t{number}"), format!("p{number}"));
        let answer = turn(KEPT_TURN, &id, &program, 900).send(cluster.caller_address(0));
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    let row_count = |cluster: &Cluster, table: &str| {
        let state = cluster.store.state();
        state.rows.keys().filter(|row| row.table == table).count()
    };
    assert!(row_count(&cluster, "turns") >= 20 && row_count(&cluster, "accounts") >= 20);
    cluster.kill(0);
    cluster.store.state().delete_row("gateways", "gateway-0");
    eventually(REMOVAL_MAX, "the rows are dropped", || {
        row_count(&cluster, "turns") == 0 && row_count(&cluster, "accounts") == 0
    });
    assert!(cluster.log(1).contains("rows left behind"));
}

#[test]
#[ignore = "takes two minutes; run by hand with --ignored"]
fn a_chain_stays_whole_for_as_long_as_it_goes_on() {
    let mut cluster = Cluster::start(2, 1);
    let short_retention = document(2, 3_000).replace("\"RetainS\":60.0", "\"RetainS\":20.0");
    cluster
        .store
        .state()
        .put("op", "config", short_retention.as_bytes());
    std::thread::sleep(Duration::from_secs(2));
    let send = |cluster: &Cluster, host: u16, number: usize| {
        let id = format!("t{number}");
        let mut next = turn(KEPT_TURN, &id, "p", 9_000);
        if number > 0 {
            next = next.with_header("Previous-Turn", &format!("t{}", number - 1));
        }
        let answer = next.send(cluster.caller_address(host));
        assert_eq!(
            (answer.status, answer.is_complete),
            (200, true),
            "{id}: {answer:?}"
        );
    };
    // At the end the first turn is older than the retention of a turn without successors.
    for number in 0..8 {
        send(&cluster, (number % 2) as u16, number);
        std::thread::sleep(TURN_INTERVAL);
    }
    // A restarted host, with nothing in memory, continues the chain.
    cluster.kill(1);
    cluster.spawn(1);
    cluster.eventually_ready(1);
    send(&cluster, 1, 8);
}
