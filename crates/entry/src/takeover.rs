//! Takeover of the log of a failed process, and adoption of its programs.
//!
//! A takeover begins when a caller needs a program, and in the background for every open log whose
//! process is not connected, so that abandoned programs are ended and engine memory is freed. Fresh
//! connections confirm the suspicion before the seal; only the seal is needed for safety.

use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;

use log::{Event, Handle, Histories, History, Record, SealOutcome, State, Turn, WriterSnapshot};
use program::Program;
use slog::{info, warn};
use units::{Host, Incarnation, Span, Time};
use wire::Link;

use crate::live::LiveProgram;
use crate::owner::Adoption;
use crate::traffic::Traffic;
use crate::{links, outage, settle};

const PROBE_ATTEMPTS: u32 = 2;
const PROBE_DELAY: Span = Span::from_ms(50);
const WATCH_INTERVAL: Span = Span::from_ms(200);
const SCAN_INTERVAL: Span = Span::from_ms(5_000);
const ADOPT_RECORDS_MAX: usize = 512;

/// Records that this thread runs, and checks the log after a pause.
pub(crate) async fn detect_pauses(traffic: Rc<Traffic>) {
    loop {
        smol::Timer::after(WATCH_INTERVAL.into()).await;
        traffic.check_after_pause().await;
        traffic.last_tick.set(traffic.shared.clock.now());
    }
}

/// Scans for logs to take over at an interval and when the connection to an entry is lost.
pub(crate) async fn watch(traffic: Rc<Traffic>) {
    let mut previous: HashSet<Incarnation> = HashSet::new();
    let mut last_scan = None;
    loop {
        smol::Timer::after(WATCH_INTERVAL.into()).await;
        let now = traffic.shared.clock.now();
        let entries = &traffic.shared.view.load_full().entries;
        let connected: HashSet<Incarnation> = entries.iter().map(|peer| peer.incarnation).collect();
        let lost = previous.iter().any(|process| !connected.contains(process));
        let is_due = last_scan.is_none_or(|at| now.since(at) > SCAN_INTERVAL);
        previous = connected;
        if lost || is_due {
            last_scan = Some(now);
            if scan(&traffic).await.is_err() {
                traffic.shared.metrics.count("takeover-scan-failed");
            }
        }
    }
}

/// Takes over every log whose process is not connected or whose successor is this entry's log.
async fn scan(traffic: &Rc<Traffic>) -> log::Result<()> {
    let Ok(own_log) = traffic.log() else {
        return Ok(());
    };
    let client = &traffic.shared.client;
    for found in log::open_logs(client).await? {
        let connected = traffic.link_to_process(found.row.process).is_some();
        if found.writer != own_log.writer() && !connected {
            traffic.take_over(found.writer).await;
        }
    }
    for from in log::predecessors(client, own_log.writer()).await? {
        let to = own_log.writer();
        if !traffic.logs.is_adopted(Adoption { from, to }) {
            traffic.take_over(from).await;
        }
    }
    Ok(())
}

/// Seals a log unless it is sealed, and adopts its programs if its chain of successors leads to
/// this entry's log.
pub(crate) async fn run(traffic: &Rc<Traffic>, writer: Incarnation) {
    let start = traffic.shared.clock.now();
    let result = async {
        let Ok(own_log) = traffic.log() else {
            return Ok(None);
        };
        if !seal(traffic, &own_log, writer).await? {
            return Ok(None);
        }
        let histories = log::read_histories(&traffic.shared.client, writer).await?;
        adopt(traffic, &own_log, writer, histories).await.map(Some)
    };
    match result.await {
        Ok(Some(programs)) => {
            let duration = traffic.shared.clock.now().since(start);
            traffic.shared.metrics.count("log-adopted");
            info!(traffic.shared.logger, "log adopted"; "from" => %writer,
                "programs" => programs, "length_us" => duration.0);
            let compaction = compact(traffic.clone(), writer);
            traffic.executor.spawn(compaction).detach();
        }
        Ok(None) => {}
        Err(error) => {
            warn!(traffic.shared.logger, "takeover failed"; "from" => %writer, "error" => %error);
        }
    }
}

/// Moves an adopted log from the table into objects.
async fn compact(traffic: Rc<Traffic>, writer: Incarnation) {
    match log::compact_all(&traffic.shared.client, writer).await {
        Ok(()) => info!(traffic.shared.logger, "log compacted"; "writer" => %writer),
        Err(error) => {
            warn!(traffic.shared.logger, "log not compacted"; "writer" => %writer, "error" => %error);
        }
    }
}

/// Seals a log if it is open; returns whether its final successor is this entry's log.
async fn seal(traffic: &Rc<Traffic>, own_log: &Handle, writer: Incarnation) -> log::Result<bool> {
    let client = &traffic.shared.client;
    let Some(found) = log::read_writer(client, writer).await? else {
        return Ok(false);
    };
    if let State::Sealed(successor) = found.row.state {
        traffic.logs.record_sealed(writer, successor);
        return Ok(leads_here(traffic, own_log, successor).await);
    }
    if !is_gone(traffic, &found).await {
        return Ok(false);
    }
    match log::seal_log(client, &found, own_log.writer()).await? {
        SealOutcome::Alive => Ok(false),
        SealOutcome::Sealed(successor) => {
            traffic.logs.record_sealed(writer, successor);
            Ok(successor == own_log.writer())
        }
    }
}

