//! Gateways start, or join, while the list of gateways is unavailable and the rest of the store serves.

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use serde_json::json;
use store::Partition;

use crate::cluster::{START_TIMEOUT, eventually};
use crate::gateway::accounts::{apply, order};
use crate::gateway::budgets::{
    USED_TOKENS_PER_TURN, check_whole_budget_is_usable, send_until_final,
};
use crate::gateway::cluster::Cluster;

/// Requests per second, and at once, of the account with a limit.
pub const RATE: u32 = 20;
/// Time for which the account exceeds its limit.
const LOAD_TIME: Duration = Duration::from_secs(4);

/// A partition of the store that is unavailable.
#[derive(Clone, Copy, Debug)]
pub enum Away {
    /// The list of gateways.
    List,
    /// The list and its copy.
    ListAndCopy,
}

/// Makes partitions unavailable, or available again.
pub fn set_away(cluster: &Cluster, away: Away, is_away: bool) {
    let list = Partition::new("gateways", "");
    let copy = Partition::new("gateways-copy", "copy");
    let partitions = match away {
        Away::List => vec![list],
        Away::ListAndCopy => vec![list, copy],
    };
    let mut store = cluster.store.state();
    for partition in partitions {
        if is_away {
            store.unavailable.insert(partition);
        } else {
            store.unavailable.remove(&partition);
        }
    }
}

/// Kills hosts and starts them again.
pub fn restart(cluster: &mut Cluster, hosts: std::ops::Range<u16>) {
    for host in hosts.clone() {
        cluster.kill(host);
    }
    for host in hosts.clone() {
        cluster.spawn(host);
    }
    for host in hosts {
        cluster.eventually_ready(host);
    }
}

/// Starts hosts with an account that has a limit and one that has none.
pub fn start(hosts: u16) -> Cluster {
    let cluster = Cluster::start(hosts, 2);
    let accounts = json!([{"Name": "ada", "ApiKeys": ["key-a1"], "RatePerS": RATE, "Burst": RATE},
        {"Name": "bob", "ApiKeys": ["key-b"]}]);
    apply(&cluster, hosts, 2, accounts);
    for host in 0..hosts {
        eventually(START_TIMEOUT, "the host obtains credit", || {
            status(&cluster, host, "key-a1") == 200
        });
    }
    cluster
}

/// Sends an order with a key; returns the status of its answer.
pub fn status(cluster: &Cluster, host: u16, key: &str) -> u16 {
    order(cluster, host, &format!("o{}", rand::random::<u64>()), key).status
}

/// Sends requests of the account with a limit through one host; returns how many were served. Each
/// refusal must name a time to return.
fn send_orders(cluster: &Cluster, host: u16, until: Instant) -> u32 {
    let mut served = 0;
    while Instant::now() < until {
        let id = format!("l{}", rand::random::<u64>());
        let answer = order(cluster, host, &id, "key-a1");
        assert!(matches!(answer.status, 200 | 429 | 503), "{answer:?}");
        if answer.status == 200 {
            served += 1;
        } else {
            assert!(answer.header("retry-after").is_some(), "{answer:?}");
        }
    }
    served
}

/// Sends more requests than the account's limit allows through each host, and checks that all hosts
/// together keep it.
fn check_limit(cluster: &Cluster, hosts: u16) {
    let began = Instant::now();
    let until = began + LOAD_TIME;
    let served: u32 = std::thread::scope(|scope| {
        let send = |host| scope.spawn(move || send_orders(cluster, host, until));
        let senders: Vec<_> = (0..hosts).map(send).collect();
        let served = senders.into_iter().map(|sender| sender.join().unwrap());
        served.sum()
    });
    // The tolerance of the platform: a tenth of the limit and 20 requests.
    let (rate, seconds) = (f64::from(RATE), began.elapsed().as_secs_f64());
    let bound = (rate * seconds + rate) * 1.1 + 20.0;
    assert!(f64::from(served) <= bound, "{served} of {bound}");
}

fn eventually_admitted(cluster: &Cluster, host: u16) {
    eventually(START_TIMEOUT, "the host obtains credit", || {
        status(cluster, host, "key-a1") == 200
    });
}

/// Waits until the copy has a row of each host.
fn eventually_copied(cluster: &Cluster, hosts: usize) {
    eventually(START_TIMEOUT, "the list is copied", || {
        let store = cluster.store.state();
        let rows = store.rows.keys();
        rows.filter(|row| row.table == "gateways-copy").count() == hosts
    });
}

/// Writes the rows of the copy again, while all hosts are on the list.
fn rewrite_copy(cluster: &mut Cluster, hosts: u16) {
    restart(cluster, 0..hosts);
    eventually(START_TIMEOUT, "the copy has the number of hosts", || {
        let store = cluster.store.state();
        let mut rows = store.rows.iter();
        rows.all(|(row, (_, value))| {
            row.table != "gateways-copy" || value.starts_with(&u32::from(hosts).to_be_bytes())
        })
    });
}

/// Cases in which `restarted` of four hosts start while a part of the store is away.
macro_rules! restarts {
    ($($name:ident: $restarted:expr, $away:expr;)*) => {
        $(
            // A host without the list took itself for the whole fleet and granted each limit alone.
            #[test]
            fn $name() {
                let mut cluster = start(4);
                set_away(&cluster, $away, true);
                restart(&mut cluster, $restarted);
                check_limit(&cluster, 4);
                for host in 0..4 {
                    assert_eq!(status(&cluster, host, "key-b"), 200);
                }
                set_away(&cluster, $away, false);
                for host in 0..4 {
                    eventually_admitted(&cluster, host);
                }
            }
        )*
    };
}

