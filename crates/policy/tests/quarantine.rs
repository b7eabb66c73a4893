//! Losses of requests: who is suspected, who is cleared, and when an endpoint counts as crashed.

use policy::{Admission, LOSSES_MAX, Listing, Loss, Probe, Quarantine, Suspect, Verdict};
use proptest::prelude::*;
use units::{Fingerprint, Span, Time};

const NOW: Time = Time(60_000_000);
/// Longer than any investigation or quarantine takes.
const LONG: Span = Span::from_ms(3_600_000);

/// A request with a beginning that others may share.
fn suspect(beginning: u64, request: u64) -> Suspect {
    let [beginning, request] = [beginning, request].map(u64::to_le_bytes);
    Suspect {
        whole: Fingerprint::new(&[&beginning, &request]),
        beginning: Fingerprint::new(&[&beginning]),
    }
}

/// Records that a request was lost at an endpoint; returns the losses.
fn lose(quarantine: &mut Quarantine, suspect: Suspect, endpoint: u64, now: Time) -> Vec<Loss> {
    let endpoint = Fingerprint::new(&[&endpoint.to_le_bytes()]);
    let losses: Vec<Loss> = suspect
        .fingerprints()
        .map(|request| Loss { request, endpoint })
        .collect();
    for loss in &losses {
        quarantine.insert(*loss, now);
    }
    losses
}

/// Returns what a host decides that may not try requests in quarantine.
fn admit(quarantine: &mut Quarantine, suspect: Suspect) -> Admission {
    quarantine.admit(suspect, false, NOW)
}

fn quarantined(suspect: Suspect) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for endpoint in 0..LOSSES_MAX as u64 {
        lose(&mut quarantine, suspect, endpoint, NOW);
    }
    quarantine
}

#[test]
fn request_lost_at_three_endpoints_is_quarantined() {
    let mut quarantine = Quarantine::default();
    let request = suspect(1, 1);
    assert_eq!(admit(&mut quarantine, request), Admission::Ordinary);
    for endpoint in 0..LOSSES_MAX as u64 {
        assert_ne!(admit(&mut quarantine, request), Admission::Quarantined);
        lose(&mut quarantine, request, endpoint, NOW);
    }
    assert_eq!(admit(&mut quarantine, request), Admission::Quarantined);
}

#[test]
fn own_reservation_keeps_no_request_in_quarantine() {
    let reserved = Fingerprint::new(&[b"reserved"]);
    let request = suspect(1, 1);
    let mut quarantine = Quarantine::default();
    for endpoint in 1..LOSSES_MAX as u64 {
        lose(&mut quarantine, request, endpoint, NOW);
    }
    let reservation = Loss {
        request: request.whole,
        endpoint: reserved,
    };
    quarantine.insert(reservation, NOW);
    assert_eq!(admit(&mut quarantine, request), Admission::Quarantined);
    assert!(!quarantine.is_lost_without(request, reserved));
    lose(&mut quarantine, request, 0, NOW);
    assert!(quarantine.is_lost_without(request, reserved));
}

#[test]
fn attempts_lost_at_one_endpoint_count_once() {
    let mut quarantine = Quarantine::default();
    let request = suspect(1, 1);
    for _ in 0..20 {
        lose(&mut quarantine, request, 7, NOW);
    }
    assert_eq!(quarantine.losses_of(request), 1);
    assert_eq!(admit(&mut quarantine, request), Admission::Suspect);
}

#[test]
fn requests_that_share_only_their_beginning_are_quarantined_together() {
    let mut quarantine = Quarantine::default();
    for request in 0..LOSSES_MAX as u64 {
        lose(&mut quarantine, suspect(1, request), request, NOW);
    }
    assert_eq!(
        admit(&mut quarantine, suspect(1, 1_000)),
        Admission::Quarantined
    );
    assert_eq!(
        admit(&mut quarantine, suspect(2, 1_000)),
        Admission::Ordinary
    );
}

#[test]
fn complete_answers_of_others_do_not_clear_a_guilty_request() {
    let mut quarantine = Quarantine::default();
    let (guilty, innocent) = (suspect(1, 1), suspect(1, 2));
    for endpoint in 0..LOSSES_MAX as u64 {
        lose(&mut quarantine, guilty, endpoint, NOW);
        quarantine.clear(innocent);
    }
    assert_eq!(admit(&mut quarantine, guilty), Admission::Quarantined);
    assert_eq!(admit(&mut quarantine, innocent), Admission::Ordinary);
}

