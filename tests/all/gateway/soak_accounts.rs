//! Random faults in series and overlapping, among them the list of gateways and its copy unavailable
//! while gateways start, join and leave: an account with a limit keeps it in each window, refusals are
//! true, and accounts without a limit are served. `BALSAMHOLD_SEEDS` and `BALSAMHOLD_FIRST_SEED` set the
//! seeds, which are printed.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use standins::platform::Knobs;

use crate::cluster::{START_TIMEOUT, eventually};
use crate::gateway::accounts::order_request;
use crate::gateway::cluster::Cluster;
use crate::gateway::http::{Answer, Connection};
use crate::gateway::unlisted::{Away, RATE, set_away, start, status};
use crate::scenarios::seeds;

const GATEWAYS: u16 = 5;
/// Callers at each gateway: all but the last one are of the account with a limit.
const CALLERS_PER_GATEWAY: u64 = 6;
const STEPS: u64 = 14;
/// Pause of a caller between two requests: together they send several times the limit.
const PAUSE: Duration = Duration::from_millis(30);
/// Span of time in which the account may not exceed its limit.
const WINDOW: Duration = Duration::from_secs(5);

/// One fault or change; faults of one step last while the next steps happen.
#[derive(Clone, Copy, Debug)]
enum Step {
    Away(Away, bool),
    /// Kills some gateways and starts them again.
    Kill(u16),
    /// Stops a gateway, which leaves the list, and starts it again.
    Rejoin,
    CutOffStore,
    ReconnectStore,
    StoreKnobs(Knobs),
    TruncateHistory,
    Reload,
}

fn random_step(rng: &mut StdRng) -> Step {
    let knobs = |slow_ms, lose_answers| Knobs {
        slow_ms,
        lose_answers,
        ..Knobs::default()
    };
    let steps = [
        Step::Away(Away::List, true),
        Step::Away(Away::List, true),
        Step::Away(Away::ListAndCopy, true),
        Step::Away(Away::ListAndCopy, true),
        Step::Away(Away::ListAndCopy, true),
        Step::Away(Away::ListAndCopy, false),
        Step::Kill(1),
        Step::Kill(3),
        Step::Kill(GATEWAYS),
        Step::Rejoin,
        Step::Rejoin,
        Step::CutOffStore,
        Step::ReconnectStore,
        Step::StoreKnobs(knobs(100, 3)),
        Step::StoreKnobs(knobs(0, 0)),
        Step::TruncateHistory,
        Step::Reload,
    ];
    *steps.choose(rng).expect("steps")
}

fn apply(cluster: &mut Cluster, step: Step, rng: &mut StdRng) {
    let gateway = rng.random_range(0..GATEWAYS);
    match step {
        Step::Away(away, is_away) => set_away(cluster, away, is_away),
        Step::Kill(count) => {
            let killed = (0..count).map(|number| (gateway + number) % GATEWAYS);
            killed.clone().for_each(|gateway| cluster.kill(gateway));
            killed.for_each(|gateway| cluster.spawn(gateway));
        }
        Step::Rejoin => {
            cluster.signal(gateway, Signal::SIGTERM);
            cluster.wait_for_exit(gateway);
            cluster.spawn(gateway);
        }
        Step::CutOffStore => cluster.set_cut_off(gateway, true),
        Step::ReconnectStore => {
            (0..GATEWAYS).for_each(|gateway| cluster.set_cut_off(gateway, false));
        }
        Step::StoreKnobs(knobs) => cluster.store.state().knobs = knobs,
        Step::TruncateHistory => cluster.store.state().truncate_history(),
        Step::Reload => cluster.signal(gateway, Signal::SIGHUP),
    }
}

/// A request of a caller.
struct Call {
    id: String,
    has_limit: bool,
    sent_at: Instant,
    ended_at: Instant,
    answer: Answer,
}

/// Sends orders of one account on one connection for as long as it lasts, then on the next one.
fn call(address: SocketAddr, caller: &str, has_limit: bool, is_over: &AtomicBool) -> Vec<Call> {
    let key = if has_limit { "key-a1" } else { "key-b" };
    let mut calls = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        let Ok(stream) = std::net::TcpStream::connect(address) else {
            std::thread::sleep(PAUSE);
            continue;
        };
        let mut connection = Connection::from(stream);
        loop {
            let id = format!("{caller}-{}", calls.len());
            let request = order_request(&id, key).with_header("Deadline-Ms", "1500");
            let sent_at = Instant::now();
            let answer = connection.send(&request.bytes());
            let is_open = answer.is_complete && answer.header("connection") != Some("close");
            calls.push(Call {
                id,
                has_limit,
                sent_at,
                ended_at: Instant::now(),
                answer,
            });
            std::thread::sleep(PAUSE);
            if !is_open || is_over.load(Ordering::Relaxed) {
                break;
            }
        }
    }
    calls
}

