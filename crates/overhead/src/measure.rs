//! The measurements.

use std::fmt;
use std::process::Child;
use std::rc::Rc;
use std::time::Instant;

use hdrhistogram::Histogram;
use http_types::{Body, Method};
use serde_json::{Value, json};
use smol::LocalExecutor;

use crate::environment::{Environment, TOKEN};

const PROGRAM_CALLS: u32 = 10;
const LATENCY_TOKENS: u64 = 8;
const CLOCK_TICKS_PER_S: f64 = 100.0;
const PAGE_KB: u64 = 4;
const THINK_TIME: std::time::Duration = std::time::Duration::from_millis(25);
const TIMEOUT: std::time::Duration = std::time::Duration::from_secs(60);

/// Why a measurement failed.
#[derive(Debug)]
pub(crate) enum Error {
    /// A process or file is not as expected.
    System(std::io::Error),
    /// An exchange failed.
    Exchange(http_io::Error),
    /// A call was not answered whole.
    Call(String),
    /// A figure is out of range.
    Figure,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::System(error) => error.fmt(f),
            Error::Exchange(error) => error.fmt(f),
            Error::Call(answer) => write!(f, "no whole answer: {answer}"),
            Error::Figure => f.write_str("figure out of range"),
        }
    }
}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        Error::System(error)
    }
}

impl From<http_io::Error> for Error {
    fn from(error: http_io::Error) -> Self {
        Error::Exchange(error)
    }
}

type Result<T> = std::result::Result<T, Error>;

/// Prints the resident memory of both processes.
pub(crate) fn memory(environment: &Environment, when: &str) -> Result<()> {
    let (entry, sidecar) = (
        resident_kb(&environment.entry)?,
        resident_kb(&environment.sidecar)?,
    );
    println!("resident memory {when}: entry {entry} KB, sidecar {sidecar} KB");
    Ok(())
}

/// Alternates direct calls and calls through balsamhold, one at a time, with a pause before each pair
/// that keeps the rate below the log's pace of commits.
pub(crate) async fn latency(environment: &Environment, pairs: u32) -> Result<()> {
    let direct = http_io::Client::new(environment.engine.address, TIMEOUT);
    let callers = http_io::Client::new(environment.callers, TIMEOUT).with_bearer(TOKEN);
    let (mut plain, mut through) = (histogram()?, histogram()?);
    let mut program = String::new();
    let before = appends(environment).await?;
    for index in 0..pairs {
        smol::Timer::after(THINK_TIME).await;
        let start = Instant::now();
        complete(&direct, index).await?;
        record(&mut plain, start)?;
        let seq = index % PROGRAM_CALLS + 1;
        if seq == 1 {
            program = create(&callers).await?;
        }
        let start = Instant::now();
        call(&callers, &program, seq, LATENCY_TOKENS).await?;
        record(&mut through, start)?;
    }
    let after = appends(environment).await?;
    let commit_us = (after.0 - before.0) / (after.1 - before.1) * 1e6;
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        let (plain, through) = (
            plain.value_at_quantile(quantile),
            through.value_at_quantile(quantile),
        );
        let added = through.saturating_sub(plain);
        println!("latency {name}: direct {plain} us, through {through} us, added {added} us");
    }
    let per_call = (after.1 - before.1) / f64::from(pairs);
    println!("store commits: {per_call:.2} a call, mean {commit_us:.0} us each, included above");
    Ok(())
}

/// Runs callers side by side and relates answers to the processor time of both processes.
pub(crate) async fn throughput(
    environment: &Environment,
    name: &str,
    callers: u32,
    calls: u32,
    tokens: u64,
) -> Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let before = (cpu_s(&environment.entry)?, cpu_s(&environment.sidecar)?);
    let start = Instant::now();
    let address = environment.callers;
    let caller = |_| {
        let client = http_io::Client::new(address, TIMEOUT).with_bearer(TOKEN);
        executor.spawn(run_caller(client, calls, tokens))
    };
    let tasks: Vec<_> = (0..callers).map(caller).collect();
    let all = async {
        for task in tasks {
            task.await?;
        }
        Ok::<(), Error>(())
    };
    executor.run(all).await?;
    let wall = start.elapsed().as_secs_f64();
    let total = f64::from(callers * calls);
    let entry = cpu_s(&environment.entry)? - before.0;
    let sidecar = cpu_s(&environment.sidecar)? - before.1;
    let made = total * tokens as f64;
    println!(
        "{name}: {total} calls of {tokens} tokens in {wall:.2} s; entry {:.0} calls and {:.0} \
         tokens per core second ({:.0} us a call), sidecar {:.0} us a call",
        total / entry,
        made / entry,
        entry / total * 1e6,
        sidecar / total * 1e6,
    );
    Ok(())
}