#[test]
fn answer_of_an_attempt_elsewhere_ends_a_quarantine() {
    let popular = suspect(1, 1);
    let mut quarantine = quarantined(popular);
    assert_eq!(quarantine.clear(popular).len(), 2 * LOSSES_MAX);
    assert_eq!(admit(&mut quarantine, popular), Admission::Ordinary);
}

#[test]
fn one_host_tries_a_request_in_quarantine_again_and_less_often_each_time() {
    let request = suspect(1, 1);
    let mut quarantine = quarantined(request);
    let mut now = NOW;
    let mut waits = Vec::new();
    for endpoint in 100..104 {
        let began = now;
        while quarantine.admit(request, true, now) != Admission::Trial {
            assert_eq!(
                quarantine.admit(request, false, now),
                Admission::Quarantined
            );
            now = now.after(Span::from_ms(1_000));
        }
        waits.push(now.since(began));
        // No second trial at the same time.
        assert_eq!(quarantine.admit(request, true, now), Admission::Quarantined);
        lose(&mut quarantine, request, endpoint, now);
    }
    assert!(
        waits.is_sorted_by(|before, after| before.0 * 3 / 2 < after.0),
        "{waits:?}"
    );
    assert!(waits[0] > Span::from_ms(10_000), "{waits:?}");
}

#[test]
fn number_of_suspects_is_bounded() {
    let mut quarantine = Quarantine::default();
    for request in 0..5_000 {
        let now = NOW.after(Span(request));
        lose(&mut quarantine, suspect(request, request), 1, now);
    }
    assert!(quarantine.count() <= 8_192);
    // The latest losses are kept.
    assert_eq!(quarantine.losses_of(suspect(4_999, 4_999)), 1);
    assert_eq!(quarantine.losses_of(suspect(0, 0)), 0);
    for endpoint in 0..1_000 {
        lose(&mut quarantine, suspect(1, 1), endpoint, NOW);
    }
    assert!(quarantine.losses_of(suspect(1, 1)) <= 100);
}

/// The request that crashes each endpoint that runs it.
const GUILTY: u64 = 0;

/// Events of a fleet: a request is sent by a host, ends, or the hosts exchange what they recorded.
#[derive(Clone, Copy, Debug)]
enum Event {
    Send { host: usize, request: u64 },
    Finish { attempt: usize },
    Exchange,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (0..3usize, 0..4u64).prop_map(|(host, request)| Event::Send { host, request }),
        3 => (0..6usize).prop_map(|attempt| Event::Finish { attempt }),
        1 => Just(Event::Exchange),
    ]
}

/// Hosts with a store, and an endpoint of its own for each attempt of the guilty request; other
/// requests of its host are lost with it.
#[derive(Default)]
struct Fleet {
    hosts: [Quarantine; 3],
    rows: Vec<Loss>,
    running: Vec<(usize, u64)>,
    crashes: u64,
    /// Attempts of the guilty request that were sent when all hosts had recorded three crashes.
    late: usize,
}

impl Fleet {
    fn apply(&mut self, event: Event) {
        match event {
            Event::Send { host, request } => {
                let suspect = suspect(request, request);
                let is_known = self
                    .hosts
                    .iter()
                    .all(|host| host.losses_of(suspect) >= LOSSES_MAX);
                if admit(&mut self.hosts[host], suspect) != Admission::Quarantined {
                    self.late += usize::from(is_known);
                    self.running.push((host, request));
                }
            }
            Event::Finish { attempt } if attempt < self.running.len() => {
                let (host, request) = self.running.remove(attempt);
                if request == GUILTY {
                    self.crash(host);
                } else {
                    let cleared = self.hosts[host].clear(suspect(request, request));
                    self.rows.retain(|row| !cleared.contains(row));
                }
            }
            Event::Finish { .. } => {}
            Event::Exchange => {
                for host in &mut self.hosts {
                    host.replace(self.rows.iter().copied(), NOW);
                }
            }
        }
    }

