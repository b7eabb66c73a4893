//! Connections between peers over loopback.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a failed step fails the test"
)]

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

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

async fn answer(_peer: Rc<Identity>, mut stream: Stream) {
    while let Ok(Some(frame)) = stream.recv().await {
        if let Frame::Query(_) = frame {
            stream.send(&Frame::State(State::Tombstone)).await.unwrap();
        }
    }
    stream.finish().unwrap();
}

/// Connects with `client` to a server that holds `server` and runs `check` on the result.
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
            listener,
            server,
            own,
            answer,
            |_| {},
            Drain::new(),
        );
        tasks.spawn(async move { drop(run.await) }).detach();
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

/// Bound for a server to give up a client that has gone silent.
const SERVER_CLOSE_MAX: Duration = Duration::from_secs(4);

/// Runs a server whose exchanges last until their client has gone, and `check` with its address, the
/// number of its open exchanges and the labels of the connections that it gave up.
fn with_server<F: Future<Output = ()>>(
    check: impl FnOnce(Rc<LocalExecutor<'static>>, std::net::SocketAddr, Rc<Seen>) -> F,
) {
    let executor = Rc::new(LocalExecutor::new());
    let tasks = executor.clone();
    smol::block_on(executor.run(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let seen = Rc::new(Seen::default());
        let (counts, labels) = (seen.clone(), seen.clone());
        let wait = move |_: Rc<Identity>, mut stream: Stream| {
            let counts = counts.clone();
            async move {
                counts.open.set(counts.open.get() + 1);
                stream.closed().await;
                counts.open.set(counts.open.get() - 1);
            }
        };
        let refused = move |error: &Error| labels.refused.borrow_mut().push(error.label());
        let (key, own) = (Key::new([1; 32]), identity("server", address));
        let run = serve(
            tasks.clone(),
            listener,
            key,
            own,
            wait,
            refused,
            Drain::new(),
        );
        tasks.spawn(async move { drop(run.await) }).detach();
        check(tasks, address, seen).await;
    }));
}

#[derive(Debug, Default)]
struct Seen {
    open: Cell<u32>,
    refused: RefCell<Vec<&'static str>>,
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
    assert!(poll.or(expire).await, "not within {bound:?}");
}

#[test]
fn silent_client_pins_no_exchange_at_the_server() {
    with_server(|tasks, address, seen| async move {
        let relay = link::start("127.0.0.1:0".parse().unwrap(), address).unwrap();
        let (key, own) = (Key::new([1; 32]), identity("client", address));
        let link = Link::connect(&tasks, relay.address, &key, &own)
            .await
            .unwrap();
        let _stream = link.open(&Frame::Watch).await.unwrap();
        eventually(SERVER_CLOSE_MAX, || seen.open.get() == 1).await;
        relay.silence(Direction::Both);
        link.suspected().await;
        eventually(SERVER_CLOSE_MAX, || seen.open.get() == 0).await;
        assert_eq!(*seen.refused.borrow(), ["peer-silent"]);
    });
}

#[test]
fn wrong_key_and_missing_handshake_are_counted() {
    with_server(|tasks, address, seen| async move {
        let (wrong, own) = (Key::new([2; 32]), identity("client", address));
        let refused = Link::connect(&tasks, address, &wrong, &own).await;
        assert!(matches!(refused, Err(Error::Authentication)));
        let _mute = smol::net::TcpStream::connect(address).await.unwrap();
        eventually(SERVER_CLOSE_MAX, || seen.refused.borrow().len() == 2).await;
        assert_eq!(*seen.refused.borrow(), ["peer-unauthenticated"; 2]);
    });
}

#[test]
fn drained_server_tells_served_exchanges_from_others() {
    let executor = Rc::new(LocalExecutor::new());
    let tasks = executor.clone();
    smol::block_on(executor.run(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let relay = link::start("127.0.0.1:0".parse().unwrap(), address).unwrap();
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
            listener,
            key.clone(),
            own,
            hold,
            |_| {},
            drain.clone(),
        );
        let server = tasks.spawn(run);
        let own = identity("client", address);
        let link = Link::connect(&tasks, relay.address, &key, &own)
            .await
            .unwrap();
        let mut running = link.open(&Frame::Watch).await.unwrap();
        eventually(SERVER_CLOSE_MAX, || served.get() == 1).await;
        let finish = drain.clone();
        let finished = tasks.spawn(async move { finish.finish().await });
        server.await.unwrap();
        // New exchanges end as not served, whether or not the client has heard of the drain.
        let mut unserved = 0;
        while unserved < 3 {
            let answer = async { link.call(&Frame::Query(Call::default())).await };
            let expire = async {
                smol::Timer::after(Duration::from_millis(20)).await;
                Err(Error::Timeout)
            };
            match answer.or(expire).await {
                Err(Error::Timeout) => assert!(served.get() < 100, "never told"),
                Err(error) => {
                    assert!(error.is_unserved(), "{error}");
                    unserved += 1;
                }
                Ok(frame) => panic!("{frame:?}"),
            }
        }
        relay.cut();
        let lost = running.expect().await.unwrap_err();
        assert!(
            !lost.is_unserved(),
            "a served exchange counts as not served: {lost:?}"
        );
        finished.await;
    }));
}
