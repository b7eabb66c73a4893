//! Settings of entry and sidecar processes, and of the platform's store.

use std::fmt;
use std::net::SocketAddr;

use compact_str::{CompactString, ToCompactString};
use units::{Bytes, Digest, Host, Rate, Region, Span, Target, Zone};

use crate::error::{Error, Problem, Result};
use crate::machine::Machine;
use crate::reader::{HEX_FORMAT, Reader, Section, find_line};

pub(crate) const ADDRESS_FORMAT: &str = "IP:PORT";
pub(crate) const NAME_FORMAT: &str = "a-z, 0-9, '-', '_', '.', at most 64 characters";
const SPAN_FORMAT: &str = "a whole number with us, ms, s, m or h";
const SIZE_FORMAT: &str = "a whole number, optionally with k, m or g";
const SHARE_FORMAT: &str = "a number from 0 to 1";
const TRACE_SHARE_DEFAULT: Rate = Rate(0.01);
/// Longest body of a call: its record, with an answer of 4 MB, is an object of the store, which takes
/// 8 MB.
const BODY_MAX: Bytes = Bytes(3 << 20);
const TIMING_MIN: Span = Span::from_ms(10);
const TIMING_MAX: Span = Span::from_ms(3_600_000);

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Text for reading at a terminal.
    Terminal,
}

/// A secret key of 32 bytes; its `Debug` output does not show them.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Secret(Digest);

impl Secret {
    pub(crate) fn new(bytes: Digest) -> Self {
        Secret(bytes)
    }

    /// Returns the key itself, for use in computations only.
    pub fn bytes(&self) -> &[u8; 32] {
        self.0.bytes()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Settings that entries and sidecars have in common.
#[derive(Clone, Debug)]
pub struct Process {
    /// Name of the host that the process runs on.
    pub host: Host,
    /// Region of the host.
    pub region: Region,
    /// Availability zone of the host.
    pub zone: Zone,
    /// Name of the environment whose document the process applies.
    pub environment: CompactString,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// Secret key that all processes of the environment share.
    pub key: Secret,
    /// Address and timeout of the platform's store.
    pub platform: Platform,
    /// Share of the traces started here that are sampled; traces of callers carry their own flag.
    pub trace_share: Rate,
    /// Intervals and timeouts of background tasks.
    pub timing: Timing,
    /// What the machine has.
    pub machine: Machine,
}

/// Intervals and timeouts of a process's background tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Interval between reads of the accepted document's version from the store.
    pub document_poll: Span,
    /// Interval between exchanges of document versions with each peer.
    pub document_exchange: Span,
    /// Timeout of one request to a peer.
    pub peer_timeout: Span,
    /// Interval between reads of the host list.
    pub hosts_poll: Span,
    /// Time without contact to the store and to any peer after which the process is not ready.
    pub stale_after: Span,
}

/// Address and timeout of the platform's store.
#[derive(Clone, Debug)]
pub struct Platform {
    /// Address of the store.
    pub address: SocketAddr,
    /// Timeout of one request with its response.
    pub timeout: Span,
}

impl Platform {
    /// Parses and checks the section `[platform]`.
    pub(crate) fn read(section: Section<'_>) -> Result<Self> {
        let platform = Platform {
            address: section.get("address", ADDRESS_FORMAT)?,
            timeout: section.get_or("timeout", SPAN_FORMAT, Span::from_ms(2_000))?,
        };
        section.check_unknown_keys()?;
        Ok(platform)
    }
}

/// Settings of an entry process.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Settings common to entries and sidecars.
    pub process: Process,
    /// Address to listen on for callers.
    pub caller_address: SocketAddr,
    /// Address to listen on for other balsamhold processes.
    pub peer_address: SocketAddr,
    /// Largest accepted request body of a caller.
    pub body_max: Bytes,
    /// Settings of the administration API.
    pub admin: Admin,
}

