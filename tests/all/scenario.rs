//! The language of the scenarios.
//!
//! A script is a list of commands, one a line: a verb, words and `key=value` options. A trailing `&`
//! runs a call in the background. What callers saw is printed and compared with the expected output;
//! `allow=` lists the outcomes between which timing may decide. `jitter` chooses the instant of the
//! next fault from the seed; all other waits are on conditions.

use std::collections::HashMap;
use std::fmt::Write;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use standins::engine;
use standins::link::Direction;

use crate::caller::{Answer, Caller};
use crate::cluster::{Cluster, Config};
use crate::history::{self, Attempt, History, Kind, Program, input};

/// Bound for a condition that a script waits for.
const AWAIT_MAX: Duration = Duration::from_secs(15);
/// Time between a caller's retries.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// One command.
struct Line<'a> {
    words: Vec<&'a str>,
    options: HashMap<&'a str, &'a str>,
    background: bool,
}

impl<'a> Line<'a> {
    fn parse(line: &'a str) -> Self {
        let (line, background) = match line.strip_suffix(" &") {
            Some(line) => (line, true),
            None => (line, false),
        };
        let (options, words) = line
            .split_whitespace()
            .partition::<Vec<_>, _>(|word| word.contains('='));
        let options = options.iter().filter_map(|option| option.split_once('='));
        Line {
            words,
            options: options.collect(),
            background,
        }
    }

    fn number(&self, key: &str, default: u64) -> u64 {
        self.options
            .get(key)
            .map_or(default, |value| value.parse().unwrap())
    }

