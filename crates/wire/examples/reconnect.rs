//! Measures reconnection after a server restart and the time until a silent connection is suspect.
//!
//! `cargo run -p wire --example reconnect` prints for each kind of delay and each seed the maximum
//! number of attempts within 10 ms and the time from the server's start until all clients are
//! connected. It then prints the times from the start of silence until the connection is suspect.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a failed step ends the run"
)]

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use intake::Listener;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use smol::LocalExecutor;
use smol::net::TcpListener;
use standins::link::{self, Direction};
use units::{Clock, Incarnation, Span};
use wire::{Backoff, Drain, Frame, Identity, Key, Link, Role, Stream, serve};

const CLIENT_COUNT: usize = 390;
const SEEDS: [u64; 3] = [1, 2, 3];
const SILENCE_RUNS: u32 = 10;
const OUTAGE: Duration = Duration::from_millis(300);
const BUCKET_MS: u128 = 10;

/// Delay of a client before an attempt to connect.
#[derive(Clone, Copy, Debug)]
enum Delay {
    /// 1 ms each time.
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

async fn wait_closed(_peer: Rc<Identity>, mut stream: Stream) {
    stream.closed().await;
}

async fn listen(tasks: Executor, address: SocketAddr) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let own = identity("server", address);
    serve(
        tasks,
        Listener::unlimited(listener),
        Key::new([1; 32]),
        own,
        wait_closed,
        |_| {},
        Drain::new(),
    )
    .await;
    Ok(())
}

/// Connects one client and records the time of each attempt; returns once connected.
async fn connect_client(
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

/// Measures the attempts of clients whose server is unavailable until the outage ends.
async fn measure_restart(tasks: Executor, delay: Delay, seed: u64) {
    let probe = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = probe.local_addr().unwrap();
    drop(probe);
    let attempts = Rc::new(RefCell::new(Vec::new()));
    let mut rng = StdRng::seed_from_u64(seed);
    let outage_start = Instant::now();
    let start = |_| {
        let client = connect_client(
            tasks.clone(),
            address,
            delay,
            rng.random(),
            attempts.clone(),
        );
        tasks.spawn(client)
    };
    let clients: Vec<_> = (0..CLIENT_COUNT).map(start).collect();
    smol::Timer::after(OUTAGE).await;
    let server = tasks.spawn(listen(tasks.clone(), address));
    let server_start = Instant::now();
    let mut links = Vec::new();
    for client in clients {
        links.push(client.await);
    }
    let all_connected = server_start.elapsed();
    let attempts = attempts.take();
    let mut buckets = std::collections::BTreeMap::<u128, u32>::new();
    for attempt in attempts.iter() {
        let bucket = attempt.duration_since(outage_start).as_millis() / BUCKET_MS;
        *buckets.entry(bucket).or_default() += 1;
    }
    let peak = buckets.values().max().unwrap();
    println!(
        "{delay:?} seed {seed}: attempts {}, peak {peak} in 10 ms, all connected after {} ms",
        attempts.len(),
        all_connected.as_millis(),
    );
    server.cancel().await;
}

/// Returns the time from the beginning of the silence until the connection is suspect.
async fn measure_silence(tasks: Executor) -> Duration {
    let probe = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = probe.local_addr().unwrap();
    drop(probe);
    let server = tasks.spawn(listen(tasks.clone(), address));
    smol::Timer::after(Duration::from_millis(20)).await;
    let proxy = link::start("127.0.0.1:0".parse().unwrap(), address).unwrap();
    let (key, own) = (Key::new([1; 32]), identity("client", address));
    let link = Link::connect(&tasks, proxy.address, &key, &own)
        .await
        .unwrap();
    let _watch = link.open(&Frame::Watch).await.unwrap();
    let settle = Duration::from_millis(rand::rng().random_range(0..400));
    smol::Timer::after(settle).await;
    proxy.silence(Direction::Both);
    let silence_start = Instant::now();
    link.suspected().await;
    server.cancel().await;
    silence_start.elapsed()
}

fn main() {
    let executor = Rc::new(LocalExecutor::new());
    let tasks = executor.clone();
    smol::block_on(executor.run(async move {
        for seed in SEEDS {
            for delay in [Delay::None, Delay::Fixed, Delay::Jitter] {
                measure_restart(tasks.clone(), delay, seed).await;
            }
        }
        let mut times = Vec::new();
        for _ in 0..SILENCE_RUNS {
            times.push(measure_silence(tasks.clone()).await.as_millis());
        }
        times.sort_unstable();
        println!("silent connection suspect after (ms): {times:?}");
    }));
}
