//! A peer that sends bytes without an end is cut off before they use up the memory.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::Duration;

use http_io::Client;
use http_types::{Method, Response};
use intake::Listener;
use smol::LocalExecutor;

/// Longer than the test needs: an endless answer has to be cut off for its length.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Most bytes that a peer gets rid of: the longest body, and the buffers of the connection.
const SENT_MAX_BYTES: usize = 32 << 20;
/// Bytes after which a peer gives up, far above the limit.
const SENT_GIVE_UP_BYTES: usize = 256 << 20;

const CHUNK: &str = "10\r\n0123456789abcdef\r\n";
const OK: &str = "HTTP/1.1 200 OK\r\n";

/// Sends `begin`, then `piece` until the connection is closed; returns the number of bytes sent.
fn send_endlessly(mut stream: TcpStream, begin: &str, piece: &str) -> usize {
    let pieces = piece.repeat((64 << 10) / piece.len());
    let mut sent = 0;
    let mut result = stream.write_all(begin.as_bytes());
    while result.is_ok() && sent < SENT_GIVE_UP_BYTES {
        result = stream.write_all(pieces.as_bytes());
        sent += pieces.len();
    }
    sent
}

/// A server that answers its first request without an end.
fn start_server(begin: String, piece: &'static str) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let serve = move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4_096]).unwrap();
        send_endlessly(stream, &begin, piece)
    };
    (address, std::thread::spawn(serve))
}

/// The client kept all bytes of the answer and ran out of memory.
fn check_answer(head: &str, piece: &'static str) {
    let (address, server) = start_server(format!("{OK}{head}"), piece);
    let client = Client::new(address, TIMEOUT);
    let request = client.request(Method::Get, "/").unwrap();
    assert!(smol::block_on(client.fetch_body(request)).is_err());
    let sent = server.join().unwrap();
    assert!(sent <= SENT_MAX_BYTES, "{sent}");
}

/// The server kept all bytes of the head of a request.
fn check_request(begin: &str, piece: &str) {
    let executor = Rc::new(LocalExecutor::new());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let listener = smol::net::TcpListener::try_from(listener).unwrap();
    let listener = Listener::unlimited(listener);
    let handler = |_| async { Response::new(200) };
    let serve = http_io::serve(executor.clone(), listener, handler);
    executor.spawn(serve).detach();
    let sent = std::thread::scope(|scope| {
        let client = scope.spawn(|| {
            let stream = TcpStream::connect(address).unwrap();
            send_endlessly(stream, begin, piece)
        });
        let ended = async {
            while !client.is_finished() {
                smol::Timer::after(Duration::from_millis(5)).await;
            }
        };
        smol::block_on(executor.run(ended));
        client.join().unwrap()
    });
    assert!(sent <= SENT_MAX_BYTES, "{sent}");
}

macro_rules! cases {
    ($check:ident; $($name:ident: ($($argument:expr),*);)*) => {
        $(
            #[test]
            fn $name() {
                $check($($argument),*);
            }
        )*
    };
}

cases! { check_answer;
    endless_status_line_is_cut: ("", "x");
    endless_header_line_is_cut: ("X-Filler: ", "x");
    endless_header_lines_are_cut: ("", "X-Filler: x\r\n");
    endless_body_is_cut: ("Content-Length: 99999999999\r\n\r\n", "x");
    endless_chunks_are_cut: ("Transfer-Encoding: chunked\r\n\r\n", CHUNK);
}

cases! { check_request;
    endless_request_line_is_cut: ("GET /", "x");
    endless_request_headers_are_cut: ("GET / HTTP/1.1\r\n", "X-Filler: x\r\n");
}

// The limit of a head must not last beyond it.
#[test]
fn long_bodies_and_many_requests_on_a_connection_are_served() {
    const LENGTH: usize = 1 << 20;
    let executor = Rc::new(LocalExecutor::new());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let listener = smol::net::TcpListener::try_from(listener).unwrap();
    let listener = Listener::unlimited(listener);
    let handler = |mut request| async move {
        let body = http_io::read_body(&mut request, LENGTH as u64).await;
        let mut response = Response::new(200);
        response.set_body(body.unwrap_or_default());
        response
    };
    let serve = http_io::serve(executor.clone(), listener, handler);
    executor.spawn(serve).detach();
    smol::block_on(executor.run(async {
        let client = Client::new(address, TIMEOUT);
        for _ in 0..4 {
            let mut request = client.request(Method::Post, "/").unwrap();
            request.set_body(vec![b'x'; LENGTH]);
            assert_eq!(client.fetch_body(request).await.unwrap().len(), LENGTH);
        }
    }));
}
