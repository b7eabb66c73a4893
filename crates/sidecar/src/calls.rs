//! The calls of a sidecar: guard, queue and endpoint put together.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use settings::Sidecar;
use slog::{Logger, warn};
use smol::LocalExecutor;
use telemetry::{Metrics, Trace};
use units::{Bytes, Call, Clock, Digest, Incarnation, Program, Span, Time, Tokens};
use wire::{Dispatch, Done, Load, Ran, Reason, Refused, State, Usage, Work};

use crate::endpoint::Client;
use crate::guard::{End, Guard, Verdict};
use crate::queue::Queue;

const QUEUE_MAX: u32 = 1_024;
const DRAIN_POLL: Span = Span::from_ms(20);
const TOKEN_TIME_WEIGHT: f64 = 0.2;

/// A call that is waiting for a slot.
struct Waiting {
    dispatch: Dispatch,
    since: Time,
}

/// All calls of a sidecar.
pub(crate) struct Calls {
    executor: Rc<LocalExecutor<'static>>,
    client: Client,
    guard: RefCell<Guard>,
    queue: RefCell<Queue>,
    waiting: RefCell<HashMap<Call, Waiting>>,
    token_time: Cell<f64>,
    pub(crate) metrics: Metrics,
    log: Logger,
    clock: Clock,
}

impl Calls {
    pub(crate) fn new(
        executor: Rc<LocalExecutor<'static>>,
        settings: &Sidecar,
        incarnation: Incarnation,
        metrics: Metrics,
        log: Logger,
        clock: Clock,
    ) -> Rc<Self> {
        let guard = Guard::new(incarnation, settings.endpoint.retain_max);
        Rc::new(Calls {
            executor,
            client: Client::new(&settings.endpoint),
            guard: RefCell::new(guard),
            queue: RefCell::new(Queue::new(settings.endpoint.slots)),
            waiting: RefCell::default(),
            token_time: Cell::new(0.0),
            metrics,
            log,
            clock,
        })
    }

    /// Takes on a dispatch, or finds the answer of an earlier one.
    pub(crate) fn dispatch(self: &Rc<Self>, dispatch: Dispatch) -> Verdict {
        let verdict = self.guard.borrow_mut().dispatch(&dispatch);
        match &verdict {
            Verdict::Run(answer) => {
                self.metrics.count("dispatched");
                if self.queue.borrow().waiting() >= QUEUE_MAX {
                    answer.finish(Err(Refused {
                        ran: Ran::No,
                        reason: Reason::Full,
                    }));
                } else {
                    self.enqueue(dispatch);
                }
            }
            Verdict::Attach(_) => self.metrics.count("attached"),
            Verdict::Reject(_) => self.metrics.count("rejected"),
        }
        verdict
    }

    fn enqueue(self: &Rc<Self>, dispatch: Dispatch) {
        let call = dispatch.call;
        self.queue.borrow_mut().push(call, dispatch.priority);
        let since = self.clock.now();
        self.waiting
            .borrow_mut()
            .insert(call, Waiting { dispatch, since });
        self.fill();
    }

    /// Starts waiting calls while there are slots.
    fn fill(self: &Rc<Self>) {
        loop {
            let Some(slot) = self.queue.borrow_mut().pop() else {
                return;
            };
            let Some(waiting) = self.waiting.borrow_mut().remove(&slot.call) else {
                self.queue.borrow_mut().finish(slot);
                continue;
            };
            let calls = self.clone();
            let run = async move {
                calls.run(waiting).await;
                calls.queue.borrow_mut().finish(slot);
                calls.fill();
            };
            self.executor.spawn(run).detach();
        }
    }

    async fn run(&self, waiting: Waiting) {
        let Waiting { dispatch, since } = waiting;
        let Some(answer) = self.guard.borrow().answer(dispatch.call) else {
            return;
        };
        let start = self.clock.now();
        if start.since(since) > dispatch.time_left {
            answer.finish(Err(Refused {
                ran: Ran::No,
                reason: Reason::Deadline,
            }));
            return;
        }
        let trace = Trace::below(&dispatch.trace);
        let result = self.client.run(&dispatch, &answer).await;
        let end = self.clock.now();
        if let (Ok(usage), Work::Model { .. }) = (&result, &dispatch.work) {
            self.observe(usage, end.since(start));
        }
        self.metrics
            .time("endpoint", end.since(start).as_secs_f64());
        trace.finish(&self.log, "endpoint", start, end);
        if let Err(refused) = &result {
            warn!(self.log, "call failed"; "call" => %dispatch.call, "why" => %refused.reason);
        }
        let bytes = answer.bytes();
        self.guard
            .borrow_mut()
            .ended(dispatch.call, bytes.len() as u64);
        answer.finish(result.map(|usage| self.done(&bytes, usage)));
    }

    fn observe(&self, usage: &Usage, length: Span) {
        let sample = length.0 as f64 / usage.generated.0.max(1) as f64;
        let old = self.token_time.get();
        let new = if old == 0.0 {
            sample
        } else {
            old + TOKEN_TIME_WEIGHT * (sample - old)
        };
        self.token_time.set(new);
    }

    fn done(&self, bytes: &[u8], usage: Usage) -> Done {
        let length = Bytes(bytes.len() as u64);
        Done {
            length,
            digest: Digest::of(bytes),
            usage,
            load: self.load(),
        }
    }

    /// Stops a call.
    pub(crate) async fn cancel(&self, call: Call) {
        let cancelled = Err(Refused {
            ran: Ran::No,
            reason: Reason::Cancelled,
        });
        let waiting = self.waiting.borrow_mut().remove(&call);
        if waiting.is_some() {
            self.queue.borrow_mut().remove(call);
        }
        let Some(answer) = self.guard.borrow().answer(call) else {
            return;
        };
        if waiting.is_some() {
            answer.finish(cancelled);
        } else if answer.end().is_none() {
            self.stop(call).await;
        }
    }

    async fn stop(&self, call: Call) {
        if let Err(error) = self.client.cancel(call).await {
            warn!(self.log, "cancel failed"; "call" => %call, "error" => %error);
        }
    }

    pub(crate) fn query(&self, call: Call) -> State {
        self.guard.borrow_mut().query(call)
    }

    pub(crate) fn answer(&self, call: Call) -> Option<Rc<wire::Answer<End>>> {
        self.guard.borrow().answer(call)
    }

    pub(crate) fn saved(&self, calls: &[Call]) {
        self.guard.borrow_mut().saved(calls);
    }

    /// Frees the engine's memory of a program that has ended.
    pub(crate) async fn release(&self, program: Program) {
        if let Err(error) = self.client.release(program).await {
            warn!(self.log, "release failed"; "program" => %program, "error" => %error);
        }
    }

    /// The load now.
    pub(crate) fn load(&self) -> Load {
        let queue = self.queue.borrow();
        Load {
            running: queue.running(),
            queued: queue.waiting(),
            backlog: Tokens(0),
            token_time: Span(self.token_time.get() as u64),
            leaving: self.guard.borrow().leaving(),
        }
    }

    /// Refuses new work and waits until all calls taken on have ended.
    pub(crate) async fn drain(&self) {
        self.guard.borrow_mut().leave();
        while self.load().running + self.load().queued > 0 {
            smol::Timer::after(DRAIN_POLL.into()).await;
        }
    }
}
