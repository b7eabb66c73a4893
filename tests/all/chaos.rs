//! Random faults, single and combined, while callers retry: the invariants of `History::check` must
//! hold. `BALSAMHOLD_SEEDS` sets the number of seeds; the seeds and faults are printed.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use standins::link::Direction;

use crate::cluster::{Cluster, Config};
use crate::history::{History, Kind, input};
use crate::scenario::call_with_retries;
use crate::scenarios::seed_count;
use crate::script::Call;

const CALLERS: u64 = 6;
const CALLS: u64 = 8;
const FAULTS: u64 = 6;
const ENTRIES: u16 = 3;
const BUDGET_TOKENS: u64 = 20_000;
const RETRY_TIMEOUT: Duration = Duration::from_secs(20);
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// Runs one program and returns the number of calls with each outcome.
fn run_program(
    cluster: &Mutex<Cluster>,
    history: &History,
    number: u64,
    seed: u64,
) -> BTreeMap<String, u32> {
    let mut rng = StdRng::seed_from_u64(seed * CALLERS + number);
    let name = format!("p{number}");
    let callers: Vec<_> = (0..ENTRIES)
        .map(|entry| {
            cluster
                .lock()
                .unwrap()
                .caller(entry, "meche")
                .with_timeout(CALL_TIMEOUT)
        })
        .collect();
    let body = json!({"class": "reorder", "tokens": BUDGET_TOKENS, "calls": 50}).to_string();
    let created = (0..100).find_map(|attempt| {
        let caller = &callers[(number as usize + attempt) % callers.len()];
        let answer = caller.request("POST", "/v1/programs", Some(&body));
        std::thread::sleep(Duration::from_millis(50));
        // The entry may be killed after it sent the head of the response.
        answer?.1["program"].as_str().map(str::to_owned)
    });
    let mut outcomes = BTreeMap::new();
    let Some(id) = created else {
        return BTreeMap::from([("not created".to_owned(), 1)]);
    };
    history.add(&name, &id, "meche", BUDGET_TOKENS, None);
    for seq in 1..=CALLS {
        let first_entry = rng.random_range(0..ENTRIES);
        let call = random_call(&name, seq, &mut rng, first_entry);
        let answer = call_with_retries(history, &callers, &call);
        let outcome = match answer.is_complete() {
            true => "whole".to_owned(),
            false => format!("{:?} {} {}", call.kind, answer.code(), answer.ran()),
        };
        *outcomes.entry(outcome).or_default() += 1;
        if !answer.is_complete() && answer.ran() != "unknown" {
            break;
        }
    }
    outcomes
}

fn random_call(name: &str, seq: u64, rng: &mut StdRng, first_entry: u16) -> Call {
    let text = input(name, seq);
    let (kind, body) = match rng.random_range(0..4) {
        0 | 1 => {
            let max = rng.random_range(8..80);
            let body = json!({"seq": seq, "model": "advisor", "input": text, "max_tokens": max});
            (Kind::Model(max), body)
        }
        2 => (
            Kind::Order,
            json!({"seq": seq, "service": "stock", "input": text}),
        ),
        _ => (
            Kind::Lookup,
            json!({"seq": seq, "service": "catalogue", "input": text}),
        ),
    };
    Call {
        program: name.to_owned(),
        seq,
        kind,
        input: text,
        body,
        entries: (0..ENTRIES)
            .map(|entry| (first_entry + entry) % ENTRIES)
            .collect(),
        retry_timeout: RETRY_TIMEOUT,
    }
}

/// Causes one fault, waits for its duration and reverts it. Silenced connections stay silent, and
/// lost responses of the store stay lost.
fn inject_fault(cluster: &Mutex<Cluster>, rng: &mut StdRng) {
    let entry = format!("entry-{}", rng.random_range(0..ENTRIES));
    let sidecars = ["sidecar-engine-0", "sidecar-engine-1", "sidecar-service-0"];
    let sidecar = sidecars[rng.random_range(0..sidecars.len())];
    let duration = Duration::from_millis(rng.random_range(50..2_500));
    let kind = rng.random_range(0..8);
    println!("fault {kind} {entry} {sidecar} {duration:?}");
    let with_cluster = |action: &dyn Fn(&mut Cluster)| action(&mut cluster.lock().unwrap());
    match kind {
        0 => with_cluster(&|cluster| cluster.kill(&entry)),
        1 => with_cluster(&|cluster| cluster.kill(sidecar)),
        2 => with_cluster(&|cluster| {
            cluster.kill(&entry);
            cluster.kill(sidecar);
        }),
        3 => with_cluster(&|cluster| cluster.pause(&entry)),
        4 => with_cluster(&|cluster| cluster.platform.state().knobs.down = true),
        5 => with_cluster(&|cluster| cluster.platform.state().knobs.lose_answers = 2),
        6 => with_cluster(&|cluster| cluster.links[sidecar].silence(Direction::Both)),
        _ => with_cluster(&|cluster| cluster.links[&entry].silence(Direction::ToClient)),
    }
    std::thread::sleep(duration);
    match kind {
        0 => with_cluster(&|cluster| cluster.restart(&entry)),
        1 => with_cluster(&|cluster| cluster.restart(sidecar)),
        2 => with_cluster(&|cluster| {
            cluster.restart(sidecar);
            cluster.restart(&entry);
        }),
        3 => with_cluster(&|cluster| cluster.resume(&entry)),
        4 => with_cluster(&|cluster| cluster.platform.state().knobs.down = false),
        _ => {}
    }
}

fn run_with_faults(seed: u64) {
    println!("seed {seed}");
    let mut rng = StdRng::seed_from_u64(seed);
    let cluster = Mutex::new(Config::new().with_entries(ENTRIES).with_links().start());
    for service in &cluster.lock().unwrap().services {
        service.state().delay_ms = 20;
    }
    let history = History::default();
    let outcomes: Vec<_> = std::thread::scope(|scope| {
        let (cluster, history) = (&cluster, &history);
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| scope.spawn(move || run_program(cluster, history, number, seed)))
            .collect();
        (0..FAULTS).for_each(|_| inject_fault(cluster, &mut rng));
        callers
            .into_iter()
            .map(|caller| caller.join().unwrap())
            .collect()
    });
    println!("{outcomes:?}");
    history.check(&cluster.into_inner().unwrap());
}

#[test]
fn nothing_breaks_under_random_failures() {
    (0..seed_count()).for_each(run_with_faults);
}
