//! Connections between peers on the loopback interface.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a failed step fails the test"
)]

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use intake::Listener;
use smol::LocalExecutor;
use smol::future::FutureExt;
use smol::net::TcpListener;
use standins::link::{self, Direction};
use units::{Call, Incarnation, Program};
use wire::{Drain, Error, Frame, Identity, Key, Link, Role, State, Stream, serve};

fn identity(host: &str, address: std::net::SocketAddr) -> Identity {
    Identity {
        host: host.parse().unwrap(),
        incarnation: Incarnation(7),
        address,
        region: "north".parse().unwrap(),
        zone: "north-1".parse().unwrap(),
        role: Role::Entry,
    }
}

async fn answer_queries(_peer: Rc<Identity>, mut stream: Stream) {
    while let Ok(Some(frame)) = stream.recv().await {
        if let Frame::Query(_) = frame {
            stream.send(&Frame::State(State::Tombstone)).await.unwrap();
        }
    }
    stream.finish().unwrap();
}

/// Connects with key `client` to a server with key `server` and runs `check` on the result.
fn connect<F: Future<Output = ()>>(
    server: Key,
    client: Key,
    check: impl FnOnce(wire::Result<Link>) -> F,
) {
    let executor = Rc::new(LocalExecutor::new());
    let tasks = executor.clone();
    smol::block_on(executor.run(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let own = identity("server", address);
        let run = serve(
            tasks.clone(),
            Listener::unlimited(listener),
            server,
            own,
            answer_queries,
            |_| {},
            Drain::new(),
        );
        tasks.spawn(run).detach();
        let own = identity("client", address);
        check(Link::connect(&tasks, address, &client, &own).await).await;
    }));
}

#[test]
fn peers_with_the_same_key_exchange_frames() {
    let key = Key::new([1; 32]);
    connect(key.clone(), key, |link| async move {
        let link = link.unwrap();
        assert_eq!(link.peer().host.as_str(), "server");
        let call = Call {
            program: Program::default(),
            seq: units::Seq(1),
            attempt: 0,
        };
        let frame = link.call(&Frame::Query(call)).await.unwrap();
        assert_eq!(frame, Frame::State(State::Tombstone));
    });
}

#[test]
fn a_peer_with_another_key_is_refused() {
    connect(Key::new([1; 32]), Key::new([2; 32]), |link| async move {
        assert!(matches!(link.unwrap_err(), Error::Authentication));
    });
}

/// Maximum time until a server closes the connection of a silent client.
const SERVER_CLOSE_MAX: Duration = Duration::from_secs(4);

/// Runs a server whose exchanges last until the client closes them, and calls `check` with its
/// address and its observed state.
fn with_server<F: Future<Output = ()>>(
    check: impl FnOnce(Rc<LocalExecutor<'static>>, std::net::SocketAddr, Rc<ServerState>) -> F,
) {
    let executor = Rc::new(LocalExecutor::new());
    let tasks = executor.clone();
    smol::block_on(executor.run(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Rc::new(ServerState::default());
        let (counts, labels) = (state.clone(), state.clone());
        let wait = move |_: Rc<Identity>, mut stream: Stream| {
            let counts = counts.clone();
            async move {
                counts.open_exchanges.set(counts.open_exchanges.get() + 1);
                stream.closed().await;
                counts.open_exchanges.set(counts.open_exchanges.get() - 1);
            }
        };
        let on_error = move |error: &Error| labels.error_labels.borrow_mut().push(error.label());
        let (key, own) = (Key::new([1; 32]), identity("server", address));
        let run = serve(
            tasks.clone(),
            Listener::unlimited(listener),
            key,
            own,
            wait,
            on_error,
            Drain::new(),
        );
        tasks.spawn(run).detach();
        check(tasks, address, state).await;
    }));
}

/// What a test observes of a server.
#[derive(Debug, Default)]
struct ServerState {
    open_exchanges: Cell<u32>,
    error_labels: RefCell<Vec<&'static str>>,
}

