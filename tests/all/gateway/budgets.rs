//! Budgets of programs hold across hosts and after the loss of hosts. Each turn here uses 12 of at
//! most 30 tokens.

use std::time::Duration;

use crate::cluster::eventually;
use crate::gateway::cluster::{Cluster, PLAIN_TURN, document, turn};
use crate::gateway::http::Answer;

/// Tokens that each turn here uses.
pub const USED_TOKENS_PER_TURN: u64 = 12;
const TOKENS_PER_TURN_MAX: u64 = 30;
/// Turn that reaches no worker in this many tries breaks the rules.
const TRIES_MAX: usize = 5;
/// Bound for the account to show what an idle host handed out: the platform's `SettleMs`, and the
/// interval of a retry.
const SETTLE_MAX: Duration = Duration::from_millis(2_000);

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

/// Sends a turn, again after the time that each 503 names.
pub fn send_until_final(cluster: &Cluster, host: u16, name: &str, budget: u64) -> Answer {
    let mut tries = 0;
    loop {
        let id = format!("{name}-{tries}");
        let answer = turn(PLAIN_TURN, &id, "p", budget).send(cluster.caller_address(host));
        tries += 1;
        if answer.status != 503 || tries == TRIES_MAX {
            return answer;
        }
        let delay = answer.header("retry-after").unwrap().parse().unwrap();
        std::thread::sleep(Duration::from_secs_f64(delay));
    }
}

/// Sends turns through `host` until one is refused, and checks that the budget does not hold it.
/// `used` tokens were handed out before.
pub fn check_whole_budget_is_usable(cluster: &Cluster, host: u16, mut used: u64, budget: u64) {
    let answer = loop {
        let name = format!("late-{used}");
        let answer = send_until_final(cluster, host, &name, budget);
        if answer.status != 200 {
            break answer;
        }
        used += USED_TOKENS_PER_TURN;
    };
    assert!(
        used + TOKENS_PER_TURN_MAX > budget,
        "{used} of {budget}: {answer:?}"
    );
    assert_eq!(answer.status, 402, "{answer:?}");
}

/// Hosts that each served one turn and are idle; all other turns go to another host.
macro_rules! idle_hosts_cases {
    ($($name:ident: $hosts:literal idle, budget $budget:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let cluster = Cluster::start($hosts + 1, 1);
                for host in 0..$hosts {
                    let answer = send_until_final(&cluster, host, &format!("early-{host}"), $budget);
                    assert_eq!(answer.status, 200, "{answer:?}");
                }
                let used = u64::from($hosts) * USED_TOKENS_PER_TURN;
                check_whole_budget_is_usable(&cluster, $hosts, used, $budget);
            }
        )*
    };
}

idle_hosts_cases! {
    // A turn was answered 503 `budget-held` for as long as its program lived.
    tokens_that_idle_hosts_do_not_use_are_not_held: 2_u16 idle, budget 240;
    // A turn was answered 402 `budget-spent` although the budget held it.
    tokens_that_an_idle_host_had_reserved_are_not_spent: 1_u16 idle, budget 114;
    tokens_that_more_idle_hosts_do_not_use_are_not_held: 4_u16 idle, budget 240;
    tokens_of_idle_hosts_are_not_held_in_a_budget_of_six_turns: 3_u16 idle, budget 180;
    tokens_of_idle_hosts_are_not_held_in_a_budget_of_five_turns: 2_u16 idle, budget 150;
}

// Each pause of a program made each host that served it write its account, and the next turn there
// wait for another write: the store refused calls, and with them turns.
#[test]
fn a_program_that_moves_between_hosts_does_not_write_in_each_pause() {
    const ROUNDS: u64 = 5;
    const PAUSE: Duration = Duration::from_millis(1_400);
    let cluster = Cluster::start(2, 1);
    for round in 0..ROUNDS {
        for host in 0..2 {
            let name = format!("r{round}-{host}");
            let answer = send_until_final(&cluster, host, &name, 2_000);
            assert_eq!(answer.status, 200, "{answer:?}");
        }
        std::thread::sleep(PAUSE);
    }
    let writes = |host| cluster.metric(host, "store_accounts_writes_total");
    let total = writes(0).unwrap() + writes(1).unwrap();
    // Each host obtains a grant, and may have to return one that is large.
    assert!(total < ROUNDS * 2, "{total} writes");
}

