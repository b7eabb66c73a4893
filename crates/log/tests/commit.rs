//! The commit state machine against a table in memory, with lost responses, delayed transactions,
//! refusals and seals by another process.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::collections::{BTreeMap, VecDeque};

use program_log as log;
use program_log::{
    Batch, Call, Commit, Error, Event, Intent, Next, Record, Reply, Route, State, Successor,
    Writer, batch_key, open_key, writer_key,
};
use proptest::prelude::*;
use store::Outcome;
use store::api::Transaction;
use units::{Digest, Incarnation, Program, Seq, Slot, Time, Tokens, Version};

/// Longest row of the store, which takes 64 KiB of base64.
const ROW_MAX_BYTES: usize = 48 << 10;
const OWN: Incarnation = Incarnation(1);
const OTHER: Incarnation = Incarnation(2);
const OWN_SUCCESSOR: Incarnation = Incarnation(3);

/// A table with the store's transactions, in memory.
#[derive(Default)]
struct Table {
    version: u64,
    rows: BTreeMap<String, (u64, Vec<u8>)>,
    objects: BTreeMap<String, Vec<u8>>,
    delayed: VecDeque<Transaction>,
}

impl Table {
    fn version(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |(version, _)| *version)
    }

    fn commit(&mut self, transaction: &Transaction) -> Outcome {
        let is_stale = |check: &&store::api::Check| self.version(&check.key) != check.version;
        let conflicts: Vec<_> = transaction.checks.iter().filter(is_stale).collect();
        if !conflicts.is_empty() {
            return Outcome::Conflict(Vec::new());
        }
        self.version += 1;
        let version = self.version;
        for write in &transaction.writes {
            match &write.value {
                Some(value) => {
                    let row = (version, value.0.clone());
                    self.rows.insert(write.key.to_string(), row);
                }
                None => drop(self.rows.remove(write.key.as_str())),
            }
        }
        Outcome::Committed(version)
    }

    fn writer(&self) -> (Writer, u64) {
        let (version, bytes) = &self.rows[&writer_key(OWN)];
        (Writer::decode(bytes).unwrap(), *version)
    }

    fn batches(&self) -> Vec<Batch> {
        let next = self.writer().0.next_slot.0;
        let keys = (0..next).map(|slot| batch_key(OWN, Slot(slot)));
        keys.map(|key| self.batch(&self.rows[&key].1)).collect()
    }

    /// Decodes a row, or the object that it refers to by the identifier of the batch.
    fn batch(&self, row: &[u8]) -> Batch {
        assert!(row.len() <= ROW_MAX_BYTES);
        Batch::decode(row).unwrap_or_else(|_| {
            let id = row.last_chunk().copied().map(u64::from_be_bytes).unwrap();
            let key = format!("batch.{OWN}.{id:016x}");
            Batch::decode(&self.objects[&key]).unwrap()
        })
    }

    fn successor(&self, writer: Incarnation) -> Successor {
        let open_version = self.version(&open_key(writer));
        Successor {
            writer,
            open_version,
        }
    }

    fn seal(&mut self) {
        let (row, version) = self.writer();
        if row.state == State::Open {
            let transaction =
                log::seal_transaction(OWN, &row, version, self.successor(OTHER)).unwrap();
            assert!(matches!(self.commit(&transaction), Outcome::Committed(_)));
        }
    }
}

/// Fault of the store in one request.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// No fault: the request is served.
    None,
    /// The request is refused.
    Refuse,
    /// The transaction takes effect and its response is lost.
    LoseResponse,
    /// The response is lost and the transaction arrives later.
    Delay,
    /// Another process seals the log before the request is served.
    Seal,
    /// A delayed transaction arrives before the request is served.
    Arrive,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        8 => Just(Fault::None),
        2 => Just(Fault::Refuse),
        3 => Just(Fault::LoseResponse),
        3 => Just(Fault::Delay),
        1 => Just(Fault::Seal),
        3 => Just(Fault::Arrive),
    ]
}

fn write(table: &mut Table, transaction: &Transaction, fault: Fault) -> Reply {
    match fault {
        Fault::Refuse => return Reply::Refused,
        Fault::Delay => {
            table.delayed.push_back(transaction.clone());
            return Reply::Lost;
        }
        Fault::LoseResponse => {
            table.commit(transaction);
            return Reply::Lost;
        }
        Fault::Seal => table.seal(),
        Fault::Arrive => deliver_delayed(table),
        Fault::None => {}
    }
    match table.commit(transaction) {
        Outcome::Committed(version) => Reply::Committed(version),
        Outcome::Conflict(_) => Reply::Conflict,
    }
}

fn read(table: &mut Table, fault: Fault) -> Reply {
    match fault {
        Fault::Refuse | Fault::LoseResponse | Fault::Delay => return Reply::Unread,
        Fault::Seal => table.seal(),
        Fault::Arrive => deliver_delayed(table),
        Fault::None => {}
    }
    let (row, version) = table.writer();
    Reply::Row(row, version)
}

fn deliver_delayed(table: &mut Table) {
    if let Some(transaction) = table.delayed.pop_front() {
        table.commit(&transaction);
    }
}

