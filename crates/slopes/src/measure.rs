//! The measurements: each varies one size and keeps the others fixed.

use std::io::Result;
use std::path::Path;
use std::time::{Duration, Instant};

use crate::fit::{Fit, Point};
use crate::fleet::Fleet;

const SETTLE_TIME: Duration = Duration::from_secs(2);
const WINDOW: Duration = Duration::from_secs(4);
const CHANGE_WINDOW: Duration = Duration::from_secs(10);
const SIDECAR_COUNTS: [u16; 4] = [2, 8, 24, 64];
const ENTRY_COUNTS: [u16; 4] = [1, 4, 8, 16];
const PROGRAM_COUNTS: [usize; 4] = [1_000, 2_000, 4_000, 8_000];
const HISTORY_COUNTS: [usize; 4] = [250, 500, 1_000, 2_000];
const CALL_COUNTS: [usize; 4] = [250, 500, 1_000, 2_000];
const ANSWER_TOKENS: [u64; 4] = [16, 64, 128, 256];
const CHANGE_COUNTS: [u64; 4] = [0, 5, 10, 20];
const ACCOUNT_COUNTS: [usize; 4] = [10, 300, 900, 1_500];
const TASKS_MAX: usize = 16;
const CALL_INPUT_BYTES: usize = 400;
const HISTORY_INPUT_BYTES: usize = 16_000;
const ANSWER_CALLS: usize = 200;
const CALL_MAX_TOKENS: u64 = 32;

/// A quantity measured at several sizes; the slope is its growth per unit of size.
#[derive(Clone, Debug)]
pub struct Slope {
    /// Measured quantity, with its unit.
    pub quantity: &'static str,
    /// Size that was varied.
    pub varied: &'static str,
    /// Measured points.
    pub points: Vec<Point>,
}

impl Slope {
    fn new(quantity: &'static str, varied: &'static str) -> Self {
        Slope {
            quantity,
            varied,
            points: Vec::new(),
        }
    }

    fn push(&mut self, size: f64, value: f64) {
        self.points.push(Point { size, value });
    }

    /// Fits a line to the points.
    pub fn fit(&self) -> Fit {
        Fit::new(&self.points)
    }
}

/// Runs all measurements with the `balsamhold` in `binaries`.
pub fn run_all(binaries: &Path) -> Result<Vec<Slope>> {
    let mut slopes = measure_sidecars(binaries)?;
    slopes.extend(measure_entries(binaries)?);
    slopes.extend(measure_programs(binaries)?);
    slopes.extend(measure_calls(binaries)?);
    slopes.extend(measure_answers(binaries)?);
    slopes.extend(measure_changes(binaries)?);
    slopes.extend(measure_accounts(binaries)?);
    Ok(slopes)
}

/// Measures an idle entry by the number of sidecars.
fn measure_sidecars(binaries: &Path) -> Result<Vec<Slope>> {
    let mut rss = Slope::new("entry memory, bytes", "sidecar");
    let mut cpu = Slope::new("idle entry, µs/s", "sidecar");
    let mut wire = Slope::new("idle links, bytes/s", "sidecar");
    for (set, count) in SIDECAR_COUNTS.into_iter().enumerate() {
        let fleet = Fleet::start(binaries, 10 + set as u8, 1, count)?;
        std::thread::sleep(SETTLE_TIME);
        let (before, bytes_before) = (fleet.entry_usage()?, fleet.wire_bytes());
        std::thread::sleep(WINDOW);
        let used = fleet.entry_usage()?.since(&before);
        let size = f64::from(count);
        rss.push(size, used.rss_bytes);
        cpu.push(size, used.cpu_us / WINDOW.as_secs_f64());
        wire.push(
            size,
            (fleet.wire_bytes() - bytes_before) / WINDOW.as_secs_f64(),
        );
    }
    Ok(vec![rss, cpu, wire])
}

