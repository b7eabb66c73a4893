//! Connections between peers over loopback.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a failed step fails the test"
)]

use std::rc::Rc;

use smol::LocalExecutor;
use smol::net::TcpListener;
use units::{Call, Incarnation, Program};
use wire::{Error, Frame, Identity, Key, Link, Role, State, Stream, serve};

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
        let run = serve(tasks.clone(), listener, server, own, answer);
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
