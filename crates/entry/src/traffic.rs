//! The traffic thread: the programs that this entry owns.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;

use admin::{Ask, Question};
use async_channel::{Receiver, Sender};
use board::{Environment, Observation};
use log::{Budget, Cause, Created, Event, Parent, Record, Token};
use serde_json::{Value, json};
use slog::{error, info};
use smol::LocalExecutor;
use units::{Account, Class, Host, Incarnation, Program, Span};
use wire::{Error, Frame, Identity, Key, Link, Stream};

use crate::control::listen;
use crate::live::Live;
use crate::refusal::{Refusal, Result};
use crate::routing::{self, Routing};
use crate::{Shared, account, api, forward, links};

const SWEEP_INTERVAL: Span = Span::from_ms(500);
const DRAIN_POLL: Span = Span::from_ms(20);

/// What the traffic thread is started with.
pub(crate) struct Inputs {
    pub(crate) callers: std::net::TcpListener,
    pub(crate) peers: std::net::TcpListener,
    pub(crate) observations: Sender<Observation>,
    pub(crate) asked: Receiver<Ask>,
    pub(crate) drained: Receiver<()>,
}

/// The state of the traffic thread.
pub(crate) struct Traffic {
    pub(crate) shared: Shared,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) key: Key,
    pub(crate) links: RefCell<HashMap<Host, Link>>,
    pub(crate) connecting: RefCell<HashSet<Host>>,
    pub(crate) routing: Routing,
    programs: RefCell<HashMap<Program, Rc<Live>>>,
    created: Cell<u64>,
    observations: Sender<Observation>,
}

/// Who owns a program.
pub(crate) enum Owner {
    /// This entry.
    Here(Rc<Live>),
    /// The entry behind this connection.
    There(Link),
}

/// Runs the traffic thread until the process is told to stop and all calls have ended.
pub(crate) fn run(shared: Shared, inputs: Inputs) {
    let executor = Rc::new(LocalExecutor::new());
    let traffic = Rc::new(Traffic {
        executor: executor.clone(),
        key: Key::new(*shared.settings.process.key.bytes()),
        links: RefCell::default(),
        connecting: RefCell::default(),
        routing: Routing::new(),
        programs: RefCell::default(),
        created: Cell::new(0),
        observations: inputs.observations,
        shared,
    });
    let observations = traffic.observations.clone();
    let serve = serve(
        traffic,
        inputs.callers,
        inputs.peers,
        inputs.asked,
        inputs.drained,
    );
    smol::block_on(executor.run(serve));
    // Tasks of the executor still hold the traffic state, so the channel must be closed by hand for
    // the control thread to end.
    observations.close();
}

async fn serve(
    traffic: Rc<Traffic>,
    callers: std::net::TcpListener,
    peers: std::net::TcpListener,
    asked: Receiver<Ask>,
    drained: Receiver<()>,
) {
    let executor = traffic.executor.clone();
    let spawn = |task: std::pin::Pin<Box<dyn Future<Output = ()>>>| executor.spawn(task).detach();
    spawn(Box::pin(serve_callers(traffic.clone(), callers)));
    spawn(Box::pin(serve_peers(traffic.clone(), peers)));
    spawn(Box::pin(links::keep(traffic.clone(), executor.clone())));
    spawn(Box::pin(sweep(traffic.clone())));
    spawn(Box::pin(answer_asks(traffic.clone(), asked)));
    info!(traffic.shared.logger, "ready"; "callers" => %traffic.shared.settings.callers);
    // Nothing is ever sent: the channel closes when the process is told to stop.
    let _ = drained.recv().await;
    info!(traffic.shared.logger, "draining");
    traffic.observe(Observation::Leaving).await;
    while traffic
        .programs
        .borrow()
        .values()
        .any(|live| live.program.borrow().is_running())
    {
        smol::Timer::after(DRAIN_POLL.into()).await;
    }
    info!(traffic.shared.logger, "stopped");
}

async fn serve_callers(traffic: Rc<Traffic>, listener: std::net::TcpListener) {
    let handler = {
        let traffic = traffic.clone();
        move |request| api::answer(traffic.clone(), request)
    };
    let served = match listen(listener) {
        Ok(listener) => http_io::serve(traffic.executor.clone(), listener, handler).await,
        Err(why) => Err(why),
    };
    if let Err(why) = served {
        error!(traffic.shared.logger, "caller API ended"; "error" => %why);
    }
}

