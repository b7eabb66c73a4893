//! Resolution of an adopted program's intents that have no recorded outcome.
//!
//! Their calls are never dispatched again. Only the sidecar incarnation that the intent names can
//! report whether the call ran; if that process cannot be reached, the call is indeterminate.

use std::rc::Rc;

use log::{Intent, Turn};
use telemetry::Trace;
use units::{Host, Span};
use wire::{Ran, Work};

use crate::calls::{self, Run};
use crate::dispatch::{self, DispatchOutcome};
use crate::live::LiveProgram;
use crate::refusal::{Refusal, Result};
use crate::takeover::host_of_process;
use crate::traffic::Traffic;

const CONNECT_WAIT: Span = Span::from_ms(2_000);
const CONNECT_POLL_INTERVAL: Span = Span::from_ms(50);

/// Resolves the open intent of an adopted program. Until then the call counts as running, and
/// repeated requests attach to its answer.
pub(crate) fn start(traffic: &Rc<Traffic>, live: &Rc<LiveProgram>) {
    let intent = {
        let program = live.program.borrow();
        if program.ended().is_some() {
            return;
        }
        program.intents().first().cloned()
    };
    let Some(intent) = intent else {
        return;
    };
    let request = program::Request {
        seq: intent.call.seq,
        target: intent.call.target.clone(),
        input: intent.call.input.clone(),
        budget: log::Budget::default(),
    };
    live.program.borrow_mut().begin(&request);
    let run = Run {
        live: live.clone(),
        answer: live.begin_call(request.seq),
        request,
        trace: Trace::new(),
        stream: std::cell::Cell::default(),
    };
    let traffic = traffic.clone();
    let executor = traffic.executor.clone();
    let task = async move {
        let result = resolve(&traffic, &run, intent).await;
        calls::complete_call(&run, result);
    };
    executor.spawn(task).detach();
}

async fn resolve(traffic: &Rc<Traffic>, run: &Run, intent: Intent) -> Result<Turn> {
    let route = intent.route;
    let call = units::Call {
        program: run.live.id,
        seq: run.request.seq,
        attempt: route.attempt,
    };
    let Some(host) = sidecar_host(traffic, &route).await else {
        return calls::record_indeterminate(traffic, run, route).await;
    };
    match dispatch::recover_adopted(traffic, run, host, call, &route).await {
        DispatchOutcome::Done(done) => {
            let work = Work::Service { idempotent: false };
            calls::record_answer(traffic, run, &work, route, &done).await
        }
        DispatchOutcome::Refused(refused) if refused.ran == Ran::No => {
            calls::withdraw_intent(traffic, run).await?;
            Err(Refusal::Endpoint(refused.ran, refused.reason))
        }
        DispatchOutcome::Refused(_) => calls::record_indeterminate(traffic, run, route).await,
    }
}

/// The host of a dispatch's sidecar incarnation; waits up to `CONNECT_WAIT` for its connection.
async fn sidecar_host(traffic: &Traffic, route: &log::Route) -> Option<Host> {
    let start = traffic.shared.clock.now();
    loop {
        if let Some(host) = host_of_process(traffic, route.sidecar) {
            return Some(host);
        }
        if traffic.shared.clock.now().since(start) > CONNECT_WAIT {
            return None;
        }
        smol::Timer::after(CONNECT_POLL_INTERVAL.into()).await;
    }
}