    fn crash(&mut self, host: usize) {
        self.crashes += 1;
        let is_lost = |(other, request): &(usize, u64)| *other == host && *request != GUILTY;
        let lost: Vec<_> = self
            .running
            .extract_if(.., |attempt| is_lost(attempt))
            .collect();
        for (host, request) in lost.into_iter().chain([(host, GUILTY)]) {
            let suspect = suspect(request, request);
            let losses = lose(&mut self.hosts[host], suspect, self.crashes, NOW);
            self.rows.extend(losses);
        }
    }
}

proptest! {
    #[test]
    fn guilty_request_is_not_sent_once_three_crashes_are_recorded(
        events in prop::collection::vec(event(), 0..200)
    ) {
        let mut fleet = Fleet::default();
        for event in events {
            fleet.apply(event);
        }
        fleet.apply(Event::Exchange);
        prop_assert_eq!(fleet.late, 0);
        let recorded = fleet.hosts[0].losses_of(suspect(GUILTY, GUILTY)) as u64;
        prop_assert_eq!(recorded.min(3), fleet.crashes.min(3));
    }

    #[test]
    fn hosts_with_the_same_rows_agree_in_any_order(
        rows in prop::collection::vec((0..3u64, 1..6u64), 0..20), seed in any::<u64>()
    ) {
        let losses = rows.into_iter().map(|(request, endpoint)| Loss {
            request: suspect(request, request).whole,
            endpoint: Fingerprint::new(&[&endpoint.to_le_bytes()]),
        });
        let losses: Vec<Loss> = losses.collect();
        let mut shuffled = losses.clone();
        shuffled.sort_by_key(|loss| Fingerprint::new(&[
            &seed.to_le_bytes(),
            loss.request.to_string().as_bytes(),
            loss.endpoint.to_string().as_bytes(),
        ]));
        let [mut first, mut second] = [Quarantine::default(), Quarantine::default()];
        for loss in losses {
            first.insert(loss, NOW);
        }
        second.replace(shuffled.into_iter(), NOW);
        for request in 0..3 {
            let request = suspect(request, request).whole;
            prop_assert_eq!(first.losses(request), second.losses(request));
        }
    }

    #[test]
    fn request_with_a_complete_answer_has_no_losses(
        lost in prop::collection::vec((0..4u64, 0..9u64), 0..40), answered in 0..4u64
    ) {
        let mut quarantine = Quarantine::default();
        for (request, endpoint) in lost {
            lose(&mut quarantine, suspect(request, request), endpoint, NOW);
        }
        quarantine.clear(suspect(answered, answered));
        prop_assert_eq!(quarantine.losses_of(suspect(answered, answered)), 0);
    }
}

/// What is known of an endpoint after a loss, and what follows from it.
struct Case {
    at_loss: Listing,
    probe: Probe,
    listing: Listing,
    elapsed: Span,
    verdict: Verdict,
}

fn check_verdict(case: Case) {
    let verdict = Verdict::new(case.at_loss, case.probe, case.listing, case.elapsed);
    assert_eq!(verdict, case.verdict);
}

macro_rules! verdicts {
    ($($name:ident: $at_loss:ident, $probe:ident, $listing:ident, $elapsed:expr => $verdict:ident;)*) => {
        $(#[test]
        fn $name() {
            check_verdict(Case {
                at_loss: Listing::$at_loss,
                probe: Probe::$probe,
                listing: Listing::$listing,
                elapsed: $elapsed,
                verdict: Verdict::$verdict,
            });
        })*
    };
}

verdicts! {
    address_without_a_process_is_a_crash: Listed, Refused, Listed, Span(0) => Crashed;
    restart_is_a_crash: Listed, Connected, Replaced, Span(0) => Crashed;
    silent_endpoint_that_is_replaced_has_crashed: Listed, NoResponse, Replaced, Span(0) => Crashed;
    reset_of_a_connection_is_no_crash: Listed, Connected, Listed, Span(0) => NotCrashed;
    cut_or_frozen_endpoint_is_undecided: Listed, NoResponse, Listed, Span(0) => Undecided;
    cut_or_frozen_endpoint_is_no_crash: Listed, NoResponse, Listed, LONG => NotCrashed;
    frozen_endpoint_whose_entry_expires_is_no_crash: Listed, NoResponse, Absent, LONG => NotCrashed;
    draining_endpoint_that_ends_is_no_crash: Draining, Refused, Absent, Span(0) => NotCrashed;
    endpoint_that_left_without_notice_is_no_crash: Absent, Refused, Absent, Span(0) => NotCrashed;
}
