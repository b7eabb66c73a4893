//! Interpreter of the scenario scripts.
//!
//! A script has one command in each line: a verb, its arguments and `key=value` options. A trailing
//! `&` runs a call in the background. The outcome of each call is written to the output, which is
//! compared with the expected output; `allow=` lists the outcomes that are possible depending on
//! timing. `jitter` sleeps for a time drawn from the seed, to vary the moment of the next fault; all
//! other waits are on conditions.

use std::collections::HashMap;
use std::fmt::Write;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use standins::engine;
use standins::link::Direction;

use crate::caller::{Answer, Caller};
use crate::cluster::{Cluster, Config};
use crate::history::{self, Attempt, History, Kind, input};
use crate::script::{Call, Line};

/// Default bound for a condition that a script waits for.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(15);
/// Time between the retries of a caller.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// A running scenario.
struct Runner {
    cluster: Cluster,
    history: History,
    /// Calls that run, by program, position and whether it is the second request for the call.
    running: HashMap<(String, u64, bool), JoinHandle<Answer>>,
    rng: StdRng,
    output: String,
    silenced_process: String,
    /// Number of connections that the link to `silenced_process` had accepted before the silence.
    accepted_before: u64,
}

/// Runs a script with a seed, checks the invariants and returns the outcomes of the calls.
pub fn run(script: &str, seed: u64) -> String {
    let mut lines = script.lines().filter(|line| !line.starts_with('#'));
    let mut runner = Runner {
        cluster: start_cluster(&Line::parse(lines.next().unwrap())),
        history: History::default(),
        running: HashMap::new(),
        rng: StdRng::seed_from_u64(seed),
        output: String::new(),
        silenced_process: String::new(),
        accepted_before: 0,
    };
    for line in lines {
        runner.run_command(&Line::parse(line));
    }
    for (_, handle) in runner.running.drain() {
        handle.join().unwrap();
    }
    runner.history.check(&runner.cluster);
    runner.output
}

fn start_cluster(line: &Line<'_>) -> Cluster {
    assert_eq!(line.words, ["start"]);
    let engine = engine::Config {
        token_us: line.number("token-us", 2_000),
        ..engine::Config::default()
    };
    let limits: String = line
        .options
        .iter()
        .filter_map(|(key, value)| Some(format!("{} = {value}\n", key.strip_prefix("limit.")?)))
        .collect();
    let config = Config::new()
        .with_entries(line.number("entries", 2) as u16)
        .with_engines(line.number("engines", 2) as u16)
        .with_engine(engine)
        .with_sections(&format!("[limits]\n{limits}"));
    let config = if line.text("links", "no") == "yes" {
        config.with_links()
    } else {
        config
    };
    let cluster = config.start();
    for service in &cluster.services {
        service.state().delay_ms = line.number("delay-ms", 2);
    }
    cluster
}

impl Runner {
    fn run_command(&mut self, line: &Line<'_>) {
        let words = line.words.clone();
        match words.as_slice() {
            ["create", name] => self.create(name, line),
            ["model" | "order" | "lookup" | "child", ..] => self.call(line),
            ["join", name, seq, ..] => self.join(name, seq.parse().unwrap(), line),
            ["foreign", owner, name, seq] => {
                self.call_foreign(owner, name, seq.parse().unwrap(), line)
            }
            ["end", name] => self.end(name, line),
            ["kill", process] => {
                let process = self.process_name(process);
                self.cluster.kill(&process);
            }
            ["pause", process] => self.cluster.pause(&self.process_name(process)),
            ["resume", process] => self.cluster.resume(process),
            ["stop", process] => self.cluster.stop(&self.process_name(process)),
            ["restart", process] => self.cluster.restart(process),
            ["silence", process] => self.silence(process, line),
            ["cut", process] => self.cluster.links[*process].cut(),
            ["store", state] => self.set_store_state(state),
            ["store"] => self.set_store_faults(line),
            ["hang", "services"] => self.hang_services(),
            ["await", condition @ ..] => self.wait_until(condition, line),
            ["jitter"] => {
                let ms = self.rng.random_range(0..=line.number("ms", 10));
                std::thread::sleep(Duration::from_millis(ms));
            }
            [] => {}
            other => panic!("unknown command {other:?}"),
        }
    }

    /// Resolves the name of a process; `busy` is the sidecar of an engine that runs a call.
    fn process_name(&self, name: &str) -> String {
        if name != "busy" {
            return name.to_owned();
        }
        let mut engines = self.cluster.engines.iter();
        let busy = engines.position(|engine| engine.state().running > 0);
        format!("sidecar-engine-{}", busy.expect("an engine runs a call"))
    }

