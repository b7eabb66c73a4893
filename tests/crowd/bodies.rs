//! Large bodies, many at a time.

use std::thread;

use crate::gateway::cluster::{KEPT_TURN, ORDER, turn};
use crate::site::{BODY_MAX_BYTES, Site, head, send_whole};

/// Connections of a crowd with large bodies: 48 of them exceed the memory of the smallest machine.
const CROWD: usize = 48;
/// Body of legal size.
const LARGE_BYTES: usize = 4_000_000;
/// How many bytes are missing of a body that stops short of its end.
const MISSING_BYTES: usize = 10;

#[test]
fn one_body_of_legal_size_is_served_in_calm() {
    let site = Site::start();
    let body = "x".repeat(BODY_MAX_BYTES);
    assert_eq!(send_whole(&site, "single", ORDER, &body), 200);
    assert_eq!(site.cluster.runs("single")[0].body.len(), BODY_MAX_BYTES);
    site.check();
}

#[test]
fn one_chunked_body_of_legal_size_is_served_in_calm() {
    let mut site = Site::start();
    site.connect(1);
    let mut bytes = head("chunked", "Transfer-Encoding: chunked");
    for _ in 0..64 {
        bytes.extend_from_slice(b"10000\r\n");
        bytes.extend(std::iter::repeat_n(b'x', 0x1_0000));
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    site.send_at_once(&bytes);
    crate::cluster::eventually(crate::cluster::START_TIMEOUT, "the body is run", || {
        site.cluster.runs("chunked").len() == 1
    });
    site.check();
}

#[test]
fn large_bodies_that_are_sent_whole() {
    let site = Site::start();
    let body = "x".repeat(LARGE_BYTES);
    thread::scope(|scope| {
        for number in 0..CROWD {
            let (site, body) = (&site, &body);
            scope.spawn(move || {
                let id = format!("whole-{number}");
                let status = send_whole(site, &id, ORDER, body);
                // A refusal promises that the request did not run.
                if matches!(status, 408 | 429 | 503) {
                    assert!(site.cluster.runs(&id).is_empty(), "{id}: {status}");
                }
            });
        }
    });
    site.check();
}

// The text of a turn is stored and sent on, with that of the turns before it.
#[test]
fn large_turns_that_are_sent_whole() {
    let site = Site::start();
    let body = "x".repeat(LARGE_BYTES);
    thread::scope(|scope| {
        for number in 0..CROWD / 2 {
            let (site, body) = (&site, &body);
            scope.spawn(move || {
                let id = format!("turn-{number}");
                let request = turn(KEPT_TURN, &id, &id, 900).with_body(body);
                let status = request.send(site.cluster.caller_address(0)).status;
                if matches!(status, 408 | 429 | 503) {
                    assert!(site.cluster.runs(&id).is_empty(), "{id}: {status}");
                }
            });
        }
    });
    site.check();
}

#[test]
fn large_bodies_that_stop_short_of_their_end() {
    let mut site = Site::start();
    site.connect(CROWD);
    let mut bytes = head("short", &format!("Content-Length: {LARGE_BYTES}"));
    bytes.extend(std::iter::repeat_n(b'x', LARGE_BYTES - MISSING_BYTES));
    site.send_at_once(&bytes);
    site.check();
}

#[test]
fn large_bodies_that_come_piece_by_piece_and_stop_short_of_their_end() {
    const PIECE_BYTES: usize = 100_000;
    let mut site = Site::start();
    site.connect(CROWD);
    site.send_to_all(&head("pieces", &format!("Content-Length: {LARGE_BYTES}")));
    let piece = vec![b'x'; PIECE_BYTES];
    for _ in 1..LARGE_BYTES / PIECE_BYTES {
        site.send_at_once(&piece);
    }
    site.send_to_all(&piece[..PIECE_BYTES - MISSING_BYTES]);
    site.check();
}

#[test]
fn bodies_in_large_chunks_that_stop_short_of_their_end() {
    const CHUNK_BYTES: usize = 0x4_0000;
    let mut site = Site::start();
    site.connect(CROWD);
    site.send_to_all(&head("chunks", "Transfer-Encoding: chunked"));
    let mut chunk = format!("{CHUNK_BYTES:x}\r\n").into_bytes();
    chunk.extend(std::iter::repeat_n(b'x', CHUNK_BYTES));
    chunk.extend_from_slice(b"\r\n");
    for _ in 0..LARGE_BYTES / CHUNK_BYTES {
        site.send_at_once(&chunk);
    }
    site.check();
}

// A chunk of one byte took a buffer, and an entry in a list, of many bytes.
#[test]
fn bodies_in_very_small_chunks_that_stop_short_of_their_end() {
    const CHUNKS: usize = 600_000;
    let mut site = Site::start();
    site.connect(CROWD);
    site.send_to_all(&head("small", "Transfer-Encoding: chunked"));
    let chunks = b"1\r\nx\r\n".repeat(CHUNKS);
    site.send_at_once(&chunks);
    site.check();
}

#[test]
fn bodies_far_over_the_limit_that_are_announced() {
    let mut site = Site::start();
    site.connect(CROWD);
    let mut bytes = head("announced", "Content-Length: 4000000000");
    bytes.extend(std::iter::repeat_n(b'x', 2 * LARGE_BYTES));
    site.send_at_once(&bytes);
    site.check();
}

#[test]
fn bodies_far_over_the_limit_that_are_just_sent() {
    let mut site = Site::start();
    site.connect(CROWD);
    let mut bytes = head("sent", "Transfer-Encoding: chunked");
    bytes.extend_from_slice(format!("{:x}\r\n", 4 * LARGE_BYTES).as_bytes());
    bytes.extend(std::iter::repeat_n(b'x', 3 * LARGE_BYTES));
    site.send_at_once(&bytes);
    site.check();
}
