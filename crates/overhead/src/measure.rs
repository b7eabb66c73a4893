//! Measurements of latency, throughput and memory, printed to standard output.

use std::fmt;
use std::process::Child;
use std::rc::Rc;
use std::time::Instant;

use hdrhistogram::Histogram;
use http_types::{Body, Method};
use serde_json::{Value, json};
use smol::LocalExecutor;

use crate::environment::{Environment, TOKEN};

const CALLS_PER_PROGRAM: u32 = 10;
const LATENCY_TOKENS: u64 = 8;
const CLOCK_TICKS_PER_S: f64 = 100.0;
const PAGE_KB: u64 = 4;
const THINK_TIME: std::time::Duration = std::time::Duration::from_millis(25);
const TIMEOUT: std::time::Duration = std::time::Duration::from_secs(60);

/// Reason why a measurement failed.
#[derive(Debug)]
pub(crate) enum Error {
    /// An operation on a process, file or socket failed.
    System(std::io::Error),
    /// An HTTP request failed.
    Http(http_io::Error),
    /// The answer of a call is incomplete; holds the answer.
    Call(String),
    /// A figure is missing or out of range.
    Figure,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::System(error) => error.fmt(f),
            Error::Http(error) => error.fmt(f),
            Error::Call(answer) => write!(f, "incomplete answer: {answer}"),
            Error::Figure => f.write_str("figure missing or out of range"),
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
        Error::Http(error)
    }
}

type Result<T> = std::result::Result<T, Error>;

/// Prints the resident memory of both processes.
pub(crate) fn print_memory(environment: &Environment, when: &str) -> Result<()> {
    let (entry, sidecar) = (
        resident_kb(&environment.entry)?,
        resident_kb(&environment.sidecar)?,
    );
    println!("resident memory {when}: entry {entry} KB, sidecar {sidecar} KB");
    Ok(())
}

/// Alternates direct calls and calls through balsamhold, one at a time. The pause before each pair
/// keeps the rate of calls below the rate at which the log commits.
pub(crate) async fn measure_latency(environment: &Environment, pairs: u32) -> Result<()> {
    let direct_client = http_io::Client::new(environment.engine.address, TIMEOUT);
    let caller_client =
        http_io::Client::new(environment.caller_address, TIMEOUT).with_bearer(TOKEN);
    let (mut direct, mut through) = (histogram()?, histogram()?);
    let mut program = String::new();
    let before = append_totals(environment).await?;
    for index in 0..pairs {
        smol::Timer::after(THINK_TIME).await;
        let start = Instant::now();
        complete_directly(&direct_client, index).await?;
        record(&mut direct, start)?;
        let seq = index % CALLS_PER_PROGRAM + 1;
        if seq == 1 {
            program = create_program(&caller_client).await?;
        }
        let start = Instant::now();
        call(&caller_client, &program, seq, LATENCY_TOKENS).await?;
        record(&mut through, start)?;
    }
    let after = append_totals(environment).await?;
    let commit_us = (after.0 - before.0) / (after.1 - before.1) * 1e6;
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        let (direct_us, through_us) = (
            direct.value_at_quantile(quantile),
            through.value_at_quantile(quantile),
        );
        let added_us = through_us.saturating_sub(direct_us);
        println!(
            "latency {name}: direct {direct_us} us, through {through_us} us, added {added_us} us"
        );
    }
    let commits_per_call = (after.1 - before.1) / f64::from(pairs);
    println!(
        "store commits: {commits_per_call:.2} a call, mean {commit_us:.0} us each, included above"
    );
    Ok(())
}

/// Runs concurrent callers and prints their calls and tokens per processor time of each process.
pub(crate) async fn measure_throughput(
    environment: &Environment,
    name: &str,
    callers: u32,
    calls: u32,
    tokens: u64,
) -> Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let before = (cpu_s(&environment.entry)?, cpu_s(&environment.sidecar)?);
    let start = Instant::now();
    let address = environment.caller_address;
    let caller = |_| {
        let client = http_io::Client::new(address, TIMEOUT).with_bearer(TOKEN);
        executor.spawn(run_caller(client, calls, tokens))
    };
    let tasks: Vec<_> = (0..callers).map(caller).collect();
    let join_all = async {
        for task in tasks {
            task.await?;
        }
        Ok::<(), Error>(())
    };
    executor.run(join_all).await?;
    let elapsed_s = start.elapsed().as_secs_f64();
    let total_calls = f64::from(callers * calls);
    let entry_cpu_s = cpu_s(&environment.entry)? - before.0;
    let sidecar_cpu_s = cpu_s(&environment.sidecar)? - before.1;
    let total_tokens = total_calls * tokens as f64;
    println!(
        "{name}: {total_calls} calls of {tokens} tokens in {elapsed_s:.2} s; entry {:.0} calls and {:.0} \
         tokens per core second ({:.0} us a call), sidecar {:.0} us a call",
        total_calls / entry_cpu_s,
        total_tokens / entry_cpu_s,
        entry_cpu_s / total_calls * 1e6,
        sidecar_cpu_s / total_calls * 1e6,
    );
    Ok(())
}

async fn run_caller(client: http_io::Client, calls: u32, tokens: u64) -> Result<()> {
    let mut program = String::new();
    for index in 0..calls {
        let seq = index % CALLS_PER_PROGRAM + 1;
        if seq == 1 {
            program = create_program(&client).await?;
        }
        call(&client, &program, seq, tokens).await?;
    }
    Ok(())
}

async fn create_program(client: &http_io::Client) -> Result<String> {
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

async fn complete_directly(client: &http_io::Client, index: u32) -> Result<()> {
    let body = json!({
        "model": "advisor", "prompt": "hello", "max_tokens": LATENCY_TOKENS, "stream": true,
        "user": "direct", "request_id": index.to_string(),
    });
    let mut request = client.request(Method::Post, "/v1/completions")?;
    request.set_body(Body::from_string(body.to_string()));
    client.fetch_body(request).await?;
    Ok(())
}

/// Returns the seconds that the entry spent in appends to the log and the number of appends so far.
async fn append_totals(environment: &Environment) -> Result<(f64, f64)> {
    let client = environment.admin_client();
    let text = client
        .fetch_body(client.request(Method::Get, "/metrics")?)
        .await?;
    let text = String::from_utf8_lossy(&text);
    let metric = |kind: &str| {
        let name = format!("balsamhold_entry_append_seconds_{kind}");
        let line = text.lines().find(|line| line.starts_with(&name))?;
        line.rsplit(' ').next()?.parse::<f64>().ok()
    };
    Ok((metric("sum").unwrap_or(0.0), metric("count").unwrap_or(0.0)))
}

fn histogram() -> Result<Histogram<u64>> {
    Histogram::new(3).map_err(|_| Error::Figure)
}

fn record(histogram: &mut Histogram<u64>, start: Instant) -> Result<()> {
    histogram
        .record(start.elapsed().as_micros() as u64)
        .map_err(|_| Error::Figure)
}

/// Returns the processor time that a process has used, in seconds.
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

/// Returns the resident memory of a process, in kilobytes.
fn resident_kb(process: &Child) -> Result<u64> {
    let statm = std::fs::read_to_string(format!("/proc/{}/statm", process.id()))?;
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|field| field.parse::<u64>().ok());
    Ok(pages.ok_or(Error::Figure)? * PAGE_KB)
}