    fn text(&self, key: &str, default: &'a str) -> &'a str {
        self.options.get(key).copied().unwrap_or(default)
    }

    /// Whether it is the second request for a call at the same time.
    fn is_again(&self) -> bool {
        self.words.last() == Some(&"again")
    }

    /// The entries that the caller tries in turn.
    fn entries(&self) -> Vec<u16> {
        let list = self.text("at", "0").split(',');
        list.map(|entry| entry.parse().unwrap()).collect()
    }
}

/// A call as a caller makes it.
pub struct Order {
    /// The program's name.
    pub program: String,
    /// The call's position.
    pub seq: u64,
    /// What it does.
    pub kind: Kind,
    /// Its input.
    pub input: String,
    /// The body of the request, without the token of the last answer.
    pub body: Value,
    /// The entries that the caller tries in turn.
    pub entries: Vec<u16>,
    /// How long the caller tries.
    pub patience: Duration,
}

/// A running scenario.
struct Stage {
    cluster: Cluster,
    history: History,
    running: HashMap<(String, u64, bool), JoinHandle<Answer>>,
    rng: StdRng,
    output: String,
    silenced: String,
    accepted: u64,
}

/// Runs a script with this seed and returns what callers saw.
pub fn run(script: &str, seed: u64) -> String {
    let mut lines = script.lines().filter(|line| !line.starts_with('#'));
    let mut stage = Stage {
        cluster: start(&Line::parse(lines.next().unwrap())),
        history: History::default(),
        running: HashMap::new(),
        rng: StdRng::seed_from_u64(seed),
        output: String::new(),
        silenced: String::new(),
        accepted: 0,
    };
    for line in lines {
        stage.step(&Line::parse(line));
    }
    for (_, call) in stage.running.drain() {
        call.join().unwrap();
    }
    stage.history.check(&stage.cluster);
    stage.output
}

fn start(line: &Line<'_>) -> Cluster {
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
        .with_document(&format!("[limits]\n{limits}"));
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

impl Stage {
    fn step(&mut self, line: &Line<'_>) {
        let words = line.words.clone();
        match words.as_slice() {
            ["create", name] => self.create(name, line),
            ["model" | "order" | "lookup" | "child", ..] => self.call(line),
            ["join", name, seq, ..] => self.join(name, seq.parse().unwrap(), line),
            ["foreign", owner, name, seq] => self.foreign(owner, name, seq.parse().unwrap(), line),
            ["end", name] => self.end(name, line),
            ["kill", process] => {
                let process = self.process(process);
                self.cluster.kill(&process);
            }
            ["pause", process] => self.cluster.pause(&self.process(process)),
            ["resume", process] => self.cluster.resume(process),
            ["stop", process] => self.cluster.stop(&self.process(process)),
            ["restart", process] => self.cluster.restart(process),
            ["silence", process] => self.silence(process, line),
            ["cut", process] => self.cluster.links[*process].cut(),
            ["store", state] => self.store(state),
            ["store"] => self.break_store(line),
            ["hang", "services"] => self.hang(true),
            ["await", condition @ ..] => self.wait(condition, line),
            ["jitter"] => {
                let ms = self.rng.random_range(0..=line.number("ms", 10));
                std::thread::sleep(Duration::from_millis(ms));
            }
            [] => {}
            other => panic!("unknown command {other:?}"),
        }
    }

    /// A process by name; `busy` is the sidecar of an engine that runs a call.
    fn process(&self, name: &str) -> String {
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
        self.add(name, id, account, tokens, None);
    }

    fn add(&mut self, name: &str, id: String, account: &str, tokens: u64, parent: Option<String>) {
        let program = Program {
            id,
            account: account.to_owned(),
            tokens,
            after: None,
            parent,
            ended: false,
        };
        self.history.programs().insert(name.to_owned(), program);
    }

    fn call(&mut self, line: &Line<'_>) {
        let (verb, name) = (line.words[0], line.words[1]);
        let seq: u64 = line.words[2].parse().unwrap();
        let text = line
            .options
            .get("text")
            .map_or_else(|| input(name, seq), |text| text.to_string());
        let (kind, body) = match verb {
            "model" => {
                let max = line.number("max", 16);
                let body =
                    json!({"seq": seq, "model": "advisor", "input": text, "max_tokens": max});
                (Kind::Model(max), body)
            }
            "order" => (
                Kind::Order,
                json!({"seq": seq, "service": "stock", "input": text}),
            ),
            "lookup" => (
                Kind::Lookup,
                json!({"seq": seq, "service": "catalogue", "input": text}),
            ),
            _ => {
                let (tokens, calls) = (line.number("tokens", 1_000), line.number("calls", 5));
                let program = json!({"tokens": tokens, "calls": calls});
                (
                    Kind::Child,
                    json!({"seq": seq, "program": program, "input": text}),
                )
            }
        };
        let order = Order {
            program: name.to_owned(),
            seq,
            kind,
            input: text,
            body,
            entries: line.entries(),
            patience: Duration::from_secs(line.number("patience", 0)),
        };
        let timeout = Duration::from_secs(line.number("timeout", 30));
        let (history, callers) = (self.history.clone(), self.callers(name, timeout));
        let call = std::thread::spawn(move || attempt(&history, &callers, &order));
        self.running
            .insert((name.to_owned(), seq, line.is_again()), call);
        if !line.background {
            self.join(name, seq, line);
        }
        if kind == Kind::Child {
            self.add_child(line);
        }
    }

    /// The caller of one program asks for a call of another's.
    fn foreign(&mut self, owner: &str, name: &str, seq: u64, line: &Line<'_>) {
        let caller = &self.callers(owner, AWAIT_MAX)[line.entries()[0] as usize];
        let id = self.history.programs()[name].id.clone();
        let answer = caller.service(&id, seq, "stock", &input(name, seq));
        writeln!(self.output, "{name} {seq}: {}", outcome(&answer)).unwrap();
    }

    fn callers(&self, name: &str, timeout: Duration) -> Vec<Caller> {
        let account = self.history.programs()[name].account.clone();
        (0..self.cluster.entries())
            .map(|entry| self.cluster.caller(entry, &account).with_timeout(timeout))
            .collect()
    }

    fn add_child(&mut self, line: &Line<'_>) {
        let id = {
            let attempts = self.history.attempts();
            attempts.last().unwrap().answer.end["program"]
                .as_str()
                .map(str::to_owned)
        };
        let (parent, child) = (line.words[1].to_owned(), line.words[3]);
        if let Some(id) = id {
            let account = self.history.programs()[&parent].account.clone();
            self.add(
                child,
                id,
                &account,
                line.number("tokens", 1_000),
                Some(parent),
            );
        }
    }

    fn join(&mut self, name: &str, seq: u64, line: &Line<'_>) {
        let call = self
            .running
            .remove(&(name.to_owned(), seq, line.is_again()))
            .unwrap();
        let answer = call.join().unwrap();
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
        self.ended(name);
    }

    fn ended(&self, name: &str) {
        for (other, program) in self.history.programs().iter_mut() {
            program.ended |= other == name || program.parent.as_deref() == Some(name);
        }
    }

    fn store(&mut self, state: &str) {
        let mut platform = self.cluster.platform.state();
        match state {
            "down" => platform.knobs.down = true,
            _ => platform.knobs = Default::default(),
        }
    }

    fn break_store(&mut self, line: &Line<'_>) {
        let mut platform = self.cluster.platform.state();
        platform.knobs.slow_ms = line.number("slow-ms", platform.knobs.slow_ms);
        platform.knobs.lose_answers = line.number("lose", 0) as u32;
    }

    /// Silences the connections that lead to a process, for good.
    fn silence(&mut self, process: &str, line: &Line<'_>) {
        let direction = match line.text("way", "both") {
            "to-server" => Direction::ToServer,
            "to-client" => Direction::ToClient,
            _ => Direction::Both,
        };
        let process = self.process(process);
        let link = &self.cluster.links[&process];
        self.accepted = link.accepted();
        self.silenced = process;
        link.silence(direction);
    }

    fn hang(&mut self, hangs: bool) {
        for service in &self.cluster.services {
            service.state().hangs = hangs;
        }
    }

    fn wait(&mut self, condition: &[&str], line: &Line<'_>) {
        let start = Instant::now();
        let bound = Duration::from_secs(line.number("within", AWAIT_MAX.as_secs()));
        let what = condition.join(" ");
        while !self.holds(condition, line) {
            let so_far = &self.output;
            assert!(
                start.elapsed() < bound,
                "not within {bound:?}: {what}, after\n{so_far}"
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
            ["exit", process] => self.cluster.ended(process).is_some(),
            ["used", name] => {
                let id = self.history.programs()[*name].id.clone();
                let used = history::used(&self.cluster, &id) >= line.number("tokens", 1);
                used || self.running.values().all(JoinHandle::is_finished)
            }
            ["reconnected"] => self.cluster.links[&self.silenced].accepted() > self.accepted,
            ["commits", name, "intent"] => self.has_intent(name),
            ["sees", entry] => {
                let status = self.cluster.status(entry.parse().unwrap());
                let endpoints = status["endpoints"].as_array().map_or(0, Vec::len);
                endpoints as u64 == line.number("endpoints", 3)
            }
            ["ready", entry] => self.cluster.is_ready(entry.parse().unwrap()),
            ["ended", name] => {
                let id = self.history.programs()[*name].id.clone();
                let account = self.cluster.explain(&id).unwrap_or_default();
                let ended = account["ended"]["cause"] == line.text("cause", "caller");
                if ended {
                    self.ended(name);
                }
                ended
            }
            ["calls", name] => {
                let program = self.history.programs()[*name].clone();
                history::history(&self.cluster, &program).len() as u64 == line.number("count", 0)
            }
            other => panic!("unknown condition {other:?}"),
        }
    }
}

impl Stage {
    /// Whether the announcement of a program's order is durable.
    fn has_intent(&self, name: &str) -> bool {
        let id = self.history.programs()[name].id.clone();
        let account = self.cluster.explain(&id).unwrap_or_default();
        account["pending"]
            .as_array()
            .is_some_and(|pending| !pending.is_empty())
    }
}

/// Makes a call as a patient caller does: it tries the next entry while it is told that the call did
/// not run or hears nothing.
pub fn attempt(history: &History, callers: &[Caller], order: &Order) -> Answer {
    let start = Instant::now();
    for entry in order.entries.iter().cycle() {
        let mut body = order.body.clone();
        if let Some(after) = &history.programs()[&order.program].after {
            body["after"] = json!(after);
        }
        let id = history.programs()[&order.program].id.clone();
        let answer = callers[*entry as usize].call(&id, &body);
        history.record(Attempt {
            program: order.program.clone(),
            seq: order.seq,
            kind: order.kind,
            input: order.input.clone(),
            answer: answer.clone(),
        });
        let settled = answer.is_whole() || answer.ran() == "unknown" || is_final(&answer);
        if settled || start.elapsed() >= order.patience {
            return answer;
        }
        std::thread::sleep(RETRY_DELAY);
    }
    unreachable!("a caller has an entry")
}

/// Whether repeating the request makes no sense.
fn is_final(answer: &Answer) -> bool {
    (400..500).contains(&answer.status)
}

/// What a caller saw, in one word or two.
fn outcome(answer: &Answer) -> String {
    if answer.is_whole() {
        return "whole".into();
    }
    match answer.ran() {
        "" => "broken".into(),
        ran => format!("{}-ran-{ran}", answer.code()),
    }
}
