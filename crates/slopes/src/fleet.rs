//! Entries and sidecars as separate processes, with stand-ins in this process.

use std::fs::File;
use std::io::{Error, ErrorKind, Result};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use http_types::{Body, Method};
use serde_json::{Value, json};
use standins::link::{self, Link};
use standins::{Handle, engine, platform};
use store::api::{HostInfo, HostRole};
use units::Digest;

use crate::sample::Sample;

const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
const OPERATOR_TOKEN: &str = "operator-token";
const CALLER_TOKEN: &str = "caller-token";
const START_TIMEOUT: Duration = Duration::from_secs(60);
const START_POLL: Duration = Duration::from_millis(100);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Running entries and sidecars, which are killed on drop.
pub struct Fleet {
    /// Stand-in of the platform's store.
    pub platform: Handle<platform::State>,
    /// Stand-in of the model engine, which all sidecars share.
    pub engine: Handle<engine::State>,
    address: Ipv4Addr,
    directory: PathBuf,
    entries: Vec<Child>,
    sidecars: Vec<Child>,
    links: Vec<Link>,
}

impl Fleet {
    /// Starts the `balsamhold` in `binaries` as so many entries and sidecars, on a loopback address
    /// whose last byte is `set`.
    pub fn start(binaries: &Path, set: u8, entries: u16, sidecars: u16) -> Result<Self> {
        let address = Ipv4Addr::new(127, 251, (std::process::id() % 250) as u8, set);
        let any_port = SocketAddr::new(address.into(), 0);
        let engine_config = engine::Config {
            slots: 1_000,
            token_us: 0,
            prefill_us: 0,
            cache_tokens: 0,
            event_tokens: 1,
            ..engine::Config::default()
        };
        let mut fleet = Fleet {
            platform: platform::start(any_port, Vec::new())?,
            engine: engine::start(any_port, engine_config)?,
            address,
            directory: binaries.join(format!("slopes-{}-{set}", std::process::id())),
            entries: Vec::new(),
            sidecars: Vec::new(),
            links: Vec::new(),
        };
        std::fs::create_dir_all(&fleet.directory)?;
        fleet.list_hosts(entries, sidecars)?;
        for index in 0..entries {
            let settings = fleet.entry_settings(index);
            let child = fleet.spawn(binaries, "entry", index, &settings)?;
            fleet.entries.push(child);
        }
        for index in 0..sidecars {
            let settings = fleet.sidecar_settings(index);
            let child = fleet.spawn(binaries, "sidecar", index, &settings)?;
            fleet.sidecars.push(child);
        }
        fleet.wait_until(|fleet| fleet.send_as_operator("GET", "/live", None).is_ok())?;
        fleet.apply(0, 1)?;
        let expected = usize::from(sidecars);
        fleet.wait_until(|fleet| (0..entries).all(|entry| fleet.is_ready(entry)))?;
        fleet.wait_until(|fleet| fleet.endpoint_count().is_ok_and(|count| count == expected))?;
        Ok(fleet)
    }

    /// Lists each host under the address of a relay, which counts the bytes between processes.
    fn list_hosts(&mut self, entries: u16, sidecars: u16) -> Result<()> {
        let mut hosts = Vec::new();
        let roles = [
            (HostRole::Entry, "entry", 10_000, entries),
            (HostRole::Sidecar, "sidecar", 20_000, sidecars),
        ];
        for (role, name, port, count) in roles {
            for index in 0..count {
                let target = SocketAddr::new(self.address.into(), port + index);
                let link = link::start(SocketAddr::new(self.address.into(), 0), target)?;
                hosts.push(HostInfo {
                    host: parse_name(&format!("{name}-{index}"))?,
                    role,
                    address: link.address,
                    region: parse_name("north")?,
                    zone: parse_name(&format!("north-{}", index % 2))?,
                    leaving: false,
                });
                self.links.push(link);
            }
        }
        self.platform.state().hosts = hosts;
        Ok(())
    }

    fn process_settings(&self, name: &str, index: u16) -> String {
        format!(
            "[process]\nhost = {name}-{index}\nregion = north\nzone = north-{}\n\
             environment = trial\nkey = {KEY}\n[platform]\naddress = {}\n",
            index % 2,
            self.platform.address
        )
    }

    fn entry_settings(&self, index: u16) -> String {
        let address = self.address;
        format!(
            "{}[entry]\ncaller-address = {address}:{}\npeer-address = {address}:{}\n\
             [admin]\naddress = {address}:{}\noperator-token-digest = {}\n",
            self.process_settings("entry", index),
            11_000 + index,
            10_000 + index,
            12_000 + index,
            Digest::of(OPERATOR_TOKEN.as_bytes()),
        )
    }

    fn sidecar_settings(&self, index: u16) -> String {
        let address = self.address;
        format!(
            "{}[sidecar]\npeer-address = {address}:{}\nstatus-address = {address}:{}\n\
             [endpoint]\nname = engine-{index}\nkind = engine\naddress = {}\nserves = advisor\n\
             slots = 64\n",
            self.process_settings("sidecar", index),
            20_000 + index,
            21_000 + index,
            self.engine.address,
        )
    }