    fn create(&mut self, name: &str, line: &Line<'_>) {
        let account = line.text("account", "meche");
        let caller = self.cluster.caller(line.entries()[0], account);
        let tokens = line.number("tokens", 20_000);
        let (class, calls) = (line.text("class", "reorder"), line.number("calls", 50));
        let mut body = json!({"class": class, "tokens": tokens, "calls": calls});
        if line.options.contains_key("deadline-ms") {
            body["deadline_ms"] = json!(line.number("deadline-ms", 0));
        }
        let created = caller.request("POST", "/v1/programs", Some(&body.to_string()));
        let created = created.unwrap().1;
        let id = created["program"].as_str().unwrap().to_owned();
        self.history.add(name, &id, account, tokens, None);
    }

    fn call(&mut self, line: &Line<'_>) {
        let call = line.call();
        let (name, seq, kind) = (call.program.clone(), call.seq, call.kind);
        let timeout = Duration::from_secs(line.number("timeout", 30));
        let (history, callers) = (self.history.clone(), self.callers(&name, timeout));
        let handle = std::thread::spawn(move || call_with_retries(&history, &callers, &call));
        self.running
            .insert((name.clone(), seq, line.is_repeat()), handle);
        if !line.background {
            self.join(&name, seq, line);
        }
        if kind == Kind::Child {
            self.add_child(line);
        }
    }

    /// Requests a call of a program with the credentials of the owner of another program.
    fn call_foreign(&mut self, owner: &str, name: &str, seq: u64, line: &Line<'_>) {
        let caller = &self.callers(owner, CONDITION_TIMEOUT)[line.entries()[0] as usize];
        let id = self.history.programs()[name].id.clone();
        let answer = caller.service(&id, seq, "stock", &input(name, seq));
        writeln!(self.output, "{name} {seq}: {}", outcome(&answer)).unwrap();
    }

    fn callers(&self, name: &str, timeout: Duration) -> Vec<Caller> {
        let account = self.history.programs()[name].account.clone();
        (0..self.cluster.entry_count())
            .map(|entry| self.cluster.caller(entry, &account).with_timeout(timeout))
            .collect()
    }

    fn add_child(&mut self, line: &Line<'_>) {
        let id = {
            let attempts = self.history.attempts();
            attempts.last().unwrap().answer.last_line["program"]
                .as_str()
                .map(str::to_owned)
        };
        let (parent, child) = (line.words[1].to_owned(), line.words[3]);
        if let Some(id) = id {
            let account = self.history.programs()[&parent].account.clone();
            let tokens = line.number("tokens", 1_000);
            self.history
                .add(child, &id, &account, tokens, Some(&parent));
        }
    }

    fn join(&mut self, name: &str, seq: u64, line: &Line<'_>) {
        let handle = self
            .running
            .remove(&(name.to_owned(), seq, line.is_repeat()))
            .unwrap();
        let answer = handle.join().unwrap();
        let outcome = outcome(&answer);
        let allowed = line.text("allow", "");
        let shown = if allowed.split('|').any(|one| one == outcome) {
            allowed
        } else {
            &outcome
        };
        writeln!(self.output, "{name} {seq}: {shown}").unwrap();
    }

    fn end(&mut self, name: &str, line: &Line<'_>) {
        let entry = line.entries()[0];
        let program = self.history.programs()[name].clone();
        let caller = self.cluster.caller(entry, &program.account);
        let status = caller.end(&program.id).map(|(status, _)| status);
        assert_eq!(status, Some(200), "end of {name} after\n{}", self.output);
        self.mark_ended(name);
    }

    fn mark_ended(&self, name: &str) {
        for (other, program) in self.history.programs().iter_mut() {
            program.ended |= other == name || program.parent.as_deref() == Some(name);
        }
    }

    fn set_store_state(&mut self, state: &str) {
        let mut platform = self.cluster.platform.state();
        match state {
            "down" => platform.knobs.down = true,
            _ => platform.knobs = Default::default(),
        }
    }

    fn set_store_faults(&mut self, line: &Line<'_>) {
        let mut platform = self.cluster.platform.state();
        platform.knobs.slow_ms = line.number("slow-ms", platform.knobs.slow_ms);
        platform.knobs.lose_answers = line.number("lose", 0) as u32;
    }

