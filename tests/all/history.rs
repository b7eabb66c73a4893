//! What callers saw, and the checks of it against what the stand-ins were made to do.
//!
//! Each request is recorded with its answer. After a scenario the records, the stand-ins' counters
//! and the histories that entries give must agree on every point that must always hold.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::Value;
use standins::engine::expected;

use crate::caller::Answer;
use crate::cluster::{Cluster, eventually};

/// Bound for engine memory of ended programs to be freed.
const RELEASE_MAX: Duration = Duration::from_secs(5);
/// Bound for a history to be readable again after a failure.
const HISTORY_MAX: Duration = Duration::from_secs(10);

/// What a call does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A model call with its most tokens.
    Model(u64),
    /// An order, which must not run twice.
    Order,
    /// A call to a service that may run more than once.
    Lookup,
    /// The start of a sub-agent.
    Child,
}

/// One request for a call and its answer.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The program's name in the scenario.
    pub program: String,
    /// The call's position.
    pub seq: u64,
    /// What it does.
    pub kind: Kind,
    /// Its input.
    pub input: String,
    /// What its caller saw.
    pub answer: Answer,
}

/// A program as its caller knows it.
#[derive(Clone, Debug)]
pub struct Program {
    /// Its identifier.
    pub id: String,
    /// Its account.
    pub account: String,
    /// Its budget.
    pub tokens: u64,
    /// The token of its last answer.
    pub after: Option<String>,
    /// Its parent's name.
    pub parent: Option<String>,
    /// Whether its caller was told that it has ended.
    pub ended: bool,
}

/// All that callers saw in a scenario.
#[derive(Clone, Debug, Default)]
pub struct History {
    programs: Arc<Mutex<BTreeMap<String, Program>>>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
}

impl History {
    /// The programs by name.
    pub fn programs(&self) -> MutexGuard<'_, BTreeMap<String, Program>> {
        self.programs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The requests in the order of their answers.
    pub fn attempts(&self) -> MutexGuard<'_, Vec<Attempt>> {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a program that its caller has created.
    pub fn add(&self, name: &str, id: &str, account: &str, tokens: u64, parent: Option<&str>) {
        let program = Program {
            id: id.to_owned(),
            account: account.to_owned(),
            tokens,
            after: None,
            parent: parent.map(str::to_owned),
            ended: false,
        };
        self.programs().insert(name.to_owned(), program);
    }

    /// Records an answer and keeps its token.
    pub fn record(&self, attempt: Attempt) {
        if let Some(after) = attempt.answer.end["after"].as_str()
            && let Some(program) = self.programs().get_mut(&attempt.program)
        {
            program.after = Some(after.to_owned());
        }
        self.attempts().push(attempt);
    }

    /// Checks everything that must always hold.
    pub fn check(&self, cluster: &Cluster) {
        self.check_orders(cluster);
        self.check_refusals(cluster);
        self.check_answers(cluster);
        self.check_budgets(cluster);
        self.check_memory(cluster);
    }

    /// Orders ran at most once, in their order, and not at all if every caller was told so.
    fn check_orders(&self, cluster: &Cluster) {
        let inputs = inputs(cluster);
        for attempt in self.attempts().iter().filter(|a| a.kind == Kind::Order) {
            let runs = inputs.iter().filter(|run| **run == attempt.input).count();
            assert!(runs <= 1, "{} ran {runs} times", attempt.input);
            if attempt.answer.is_whole() {
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
            let before = last.insert(program, seq).unwrap_or_default();
            assert!(before <= seq, "{input} ran after call {before}");
        }
    }

    /// A call of which every request was told `ran: no` has not run anywhere.
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
            let at_services = inputs(cluster).contains(&input);
            assert!(
                !at_engines && !at_services,
                "{input} ran, callers were told no"
            );
        }
    }

    /// Whole answers are the ones to their own requests, and the histories contain them all.
    fn check_answers(&self, cluster: &Cluster) {
        for (name, program) in self.programs().iter() {
            let attempts = self.attempts();
            let whole: Vec<&Attempt> = attempts
                .iter()
                .filter(|a| a.program == *name && a.answer.is_whole())
                .collect();
            if whole.is_empty() {
                continue;
            }
            let calls = history(cluster, program);
            for attempt in whole {
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

    /// The engines used no more tokens than a program and its sub-agents were given.
    fn check_budgets(&self, cluster: &Cluster) {
        let programs = self.programs();
        for (name, program) in programs.iter() {
            let members = programs
                .iter()
                .filter(|(other, member)| *other == name || member.parent.as_ref() == Some(name));
            let used: u64 = members.map(|(_, member)| used(cluster, &member.id)).sum();
            let budget = program.tokens;
            assert!(used <= budget, "{name} used {used} tokens of {budget}");
        }
    }

    /// The engines free the memory of ended programs in time.
    fn check_memory(&self, cluster: &Cluster) {
        for (name, program) in self.programs().iter().filter(|(_, p)| p.ended) {
            eventually(RELEASE_MAX, &format!("memory of {name} is freed"), || {
                let mut engines = cluster.engines.iter();
                !engines.any(|engine| engine.state().cache.contains_key(&program.id))
            });
        }
    }
}

/// The input of a call: it names its program and position.
pub fn input(program: &str, seq: u64) -> String {
    format!("{program}/{seq}/how much?")
}

/// What the services ran, in order.
fn inputs(cluster: &Cluster) -> Vec<String> {
    let all = cluster.services.iter();
    all.flat_map(|service| service.state().inputs.clone())
        .collect()
}

/// Tokens that the engines used for a program.
pub fn used(cluster: &Cluster, id: &str) -> u64 {
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

/// The calls of a program as a live entry gives them.
pub fn history(cluster: &Cluster, program: &Program) -> Vec<Value> {
    let mut calls = Value::Null;
    eventually(HISTORY_MAX, "an entry gives the history", || {
        let mut entries = (0..cluster.entries()).filter(|entry| cluster.is_started(*entry));
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

/// The prompt of the call at `seq`: what went before and its own input.
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
