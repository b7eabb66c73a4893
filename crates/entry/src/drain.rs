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
use crate::live::Live;
use crate::traffic::Traffic;

const POLL: Span = Span::from_ms(20);
/// Time from the handover for the balancer to see that this entry is not ready.
const LINGER: Span = Span::from_ms(2_000);
/// Time for the last frames to leave the connections' buffers.
const FLUSH: Span = Span::from_ms(200);
const ADOPT_TIMEOUT: Span = Span::from_ms(5_000);

/// Leaves: returns when nothing here is needed any more.
pub(crate) async fn run(traffic: &Rc<Traffic>) {
    info!(traffic.shared.logger, "draining");
    traffic.leaving.set(true);
    traffic.handing_over.set(true);
    traffic.observe(Observation::Leaving).await;
    while traffic.is_running() {
        smol::Timer::after(POLL.into()).await;
    }
    hand_over(traffic).await;
    traffic.handing_over.set(false);
    let start = traffic.shared.clock.now();
    let lingers = || traffic.shared.clock.now().since(start) < LINGER;
    while lingers() || Arc::strong_count(&traffic.requests) > 1 {
        smol::Timer::after(POLL.into()).await;
    }
    smol::Timer::after(FLUSH.into()).await;
    info!(traffic.shared.logger, "stopped");
}

/// Seals the log in favour of a connected entry's and has that one adopt the programs. Without one
/// the log stays open: whichever entry comes next takes it over.
async fn hand_over(traffic: &Rc<Traffic>) {
    let Ok(own) = traffic.log() else {
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
        let Some(link) = traffic.link_to(found.row.process) else {
            continue;
        };
        match seal(&own, found.writer).await {
            Ok(()) => {
                traffic.logs.note_sealed(own.writer(), found.writer);
                info!(traffic.shared.logger, "log handed over"; "to" => %found.writer);
                return notify(traffic, &link, own.writer()).await;
            }
            Err(Error::SuccessorNotOpen(_)) => {}
            Err(why) => {
                warn!(traffic.shared.logger, "log not handed over"; "error" => %why);
                return;
            }
        }
    }
}

async fn seal(own: &Handle, successor: Incarnation) -> log::Result<()> {
    own.close(successor).await?;
    while !own.is_closed() {
        smol::Timer::after(POLL.into()).await;
    }
    Ok(())
}

/// Tells the successor; if it does not hear, a caller's demand or its own scan has it adopt.
async fn notify(traffic: &Traffic, link: &Link, writer: Incarnation) {
    let adopt = Frame::Adopt(writer);
    let adopted = link.call(&adopt);
    let expire = async {
        smol::Timer::after(ADOPT_TIMEOUT.into()).await;
        Err(wire::Error::Timeout)
    };
    if adopted.or(expire).await.is_err() {
        traffic.shared.metrics.count("adopt-unanswered");
    }
}

/// Holds a request back that would change a program while it is about to be handed over.
pub(crate) async fn wait(traffic: &Traffic, live: &Live) {
    while traffic.handing_over.get() && !live.log.is_closed() && !live.program.borrow().is_running()
    {
        smol::Timer::after(POLL.into()).await;
    }
}

/// The entry at which a program is to be created while this one is leaving or has no log.
pub(crate) fn substitute(traffic: &Traffic, request: &Request) -> Option<Link> {
    let needed = traffic.is_leaving() || traffic.log().is_err();
    if !needed || request.hops > 0 {
        return None;
    }
    let view = traffic.shared.view.load();
    let mut entries = view.entries.iter();
    entries.find_map(|peer| traffic.link_to(peer.incarnation))
}
