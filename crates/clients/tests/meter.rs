//! Limits of accounts over several hosts, with hosts that fail, are cut off, and come back.

use clients::{Granted, Limit, Meter, Want};
use proptest::prelude::*;
use units::{Host, Rate, Span, Time};

/// Time between two messages of a host to its meter.
const STEP: Span = Span::from_ms(100);
/// Span of time in which no account may exceed its limit.
const WINDOW_STEPS: usize = 50;
/// Share of the limit, and requests beside it, by which operators accept that all hosts together
/// exceed the limit in a window.
const EXCESS: f64 = 0.1;
const SLACK: f64 = 20.0;

fn host(number: usize) -> Host {
    format!("host-{number}").parse().expect("a name")
}

fn limit(rate: f64, burst: f64) -> Limit {
    Limit {
        rate: Rate(rate),
        burst,
    }
}

fn want(limit: Limit, under_way: u16, new: u16) -> Want {
    Want {
        account: "a".into(),
        limit,
        version: 1,
        under_way,
        new,
        expected: 0,
    }
}

fn total(granted: Granted) -> u64 {
    u64::from(granted.under_way) + u64::from(granted.new) + u64::from(granted.expected)
}

/// Hosts with a meter each.
struct Fleet {
    meters: Vec<Meter>,
    now: Time,
}

impl Fleet {
    /// Starts `hosts` hosts, which have sent messages to the meter on the first one for 20 s.
    fn start(hosts: usize) -> Self {
        let mut fleet = Fleet {
            meters: vec![Meter::default(); hosts],
            now: Time(1_000_000),
        };
        for _ in 0..200 {
            fleet.step(|_| 0, |_| None);
        }
        fleet
    }

    /// Each host sends its want to the meter on `meter_of` it; returns the requests granted.
    fn step(
        &mut self,
        meter_of: impl Fn(usize) -> usize,
        want_of: impl Fn(usize) -> Option<Want>,
    ) -> u64 {
        let hosts = self.meters.len();
        let mut granted = 0;
        for number in 0..hosts {
            let meter = &mut self.meters[meter_of(number)];
            meter.attach(&host(number), self.now);
            let part = meter.part(hosts, self.now);
            if let Some(want) = want_of(number) {
                granted += total(meter.grant(&want, part, self.now));
            }
        }
        self.now = self.now.after(STEP);
        granted
    }
}

/// Returns the most requests in any window, given those of each step.
fn most_in_window(granted: &[u64]) -> u64 {
    let windows = granted.windows(WINDOW_STEPS.min(granted.len()));
    windows.map(|window| window.iter().sum()).max().unwrap_or(0)
}

#[derive(Clone, Debug)]
enum Event {
    /// These hosts reach each other, but not the others.
    Cut(u8),
    Heal,
    /// The meter of most hosts restarts.
    Restart,
}

fn events() -> impl Strategy<Value = Vec<(usize, Event)>> {
    let event = prop_oneof![
        any::<u8>().prop_map(Event::Cut),
        Just(Event::Heal),
        Just(Event::Restart),
    ];
    prop::collection::vec((10..80_usize, event), 0..6)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]
    // An account with several times its limit on all hosts must not exceed the limit in any window,
    // whatever links are cut and meters restart meanwhile.
    #[test]
    fn all_hosts_together_keep_a_limit(
        events in events(),
        rate in 1.0_f64..600.0,
        burst in 0.0_f64..2.0,
        demand in 1.0_f64..8.0,
    ) {
        const HOSTS: usize = 8;
        let limit = limit(rate, rate * burst);
        let per_host = (rate * demand * STEP.as_secs_f64() / HOSTS as f64).ceil() as u16;
        let mut fleet = Fleet::start(HOSTS);
        let mut cut = 0_u8;
        let mut granted = Vec::new();
        let end = (60, Event::Heal);
        for (steps, event) in events.into_iter().chain([end]) {
            for _ in 0..steps {
                // The first host that a host reaches is its meter.
                let side = |number: usize| cut >> number & 1;
                let meter_of = |number| (0..HOSTS).find(|other| side(*other) == side(number)).unwrap_or(number);
                granted.push(fleet.step(meter_of, |_| Some(want(limit, per_host, per_host))));
            }
            match event {
                Event::Cut(hosts) => cut = hosts,
                Event::Heal => cut = 0,
                Event::Restart => fleet.meters[0] = Meter::default(),
            }
        }
        let window = WINDOW_STEPS as f64 * STEP.as_secs_f64();
        let bound = (limit.rate.0 * window + limit.burst) * (1.0 + EXCESS) + SLACK;
        let most = most_in_window(&granted);
        prop_assert!(most as f64 <= bound, "{most} of {bound}");
    }
}

