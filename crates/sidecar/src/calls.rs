//! The calls of a sidecar: guard, queue and endpoint put together.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use board::Replica;
use event_listener::{Event, EventListener};
use settings::Sidecar;
use slog::{Logger, warn};
use smol::LocalExecutor;
use smol::future::FutureExt;
use telemetry::{Metrics, Trace};
use units::{Bytes, Call, Clock, Digest, Incarnation, Program, Span, Time, Tokens};
use wire::{
    Dispatch, Done, Epoch, Load, Order, Ordered, Ran, Reason, Refused, State, Tail, Usage, Work,
};

use crate::claims::Claims;
use crate::endpoint::Client;
use crate::guard::{End, Guard, Verdict};
use crate::orders::Orders;
use crate::queue::Queue;
use crate::witness::Witness;

const QUEUE_MAX: u32 = 1_024;
const QUEUE_MAX_BYTES: usize = 16 << 20;
const EPOCH: Span = Span::from_ms(60_000);
const CLOSE_MAX: Span = Span::from_ms(1_000);
const DRAIN_POLL: Span = Span::from_ms(20);
/// Room for tails of histories in a store outage.
/// All tails must fit into one frame, in which they are collected.
const WITNESS_MAX: Bytes = Bytes(6 << 20);
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
    orders: Orders,
    guard: RefCell<Guard>,
    queue: RefCell<Queue>,
    pub(crate) claims: RefCell<Claims>,
    waiting: RefCell<HashMap<Call, Waiting>>,
    waiting_bytes: Cell<usize>,
    closing: Cell<bool>,
    changed: Event,
    drain_max: Span,
    token_time: Cell<f64>,
    pub(crate) replica: RefCell<Replica>,
    stale_after: Span,
    pub(crate) witness: RefCell<Witness>,
    pub(crate) metrics: Metrics,
    pub(crate) log: Logger,
    pub(crate) clock: Clock,
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
            orders: Orders::new(settings.endpoint.checks_fences),
            guard: RefCell::new(guard),
            queue: RefCell::new(Queue::new(settings.endpoint.slots)),
            claims: RefCell::default(),
            waiting: RefCell::default(),
            waiting_bytes: Cell::new(0),
            closing: Cell::new(false),
            changed: Event::new(),
            drain_max: settings.drain_max,
            token_time: Cell::new(0.0),
            witness: RefCell::new(Witness::new(WITNESS_MAX)),
            replica: RefCell::default(),
            stale_after: settings.process.timing.stale_after,
            metrics,
            log,
            clock,
        })
    }

    /// Takes on a dispatch, or finds the answer of an earlier one.
    pub(crate) fn dispatch(self: &Rc<Self>, entry: Incarnation, dispatch: Dispatch) -> Verdict {
        self.claim(entry, &[dispatch.call.program]);
        let room = self.has_room(&dispatch);
        let verdict = self.guard.borrow_mut().dispatch(&dispatch, room);
        match &verdict {
            Verdict::Run(_) => {
                self.metrics.count("dispatched");
                self.enqueue(dispatch);
            }
            Verdict::Attach(_) => self.metrics.count("attached"),
            Verdict::Reject(_) => self.metrics.count("rejected"),
        }
        verdict
    }

    /// Whether the queue can take one more call. A prompt larger than all of it may wait alone.
    fn has_room(&self, dispatch: &Dispatch) -> bool {
        let bytes = self.waiting_bytes.get();
        let fits = bytes == 0 || bytes + dispatch.input.len() <= QUEUE_MAX_BYTES;
        fits && self.queue.borrow().waiting() < QUEUE_MAX
    }

    fn enqueue(self: &Rc<Self>, dispatch: Dispatch) {
        let call = dispatch.call;
        self.queue.borrow_mut().push(call, dispatch.priority);
        let since = self.clock.now();
        let bytes = self.waiting_bytes.get() + dispatch.input.len();
        self.waiting_bytes.set(bytes);
        self.waiting
            .borrow_mut()
            .insert(call, Waiting { dispatch, since });
        self.fill();
    }

    /// Takes a waiting call out of the queue's account.
    fn take(&self, call: Call) -> Option<Waiting> {
        let waiting = self.waiting.borrow_mut().remove(&call)?;
        let bytes = self.waiting_bytes.get() - waiting.dispatch.input.len();
        self.waiting_bytes.set(bytes);
        Some(waiting)
    }

    /// Starts waiting calls while there are slots.
    fn fill(self: &Rc<Self>) {
        loop {
            let Some(call) = self.queue.borrow_mut().pop() else {
                return;
            };
            let Some(waiting) = self.take(call) else {
                self.queue.borrow_mut().finish();
                continue;
            };
            let calls = self.clone();
            let run = async move {
                calls.run(waiting).await;
                calls.queue.borrow_mut().finish();
                calls.fill();
            };
            self.executor.spawn(run).detach();
        }
    }

    async fn run(&self, waiting: Waiting) {
        let Waiting {
            mut dispatch,
            since,
        } = waiting;
        let Some(answer) = self.guard.borrow().answer(dispatch.call) else {
            return;
        };
        let start = self.clock.now();
        if start.since(since) > dispatch.time_remaining {
            self.finish(dispatch.call, Err(did_not_run(Reason::Deadline)));
            return;
        }
        let trace = Trace::child_of(&dispatch.trace);
        let endpoint = trace.child();
        dispatch.trace = endpoint.to_string().into();
        let result = self.client.run(&dispatch, &answer).await;
        let end = self.clock.now();
        if let (Ok(usage), Work::Model { .. }) = (&result, &dispatch.work) {
            self.observe(usage, end.since(start));
        }
        self.metrics
            .record_seconds("endpoint", end.since(start).as_secs_f64());
        endpoint.finish(&self.log, "endpoint", start, end);
        trace.finish(&self.log, "sidecar", since, end);
        if let Err(refused) = &result {
            warn!(self.log, "call failed"; "call" => %dispatch.call, "why" => %refused.reason);
        }
        let end = result.map(|usage| self.done(&answer.bytes(), usage));
        self.finish(dispatch.call, end);
    }

    fn finish(&self, call: Call, end: End) {
        self.guard.borrow_mut().finish(call, end);
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

    /// Stops a call; one that is not known is declared as never to run, as the cancel may have
    /// overtaken its dispatch.
    pub(crate) async fn cancel(&self, call: Call) {
        if self.take(call).is_some() {
            self.queue.borrow_mut().remove(call);
            self.finish(call, Err(did_not_run(Reason::Cancelled)));
        } else if self.query(call) == State::Running {
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

    /// Stops what still runs of a program that has ended and frees all that is held for it.
    pub(crate) async fn release(&self, program: Program) {
        self.claims.borrow_mut().release(program);
        let running = self.guard.borrow_mut().release(program);
        for call in running {
            self.cancel(call).await;
        }
        self.free(program).await;
    }

    /// Frees the engine's memory of a program.
    pub(crate) async fn free(&self, program: Program) {
        if let Err(error) = self.client.release(program).await {
            warn!(self.log, "release failed"; "program" => %program, "error" => %error);
        }
    }

    /// Has the engine carry out an order, unless it is too old.
    pub(crate) async fn order(&self, order: &Order) -> Ordered {
        let ordered = self.orders.order(&self.client, order).await;
        if matches!(ordered, Ordered::Fenced(_)) {
            self.metrics.count("order-fenced");
        }
        ordered
    }

    /// Holds a tail, unless there is no room or this sidecar is leaving.
    pub(crate) fn hold(&self, tail: Tail) -> Result<(), Refused> {
        if self.guard.borrow().leaving() {
            return Err(did_not_run(Reason::Leaving));
        }
        if self.witness.borrow_mut().hold(tail) {
            Ok(())
        } else {
            Err(did_not_run(Reason::Full))
        }
    }

    /// Notes that an entry answers for programs.
    pub(crate) fn claim(&self, entry: Incarnation, programs: &[Program]) {
        let mut claims = self.claims.borrow_mut();
        programs
            .iter()
            .for_each(|program| claims.claim(entry, *program));
    }

    /// The programs for which the engine holds memory.
    pub(crate) async fn held(&self) -> http_io::Result<BTreeSet<Program>> {
        self.client.held().await
    }

    /// The programs of which the guard keeps something until their release.
    pub(crate) fn remembered(&self) -> Vec<Program> {
        self.guard.borrow().programs()
    }

    /// Whether a program was released of late.
    pub(crate) fn is_released(&self, program: Program) -> bool {
        self.guard.borrow().is_released(program)
    }

    /// The time now.
    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Whether entries may be told to use this sidecar: it has a document and hears of them.
    pub(crate) fn ready(&self) -> bool {
        let now = self.clock.now();
        let fresh = self.replica.borrow().is_fresh(self.stale_after, now);
        fresh && !self.guard.borrow().leaving()
    }

    /// Counts epochs without end.
    pub(crate) async fn count_epochs(&self) {
        loop {
            smol::Timer::after(EPOCH.into()).await;
            self.guard.borrow_mut().advance();
            self.changed.notify(usize::MAX);
        }
    }

    /// The epoch now.
    pub(crate) fn epoch(&self) -> Epoch {
        self.guard.borrow().epoch()
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

    /// Refuses new work from now on; watchers are told at once.
    pub(crate) fn leave(&self) {
        self.guard.borrow_mut().leave();
        self.changed.notify(usize::MAX);
    }

    /// Refuses new work, and waits until the calls taken on have ended and their answers and the tails
    /// held are saved, or nobody has saved them for too long; then ends the connections.
    pub(crate) async fn drain(&self, connections: &wire::Drain) {
        self.leave();
        let busy = || self.load().running + self.load().queued > 0;
        self.poll_while(busy, None).await;
        self.poll_while(|| self.unsaved() > Bytes(0), Some(self.drain_max))
            .await;
        if self.unsaved() > Bytes(0) {
            warn!(self.log, "answers not saved"; "bytes" => self.unsaved().0);
        }
        self.closing.set(true);
        self.changed.notify(usize::MAX);
        let late = async {
            smol::Timer::after(CLOSE_MAX.into()).await;
        };
        connections.finish().or(late).await;
    }

    /// Bytes of answers and tails that may be kept nowhere else.
    fn unsaved(&self) -> Bytes {
        let (retained, held) = (self.guard.borrow().retained(), self.witness.borrow().held());
        Bytes(retained.0 + held.0)
    }

    async fn poll_while(&self, condition: impl Fn() -> bool, bound: Option<Span>) {
        let start = self.clock.now();
        let late = || bound.is_some_and(|bound| self.clock.now().since(start) >= bound);
        while condition() && !late() {
            smol::Timer::after(DRAIN_POLL.into()).await;
        }
    }

    /// Whether watches are to end.
    pub(crate) fn closing(&self) -> bool {
        self.closing.get()
    }

    /// Resolves once something has changed, from now on, that watchers are told at once.
    pub(crate) fn changed(&self) -> EventListener {
        self.changed.listen()
    }
}

fn did_not_run(reason: Reason) -> Refused {
    Refused {
        ran: Ran::No,
        reason,
    }
}
