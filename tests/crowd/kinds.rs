//! Kinds of crowds. Each opens connections to the port of a host, sends on them and leaves them open.

use crate::host::Host;
use crate::peers;

/// Connections of a crowd: their bodies together exceed the memory of the smallest machine.
const CROWD: usize = 200;
/// Connections of a crowd that exceed the descriptors of the process.
const MANY: usize = 600;
/// Connections of a crowd with heads.
const HEADS: usize = 1_500;
/// Body of legal size.
const LARGE_BYTES: usize = 1_000_000;
/// How many bytes are missing of a body that stops short of its end.
const MISSING_BYTES: usize = 10;
/// A piece of a body.
const PIECE_BYTES: usize = 100_000;
/// A large chunk of a body.
const CHUNK_BYTES: usize = 0x4_0000;
/// Number of very small chunks of a body.
const SMALL_CHUNKS: usize = 150_000;
/// Bytes that are sent of a body over the limit.
const OVER_BYTES: usize = 6_000_000;

fn filler(bytes: usize) -> Vec<u8> {
    vec![b'x'; bytes]
}

pub fn bodies_that_are_whole(host: &mut Host) {
    host.connect(CROWD);
    let mut bytes = host.port.head(&format!("Content-Length: {LARGE_BYTES}"));
    bytes.extend(filler(LARGE_BYTES));
    host.send(&bytes);
}

pub fn bodies_that_stop_short(host: &mut Host) {
    host.connect(CROWD);
    let mut bytes = host.port.head(&format!("Content-Length: {LARGE_BYTES}"));
    bytes.extend(filler(LARGE_BYTES - MISSING_BYTES));
    host.send(&bytes);
}

pub fn bodies_piece_by_piece_that_stop_short(host: &mut Host) {
    host.connect(CROWD);
    let head = host.port.head(&format!("Content-Length: {LARGE_BYTES}"));
    host.send(&head);
    let piece = filler(PIECE_BYTES);
    for _ in 1..LARGE_BYTES / PIECE_BYTES {
        host.send(&piece);
    }
    host.send(&piece[..PIECE_BYTES - MISSING_BYTES]);
}

pub fn bodies_in_large_chunks_that_stop_short(host: &mut Host) {
    host.connect(CROWD);
    let head = host.port.head("Transfer-Encoding: chunked");
    host.send(&head);
    let mut chunk = format!("{CHUNK_BYTES:x}\r\n").into_bytes();
    chunk.extend(filler(CHUNK_BYTES));
    chunk.extend_from_slice(b"\r\n");
    for _ in 0..LARGE_BYTES / CHUNK_BYTES {
        host.send(&chunk);
    }
}

pub fn bodies_in_very_small_chunks_that_stop_short(host: &mut Host) {
    host.connect(CROWD);
    let mut bytes = host.port.head("Transfer-Encoding: chunked");
    bytes.extend(b"1\r\nx\r\n".repeat(SMALL_CHUNKS));
    host.send(&bytes);
}

pub fn bodies_over_the_limit_that_are_announced(host: &mut Host) {
    host.connect(CROWD);
    let mut bytes = host.port.head("Content-Length: 4000000000");
    bytes.extend(filler(OVER_BYTES));
    host.send(&bytes);
}

pub fn bodies_over_the_limit_that_are_just_sent(host: &mut Host) {
    host.connect(CROWD);
    let mut bytes = host.port.head("Transfer-Encoding: chunked");
    bytes.extend_from_slice(format!("{:x}\r\n", 2 * OVER_BYTES).as_bytes());
    bytes.extend(filler(OVER_BYTES));
    host.send(&bytes);
}

pub fn heads_that_do_not_end(host: &mut Host) {
    const HEAD_BYTES: usize = 15_000;
    host.connect(HEADS);
    let mut bytes = host.port.head("X-Long: ");
    bytes.truncate(bytes.len() - 4);
    bytes.extend(filler(HEAD_BYTES));
    for part in bytes.chunks(bytes.len() / 3) {
        host.send(part);
    }
}

pub fn idle_connections(host: &mut Host) {
    host.connect(MANY);
}

pub fn messages_that_stop_short(host: &mut Host) {
    host.connect(CROWD);
    let mut bytes = peers::opening();
    let mut message = peers::message(LARGE_BYTES as u32);
    message.extend(filler(LARGE_BYTES - MISSING_BYTES));
    bytes.extend(peers::data(&message, PIECE_BYTES));
    host.send(&bytes);
}

pub fn messages_piece_by_piece_that_stop_short(host: &mut Host) {
    host.connect(CROWD);
    let mut bytes = peers::opening();
    bytes.extend(peers::data(
        &peers::message(LARGE_BYTES as u32),
        PIECE_BYTES,
    ));
    host.send(&bytes);
    let piece = peers::data(&filler(PIECE_BYTES), PIECE_BYTES);
    for _ in 1..LARGE_BYTES / PIECE_BYTES {
        host.send(&piece);
    }
}

pub fn messages_in_very_small_frames_that_stop_short(host: &mut Host) {
    host.connect(CROWD);
    let mut bytes = peers::opening();
    // The receiver waits for more of a message that is within its limit.
    bytes.extend(peers::data(&peers::message(16_000), 1));
    bytes.extend(peers::data(&filler(15_000), 1));
    host.send(&bytes);
}

pub fn messages_over_the_limit_that_are_announced(host: &mut Host) {
    host.connect(CROWD);
    let mut bytes = peers::opening();
    bytes.extend(peers::data(&peers::message(u32::MAX), 1));
    bytes.extend(peers::data(&filler(OVER_BYTES), PIECE_BYTES));
    host.send(&bytes);
}

pub fn exchanges_without_a_message(host: &mut Host) {
    host.connect(CROWD);
    host.send(&peers::exchanges(5_000));
}

pub fn header_blocks_that_do_not_end(host: &mut Host) {
    host.connect(CROWD);
    host.send(&peers::endless_headers(LARGE_BYTES));
}

pub fn connections_without_authentication(host: &mut Host) {
    host.connect(MANY);
    host.send(&peers::opening());
}
