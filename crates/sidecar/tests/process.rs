//! A whole sidecar on a thread, between a stand-in endpoint and a client that speaks as an entry.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a failed step fails the test"
)]

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use async_channel::Sender;
use slog::{Discard, Logger, o};
use smol::LocalExecutor;
use standins::{engine, service};
use units::{Call, Incarnation, Program, Seq, Span, Tokens};
use wire::{
    Action, Dispatch, Fence, Frame, Identity, Key, Link, Order, Ordered, Ran, Reason, Refused,
    Role, Stream, Tail, Work,
};

const START_MAX: Duration = Duration::from_secs(5);
const POLL: Duration = Duration::from_millis(5);
const KEY: [u8; 32] = [1; 32];

/// A sidecar on a thread of its own.
struct Sidecar {
    peers: SocketAddr,
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<sidecar::Result<()>>>,
}

/// An address that was free a moment ago.
fn free() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

impl Sidecar {
    fn start(kind: &str, endpoint: SocketAddr, more: &str) -> Self {
        Self::with_drain_max("100ms", kind, endpoint, more)
    }

    fn with_drain_max(drain_max: &str, kind: &str, endpoint: SocketAddr, more: &str) -> Self {
        let peers = free();
        let key: String = KEY.iter().map(|byte| format!("{byte:02x}")).collect();
        let text = format!(
            "[process]\nhost = sidecar-0\nregion = north\nzone = north-1\nenvironment = trial\n\
             key = {key}\n[platform]\naddress = 127.0.0.1:9\n\
             [sidecar]\npeer-address = {peers}\nstatus-address = {}\ndrain-max = {drain_max}\n\
             [endpoint]\nname = endpoint-0\nkind = {kind}\naddress = {endpoint}\nserves = stock advisor\n{more}",
            free(),
        );
        let settings = settings::Sidecar::parse("test", &text).unwrap();
        let (stop, stopped) = async_channel::bounded(1);
        let run = move || {
            let log = Logger::root(Discard, o!());
            let stopped = async move {
                // Nothing is ever sent: the channel closes when the sidecar is to stop.
                let _ = stopped.recv().await;
            };
            sidecar::run(settings, &log, stopped)
        };
        Sidecar {
            peers,
            stop: Some(stop),
            thread: Some(std::thread::spawn(run)),
        }
    }

    /// Connects as the entry with this incarnation.
    async fn connect(&self, tasks: &Rc<LocalExecutor<'static>>, entry: u64) -> Link {
        let own = Identity {
            host: "entry-0".parse().unwrap(),
            incarnation: Incarnation(entry),
            address: self.peers,
            region: "north".parse().unwrap(),
            zone: "north-1".parse().unwrap(),
            role: Role::Entry,
        };
        let start = Instant::now();
        loop {
            match Link::connect(tasks, self.peers, &Key::new(KEY), &own).await {
                Ok(link) => return link,
                Err(error) => assert!(start.elapsed() < START_MAX, "{error}"),
            }
            smol::Timer::after(POLL).await;
        }
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            let ended = thread.join();
            assert!(std::thread::panicking() || ended.unwrap().is_ok());
        }
    }
}

/// Runs `check` on an executor of its own.
fn run<F: Future<Output = ()>>(check: impl FnOnce(Rc<LocalExecutor<'static>>) -> F) {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(check(executor.clone())));
}

/// Waits until `condition` holds.
async fn eventually(bound: Duration, what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < bound, "not within {bound:?}: {what}");
        smol::Timer::after(POLL).await;
    }
}

fn call(number: u64, seq: u64) -> Call {
    Call {
        program: Program {
            origin: Incarnation(1),
            number,
        },
        seq: Seq(seq),
        attempt: 0,
    }
}

/// A dispatch of an order.
fn order(link: &Link, call: Call) -> Frame {
    Frame::Dispatch(Dispatch {
        call,
        sidecar: link.peer().incarnation,
        epoch: link.epoch(),
        account: "meche".parse().unwrap(),
        target: "stock".parse().unwrap(),
        work: Work::Service { idempotent: false },
        time_remaining: Span::from_ms(30_000),
        priority: 0,
        input: b"reserve".to_vec(),
        trace: Default::default(),
        tail: Vec::new(),
    })
}

/// Reads an exchange to its last frame.
async fn last(mut stream: Stream) -> Frame {
    let mut last = stream.expect().await.unwrap();
    while let Some(frame) = stream.recv().await.unwrap() {
        last = frame;
    }
    last
}

fn refusal(ran: Ran, reason: Reason) -> Frame {
    Frame::Refused(Refused { ran, reason })
}

