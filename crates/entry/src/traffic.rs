//! The traffic thread, which owns this entry's programs and serves callers and peers.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;

use admin::{Operation, OperationRequest};
use async_channel::{Receiver, Sender};
use board::{Environment, Observation};
use intake::Clients;
use log::{Cause, Event, Handle, Record, Token};
use serde_json::Value;
use slog::{error, info};
use smol::LocalExecutor;
use smol::future::FutureExt;
use units::{Host, Incarnation, Program, Span, Time};
use wire::{Error, Frame, Identity, Key, Link, Load, Stream};

use crate::live::LiveProgram;
use crate::owner::Logs;
use crate::quota::{self, Quota};
use crate::refusal::{Refusal, Result};
use crate::routing::{self, Routing};
use crate::{Shared, api, documents, drain, forward, links, operator, takeover};

const SWEEP_INTERVAL: Span = Span::from_ms(500);
const LEAVING_POLL_INTERVAL: Span = Span::from_ms(200);

/// Listeners and channels of the traffic thread.
pub(crate) struct Inputs {
    pub(crate) caller_listener: std::net::TcpListener,
    pub(crate) peer_listener: std::net::TcpListener,
    pub(crate) observation_sender: Sender<Observation>,
    pub(crate) operation_receiver: Receiver<OperationRequest>,
    pub(crate) stop_receiver: Receiver<()>,
}

/// The state of the traffic thread.
pub(crate) struct Traffic {
    pub(crate) shared: Shared,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) key: Key,
    pub(crate) links: RefCell<HashMap<Host, Link>>,
    /// Hosts to which a task maintains a connection.
    pub(crate) managed_hosts: RefCell<HashSet<Host>>,
    pub(crate) routing: Routing,
    pub(crate) programs: RefCell<HashMap<Program, Rc<LiveProgram>>>,
    /// Number of the last program created here.
    pub(crate) last_program_number: Cell<u64>,
    /// Cloned by each request until its response has been sent.
    pub(crate) requests_in_flight: Arc<()>,
    pub(crate) leaving: Cell<bool>,
    /// Whether programs await their handover; no calls are started in them.
    pub(crate) handing_over: Cell<bool>,
    pub(crate) logs: Logs,
    /// When this thread last ran.
    pub(crate) last_tick: Cell<Time>,
    pub(crate) quota: Quota,
    observation_sender: Sender<Observation>,
}

/// Runs the traffic thread until the process is asked to stop and all calls have ended.
pub(crate) fn run(shared: Shared, inputs: Inputs) {
    let executor = Rc::new(LocalExecutor::new());
    let traffic = Rc::new(Traffic {
        executor: executor.clone(),
        key: Key::new(*shared.settings.process.key.bytes()),
        links: RefCell::default(),
        managed_hosts: RefCell::default(),
        routing: Routing::new(),
        programs: RefCell::default(),
        last_program_number: Cell::new(0),
        requests_in_flight: Arc::new(()),
        leaving: Cell::new(false),
        handing_over: Cell::new(false),
        logs: Logs::default(),
        last_tick: Cell::new(shared.clock.now()),
        quota: Quota::default(),
        observation_sender: inputs.observation_sender,
        shared,
    });
    let observation_sender = traffic.observation_sender.clone();
    let serve = serve(
        traffic,
        inputs.caller_listener,
        inputs.peer_listener,
        inputs.operation_receiver,
        inputs.stop_receiver,
    );
    smol::block_on(executor.run(serve));
    // Tasks of the executor still hold the traffic state, so the channel must be closed explicitly
    // for the control thread to end.
    observation_sender.close();
}

async fn serve(
    traffic: Rc<Traffic>,
    caller_listener: std::net::TcpListener,
    peer_listener: std::net::TcpListener,
    operation_receiver: Receiver<OperationRequest>,
    stop_receiver: Receiver<()>,
) {
    let executor = traffic.executor.clone();
    let spawn = |task: std::pin::Pin<Box<dyn Future<Output = ()>>>| executor.spawn(task).detach();
    spawn(Box::pin(serve_callers(traffic.clone(), caller_listener)));
    spawn(Box::pin(serve_peers(traffic.clone(), peer_listener)));
    spawn(Box::pin(links::run(traffic.clone(), executor.clone())));
    spawn(Box::pin(documents::run(traffic.clone(), executor.clone())));
    spawn(Box::pin(quota::run(traffic.clone())));
    spawn(Box::pin(sweep(traffic.clone())));
    spawn(Box::pin(takeover::watch(traffic.clone())));
    spawn(Box::pin(takeover::detect_pauses(traffic.clone())));
    spawn(Box::pin(serve_operations(
        traffic.clone(),
        operation_receiver,
    )));
    info!(traffic.shared.logger, "ready"; "callers" => %traffic.shared.settings.caller_address);
    // Nothing is ever sent: the channel closes when the process is asked to stop.
    let _ = stop_receiver.recv().await;
    drain::run(&traffic).await;
}