// The tokens that a host had not handed out were lost with it, however long it had been idle.
#[test]
fn tokens_of_a_host_that_was_idle_before_it_failed_can_be_used() {
    let mut cluster = Cluster::start(2, 1);
    let answer = send_until_final(&cluster, 0, "early", 240);
    assert_eq!(answer.status, 200, "{answer:?}");
    eventually(SETTLE_MAX, "the spare tokens are released", || {
        cluster.log(0).contains("spare tokens released")
    });
    cluster.kill(0);
    check_whole_budget_is_usable(&cluster, 1, USED_TOKENS_PER_TURN, 240);
}

// A turn that needs what failed hosts held was answered 503 in each try, although it could never run.
#[test]
fn a_turn_that_needs_tokens_of_failed_hosts_is_refused_as_spent() {
    let mut cluster = Cluster::start(3, 1);
    for host in 0..2 {
        let answer = send_until_final(&cluster, host, &format!("early-{host}"), 240);
        assert_eq!(answer.status, 200, "{answer:?}");
        cluster.kill(host);
    }
    let mut used = 0;
    let answer = loop {
        let answer = send_until_final(&cluster, 2, &format!("late-{used}"), 240);
        if answer.status != 200 {
            break answer;
        }
        used += USED_TOKENS_PER_TURN;
    };
    assert_eq!(answer.status, 402, "{used}: {answer:?}");
}

/// Moments of turns after the start, and the host of each. Each is within the retention (20 s) of the one
/// before, so that the program may return.
type Returns = [(u64, u16)];

/// Sends turns through the first host until one is refused or `turns` are answered, then one turn at each
/// of the moments, and at the last one turns until one is refused. Returns the tokens used.
fn use_up_with_returns(cluster: &Cluster, program: &str, turns: usize, returns: &Returns) -> u64 {
    const BUDGET: u64 = 240;
    let start = std::time::Instant::now();
    let mut number = 0;
    let mut send = |host: u16| {
        number += 1;
        let id = format!("{program}-{number}");
        let request = turn(PLAIN_TURN, &id, program, BUDGET);
        request.send(cluster.caller_address(host)).status == 200
    };
    let mut answered = (0..turns).take_while(|_| send(0)).count();
    for (second, host) in returns {
        std::thread::sleep(Duration::from_secs(*second).saturating_sub(start.elapsed()));
        answered += usize::from(send(*host));
    }
    let last = returns.last().unwrap().1;
    answered += (0..2 * BUDGET).take_while(|_| send(last)).count();
    answered as u64 * USED_TOKENS_PER_TURN
}

// A program got its budget anew: its account was dropped by a host that had not served it for a while, or
// a host forgot what it had handed out.
#[test]
fn a_program_that_moves_between_hosts_keeps_its_account() {
    let cluster = Cluster::start(2, 1);
    let retention = document(2, 3_000).replace("\"RetainS\":60.0", "\"RetainS\":20.0");
    cluster
        .store
        .state()
        .put("op", "config", retention.as_bytes());
    eventually(Duration::from_secs(5), "the retention is in force", || {
        (0..2).all(|host| cluster.environment_version(host) == Some(2))
    });
    std::thread::scope(|scope| {
        let stopped =
            || use_up_with_returns(&cluster, "stopped", 100, &[(17, 1), (34, 1), (50, 0)]);
        let moving =
            || use_up_with_returns(&cluster, "moving", 4, &[(8, 1), (24, 1), (40, 1), (50, 0)]);
        for program in [scope.spawn(stopped), scope.spawn(moving)] {
            let used = program.join().unwrap();
            assert!(used <= 240 + TOKENS_PER_TURN_MAX, "{used}");
        }
    });
}