#[test]
fn cancelled_order_that_waits_never_runs() {
    let service = service::start("127.0.0.1:0".parse().unwrap(), 300).unwrap();
    let sidecar = Sidecar::start("service", service.address, "slots = 1\n");
    run(|tasks| async move {
        let link = sidecar.connect(&tasks, 1).await;
        let first = link.open(&order(&link, call(1, 1))).await.unwrap();
        eventually(START_MAX, "the first order runs", || {
            service.state().executions.len() == 1
        })
        .await;
        let second = link.open(&order(&link, call(2, 1))).await.unwrap();
        let overtaken = call(3, 1);
        for cancelled in [call(2, 1), overtaken] {
            let ack = link.call(&Frame::Cancel(cancelled)).await.unwrap();
            assert_eq!(ack, Frame::Ack);
        }
        assert_eq!(last(second).await, refusal(Ran::No, Reason::Cancelled));
        assert!(matches!(last(first).await, Frame::Done(_)));
        let again = link.open(&order(&link, call(2, 1))).await.unwrap();
        assert_eq!(last(again).await, refusal(Ran::No, Reason::Cancelled));
        let late = link.open(&order(&link, overtaken)).await.unwrap();
        assert_eq!(last(late).await, refusal(Ran::No, Reason::Tombstone));
        assert_eq!(service.state().executions.len(), 1);
    });
}

#[test]
fn full_memory_refuses_work_for_good_and_keeps_what_is_not_saved() {
    let service = service::start("127.0.0.1:0".parse().unwrap(), 0).unwrap();
    let sidecar = Sidecar::start("service", service.address, "slots = 1\nretain-max = 1\n");
    run(|tasks| async move {
        let link = sidecar.connect(&tasks, 1).await;
        let first = link.open(&order(&link, call(1, 1))).await.unwrap();
        assert!(matches!(last(first).await, Frame::Done(_)));
        let full = refusal(Ran::No, Reason::Full);
        let second = link.open(&order(&link, call(2, 1))).await.unwrap();
        assert_eq!(last(second).await, full);
        let retained = link.call(&Frame::Query(call(1, 1))).await.unwrap();
        assert!(matches!(retained, Frame::State(wire::State::Retained(_))));
        link.call(&Frame::Saved(vec![call(1, 1)])).await.unwrap();
        let again = link.open(&order(&link, call(2, 1))).await.unwrap();
        assert_eq!(last(again).await, refusal(Ran::No, Reason::Tombstone));
        let third = link.open(&order(&link, call(3, 1))).await.unwrap();
        assert!(matches!(last(third).await, Frame::Done(_)));
        assert_eq!(service.state().executions.len(), 2);
    });
}

/// Bound for engine memory of an ended program to be freed.
const RELEASE_MAX: Duration = Duration::from_secs(5);

/// Reads a watch until the sidecar asks for programs; each report before it is passed over.
async fn asked(watch: &mut Stream) -> Vec<Program> {
    loop {
        if let Frame::Held(programs) = watch.expect().await.unwrap() {
            return programs;
        }
    }
}

#[test]
fn engine_memory_that_nobody_claims_is_freed_after_a_restart() {
    let engine = engine::start("127.0.0.1:0".parse().unwrap(), engine::Config::default()).unwrap();
    let (live, gone) = (call(1, 1).program, call(2, 1).program);
    for program in [live, gone] {
        let held = engine::Cached::default();
        engine.state().cache.insert(program.to_string(), held);
    }
    let sidecar = Sidecar::start("engine", engine.address, "");
    run(|tasks| async move {
        let link = sidecar.connect(&tasks, 1).await;
        let mut watch = link.open(&Frame::Watch).await.unwrap();
        assert_eq!(asked(&mut watch).await, [live, gone]);
        let ack = link.call(&Frame::Claim(vec![live])).await.unwrap();
        assert_eq!(ack, Frame::Ack);
        let holds = |program: Program| engine.state().cache.contains_key(&program.to_string());
        eventually(RELEASE_MAX, "the unclaimed is freed", || !holds(gone)).await;
        assert!(holds(live));
        // The entry goes away, and its claim with it.
        drop(watch);
        link.close();
        eventually(RELEASE_MAX, "the orphan is freed", || !holds(live)).await;
    });
}

/// Gives an order to load a model and returns what became of it.
async fn load(link: &Link, fence: u64, model: &str) -> Ordered {
    let order = Order {
        fence: Fence(fence),
        action: Action::Load(model.parse().unwrap()),
    };
    match link.call(&Frame::Order(order)).await.unwrap() {
        Frame::Ordered(ordered) => ordered,
        other => panic!("{other:?}"),
    }
}

