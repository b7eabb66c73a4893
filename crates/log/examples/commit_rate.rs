//! Measures batch size, commit rate and append latency at several append rates, on a platform
//! stand-in in this process that delays each request by `SLOW_MS` (default 2):
//! `cargo run --release -p program-log --example commit_rate -- SLOW_MS`.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use program_log::{Event, Handle, Record, Writer};
use smol::LocalExecutor;
use store::Client;
use units::{Incarnation, Program, Span, Tokens};

const RUN_TIME: Duration = Duration::from_secs(4);
const APPENDS_PER_SECOND: [u32; 5] = [20, 100, 500, 1_000, 2_000];

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let slow_ms = std::env::args().nth(1).map_or(Ok(2), |text| text.parse())?;
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    println!("a commit takes {slow_ms} ms plus a round trip");
    println!("appends/s  commits/s  appends a commit  p50 ms  p99 ms");
    for rate in APPENDS_PER_SECOND {
        let service = standins::platform::start(any, Vec::new())?;
        service.state().knobs.slow_ms = slow_ms;
        let mut latencies = smol::block_on(measure(service.address, rate))?;
        latencies.sort();
        let commits = service.state().commits - 1;
        let percentile = |percent: usize| latencies[(latencies.len() - 1) * percent / 100];
        let per_commit = latencies.len() as f64 / commits as f64;
        let per_second = commits as f64 / RUN_TIME.as_secs_f64();
        let (median, tail) = (
            percentile(50).as_secs_f64() * 1e3,
            percentile(99).as_secs_f64() * 1e3,
        );
        println!("{rate:>9}  {per_second:>9.0}  {per_commit:>16.1}  {median:>6.1}  {tail:>6.1}");
    }
    Ok(())
}

/// Appends at a fixed rate and returns the latency of each append.
async fn measure(
    service: SocketAddr,
    rate: u32,
) -> Result<Vec<Duration>, Box<dyn std::error::Error>> {
    let executor = Rc::new(LocalExecutor::new());
    let writer = Incarnation(1);
    let row = Writer::new(writer, "entry-0".parse()?, service);
    let client = Client::new(platform::Client::new(service), Span::from_ms(1_000));
    let work = async {
        let (log, handle) = program_log::open(client, writer, row).await?;
        executor.spawn(log.run()).detach();
        let start = Instant::now();
        let mut tasks = Vec::new();
        while start.elapsed() < RUN_TIME {
            let due = start + Duration::from_secs(1) * tasks.len() as u32 / rate;
            smol::Timer::at(due).await;
            let number = tasks.len() as u64;
            tasks.push(executor.spawn(append(handle.clone(), number)));
        }
        let mut latencies = Vec::new();
        for task in tasks {
            latencies.push(task.await?);
        }
        Ok(latencies)
    };
    executor.run(work).await
}

async fn append(handle: Handle, number: u64) -> program_log::Result<Duration> {
    let origin = handle.writer();
    let record = Record {
        program: Program { origin, number },
        event: Event::Tranche(Tokens(number)),
    };
    let start = Instant::now();
    handle.append(vec![record]).await?;
    Ok(start.elapsed())
}
