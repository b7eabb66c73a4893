//! Starts gateways and workers as processes and speaks to them as a client. Ends what it started.

use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{Channel, Message};
use crate::platform::Platform;

pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error + Send + Sync>>;

/// Record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn line(&self, line: &str) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{:8.3}  {line}", self.started.elapsed().as_secs_f64());
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Waits until this many seconds after the start.
    pub fn wait_until(&self, seconds: f64) {
        let left = seconds - self.seconds();
        if left > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(left));
        }
    }
}

/// A process that is killed when this is dropped.
struct Process(Mutex<Child>);

impl Process {
    fn new(child: Child) -> Self {
        Process(Mutex::new(child))
    }

    fn child(&self) -> MutexGuard<'_, Child> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends SIGKILL, and waits for the end of the process.
    fn kill(&self) {
        let mut child = self.child();
        // A process that has ended already is not an error.
        let _ = child.kill();
        let _ = child.wait();
    }

    fn has_ended(&self) -> bool {
        matches!(self.child().try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Gateway {
    pub name: String,
    zone: String,
    pub address: SocketAddr,
    pub ready_address: SocketAddr,
    process: Process,
}

pub struct Worker {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    process: Process,
}

/// What a worker has printed of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub worker: String,
    pub request: String,
    /// Hash of its body.
    pub hash: String,
}

pub struct Fleet {
    pub platform: Platform,
    pub record: Record,
    pub gateways: Vec<Gateway>,
    pub workers: Vec<Worker>,
    /// Requests that workers began to run, in order.
    pub runs: Arc<Mutex<Vec<Run>>>,
    deployment: &'static Deployment,
    folder: PathBuf,
    next_id: Mutex<u64>,
}

/// A small deployment: its zones with their regions, the rows of its first manifest and its engines.
pub struct Deployment {
    pub zones: [(&'static str, &'static str); 3],
    pub engine_service: &'static str,
    pub plain_service: &'static str,
    pub engine_slots: u32,
    pub engine_gap_ms: u64,
    /// Tokens of each event, as the manifest states it in `EventStride`.
    pub event_tokens: u64,
    pub manifest: &'static str,
}

/// The Mèche Royale deployment, after its sheet.
pub const MECHE: Deployment = Deployment {
    zones: [
        ("port-louis", "north-island"),
        ("pamplemousses", "north-island"),
        ("curepipe", "south-island"),
    ],
    engine_service: "advisor-models",
    plain_service: "franchise-app",
    engine_slots: 48,
    engine_gap_ms: 8,
    event_tokens: 3,
    manifest: r#"{"Version":7,"Routes":[
{"Name":"wick-advice","Host":"app.example","Prefix":"/turn/kept/","Type":"streaming","TimeoutMs":5000,"SloMs":300,"Priority":1,"Service":"advisor-models","MaxAttempts":1,"Retain":true,"RetainS":60.0,"SessionAffinity":true,"CanResume":false,"GapTargetMs":400},
{"Name":"reorder-draft","Host":"app.example","Prefix":"/turn/whole/","Type":"streaming","TimeoutMs":5000,"SloMs":300,"Priority":0,"Service":"advisor-models","MaxAttempts":1,"Retain":false,"RetainS":60.0,"SessionAffinity":true,"CanResume":true,"GapTargetMs":400},
{"Name":"stock-lookup","Host":"app.example","Prefix":"/safe/","Type":"safe","TimeoutMs":1200,"SloMs":150,"Priority":2,"Service":"franchise-app","MaxAttempts":2},
{"Name":"pallet-reserve","Host":"app.example","Prefix":"/unsafe/","Type":"unsafe","TimeoutMs":3000,"SloMs":400,"Priority":2,"Service":"franchise-app","MaxAttempts":1}],
"Services":[
{"Name":"advisor-models","HealthPath":"/healthz","MaxConns":310,"Protocol":"h1","Tls":false,"Engine":{"Slots":48,"KvCacheTokens":176657,"KvTokenBytes":163840,"LinkMbps":350000.0,"Moves":true,"Backups":true,"EventStride":3,"most":12,"PinMs":4000.0,"HoldMs":2000.0,"handle_s":5.0,"Models":[{"Name":"m"}]}},
{"Name":"franchise-app","HealthPath":"/healthz","MaxConns":110,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#,
};

/// The Pindan deployment, after its sheet.
pub const PINDAN: Deployment = Deployment {
    zones: [
        ("carnarvon", "wa-north"),
        ("gascoyne", "wa-north"),
        ("perth-hills", "wa-south"),
    ],
    engine_service: "frond-agents",
    plain_service: "grove-records",
    engine_slots: 12,
    engine_gap_ms: 30,
    event_tokens: 4,
    manifest: r#"{"Version":7,"Routes":[
{"Name":"safety-check","Host":"app.example","Prefix":"/turn/kept/","Type":"streaming","TimeoutMs":4000,"SloMs":300,"Priority":1,"Service":"frond-agents","MaxAttempts":1,"Retain":true,"RetainS":60.0,"SessionAffinity":true,"CanResume":false,"GapTargetMs":300},
{"Name":"round-plan","Host":"app.example","Prefix":"/turn/whole/","Type":"streaming","TimeoutMs":4000,"SloMs":300,"Priority":0,"Service":"frond-agents","MaxAttempts":1,"Retain":false,"RetainS":60.0,"SessionAffinity":true,"CanResume":true,"GapTargetMs":300},
{"Name":"palm-lookup","Host":"app.example","Prefix":"/safe/","Type":"safe","TimeoutMs":1500,"SloMs":300,"Priority":2,"Service":"grove-records","MaxAttempts":2},
{"Name":"harvest-log","Host":"app.example","Prefix":"/unsafe/","Type":"unsafe","TimeoutMs":6000,"SloMs":1000,"Priority":2,"Service":"grove-records","MaxAttempts":1}],
"Services":[
{"Name":"frond-agents","HealthPath":"/healthz","MaxConns":150,"Protocol":"h1","Tls":false,"Engine":{"Slots":12,"KvCacheTokens":195659,"KvTokenBytes":327680,"LinkMbps":570000.0,"Moves":true,"Backups":true,"EventStride":4,"most":12,"PinMs":4000.0,"HoldMs":2000.0,"handle_s":5.0,"Models":[{"Name":"m"}]}},
{"Name":"grove-records","HealthPath":"/healthz","MaxConns":100,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#,
};

impl Fleet {
    /// Starts the store with the first manifest, `workers` of each service and a gateway in each of
    /// `zones`; returns when all gateways are ready.
    pub fn start(
        record_path: &Path,
        deployment: &'static Deployment,
        zones: &[&str],
        engines: usize,
        services: usize,
    ) -> Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let record = Record {
            file: Arc::new(Mutex::new(File::create(record_path)?)),
            started: Instant::now(),
        };
        let platform = Platform::start()?;
        platform.put("op", "config", deployment.manifest);
        let mut fleet = Fleet {
            platform,
            record,
            gateways: Vec::new(),
            workers: Vec::new(),
            runs: Arc::default(),
            deployment,
            folder,
            next_id: Mutex::new(0),
        };
        for index in 0..engines {
            let zone = deployment.zones[index % 3].0;
            fleet.add_worker(deployment.engine_service, zone, deployment.engine_gap_ms)?;
        }
        for index in 0..services {
            let zone = deployment.zones[index % 3].0;
            fleet.add_worker(deployment.plain_service, zone, 20)?;
        }
        for (index, zone) in zones.iter().enumerate() {
            fleet.add_gateway(&format!("front-{zone}-{}", index + 1), zone)?;
        }
        fleet.wait_ready(Duration::from_secs(10))?;
        // Feeds of all tables have begun, and the gateways know each other.
        std::thread::sleep(Duration::from_secs(2));
        Ok(fleet)
    }

    /// Starts a worker, which registers as ready; `gap_ms` is its pause before each event or answer.
    pub fn add_worker(&mut self, service: &str, zone: &str, gap_ms: u64) -> Result<()> {
        let id = format!(
            "i-{:08x}",
            0x7f3a_91c2_u32.wrapping_add(self.workers.len() as u32 * 77_777)
        );
        let program = std::env::current_exe()?;
        let mut child = Command::new(program)
            .args(["worker", &id, &gap_ms.to_string()])
            .arg(self.deployment.event_tokens.to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let mut lines = BufReader::new(child.stdout.take().ok_or("no output")?).lines();
        let process = Process::new(child);
        let first = lines.next().ok_or("worker did not start")??;
        let address = first
            .strip_prefix("listening ")
            .ok_or("unexpected line")?
            .parse()?;
        let (record, runs, name) = (self.record.clone(), self.runs.clone(), id.clone());
        std::thread::spawn(move || {
            for line in lines.map_while(std::result::Result::ok) {
                if let Some(rest) = line.strip_prefix("run ") {
                    let mut words = rest.split(' ').map(str::to_owned);
                    let run = Run {
                        worker: name.clone(),
                        request: words.next().unwrap_or_default(),
                        hash: words.last().unwrap_or_default().replace("hash=", ""),
                    };
                    runs.lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push(run);
                }
                record.line(&format!("worker {name}: {line}"));
            }
        });
        self.workers.push(Worker {
            id,
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            process,
        });
        let index = self.workers.len() - 1;
        self.register(index, "ready");
        Ok(())
    }

    /// Writes the entry of a worker.
    pub fn register(&self, index: usize, state: &str) {
        let worker = &self.workers[index];
        let is_engine = worker.service == self.deployment.engine_service;
        let slots = if is_engine {
            self.deployment.engine_slots
        } else {
            6
        };
        let entry = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\
             \"Slots\":{slots},\"State\":\"{state}\",\"ColdLeftMs\":0,\"Stage\":\"both\",\
             \"Models\":[{{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}}],\"CallSeq\":0,\
             \"born\":{}}}",
            worker.service,
            worker.address,
            worker.zone,
            1_770_000_000_000_u64 + index as u64
        );
        self.platform.put("servers", &worker.id, &entry);
    }

    /// Kills the process of a worker with SIGKILL. Its entry stays.
    pub fn kill_worker(&self, id: &str) -> Result<()> {
        let worker = self
            .workers
            .iter()
            .find(|worker| worker.id == id)
            .ok_or("no such worker")?;
        worker.process.kill();
        self.record.line(&format!("SIGKILL to worker {id}"));
        Ok(())
    }

    /// Kills the process of a gateway with SIGKILL.
    pub fn kill_gateway(&self, index: usize) {
        self.gateways[index].process.kill();
        self.record
            .line(&format!("SIGKILL to gateway {}", self.gateways[index].name));
    }

    /// Starts a gateway with the command and the settings template of the deploy file.
    pub fn add_gateway(&mut self, name: &str, zone: &str) -> Result<()> {
        let ports = free_ports(3)?;
        let zones = self.deployment.zones;
        let region = zones
            .iter()
            .find(|(other, _)| *other == zone)
            .ok_or("unknown zone")?
            .1;
        let mut zone_lines = String::new();
        for (zone, region) in zones {
            zone_lines.push_str(&format!("{zone} = {region}\n"));
        }
        let template = std::fs::read_to_string("deploy/gateway.ini")?;
        let (begin, end) = ("{{#Zones}}", "{{/Zones}}");
        let section = template
            .find(begin)
            .zip(template.find(end))
            .ok_or("no section of zones")?;
        let settings = format!(
            "{}{zone_lines}{}",
            &template[..section.0],
            &template[section.1 + end.len()..]
        );
        let values = [
            ("NodeName", name.to_owned()),
            ("Region", region.to_owned()),
            ("Zone", zone.to_owned()),
            ("Listen.Front", format!("127.0.0.1:{}", ports[0])),
            ("Listen.Ready", format!("127.0.0.1:{}", ports[1])),
            ("Ip", "127.0.0.1".to_owned()),
            ("PortRange.0", ports[2].to_string()),
            ("Bounds.GraceS", "8".to_owned()),
            ("Provider.Address", self.platform.address.to_string()),
        ];
        let settings = values.iter().fold(settings, |text, (name, value)| {
            text.replace(&format!("{{{{{name}}}}}"), value)
        });
        let path = self.folder.join(format!("{name}.ini"));
        std::fs::write(&path, settings)?;
        let log = File::create(self.folder.join(format!("{name}.log")))?;
        let process = spawn_gateway(&path, log)?;
        self.gateways.push(Gateway {
            name: name.to_owned(),
            zone: zone.to_owned(),
            address: format!("127.0.0.1:{}", ports[0]).parse()?,
            ready_address: format!("127.0.0.1:{}", ports[1]).parse()?,
            process,
        });
        self.record.line(&format!("started gateway {name}"));
        Ok(())
    }

    /// Returns the id of a gateway's process.
    pub fn gateway_pid(&self, index: usize) -> u32 {
        self.gateways[index].process.child().id()
    }

    /// Waits until all gateways are ready. One that has ended, as another process took one of its ports,
    /// is started again with other ports.
    fn wait_ready(&mut self, limit: Duration) -> Result<()> {
        let deadline = Instant::now() + limit;
        while !self.gateways.iter().all(Gateway::is_ready) {
            if Instant::now() > deadline {
                return Err("the gateways are not ready".into());
            }
            for index in 0..self.gateways.len() {
                if self.gateways[index].process.has_ended() {
                    let ended = self.gateways.remove(index);
                    self.add_gateway(&ended.name, &ended.zone)?;
                    self.gateways[index..].rotate_right(1);
                }
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Ok(())
    }

    /// Returns a new request id.
    pub fn new_id(&self) -> String {
        let mut next = self.next_id.lock().unwrap_or_else(PoisonError::into_inner);
        *next += 1;
        format!("{:016x}", 0x9c41_d07b_e2a3_0000_u64 + *next)
    }

    /// Number of times that workers began to run a request.
    pub fn run_count(&self, id: &str) -> usize {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.iter().filter(|run| run.request == id).count()
    }

    /// Returns what workers began to run so far, in order.
    pub fn all_runs(&self) -> Vec<Run> {
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the worker that runs, or ran, a request.
    pub fn worker_of(&self, id: &str) -> Option<String> {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        let found = runs.iter().find(|run| run.request == id);
        found.map(|run| run.worker.clone())
    }

    /// Sends one request on a channel to a gateway, and records both.
    pub fn send_on(
        &self,
        channel: &mut Channel,
        gateway: usize,
        call: &Call,
    ) -> std::io::Result<Message> {
        let name = &self.gateways[gateway].name;
        self.record.line(&format!(
            "client: {} {} to {name}, {} bytes, previous {}",
            call.id,
            call.path,
            call.body.len(),
            call.previous.as_deref().unwrap_or("none")
        ));
        let timeout = Duration::from_millis(call.deadline_ms);
        let result = channel.send(&call.head(), &call.body, timeout);
        match &result {
            Ok(response) => self.record.line(&format!(
                "client: {} gets {} complete={} events={} {}",
                call.id,
                response.status(),
                response.is_complete,
                event_count(&response.body),
                refusal_text(response)
            )),
            Err(error) => self
                .record
                .line(&format!("client: {} gets no answer: {error}", call.id)),
        }
        result
    }

    /// Sends one request on a new channel.
    pub fn send(&self, gateway: usize, call: &Call) -> std::io::Result<Message> {
        let mut channel = Channel::connect(self.gateways[gateway].address)?;
        self.send_on(&mut channel, gateway, call)
    }

    /// Copies the last lines of the gateways' logs that contain `text` into the record.
    pub fn record_logs(&self, text: &[&str], most: usize) {
        for gateway in &self.gateways {
            let path = self.folder.join(format!("{}.log", gateway.name));
            let log = std::fs::read_to_string(path).unwrap_or_default();
            let lines: Vec<&str> = log
                .lines()
                .filter(|line| text.iter().any(|text| line.contains(text)))
                .collect();
            for line in lines.iter().rev().take(most).rev() {
                self.record
                    .line(&format!("log of {}: {line}", gateway.name));
            }
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.gateways.clear();
        self.workers.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Gateway {
    pub fn is_ready(&self) -> bool {
        let Ok(mut channel) = Channel::connect(self.ready_address) else {
            return false;
        };
        let head = "GET /-/readyz HTTP/1.1\r\nHost: ready\r\n";
        let response = channel.send(head, b"", Duration::from_secs(1));
        response.is_ok_and(|response| response.status() == 200)
    }
}

/// One request of a client.
#[derive(Clone, Debug, Default)]
pub struct Call {
    pub id: String,
    pub path: String,
    pub program: String,
    pub budget: u64,
    /// Most tokens that a turn may generate.
    pub most: u64,
    pub previous: Option<String>,
    pub body: Vec<u8>,
    pub deadline_ms: u64,
    pub finish_ms: u64,
    /// Time until a turn that has failed is sent again: 100 to 400 ms.
    pub resend_ms: u64,
}

impl Call {
    fn head(&self) -> String {
        let mut head = format!(
            "POST {} HTTP/1.1\r\nHost: app.example\r\nRequest-Id: {}\r\nProgram-Id: {}\r\n\
             Session-Id: s-{}\r\nFinish-Ms: {}\r\nDeadline-Ms: {}\r\n",
            self.path, self.id, self.program, self.program, self.finish_ms, self.deadline_ms
        );
        if self.most > 0 {
            head.push_str(&format!(
                "Model: m\r\nToken-Budget: {}\r\nToken-Usage: {},{}\r\nPrompt-Prefix: {:x}:{}\r\n",
                self.budget,
                self.body.len(),
                self.most,
                self.body.len() + 1,
                self.body.len()
            ));
        }
        if let Some(previous) = &self.previous {
            head.push_str(&format!("Previous-Turn: {previous}\r\n"));
        }
        head
    }
}

/// Times that a client sends a turn that has failed: from its start, and twice more.
const TURN_SENDS: usize = 3;

/// Outcome of a turn after all tries of its client.
#[derive(Clone, Debug, Default)]
pub struct Turn {
    /// Identifier of the attempt that was answered whole, if any.
    pub answered: Option<String>,
    /// Identifiers and statuses of all attempts; 0 stands for no answer.
    pub tries: Vec<(String, u16)>,
    pub tokens: u64,
}

impl Fleet {
    /// Sends a turn as a client does: an attempt and one retry at another gateway, and after .1 to
    /// .4 s the whole turn again, at most twice. `gateways` are those that the client reaches.
    pub fn send_turn(&self, gateways: &[usize], call: &Call) -> Turn {
        let mut turn = Turn::default();
        for send in 0..TURN_SENDS {
            for retry in 0..2 {
                let index = gateways[(send + retry) % gateways.len()];
                let call = Call {
                    id: self.new_id(),
                    ..call.clone()
                };
                let response = self.send(index, &call);
                let status = response.as_ref().map_or(0, Message::status);
                turn.tries.push((call.id.clone(), status));
                let Ok(response) = response else {
                    break;
                };
                turn.tokens += event_count(&response.body) * self.deployment.event_tokens;
                match status {
                    200 if response.is_complete => {
                        turn.answered = Some(call.id);
                        return turn;
                    }
                    400 | 401 | 402 | 403 | 404 | 413 => return turn,
                    // A promise that it has not run: the client retries after the time named.
                    429 | 503 => {
                        let named = response.header("retry-after");
                        let seconds = named.and_then(|text| text.parse().ok()).unwrap_or(0.0_f64);
                        std::thread::sleep(Duration::from_secs_f64(seconds));
                    }
                    _ => break,
                }
            }
            std::thread::sleep(Duration::from_millis(call.resend_ms));
        }
        turn
    }
}

/// Number of whole events in the body of an answer.
pub fn event_count(body: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(body);
    text.matches("\ndata: ").count() as u64
}

fn refusal_text(response: &Message) -> String {
    if response.status() == 200 {
        return String::new();
    }
    let retry = response.header("retry-after").unwrap_or("none");
    let text = String::from_utf8_lossy(&response.body);
    format!("retry-after={retry} {}", text.trim())
}

/// Starts a gateway with the command of the deploy file.
fn spawn_gateway(settings: &Path, log: File) -> Result<Process> {
    let child = Command::new("target/release/balsamhold")
        .arg("gateway")
        .arg("--settings")
        .arg(settings)
        .env_clear()
        .env("BALSAMHOLD_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    Ok(Process::new(child))
}

/// Returns the resident memory of a process; 0 if it has ended.
pub fn resident_bytes(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    kilobytes.unwrap_or(0_u64) * 1_024
}

fn free_ports(count: usize) -> Result<Vec<u16>> {
    let listeners: std::result::Result<Vec<_>, _> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0"))
        .collect();
    let ports = listeners?;
    let ports = ports
        .iter()
        .map(|listener| Ok(listener.local_addr()?.port()));
    ports.collect()
}
