//! Measures reconnects after a server's restart and the time to notice a silent connection.
//!
//! `cargo run -p wire --example reconnect` prints, for each way to delay attempts and each seed, the
//! most attempts within 10 ms and the time from the server's return until all clients are connected;
//! then the times from a connection's silence to its suspicion.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a failed step ends the run"
)]

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use smol::LocalExecutor;
use smol::net::TcpListener;
use standins::link::{self, Direction};
use units::{Clock, Incarnation, Span};
use wire::{Backoff, Drain, Frame, Identity, Key, Link, Role, Stream, serve};

const CLIENTS: usize = 390;
const SEEDS: [u64; 3] = [1, 2, 3];
const SILENCES: u32 = 10;
const OUTAGE: Duration = Duration::from_millis(300);
const BUCKET_MS: u128 = 10;

/// How long a client waits before an attempt.
#[derive(Clone, Copy, Debug)]
enum Delay {
    /// As short as can be.
    None,
    /// 200 ms each time.
    Fixed,
    /// Full jitter below a ceiling that doubles.
    Jitter,
}

type Executor = Rc<LocalExecutor<'static>>;

fn identity(host: &str, address: SocketAddr) -> Identity {
    Identity {
        host: host.parse().unwrap(),
        incarnation: Incarnation(1),
        address,
        region: "north".parse().unwrap(),
        zone: "north-1".parse().unwrap(),
        role: Role::Entry,
    }
}

async fn hold(_peer: Rc<Identity>, mut stream: Stream) {
    stream.closed().await;
}

async fn listen(tasks: Executor, address: SocketAddr) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let own = identity("server", address);
    serve(
        tasks,
        listener,
        Key::new([1; 32]),
        own,
        hold,
        |_| {},
        Drain::new(),
    )
    .await
}

/// Keeps one client connected, noting its attempts; returns once connected.
async fn client(
    tasks: Executor,
    address: SocketAddr,
    delay: Delay,
    seed: u64,
    attempts: Rc<RefCell<Vec<Instant>>>,
) -> Link {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut backoff = Backoff::new();
    let clock = Clock::new();
    let (key, own) = (Key::new([1; 32]), identity("client", address));
    loop {
        let wait = match delay {
            Delay::None => Span::from_ms(1),
            Delay::Fixed => Span::from_ms(200),
            Delay::Jitter => backoff.next_delay(clock.now(), &mut rng),
        };
        smol::Timer::after(wait.into()).await;
        attempts.borrow_mut().push(Instant::now());
        if let Ok(link) = Link::connect(&tasks, address, &key, &own).await {
            return link;
        }
    }
}

/// All clients lose a server at once, which comes back after the outage.
async fn restart(tasks: Executor, delay: Delay, seed: u64) {
    let probe = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = probe.local_addr().unwrap();
    drop(probe);
    let attempts = Rc::new(RefCell::new(Vec::new()));
    let mut rng = StdRng::seed_from_u64(seed);
    let lost = Instant::now();
    let start = |_| {
        let client = client(
            tasks.clone(),
            address,
            delay,
            rng.random(),
            attempts.clone(),
        );
        tasks.spawn(client)
    };
    let clients: Vec<_> = (0..CLIENTS).map(start).collect();
    smol::Timer::after(OUTAGE).await;
    let server = tasks.spawn(listen(tasks.clone(), address));
    let back = Instant::now();
    let mut links = Vec::new();
    for client in clients {
        links.push(client.await);
    }
    let all = back.elapsed();
    let attempts = attempts.take();
    let mut buckets = std::collections::BTreeMap::<u128, u32>::new();
    for attempt in attempts.iter() {
        let bucket = attempt.duration_since(lost).as_millis() / BUCKET_MS;
        *buckets.entry(bucket).or_default() += 1;
    }
    let peak = buckets.values().max().unwrap();
    println!(
        "{delay:?} seed {seed}: attempts {}, peak {peak} in 10 ms, all connected after {} ms",
        attempts.len(),
        all.as_millis(),
    );
    server.cancel().await;
}

/// The time from a connection's silence to its suspicion.
async fn silence(tasks: Executor) -> Duration {
    let probe = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = probe.local_addr().unwrap();
    drop(probe);
    let server = tasks.spawn(listen(tasks.clone(), address));
    smol::Timer::after(Duration::from_millis(20)).await;
    let relay = link::start("127.0.0.1:0".parse().unwrap(), address).unwrap();
    let (key, own) = (Key::new([1; 32]), identity("client", address));
    let link = Link::connect(&tasks, relay.address, &key, &own)
        .await
        .unwrap();
    let _watch = link.open(&Frame::Watch).await.unwrap();
    let settle = Duration::from_millis(rand::rng().random_range(0..400));
    smol::Timer::after(settle).await;
    relay.silence(Direction::Both);
    let silent = Instant::now();
    link.suspected().await;
    server.cancel().await;
    silent.elapsed()
}

fn main() {
    let executor = Rc::new(LocalExecutor::new());
    let tasks = executor.clone();
    smol::block_on(executor.run(async move {
        for seed in SEEDS {
            for delay in [Delay::None, Delay::Fixed, Delay::Jitter] {
                restart(tasks.clone(), delay, seed).await;
            }
        }
        let mut times = Vec::new();
        for _ in 0..SILENCES {
            times.push(silence(tasks.clone()).await.as_millis());
        }
        times.sort_unstable();
        println!("silence noticed after (ms): {times:?}");
    }));
}
