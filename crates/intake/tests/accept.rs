//! A listener in a process without a free descriptor. The test has a process of its own, as it takes all
//! descriptors.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::fs::File;
use std::net::TcpStream;
use std::time::Duration;

use intake::Listener;
use nix::sys::resource::{Resource, getrlimit, setrlimit};
use smol::future::FutureExt;

const DESCRIPTORS: u64 = 128;
/// Several times the delay until a failed accept is tried again.
const RETRIES: Duration = Duration::from_millis(200);

// A failed accept ended the listener.
#[test]
fn a_failed_accept_is_tried_again() {
    let (_, hard) = getrlimit(Resource::RLIMIT_NOFILE).unwrap();
    setrlimit(Resource::RLIMIT_NOFILE, DESCRIPTORS, hard).unwrap();
    smol::block_on(async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let listener = smol::net::TcpListener::try_from(listener).unwrap();
        let listener = Listener::unlimited(listener);
        let _client = TcpStream::connect(address).unwrap();
        let mut files = Vec::new();
        while let Ok(file) = File::open("/dev/null") {
            files.push(file);
        }
        let accepted = async { Some(listener.accept().await) };
        let waited = async {
            smol::Timer::after(RETRIES).await;
            None
        };
        assert!(accepted.or(waited).await.is_none());
        drop(files);
        listener.accept().await;
    });
}
