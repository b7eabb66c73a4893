//! One entry and one sidecar as separate processes, with stand-ins in this process.

use std::io::Error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use http_types::{Body, Method};
use serde_json::Value;
use standins::{Handle, engine, platform};
use store::api::{HostInfo, HostRole};
use units::Digest;

const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
const START_POLL: Duration = Duration::from_millis(50);
const START_POLLS_MAX: u32 = 200;

/// Bearer token of the operator and of the only client account.
pub(crate) const TOKEN: &str = "overhead-token";

/// A running entry, its sidecar and their stand-ins; the processes are killed on drop.
pub(crate) struct Environment {
    pub(crate) engine: Handle<engine::State>,
    pub(crate) caller_address: SocketAddr,
    pub(crate) admin_address: SocketAddr,
    pub(crate) entry: Child,
    pub(crate) sidecar: Child,
    _platform: Handle<platform::State>,
    directory: PathBuf,
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 94, 1, 1], port))
}

impl Environment {
    /// Starts stand-ins and processes and waits until the entry lists the endpoint.
    pub(crate) fn start() -> Result<Self, Error> {
        let config = engine::Config {
            slots: 4_096,
            token_us: 0,
            prefill_us: 0,
            event_tokens: 1,
            ..engine::Config::default()
        };
        let engine = engine::start(address(0), config)?;
        let hosts = vec![
            host_info("entry", HostRole::Entry, 7_101)?,
            host_info("sidecar", HostRole::Sidecar, 7_301)?,
        ];
        let platform = platform::start(address(0), hosts)?;
        let directory = std::env::temp_dir().join(format!("overhead-{}", std::process::id()));
        std::fs::create_dir_all(&directory)?;
        let entry = format!(
            "{}[entry]\ncaller-address = {}\npeer-address = {}\n\
             [admin]\naddress = {}\noperator-token-digest = {}\n",
            process_settings("entry", platform.address),
            address(7_001),
            address(7_101),
            address(7_201),
            Digest::of(TOKEN.as_bytes()),
        );
        let sidecar = format!(
            "{}[sidecar]\npeer-address = {}\nstatus-address = {}\n[endpoint]\nname = engine\n\
             kind = engine\naddress = {}\nserves = advisor\nslots = 4096\n",
            process_settings("sidecar", platform.address),
            address(7_301),
            address(7_401),
            engine.address,
        );
        let environment = Environment {
            entry: spawn(&directory, "entry", &entry)?,
            sidecar: spawn(&directory, "sidecar", &sidecar)?,
            caller_address: address(7_001),
            admin_address: address(7_201),
            engine,
            _platform: platform,
            directory,
        };
        smol::block_on(environment.apply_document())?;
        Ok(environment)
    }

    /// Submits a document and waits until it is in force and the entry lists the endpoint.
    async fn apply_document(&self) -> Result<(), Error> {
        let document = format!(
            "[environment]\nname = overhead\n[class only]\nprecedence = 1\n\
             [account only]\ntoken-digest = {}\nclasses = only\n[model advisor]\n",
            Digest::of(TOKEN.as_bytes()),
        );
        for _ in 0..START_POLLS_MAX {
            if self.is_ready().await {
                return Ok(());
            }
            // Fails before the entry listens, and again once the document has been accepted.
            let _ = self.submit(&document).await;
            smol::Timer::after(START_POLL).await;
        }
        Err(std::io::ErrorKind::TimedOut.into())
    }

    async fn submit(&self, document: &str) -> http_io::Result<Vec<u8>> {
        let client = self.admin_client();
        let mut request = client.request(Method::Put, "/v1/environment?base=0&author=overhead")?;
        request.set_body(Body::from_string(document.to_owned()));
        client.fetch_body(request).await
    }

    async fn is_ready(&self) -> bool {
        let status: http_io::Result<Value> = self
            .admin_client()
            .send_json(Method::Get, "/v1/status", None::<&()>)
            .await;
        status.is_ok_and(|status| {
            status["version"].is_u64() && !status["endpoints"][0]["name"].is_null()
        })
    }

    /// Returns a client of the entry's administration API.
    pub(crate) fn admin_client(&self) -> http_io::Client {
        http_io::Client::new(self.admin_address, Duration::from_secs(10)).with_bearer(TOKEN)
    }
}

impl Drop for Environment {
    fn drop(&mut self) {
        for child in [&mut self.entry, &mut self.sidecar] {
            // Fails if the process has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn host_info(name: &str, role: HostRole, port: u16) -> Result<HostInfo, Error> {
    let invalid_name = |_| Error::from(std::io::ErrorKind::InvalidInput);
    Ok(HostInfo {
        host: name.parse().map_err(invalid_name)?,
        role,
        address: address(port),
        region: "north".parse().map_err(invalid_name)?,
        zone: "north-1".parse().map_err(invalid_name)?,
        leaving: false,
    })
}

fn process_settings(host: &str, platform: SocketAddr) -> String {
    format!(
        "[process]\nhost = {host}\nregion = north\nzone = north-1\nenvironment = overhead\n\
         key = {KEY}\n[platform]\naddress = {platform}\n"
    )
}

/// Starts the `balsamhold` binary that lies beside this program; `directory` is for its files.
fn spawn(directory: &Path, command: &str, settings: &str) -> Result<Child, Error> {
    let file = directory.join(format!("{command}.ini"));
    std::fs::write(&file, settings)?;
    let binary = std::env::current_exe()?.with_file_name("balsamhold");
    let log = std::fs::File::create(directory.join(format!("{command}.log")))?;
    Command::new(binary)
        .args([command, "--settings"])
        .arg(file)
        .stdin(Stdio::null())
        .stderr(log)
        .spawn()
}
