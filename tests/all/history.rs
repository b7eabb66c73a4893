//! Records the answers that callers received and checks them against what the stand-ins ran.
//!
//! Each request is recorded with its answer. After a scenario the records, the counters of the
//! stand-ins and the histories that entries serve must satisfy the invariants of `History::check`.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::Value;
use standins::engine::expected;

use crate::caller::Answer;
use crate::cluster::{Cluster, eventually};

/// Bound for engines to free the memory of ended programs.
const RELEASE_MAX: Duration = Duration::from_secs(5);
/// Bound for a history to be readable again after a failure.
const HISTORY_MAX: Duration = Duration::from_secs(10);

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A model call with the maximum number of tokens of its answer.
    Model(u64),
    /// A call to a service that is not idempotent and must not run twice.
    Order,
    /// A call to an idempotent service, which may run more than once.
    Lookup,
    /// The start of a sub-agent.
    Child,
}

/// One request for a call and its answer.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Name of the program in the scenario.
    pub program: String,
    /// Position of the call in its program.
    pub seq: u64,
    /// Kind of the call.
    pub kind: Kind,
    /// Input of the call.
    pub input: String,
    /// Answer that the caller received.
    pub answer: Answer,
}

/// State that a caller keeps of its program.
#[derive(Clone, Debug)]
pub struct Program {
    /// Identifier assigned by the entry.
    pub id: String,
    /// Client account that created the program.
    pub account: String,
    /// Budget of the program, sub-agents included.
    pub budget_tokens: u64,
    /// Continuation token of the last answer, which later calls present as `after`.
    pub after: Option<String>,
    /// Name of the parent, if the program is a sub-agent.
    pub parent: Option<String>,
    /// Whether an entry has confirmed that the program has ended.
    pub ended: bool,
}

/// Programs and answers of all callers in a scenario.
#[derive(Clone, Debug, Default)]
pub struct History {
    programs: Arc<Mutex<BTreeMap<String, Program>>>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
}

impl History {
    /// Returns the programs by name.
    pub fn programs(&self) -> MutexGuard<'_, BTreeMap<String, Program>> {
        self.programs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the requests in the order of their answers.
    pub fn attempts(&self) -> MutexGuard<'_, Vec<Attempt>> {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a program that a caller has created.
    pub fn add(
        &self,
        name: &str,
        id: &str,
        account: &str,
        budget_tokens: u64,
        parent: Option<&str>,
    ) {
        let program = Program {
            id: id.to_owned(),
            account: account.to_owned(),
            budget_tokens,
            after: None,
            parent: parent.map(str::to_owned),
            ended: false,
        };
        self.programs().insert(name.to_owned(), program);
    }

    /// Records an answer and its continuation token.
    pub fn record(&self, attempt: Attempt) {
        if let Some(after) = attempt.answer.last_line["after"].as_str()
            && let Some(program) = self.programs().get_mut(&attempt.program)
        {
            program.after = Some(after.to_owned());
        }
        self.attempts().push(attempt);
    }

    /// Checks the invariants that hold after every scenario.
    pub fn check(&self, cluster: &Cluster) {
        self.check_orders(cluster);
        self.check_refusals(cluster);
        self.check_answers(cluster);
        self.check_budgets(cluster);
        self.check_memory(cluster);
    }

    /// Checks that orders ran at most once, exactly once if answered, and by ascending position.
    fn check_orders(&self, cluster: &Cluster) {
        let inputs = service_inputs(cluster);
        for attempt in self.attempts().iter().filter(|a| a.kind == Kind::Order) {
            let runs = inputs.iter().filter(|run| **run == attempt.input).count();
            assert!(runs <= 1, "{} ran {runs} times", attempt.input);
            if attempt.answer.is_complete() {
                assert_eq!(runs, 1, "{} was answered but did not run", attempt.input);
            }
        }
        let mut last: BTreeMap<&str, u64> = BTreeMap::new();
        for input in &inputs {
            let mut parts = input.split('/');
            let (Some(program), Some(seq)) = (parts.next(), parts.next()) else {
                continue;
            };
            let seq: u64 = seq.parse().unwrap();
            let previous = last.insert(program, seq).unwrap_or_default();
            assert!(previous <= seq, "{input} ran after call {previous}");
        }
    }

