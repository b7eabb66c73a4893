//! Where programs are: which log holds a program and which process writes that log.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use async_channel::Receiver;
use log::{State, Token};
use smol::future::FutureExt;
use units::{Incarnation, Program, Span};
use wire::Link;

use crate::live::Live;
use crate::refusal::{Refusal, Result};
use crate::takeover;
use crate::traffic::Traffic;

/// A request waits so long for a takeover that it needs, then it is refused.
const TAKEOVER_WAIT: Span = Span::from_ms(2_500);
const CHAIN_MAX: u32 = 64;
const PAUSE_MAX: Span = Span::from_ms(1_000);
const CHECK_TIMEOUT: Span = Span::from_ms(1_000);
const CLOSE_POLL: Span = Span::from_ms(10);

/// Who owns a program.
pub(crate) enum Owner {
    /// This entry.
    Here(Rc<Live>),
    /// The entry behind this connection.
    There(Link),
}

/// What is known of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    /// This process writes it, when last looked.
    Open(Incarnation),
    /// This writer is its successor, for ever.
    Sealed(Incarnation),
}

/// A sealed log whose programs are all in another log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Adoption {
    pub(crate) from: Incarnation,
    pub(crate) to: Incarnation,
}

/// What is known of logs and what is being taken over.
#[derive(Debug, Default)]
pub(crate) struct Logs {
    known: RefCell<HashMap<Incarnation, Place>>,
    adopted: RefCell<HashSet<Adoption>>,
    running: RefCell<HashMap<Incarnation, Receiver<()>>>,
}

impl Logs {
    /// Whether an adoption is complete.
    pub(crate) fn is_adopted(&self, adoption: Adoption) -> bool {
        self.adopted.borrow().contains(&adoption)
    }

    /// Notes that an adoption is complete.
    pub(crate) fn note_adopted(&self, adoption: Adoption) {
        self.adopted.borrow_mut().insert(adoption);
    }

    /// Notes a log's successor.
    pub(crate) fn note_sealed(&self, writer: Incarnation, successor: Incarnation) {
        let place = Place::Sealed(successor);
        self.known.borrow_mut().insert(writer, place);
    }
}

impl Traffic {
    /// Finds the owner of a program, from the log that its last token names or that created it.
    ///
    /// Requests that were `passed_on` to this entry are not sent back on a guess: the sender may know
    /// of a seal that is not known here yet.
    pub(crate) async fn owner(
        self: &Rc<Self>,
        id: Program,
        after: Option<&Token>,
        passed_on: bool,
    ) -> Result<Owner> {
        self.check_after_pause().await;
        if let Some(live) = self.local(id) {
            return Ok(Owner::Here(live));
        }
        let mut writer = after.map_or(id.origin, |token| token.writer);
        let mut sealed = Vec::new();
        for _ in 0..CHAIN_MAX {
            if self.log().is_ok_and(|log| log.writer() == writer) {
                return self.inherited(id, &sealed, writer).await;
            }
            match self.place(writer, passed_on).await? {
                Place::Sealed(successor) => {
                    sealed.push(writer);
                    writer = successor;
                }
                Place::Open(process) => {
                    if let Some(link) = self.link_to(process) {
                        return Ok(Owner::There(link));
                    }
                    self.take_over(writer).await;
                    // Either the log is sealed now or its history is not yet available.
                    if !self.is_known_sealed(writer) {
                        return Err(Refusal::Unavailable);
                    }
                }
            }
        }
        Err(Refusal::Unavailable)
    }

    /// Looks whether the own log has been sealed if this thread has not run for a while: a process
    /// that was paused must not serve from what it held before.
    pub(crate) async fn check_after_pause(&self) {
        if self.shared.clock.now().since(self.ticked.get()) < PAUSE_MAX {
            return;
        }
        if let Ok(log) = self.log() {
            let expire = async {
                // Without an answer of the store the appends are fenced all the same.
                smol::Timer::after(CHECK_TIMEOUT.into()).await;
                Ok(())
            };
            if log.check().or(expire).await.is_err() {
                while !log.is_closed() {
                    smol::Timer::after(CLOSE_POLL.into()).await;
                }
            }
        }
        self.ticked.set(self.shared.clock.now());
    }

    /// A program of logs whose chain of successors leads to this entry's own log.
    async fn inherited(
        self: &Rc<Self>,
        id: Program,
        sealed: &[Incarnation],
        own: Incarnation,
    ) -> Result<Owner> {
        for writer in sealed.iter().rev() {
            let adoption = Adoption {
                from: *writer,
                to: own,
            };
            if !self.logs.is_adopted(adoption) {
                self.take_over(*writer).await;
            }
            if let Some(live) = self.local(id) {
                return Ok(Owner::Here(live));
            }
            if !self.logs.is_adopted(adoption) {
                return Err(Refusal::Unavailable);
            }
        }
        if id.origin == own && id.number > self.created.get() {
            return Err(Refusal::UnknownProgram);
        }
        // It may have ended and been forgotten, so that a repeated call may have run.
        Err(Refusal::ForgottenProgram)
    }

    /// Whether a log is known to be sealed.
    pub(crate) fn is_known_sealed(&self, writer: Incarnation) -> bool {
        let known = self.logs.known.borrow();
        matches!(known.get(&writer), Some(Place::Sealed(_)))
    }

    /// Where a log is; `fresh` asks for its row even if a process is connected that wrote it.
    async fn place(&self, writer: Incarnation, fresh: bool) -> Result<Place> {
        let known = self.logs.known.borrow().get(&writer).copied();
        let process = match known {
            Some(Place::Sealed(successor)) => return Ok(Place::Sealed(successor)),
            Some(Place::Open(process)) => process,
            // The first log of a process has the process's incarnation as its writer.
            None => writer,
        };
        if !fresh && self.link_to(process).is_some() {
            return Ok(Place::Open(process));
        }
        let found = log::read_writer(&self.shared.client, writer).await;
        let found = found.map_err(|_| Refusal::Unavailable)?;
        let row = found.ok_or(Refusal::UnknownProgram)?.row;
        let place = match row.state {
            State::Open => Place::Open(row.process),
            State::Sealed(successor) => Place::Sealed(successor),
        };
        self.logs.known.borrow_mut().insert(writer, place);
        Ok(place)
    }

    /// Takes a log over, or waits for the takeover under way, for a bounded time.
    pub(crate) async fn take_over(self: &Rc<Self>, writer: Incarnation) {
        let running = self.logs.running.borrow().get(&writer).cloned();
        let done = running.unwrap_or_else(|| self.spawn_takeover(writer));
        let ended = async {
            // Nothing is ever sent: the channel closes at the end.
            let _ = done.recv().await;
        };
        let expire = async {
            smol::Timer::after(TAKEOVER_WAIT.into()).await;
        };
        ended.or(expire).await;
    }

    fn spawn_takeover(self: &Rc<Self>, writer: Incarnation) -> Receiver<()> {
        let (running, done) = async_channel::bounded::<()>(1);
        self.logs.running.borrow_mut().insert(writer, done.clone());
        let traffic = self.clone();
        let task = async move {
            takeover::run(&traffic, writer).await;
            traffic.logs.running.borrow_mut().remove(&writer);
            drop(running);
        };
        self.executor.spawn(task).detach();
        done
    }
}