/// Settings of the administration API.
#[derive(Clone, Debug)]
pub struct Admin {
    /// Address to listen on; also serves `/metrics`, `/live` and `/ready`.
    pub address: SocketAddr,
    /// Digest of the token that grants all operations.
    pub operator_token_digest: Digest,
    /// Digest of the token that grants reading only, if there is one.
    pub viewer_token_digest: Option<Digest>,
}

/// Settings of a sidecar process.
#[derive(Clone, Debug)]
pub struct Sidecar {
    /// Settings common to entries and sidecars.
    pub process: Process,
    /// Address to listen on for other balsamhold processes.
    pub peer_address: SocketAddr,
    /// Address that serves `/metrics`, `/live` and `/ready`.
    pub status_address: SocketAddr,
    /// How long a draining sidecar waits until entries have saved the answers that it holds.
    pub drain_max: Span,
    /// Endpoint that the sidecar sends calls to.
    pub endpoint: Endpoint,
}

/// Kind of the back end behind an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// Settings of the endpoint that a sidecar sends calls to.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub name: units::Endpoint,
    /// Whether the endpoint is a model engine or a plain service.
    pub kind: EndpointKind,
    /// Address that the sidecar connects to.
    pub address: SocketAddr,
    /// Models or services that the endpoint serves.
    pub serves: Vec<Target>,
    /// Number of calls that the endpoint runs at the same time.
    pub slots: u32,
    /// Whether the endpoint itself refuses an order with an outdated fencing number.
    pub checks_fences: bool,
    /// Timeout of a call to a plain service.
    pub timeout: Span,
    /// Largest total size of the answers that the sidecar retains.
    pub retain_max: Bytes,
}

impl Entry {
    /// Parses and checks the settings in `text`; `file` is the file name shown in errors.
    ///
    /// # Errors
    /// If `text` is not INI, a section or key is missing, unknown or duplicate, or a value is not
    /// allowed.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let reader = Reader::new(file, text)?;
        let process = process(&reader)?;
        let section = reader.required("entry")?;
        let caller_address = section.get("caller-address", ADDRESS_FORMAT)?;
        let peer_address = section.get("peer-address", ADDRESS_FORMAT)?;
        let body_max =
            section.get_in_range("body-max", "1 to 3m", Bytes(1 << 20), Bytes(1)..=BODY_MAX)?;
        section.check_unknown_keys()?;
        let section = reader.required("admin")?;
        let operator_token_digest = section.get_digest("operator-token-digest")?;
        let admin = Admin {
            address: section.get("address", ADDRESS_FORMAT)?,
            operator_token_digest: operator_token_digest
                .ok_or_else(|| section.missing_key("operator-token-digest", HEX_FORMAT))?,
            viewer_token_digest: section.get_digest("viewer-token-digest")?,
        };
        section.check_unknown_keys()?;
        reader.check_unknown_sections()?;
        Ok(Entry {
            process,
            caller_address,
            peer_address,
            body_max,
            admin,
        })
    }

    /// Reads, parses and checks a settings file.
    ///
    /// # Errors
    /// If the file cannot be read, and as [`Self::parse`].
    pub fn load(file: &str) -> Result<Self> {
        Self::parse(file, &read_file(file)?)
    }
}

impl Sidecar {
    /// Parses and checks the settings in `text`; `file` is the file name shown in errors.
    ///
    /// # Errors
    /// If `text` is not INI, a section or key is missing, unknown or duplicate, or a value is not
    /// allowed.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let reader = Reader::new(file, text)?;
        let process = process(&reader)?;
        let section = reader.required("sidecar")?;
        let peer_address = section.get("peer-address", ADDRESS_FORMAT)?;
        let status_address = section.get("status-address", ADDRESS_FORMAT)?;
        let drain_max = section.get_or("drain-max", SPAN_FORMAT, Span::from_ms(30_000))?;
        section.check_unknown_keys()?;
        let endpoint = endpoint(reader.required("endpoint")?)?;
        reader.check_unknown_sections()?;
        Ok(Sidecar {
            process,
            peer_address,
            status_address,
            drain_max,
            endpoint,
        })
    }

    /// Reads, parses and checks a settings file.
    ///
    /// # Errors
    /// If the file cannot be read, and as [`Self::parse`].
    pub fn load(file: &str) -> Result<Self> {
        Self::parse(file, &read_file(file)?)
    }
}