fn drive(
    commit: &mut Commit,
    table: &mut Table,
    first_step: log::Result<Next>,
    faults: &mut impl Iterator<Item = Fault>,
) -> log::Result<Slot> {
    let mut next = first_step?;
    loop {
        let reply = match next {
            Next::Store { key, bytes } => match faults.next() {
                Some(Fault::Refuse | Fault::LoseResponse | Fault::Delay) => Reply::Refused,
                _ => {
                    assert!(bytes.len() > ROW_MAX_BYTES);
                    table.objects.insert(key, bytes);
                    Reply::Stored
                }
            },
            Next::Write(transaction) => {
                let fault = faults.next().unwrap_or(Fault::None);
                write(table, &transaction, fault)
            }
            Next::Read => read(table, faults.next().unwrap_or(Fault::None)),
            Next::Wait => Reply::Waited,
            Next::Done(slot) => return Ok(slot),
        };
        next = commit.step(reply)?;
    }
}

fn record(number: u64) -> Record {
    let program = Program {
        origin: OWN,
        number,
    };
    Record {
        program,
        event: Event::Tranche(Tokens(number)),
    }
}

/// Returns the records of a batch; some batches are longer than a row.
fn records(number: u64) -> Vec<Record> {
    if number % 6 != 5 {
        return vec![record(number)];
    }
    let call = Call {
        seq: Seq(number),
        digest: Digest::default(),
        target: None,
        input: vec![1; ROW_MAX_BYTES],
    };
    let route = Route {
        entry: "entry-0".parse().unwrap(),
        endpoint: "engine-0".parse().unwrap(),
        sidecar: OWN,
        attempt: 1,
        document: Version(1),
        why: String::new(),
        at: Time(0),
    };
    let event = Event::Intent(Intent { call, route });
    vec![Record {
        event,
        ..record(number)
    }]
}

/// Opens a log in an empty table, with two more open logs as possible successors.
fn open_log() -> (Table, Commit) {
    let address = "127.0.0.1:1".parse().unwrap();
    let row = Writer::new(OWN, "entry-0".parse().unwrap(), address);
    let mut table = Table::default();
    let transaction = log::open_transaction(OWN, &row).unwrap();
    assert!(matches!(table.commit(&transaction), Outcome::Committed(_)));
    for successor in [OTHER, OWN_SUCCESSOR] {
        let transaction = log::open_transaction(successor, &row).unwrap();
        assert!(matches!(table.commit(&transaction), Outcome::Committed(_)));
    }
    // The log's writer row was written first, as version 1.
    (table, Commit::new(OWN, row, 1))
}

#[test]
fn two_logs_cannot_be_sealed_in_favour_of_each_other() {
    let (mut table, mut commit) = open_log();
    let (row, version) = table.writer();
    let mut other = Commit::new(OTHER, row.clone(), 2);
    let (own_successor, other_successor) = (table.successor(OWN), table.successor(OTHER));
    let Next::Write(transaction) = other.begin_seal(own_successor).unwrap() else {
        unreachable!("a seal begins with its transaction");
    };
    assert!(matches!(table.commit(&transaction), Outcome::Committed(_)));
    let first_step = commit.begin_seal(other_successor);
    let sealed = drive(&mut commit, &mut table, first_step, &mut std::iter::empty());
    assert!(matches!(sealed, Err(Error::SuccessorNotOpen(OTHER))));
    assert_eq!(table.writer(), (row, version));
    let first_step = commit.begin_batch(vec![record(1)], 1);
    let appended = drive(&mut commit, &mut table, first_step, &mut std::iter::empty());
    assert_eq!(appended.unwrap(), Slot(0));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn acknowledged_batches_are_in_the_log_once_and_no_others(
        faults in prop::collection::vec(fault(), 1..60),
        batches in 1..12_u64,
        closes in any::<bool>(),
    ) {
        let (mut table, mut commit) = open_log();
        let mut faults = faults.into_iter();
        let mut acknowledged = Vec::new();
        let mut sealed_by_other = false;
        for number in 0..batches {
            let first_step = commit.begin_batch(records(number), number + 100);
            match drive(&mut commit, &mut table, first_step, &mut faults) {
                Ok(slot) => acknowledged.push((slot, number)),
                Err(Error::Sealed(_, by)) => {
                    prop_assert_eq!(by, OTHER);
                    sealed_by_other = true;
                    break;
                }
                Err(error) => return Err(TestCaseError::fail(error.to_string())),
            }
        }
        if closes && !sealed_by_other {
            let first_step = commit.begin_seal(table.successor(OWN_SUCCESSOR));
            let closed = drive(&mut commit, &mut table, first_step, &mut faults);
            sealed_by_other = matches!(closed, Err(Error::Sealed(..)));
            prop_assert!(closed.is_ok() || sealed_by_other);
        }
        let in_log = table.batches();
        // Delayed transactions that arrive after the end change nothing.
        while !table.delayed.is_empty() {
            deliver_delayed(&mut table);
        }
        prop_assert_eq!(table.batches(), in_log.clone());
        prop_assert_eq!(in_log.len(), acknowledged.len());
        for (batch, (slot, number)) in in_log.iter().zip(acknowledged) {
            prop_assert_eq!(batch.slot, slot);
            prop_assert_eq!(&batch.records, &records(number));
        }
        let state = table.writer().0.state;
        prop_assert!(!sealed_by_other || state == State::Sealed(OTHER));
        prop_assert!(!closes || sealed_by_other || state == State::Sealed(OWN_SUCCESSOR));
    }
}
