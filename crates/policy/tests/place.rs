//! Choice of an endpoint at low and at peak load, after faults, and across availability zones.

use compact_str::{CompactString, format_compact};
use policy::{Balancer, Candidate, Choice, Chunk, Demand, Fault, TransferCost};
use proptest::prelude::*;
use units::{Span, Time, Tokens};

const SLOTS: u32 = 4;

fn candidate(number: usize, transfer_cost: TransferCost, is_model: bool) -> Candidate {
    Candidate {
        id: format_compact!("endpoint-{number}"),
        service: "service".into(),
        release: "v1".into(),
        zone: "z0".parse().expect("a zone"),
        slots: SLOTS,
        is_model,
        start_id: 1,
        transfer_cost,
    }
}

fn balancer(count: usize, is_model: bool) -> Balancer {
    let mut balancer = Balancer::default();
    balancer.sync((0..count).map(|number| candidate(number, TransferCost::default(), is_model)));
    balancer
}

fn demand<'a>(chunks: &'a [Chunk], last_endpoint: &'a str, hash_key: u64) -> Demand<'a> {
    Demand {
        service: "service",
        release: None,
        chunks,
        bytes: 4_000,
        last_endpoint,
        hash_key,
        max_wait: Span(0),
        is_suspect: false,
    }
}

fn chunk(id: u64, tokens: u64) -> Chunk {
    Chunk {
        id,
        tokens: Tokens(tokens),
    }
}

fn at(ms: u64) -> Time {
    Time(0).after(Span::from_ms(ms + 60_000))
}

/// Chooses an endpoint, sends the request, and records its first token at the expected time.
fn run(balancer: &mut Balancer, demand: &Demand<'_>, now: Time) -> Choice {
    let mut choice = balancer.choose(demand, &[], now).expect("an endpoint");
    assert!(balancer.try_send(&mut choice, demand.chunks, now));
    balancer.record_first_token(&choice, choice.expected, now);
    choice
}

fn finish(balancer: &mut Balancer, choice: &Choice, now: Time) {
    balancer.finish(choice, true, Fault::None, now);
}

#[test]
fn the_next_turn_goes_to_the_endpoint_with_its_prompt() {
    let mut balancer = balancer(9, true);
    let first = [chunk(1, 2_560), chunk(2, 500)];
    let choice = run(&mut balancer, &demand(&first, "", 7), at(0));
    finish(&mut balancer, &choice, at(100));
    let second = [chunk(1, 2_560), chunk(2, 500), chunk(3, 400)];
    let next = run(&mut balancer, &demand(&second, "", 8), at(200));
    assert_eq!(next.id, choice.id);
    assert_eq!(next.missing, Tokens(400));
}

#[test]
fn a_prompt_that_was_never_sent_does_not_count_as_cached() {
    let mut balancer = balancer(2, true);
    let prompt = [chunk(1, 3_000)];
    let choice = balancer.choose(&demand(&prompt, "", 7), &[], at(0));
    let choice = choice.expect("an endpoint");
    balancer.finish(&choice, false, Fault::None, at(0));
    let again = balancer.choose(&demand(&prompt, "", 7), &[], at(1));
    assert_eq!(again.expect("an endpoint").missing, Tokens(3_000));
}

#[test]
fn a_host_that_has_not_seen_the_program_chooses_its_last_endpoint() {
    let mut balancer = balancer(9, true);
    let prompt = [chunk(1, 2_560), chunk(2, 3_000), chunk(3, 400)];
    let choice = run(&mut balancer, &demand(&prompt, "endpoint-5", 7), at(0));
    assert_eq!(choice.id, "endpoint-5");
}

#[test]
fn a_queue_outweighs_a_cached_prompt() {
    let mut balancer = balancer(2, true);
    let prompt = [chunk(1, 2_560)];
    let holder = run(&mut balancer, &demand(&prompt, "", 7), at(0));
    // First tokens arrive a second late: requests of other hosts fill the endpoint.
    for ms in 0..5 {
        balancer.record_first_token(&holder, Span::from_ms(1_000), at(ms));
    }
    let next = run(&mut balancer, &demand(&prompt, "", 7), at(10));
    assert_ne!(next.id, holder.id);
}

