//! Idle limit for endpoints that drop idle connections without closing them.

use policy::IdleLimit;
use units::Span;

/// Number of requests lost of `count` that follow each other after `pause`, at an endpoint that
/// drops connections after `drop_after`.
fn lost(count: usize, pause: Span, drop_after: Span) -> usize {
    let mut idle = IdleLimit::default();
    let mut lost = 0;
    for _ in 0..count {
        if pause > idle.limit() {
            // The request uses a new connection.
            continue;
        }
        if pause > drop_after {
            lost += 1;
            idle.record_loss(pause);
        } else {
            idle.record_reuse(pause);
        }
    }
    lost
}

#[test]
fn working_connections_are_reused() {
    assert_eq!(lost(1_000, Span::from_ms(3_000), Span::from_ms(10_000)), 0);
    assert!(IdleLimit::default().limit() >= Span::from_ms(3_000));
}

#[test]
fn one_loss_lowers_the_limit_enough() {
    assert_eq!(lost(1_000, Span::from_ms(3_000), Span::from_ms(1_000)), 1);
}

#[test]
fn the_limit_recovers_while_connections_work() {
    let mut idle = IdleLimit::default();
    idle.record_loss(Span::from_ms(400));
    assert_eq!(idle.limit(), Span::from_ms(200));
    for _ in 0..200 {
        idle.record_reuse(idle.limit());
    }
    assert_eq!(idle.limit(), IdleLimit::default().limit());
}

#[test]
fn a_loss_without_idle_time_keeps_the_lowest_limit() {
    let mut idle = IdleLimit::default();
    idle.record_loss(Span(0));
    assert!(idle.limit() >= Span::from_ms(100));
}
