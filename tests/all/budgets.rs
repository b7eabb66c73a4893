//! Budgets under concurrency: parents and sub-agents use up their tokens while an entry is killed.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::caller::{Answer, Caller};
use crate::cluster::{Cluster, Config};
use crate::history::{History, Kind, input};
use crate::scenario::call_with_retries;
use crate::scenarios::seed_count;
use crate::script::Call;

const PROGRAMS: usize = 200;
const CALLERS: usize = 20;
const BUDGET_TOKENS: u64 = 200;
const CHILD_TOKENS: u64 = 80;
const ANSWER_TOKENS_MAX: u64 = 12;
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// A caller that sends each call to its first entry and retries at the other one.
struct Agent {
    history: History,
    callers: Vec<Caller>,
    first_entry: u16,
}

impl Agent {
    fn call(&self, name: &str, seq: u64, kind: Kind, body: Value) -> Answer {
        let call = Call {
            program: name.to_owned(),
            seq,
            kind,
            input: body["input"].as_str().unwrap_or_default().to_owned(),
            body,
            entries: vec![self.first_entry, 1 - self.first_entry],
            retry_timeout: CALL_TIMEOUT,
        };
        call_with_retries(&self.history, &self.callers, &call)
    }

    /// Makes model calls from position `first_seq` until one is refused.
    fn exhaust(&self, name: &str, first_seq: u64) {
        for seq in first_seq.. {
            let text = input(name, seq);
            let body = json!({"seq": seq, "model": "advisor", "input": text,
                "max_tokens": ANSWER_TOKENS_MAX});
            if !self
                .call(name, seq, Kind::Model(ANSWER_TOKENS_MAX), body)
                .is_complete()
            {
                return;
            }
        }
    }

    /// Runs a program and its sub-agent until the budgets of both are used up.
    fn run(&self, name: &str) {
        let body = json!({"class": "reorder", "tokens": BUDGET_TOKENS, "calls": 50}).to_string();
        let created = [self.first_entry, 1 - self.first_entry]
            .iter()
            .find_map(|entry| {
                let caller = &self.callers[usize::from(*entry)];
                let answer = caller.request("POST", "/v1/programs", Some(&body));
                // The entry may be killed after it sent the head of the response.
                answer?.1["program"].as_str().map(str::to_owned)
            });
        let Some(id) = created else {
            return;
        };
        self.history.add(name, &id, "meche", BUDGET_TOKENS, None);
        let create_child = json!({"seq": 1, "program": {"tokens": CHILD_TOKENS, "calls": 20}});
        let child = self.call(name, 1, Kind::Child, create_child);
        std::thread::scope(|scope| {
            if let Some(child_id) = child.last_line["program"].as_str() {
                let child_name = format!("{name}-child");
                self.history
                    .add(&child_name, child_id, "meche", CHILD_TOKENS, Some(name));
                scope.spawn(move || self.exhaust(&child_name, 1));
            }
            self.exhaust(name, 2);
        });
    }
}

fn run_programs(cluster: &mut Cluster, seed: u64) -> History {
    let history = History::default();
    let next_program = AtomicUsize::new(0);
    let mut rng = StdRng::seed_from_u64(seed);
    let kill_after_programs = rng.random_range(PROGRAMS / 10..PROGRAMS / 2);
    std::thread::scope(|scope| {
        for agent in 0..CALLERS {
            let callers =
                (0..2).map(|entry| cluster.caller(entry, "meche").with_timeout(CALL_TIMEOUT));
            let agent = Agent {
                history: history.clone(),
                callers: callers.collect(),
                first_entry: agent as u16 % 2,
            };
            let next_program = &next_program;
            scope.spawn(move || {
                loop {
                    let number = next_program.fetch_add(1, Ordering::Relaxed);
                    if number >= PROGRAMS {
                        return;
                    }
                    agent.run(&format!("p{number}"));
                }
            });
        }
        while next_program.load(Ordering::Relaxed) < kill_after_programs {
            std::thread::yield_now();
        }
        cluster.kill("entry-1");
    });
    history
}

#[test]
fn programs_and_sub_agents_race_for_the_last_tokens() {
    for seed in 0..seed_count() {
        println!("seed {seed}");
        let mut cluster = Config::new().start();
        let history = run_programs(&mut cluster, seed);
        let done = history
            .attempts()
            .iter()
            .filter(|a| a.answer.is_complete())
            .count();
        assert!(done > PROGRAMS, "only {done} calls were answered");
        history.check(&cluster);
    }
}