#[test]
fn noise_at_peak_load_does_not_move_a_program_from_its_prompt() {
    let mut balancer = balancer(2, true);
    let prompt = [chunk(1, 2_500), chunk(2, 500)];
    let holder = run(&mut balancer, &demand(&prompt, "", 7), at(0));
    finish(&mut balancer, &holder, at(1));
    // One first token arrived 400 ms late; reading the prompt at the other endpoint would delay all
    // of its requests by 102 ms.
    balancer.record_first_token(&holder, Span::from_ms(400), at(2));
    let longer = [chunk(1, 2_500), chunk(2, 500), chunk(3, 10)];
    let next = run(&mut balancer, &demand(&longer, "", 7), at(3));
    assert_eq!(next.id, holder.id);
}

#[test]
fn an_observed_queue_decays() {
    let mut balancer = balancer(2, true);
    let prompt = [chunk(1, 2_560)];
    let holder = run(&mut balancer, &demand(&prompt, "", 7), at(0));
    for ms in 0..5 {
        balancer.record_first_token(&holder, Span::from_ms(1_000), at(ms));
    }
    let next = run(&mut balancer, &demand(&prompt, "", 7), at(8_000));
    assert_eq!(next.id, holder.id);
}

#[test]
fn a_fault_diverts_requests_until_it_decays() {
    let mut balancer = balancer(3, false);
    let choice = run(&mut balancer, &demand(&[], "", 7), at(0));
    balancer.finish(&choice, false, Fault::Failed, at(0));
    let next = run(&mut balancer, &demand(&[], "", 7), at(100));
    assert_ne!(next.id, choice.id);
    finish(&mut balancer, &next, at(200));
    let later = run(&mut balancer, &demand(&[], "", 7), at(30_000));
    assert_eq!(later.id, choice.id);
}

/// One endpoint answers half of its requests with errors; all others serve.
#[test]
fn an_endpoint_with_many_errors_gets_few_requests() {
    let mut balancer = balancer(6, true);
    let mut errors = 0;
    for number in 0..300_u64 {
        // Ten requests a second, each of its own program.
        let now = at(number * 100);
        let prompt = [chunk(number, 1_000)];
        let choice = run(&mut balancer, &demand(&prompt, "", number), now);
        let is_error = choice.id == "endpoint-0" && number % 2 == 0;
        let fault = if is_error { Fault::Minor } else { Fault::None };
        errors += u32::from(is_error);
        balancer.finish(&choice, true, fault, now.after(Span::from_ms(20)));
    }
    // An even share, one sixth of the requests, would give 25 errors.
    assert!(errors <= 10, "{errors}");
}

/// Every endpoint returns a few errors, as healthy services do; none loses its share of the work.
#[test]
fn rare_errors_leave_the_work_evenly_distributed() {
    let mut balancer = balancer(3, false);
    let mut counts = [0_u32; 3];
    let mut running = Vec::new();
    for number in 0..3_000_u64 {
        // Two hundred requests a second of 50 ms each, one in a hundred of which fails.
        let now = at(number * 5);
        running.retain(|(choice, end)| {
            let ends = *end <= now;
            if ends {
                let is_error = number % 100 == 0;
                let fault = if is_error { Fault::Minor } else { Fault::None };
                balancer.finish(choice, true, fault, now);
            }
            !ends
        });
        let choice = run(&mut balancer, &demand(&[], "", number), now);
        let index: usize = choice.id["endpoint-".len()..].parse().expect("a number");
        counts[index] += 1;
        running.push((choice, now.after(Span::from_ms(50))));
    }
    assert!(counts.iter().all(|count| *count >= 600), "{counts:?}");
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![Just(Fault::None), Just(Fault::Minor), Just(Fault::Failed)]
}