/// Measures an idle sidecar, an idle entry and reads of the platform by the number of entries.
fn measure_entries(binaries: &Path) -> Result<Vec<Slope>> {
    let mut rss = Slope::new("sidecar memory, bytes", "entry");
    let mut cpu = Slope::new("idle sidecar, µs/s", "entry");
    let mut entry_cpu = Slope::new("idle entry, µs/s", "entry");
    let mut reads = Slope::new("platform, reads/s", "entry");
    for (set, count) in ENTRY_COUNTS.into_iter().enumerate() {
        let fleet = Fleet::start(binaries, 20 + set as u8, count, 2)?;
        std::thread::sleep(SETTLE_TIME);
        let before = (
            fleet.sidecar_usage()?,
            fleet.entry_usage()?,
            fleet.platform.state().reads,
        );
        std::thread::sleep(WINDOW);
        let (sidecar_used, entry_used) = (
            fleet.sidecar_usage()?.since(&before.0),
            fleet.entry_usage()?.since(&before.1),
        );
        let reads_made = fleet.platform.state().reads - before.2;
        let (size, seconds) = (f64::from(count), WINDOW.as_secs_f64());
        rss.push(size, sidecar_used.rss_bytes);
        cpu.push(size, sidecar_used.cpu_us / seconds);
        entry_cpu.push(size, entry_used.cpu_us / seconds);
        reads.push(size, reads_made as f64 / seconds);
    }
    Ok(vec![rss, cpu, entry_cpu, reads])
}

/// Measures the memory of an entry by the number of programs and by bytes of their history.
fn measure_programs(binaries: &Path) -> Result<Vec<Slope>> {
    let fleet = Fleet::start(binaries, 30, 1, 1)?;
    let mut rss = Slope::new("entry memory, bytes", "program");
    let mut ids = Vec::new();
    for count in PROGRAM_COUNTS {
        let missing = count - ids.len();
        ids.extend(parallel(missing, |_| fleet.create_program())?);
        rss.push(count as f64, fleet.entry_usage()?.rss_bytes);
    }
    let mut history = Slope::new("entry memory, bytes", "byte of history");
    let text = "x".repeat(HISTORY_INPUT_BYTES);
    let mut calls = 0;
    for count in HISTORY_COUNTS {
        parallel(count - calls, |index| {
            fleet.call(&ids[calls + index], 1, &text, CALL_MAX_TOKENS)
        })?;
        calls = count;
        history.push(
            (calls * HISTORY_INPUT_BYTES) as f64,
            fleet.entry_usage()?.rss_bytes,
        );
    }
    Ok(vec![rss, history])
}

/// Measures processor time, link traffic and log by the number of model calls.
fn measure_calls(binaries: &Path) -> Result<Vec<Slope>> {
    let fleet = Fleet::start(binaries, 40, 1, 1)?;
    let mut entry = Slope::new("entry, µs", "call");
    let mut control = Slope::new("entry's control thread, µs", "call");
    let mut sidecar = Slope::new("sidecar, µs", "call");
    let mut wire = Slope::new("links, bytes", "call");
    let mut log = Slope::new("log in the table, bytes", "call");
    let mut commits = Slope::new("table, transactions", "call");
    let text = "x".repeat(CALL_INPUT_BYTES);
    for count in CALL_COUNTS {
        let ids = parallel(count, |_| fleet.create_program())?;
        let before = (
            fleet.entry_usage()?,
            fleet.sidecar_usage()?,
            fleet.wire_bytes(),
        );
        let (log_before, commits_before) = (fleet.log_bytes(), fleet.platform.state().commits);
        parallel(count, |index| {
            fleet.call(&ids[index], 1, &text, CALL_MAX_TOKENS)
        })?;
        let (entry_used, sidecar_used) = (
            fleet.entry_usage()?.since(&before.0),
            fleet.sidecar_usage()?.since(&before.1),
        );
        let size = count as f64;
        entry.push(size, entry_used.cpu_us);
        control.push(size, entry_used.control_cpu_us);
        sidecar.push(size, sidecar_used.cpu_us);
        wire.push(size, fleet.wire_bytes() - before.2);
        log.push(size, fleet.log_bytes() - log_before);
        let committed = fleet.platform.state().commits - commits_before;
        commits.push(size, committed as f64);
    }
    Ok(vec![entry, control, sidecar, wire, log, commits])
}

