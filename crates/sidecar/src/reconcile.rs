//! Frees the engine memory of programs that have ended or that no entry claims.
//!
//! The list of held programs is read from the engine, so that a restart of this process leaks no
//! engine memory.

use std::collections::BTreeSet;
use std::rc::Rc;

use units::{Program, Span};

use crate::calls::Calls;

const INTERVAL: Span = Span::from_ms(500);

/// Reconciles at a fixed interval; never returns.
pub(crate) async fn run(calls: Rc<Calls>) {
    loop {
        smol::Timer::after(INTERVAL.into()).await;
        match calls.held_programs().await {
            Ok(held) => reconcile(&calls, &held).await,
            Err(_) => calls.metrics.count("held-unavailable"),
        }
    }
}

async fn reconcile(calls: &Calls, held: &BTreeSet<Program>) {
    calls.metrics.set_gauge("held-programs", held.len() as i64);
    let mut known = held.clone();
    known.extend(calls.recorded_programs());
    let expired = calls.claims.borrow_mut().update_held(&known, calls.now());
    for program in held {
        if expired.contains(program) || calls.is_released(*program) {
            calls.metrics.count("held-released");
            calls.free_engine_memory(*program).await;
        }
    }
}
