//! Turns with a long new input, within `MaxBodyBytes`: sent in series by [`run_in_series`], by several
//! clients at once by [`run_at_once`]. See `claim.txt` of the two cases.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use crate::Verdict;
use crate::fleet::{Call, Fleet, MECHE, resident_bytes};
use crate::http::Channel;

/// Below `MaxBodyBytes`, which is 4,194,304; above what one call of the store holds.
const LONG_BYTES: usize = 1_000_000;
/// Below `MaxBodyBytes` as well.
const LONGEST_BYTES: usize = 4_000_000;
/// The mean of the sheet.
const SHORT_BYTES: usize = 5_100;
/// Long turns that are sent one after another.
const TURNS: usize = 6;
/// Clients that send one of the longest turns at the same time: there are 10 or 11 in each zone.
const CLIENTS: usize = 8;
/// Memory of a `front` machine.
const MEMORY_BYTES: u64 = 120 << 20;
/// More requests than this that were passed on and not answered break the rule.
const LOST_MAX: usize = 3;

pub fn run_in_series(record: &Path, has_trouble: bool) -> Verdict {
    let fleet = start(record)?;
    let bytes = if has_trouble { LONG_BYTES } else { SHORT_BYTES };
    let mut lost = 0;
    for index in 0..TURNS {
        lost += usize::from(is_lost(&fleet, index, bytes)?);
    }
    fleet.record.line(&format!(
        "turns that a worker ran and whose channel was closed without the end of an answer: {lost} of \
         {TURNS}"
    ));
    fleet.record_logs(&["turn not committed", "store lost"], 6);
    Ok(lost <= LOST_MAX)
}

pub fn run_at_once(record: &Path, has_trouble: bool) -> Verdict {
    let fleet = start(record)?;
    let bytes = if has_trouble {
        LONGEST_BYTES
    } else {
        SHORT_BYTES
    };
    let (lost, peak, was_killed) = send_at_once(&fleet, bytes);
    fleet.record.line(&format!(
        "turns that a worker ran and whose channel was closed without the end of an answer: {lost} of \
         {CLIENTS}"
    ));
    fleet.record.line(&format!(
        "memory of the gateway at its peak: {peak} bytes of {MEMORY_BYTES}; killed by the platform: \
         {was_killed}"
    ));
    Ok(lost <= LOST_MAX)
}

fn start(record: &Path) -> crate::fleet::Result<Fleet> {
    Fleet::start(record, &MECHE, &["port-louis", "pamplemousses"], 3, 1)
}

/// Sends turns of several clients at once, while the platform watches the memory of the gateway. Returns
/// how many were lost, the memory at its peak and whether the platform killed the process.
fn send_at_once(fleet: &Fleet, bytes: usize) -> (usize, u64, bool) {
    let pid = fleet.gateway_pid(0);
    let (lost, ended) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let was_killed = AtomicBool::new(false);
    let mut peak = 0;
    std::thread::scope(|scope| {
        for index in 0..CLIENTS {
            let (lost, ended) = (&lost, &ended);
            scope.spawn(move || {
                if is_lost(fleet, 100 + index, bytes).unwrap_or(false) {
                    lost.fetch_add(1, Ordering::Relaxed);
                }
                ended.fetch_add(1, Ordering::Relaxed);
            });
        }
        while ended.load(Ordering::Relaxed) < CLIENTS {
            peak = peak.max(resident_bytes(pid));
            if peak > MEMORY_BYTES && !was_killed.swap(true, Ordering::Relaxed) {
                fleet
                    .record
                    .line("the gateway exceeds its memory: the platform kills it");
                fleet.kill_gateway(0);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    });
    (lost.into_inner(), peak, was_killed.into_inner())
}

/// Sends a short turn, then one of this size on the same channel. Returns whether a worker ran the second
/// one and its answer did not arrive whole.
fn is_lost(fleet: &Fleet, index: usize, bytes: usize) -> crate::fleet::Result<bool> {
    let mut channel = Channel::connect(fleet.gateways[0].address)?;
    let opening = turn(fleet, SHORT_BYTES, index);
    let opened = fleet.send_on(&mut channel, 0, &opening)?;
    if !opened.is_complete {
        return Err("the short turn was not answered".into());
    }
    let long = Call {
        previous: Some(opening.id),
        ..turn(fleet, bytes, index)
    };
    let response = fleet.send_on(&mut channel, 0, &long);
    let is_answered = response.is_ok_and(|response| response.is_complete);
    Ok(!is_answered && fleet.run_count(&long.id) > 0)
}

fn turn(fleet: &Fleet, bytes: usize, index: usize) -> Call {
    let mut body = format!("events=8 report {index} ").into_bytes();
    body.resize(bytes, b'x');
    body.push(b'\n');
    Call {
        id: fleet.new_id(),
        path: "/turn/kept/4b".into(),
        program: format!("report{index}"),
        budget: 1_080,
        most: 135,
        body,
        deadline_ms: 5_000,
        finish_ms: 20_000,
        ..Call::default()
    }
}
