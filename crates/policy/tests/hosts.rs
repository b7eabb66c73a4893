//! Many hosts before the same endpoints, each of which sees only its own requests.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::{CompactString, format_compact};
use policy::{Balancer, Candidate, Choice, Chunk, Demand, Fault, TransferCost};
use units::{Span, Time, Tokens};

/// Hosts and endpoints of an availability zone of the large fleet.
const HOSTS: usize = 14;
const ENDPOINTS: usize = 10;
/// Parts that programs share.
const PARTS: u64 = 16;
/// Endpoints that may read the same part: a quarter of those of the zone, rounded up.
const HOMES: usize = 3;

fn candidate(number: usize) -> Candidate {
    Candidate {
        id: format_compact!("endpoint-{number}"),
        service: "service".into(),
        release: "v1".into(),
        zone: "z0".parse().expect("a zone"),
        slots: 24,
        is_model: true,
        start_id: 1,
        transfer_cost: TransferCost::default(),
    }
}

fn at(ms: u64) -> Time {
    Time(0).after(Span::from_ms(ms + 60_000))
}

/// Hosts that have the same endpoints.
fn hosts() -> Vec<Balancer> {
    let mut host = Balancer::default();
    host.sync((0..ENDPOINTS).map(candidate));
    vec![host; HOSTS]
}

/// Runs the first turn of a program at a host; the endpoint is idle and answers as expected.
fn run(host: &mut Balancer, part: u64, program: u64, now: Time) -> Choice {
    let chunks = [(part, 2_560), (1_000 + program, 1_000)];
    let chunks = chunks.map(|(id, tokens)| Chunk {
        id,
        tokens: Tokens(tokens),
    });
    let demand = Demand {
        service: "service",
        release: None,
        chunks: &chunks,
        bytes: 4_000,
        last_endpoint: "",
        hash_key: program.wrapping_mul(0x0123_4567_89ab_cdef),
        max_wait: Span(0),
        is_suspect: false,
    };
    let mut choice = host.choose(&demand, &[], now).expect("an endpoint");
    assert!(host.try_send(&mut choice, &chunks, now));
    host.record_first_token(&choice, Span::from_ms(1), now);
    host.finish(&choice, true, Fault::None, now);
    choice
}

/// Each host runs programs with parts in turn from `from_ms` on, one every 100 ms; returns what each
/// endpoint got.
fn run_all(hosts: &mut [Balancer], from_ms: u64, rounds: u64) -> BTreeMap<CompactString, Vec<u64>> {
    let mut parts_of: BTreeMap<CompactString, Vec<u64>> = BTreeMap::new();
    for round in 0..rounds {
        for (number, host) in hosts.iter_mut().enumerate() {
            let program = from_ms * 1_000 + round * HOSTS as u64 + number as u64;
            let part = program % PARTS;
            let now = at(from_ms + 100 * round);
            let choice = run(host, part, program, now);
            parts_of.entry(choice.id).or_default().push(part);
        }
    }
    parts_of
}

#[test]
fn hosts_that_start_together_have_few_endpoints_read_a_shared_part() {
    let parts_of = run_all(&mut hosts(), 0, 40);
    for part in 0..PARTS {
        let readers = parts_of.values().filter(|parts| parts.contains(&part));
        let readers = readers.count();
        assert!(readers <= HOMES, "{readers} endpoints read part {part}");
    }
}

#[test]
fn no_endpoint_is_left_idle_while_another_gets_twice_the_mean() {
    let parts_of = run_all(&mut hosts(), 0, 40);
    let counts: Vec<usize> = parts_of.values().map(Vec::len).collect();
    assert_eq!(counts.len(), ENDPOINTS, "{counts:?}");
    let mean = 40 * HOSTS / ENDPOINTS;
    assert!(counts.iter().all(|count| *count <= 2 * mean), "{counts:?}");
}

#[test]
fn new_endpoints_get_a_share_of_the_work_within_three_seconds() {
    let mut hosts = hosts();
    run_all(&mut hosts, 0, 40);
    let new: BTreeSet<_> = (0..4)
        .map(|number| candidate(ENDPOINTS + number))
        .map(|new| {
            for host in &mut hosts {
                host.upsert(new.clone(), at(4_000));
            }
            new.id
        })
        .collect();
    let parts_of = run_all(&mut hosts, 7_000, 40);
    let mean = 40 * HOSTS / (ENDPOINTS + new.len());
    let counts = parts_of.iter().filter(|(id, _)| new.contains(*id));
    let got: usize = counts.map(|(_, parts)| parts.len()).sum();
    assert!(got >= new.len() * mean / 2, "{got} of {}", 40 * HOSTS);
}

#[test]
fn hosts_that_see_a_new_endpoint_together_do_not_all_send_to_it() {
    let mut hosts = hosts();
    run_all(&mut hosts, 0, 40);
    let new = candidate(ENDPOINTS);
    for host in &mut hosts {
        host.upsert(new.clone(), at(4_000));
    }
    // One part that the new endpoint would have a share of, from all hosts in the same moment.
    for part in 0..PARTS {
        let sent = hosts.iter().enumerate().filter(|(number, host)| {
            let program = 1_000_000 + part * HOSTS as u64 + *number as u64;
            run(&mut (*host).clone(), part, program, at(4_010)).id == new.id
        });
        let sent = sent.count();
        assert!(sent <= HOSTS / 3, "{sent} hosts sent part {part}");
    }
}