    fn spawn(&self, binaries: &Path, role: &str, index: u16, settings: &str) -> Result<Child> {
        let file = self.directory.join(format!("{role}-{index}.ini"));
        std::fs::write(&file, settings)?;
        let log = File::create(self.directory.join(format!("{role}-{index}.log")))?;
        Command::new(binaries.join("balsamhold"))
            .arg(role)
            .arg("--settings")
            .arg(file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
    }

    fn wait_until(&self, condition: impl Fn(&Fleet) -> bool) -> Result<()> {
        let start = Instant::now();
        while !condition(self) {
            if start.elapsed() > START_TIMEOUT {
                return Err(Error::from(ErrorKind::TimedOut));
            }
            std::thread::sleep(START_POLL);
        }
        Ok(())
    }

    /// Submits a document with so many accounts as the version after `base`.
    pub fn apply(&self, base: u64, accounts: usize) -> Result<()> {
        let path = format!("/v1/environment?base={base}&author=slopes");
        self.send_as_operator("PUT", &path, Some(document(base, accounts)))?;
        Ok(())
    }

    fn is_ready(&self, entry: u16) -> bool {
        let ready = self.send(12_000 + entry, OPERATOR_TOKEN, "GET", "/ready", None);
        smol::block_on(ready).is_ok()
    }

    /// Returns the version of the document that is in force at an entry.
    pub fn version(&self, entry: u16) -> Result<u64> {
        let status = self.send(12_000 + entry, OPERATOR_TOKEN, "GET", "/v1/status", None);
        let status = smol::block_on(status)?;
        Ok(status["version"].as_u64().unwrap_or_default())
    }

    fn endpoint_count(&self) -> Result<usize> {
        let status = self.send_as_operator("GET", "/v1/status", None)?;
        Ok(status["endpoints"].as_array().map_or(0, Vec::len))
    }

    fn send_as_operator(&self, method: &str, path: &str, body: Option<String>) -> Result<Value> {
        smol::block_on(self.send(12_000, OPERATOR_TOKEN, method, path, body))
    }

    /// Creates a program at the first entry and returns its identifier.
    pub async fn create_program(&self) -> Result<String> {
        let body = json!({"class": "advisor", "tokens": 1_000_000, "calls": 1_000}).to_string();
        let created = self.send(11_000, CALLER_TOKEN, "POST", "/v1/programs", Some(body));
        let created = created.await?["program"].as_str().map(str::to_owned);
        created.ok_or_else(|| Error::from(ErrorKind::InvalidData))
    }

    /// Makes a model call at the first entry and waits for its answer.
    pub async fn call(&self, program: &str, seq: u64, input: &str, tokens: u64) -> Result<()> {
        let body = json!({"seq": seq, "model": "advisor", "input": input, "max_tokens": tokens});
        let path = format!("/v1/programs/{program}/calls");
        let sent = self.send(11_000, CALLER_TOKEN, "POST", &path, Some(body.to_string()));
        sent.await.map(drop)
    }

    async fn send(
        &self,
        port: u16,
        token: &str,
        method: &str,
        path: &str,
        body: Option<String>,
    ) -> Result<Value> {
        let address = SocketAddr::new(self.address.into(), port);
        let client = http_io::Client::new(address, REQUEST_TIMEOUT).with_bearer(token);
        let method: Method = method
            .parse()
            .map_err(|_| Error::from(ErrorKind::InvalidInput))?;
        let mut request = client.request(method, path).map_err(Error::other)?;
        if let Some(body) = body {
            request.set_body(Body::from_string(body));
        }
        let bytes = client.fetch_body(request).await.map_err(Error::other)?;
        Ok(serde_json::from_slice(&bytes).unwrap_or(Value::Null))
    }

    /// Returns what the first entry has used so far.
    pub fn entry_usage(&self) -> Result<Sample> {
        Sample::read(self.entries[0].id())
    }

    /// Returns what the first sidecar has used so far.
    pub fn sidecar_usage(&self) -> Result<Sample> {
        Sample::read(self.sidecars[0].id())
    }

    /// Returns the bytes sent between entries and sidecars so far.
    pub fn wire_bytes(&self) -> f64 {
        self.links
            .iter()
            .map(|link| link.relayed_bytes() as f64)
            .sum()
    }

    /// Returns the size of the log's rows in the store, in bytes.
    pub fn log_bytes(&self) -> f64 {
        let platform = self.platform.state();
        let logs = platform
            .rows
            .iter()
            .filter(|(row, _)| row.key.starts_with("log"));
        logs.map(|(row, (_, value))| (row.key.len() + value.len()) as f64)
            .sum()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.entries.iter_mut().chain(&mut self.sidecars) {
            // Fails if the process has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn parse_name<T: std::str::FromStr>(name: &str) -> Result<T> {
    name.parse()
        .map_err(|_| Error::from(ErrorKind::InvalidInput))
}

/// Returns a document with so many accounts, the first of which is the caller's.
fn document(base: u64, accounts: usize) -> String {
    let mut text = format!(
        "[environment]\nname = trial\n[class advisor]\nprecedence = 1\ndeadline = 60m\n\
         [model advisor]\n[limits]\nidle-timeout = {}s\n",
        3_600 + base
    );
    for index in 0..accounts {
        let token = if index == 0 {
            CALLER_TOKEN.into()
        } else {
            format!("token-{index}")
        };
        let digest = Digest::of(token.as_bytes());
        text.push_str(&format!(
            "[account a{index}]\ntoken-digest = {digest}\nclasses = advisor\n"
        ));
    }
    text
}