async fn run_caller(client: http_io::Client, calls: u32, tokens: u64) -> Result<()> {
    let mut program = String::new();
    for index in 0..calls {
        let seq = index % PROGRAM_CALLS + 1;
        if seq == 1 {
            program = create(&client).await?;
        }
        call(&client, &program, seq, tokens).await?;
    }
    Ok(())
}

async fn create(client: &http_io::Client) -> Result<String> {
    let body = json!({"class": "only", "tokens": 1_000_000, "calls": 1_000});
    let created: Value = client
        .send_json(Method::Post, "/v1/programs", Some(&body))
        .await?;
    Ok(created["program"].as_str().unwrap_or_default().to_owned())
}

async fn call(client: &http_io::Client, program: &str, seq: u32, tokens: u64) -> Result<()> {
    let path = format!("/v1/programs/{program}/calls");
    let body = json!({"seq": seq, "model": "advisor", "input": format!("hello {seq}"), "max_tokens": tokens});
    let mut request = client.request(Method::Post, &path)?;
    request.set_body(Body::from_string(body.to_string()));
    let answer = client.fetch_body(request).await?;
    let text = String::from_utf8_lossy(&answer);
    if text.contains("\"type\":\"done\"") {
        Ok(())
    } else {
        Err(Error::Call(text.into_owned()))
    }
}

async fn complete(client: &http_io::Client, index: u32) -> Result<()> {
    let body = json!({
        "model": "advisor", "prompt": "hello", "max_tokens": LATENCY_TOKENS, "stream": true,
        "user": "direct", "request_id": index.to_string(),
    });
    let mut request = client.request(Method::Post, "/v1/completions")?;
    request.set_body(Body::from_string(body.to_string()));
    client.fetch_body(request).await?;
    Ok(())
}

/// Seconds and number of the entry's appends so far, from its metrics.
async fn appends(environment: &Environment) -> Result<(f64, f64)> {
    let client = environment.admin_client();
    let text = client
        .fetch_body(client.request(Method::Get, "/metrics")?)
        .await?;
    let text = String::from_utf8_lossy(&text);
    let figure = |kind: &str| {
        let name = format!("balsamhold_entry_append_seconds_{kind}");
        let line = text.lines().find(|line| line.starts_with(&name))?;
        line.rsplit(' ').next()?.parse::<f64>().ok()
    };
    Ok((figure("sum").unwrap_or(0.0), figure("count").unwrap_or(0.0)))
}

fn histogram() -> Result<Histogram<u64>> {
    Histogram::new(3).map_err(|_| Error::Figure)
}

fn record(histogram: &mut Histogram<u64>, start: Instant) -> Result<()> {
    histogram
        .record(start.elapsed().as_micros() as u64)
        .map_err(|_| Error::Figure)
}

/// Seconds of processor time that a process has used.
fn cpu_s(process: &Child) -> Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", process.id()))?;
    let fields = stat.rsplit(") ").next().unwrap_or_default();
    let mut ticks = fields
        .split(' ')
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok());
    Ok((ticks.next().unwrap_or(0.0) + ticks.next().unwrap_or(0.0)) / CLOCK_TICKS_PER_S)
}

/// Kilobytes of memory that a process has resident.
fn resident_kb(process: &Child) -> Result<u64> {
    let statm = std::fs::read_to_string(format!("/proc/{}/statm", process.id()))?;
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|field| field.parse::<u64>().ok());
    Ok(pages.ok_or(Error::Figure)? * PAGE_KB)
}
