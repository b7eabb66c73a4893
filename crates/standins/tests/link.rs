//! Tests of the relay with an echo server as its target.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use standins::link::{self, Direction, Link};

const READ_TIMEOUT: Duration = Duration::from_millis(200);

fn start_echo_link() -> Link {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let target = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            std::thread::spawn(move || {
                std::io::copy(&mut stream.try_clone().unwrap(), &mut stream)
            });
        }
    });
    link::start("127.0.0.1:0".parse().unwrap(), target).unwrap()
}

fn exchange(stream: &mut TcpStream) -> std::io::Result<[u8; 4]> {
    let mut echo = [0; 4];
    stream.write_all(b"ping")?;
    stream.read_exact(&mut echo)?;
    Ok(echo)
}

#[test]
fn silenced_connection_stays_open_and_new_connections_work() {
    for direction in [Direction::ToServer, Direction::ToClient, Direction::Both] {
        let link = start_echo_link();
        let mut old = TcpStream::connect(link.address).unwrap();
        assert_eq!(&exchange(&mut old).unwrap(), b"ping");
        link.silence(direction);
        old.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        let error = exchange(&mut old).unwrap_err();
        assert!(matches!(
            error.kind(),
            ErrorKind::WouldBlock | ErrorKind::TimedOut
        ));
        let mut new = TcpStream::connect(link.address).unwrap();
        assert_eq!(&exchange(&mut new).unwrap(), b"ping");
        assert_eq!(link.accepted(), 2);
    }
}

#[test]
fn cut_connection_fails() {
    let link = start_echo_link();
    let mut stream = TcpStream::connect(link.address).unwrap();
    exchange(&mut stream).unwrap();
    link.cut();
    assert!(exchange(&mut stream).is_err());
}
