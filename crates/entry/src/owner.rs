//! Location of programs: which log holds a program and which process writes that log.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use async_channel::Receiver;
use log::{State, Token};
use smol::future::FutureExt;
use units::{Incarnation, Program, Span};
use wire::Link;

use crate::live::LiveProgram;
use crate::refusal::{Refusal, Result};
use crate::takeover;
use crate::traffic::Traffic;

/// Longest wait of a request for a takeover that it needs; the request is then refused.
const TAKEOVER_WAIT: Span = Span::from_ms(2_500);
const SUCCESSORS_MAX: u32 = 64;
const PAUSE_MAX: Span = Span::from_ms(1_000);
const LOG_CHECK_TIMEOUT: Span = Span::from_ms(1_000);
const CLOSE_POLL_INTERVAL: Span = Span::from_ms(10);

/// The owner of a program.
pub(crate) enum Owner {
    /// This entry.
    Local(Rc<LiveProgram>),
    /// The entry behind this connection.
    Remote(Link),
}

/// The last known state of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LogState {
    /// The log is written by this process, as of the last read.
    Open(Incarnation),
    /// The log is sealed; its successor never changes.
    Sealed(Incarnation),
}

/// A sealed log whose programs have all been recorded in another log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Adoption {
    pub(crate) from: Incarnation,
    pub(crate) to: Incarnation,
}

/// Known states of logs, and the takeovers in progress.
#[derive(Debug, Default)]
pub(crate) struct Logs {
    states: RefCell<HashMap<Incarnation, LogState>>,
    adopted: RefCell<HashSet<Adoption>>,
    takeovers: RefCell<HashMap<Incarnation, Receiver<()>>>,
}

impl Logs {
    /// Whether an adoption is complete.
    pub(crate) fn is_adopted(&self, adoption: Adoption) -> bool {
        self.adopted.borrow().contains(&adoption)
    }

    /// Records that an adoption is complete.
    pub(crate) fn record_adopted(&self, adoption: Adoption) {
        self.adopted.borrow_mut().insert(adoption);
    }

    /// Records a log's successor.
    pub(crate) fn record_sealed(&self, writer: Incarnation, successor: Incarnation) {
        let state = LogState::Sealed(successor);
        self.states.borrow_mut().insert(writer, state);
    }
}

impl Traffic {
    /// Finds the owner of a program through the log that its last token names or that created it.
    ///
    /// A request that was `forwarded` to this entry is not sent back just because the writer's
    /// process is connected: the sender may have seen a seal that this entry has not read yet.
    pub(crate) async fn find_owner(
        self: &Rc<Self>,
        id: Program,
        after: Option<&Token>,
        forwarded: bool,
    ) -> Result<Owner> {
        self.check_after_pause().await;
        if let Some(live) = self.owned_program(id) {
            return Ok(Owner::Local(live));
        }
        let mut writer = after.map_or(id.origin, |token| token.writer);
        let mut sealed = Vec::new();
        for _ in 0..SUCCESSORS_MAX {
            if self.log().is_ok_and(|log| log.writer() == writer) {
                return self.find_inherited(id, &sealed, writer).await;
            }
            match self.log_state(writer, forwarded).await? {
                LogState::Sealed(successor) => {
                    sealed.push(writer);
                    writer = successor;
                }
                LogState::Open(process) => {
                    if let Some(link) = self.link_to_process(process) {
                        return Ok(Owner::Remote(link));
                    }
                    self.take_over(writer).await;
                    // Unless the log is sealed by now, its history is not yet available.
                    if !self.is_known_sealed(writer) {
                        return Err(Refusal::Unavailable);
                    }
                }
            }
        }
        Err(Refusal::Unavailable)
    }

