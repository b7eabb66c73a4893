//! Settings of one process.

use std::fmt;
use std::net::SocketAddr;

use compact_str::{CompactString, ToCompactString};
use units::{Bytes, Digest, Host, Rate, Region, Span, Target, Zone};

use crate::error::{Error, Problem, Result};
use crate::reader::{HEX, Reader, Section, line};

pub(crate) const ADDRESS: &str = "IP:PORT";
pub(crate) const NAME: &str = "a-z, 0-9, '-', '_', '.', at most 64 characters";
const SPAN: &str = "a whole number with us, ms, s, m or h";
const SIZE: &str = "a whole number, optionally with k, m or g";
const SHARE: &str = "a number from 0 to 1";
const TRACE_SHARE_DEFAULT: Rate = Rate(0.01);
const TIMING_MIN: Span = Span::from_ms(10);
const TIMING_MAX: Span = Span::from_ms(3_600_000);

/// How log lines look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// For reading at a terminal.
    Terminal,
}

/// 32 secret bytes; never shown.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Secret(Digest);

impl Secret {
    pub(crate) fn new(bytes: Digest) -> Self {
        Secret(bytes)
    }

    /// The bytes.
    pub fn bytes(&self) -> &[u8; 32] {
        self.0.bytes()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// What all processes have.
#[derive(Clone, Debug)]
pub struct Process {
    /// The host's name.
    pub host: Host,
    /// The host's region.
    pub region: Region,
    /// The host's availability zone.
    pub zone: Zone,
    /// The name of the environment document that it follows.
    pub environment: CompactString,
    /// How log lines look.
    pub log_format: LogFormat,
    /// The key shared by the environment's processes.
    pub key: Secret,
    /// The platform's service.
    pub platform: Platform,
    /// Share of the traces begun here that are written; those of callers say so themselves.
    pub trace_share: Rate,
    /// How often and for how long things are done.
    pub timing: Timing,
}

/// How often and for how long a process does things.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time between reads of the accepted document's version from the store.
    pub document_poll: Span,
    /// Time between exchanges of document versions with each peer.
    pub document_exchange: Span,
    /// Bound of one question to a peer.
    pub peer_timeout: Span,
    /// Time between reads of the host list.
    pub hosts_poll: Span,
    /// A process that has heard neither the store nor a peer for this long is not ready.
    pub stale_after: Span,
}

/// The platform's service.
#[derive(Clone, Debug)]
pub struct Platform {
    /// Its address.
    pub address: SocketAddr,
    /// Bound of one exchange.
    pub timeout: Span,
}

impl Platform {
    /// Reads the section `[platform]`.
    pub(crate) fn read(section: Section<'_>) -> Result<Self> {
        let platform = Platform {
            address: section.get("address", ADDRESS)?,
            timeout: section.get_or("timeout", SPAN, Span::from_ms(2_000))?,
        };
        section.close()?;
        Ok(platform)
    }
}

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct Entry {
    /// What all processes have.
    pub process: Process,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address for balsamhold's own processes.
    pub peer_address: SocketAddr,
    /// Longest request body of a caller.
    pub body_max: Bytes,
    /// The administration API.
    pub admin: Admin,
}

/// The administration API.
#[derive(Clone, Debug)]
pub struct Admin {
    /// Its address, which also serves `/metrics`, `/live` and `/ready`.
    pub address: SocketAddr,
    /// Digest of the operators' token.
    pub operator_token_digest: Digest,
    /// Digest of the viewers' token, if there is one.
    pub viewer_token_digest: Option<Digest>,
}

/// Settings of a sidecar.
#[derive(Clone, Debug)]
pub struct Sidecar {
    /// What all processes have.
    pub process: Process,
    /// The address for balsamhold's own processes.
    pub peer_address: SocketAddr,
    /// The address of `/metrics`, `/live` and `/ready`.
    pub status_address: SocketAddr,
    /// How long a leaving sidecar waits for its answers to be saved.
    pub drain_max: Span,
    /// The endpoint.
    pub endpoint: Endpoint,
}

/// What kind of back end an endpoint is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// The endpoint of a sidecar.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its name.
    pub name: units::Endpoint,
    /// Its kind.
    pub kind: EndpointKind,
    /// Its address.
    pub address: SocketAddr,
    /// The models or services that it serves.
    pub serves: Vec<Target>,
    /// Calls that it runs at a time.
    pub slots: u32,
    /// Whether it refuses an order with an old fencing number by itself.
    pub checks_fences: bool,
    /// How long a call to a plain service may take.
    pub timeout: Span,
    /// Bytes of answers retained at most.
    pub retain_max: Bytes,
}

impl Entry {
    /// Reads the settings in `text`; `file` names it in errors.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let reader = Reader::new(file, text)?;
        let process = process(&reader)?;
        let section = reader.required("entry")?;
        let caller_address = section.get("caller-address", ADDRESS)?;
        let peer_address = section.get("peer-address", ADDRESS)?;
        let body_max = section.get_or("body-max", SIZE, Bytes(1 << 20))?;
        section.close()?;
        let section = reader.required("admin")?;
        let operator = section.secret("operator-token-digest")?;
        let admin = Admin {
            address: section.get("address", ADDRESS)?,
            operator_token_digest: operator
                .ok_or_else(|| section.missing("operator-token-digest", HEX))?,
            viewer_token_digest: section.secret("viewer-token-digest")?,
        };
        section.close()?;
        reader.close()?;
        Ok(Entry {
            process,
            caller_address,
            peer_address,
            body_max,
            admin,
        })
    }

    /// Reads the settings in a file.
    pub fn load(file: &str) -> Result<Self> {
        Self::parse(file, &read(file)?)
    }
}

