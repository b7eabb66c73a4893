//! Budgets under a race: parents and sub-agents use their last tokens while an entry is killed.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::caller::Caller;
use crate::cluster::{Cluster, Config};
use crate::history::{Attempt, History, Kind, Program, input};
use crate::scenarios::seeds;

const PROGRAMS: usize = 200;
const CALLERS: usize = 20;
const BUDGET_TOKENS: u64 = 200;
const CHILD_TOKENS: u64 = 80;
const ANSWER_TOKENS: u64 = 12;
const CALL_MAX: Duration = Duration::from_secs(5);

/// One caller's way to make calls through one entry.
struct Agent {
    history: History,
    caller: Caller,
}

impl Agent {
    fn program(&self, name: &str, id: &str, tokens: u64, parent: Option<&str>) {
        let program = Program {
            id: id.to_owned(),
            account: "meche".to_owned(),
            tokens,
            after: None,
            parent: parent.map(str::to_owned),
            ended: false,
        };
        self.history.programs().insert(name.to_owned(), program);
    }

    /// Makes model calls until one is refused.
    fn exhaust(&self, name: &str, id: &str, first: u64) {
        for seq in first.. {
            let text = input(name, seq);
            let answer = self.caller.model(id, seq, &text, ANSWER_TOKENS);
            let whole = answer.is_whole();
            self.history.record(Attempt {
                program: name.to_owned(),
                seq,
                kind: Kind::Model(ANSWER_TOKENS),
                input: text,
                answer,
            });
            if !whole {
                return;
            }
        }
    }

    /// Runs a program and its sub-agent until both have used what they may.
    fn run(&self, name: &str) {
        let body = json!({"class": "reorder", "tokens": BUDGET_TOKENS, "calls": 50}).to_string();
        let created = self.caller.request("POST", "/v1/programs", Some(&body));
        let Some((201, created)) = created else {
            return;
        };
        let id = created["program"].as_str().unwrap();
        self.program(name, id, BUDGET_TOKENS, None);
        let carve = json!({"seq": 1, "program": {"tokens": CHILD_TOKENS, "calls": 20}});
        let child = self.caller.call(id, &carve);
        std::thread::scope(|scope| {
            if let Some(child_id) = child.end["program"].as_str() {
                let child_name = format!("{name}-child");
                self.program(&child_name, child_id, CHILD_TOKENS, Some(name));
                scope.spawn(move || self.exhaust(&child_name, child_id, 1));
            }
            self.exhaust(name, id, 2);
        });
    }
}

fn race(cluster: &mut Cluster, seed: u64) -> History {
    let history = History::default();
    let next = AtomicUsize::new(0);
    let mut rng = StdRng::seed_from_u64(seed);
    let killed_after = rng.random_range(PROGRAMS / 10..PROGRAMS / 2);
    std::thread::scope(|scope| {
        for agent in 0..CALLERS {
            let caller = cluster
                .caller(agent as u16 % 2, "meche")
                .with_timeout(CALL_MAX);
            let agent = Agent {
                history: history.clone(),
                caller,
            };
            let next = &next;
            scope.spawn(move || {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= PROGRAMS {
                        return;
                    }
                    agent.run(&format!("p{number}"));
                }
            });
        }
        while next.load(Ordering::Relaxed) < killed_after {
            std::thread::yield_now();
        }
        cluster.kill("entry-1");
    });
    history
}

#[test]
fn programs_and_sub_agents_race_for_the_last_tokens() {
    for seed in 0..seeds() {
        println!("seed {seed}");
        let mut cluster = Config::new().start();
        let history = race(&mut cluster, seed);
        let done = history
            .attempts()
            .iter()
            .filter(|a| a.answer.is_whole())
            .count();
        assert!(done > PROGRAMS, "only {done} calls were answered");
        history.check_budgets(&cluster);
        history.check_refusals(&cluster);
    }
}