/// Whether a chain of successors leads to this entry's log.
async fn leads_here(traffic: &Traffic, own_log: &Handle, mut successor: Incarnation) -> bool {
    while successor != own_log.writer() {
        let found = log::read_writer(&traffic.shared.client, successor).await;
        let Ok(Some(WriterSnapshot { row, .. })) = found else {
            return false;
        };
        let State::Sealed(next) = row.state else {
            return false;
        };
        successor = next;
    }
    true
}

/// Confirms on fresh connections that a log's process no longer responds.
async fn is_gone(traffic: &Rc<Traffic>, found: &WriterSnapshot) -> bool {
    let row = &found.row;
    if row.process == traffic.shared.identity.incarnation {
        // An earlier log of this process, which ended for a reason other than a seal.
        return traffic.log().is_ok_and(|log| log.writer() != found.writer);
    }
    for _ in 0..PROBE_ATTEMPTS {
        let identity = &traffic.shared.identity;
        match Link::connect(&traffic.executor, row.address, &traffic.key, identity).await {
            Ok(link) => return link.peer().incarnation != row.process,
            Err(_) => smol::Timer::after(PROBE_DELAY.into()).await,
        };
    }
    true
}

/// A program that is being recorded in this entry's log.
struct Adoptee {
    id: units::Program,
    program: Program,
    records: Vec<Record>,
}

impl Adoptee {
    /// Rebuilds a program from its history and the turns that witnesses hold.
    fn new(id: units::Program, history: &History, tail: &[Turn], at: Time) -> Option<Self> {
        let program = Program::replay(&history.events)?;
        let mut adoptee = Adoptee {
            id,
            program,
            records: Vec::new(),
        };
        if adoptee.program.ended().is_none() {
            let from = history.writer;
            adoptee.add(Event::Adopted { from, at });
            for turn in tail {
                if turn.call.seq == adoptee.program.next_seq() {
                    adoptee.add(Event::Recovered(turn.clone()));
                }
            }
        }
        Some(adoptee)
    }

    fn add(&mut self, event: Event) {
        self.program.apply(&event);
        self.records.push(Record {
            program: self.id,
            event,
        });
    }
}

/// Adopts the programs of a sealed log; returns how many were adopted.
async fn adopt(
    traffic: &Rc<Traffic>,
    own_log: &Arc<Handle>,
    writer: Incarnation,
    histories: Histories,
) -> log::Result<usize> {
    let at = traffic.shared.clock.now();
    let mut writers: Vec<Incarnation> = histories.values().map(|history| history.writer).collect();
    writers.sort_unstable();
    writers.dedup();
    let tails = outage::collect_tails(traffic, writers).await;
    let mut adoptees = Vec::new();
    for (id, history) in &histories {
        if traffic.owned_program(*id).is_some() {
            continue;
        }
        let tail = tails.get(id).map_or(&[][..], Vec::as_slice);
        match Adoptee::new(*id, history, tail, at) {
            Some(adoptee) => adoptees.push(adoptee),
            None => traffic.shared.metrics.count("history-broken"),
        }
    }
    let records = adoptees.iter().flat_map(|adoptee| &adoptee.records);
    let records: Vec<Record> = records.cloned().collect();
    for chunk in records.chunks(ADOPT_RECORDS_MAX) {
        own_log.append(chunk.to_vec()).await?;
    }
    let mut adopted = Vec::new();
    for Adoptee { id, program, .. } in adoptees {
        let live = LiveProgram::new(id, program, own_log.clone());
        traffic.add_program(live.clone());
        settle::start(traffic, &live);
        adopted.push(live);
    }
    let to = own_log.writer();
    traffic.logs.record_adopted(Adoption { from: writer, to });
    outage::notify_committed(traffic, tails.into_keys().collect());
    release_ended(traffic, &adopted);
    Ok(adopted.len())
}

/// Releases ended programs again, as the last owner may not have freed the engines' memory.
fn release_ended(traffic: &Rc<Traffic>, adopted: &[Rc<LiveProgram>]) {
    let ended = |live: &&Rc<LiveProgram>| live.program.borrow().ended().is_some();
    let ended: Vec<units::Program> = adopted.iter().filter(ended).map(|live| live.id).collect();
    let traffic = traffic.clone();
    let executor = traffic.executor.clone();
    let release = async move {
        for program in ended {
            links::release_program(&traffic, program);
        }
    };
    executor.spawn(release).detach();
}

/// The host that a connected process runs on.
pub(crate) fn host_of_process(traffic: &Traffic, process: Incarnation) -> Option<Host> {
    let links = traffic.links.borrow();
    links
        .iter()
        .find(|(_, link)| link.peer().incarnation == process && !link.is_closed())
        .map(|(host, _)| host.clone())
}