/// Measures processor time and link traffic of a call by tokens of its answer, one per event.
fn measure_answers(binaries: &Path) -> Result<Vec<Slope>> {
    let fleet = Fleet::start(binaries, 50, 1, 1)?;
    let mut entry = Slope::new("entry, µs a call", "token of the answer");
    let mut sidecar = Slope::new("sidecar, µs a call", "token of the answer");
    let mut wire = Slope::new("links, bytes a call", "token of the answer");
    for tokens in ANSWER_TOKENS {
        let ids = parallel(ANSWER_CALLS, |_| fleet.create_program())?;
        let before = (
            fleet.entry_usage()?,
            fleet.sidecar_usage()?,
            fleet.wire_bytes(),
        );
        parallel(ANSWER_CALLS, |index| {
            fleet.call(&ids[index], 1, "Which wax?", tokens)
        })?;
        let (entry_used, sidecar_used) = (
            fleet.entry_usage()?.since(&before.0),
            fleet.sidecar_usage()?.since(&before.1),
        );
        let (size, calls) = (tokens as f64, ANSWER_CALLS as f64);
        entry.push(size, entry_used.cpu_us / calls);
        sidecar.push(size, sidecar_used.cpu_us / calls);
        wire.push(size, (fleet.wire_bytes() - before.2) / calls);
    }
    Ok(vec![entry, sidecar, wire])
}

/// Measures the processor time of an entry by changes of the document in windows of equal length,
/// and the time until a change is in force.
fn measure_changes(binaries: &Path) -> Result<Vec<Slope>> {
    let fleet = Fleet::start(binaries, 60, 2, 1)?;
    let mut cpu = Slope::new("entry, µs", "change of the document");
    let mut delay = Slope::new(
        "change in force, ms after acceptance",
        "change of the document",
    );
    for count in CHANGE_COUNTS {
        let start = Instant::now();
        let before = fleet.entry_usage()?;
        let mut total_delay = Duration::ZERO;
        for _ in 0..count {
            let version = fleet.version(1)?;
            fleet.apply(version, ACCOUNT_COUNTS[0])?;
            let accepted = Instant::now();
            while fleet.version(1)? == version {
                std::thread::sleep(Duration::from_millis(20));
            }
            total_delay += accepted.elapsed();
        }
        std::thread::sleep(CHANGE_WINDOW.saturating_sub(start.elapsed()));
        cpu.push(count as f64, fleet.entry_usage()?.since(&before).cpu_us);
        if count > 0 {
            delay.push(count as f64, total_delay.as_secs_f64() * 1e3 / count as f64);
        }
    }
    Ok(vec![cpu, delay])
}

/// Measures an idle entry by the number of accounts in the document.
fn measure_accounts(binaries: &Path) -> Result<Vec<Slope>> {
    let fleet = Fleet::start(binaries, 70, 1, 1)?;
    let mut cpu = Slope::new("idle entry, µs/s", "account");
    let mut rss = Slope::new("entry memory, bytes", "account");
    for count in ACCOUNT_COUNTS {
        fleet.apply(fleet.version(0)?, count)?;
        std::thread::sleep(SETTLE_TIME);
        let before = fleet.entry_usage()?;
        std::thread::sleep(WINDOW);
        let used = fleet.entry_usage()?.since(&before);
        cpu.push(count as f64, used.cpu_us / WINDOW.as_secs_f64());
        rss.push(count as f64, used.rss_bytes);
    }
    Ok(vec![cpu, rss])
}

/// Runs `count` tasks, at most `TASKS_MAX` at a time, and returns results in order of completion.
fn parallel<T, F: Future<Output = Result<T>>>(
    count: usize,
    task: impl Fn(usize) -> F,
) -> Result<Vec<T>> {
    let next = std::cell::Cell::new(0);
    let results = std::cell::RefCell::new(Vec::with_capacity(count));
    {
        let worker = async || {
            while next.get() < count {
                let index = next.replace(next.get() + 1);
                let result = task(index).await;
                results.borrow_mut().push(result);
            }
        };
        let executor = smol::LocalExecutor::new();
        smol::block_on(executor.run(async {
            let workers: Vec<_> = (0..TASKS_MAX).map(|_| executor.spawn(worker())).collect();
            for worker in workers {
                worker.await;
            }
        }));
    }
    results.into_inner().into_iter().collect()
}
