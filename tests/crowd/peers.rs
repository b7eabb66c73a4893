//! What a client without the shared key can send to a port for peers: frames of HTTP/2.

use std::net::SocketAddr;
use std::rc::Rc;

use smol::LocalExecutor;
use units::{Incarnation, Version};
use wire::{Frame, Identity, Key, Link, Relay, Role};

use crate::cluster::PEER_KEY;

/// Types and flags of frames.
const DATA: u8 = 0;
const HEADERS: u8 = 1;
const SETTINGS: u8 = 4;
const CONTINUATION: u8 = 9;
const END_HEADERS: u8 = 4;
/// A header block of indexed fields: `:method: POST`, `:scheme: http`, `:path: /`.
const BLOCK: [u8; 3] = [0x83, 0x86, 0x84];
/// Longest payload that a server accepts unless it says otherwise.
const PAYLOAD_MAX_BYTES: usize = 16_384;

/// Returns one frame.
fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (payload.len() as u32).to_be_bytes()[1..].to_vec();
    bytes.extend([kind, flags]);
    bytes.extend(stream.to_be_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

/// Returns what opens a connection.
fn preface() -> Vec<u8> {
    let mut bytes = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
    bytes.extend(frame(SETTINGS, 0, 0, &[]));
    bytes
}

/// Returns what opens a connection and an exchange on it.
pub fn opening() -> Vec<u8> {
    let mut bytes = preface();
    bytes.extend(frame(HEADERS, END_HEADERS, 1, &BLOCK));
    bytes
}

/// Returns `bytes` as the beginning of the first exchange, in frames with this much of them.
pub fn data(bytes: &[u8], payload_bytes: usize) -> Vec<u8> {
    let pieces = bytes.chunks(payload_bytes.min(PAYLOAD_MAX_BYTES));
    pieces.flat_map(|piece| frame(DATA, 0, 1, piece)).collect()
}

/// Returns the beginning of a message of this length, as own processes send it.
pub fn message(length: u32) -> Vec<u8> {
    let mut bytes = vec![1];
    bytes.extend(length.to_be_bytes());
    bytes
}

/// Returns what opens a connection and many exchanges on it.
pub fn exchanges(count: u32) -> Vec<u8> {
    let mut bytes = preface();
    for number in 0..count {
        bytes.extend(frame(HEADERS, END_HEADERS, 2 * number + 1, &BLOCK));
    }
    bytes
}

/// Returns what opens a connection and begins a header block of about this length that does not end.
pub fn endless_headers(length: usize) -> Vec<u8> {
    const VALUE_BYTES: usize = 100;
    let mut bytes = preface();
    bytes.extend(frame(HEADERS, 0, 1, &BLOCK));
    // Fields that the receiver does not index, with a name of one byte.
    let mut field = vec![0x10, 1, b'x', VALUE_BYTES as u8];
    field.extend([b'x'; VALUE_BYTES]);
    let block = field.repeat(PAYLOAD_MAX_BYTES / field.len());
    for _ in 0..length / block.len() {
        bytes.extend(frame(CONTINUATION, 0, 1, &block));
    }
    bytes
}

/// Whether a process lets a peer in and answers its request.
pub fn is_answered(address: SocketAddr, request: &Frame) -> bool {
    let executor = Rc::new(LocalExecutor::new());
    let own = Identity {
        host: "visitor".parse().unwrap(),
        incarnation: Incarnation(7),
        address,
        region: "north".parse().unwrap(),
        zone: "north-1".parse().unwrap(),
        role: Role::Entry,
    };
    let key: Key = PEER_KEY.parse().unwrap();
    let tasks = executor.clone();
    smol::block_on(executor.run(async move {
        let Ok(link) = Link::connect(&tasks, address, &key, &own).await else {
            return false;
        };
        let is_answered = link.call(request).await.is_ok();
        link.close();
        is_answered
    }))
}

/// A request that entries and sidecars answer.
pub fn version_request() -> Frame {
    Frame::InForce(Version(0))
}

/// A request that gateways answer.
pub fn relay_request() -> Frame {
    Frame::Relay(Relay::Acquire {
        host: "visitor".parse().unwrap(),
        wants: Vec::new(),
    })
}
