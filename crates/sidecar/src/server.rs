//! Server side of the exchanges that entries open.

use std::rc::Rc;

use smol::future::FutureExt;
use units::{Incarnation, Span};
use wire::{
    Accepted, Answer, Delta, Error, Frame, Identity, Next, Ran, Reason, Refused, Result, Resume,
    Stream,
};

use crate::calls::Calls;
use crate::document;
use crate::guard::{Outcome, Verdict};

const LOAD_INTERVAL: Span = Span::from_ms(200);

/// Serves one exchange. A failed exchange is only counted: the peer resumes or queries its call.
pub(crate) async fn exchange(calls: Rc<Calls>, peer: Rc<Identity>, mut stream: Stream) {
    if serve(&calls, peer.incarnation, &mut stream).await.is_err() {
        calls.metrics.count("exchange-broken");
    }
}

async fn serve(calls: &Rc<Calls>, peer: Incarnation, stream: &mut Stream) -> Result<()> {
    match stream.expect().await? {
        Frame::Dispatch(dispatch) => match calls.dispatch(peer, dispatch) {
            Verdict::Run(answer) | Verdict::Attach(answer) => {
                let queued = calls.load().queued;
                stream.send(&Frame::Accepted(Accepted { queued })).await?;
                send_answer(stream, &answer, 0).await?;
            }
            Verdict::Reject(refused) => stream.send(&Frame::Refused(refused)).await?,
        },
        Frame::Resume(Resume { call, offset }) => match calls.answer(call) {
            Some(answer) => send_answer(stream, &answer, offset as usize).await?,
            None => {
                let refused = Refused {
                    ran: Ran::Unknown,
                    reason: Reason::Unretained,
                };
                stream.send(&Frame::Refused(refused)).await?;
            }
        },
        Frame::Query(call) => stream.send(&Frame::State(calls.query(call))).await?,
        Frame::Cancel(call) => {
            calls.cancel(call).await;
            stream.send(&Frame::Ack).await?;
        }
        Frame::Saved(saved) => {
            calls.record_saved(&saved);
            stream.send(&Frame::Ack).await?;
        }
        Frame::Release(program) => {
            calls.release(program).await;
            stream.send(&Frame::Ack).await?;
        }
        Frame::Order(order) => {
            let ordered = calls.send_order(&order).await;
            stream.send(&Frame::Ordered(ordered)).await?;
        }
        Frame::Claim(programs) => {
            calls.record_claims(peer, &programs);
            stream.send(&Frame::Ack).await?;
        }
        Frame::Watch => {
            calls.claims.borrow_mut().watch(peer);
            let result = serve_watch(calls, stream).await;
            calls.claims.borrow_mut().unwatch(peer);
            result?;
        }
        Frame::Drain => {
            calls.set_leaving();
            stream.send(&Frame::Ack).await?;
        }
        Frame::InForce(version) => document::reply(calls, version, stream).await?,
        Frame::Document { version, text } => {
            document::receive(calls, version, text, stream).await?;
        }
        Frame::Hold(tail) => {
            let frame = calls
                .hold_tail(tail)
                .map_or_else(Frame::Refused, |()| Frame::Ack);
            stream.send(&frame).await?;
        }
        Frame::Collect(writers) => {
            let tails = calls.witness.borrow().collect(&writers);
            stream.send(&Frame::Tails(tails)).await?;
        }
        Frame::Committed(programs) => {
            calls.witness.borrow_mut().drop_tails(&programs);
            stream.send(&Frame::Ack).await?;
        }
        other => return Err(Error::Unexpected(other.kind())),
    }
    stream.finish()
}

/// Sends an answer from `offset` on until it ends.
async fn send_answer(
    stream: &mut Stream,
    answer: &Answer<Outcome>,
    mut offset: usize,
) -> Result<()> {
    loop {
        let next = async { Ok(answer.next(offset, answer.restarts()).await) };
        let frame = match next.or(peer_closed(stream)).await? {
            Next::Bytes(bytes) => {
                let delta = Delta {
                    offset: offset as u64,
                    bytes,
                };
                offset += delta.bytes.len();
                Frame::Delta(delta)
            }
            Next::Restarted(_) => continue,
            Next::End(Ok(done)) => return stream.send(&Frame::Done(done)).await,
            Next::End(Err(refused)) => return stream.send(&Frame::Refused(refused)).await,
        };
        stream.send(&frame).await?;
    }
}

/// Reports changes of the epoch and of the load, and lists unclaimed programs in `Held` frames.
/// Ends when the sidecar closes its connections.
async fn serve_watch(calls: &Calls, stream: &mut Stream) -> Result<()> {
    let mut sent_load = None;
    let mut sent_epoch = None;
    let mut queried_at = None;
    while !calls.is_closing() {
        // The listener is created before the state is read, so that no change is missed.
        let changed = calls.change_listener();
        let epoch = calls.epoch();
        if sent_epoch != Some(epoch) {
            stream.send(&Frame::Epoch(epoch)).await?;
            sent_epoch = Some(epoch);
        }
        let load = calls.load();
        if sent_load != Some(load) {
            stream.send(&Frame::Load(load)).await?;
            sent_load = Some(load);
        }
        let unclaimed = calls
            .claims
            .borrow()
            .programs_to_query(queried_at, calls.now());
        if !unclaimed.is_empty() {
            stream.send(&Frame::Held(unclaimed)).await?;
            queried_at = Some(calls.now());
        }
        let interval = async {
            smol::Timer::after(LOAD_INTERVAL.into()).await;
        };
        let wait = async {
            interval.or(changed).await;
            Ok(())
        };
        wait.or(peer_closed(stream)).await?;
    }
    Ok(())
}

/// Waits until the peer closes the stream, then fails with [`Error::Ended`]. An exchange races its
/// own wait against this one, so that it releases the stream even if its own wait never ends.
async fn peer_closed<T>(stream: &mut Stream) -> Result<T> {
    stream.closed().await;
    Err(Error::Ended)
}
