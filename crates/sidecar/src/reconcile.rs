//! Frees the engine's memory of programs that have ended or that no entry answers for.
//!
//! The engine is asked what it holds; what this process remembers does not count, so that a restart
//! loses nothing.

use std::collections::BTreeSet;
use std::rc::Rc;

use units::{Program, Span};

use crate::calls::Calls;

const INTERVAL: Span = Span::from_ms(500);

/// Reconciles without end.
pub(crate) async fn run(calls: Rc<Calls>) {
    loop {
        smol::Timer::after(INTERVAL.into()).await;
        match calls.held().await {
            Ok(held) => step(&calls, &held).await,
            Err(_) => calls.metrics.count("held-unavailable"),
        }
    }
}

async fn step(calls: &Calls, held: &BTreeSet<Program>) {
    calls.metrics.set_gauge("held-programs", held.len() as i64);
    let mut known = held.clone();
    known.extend(calls.remembered());
    let unclaimed = calls.claims.borrow_mut().step(&known, calls.now());
    for program in held {
        if unclaimed.contains(program) || calls.is_released(*program) {
            calls.metrics.count("held-released");
            calls.free(*program).await;
        }
    }
}
