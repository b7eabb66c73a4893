//! Settings of one process.

use std::net::SocketAddr;

use compact_str::{CompactString, ToCompactString};
use units::{Bytes, Digest, Host, Rate, Region, Span, Target, Zone};

use crate::error::{Error, Problem, Result};
use crate::reader::{Reader, Section};

const ADDRESS: &str = "IP:PORT";
const NAME: &str = "a-z, 0-9, '-', '_', '.', at most 64 characters";
const SPAN: &str = "a whole number with us, ms, s, m or h";
const SIZE: &str = "a whole number, optionally with k, m or g";
const SHARE: &str = "a number from 0 to 1";
const TRACE_SHARE_DEFAULT: Rate = Rate(0.01);
const TIMING_MIN: Span = Span::from_ms(10);
const TIMING_MAX: Span = Span::from_ms(3_600_000);
const HEX: &str = "64 hexadecimal digits";

/// How log lines look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// One JSON object a line.
    Json,
    /// For reading at a terminal.
    Terminal,
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
    pub format: Format,
    /// The key shared by the environment's processes: 32 bytes, secret.
    pub key: Digest,
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

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct Entry {
    /// What all processes have.
    pub process: Process,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for balsamhold's own processes.
    pub peers: SocketAddr,
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
    pub operator: Digest,
    /// Digest of the viewers' token, if there is one.
    pub viewer: Option<Digest>,
}

/// Settings of a sidecar.
#[derive(Clone, Debug)]
pub struct Sidecar {
    /// What all processes have.
    pub process: Process,
    /// The address for balsamhold's own processes.
    pub peers: SocketAddr,
    /// The address of `/metrics`, `/live` and `/ready`.
    pub status: SocketAddr,
    /// The endpoint.
    pub endpoint: Endpoint,
}

/// What kind of back end an endpoint is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
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
    pub kind: Kind,
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
        let callers = section.get("caller-address", ADDRESS)?;
        let peers = section.get("peer-address", ADDRESS)?;
        let body_max = section.get_or("body-max", SIZE, Bytes(1 << 20))?;
        section.close()?;
        let section = reader.required("admin")?;
        let admin = Admin {
            address: section.get("address", ADDRESS)?,
            operator: section.get("operator-token-digest", HEX)?,
            viewer: section.maybe("viewer-token-digest", HEX)?,
        };
        section.close()?;
        reader.close()?;
        Ok(Entry {
            process,
            callers,
            peers,
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
        let peers = section.get("peer-address", ADDRESS)?;
        let status = section.get("status-address", ADDRESS)?;
        section.close()?;
        let endpoint = endpoint(reader.required("endpoint")?)?;
        reader.close()?;
        Ok(Sidecar {
            process,
            peers,
            status,
            endpoint,
        })
    }

    /// Reads the settings in a file.
    pub fn load(file: &str) -> Result<Self> {
        Self::parse(file, &read(file)?)
    }
}

fn read(file: &str) -> Result<String> {
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
    let formats = [("json", Format::Json), ("terminal", Format::Terminal)];
    let host = section.get("host", NAME)?;
    let region = section.get("region", NAME)?;
    let zone = section.get("zone", NAME)?;
    let environment = section.get("environment", NAME)?;
    let format = section
        .choice("log-format", &formats)?
        .unwrap_or(Format::Json);
    let trace_share = trace_share(&section)?;
    let key = section
        .get("key", HEX)
        .map_err(|error| redact(error, "key"))?;
    section.close()?;
    let section = reader.required("platform")?;
    let platform = Platform {
        address: section.get("address", ADDRESS)?,
        timeout: section.get_or("timeout", SPAN, Span::from_ms(2_000))?,
    };
    section.close()?;
    Ok(Process {
        trace_share,
        timing: timing(reader.optional("timing"))?,
        host,
        region,
        zone,
        environment,
        format,
        key,
        platform,
    })
}

fn trace_share(section: &Section<'_>) -> Result<Rate> {
    let share = section.get_or("trace-share", SHARE, TRACE_SHARE_DEFAULT)?;
    if share.0 <= 1.0 {
        return Ok(share);
    }
    let value = share.to_compact_string();
    Err(section.invalid("trace-share", &value, "is out of range", SHARE))
}

fn timing(section: Option<Section<'_>>) -> Result<Timing> {
    let mut timing = Timing {
        document_poll: Span::from_ms(500),
        document_exchange: Span::from_ms(1_000),
        hosts_poll: Span::from_ms(500),
        stale_after: Span::from_ms(5_000),
    };
    let Some(section) = section else {
        return Ok(timing);
    };
    let get = |key: &str, default: Span| {
        let span = section.get_or(key, SPAN, default)?;
        if (TIMING_MIN..=TIMING_MAX).contains(&span) {
            return Ok(span);
        }
        Err(section.invalid(
            key,
            &span.to_compact_string(),
            "is out of range",
            "10ms to 1h",
        ))
    };
    timing.document_poll = get("document-poll", timing.document_poll)?;
    timing.document_exchange = get("document-exchange", timing.document_exchange)?;
    timing.hosts_poll = get("hosts-poll", timing.hosts_poll)?;
    timing.stale_after = get("stale-after", timing.stale_after)?;
    section.close()?;
    Ok(timing)
}

/// Takes the value of a secret out of an error.
fn redact(mut error: Error, key: &str) -> Error {
    if error.key == key
        && let Problem::Value(value, _, _) = &mut *error.problem
    {
        *value = "(secret)".into();
    }
    error
}

fn endpoint(section: Section<'_>) -> Result<Endpoint> {
    let kinds = [("engine", Kind::Engine), ("service", Kind::Service)];
    let fences = [("checked", true), ("ignored", false)];
    let kind = section.choice("kind", &kinds)?;
    let serves: Vec<Target> = section.list("serves", NAME)?;
    if serves.is_empty() {
        return Err(section.error("serves", Problem::MissingKey));
    }
    let slots = section.get_or("slots", "1 to 4096", 8)?;
    if !(1..=4096).contains(&slots) {
        return Err(section.invalid(
            "slots",
            &slots.to_compact_string(),
            "is out of range",
            "1 to 4096",
        ));
    }
    let endpoint = Endpoint {
        name: section.get("name", NAME)?,
        kind: kind.ok_or_else(|| section.error("kind", Problem::MissingKey))?,
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