async fn serve_callers(traffic: Rc<Traffic>, listener: std::net::TcpListener) {
    let handler = {
        let traffic = traffic.clone();
        move |request| api::handle(traffic.clone(), request)
    };
    let listener = traffic.shared.listen(listener, Clients::Callers, "callers");
    match listener {
        Ok(listener) => http_io::serve(traffic.executor.clone(), listener, handler).await,
        Err(error) => error!(traffic.shared.logger, "caller API not served"; "error" => %error),
    }
}

async fn serve_peers(traffic: Rc<Traffic>, listener: std::net::TcpListener) {
    let handler = {
        let traffic = traffic.clone();
        move |peer, stream| serve_exchange(traffic.clone(), peer, stream)
    };
    let identity = traffic.shared.identity.clone();
    match traffic.shared.listen(listener, Clients::Peers, "peers") {
        Ok(listener) => {
            let (executor, key) = (traffic.executor.clone(), traffic.key.clone());
            let metrics = traffic.shared.metrics.clone();
            let refused = move |error: &Error| metrics.count(error.label());
            let drain = wire::Drain::new();
            wire::serve(executor, listener, key, identity, handler, refused, drain).await;
        }
        Err(error) => error!(traffic.shared.logger, "peer API not served"; "error" => %error),
    }
}

/// Serves one exchange that a peer opened.
async fn serve_exchange(traffic: Rc<Traffic>, _peer: Rc<Identity>, mut stream: Stream) {
    let served = async {
        match stream.expect().await? {
            Frame::Forward(forward) => {
                let _in_flight = traffic.requests_in_flight.clone();
                forward::receive(&traffic, forward, &mut stream).await
            }
            Frame::Ask(request) => operator::respond(&traffic, request, &mut stream).await,
            Frame::Drain => {
                traffic.observe(Observation::Leaving).await;
                acknowledge(&mut stream).await
            }
            Frame::InForce(version) => documents::respond(&traffic, version, &mut stream).await,
            Frame::Document { version, text } => {
                documents::receive(&traffic, version, text, &mut stream).await
            }
            Frame::Adopt(writer) => {
                traffic.take_over(writer).await;
                acknowledge(&mut stream).await
            }
            Frame::Watch => report_leaving(&traffic, &mut stream).await,
            other => Err(Error::Unexpected(other.kind())),
        }
    };
    if served.await.is_err() {
        traffic.shared.metrics.count("exchange-broken");
    }
}

async fn acknowledge(stream: &mut Stream) -> wire::Result<()> {
    stream.send(&Frame::Ack).await?;
    stream.finish()
}

/// Reports to a peer when this entry is leaving; an entry reports no other load. The open stream
/// shows the peer that this process is alive.
async fn report_leaving(traffic: &Traffic, stream: &mut Stream) -> wire::Result<()> {
    let leaving = async {
        while !traffic.is_leaving() {
            smol::Timer::after(LEAVING_POLL_INTERVAL.into()).await;
        }
        true
    };
    let gone = async {
        stream.closed().await;
        false
    };
    if leaving.or(gone).await {
        let load = Load {
            leaving: true,
            ..Load::default()
        };
        stream.send(&Frame::Load(load)).await?;
        stream.closed().await;
    }
    Ok(())
}

async fn sweep(traffic: Rc<Traffic>) {
    loop {
        smol::Timer::after(SWEEP_INTERVAL.into()).await;
        traffic.drop_fenced();
        let Ok(environment) = traffic.environment() else {
            continue;
        };
        let now = traffic.shared.clock.now();
        let limits = &environment.document.limits;
        let idle_timeout = limits.idle_timeout;
        traffic.drop_ended(limits.ended_retention, now);
        let programs: Vec<Rc<LiveProgram>> = traffic.programs.borrow().values().cloned().collect();
        for live in programs {
            let expired = live.program.borrow().expiry_cause(idle_timeout, now);
            if let Some(cause) = expired {
                let ending = end_expired(traffic.clone(), live, cause);
                traffic.executor.spawn(ending).detach();
            }
        }
    }
}

/// Ends an expired program; spawned for each one, as it waits while the store is unavailable.
async fn end_expired(traffic: Rc<Traffic>, live: Rc<LiveProgram>, cause: Cause) {
    if traffic.end(&live, cause).await.is_err() {
        traffic.shared.metrics.count("end-failed");
    }
}