/// Old orders reach no engine, whether it checks them or not, before and after a sidecar's restart.
fn check_fences(checks: bool) {
    let config = engine::Config {
        checks_fences: checks,
        ..engine::Config::default()
    };
    let engine = engine::start("127.0.0.1:0".parse().unwrap(), config).unwrap();
    let fences = if checks { "checked" } else { "ignored" };
    let start = || {
        let more = format!("fences = {fences}\n");
        Sidecar::start("engine", engine.address, &more)
    };
    let sidecar = start();
    run(|tasks| async move {
        let link = sidecar.connect(&tasks, 1).await;
        assert_eq!(load(&link, 5, "advisor").await, Ordered::Done);
        assert_eq!(load(&link, 5, "advisor").await, Ordered::Done);
        assert_eq!(load(&link, 5, "other").await, Ordered::Fenced(Fence(5)));
        assert_eq!(load(&link, 4, "advisor").await, Ordered::Fenced(Fence(5)));
    });
    let sidecar = start();
    run(|tasks| async move {
        let link = sidecar.connect(&tasks, 1).await;
        assert_eq!(load(&link, 4, "advisor").await, Ordered::Fenced(Fence(5)));
        assert_eq!(load(&link, 6, "other").await, Ordered::Done);
    });
    let orders = engine.state().orders.clone();
    let taken: Vec<u64> = orders
        .iter()
        .filter_map(|order| order["fence"].as_u64())
        .collect();
    assert_eq!(taken, [5, 5, 6]);
}

#[test]
fn old_orders_are_refused_by_the_sidecar() {
    check_fences(false);
}

#[test]
fn refusal_of_an_engine_that_checks_is_passed_on() {
    check_fences(true);
}

/// Whether a request has come whole: one for a completion ends with its JSON body, any other with its
/// head.
fn is_whole(request: &[u8]) -> bool {
    if request.starts_with(b"GET") {
        request.ends_with(b"\r\n\r\n")
    } else {
        request.ends_with(b"}")
    }
}

/// An engine that answers each request with a status and nothing else.
fn failing(status: &'static str) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut request = Vec::new();
            let mut part = [0; 4_096];
            while !is_whole(&request) {
                let length = stream.read(&mut part).unwrap();
                assert!(length > 0, "the request is cut off");
                request.extend_from_slice(&part[..length]);
            }
            let answer =
                format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
            stream.write_all(answer.as_bytes()).unwrap();
        }
    });
    address
}

#[test]
fn engine_error_denies_a_run_only_if_it_blames_the_request() {
    for (status, ran) in [
        ("500 Internal Server Error", Ran::Unknown),
        ("503 Service Unavailable", Ran::No),
        ("400 Bad Request", Ran::No),
    ] {
        let sidecar = Sidecar::start("engine", failing(status), "");
        run(|tasks| async move {
            let link = sidecar.connect(&tasks, 1).await;
            let Frame::Dispatch(order) = order(&link, call(1, 1)) else {
                return;
            };
            let max_tokens = Tokens(8);
            let work = Work::Model { max_tokens };
            let target = "advisor".parse().unwrap();
            let dispatch = Dispatch {
                work,
                target,
                ..order
            };
            let stream = link.open(&Frame::Dispatch(dispatch)).await.unwrap();
            assert_eq!(
                last(stream).await,
                refusal(ran, Reason::Endpoint),
                "{status}"
            );
        });
    }
}

#[test]
fn leaving_sidecar_waits_for_its_answers_and_tails_to_be_saved() {
    let service = service::start("127.0.0.1:0".parse().unwrap(), 0).unwrap();
    let mut sidecar = Sidecar::with_drain_max("60s", "service", service.address, "");
    run(|tasks| async move {
        let link = sidecar.connect(&tasks, 1).await;
        let done = link.open(&order(&link, call(1, 1))).await.unwrap();
        assert!(matches!(last(done).await, Frame::Done(_)));
        let tail = |number| Tail {
            program: call(number, 1).program,
            writer: Incarnation(1),
            turns: vec![1, 2, 3],
        };
        let ack = link.call(&Frame::Hold(tail(2))).await.unwrap();
        assert_eq!(ack, Frame::Ack);
        let mut watch = link.open(&Frame::Watch).await.unwrap();
        sidecar.stop.take();
        let leaving = |frame| matches!(frame, Frame::Load(load) if load.leaving);
        while !leaving(watch.expect().await.unwrap()) {}
        let refused = link.call(&Frame::Hold(tail(3))).await.unwrap();
        assert_eq!(refused, refusal(Ran::No, Reason::Leaving));
        // What it keeps can be had until it is saved.
        link.call(&Frame::Saved(vec![call(1, 1)])).await.unwrap();
        let tails = link
            .call(&Frame::Collect(vec![Incarnation(1)]))
            .await
            .unwrap();
        assert_eq!(tails, Frame::Tails(vec![tail(2)]));
        let committed = Frame::Committed(vec![tail(2).program]);
        link.call(&committed).await.unwrap();
        let thread = sidecar.thread.take().unwrap();
        eventually(START_MAX, "the sidecar ends", || thread.is_finished()).await;
    });
}