#[test]
fn an_excluded_endpoint_is_not_chosen() {
    let mut balancer = balancer(2, false);
    let first = run(&mut balancer, &demand(&[], "", 7), at(0));
    let tried = [first.id.clone()];
    let second = balancer.choose(&demand(&[], "", 7), &tried, at(0));
    assert_ne!(second.expect("an endpoint").id, first.id);
    let all: [CompactString; 2] = ["endpoint-0".into(), "endpoint-1".into()];
    assert_eq!(balancer.choose(&demand(&[], "", 7), &all, at(0)), None);
}

#[test]
fn a_request_stays_in_its_zone_until_the_queue_exceeds_the_transfer_cost() {
    let far = TransferCost {
        per_request: Span::from_ms(30),
        per_kilobyte: Span::from_ms(4),
    };
    let mut balancer = Balancer::default();
    let costs = [TransferCost::default(), far];
    balancer.sync(
        costs
            .into_iter()
            .enumerate()
            .map(|(n, transfer_cost)| candidate(n, transfer_cost, false)),
    );
    // Requests take 50 ms each, so a second one at the near endpoint costs that much more.
    let mut next = || {
        let choice = balancer.choose(&demand(&[], "", 7), &[], at(0));
        choice.expect("an endpoint").id
    };
    assert_eq!(next(), "endpoint-0");
    assert_eq!(next(), "endpoint-1");
}

#[test]
fn a_restarted_endpoint_has_no_cached_prompt() {
    let mut balancer = balancer(1, true);
    let prompt = [chunk(1, 2_000)];
    let choice = run(&mut balancer, &demand(&prompt, "", 7), at(0));
    let restarted = Candidate {
        start_id: 2,
        ..candidate(0, TransferCost::default(), true)
    };
    balancer.sync([restarted].into_iter());
    let next = run(&mut balancer, &demand(&prompt, "", 7), at(10));
    assert_eq!(next.missing, Tokens(2_000));
    // The end of a request from before the restart does not change the count of the new start.
    finish(&mut balancer, &choice, at(20));
    assert_eq!(balancer.outstanding("endpoint-0"), 1);
}

#[test]
fn suspects_keep_to_an_endpoint_that_all_hosts_choose() {
    let prompt = [chunk(1, 3_000)];
    let suspect = |key| Demand {
        is_suspect: true,
        ..demand(&prompt, "", key)
    };
    let choose = |key, burst: usize| {
        let mut balancer = balancer(9, true);
        for number in 0..burst {
            let ordinary = [chunk(100 + number as u64, 1_000)];
            balancer.choose(&demand(&ordinary, "", number as u64), &[], at(0));
        }
        balancer
            .choose(&suspect(key), &[], at(0))
            .expect("an endpoint")
            .id
    };
    let endpoints: std::collections::HashSet<CompactString> =
        (0..9).map(|key| choose(key, 0)).collect();
    assert!(endpoints.len() > 3, "{endpoints:?}");
    for key in 0..9 {
        assert_eq!(choose(key, 0), choose(key, 20), "hosts of different load");
    }
}

/// A plain service has no cache to fill, and few endpoints: those that start again are used at once.
#[test]
fn new_endpoints_of_a_plain_service_share_its_load_at_once() {
    let mut balancer = balancer(1, false);
    for number in 1..3 {
        balancer.upsert(candidate(number, TransferCost::default(), false), at(0));
    }
    let mut counts = [0_u32; 3];
    for number in 0..12 {
        let choice = balancer.choose(&demand(&[], "", number), &[], at(10));
        let id = choice.expect("an endpoint").id;
        let index: usize = id["endpoint-".len()..].parse().expect("a number");
        counts[index] += 1;
    }
    assert_eq!(counts, [4, 4, 4]);
}

