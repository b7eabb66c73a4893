//! Properties of the policy: no call starves, budgets hold, and estimates follow observations.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use policy::{
    AdmissionControl, EndpointInfo, Fleet, HedgeBudget, Rank, RankFactors, Request, Settings,
    Ticket, Usage,
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use units::{Program, Rate, Span, Time, Tokens};

const SLOTS: u32 = 4;
const OBJECTIVE: Span = Span::from_ms(10_000);
/// Bound on the shift of a rank: all steps of precedence, the longest age and the most tokens.
const SHIFT_MAX: Span = Span(255 * 30_000_000 + 60_000_000 + (1 << 24) * 1_000);

fn fleet(endpoints: usize) -> Fleet {
    let mut fleet = Fleet::new(Settings::default());
    fleet.sync((0..endpoints).map(|number| EndpointInfo {
        host: format!("host-{number}").parse().unwrap(),
        serves: vec!["advisor".parse().unwrap()],
        slots: SLOTS,
        link_round_trip: Span(0),
        is_model: true,
    }));
    fleet
}

fn request(program: u64) -> Request {
    Request {
        program: Program {
            number: program,
            ..Program::default()
        },
        target: "advisor".parse().unwrap(),
        prompt: Tokens(1_000),
        generated_max: Tokens(256),
    }
}

fn factors() -> impl Strategy<Value = RankFactors> {
    (0_u32..300, any::<u64>(), 0_u64..1 << 40).prop_map(|(precedence, attained, started_at)| {
        RankFactors {
            precedence,
            attained: Tokens(attained),
            started_at: Time(started_at),
            objective: OBJECTIVE,
        }
    })
}

proptest! {
    #[test]
    fn no_call_starves(early in factors(), late in factors(), now in 1_u64 << 41..1 << 50) {
        let settings = Settings::default();
        let first = Rank::new(&settings, &early, Time(now));
        let later = Rank::new(&settings, &late, Time(now).after(SHIFT_MAX).after(Span(1)));
        prop_assert!(first < later);
    }

    #[test]
    fn more_attained_service_never_ranks_first(one in factors(), more in 0_u64..1 << 20, now in 1_u64 << 41..1 << 50) {
        let settings = Settings::default();
        let served = RankFactors { attained: one.attained.plus(Tokens(more)), ..one };
        let rank = |factors| Rank::new(&settings, factors, Time(now));
        prop_assert!(rank(&one) <= rank(&served));
    }

    #[test]
    fn hedges_never_exceed_their_share(steps in prop::collection::vec((any::<bool>(), 0_u64..1 << 32), 0..200), share in 0.0_f64..1.0) {
        let mut budget = HedgeBudget::new();
        let (mut refilled, mut spent) = (0.0, 0.0);
        for (is_refill, work) in steps {
            if is_refill {
                budget.refill(Span(work), Rate(share));
                refilled += work as f64 * share;
            } else if budget.try_spend(Span(work)) {
                spent += work as f64;
            }
            prop_assert!(spent <= refilled * (1.0 + 1e-9));
        }
    }

    #[test]
    fn an_idle_fleet_admits_everything(precedence in 0_u32..300, slots in 0.0_f64..1e4, share in 0.0_f64..2.0) {
        let mut rng = StdRng::seed_from_u64(1);
        let admitted = AdmissionControl::new().admit(precedence, slots, OBJECTIVE, Rate(share), &mut rng);
        prop_assert_eq!(admitted, Ok(()));
    }

    #[test]
    fn lower_classes_are_refused_first(programs in prop::collection::vec(0_u32..10, 0..200), slots in 1.0_f64..50.0) {
        let mut admission = AdmissionControl::new();
        programs.iter().for_each(|precedence| admission.begin(*precedence));
        let waits: Vec<Span> = (0..10).map(|precedence| admission.expected_wait(precedence, slots)).collect();
        prop_assert!(waits.is_sorted_by(|lower, higher| lower >= higher));
    }
}

/// Runs the first call of a program to its end and returns its routing decision.
fn first_call(fleet: &mut Fleet, rng: &mut StdRng) -> Ticket {
    let first = fleet.route(&request(1), None, Time(1), rng).unwrap();
    fleet.start(&first);
    let usage = Usage {
        prompt: Tokens(1_000),
        cached: Tokens(0),
        generated: Tokens(50),
    };
    fleet.finish(&first, Some(usage), Time(2));
    first
}

#[test]
fn the_next_call_goes_to_the_endpoint_with_its_prefix() {
    let mut fleet = fleet(100);
    let mut rng = StdRng::seed_from_u64(2);
    let first = first_call(&mut fleet, &mut rng);
    let next = fleet.route(&request(1), None, Time(3), &mut rng).unwrap();
    assert_eq!(next.host, first.host);
    assert!(next.expected_cached > Tokens(900));
}

#[test]
fn a_removed_endpoint_gets_no_call() {
    let mut fleet = fleet(3);
    let mut rng = StdRng::seed_from_u64(3);
    first_call(&mut fleet, &mut rng);
    fleet.sync(std::iter::empty());
    assert_eq!(fleet.route(&request(1), None, Time(3), &mut rng), None);
}

#[test]
fn a_slow_endpoint_is_avoided_and_tried_again() {
    let mut fleet = fleet(2);
    let mut rng = StdRng::seed_from_u64(4);
    let usual = fleet.route(&request(1), None, Time(1), &mut rng).unwrap();
    for _ in 0..20 {
        fleet.record_progress(&usual, Tokens(4), Span(16_000), Time(1));
    }
    for _ in 0..4 {
        fleet.record_progress(&usual, Tokens(4), Span(160_000), Time(1_000));
    }
    let is_avoided = |fleet: &mut Fleet, now| {
        let mut rng = StdRng::seed_from_u64(5);
        (0..20).all(|program| {
            let ticket = fleet.route(&request(program), None, now, &mut rng);
            ticket.unwrap().host != usual.host
        })
    };
    assert!(is_avoided(&mut fleet, Time(1_000)));
    assert!(!is_avoided(&mut fleet, Time(120_000_000)));
}
