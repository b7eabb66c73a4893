//! Long prompts beside short ones in the queue of an engine.

use policy::Urgency;
use units::{Span, Tokens};

const READ_US_PER_TOKEN: f64 = 25.0;
const OBJECTIVE: Span = Span::from_ms(300);
const SHORT: u64 = 500;
const LONG: u64 = 6_000;

fn urgency(unread: u64, finish_ms: u64) -> Urgency {
    Urgency {
        rank: 1,
        is_new: true,
        unread: Tokens(unread),
        read_us_per_token: READ_US_PER_TOKEN,
        objective: OBJECTIVE,
        finish_within: Some(Span::from_ms(finish_ms)),
    }
}

macro_rules! order_cases {
    ($($name:ident: $first:expr, before $second:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let (first, second): (Urgency, Urgency) = ($first, $second);
                assert!(first.level() < second.level(), "{} {}", first.level(), second.level());
            }
        )*
    };
}

order_cases! {
    a_short_prompt_goes_before_a_long_one_that_has_time:
        urgency(SHORT, 4_000), before urgency(LONG, 8_000);
    a_long_prompt_that_is_pressed_goes_before_one_that_has_time:
        urgency(LONG, 1_000), before urgency(LONG, 8_000);
    a_program_under_way_goes_before_a_new_one:
        Urgency { is_new: false, ..urgency(SHORT, 4_000) }, before urgency(SHORT, 4_000);
    // It would be broken off first, and read again.
    a_long_prompt_of_a_program_under_way_goes_before_a_short_new_one:
        Urgency { is_new: false, ..urgency(LONG, 8_000) }, before urgency(SHORT, 4_000);
    a_higher_rank_goes_before_whatever_the_prompt:
        Urgency { rank: 0, ..urgency(LONG, 8_000) }, before urgency(SHORT, 4_000);
}

#[test]
fn levels_stay_within_those_of_engines() {
    for rank in 0..=u8::MAX {
        let level = Urgency {
            rank,
            ..urgency(LONG, 8_000)
        }
        .level();
        assert!((1..=9).contains(&level));
    }
}

/// A request in the queue of an engine that reads one prompt at a time.
#[derive(Clone, Copy)]
struct Queued {
    arrives_ms: u64,
    unread: u64,
    level: u8,
}

/// Returns the time from arrival to the first token of each request, in milliseconds.
fn first_tokens(mut queue: Vec<Queued>) -> Vec<(u64, u64)> {
    let mut now = 0;
    let mut ended = Vec::new();
    while !queue.is_empty() {
        let arrived = queue.iter().filter(|queued| queued.arrives_ms <= now);
        let Some(next) = arrived
            .min_by_key(|queued| (queued.level, queued.arrives_ms))
            .copied()
        else {
            now += 1;
            continue;
        };
        let at = queue
            .iter()
            .position(|queued| queued.arrives_ms == next.arrives_ms);
        queue.remove(at.expect("queued"));
        now += (next.unread as f64 * READ_US_PER_TOKEN / 1_000.0) as u64;
        ended.push((next.unread, now - next.arrives_ms));
    }
    ended
}

// A crest with one long prompt among five: the short ones waited for them, and were late.
#[test]
fn at_a_crest_short_prompts_do_not_wait_for_long_ones() {
    let mix = |level: fn(u64) -> u8| {
        let queue = (0..100_u64).map(|number| {
            let unread = if number % 5 == 0 { LONG } else { SHORT };
            Queued {
                arrives_ms: number * 35,
                unread,
                level: level(unread),
            }
        });
        first_tokens(queue.collect())
    };
    let in_time = |ended: &[(u64, u64)], unread: u64, limit_ms: u64| {
        let of_size: Vec<_> = ended.iter().filter(|(size, _)| *size == unread).collect();
        let served = of_size.iter().filter(|(_, took)| *took <= limit_ms).count();
        served as f64 / of_size.len() as f64
    };
    let by_arrival = mix(|_| 1);
    let by_urgency = mix(|unread| urgency(unread, 8_000).level());
    // Short ones meet the objective of the first token; long ones end within what their programs have.
    assert!(in_time(&by_arrival, SHORT, OBJECTIVE.as_ms()) < 0.5);
    assert!(in_time(&by_urgency, SHORT, OBJECTIVE.as_ms()) > 0.95);
    assert_eq!(in_time(&by_urgency, LONG, 8_000 / 2), 1.0);
}