restarts! {
    hosts_that_start_without_their_list_keep_a_limit: 0..3, Away::List;
    hosts_that_start_without_their_list_and_its_copy_keep_a_limit: 0..3, Away::ListAndCopy;
    all_hosts_that_start_without_their_list_keep_a_limit: 0..4, Away::List;
    all_hosts_that_start_without_their_list_and_its_copy_keep_a_limit: 0..4, Away::ListAndCopy;
}

// Hosts that started without the list refused what the limit holds for as long as it was unavailable.
#[test]
fn a_host_that_starts_without_its_list_gets_it_from_a_running_one() {
    let mut cluster = start(4);
    set_away(&cluster, Away::ListAndCopy, true);
    restart(&mut cluster, 0..3);
    for host in 0..3 {
        eventually_admitted(&cluster, host);
        assert!(cluster.log(host).contains("received from a peer"));
    }
    check_limit(&cluster, 4);
}

// Without a running host to get the list from, all of them refused what the limit holds.
#[test]
fn hosts_that_all_start_without_their_list_read_its_copy() {
    let mut cluster = start(4);
    eventually_copied(&cluster, 4);
    set_away(&cluster, Away::List, true);
    restart(&mut cluster, 0..4);
    for host in 0..4 {
        eventually_admitted(&cluster, host);
    }
    check_limit(&cluster, 4);
}

/// Stops a host, which leaves the list, and starts it while a part of the store is away.
fn join(cluster: &mut Cluster, host: u16, away: Away) {
    cluster.signal(host, Signal::SIGTERM);
    cluster.wait_for_exit(host);
    eventually(START_TIMEOUT, "the host is not listed", || {
        let listed = |other| cluster.metric(other, "listed_gateways");
        (0..host).all(|other| listed(other) == Some(u64::from(host)))
    });
    set_away(cluster, away, true);
    cluster.spawn(host);
    cluster.eventually_ready(host);
}

// No running host has the address of one that joins.
#[test]
fn a_host_that_joins_without_the_list_reads_its_copy() {
    let mut cluster = start(4);
    rewrite_copy(&mut cluster, 4);
    join(&mut cluster, 3, Away::List);
    eventually_admitted(&cluster, 3);
    check_limit(&cluster, 4);
}

#[test]
fn a_host_that_joins_without_the_list_and_its_copy_keeps_a_limit() {
    let mut cluster = start(4);
    rewrite_copy(&mut cluster, 4);
    join(&mut cluster, 3, Away::ListAndCopy);
    check_limit(&cluster, 4);
    assert_eq!(status(&cluster, 3, "key-b"), 200);
    set_away(&cluster, Away::ListAndCopy, false);
    eventually_admitted(&cluster, 3);
}

// A failed host is missing from the copy too, so that a turn that needs what it held is refused for good.
#[test]
fn tokens_of_a_failed_host_are_spent_while_the_copy_can_be_read() {
    const BUDGET: u64 = 240;
    let mut cluster = Cluster::start(3, 1);
    rewrite_copy(&mut cluster, 3);
    set_away(&cluster, Away::List, true);
    restart(&mut cluster, 0..2);
    for host in 0..2 {
        let answer = send_until_final(&cluster, host, &format!("early-{host}"), BUDGET);
        assert_eq!(answer.status, 200, "{answer:?}");
        cluster.kill(host);
        cluster.spawn(host);
    }
    let mut used = 0;
    let refused = loop {
        let answer = send_until_final(&cluster, 2, &format!("late-{used}"), BUDGET);
        if answer.status != 200 {
            break answer;
        }
        used += USED_TOKENS_PER_TURN;
    };
    assert_eq!(refused.status, 402, "{used} of {BUDGET}: {refused:?}");
}

/// Cases in which `restarted` of three hosts start while the list is unavailable. Two hosts hold tokens
/// of a program, and the third one needs them.
macro_rules! held_tokens {
    ($($name:ident: $restarted:expr;)*) => {
        $(
            // The hosts that held the tokens were taken for failed ones, and the turn was answered 402
            // although the budget was not spent.
            #[test]
            fn $name() {
                const BUDGET: u64 = 240;
                let mut cluster = Cluster::start(3, 1);
                set_away(&cluster, Away::ListAndCopy, true);
                restart(&mut cluster, $restarted);
                let mut used = 0;
                for host in 0..2 {
                    let answer = send_until_final(&cluster, host, &format!("early-{host}"), BUDGET);
                    assert_eq!(answer.status, 200, "{answer:?}");
                    used += USED_TOKENS_PER_TURN;
                }
                let refused = loop {
                    let answer = send_until_final(&cluster, 2, &format!("away-{used}"), BUDGET);
                    if answer.status != 200 {
                        break answer;
                    }
                    used += USED_TOKENS_PER_TURN;
                };
                assert_eq!(refused.status, 503, "{used} of {BUDGET}: {refused:?}");
                set_away(&cluster, Away::ListAndCopy, false);
                eventually(START_TIMEOUT, "all hosts are listed", || {
                    cluster.log(2).matches("peer listed").count() >= 3
                });
                check_whole_budget_is_usable(&cluster, 2, used, BUDGET);
            }
        )*
    };
}

held_tokens! {
    tokens_are_not_spent_at_a_host_that_starts_without_its_list: 2..3;
    tokens_are_not_spent_if_their_holders_start_without_a_list: 0..2;
}
