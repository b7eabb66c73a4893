//! Crowds of clients that no operator controls, against the processes of the product on loopback.
//!
//! [`ports`] sends each kind of crowd to each port that a process listens on; the other modules have the
//! crowds that only a gateway's callers can be.
//!
//! Each test holds the bounds of the smallest machine in use while a crowd is connected, and then
//! sends one ordinary request to each of its ports. No time and no share of served requests is checked. Only one test runs
//! at a time; the memory is the process's own, so nothing else may share it.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a failed step fails the test"
)]

#[expect(dead_code, reason = "shared with the other tests")]
#[path = "../all/caller.rs"]
mod caller;
#[expect(dead_code, reason = "shared with the other tests")]
#[path = "../all/cluster.rs"]
mod cluster;

#[expect(dead_code, reason = "shared with the other tests of gateways")]
#[path = "../all/gateway"]
mod gateway {
    pub mod cluster;
    pub mod http;
}

mod bodies;
mod calls;
mod connections;
mod conversations;
mod host;
mod kinds;
mod peers;
mod ports;
mod process;
mod readers;
mod site;