proptest! {
    /// A request that is bound to a release goes to an endpoint of it, however loaded they are.
    #[test]
    fn request_bound_to_a_release_goes_to_no_other(
        releases in prop::collection::vec(0..3u8, 1..8), bound in 0..3u8, burst in 0..60usize
    ) {
        let mut balancer = Balancer::default();
        let candidates = releases.iter().enumerate().map(|(number, release)| Candidate {
            release: format_compact!("v{release}"),
            ..candidate(number, TransferCost::default(), true)
        });
        balancer.sync(candidates);
        let release = format_compact!("v{bound}");
        let prompt = [chunk(1, 3_000)];
        let demand = Demand { release: Some(&release), ..demand(&prompt, "endpoint-0", 7) };
        let is_served = releases.contains(&bound);
        for _ in 0..=burst {
            let choice = balancer.choose(&demand, &[], at(0));
            prop_assert_eq!(choice.is_some(), is_served);
            prop_assert!(choice.is_none_or(|choice| choice.release == release));
        }
        prop_assert_eq!(balancer.limit_wait(&demand, &[], at(0)).is_some(), is_served);
    }

    /// A burst of requests without a common prompt is distributed over all endpoints.
    #[test]
    fn a_burst_is_distributed(count in 2..12_usize, keys in prop::collection::vec(any::<u64>(), 60)) {
        let mut balancer = balancer(count, true);
        let mut counts = vec![0_usize; count];
        for (number, key) in keys.iter().enumerate() {
            let prompt = [chunk(1_000 + number as u64, 3_000)];
            let choice = balancer.choose(&demand(&prompt, "", *key), &[], at(0));
            let choice = choice.expect("an endpoint");
            let index: usize = choice.id["endpoint-".len()..].parse().expect("a number");
            counts[index] += 1;
        }
        let most = counts.iter().max().copied().unwrap_or_default();
        prop_assert!(most <= 60_usize.div_ceil(count) + 1, "{counts:?}");
    }

    /// A host that applies each change by itself chooses like one that reads the whole list.
    #[test]
    fn single_changes_give_the_same_choice_as_the_whole_list(
        changes in prop::collection::vec((0..9_usize, 0..3_u8, 1..3_u64), 1..40), key in any::<u64>()
    ) {
        let mut listed = std::collections::BTreeMap::new();
        let (mut by_change, mut by_list) = (Balancer::default(), Balancer::default());
        for (number, kind, start_id) in changes {
            let mut info = Candidate { start_id, ..candidate(number, TransferCost::default(), true) };
            match kind {
                0 => {
                    by_change.remove(&info.id);
                    listed.remove(&number);
                    continue;
                }
                1 => info.service = "another".into(),
                _ => {}
            }
            by_change.upsert(info.clone(), at(0));
            listed.insert(number, info);
        }
        by_list.sync(listed.into_values());
        let prompt = [chunk(1, 3_000)];
        for number in 0..20 {
            let demand = demand(&prompt, "", key.wrapping_add(number));
            let choices = [&mut by_change, &mut by_list]
                .map(|balancer| balancer.choose(&demand, &[], at(60_000 + number)));
            prop_assert_eq!(&choices[0], &choices[1]);
        }
    }

    /// No request stays counted as outstanding after its end, with any outcome.
    #[test]
    fn ended_requests_are_not_outstanding(ends in prop::collection::vec((any::<bool>(), fault()), 1..40)) {
        let mut balancer = balancer(3, true);
        let prompt = [chunk(1, 100)];
        for (got_first_token, fault) in ends {
            let choice = balancer.choose(&demand(&prompt, "", 1), &[], at(0));
            let choice = choice.expect("an endpoint");
            if got_first_token {
                balancer.record_first_token(&choice, Span::from_ms(5), at(1));
            }
            balancer.finish(&choice, got_first_token, fault, at(2));
        }
        for number in 0..3 {
            prop_assert_eq!(balancer.outstanding(&format!("endpoint-{number}")), 0);
        }
    }
}
