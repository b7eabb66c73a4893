//! Many connections with little on each.

use crate::site::{Site, head};

/// Connections that exceed the descriptors of the smallest machine.
const MANY: usize = 4_200;
/// Connections of a crowd with heads that do not end, or requests without a reader.
const CROWD: usize = 1_500;

#[test]
fn idle_connections_beyond_the_descriptors_of_the_machine() {
    let mut site = Site::start();
    site.connect(MANY);
    site.check();
}

#[test]
fn heads_that_do_not_end() {
    const HEAD_BYTES: usize = 15_000;
    let mut site = Site::start();
    site.connect(CROWD);
    let mut bytes = head("slow", "X-Long: ");
    bytes.truncate(bytes.len() - 4);
    bytes.extend(std::iter::repeat_n(b'x', HEAD_BYTES));
    for _ in 0..3 {
        site.send_to_all(&bytes[..bytes.len() / 3]);
    }
    site.send_to_all(&bytes[bytes.len() / 3 * 3..]);
    site.check();
}

#[test]
fn bodies_of_ordinary_size_that_stop_short_of_their_end() {
    const BODY_BYTES: usize = 60_000;
    let mut site = Site::start();
    site.connect(CROWD);
    let mut bytes = head("ordinary", &format!("Content-Length: {BODY_BYTES}"));
    bytes.extend(std::iter::repeat_n(b'x', BODY_BYTES - 10));
    site.send_to_all(&bytes);
    site.check();
}

// Requests are read ahead while the answers before them have no reader.
#[test]
fn pipelined_requests_whose_answers_are_not_read() {
    const REQUESTS: usize = 200;
    let mut site = Site::start();
    site.connect(CROWD / 10);
    let request = head("piped", "Content-Length: 0");
    site.send_to_all(&request.repeat(REQUESTS));
    site.check();
}
