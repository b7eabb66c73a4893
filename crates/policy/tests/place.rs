//! The choice of an endpoint under the loads that it answers.

use compact_str::{CompactString, format_compact};
use policy::{Balancer, Candidate, Choice, Chunk, Demand, Fault, TransferCost};
use proptest::prelude::*;
use units::{Span, Time, Tokens};

const SLOTS: u32 = 4;

fn candidate(number: usize, transfer_cost: TransferCost, is_model: bool) -> Candidate {
    Candidate {
        id: format_compact!("endpoint-{number}"),
        service: "service".into(),
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
        chunks,
        bytes: 4_000,
        last_endpoint,
        hash_key,
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

/// Balancer a request, sends it and has its first token come as expected.
fn run(balancer: &mut Balancer, demand: &Demand<'_>, now: Time) -> Choice {
    let choice = balancer.choose(demand, &[], now).expect("an endpoint");
    balancer.record_sent(&choice, demand.chunks, now);
    balancer.record_first_token(&choice, choice.expected, now);
    choice
}

fn finish(balancer: &mut Balancer, choice: &Choice, now: Time) {
    balancer.finish(choice, true, Fault::None, now);
}

#[test]
fn the_next_turn_goes_where_its_prompt_is() {
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
fn a_prompt_that_was_never_sent_is_not_believed_to_be_there() {
    let mut balancer = balancer(2, true);
    let prompt = [chunk(1, 3_000)];
    let choice = balancer.choose(&demand(&prompt, "", 7), &[], at(0));
    let choice = choice.expect("an endpoint");
    balancer.finish(&choice, false, Fault::None, at(0));
    let again = balancer.choose(&demand(&prompt, "", 7), &[], at(1));
    assert_eq!(again.expect("an endpoint").missing, Tokens(3_000));
}

#[test]
fn a_host_that_has_not_seen_the_program_follows_its_home() {
    let mut balancer = balancer(9, true);
    let prompt = [chunk(1, 2_560), chunk(2, 3_000), chunk(3, 400)];
    let choice = run(&mut balancer, &demand(&prompt, "endpoint-5", 7), at(0));
    assert_eq!(choice.id, "endpoint-5");
}

#[test]
fn a_queue_outweighs_the_memory() {
    let mut balancer = balancer(2, true);
    let prompt = [chunk(1, 2_560)];
    let home = run(&mut balancer, &demand(&prompt, "", 7), at(0));
    // First tokens come a second late there: others have filled it.
    for ms in 0..5 {
        balancer.record_first_token(&home, Span::from_ms(1_000), at(ms));
    }
    let next = run(&mut balancer, &demand(&prompt, "", 7), at(10));
    assert_ne!(next.id, home.id);
}

#[test]
fn noise_of_a_crest_does_not_move_a_program_from_its_prompt() {
    let mut balancer = balancer(2, true);
    let prompt = [chunk(1, 2_500), chunk(2, 500)];
    let home = run(&mut balancer, &demand(&prompt, "", 7), at(0));
    finish(&mut balancer, &home, at(1));
    // One first token came 400 ms late; reading the prompt elsewhere takes 102 ms of all others'
    // time there.
    balancer.record_first_token(&home, Span::from_ms(400), at(2));
    let longer = [chunk(1, 2_500), chunk(2, 500), chunk(3, 10)];
    let next = run(&mut balancer, &demand(&longer, "", 7), at(3));
    assert_eq!(next.id, home.id);
}

#[test]
fn a_queue_is_forgotten() {
    let mut balancer = balancer(2, true);
    let prompt = [chunk(1, 2_560)];
    let home = run(&mut balancer, &demand(&prompt, "", 7), at(0));
    for ms in 0..5 {
        balancer.record_first_token(&home, Span::from_ms(1_000), at(ms));
    }
    let next = run(&mut balancer, &demand(&prompt, "", 7), at(8_000));
    assert_eq!(next.id, home.id);
}

#[test]
fn a_fault_sends_requests_elsewhere_for_a_while() {
    let mut balancer = balancer(3, false);
    let choice = run(&mut balancer, &demand(&[], "", 7), at(0));
    balancer.finish(&choice, false, Fault::Failed, at(0));
    let next = run(&mut balancer, &demand(&[], "", 7), at(100));
    assert_ne!(next.id, choice.id);
    finish(&mut balancer, &next, at(200));
    let later = run(&mut balancer, &demand(&[], "", 7), at(30_000));
    assert_eq!(later.id, choice.id);
}

/// An endpoint fails half of its requests with errors of its own; all others serve.
#[test]
fn an_endpoint_that_errs_gets_little() {
    let mut balancer = balancer(6, true);
    let mut errors = 0;
    for number in 0..300_u64 {
        // Ten requests a second, each of a program of its own.
        let now = at(number * 100);
        let prompt = [chunk(number, 1_000)];
        let choice = run(&mut balancer, &demand(&prompt, "", number), now);
        let fails = choice.id == "endpoint-0" && number % 2 == 0;
        let fault = if fails { Fault::Minor } else { Fault::None };
        errors += u32::from(fails);
        balancer.finish(&choice, true, fault, now.after(Span::from_ms(20)));
    }
    // A sixth of all requests would meet 25 errors.
    assert!(errors <= 10, "{errors}");
}

/// Every endpoint errs now and then, as services do: none is left out for that.
#[test]
fn rare_errors_leave_the_work_spread() {
    let mut balancer = balancer(3, false);
    let mut taken = [0_u32; 3];
    let mut running = Vec::new();
    for number in 0..3_000_u64 {
        // Two hundred requests a second of 50 ms each, one in a hundred of which fails.
        let now = at(number * 5);
        running.retain(|(choice, end)| {
            let ends = *end <= now;
            if ends {
                let errs = number % 100 == 0;
                let fault = if errs { Fault::Minor } else { Fault::None };
                balancer.finish(choice, true, fault, now);
            }
            !ends
        });
        let choice = run(&mut balancer, &demand(&[], "", number), now);
        let index: usize = choice.id["endpoint-".len()..].parse().expect("a number");
        taken[index] += 1;
        running.push((choice, now.after(Span::from_ms(50))));
    }
    assert!(taken.iter().all(|count| *count >= 600), "{taken:?}");
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![Just(Fault::None), Just(Fault::Minor), Just(Fault::Failed)]
}

#[test]
fn an_endpoint_that_was_asked_is_not_asked_again() {
    let mut balancer = balancer(2, false);
    let first = run(&mut balancer, &demand(&[], "", 7), at(0));
    let tried = [first.id.clone()];
    let second = balancer.choose(&demand(&[], "", 7), &tried, at(0));
    assert_ne!(second.expect("an endpoint").id, first.id);
    let all: [CompactString; 2] = ["endpoint-0".into(), "endpoint-1".into()];
    assert_eq!(balancer.choose(&demand(&[], "", 7), &all, at(0)), None);
}

#[test]
fn a_request_stays_in_its_zone_until_the_queue_there_is_worth_the_way() {
    let far = TransferCost {
        per_request: Span::from_ms(30),
        per_kilobyte: Span::from_ms(4),
    };
    let mut balancer = Balancer::default();
    let ways = [TransferCost::default(), far];
    balancer.sync(
        ways.into_iter()
            .enumerate()
            .map(|(n, transfer_cost)| candidate(n, transfer_cost, false)),
    );
    // Requests that take 50 ms each: the second of two at the near endpoint waits that long.
    let mut next = || {
        let choice = balancer.choose(&demand(&[], "", 7), &[], at(0));
        choice.expect("an endpoint").id
    };
    assert_eq!(next(), "endpoint-0");
    assert_eq!(next(), "endpoint-1");
}

#[test]
fn a_start_under_the_same_identifier_has_nothing_in_memory() {
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
    // What was counted before the restart is not taken off the new start.
    finish(&mut balancer, &choice, at(20));
    assert_eq!(balancer.outstanding("endpoint-0"), 1);
}

proptest! {
    /// A crest of requests without any common prompt spreads over all endpoints.
    #[test]
    fn a_crest_is_spread(count in 2..12_usize, keys in prop::collection::vec(any::<u64>(), 60)) {
        let mut balancer = balancer(count, true);
        let mut taken = vec![0_usize; count];
        for (number, key) in keys.iter().enumerate() {
            let prompt = [chunk(1_000 + number as u64, 3_000)];
            let choice = balancer.choose(&demand(&prompt, "", *key), &[], at(0));
            let choice = choice.expect("an endpoint");
            let index: usize = choice.id["endpoint-".len()..].parse().expect("a number");
            taken[index] += 1;
        }
        let most = taken.iter().max().copied().unwrap_or_default();
        prop_assert!(most <= 60_usize.div_ceil(count) + 1, "{taken:?}");
    }

    /// Whatever happens, no request stays counted after its end.
    #[test]
    fn requests_are_counted_off(ends in prop::collection::vec((any::<bool>(), fault()), 1..40)) {
        let mut balancer = balancer(3, true);
        let prompt = [chunk(1, 100)];
        for (begun, fault) in ends {
            let choice = balancer.choose(&demand(&prompt, "", 1), &[], at(0));
            let choice = choice.expect("an endpoint");
            if begun {
                balancer.record_first_token(&choice, Span::from_ms(5), at(1));
            }
            balancer.finish(&choice, begun, fault, at(2));
        }
        for number in 0..3 {
            prop_assert_eq!(balancer.outstanding(&format!("endpoint-{number}")), 0);
        }
    }
}