/// Waits until `condition` holds.
async fn eventually(bound: Duration, condition: impl Fn() -> bool) {
    let poll = async {
        while !condition() {
            smol::Timer::after(Duration::from_millis(5)).await;
        }
        true
    };
    let expire = async {
        smol::Timer::after(bound).await;
        false
    };
    assert!(poll.or(expire).await, "condition not met within {bound:?}");
}

#[test]
fn exchanges_of_a_silent_client_end_at_the_server() {
    with_server(|tasks, address, state| async move {
        let proxy = link::start("127.0.0.1:0".parse().unwrap(), address).unwrap();
        let (key, own) = (Key::new([1; 32]), identity("client", address));
        let link = Link::connect(&tasks, proxy.address, &key, &own)
            .await
            .unwrap();
        let _stream = link.open(&Frame::Watch).await.unwrap();
        eventually(SERVER_CLOSE_MAX, || state.open_exchanges.get() == 1).await;
        proxy.silence(Direction::Both);
        link.suspected().await;
        eventually(SERVER_CLOSE_MAX, || state.open_exchanges.get() == 0).await;
        assert_eq!(*state.error_labels.borrow(), ["peer-silent"]);
    });
}

#[test]
fn wrong_key_and_missing_handshake_are_counted() {
    with_server(|tasks, address, state| async move {
        let (wrong_key, own) = (Key::new([2; 32]), identity("client", address));
        let refused = Link::connect(&tasks, address, &wrong_key, &own).await;
        assert!(matches!(refused, Err(Error::Authentication)));
        let _silent = smol::net::TcpStream::connect(address).await.unwrap();
        eventually(SERVER_CLOSE_MAX, || state.error_labels.borrow().len() == 2).await;
        assert_eq!(*state.error_labels.borrow(), ["peer-unauthenticated"; 2]);
    });
}

#[test]
fn draining_server_distinguishes_served_from_unserved_exchanges() {
    let executor = Rc::new(LocalExecutor::new());
    let tasks = executor.clone();
    smol::block_on(executor.run(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let proxy = link::start("127.0.0.1:0".parse().unwrap(), address).unwrap();
        let (drain, key) = (Drain::new(), Key::new([1; 32]));
        let served = Rc::new(Cell::new(0));
        let count = served.clone();
        let hold = move |_: Rc<Identity>, mut stream: Stream| {
            let count = count.clone();
            async move {
                stream.expect().await.unwrap();
                count.set(count.get() + 1);
                stream.closed().await;
            }
        };
        let own = identity("server", address);
        let run = serve(
            tasks.clone(),
            Listener::unlimited(listener),
            key.clone(),
            own,
            hold,
            |_| {},
            drain.clone(),
        );
        let server = tasks.spawn(run);
        let own = identity("client", address);
        let link = Link::connect(&tasks, proxy.address, &key, &own)
            .await
            .unwrap();
        let mut running = link.open(&Frame::Watch).await.unwrap();
        eventually(SERVER_CLOSE_MAX, || served.get() == 1).await;
        let finish = drain.clone();
        let finished = tasks.spawn(async move { finish.finish().await });
        server.await;
        // New exchanges end as not served, whether or not GOAWAY has reached the client.
        let mut unserved = 0;
        while unserved < 3 {
            let answer = async { link.call(&Frame::Query(Call::default())).await };
            let expire = async {
                smol::Timer::after(Duration::from_millis(20)).await;
                Err(Error::Timeout)
            };
            match answer.or(expire).await {
                Err(Error::Timeout) => assert!(served.get() < 100, "no unserved exchange"),
                Err(error) => {
                    assert!(error.is_unserved(), "{error}");
                    unserved += 1;
                }
                Ok(frame) => panic!("{frame:?}"),
            }
        }
        proxy.cut();
        let lost = running.expect().await.unwrap_err();
        assert!(
            !lost.is_unserved(),
            "served exchange reported as not served: {lost:?}"
        );
        finished.await;
    }));
}