async fn serve_peers(traffic: Rc<Traffic>, listener: std::net::TcpListener) {
    let handler = {
        let traffic = traffic.clone();
        move |peer, stream| exchange(traffic.clone(), peer, stream)
    };
    let own = traffic.shared.identity.clone();
    let served = match listen(listener) {
        Ok(listener) => {
            let (executor, key) = (traffic.executor.clone(), traffic.key.clone());
            wire::serve(executor, listener, key, own, handler).await
        }
        Err(why) => Err(why),
    };
    if let Err(why) = served {
        error!(traffic.shared.logger, "peer API ended"; "error" => %why);
    }
}

/// Serves one exchange that a peer opened.
async fn exchange(traffic: Rc<Traffic>, _peer: Rc<Identity>, mut stream: Stream) {
    let served = async {
        match stream.expect().await? {
            Frame::Forward(forward) => forward::receive(&traffic, forward, &mut stream).await,
            Frame::Watch => {
                // An entry has no load to report; the open stream shows that it lives.
                std::future::pending::<()>().await;
                Ok(())
            }
            other => Err(Error::Unexpected(other.kind())),
        }
    };
    if served.await.is_err() {
        traffic.shared.metrics.count("exchange-broken");
    }
}

async fn sweep(traffic: Rc<Traffic>) {
    loop {
        smol::Timer::after(SWEEP_INTERVAL.into()).await;
        let Ok(environment) = traffic.environment() else {
            continue;
        };
        let now = traffic.shared.clock.now();
        let idle_timeout = environment.document.limits.idle_timeout;
        let all: Vec<Rc<Live>> = traffic.programs.borrow().values().cloned().collect();
        for live in all {
            let expired = live.program.borrow().expired(idle_timeout, now);
            if let Some(cause) = expired
                && traffic.end(&live, cause).await.is_err()
            {
                traffic.shared.metrics.count("end-failed");
            }
        }
    }
}

async fn answer_asks(traffic: Rc<Traffic>, asked: Receiver<Ask>) {
    while let Ok(ask) = asked.recv().await {
        let answer = traffic.ask(ask.question).await;
        // An operator who has gone away needs no answer.
        let _ = ask.reply.send(answer).await;
    }
}

impl Traffic {
    async fn ask(&self, question: Question) -> Option<Value> {
        match question {
            Question::Programs => {
                let programs = self.programs.borrow();
                let summaries: Vec<Value> = programs
                    .values()
                    .map(|live| account::summary(live))
                    .collect();
                Some(json!({"programs": summaries}))
            }
            Question::Explain(id) => Some(account::explain(&*self.local(id)?)),
            Question::End(id) => {
                let live = self.local(id)?;
                let ended = self.end(&live, Cause::Operator).await.is_ok();
                Some(json!({"program": id.to_string(), "ended": ended}))
            }
        }
    }