impl Sidecar {
    /// Reads the settings in `text`; `file` names it in errors.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let reader = Reader::new(file, text)?;
        let process = process(&reader)?;
        let section = reader.required("sidecar")?;
        let peer_address = section.get("peer-address", ADDRESS)?;
        let status_address = section.get("status-address", ADDRESS)?;
        let drain_max = section.get_or("drain-max", SPAN, Span::from_ms(30_000))?;
        section.close()?;
        let endpoint = endpoint(reader.required("endpoint")?)?;
        reader.close()?;
        Ok(Sidecar {
            process,
            peer_address,
            status_address,
            drain_max,
            endpoint,
        })
    }

    /// Reads the settings in a file.
    pub fn load(file: &str) -> Result<Self> {
        Self::parse(file, &read(file)?)
    }
}

/// The refusal of a value that reads well and cannot be used, for example an address in use.
pub fn unusable_address(file: &str, section: &str, key: &str, value: &str, why: &str) -> Error {
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let problem = Problem::Value(
        value.into(),
        why.into(),
        "a free address of this host".into(),
    );
    Error {
        file: file.into(),
        line: line(&text, section, key),
        section: section.into(),
        key: key.into(),
        problem: Box::new(problem),
    }
}

pub(crate) fn read(file: &str) -> Result<String> {
    std::fs::read_to_string(file).map_err(|error| Error {
        file: file.into(),
        line: 0,
        section: CompactString::default(),
        key: CompactString::default(),
        problem: Box::new(Problem::Unreadable(error.to_compact_string())),
    })
}

fn process<'a>(reader: &'a Reader<'a>) -> Result<Process> {
    let section = reader.required("process")?;
    let formats = [("json", LogFormat::Json), ("terminal", LogFormat::Terminal)];
    let host = section.get("host", NAME)?;
    let region = section.get("region", NAME)?;
    let zone = section.get("zone", NAME)?;
    let environment = section.get("environment", NAME)?;
    let log_format = section
        .choice("log-format", &formats)?
        .unwrap_or(LogFormat::Json);
    let trace_share = section.within(
        "trace-share",
        SHARE,
        TRACE_SHARE_DEFAULT,
        Rate(0.0)..=Rate(1.0),
    )?;
    let key = Secret(
        section
            .secret("key")?
            .ok_or_else(|| section.missing("key", HEX))?,
    );
    section.close()?;
    let platform = Platform::read(reader.required("platform")?)?;
    Ok(Process {
        trace_share,
        timing: timing(reader.optional("timing"))?,
        host,
        region,
        zone,
        environment,
        log_format,
        key,
        platform,
    })
}

fn timing(section: Option<Section<'_>>) -> Result<Timing> {
    let mut timing = Timing {
        document_poll: Span::from_ms(500),
        document_exchange: Span::from_ms(1_000),
        peer_timeout: Span::from_ms(1_000),
        hosts_poll: Span::from_ms(500),
        stale_after: Span::from_ms(5_000),
    };
    let Some(section) = section else {
        return Ok(timing);
    };
    let get = |key: &str, default: Span| {
        section.within(key, "10ms to 1h", default, TIMING_MIN..=TIMING_MAX)
    };
    timing.document_poll = get("document-poll", timing.document_poll)?;
    timing.document_exchange = get("document-exchange", timing.document_exchange)?;
    timing.peer_timeout = get("peer-timeout", timing.peer_timeout)?;
    timing.hosts_poll = get("hosts-poll", timing.hosts_poll)?;
    timing.stale_after = get("stale-after", timing.stale_after)?;
    let heard = timing.document_poll.max(timing.document_exchange);
    if timing.stale_after.0 < 2 * heard.0 {
        let value = timing.stale_after.to_compact_string();
        let allowed = "at least twice document-poll and document-exchange";
        return Err(section.invalid("stale-after", &value, "is too short", allowed));
    }
    section.close()?;
    Ok(timing)
}

fn endpoint(section: Section<'_>) -> Result<Endpoint> {
    let kinds = [
        ("engine", EndpointKind::Engine),
        ("service", EndpointKind::Service),
    ];
    let fences = [("checked", true), ("ignored", false)];
    let kind = section.required_choice("kind", &kinds)?;
    let serves: Vec<Target> = section.list("serves", NAME)?;
    if serves.is_empty() {
        return Err(section.missing("serves", "models or services, separated by spaces"));
    }
    let slots = section.within("slots", "1 to 4096", 8, 1..=4096)?;
    let endpoint = Endpoint {
        name: section.get("name", NAME)?,
        kind,
        address: section.get("address", ADDRESS)?,
        serves,
        slots,
        checks_fences: section.choice("fences", &fences)?.unwrap_or(false),
        timeout: section.get_or("timeout", SPAN, Span::from_ms(30_000))?,
        retain_max: section.get_or("retain-max", SIZE, Bytes(16 << 20))?,
    };
    section.close()?;
    Ok(endpoint)
}