async fn serve_operations(traffic: Rc<Traffic>, operation_receiver: Receiver<OperationRequest>) {
    while let Ok(request) = operation_receiver.recv().await {
        let task_traffic = traffic.clone();
        let answer = async move {
            let answer = task_traffic.run_operation(request.operation).await;
            // The operator may have disconnected.
            let _ = request.reply.send(answer).await;
        };
        traffic.executor.spawn(answer).detach();
    }
}

impl Traffic {
    async fn run_operation(&self, operation: Operation) -> Option<Value> {
        match operation {
            Operation::Programs => Some(operator::programs(self)),
            Operation::Accounts => Some(operator::accounts(self)),
            Operation::Drain(host) => operator::drain(self, &host).await,
            Operation::Explain(id) => operator::explain(self, id).await,
            Operation::End(id) => operator::end(self, id).await,
        }
    }

    /// Sends an observation to the control thread.
    pub(crate) async fn observe(&self, observation: Observation) {
        // The channel closes only when the process ends.
        let _ = self.observation_sender.send(observation).await;
    }

    /// The environment document in force.
    pub(crate) fn environment(&self) -> Result<Arc<Environment>> {
        self.shared
            .view
            .load()
            .environment
            .clone()
            .ok_or(Refusal::Unready)
    }

    /// The open log.
    pub(crate) fn log(&self) -> Result<Arc<log::Handle>> {
        self.shared.log_handle.load_full().ok_or(Refusal::Unready)
    }

    /// Appends events of `live` and applies them once they are durable.
    pub(crate) async fn append(&self, live: &LiveProgram, events: Vec<Event>) -> Result<()> {
        self.commit(live, &events).await?;
        let mut program = live.program.borrow_mut();
        events.iter().for_each(|event| program.apply(event));
        Ok(())
    }

    /// Appends events of `live`, and traces the append as a child span of the running call.
    ///
    /// They are appended only to the log that holds the program: if it was sealed, another entry
    /// owns the program.
    pub(crate) async fn commit(&self, live: &LiveProgram, events: &[Event]) -> Result<()> {
        let records = events.iter().map(|event| live.record(event.clone()));
        let start = self.shared.clock.now();
        let call = live.trace.get();
        self.append_records(&live.log, records.collect()).await?;
        if let Some(call) = call {
            let end = self.shared.clock.now();
            let append = call.child();
            append.finish(&self.shared.logger, "append", start, end);
        }
        Ok(())
    }

    /// Appends records and returns once they are durable.
    pub(crate) async fn append_records(&self, log: &Handle, records: Vec<Record>) -> Result<()> {
        let start = self.shared.clock.now();
        let result = log.append(records).await;
        let duration = self.shared.clock.now().since(start);
        self.shared
            .metrics
            .record_seconds("append", duration.as_secs_f64());
        result.map(drop).map_err(|_| Refusal::Unavailable)
    }

    /// Encodes a token as authenticated text.
    pub(crate) fn encode_token(&self, token: &Token) -> String {
        token.encode(self.shared.settings.process.key.bytes())
    }

    /// The open connection to a process.
    pub(crate) fn link_to_process(&self, process: Incarnation) -> Option<Link> {
        self.links
            .borrow()
            .values()
            .find(|link| link.peer().incarnation == process && !link.is_closed())
            .cloned()
    }

    /// The open connection to a host.
    pub(crate) fn link_to_host(&self, host: &Host) -> Option<Link> {
        self.links
            .borrow()
            .get(host)
            .filter(|link| !link.is_closed())
            .cloned()
    }

    /// All programs that this entry owns.
    pub(crate) fn programs(&self) -> Vec<Rc<LiveProgram>> {
        self.programs.borrow().values().cloned().collect()
    }

    /// A program that this entry owns.
    pub(crate) fn owned_program(&self, id: Program) -> Option<Rc<LiveProgram>> {
        let programs = self.programs.borrow();
        programs
            .get(&id)
            .filter(|live| !live.log.is_closed())
            .cloned()
    }

    /// Whether this entry accepts no new programs.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.get() || self.shared.view.load().leaving
    }

    /// Whether a call of any program is running here.
    pub(crate) fn has_running_call(&self) -> bool {
        let programs = self.programs.borrow();
        let mut all = programs.values();
        all.any(|live| !live.log.is_closed() && live.program.borrow().is_running())
    }

    /// Removes the programs whose log was sealed, as another entry owns them.
    fn drop_fenced(&self) {
        self.programs.borrow_mut().retain(|_, live| {
            let is_owned = !live.log.is_closed();
            if !is_owned {
                routing::remove_moved(self, live);
            }
            is_owned
        });
    }
}
