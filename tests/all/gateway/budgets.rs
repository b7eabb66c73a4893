//! Budgets of programs hold across hosts and after the loss of hosts. Each turn here uses 12 of at
//! most 30 tokens.

use crate::gateway::cluster::{Cluster, PLAIN_TURN, turn};

const USED_TOKENS_PER_TURN: u64 = 12;
const TOKENS_PER_TURN_MAX: u64 = 30;

/// Sends turns to alternating hosts until one is refused; with `kill_hosts`, kills and restarts the
/// host of every third turn. Returns the number of answered turns and the status of the refusal.
fn use_up(cluster: &mut Cluster, budget: u64, kill_hosts: bool) -> (u64, u16) {
    for number in 0..200_u16 {
        let host = number % 2;
        let id = format!("t{number}");
        let answer = turn(PLAIN_TURN, &id, "p", budget).send(cluster.caller_address(host));
        if answer.status != 200 {
            assert!(cluster.runs(&id).is_empty(), "{answer:?}");
            return (u64::from(number), answer.status);
        }
        if kill_hosts && number % 3 == 2 {
            cluster.kill(host);
            cluster.spawn(host);
            cluster.eventually_ready(host);
        }
    }
    panic!("no turn was refused");
}

#[test]
fn a_program_is_stopped_at_its_budget_over_hosts() {
    let mut cluster = Cluster::start(2, 1);
    let (answered, status) = use_up(&mut cluster, 300, false);
    assert!(matches!(status, 402 | 503));
    let used = answered * USED_TOKENS_PER_TURN;
    assert!(used <= 300 + TOKENS_PER_TURN_MAX, "{used}");
    // Most of the budget can be used: the remainder is reserved for turns of the maximum size.
    assert!(used >= 300 - 3 * TOKENS_PER_TURN_MAX, "{used}");
}

#[test]
fn a_program_is_stopped_at_its_budget_over_the_loss_of_hosts() {
    let mut cluster = Cluster::start(2, 1);
    let (answered, status) = use_up(&mut cluster, 600, true);
    assert!(matches!(status, 402 | 503));
    let used = answered * USED_TOKENS_PER_TURN;
    assert!(used <= 600 + TOKENS_PER_TURN_MAX, "{used}");
}