    /// Tells the control thread something.
    pub(crate) async fn observe(&self, observation: Observation) {
        // The control thread ends only with the process.
        let _ = self.observations.send(observation).await;
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

    /// The writer of the open log.
    pub(crate) fn writer(&self) -> Result<Incarnation> {
        Ok(self.log()?.writer())
    }

    /// Appends records of `live` and applies them once they are durable.
    pub(crate) async fn append(&self, live: &Live, events: Vec<Event>) -> Result<()> {
        let records = events
            .iter()
            .map(|event| live.record(event.clone()))
            .collect();
        self.append_records(records).await?;
        let mut program = live.program.borrow_mut();
        events.iter().for_each(|event| program.apply(event));
        Ok(())
    }

    /// Appends records and returns once they are durable.
    pub(crate) async fn append_records(&self, records: Vec<Record>) -> Result<()> {
        let start = self.shared.clock.now();
        let result = self.log()?.append(records).await;
        let length = self.shared.clock.now().since(start);
        self.shared.metrics.time("append", length.as_secs_f64());
        result.map(drop).map_err(|_| Refusal::Unavailable)
    }

    /// A token as text.
    pub(crate) fn seal(&self, token: &Token) -> String {
        token.seal(self.shared.settings.process.key.bytes())
    }

    /// The open connection to a host.
    pub(crate) fn link(&self, host: &Host) -> Option<Link> {
        self.links
            .borrow()
            .get(host)
            .filter(|link| !link.is_closed())
            .cloned()
    }

    /// A program that this entry owns.
    pub(crate) fn local(&self, id: Program) -> Option<Rc<Live>> {
        self.programs.borrow().get(&id).cloned()
    }

    /// Finds the owner of a program, by the log that its last token names or that created it.
    pub(crate) async fn owner(&self, id: Program, after: Option<&Token>) -> Result<Owner> {
        if let Some(live) = self.local(id) {
            return Ok(Owner::Here(live));
        }
        let writer = after.map_or(id.origin, |token| token.writer);
        if self.writer().is_ok_and(|own| own == writer) {
            return Err(Refusal::UnknownProgram);
        }
        let view = self.shared.view.load();
        let peer = view.entries.iter().find(|peer| peer.incarnation == writer);
        let link = peer.and_then(|peer| self.link(&peer.host));
        link.map(Owner::There).ok_or(Refusal::Unavailable)
    }

    /// A new program's identifier.
    pub(crate) fn next_id(&self) -> Result<Program> {
        self.created.set(self.created.get() + 1);
        Ok(Program {
            origin: self.writer()?,
            number: self.created.get(),
        })
    }

    /// Creates a program for a caller.
    pub(crate) async fn create(
        &self,
        account: &Account,
        class: Class,
        budget: Budget,
        deadline: Option<Span>,
    ) -> Result<Rc<Live>> {
        if self.shared.view.load().leaving {
            return Err(Refusal::Unready);
        }
        let environment = self.environment()?;
        let document = &environment.document;
        let allowed = document
            .accounts
            .get(account)
            .is_some_and(|a| a.classes.contains(&class));
        let settings = document
            .classes
            .get(&class)
            .filter(|_| allowed)
            .ok_or(Refusal::Class)?;
        routing::admit(self, settings)?;
        let limits = &document.limits;
        let budget = Budget {
            tokens: budget.tokens.min(limits.tokens_max),
            calls: budget.calls.min(limits.calls_max),
        };
        let now = self.shared.clock.now();
        let created = Created {
            account: account.clone(),
            class,
            budget,
            deadline: now.after(deadline.unwrap_or(settings.deadline).min(settings.deadline)),
            parent: None,
            document: environment.version,
            entry: self.shared.identity.host.clone(),
            at: now,
        };
        let id = self.next_id()?;
        let live = Live::new(id, program::Program::new(created.clone()));
        self.append(&live, vec![Event::Created(created)]).await?;
        self.adopt(live.clone());
        Ok(live)
    }

    /// The start of a sub-agent of `parent`.
    pub(crate) fn child(&self, parent: &Live, from: Parent, budget: Budget) -> Result<Created> {
        let environment = self.environment()?;
        let program = parent.program.borrow();
        Ok(Created {
            budget,
            parent: Some(from),
            document: environment.version,
            entry: self.shared.identity.host.clone(),
            at: self.shared.clock.now(),
            ..program.created().clone()
        })
    }

    /// Owns a program from now on.
    pub(crate) fn adopt(&self, live: Rc<Live>) {
        let precedence = routing::precedence(self, &live.program.borrow().created().class);
        self.routing.gate.borrow_mut().begin(precedence);
        self.programs.borrow_mut().insert(live.id, live);
        self.shared
            .metrics
            .set("programs", self.programs.borrow().len() as i64);
    }

    /// Ends a program and its sub-agents and frees the engines' memory of it.
    pub(crate) async fn end(&self, live: &Rc<Live>, cause: Cause) -> Result<()> {
        if live.program.borrow().ended().is_some() || live.ending.replace(true) {
            return Ok(());
        }
        let at = self.shared.clock.now();
        let ended = self.append(live, vec![Event::Ended { cause, at }]).await;
        live.ending.set(false);
        ended?;
        routing::forget(self, live);
        links::release(self, live.id).await;
        for child in self.children(live.id) {
            Box::pin(self.end(&child, Cause::Parent)).await?;
        }
        Ok(())
    }

    fn children(&self, id: Program) -> Vec<Rc<Live>> {
        let is_child = |live: &&Rc<Live>| {
            let program = live.program.borrow();
            program
                .created()
                .parent
                .is_some_and(|parent| parent.program == id)
        };
        self.programs
            .borrow()
            .values()
            .filter(is_child)
            .cloned()
            .collect()
    }
}
