//! Calls of a sidecar: connects guard, queue and endpoint client.

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
use crate::guard::{Guard, Outcome, Verdict};
use crate::orders::Orders;
use crate::queue::Queue;
use crate::witness::Witness;

const QUEUE_MAX_CALLS: u32 = 1_024;
const QUEUE_MAX_BYTES: usize = 16 << 20;
const EPOCH_LENGTH: Span = Span::from_ms(60_000);
const CLOSE_TIMEOUT: Span = Span::from_ms(1_000);
const DRAIN_POLL_INTERVAL: Span = Span::from_ms(20);
/// Capacity for tails of program histories during a store outage.
/// All tails must fit into one frame, because one `Tails` frame returns them.
const WITNESS_CAPACITY: Bytes = Bytes(6 << 20);
/// Weight of the newest sample in the moving average of the time per generated token.
const TOKEN_TIME_WEIGHT: f64 = 0.2;

/// A call that is waiting for a slot.
struct QueuedCall {
    dispatch: Dispatch,
    queued_at: Time,
}

/// Calls of a sidecar, with the state that the tasks of the process share.
pub(crate) struct Calls {
    executor: Rc<LocalExecutor<'static>>,
    client: Client,
    orders: Orders,
    guard: RefCell<Guard>,
    queue: RefCell<Queue>,
    pub(crate) claims: RefCell<Claims>,
    queued: RefCell<HashMap<Call, QueuedCall>>,
    queued_bytes: Cell<usize>,
    /// Whether watches must end.
    closing: Cell<bool>,
    /// Notified when watches must send the epoch or the load, or end.
    changed: Event,
    drain_max: Span,
    /// Moving average of the time per generated token in microseconds; 0 without a sample.
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
            queued: RefCell::default(),
            queued_bytes: Cell::new(0),
            closing: Cell::new(false),
            changed: Event::new(),
            drain_max: settings.drain_max,
            token_time: Cell::new(0.0),
            witness: RefCell::new(Witness::new(WITNESS_CAPACITY)),
            replica: RefCell::default(),
            stale_after: settings.process.timing.stale_after,
            metrics,
            log,
            clock,
        })
    }

    /// Accepts a dispatch, finds the answer of an earlier dispatch of the call, or rejects it.
    pub(crate) fn dispatch(self: &Rc<Self>, entry: Incarnation, dispatch: Dispatch) -> Verdict {
        self.record_claims(entry, &[dispatch.call.program]);
        let has_room = self.has_room(&dispatch);
        let verdict = self.guard.borrow_mut().dispatch(&dispatch, has_room);
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

    /// Returns whether the queue can hold one more call. A prompt of more than [`QUEUE_MAX_BYTES`]
    /// is queued only while no other call waits.
    fn has_room(&self, dispatch: &Dispatch) -> bool {
        let bytes = self.queued_bytes.get();
        let fits = bytes == 0 || bytes + dispatch.input.len() <= QUEUE_MAX_BYTES;
        fits && self.queue.borrow().waiting() < QUEUE_MAX_CALLS
    }

    fn enqueue(self: &Rc<Self>, dispatch: Dispatch) {
        let call = dispatch.call;
        self.queue.borrow_mut().push(call, dispatch.priority);
        let queued_at = self.clock.now();
        let bytes = self.queued_bytes.get() + dispatch.input.len();
        self.queued_bytes.set(bytes);
        self.queued.borrow_mut().insert(
            call,
            QueuedCall {
                dispatch,
                queued_at,
            },
        );
        self.start_queued();
    }

    /// Removes a waiting call from `queued` and `queued_bytes`.
    fn take_queued(&self, call: Call) -> Option<QueuedCall> {
        let queued = self.queued.borrow_mut().remove(&call)?;
        let bytes = self.queued_bytes.get() - queued.dispatch.input.len();
        self.queued_bytes.set(bytes);
        Some(queued)
    }

    /// Starts waiting calls while slots are free.
    fn start_queued(self: &Rc<Self>) {
        loop {
            let Some(call) = self.queue.borrow_mut().pop() else {
                return;
            };
            let Some(queued) = self.take_queued(call) else {
                self.queue.borrow_mut().release_slot();
                continue;
            };
            let calls = self.clone();
            let run = async move {
                calls.run(queued).await;
                calls.queue.borrow_mut().release_slot();
                calls.start_queued();
            };
            self.executor.spawn(run).detach();
        }
    }

    async fn run(&self, queued: QueuedCall) {
        let QueuedCall {
            mut dispatch,
            queued_at,
        } = queued;
        let Some(answer) = self.guard.borrow().answer(dispatch.call) else {
            return;
        };
        let start = self.clock.now();
        if start.since(queued_at) > dispatch.time_remaining {
            self.finish(dispatch.call, Err(did_not_run(Reason::Deadline)));
            return;
        }
        let trace = Trace::child_of(&dispatch.trace);
        let endpoint_trace = trace.child();
        dispatch.trace = endpoint_trace.to_string().into();
        let result = self.client.run(&dispatch, &answer).await;
        let end = self.clock.now();
        if let (Ok(usage), Work::Model { .. }) = (&result, &dispatch.work) {
            self.record_token_time(usage, end.since(start));
        }
        self.metrics
            .record_seconds("endpoint", end.since(start).as_secs_f64());
        endpoint_trace.finish(&self.log, "endpoint", start, end);
        trace.finish(&self.log, "sidecar", queued_at, end);
        if let Err(refused) = &result {
            warn!(self.log, "call failed"; "call" => %dispatch.call, "why" => %refused.reason);
        }
        let outcome = result.map(|usage| self.done(&answer.bytes(), usage));
        self.finish(dispatch.call, outcome);
    }

    fn finish(&self, call: Call, outcome: Outcome) {
        self.guard.borrow_mut().finish(call, outcome);
    }

    fn record_token_time(&self, usage: &Usage, duration: Span) {
        let sample = duration.0 as f64 / usage.generated.0.max(1) as f64;
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

    /// Stops a call. Declares that an unknown call never runs, because the cancel may have arrived
    /// before its dispatch.
    pub(crate) async fn cancel(&self, call: Call) {
        if self.take_queued(call).is_some() {
            self.queue.borrow_mut().remove(call);
            self.finish(call, Err(did_not_run(Reason::Cancelled)));
        } else if self.query(call) == State::Running {
            self.cancel_at_endpoint(call).await;
        }
    }

    async fn cancel_at_endpoint(&self, call: Call) {
        if let Err(error) = self.client.cancel(call).await {
            warn!(self.log, "cancel failed"; "call" => %call, "error" => %error);
        }
    }

    pub(crate) fn query(&self, call: Call) -> State {
        self.guard.borrow_mut().query(call)
    }

    pub(crate) fn answer(&self, call: Call) -> Option<Rc<wire::Answer<Outcome>>> {
        self.guard.borrow().answer(call)
    }

    pub(crate) fn record_saved(&self, calls: &[Call]) {
        self.guard.borrow_mut().record_saved(calls);
    }

    /// Stops the running calls of a program that has ended and frees its answers and engine memory.
    pub(crate) async fn release(&self, program: Program) {
        self.claims.borrow_mut().release(program);
        let running = self.guard.borrow_mut().release(program);
        for call in running {
            self.cancel(call).await;
        }
        self.free_engine_memory(program).await;
    }

    pub(crate) async fn free_engine_memory(&self, program: Program) {
        if let Err(error) = self.client.release(program).await {
            warn!(self.log, "release failed"; "program" => %program, "error" => %error);
        }
    }

    pub(crate) async fn send_order(&self, order: &Order) -> Ordered {
        let ordered = self.orders.send(&self.client, order).await;
        if matches!(ordered, Ordered::Fenced(_)) {
            self.metrics.count("order-fenced");
        }
        ordered
    }

    /// Holds a tail of a program's history.
    ///
    /// # Errors
    /// `Reason::Leaving` while this sidecar drains, `Reason::Full` if there is no room.
    pub(crate) fn hold_tail(&self, tail: Tail) -> Result<(), Refused> {
        if self.guard.borrow().is_leaving() {
            return Err(did_not_run(Reason::Leaving));
        }
        if self.witness.borrow_mut().hold(tail) {
            Ok(())
        } else {
            Err(did_not_run(Reason::Full))
        }
    }

    pub(crate) fn record_claims(&self, entry: Incarnation, programs: &[Program]) {
        let mut claims = self.claims.borrow_mut();
        programs
            .iter()
            .for_each(|program| claims.claim(entry, *program));
    }

    pub(crate) async fn held_programs(&self) -> http_io::Result<BTreeSet<Program>> {
        self.client.held_programs().await
    }

    /// Returns the programs with retained answers or with calls that may have run.
    pub(crate) fn recorded_programs(&self) -> Vec<Program> {
        self.guard.borrow().programs()
    }

    /// Returns whether a program was released recently.
    pub(crate) fn is_released(&self, program: Program) -> bool {
        self.guard.borrow().is_released(program)
    }

    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns whether this sidecar is ready for new work: its environment document is up to date
    /// and it does not drain.
    pub(crate) fn is_ready(&self) -> bool {
        let now = self.clock.now();
        let is_fresh = self.replica.borrow().is_fresh(self.stale_after, now);
        is_fresh && !self.guard.borrow().is_leaving()
    }

    /// Advances the epoch at a fixed interval; never returns.
    pub(crate) async fn advance_epochs(&self) {
        loop {
            smol::Timer::after(EPOCH_LENGTH.into()).await;
            self.guard.borrow_mut().advance_epoch();
            self.changed.notify(usize::MAX);
        }
    }

    pub(crate) fn epoch(&self) -> Epoch {
        self.guard.borrow().epoch()
    }

    /// Returns the current load, as reported to entries.
    pub(crate) fn load(&self) -> Load {
        let queue = self.queue.borrow();
        Load {
            running: queue.running(),
            queued: queue.waiting(),
            backlog: Tokens(0),
            token_time: Span(self.token_time.get() as u64),
            leaving: self.guard.borrow().is_leaving(),
        }
    }

    /// Refuses new work from now on and reports this on all watches at once.
    pub(crate) fn set_leaving(&self) {
        self.guard.borrow_mut().set_leaving();
        self.changed.notify(usize::MAX);
    }

    /// Refuses new work and waits until all accepted calls have ended. Then waits for at most
    /// `drain_max` until entries have saved the answers and tails held here, and closes the
    /// connections.
    pub(crate) async fn drain(&self, connections: &wire::Drain) {
        self.set_leaving();
        let is_busy = || self.load().running + self.load().queued > 0;
        self.poll_while(is_busy, None).await;
        self.poll_while(|| self.unsaved() > Bytes(0), Some(self.drain_max))
            .await;
        if self.unsaved() > Bytes(0) {
            warn!(self.log, "answers not saved"; "bytes" => self.unsaved().0);
        }
        self.closing.set(true);
        self.changed.notify(usize::MAX);
        let time_out = async {
            smol::Timer::after(CLOSE_TIMEOUT.into()).await;
        };
        connections.finish().or(time_out).await;
    }

    /// Returns the size of the answers and tails that may be stored nowhere else.
    fn unsaved(&self) -> Bytes {
        let (retained, held) = (self.guard.borrow().retained(), self.witness.borrow().held());
        Bytes(retained.0 + held.0)
    }

    async fn poll_while(&self, condition: impl Fn() -> bool, timeout: Option<Span>) {
        let start = self.clock.now();
        let is_late = || timeout.is_some_and(|timeout| self.clock.now().since(start) >= timeout);
        while condition() && !is_late() {
            smol::Timer::after(DRAIN_POLL_INTERVAL.into()).await;
        }
    }

    pub(crate) fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Returns a listener for the next change that watches must report at once.
    pub(crate) fn change_listener(&self) -> EventListener {
        self.changed.listen()
    }
}

fn did_not_run(reason: Reason) -> Refused {
    Refused {
        ran: Ran::No,
        reason,
    }
}
