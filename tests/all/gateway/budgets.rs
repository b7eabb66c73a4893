//! Budgets over hosts and over their loss. Each turn here is handed 12 tokens of 30 at most.

use crate::gateway::cluster::{Cluster, PLAIN_TURN, turn};

const TURN_TOKENS: u64 = 12;
const TURN_MAX: u64 = 30;

/// Runs turns at the hosts in turn until one is refused; how many were answered, and the refusal.
fn run_out(cluster: &mut Cluster, budget: u64, kills: bool) -> (u64, u16) {
    for number in 0..200_u16 {
        let host = number % 2;
        let id = format!("t{number}");
        let answer = turn(PLAIN_TURN, &id, "p", budget).send(cluster.callers(host));
        if answer.status != 200 {
            assert!(cluster.runs(&id).is_empty(), "{answer:?}");
            return (u64::from(number), answer.status);
        }
        if kills && number % 3 == 2 {
            cluster.kill(host);
            cluster.spawn(host);
            cluster.eventually_ready(host);
        }
    }
    panic!("a program without end");
}

#[test]
fn a_program_is_stopped_at_its_budget_over_hosts() {
    let mut cluster = Cluster::start(2, 1);
    let (answered, status) = run_out(&mut cluster, 300, false);
    assert!(matches!(status, 402 | 503));
    let used = answered * TURN_TOKENS;
    assert!(used <= 300 + TURN_MAX, "{used}");
    // Most of the budget can be used: what is left is held for turns at their most.
    assert!(used >= 300 - 3 * TURN_MAX, "{used}");
}

#[test]
fn a_program_is_stopped_at_its_budget_over_the_loss_of_hosts() {
    let mut cluster = Cluster::start(2, 1);
    let (answered, status) = run_out(&mut cluster, 600, true);
    assert!(matches!(status, 402 | 503));
    let used = answered * TURN_TOKENS;
    assert!(used <= 600 + TURN_MAX, "{used}");
}