fn run_seed(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut cluster = start(GATEWAYS);
    let is_over = AtomicBool::new(false);
    let addresses: Vec<SocketAddr> = (0..GATEWAYS)
        .map(|gateway| cluster.caller_address(gateway))
        .collect();
    let mut steps = Vec::new();
    let calls: Vec<Call> = std::thread::scope(|scope| {
        let is_over = &is_over;
        let callers: Vec<_> = (0..u64::from(GATEWAYS) * CALLERS_PER_GATEWAY)
            .map(|caller| {
                let address = addresses[(caller % u64::from(GATEWAYS)) as usize];
                let has_limit = caller < u64::from(GATEWAYS) * (CALLERS_PER_GATEWAY - 1);
                scope.spawn(move || call(address, &format!("c{caller}"), has_limit, is_over))
            })
            .collect();
        for _ in 0..STEPS {
            let step = random_step(&mut rng);
            steps.push(step);
            apply(&mut cluster, step, &mut rng);
            std::thread::sleep(Duration::from_millis(rng.random_range(0..2_000)));
        }
        for step in [
            Step::StoreKnobs(Knobs::default()),
            Step::ReconnectStore,
            Step::Away(Away::ListAndCopy, false),
        ] {
            apply(&mut cluster, step, &mut rng);
        }
        is_over.store(true, Ordering::Relaxed);
        let callers = callers.into_iter();
        callers
            .flat_map(|caller| caller.join().expect("a caller"))
            .collect()
    });
    let (served, most) = check(&cluster, &calls, &format!("seed {seed}: {steps:?}"));
    for gateway in 0..GATEWAYS {
        let what = format!("seed {seed}: gateway {gateway} admits requests, {steps:?}");
        eventually(START_TIMEOUT, &what, || {
            status(&cluster, gateway, "key-a1") == 200
        });
    }
    println!(
        "seed {seed}: {} requests, {served} served, most {most}",
        calls.len()
    );
}

/// Checks all answers. Returns the number of requests that were served, and the most of the account
/// with a limit in a window.
fn check(cluster: &Cluster, calls: &[Call], what: &str) -> (usize, usize) {
    let runs = cluster.desks.iter().flat_map(|desk| {
        let runs = &desk.state().runs;
        runs.iter().map(|run| run.id.clone()).collect::<Vec<_>>()
    });
    let runs: HashSet<String> = runs.collect();
    for Call { id, answer, .. } in calls {
        if matches!(answer.status, 429 | 503) {
            assert!(!runs.contains(id), "{what}: {id} ran: {answer:?}");
        }
    }
    let unlimited = calls.iter().filter(|call| !call.has_limit);
    for Call { answer, .. } in unlimited {
        let is_limited = answer.status == 429 || answer.text().contains("limit-unknown");
        assert!(!is_limited, "{what}: {answer:?}");
    }
    let mut limited: Vec<&Call> = calls
        .iter()
        .filter(|call| call.has_limit && runs.contains(&call.id))
        .collect();
    limited.sort_by_key(|call| call.sent_at);
    let in_window = |first: &Call| {
        let later = limited.iter().filter(|call| call.sent_at >= first.sent_at);
        let end = first.sent_at + WINDOW;
        later.filter(|call| call.ended_at <= end).count()
    };
    let most = limited.iter().map(|first| in_window(first)).max();
    let most = most.unwrap_or(0);
    // The tolerance of the platform: a tenth of the limit and 20 requests.
    let rate = f64::from(RATE);
    let bound = (rate * WINDOW.as_secs_f64() + rate) * 1.1 + 20.0;
    assert!(most as f64 <= bound, "{what}: {most} of {bound}");
    let served = calls.iter().filter(|call| call.answer.status == 200);
    (served.count(), most)
}

#[test]
fn overlapping_faults_of_the_list_exceed_no_limit() {
    for seed in seeds() {
        run_seed(seed);
    }
}
