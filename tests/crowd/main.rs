//! Crowds of callers that no operator controls, against a gateway as a process on loopback.
//!
//! Each test holds the bounds of the smallest machine in use while a crowd is connected, and then
//! sends one ordinary request. No time and no share of served requests is checked. Only one test runs
//! at a time; the memory is the process's own, so nothing else may share it.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a failed step fails the test"
)]

mod cluster {
    //! What the processes of a gateway's environment need.

    use std::time::{Duration, Instant};

    pub const START_TIMEOUT: Duration = Duration::from_secs(10);
    pub const PEER_KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

    /// Waits until a condition holds; fails the test if it does not hold within `bound`.
    #[track_caller]
    pub fn eventually(bound: Duration, description: &str, mut condition: impl FnMut() -> bool) {
        let start = Instant::now();
        while !condition() {
            assert!(
                start.elapsed() < bound,
                "not within {bound:?}: {description}"
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

#[expect(dead_code, reason = "shared with the other tests of gateways")]
#[path = "../all/gateway"]
mod gateway {
    pub mod cluster;
    pub mod http;
}

mod bodies;
mod connections;
mod conversations;
mod readers;
mod site;
