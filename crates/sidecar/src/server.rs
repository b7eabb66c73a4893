//! The exchanges that entries open.

use std::rc::Rc;

use smol::future::FutureExt;
use units::Span;
use wire::{
    Accepted, Answer, Delta, Error, Frame, Identity, Next, Ran, Reason, Refused, Result, Resume,
    Stream,
};

use crate::calls::Calls;
use crate::document;
use crate::guard::{End, Verdict};

const LOAD_INTERVAL: Span = Span::from_ms(200);

/// Serves one exchange; a broken one concerns only the peer, which resumes or queries.
pub(crate) async fn exchange(calls: Rc<Calls>, _peer: Rc<Identity>, mut stream: Stream) {
    if serve(&calls, &mut stream).await.is_err() {
        calls.metrics.count("exchange-broken");
    }
}

async fn serve(calls: &Rc<Calls>, stream: &mut Stream) -> Result<()> {
    match stream.expect().await? {
        Frame::Dispatch(dispatch) => match calls.dispatch(dispatch) {
            Verdict::Run(answer) | Verdict::Attach(answer) => {
                let queued = calls.load().queued;
                stream.send(&Frame::Accepted(Accepted { queued })).await?;
                follow(stream, &answer, 0).await?;
            }
            Verdict::Reject(refused) => stream.send(&Frame::Refused(refused)).await?,
        },
        Frame::Resume(Resume { call, offset }) => match calls.answer(call) {
            Some(answer) => follow(stream, &answer, offset as usize).await?,
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
            calls.saved(&saved);
            stream.send(&Frame::Ack).await?;
        }
        Frame::Release(program) => {
            calls.release(program).await;
            stream.send(&Frame::Ack).await?;
        }
        Frame::Drain => {
            calls.leave();
            stream.send(&Frame::Ack).await?;
        }
        Frame::InForce(version) => document::answer(calls, version, stream).await?,
        Frame::Document { version, text } => {
            document::receive(calls, version, text, stream).await?;
        }
        Frame::Watch => watch(calls, stream).await?,
        other => return Err(Error::Unexpected(other.kind())),
    }
    stream.finish()
}

/// Sends an answer from `offset` on until it ends.
async fn follow(stream: &mut Stream, answer: &Answer<End>, mut offset: usize) -> Result<()> {
    loop {
        let next = async { Ok(answer.next(offset, answer.restarts()).await) };
        let frame = match next.or(gone(stream)).await? {
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

/// Sends a load report whenever the load has changed.
async fn watch(calls: &Calls, stream: &mut Stream) -> Result<()> {
    let mut sent = None;
    let mut told = None;
    loop {
        let epoch = calls.epoch();
        if told != Some(epoch) {
            stream.send(&Frame::Epoch(epoch)).await?;
            told = Some(epoch);
        }
        let load = calls.load();
        if sent != Some(load) {
            stream.send(&Frame::Load(load)).await?;
            sent = Some(load);
        }
        let wait = async {
            smol::Timer::after(LOAD_INTERVAL.into()).await;
            Ok(())
        };
        wait.or(gone(stream)).await?;
    }
}

/// Fails once the peer has gone away, so that a wait for something else pins no stream.
async fn gone<T>(stream: &mut Stream) -> Result<T> {
    stream.gone().await;
    Err(Error::Ended)
}