// A hot account must not cost its programs under way: what the limit does not carry is refused at the
// first request of a program.
#[test]
fn programs_under_way_are_served_before_new_ones() {
    let mut fleet = Fleet::start(4);
    let limit = limit(100.0, 100.0);
    let (mut under_way, mut new) = (0, 0);
    for _ in 0..100 {
        let now = fleet.now;
        fleet.step(|_| 0, |_| None);
        // 90 requests a second of programs under way, and 400 of new ones.
        let granted = fleet.meters[0].grant(&want(limit, 9, 40), 1.0, now);
        under_way += u32::from(granted.under_way);
        new += u32::from(granted.new);
        assert_eq!(granted.under_way, 9);
        assert!(granted.new == 40 || granted.wait > Span(0));
    }
    assert_eq!(under_way, 900);
    // What is left of 10 s at the limit, and its burst without the reserve.
    assert!((100..=200).contains(&new), "{new}");
}

// A request of a program under way waits for its turn rather than being refused for it.
#[test]
fn a_program_under_way_waits_for_a_short_time_at_the_limit() {
    let mut fleet = Fleet::start(1);
    let limit = limit(50.0, 20.0);
    let granted = fleet.meters[0].grant(&want(limit, 25, 0), 1.0, fleet.now);
    assert_eq!(granted.under_way, 25);
    assert!(
        granted.wait > Span(0) && granted.wait <= Span::from_ms(200),
        "{granted:?}"
    );
    let granted = fleet.meters[0].grant(&want(limit, 25, 0), 1.0, fleet.now);
    assert!(granted.under_way < 25);
}

// A small account was refused requests of its only program.
#[test]
fn a_small_account_can_run_one_program_with_parallel_calls() {
    let mut fleet = Fleet::start(37);
    let limit = limit(2.7, 2.7);
    let first = fleet.meters[0].grant(&want(limit, 0, 1), 1.0, fleet.now);
    assert_eq!(first.new, 1);
    for _ in 0..3 {
        fleet.now = fleet.now.after(Span::from_ms(800));
        let calls = fleet.meters[0].grant(&want(limit, 3, 0), 1.0, fleet.now);
        assert_eq!(calls.under_way, 3);
    }
}

#[test]
fn a_lower_limit_of_a_newer_environment_holds_at_once() {
    let mut fleet = Fleet::start(2);
    let now = fleet.now;
    let meter = &mut fleet.meters[0];
    let high = want(limit(1_000.0, 1_000.0), 10, 0);
    assert_eq!(meter.grant(&high, 1.0, now).under_way, 10);
    let low = Want {
        version: 2,
        ..want(limit(10.0, 10.0), 500, 0)
    };
    assert!(meter.grant(&low, 1.0, now).under_way <= 12);
    // A host that has an older environment does not raise the limit again.
    assert!(meter.grant(&high, 1.0, now).under_way == 0);
}

#[test]
fn a_host_that_is_cut_off_grants_its_own_part_only() {
    let mut meter = Meter::default();
    let now = Time(1_000_000);
    meter.attach(&host(0), now);
    assert_eq!(meter.part(10, now), 0.1);
    let later = now.after(Span::from_ms(2_000));
    assert_eq!(meter.part(10, later), 0.0);
}