    /// Checks that a call has not run anywhere if every request for it was refused with `ran: no`.
    fn check_refusals(&self, cluster: &Cluster) {
        let attempts = self.attempts();
        let keys: BTreeSet<_> = attempts.iter().map(|a| (&a.program, a.seq)).collect();
        for (program, seq) in keys {
            let of_call = |a: &&Attempt| a.program == *program && a.seq == seq;
            if !attempts
                .iter()
                .filter(of_call)
                .all(|a| a.answer.ran() == "no")
            {
                continue;
            }
            let id = self.programs()[program].id.clone();
            let at_engines = cluster.engines.iter().any(|engine| {
                let prefix = format!("{id}.{seq}.");
                let state = engine.state();
                state.executions.keys().any(|key| key.starts_with(&prefix))
            });
            let input = input(program, seq);
            let at_services = service_inputs(cluster).contains(&input);
            assert!(
                !at_engines && !at_services,
                "{input} ran, but each request was refused with `ran: no`"
            );
        }
    }

    /// Checks that complete answers belong to their requests and that entries have them in history.
    fn check_answers(&self, cluster: &Cluster) {
        for (name, program) in self.programs().iter() {
            let attempts = self.attempts();
            let complete: Vec<&Attempt> = attempts
                .iter()
                .filter(|a| a.program == *name && a.answer.is_complete())
                .collect();
            if complete.is_empty() {
                continue;
            }
            let calls = read_calls(cluster, program);
            for attempt in complete {
                let call = &calls[attempt.seq as usize - 1];
                assert_eq!(call["seq"], attempt.seq);
                assert_eq!(call["input"], attempt.input);
                if attempt.kind != Kind::Child {
                    assert_eq!(call["answer"], attempt.answer.text, "{}", attempt.input);
                }
                match attempt.kind {
                    Kind::Model(max) => {
                        let prompt = prompt(&calls, attempt.seq);
                        assert_eq!(attempt.answer.text, expected(&prompt, max));
                    }
                    Kind::Order | Kind::Lookup => {
                        assert_eq!(attempt.answer.text, format!("done: {}", attempt.input));
                    }
                    Kind::Child => {}
                }
            }
        }
    }

    /// Checks that a program and its sub-agents used no more tokens than the budget of the program.
    fn check_budgets(&self, cluster: &Cluster) {
        let programs = self.programs();
        for (name, program) in programs.iter() {
            let members = programs
                .iter()
                .filter(|(other, member)| *other == name || member.parent.as_ref() == Some(name));
            let used: u64 = members
                .map(|(_, member)| used_tokens(cluster, &member.id))
                .sum();
            let budget = program.budget_tokens;
            assert!(used <= budget, "{name} used {used} tokens of {budget}");
        }
    }

    /// Checks that the engines free the memory of ended programs within `RELEASE_MAX`.
    fn check_memory(&self, cluster: &Cluster) {
        for (name, program) in self.programs().iter().filter(|(_, p)| p.ended) {
            eventually(RELEASE_MAX, &format!("memory of {name} is freed"), || {
                let mut engines = cluster.engines.iter();
                !engines.any(|engine| engine.state().cache.contains_key(&program.id))
            });
        }
    }
}

/// Returns the input of a call, which contains its program and position.
pub fn input(program: &str, seq: u64) -> String {
    format!("{program}/{seq}/how much?")
}

/// Returns the inputs that the services ran, in order for each service.
fn service_inputs(cluster: &Cluster) -> Vec<String> {
    let all = cluster.services.iter();
    all.flat_map(|service| service.state().inputs.clone())
        .collect()
}

/// Returns the tokens that the engines used for a program.
pub fn used_tokens(cluster: &Cluster, id: &str) -> u64 {
    let engines = cluster.engines.iter();
    engines
        .map(|engine| {
            engine
                .state()
                .used_tokens
                .get(id)
                .copied()
                .unwrap_or_default()
        })
        .sum()
}

/// Reads the calls of a program from a running entry.
pub fn read_calls(cluster: &Cluster, program: &Program) -> Vec<Value> {
    let mut calls = Value::Null;
    eventually(HISTORY_MAX, "an entry gives the history", || {
        let mut entries = (0..cluster.entry_count()).filter(|entry| cluster.is_started(*entry));
        entries.any(|entry| {
            let answer = cluster.caller(entry, &program.account).history(&program.id);
            let Some((200, history)) = answer else {
                return false;
            };
            calls = history["calls"].clone();
            true
        })
    });
    calls.as_array().unwrap().clone()
}

/// Returns the prompt of the call at `seq`: all earlier inputs and answers, then its own input.
fn prompt(calls: &[Value], seq: u64) -> String {
    let mut prompt = String::new();
    for call in &calls[..seq as usize] {
        prompt.push_str(call["input"].as_str().unwrap());
        if call["seq"] != seq {
            prompt.push_str(call["answer"].as_str().unwrap_or_default());
        }
    }
    prompt
}