    /// Silences the open connections to a process permanently.
    fn silence(&mut self, process: &str, line: &Line<'_>) {
        let direction = match line.text("way", "both") {
            "to-server" => Direction::ToServer,
            "to-client" => Direction::ToClient,
            _ => Direction::Both,
        };
        let process = self.process_name(process);
        let link = &self.cluster.links[&process];
        self.accepted_before = link.accepted();
        self.silenced_process = process;
        link.silence(direction);
    }

    fn hang_services(&mut self) {
        for service in &self.cluster.services {
            service.state().hangs = true;
        }
    }

    fn wait_until(&mut self, condition: &[&str], line: &Line<'_>) {
        let start = Instant::now();
        let bound = Duration::from_secs(line.number("within", CONDITION_TIMEOUT.as_secs()));
        let description = condition.join(" ");
        while !self.holds(condition, line) {
            let so_far = &self.output;
            assert!(
                start.elapsed() < bound,
                "not within {bound:?}: {description}, after\n{so_far}"
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn holds(&mut self, condition: &[&str], line: &Line<'_>) -> bool {
        match condition {
            ["running"] => self
                .cluster
                .engines
                .iter()
                .any(|one| one.state().running > 0),
            ["ran", name, seq] => {
                let input = input(name, seq.parse().unwrap());
                let mut services = self.cluster.services.iter();
                services.any(|service| service.state().inputs.contains(&input))
            }
            ["exit", process] => self.cluster.exit_status(process).is_some(),
            ["used", name] => {
                let id = self.history.programs()[*name].id.clone();
                let is_reached =
                    history::used_tokens(&self.cluster, &id) >= line.number("tokens", 1);
                // No more tokens are used once all calls have ended.
                is_reached || self.running.values().all(JoinHandle::is_finished)
            }
            ["reconnected"] => {
                self.cluster.links[&self.silenced_process].accepted() > self.accepted_before
            }
            ["commits", name, "intent"] => self.has_intent(name),
            ["sees", entry] => {
                let status = self.cluster.status(entry.parse().unwrap());
                let endpoints = status["endpoints"].as_array().map_or(0, Vec::len);
                endpoints as u64 == line.number("endpoints", 3)
            }
            ["ready", entry] => self.cluster.is_ready(entry.parse().unwrap()),
            ["ended", name] => {
                let id = self.history.programs()[*name].id.clone();
                let explanation = self.cluster.explain(&id).unwrap_or_default();
                let ended = explanation["ended"]["cause"] == line.text("cause", "caller");
                if ended {
                    self.mark_ended(name);
                }
                ended
            }
            ["calls", name] => {
                let program = self.history.programs()[*name].clone();
                history::read_calls(&self.cluster, &program).len() as u64 == line.number("count", 0)
            }
            other => panic!("unknown condition {other:?}"),
        }
    }
}

impl Runner {
    /// Returns whether the intent of an order of the program is durable.
    fn has_intent(&self, name: &str) -> bool {
        let id = self.history.programs()[name].id.clone();
        let explanation = self.cluster.explain(&id).unwrap_or_default();
        explanation["pending"]
            .as_array()
            .is_some_and(|pending| !pending.is_empty())
    }
}

/// Makes a call and retries it at the next entry until its answer is complete, it is refused with a
/// 4xx status or with `ran: unknown`, or its retry timeout has passed.
pub fn call_with_retries(history: &History, callers: &[Caller], call: &Call) -> Answer {
    let start = Instant::now();
    for entry in call.entries.iter().cycle() {
        let mut body = call.body.clone();
        if let Some(after) = &history.programs()[&call.program].after {
            body["after"] = json!(after);
        }
        let id = history.programs()[&call.program].id.clone();
        let answer = callers[*entry as usize].call(&id, &body);
        history.record(Attempt {
            program: call.program.clone(),
            seq: call.seq,
            kind: call.kind,
            input: call.input.clone(),
            answer: answer.clone(),
        });
        let settled = answer.is_complete() || answer.ran() == "unknown" || is_final(&answer);
        if settled || start.elapsed() >= call.retry_timeout {
            return answer;
        }
        std::thread::sleep(RETRY_DELAY);
    }
    unreachable!("a call has at least one entry")
}

/// Returns whether a repeated request would be refused in the same way.
fn is_final(answer: &Answer) -> bool {
    (400..500).contains(&answer.status)
}

/// Returns the outcome of a call as written in scripts.
fn outcome(answer: &Answer) -> String {
    if answer.is_complete() {
        return "whole".into();
    }
    match answer.ran() {
        "" => "broken".into(),
        ran => format!("{}-ran-{ran}", answer.code()),
    }
}