/// Returns the error for an address that is well-formed but cannot be listened on, for example one
/// that is in use.
pub fn unusable_address(file: &str, section: &str, key: &str, value: &str, why: &str) -> Error {
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let problem = Problem::InvalidValue(
        value.into(),
        why.into(),
        "a free address of this host".into(),
    );
    Error {
        file: file.into(),
        line: find_line(&text, section, key),
        section: section.into(),
        key: key.into(),
        problem: Box::new(problem),
    }
}

pub(crate) fn read_file(file: &str) -> Result<String> {
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
    let host = section.get("host", NAME_FORMAT)?;
    let region = section.get("region", NAME_FORMAT)?;
    let zone = section.get("zone", NAME_FORMAT)?;
    let environment = section.get("environment", NAME_FORMAT)?;
    let log_format = section
        .get_choice("log-format", &formats)?
        .unwrap_or(LogFormat::Json);
    let trace_share = section.get_in_range(
        "trace-share",
        SHARE_FORMAT,
        TRACE_SHARE_DEFAULT,
        Rate(0.0)..=Rate(1.0),
    )?;
    let key = Secret(
        section
            .get_digest("key")?
            .ok_or_else(|| section.missing_key("key", HEX_FORMAT))?,
    );
    section.check_unknown_keys()?;
    let platform = Platform::read(reader.required("platform")?)?;
    Ok(Process {
        trace_share,
        timing: timing(reader.optional("timing"))?,
        machine: Machine::read(reader.optional("machine"))?,
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
        section.get_in_range(key, "10ms to 1h", default, TIMING_MIN..=TIMING_MAX)
    };
    timing.document_poll = get("document-poll", timing.document_poll)?;
    timing.document_exchange = get("document-exchange", timing.document_exchange)?;
    timing.peer_timeout = get("peer-timeout", timing.peer_timeout)?;
    timing.hosts_poll = get("hosts-poll", timing.hosts_poll)?;
    timing.stale_after = get("stale-after", timing.stale_after)?;
    let longest = timing.document_poll.max(timing.document_exchange);
    if timing.stale_after.0 < 2 * longest.0 {
        let value = timing.stale_after.to_compact_string();
        let allowed = "at least twice document-poll and document-exchange";
        return Err(section.invalid_value("stale-after", &value, "is too short", allowed));
    }
    section.check_unknown_keys()?;
    Ok(timing)
}

fn endpoint(section: Section<'_>) -> Result<Endpoint> {
    let kinds = [
        ("engine", EndpointKind::Engine),
        ("service", EndpointKind::Service),
    ];
    let fences = [("checked", true), ("ignored", false)];
    let kind = section.get_required_choice("kind", &kinds)?;
    let serves: Vec<Target> = section.get_list("serves", NAME_FORMAT)?;
    if serves.is_empty() {
        return Err(section.missing_key("serves", "models or services, separated by spaces"));
    }
    let slots = section.get_in_range("slots", "1 to 4096", 8, 1..=4096)?;
    let endpoint = Endpoint {
        name: section.get("name", NAME_FORMAT)?,
        kind,
        address: section.get("address", ADDRESS_FORMAT)?,
        serves,
        slots,
        checks_fences: section.get_choice("fences", &fences)?.unwrap_or(false),
        timeout: section.get_or("timeout", SPAN_FORMAT, Span::from_ms(30_000))?,
        retain_max: section.get_or("retain-max", SIZE_FORMAT, Bytes(16 << 20))?,
    };
    section.check_unknown_keys()?;
    Ok(endpoint)
}