    /// Checks whether this entry's log was sealed while this thread did not run for a while: a
    /// process that was paused must not serve requests from outdated state.
    pub(crate) async fn check_after_pause(&self) {
        if self.shared.clock.now().since(self.last_tick.get()) < PAUSE_MAX {
            return;
        }
        if let Ok(log) = self.log() {
            let timeout = async {
                // If the store does not respond, appends are still fenced by the log.
                smol::Timer::after(LOG_CHECK_TIMEOUT.into()).await;
                Ok(())
            };
            if log.check().or(timeout).await.is_err() {
                while !log.is_closed() {
                    smol::Timer::after(CLOSE_POLL_INTERVAL.into()).await;
                }
            }
        }
        self.last_tick.set(self.shared.clock.now());
    }

    /// Finds a program of the `sealed` logs, whose chain of successors leads to this entry's log.
    async fn find_inherited(
        self: &Rc<Self>,
        id: Program,
        sealed: &[Incarnation],
        own_writer: Incarnation,
    ) -> Result<Owner> {
        for writer in sealed.iter().rev() {
            let adoption = Adoption {
                from: *writer,
                to: own_writer,
            };
            if !self.logs.is_adopted(adoption) {
                self.take_over(*writer).await;
            }
            if let Some(live) = self.owned_program(id) {
                return Ok(Owner::Local(live));
            }
            if !self.logs.is_adopted(adoption) {
                return Err(Refusal::Unavailable);
            }
        }
        if id.origin == own_writer && id.number > self.last_program_number.get() {
            return Err(Refusal::UnknownProgram);
        }
        // The program may have ended and been removed, so that a repeated call may have run.
        Err(Refusal::ExpiredProgram)
    }

    /// Whether a log is known to be sealed.
    pub(crate) fn is_known_sealed(&self, writer: Incarnation) -> bool {
        let known = self.logs.states.borrow();
        matches!(known.get(&writer), Some(LogState::Sealed(_)))
    }

    /// The state of a log; `read_row` reads its row even if its process is connected.
    async fn log_state(&self, writer: Incarnation, read_row: bool) -> Result<LogState> {
        let known = self.logs.states.borrow().get(&writer).copied();
        let process = match known {
            Some(LogState::Sealed(successor)) => return Ok(LogState::Sealed(successor)),
            Some(LogState::Open(process)) => process,
            // The writer of a process's first log is the process's incarnation.
            None => writer,
        };
        if !read_row && self.link_to_process(process).is_some() {
            return Ok(LogState::Open(process));
        }
        let found = log::read_writer(&self.shared.client, writer).await;
        let found = found.map_err(|_| Refusal::Unavailable)?;
        let row = found.ok_or(Refusal::UnknownProgram)?.row;
        let state = match row.state {
            State::Open => LogState::Open(row.process),
            State::Sealed(successor) => LogState::Sealed(successor),
        };
        self.logs.states.borrow_mut().insert(writer, state);
        Ok(state)
    }

    /// Takes over a log, or waits for the takeover in progress, for at most `TAKEOVER_WAIT`.
    pub(crate) async fn take_over(self: &Rc<Self>, writer: Incarnation) {
        let takeover = self.logs.takeovers.borrow().get(&writer).cloned();
        let done = takeover.unwrap_or_else(|| self.spawn_takeover(writer));
        let ended = async {
            // Nothing is ever sent: the channel closes when the takeover ends.
            let _ = done.recv().await;
        };
        let timeout = async {
            smol::Timer::after(TAKEOVER_WAIT.into()).await;
        };
        ended.or(timeout).await;
    }

    fn spawn_takeover(self: &Rc<Self>, writer: Incarnation) -> Receiver<()> {
        let (end_signal, done) = async_channel::bounded::<()>(1);
        self.logs
            .takeovers
            .borrow_mut()
            .insert(writer, done.clone());
        let traffic = self.clone();
        let task = async move {
            takeover::run(&traffic, writer).await;
            traffic.logs.takeovers.borrow_mut().remove(&writer);
            drop(end_signal);
        };
        self.executor.spawn(task).detach();
        done
    }
}
