//! Endpoints that drop idle connections unseen.

use policy::IdleLimit;
use units::Span;

/// Requests that are lost of `count`, each after `pause`, at endpoints that drop after `drop`.
fn lost(count: usize, pause: Span, drop: Span) -> usize {
    let mut idle = IdleLimit::default();
    let mut lost = 0;
    for _ in 0..count {
        if pause > idle.limit() {
            // A new connection.
            continue;
        }
        if pause > drop {
            lost += 1;
            idle.record_loss(pause);
        } else {
            idle.record_reuse(pause);
        }
    }
    lost
}

#[test]
fn connections_that_hold_are_used() {
    assert_eq!(lost(1_000, Span::from_ms(3_000), Span::from_ms(10_000)), 0);
    assert!(IdleLimit::default().limit() >= Span::from_ms(3_000));
}

#[test]
fn one_loss_is_enough_to_learn() {
    assert_eq!(lost(1_000, Span::from_ms(3_000), Span::from_ms(1_000)), 1);
}

#[test]
fn a_service_that_holds_again_is_trusted_again() {
    let mut idle = IdleLimit::default();
    idle.record_loss(Span::from_ms(400));
    assert_eq!(idle.limit(), Span::from_ms(200));
    for _ in 0..200 {
        idle.record_reuse(idle.limit());
    }
    assert_eq!(idle.limit(), IdleLimit::default().limit());
}

#[test]
fn a_break_at_once_is_not_the_fault_of_idleness() {
    let mut idle = IdleLimit::default();
    idle.record_loss(Span(0));
    assert!(idle.limit() >= Span::from_ms(100));
}
