//! Callers that do not read their answers.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};

use socket2::{Domain, Socket, Type};

use crate::gateway::cluster::SAFE;
use crate::gateway::http::Request;
use crate::site::Site;

/// Bytes of an answer; no single one is long.
const ANSWER_BYTES: usize = 256 << 10;
/// Callers whose answers together exceed the memory of the smallest machine.
const CROWD: usize = 400;
/// Smallest receive buffer of the kernel, so that answers stay at the gateway.
const RECEIVE_BUFFER_BYTES: usize = 4_096;

/// Opens a connection on which the kernel receives little.
fn connect(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    socket.connect(&address.into()).unwrap();
    socket.into()
}

/// Has callers ask for answers that they do not read.
pub fn ask(site: &Site, callers: usize) -> Vec<TcpStream> {
    site.cluster.desks[0].state().filler_bytes = ANSWER_BYTES;
    let ask = |number| {
        let mut stream = connect(site.cluster.caller_address(0));
        let request = Request::new("GET", SAFE, &format!("unread-{number}"));
        // A connection that is refused is allowed.
        let _ = stream.write_all(&request.bytes());
        stream
    };
    (0..callers).map(ask).collect()
}

// An answer was counted only until it had been read from the worker.
#[test]
fn answers_that_are_not_read() {
    let site = Site::start();
    let callers = ask(&site, CROWD);
    site.check();
    drop(callers);
}
