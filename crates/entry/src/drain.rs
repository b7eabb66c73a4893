//! Graceful shutdown of an entry: requests complete, and its programs continue elsewhere at once.
//!
//! Running calls finish here. A new call of a program owned here waits until the log is sealed and
//! is then forwarded to the successor. A new program is created at another entry.

use std::rc::Rc;
use std::sync::Arc;

use board::Observation;
use log::{Error, Handle};
use slog::{info, warn};
use smol::future::FutureExt;
use units::{Incarnation, Span};
use wire::{Frame, Link};

use crate::api::Request;
use crate::live::LiveProgram;
use crate::traffic::Traffic;

const POLL_INTERVAL: Span = Span::from_ms(20);
/// Time after the handover for the load balancer to detect that this entry is not ready.
const BALANCER_DELAY: Span = Span::from_ms(2_000);
/// Time for the connections to send the last frames from their buffers.
const FLUSH_DELAY: Span = Span::from_ms(200);
const ADOPT_TIMEOUT: Span = Span::from_ms(5_000);

/// Drains this entry; returns when it has no more requests to serve.
pub(crate) async fn run(traffic: &Rc<Traffic>) {
    info!(traffic.shared.logger, "draining");
    traffic.leaving.set(true);
    traffic.handing_over.set(true);
    traffic.observe(Observation::Leaving).await;
    while traffic.has_running_call() {
        smol::Timer::after(POLL_INTERVAL.into()).await;
    }
    hand_over(traffic).await;
    traffic.handing_over.set(false);
    let start = traffic.shared.clock.now();
    let within_balancer_delay = || traffic.shared.clock.now().since(start) < BALANCER_DELAY;
    while within_balancer_delay() || Arc::strong_count(&traffic.requests_in_flight) > 1 {
        smol::Timer::after(POLL_INTERVAL.into()).await;
    }
    smol::Timer::after(FLUSH_DELAY.into()).await;
    info!(traffic.shared.logger, "stopped");
}

/// Seals the log with a connected entry's log as successor and has that entry adopt the programs.
/// If no entry is connected, the log stays open until another entry takes it over.
async fn hand_over(traffic: &Rc<Traffic>) {
    let Ok(own_log) = traffic.log() else {
        return;
    };
    let Ok(logs) = log::open_logs(&traffic.shared.client).await else {
        warn!(
            traffic.shared.logger,
            "log not handed over: open logs could not be listed"
        );
        return;
    };
    for found in logs {
        let Some(link) = traffic.link_to_process(found.row.process) else {
            continue;
        };
        match seal_own(&own_log, found.writer).await {
            Ok(()) => {
                traffic.logs.record_sealed(own_log.writer(), found.writer);
                info!(traffic.shared.logger, "log handed over"; "to" => %found.writer);
                return request_adoption(traffic, &link, own_log.writer()).await;
            }
            Err(Error::SuccessorNotOpen(_)) => {}
            Err(error) => {
                warn!(traffic.shared.logger, "log not handed over"; "error" => %error);
                return;
            }
        }
    }
}

async fn seal_own(own_log: &Handle, successor: Incarnation) -> log::Result<()> {
    own_log.close(successor).await?;
    while !own_log.is_closed() {
        smol::Timer::after(POLL_INTERVAL.into()).await;
    }
    Ok(())
}

/// Requests the adoption. If the successor does not respond, it adopts the log in its next scan or
/// when a caller needs one of the programs.
async fn request_adoption(traffic: &Traffic, link: &Link, writer: Incarnation) {
    let adopt = Frame::Adopt(writer);
    let adopted = link.call(&adopt);
    let timeout = async {
        smol::Timer::after(ADOPT_TIMEOUT.into()).await;
        Err(wire::Error::Timeout)
    };
    if adopted.or(timeout).await.is_err() {
        traffic.shared.metrics.count("adopt-unanswered");
    }
}

/// Delays a change to an idle program while its handover is pending.
pub(crate) async fn wait_for_handover(traffic: &Traffic, live: &LiveProgram) {
    while traffic.handing_over.get() && !live.log.is_closed() && !live.program.borrow().is_running()
    {
        smol::Timer::after(POLL_INTERVAL.into()).await;
    }
}

/// The entry that creates a program instead of this one, if this one is leaving or has no log.
pub(crate) fn substitute_entry(traffic: &Traffic, request: &Request) -> Option<Link> {
    let is_needed = traffic.is_leaving() || traffic.log().is_err();
    if !is_needed || request.hops > 0 {
        return None;
    }
    let view = traffic.shared.view.load();
    let mut entries = view.entries.iter();
    entries.find_map(|peer| traffic.link_to_process(peer.incarnation))
}
