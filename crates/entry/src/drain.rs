//! The graceful end of an entry: no request is cut off, and its programs go on elsewhere at once.
//!
//! Running calls finish here. A new call of a program that is here waits until the log is sealed and
//! then goes to the successor; a new program is created at another entry.

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
/// Time from the handover for the balancer to see that this entry is not ready.
const BALANCER_DELAY: Span = Span::from_ms(2_000);
/// Time for the last frames to leave the connections' buffers.
const FLUSH_DELAY: Span = Span::from_ms(200);
const ADOPT_TIMEOUT: Span = Span::from_ms(5_000);

/// Leaves: returns when nothing here is needed any more.
pub(crate) async fn run(traffic: &Rc<Traffic>) {
    info!(traffic.shared.logger, "draining");
    traffic.leaving.set(true);
    traffic.handing_over.set(true);
    traffic.observe(Observation::Leaving).await;
    while traffic.is_running() {
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

/// Seals the log in favour of a connected entry's and has that one adopt the programs. Without one
/// the log stays open: whichever entry comes next takes it over.
async fn hand_over(traffic: &Rc<Traffic>) {
    let Ok(own_log) = traffic.log() else {
        return;
    };
    let Ok(logs) = log::open_logs(&traffic.shared.client).await else {
        warn!(
            traffic.shared.logger,
            "no successor: the store gives no answer"
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

/// Tells the successor; if it does not hear, a caller's demand or its own scan has it adopt.
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

/// Holds a request back that would change a program while it is about to be handed over.
pub(crate) async fn wait_for_handover(traffic: &Traffic, live: &LiveProgram) {
    while traffic.handing_over.get() && !live.log.is_closed() && !live.program.borrow().is_running()
    {
        smol::Timer::after(POLL_INTERVAL.into()).await;
    }
}

/// The entry at which a program is to be created while this one is leaving or has no log.
pub(crate) fn substitute_entry(traffic: &Traffic, request: &Request) -> Option<Link> {
    let is_needed = traffic.is_leaving() || traffic.log().is_err();
    if !is_needed || request.hops > 0 {
        return None;
    }
    let view = traffic.shared.view.load();
    let mut entries = view.entries.iter();
    entries.find_map(|peer| traffic.link_to_process(peer.incarnation))
}
