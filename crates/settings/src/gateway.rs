//! Settings of a gateway process.

use std::collections::HashMap;
use std::net::SocketAddr;

use units::{Bytes, Host, Rate, Region, Span, Zone};

use crate::document::SWITCH;
use crate::error::Result;
use crate::process::{ADDRESS_FORMAT, NAME_FORMAT, Platform, Secret, read_file};
use crate::reader::{HEX_FORMAT, Reader};

/// Default and maximum of the key `stop-within-seconds`.
const STOP_DEFAULT_SECONDS: Rate = Rate(8.0);
const STOP_MAX_SECONDS: Rate = Rate(3_600.0);

/// Default and bounds of the key `memory-megabytes`.
const MEMORY_DEFAULT_MEGABYTES: Rate = Rate(88.0);
const MEMORY_MIN_MEGABYTES: Rate = Rate(32.0);
const MEMORY_MAX_MEGABYTES: Rate = Rate(1_000_000.0);
/// Default and bounds of the key `descriptors`.
const DESCRIPTORS_DEFAULT: Rate = Rate(4_096.0);
const DESCRIPTORS_MIN: Rate = Rate(256.0);
const DESCRIPTORS_MAX: Rate = Rate(10_000_000.0);
/// Maximum of the key `processor-cores`.
const PROCESSOR_MAX_CORES: Rate = Rate(1_000.0);

/// Settings of a gateway process.
#[derive(Clone, Debug)]
pub struct Gateway {
    /// Name of the host that the process runs on.
    pub host: Host,
    /// Region of the host.
    pub region: Region,
    /// Availability zone of the host.
    pub zone: Zone,
    /// Address to listen on for callers.
    pub caller_address: SocketAddr,
    /// Address that serves `/ready`, `/live` and `/metrics`.
    pub status_address: SocketAddr,
    /// Address to listen on for other gateways.
    pub peer_address: SocketAddr,
    /// Secret key that all gateways of the environment share.
    pub key: Secret,
    /// Processor time that the host has, in thousandths of a core; 0 if unknown.
    pub processor: u32,
    /// Memory of the host.
    pub memory: Bytes,
    /// Descriptors that the process may open.
    pub descriptors: usize,
    /// Whether long prompts that have time yield in the queues of engines.
    pub long_prompts_yield: bool,
    /// Time from the stop signal until the process is killed.
    pub stop_within: Span,
    /// Region of each availability zone.
    pub zones: HashMap<Zone, Region>,
    /// Address and timeout of the platform's store.
    pub platform: Platform,
}

impl Gateway {
    /// Parses and checks the settings in `text`; `file` is the file name shown in errors.
    ///
    /// # Errors
    /// If `text` is not INI, a section or key is missing, unknown or duplicate, or a value is not
    /// allowed.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let reader = Reader::new(file, text)?;
        let process = reader.required("process")?;
        let host = process.get("host", NAME_FORMAT)?;
        let region = process.get("region", NAME_FORMAT)?;
        let zone = process.get("zone", NAME_FORMAT)?;
        process.check_unknown_keys()?;
        let gateway = reader.required("gateway")?;
        let caller_address = gateway.get("caller-address", ADDRESS_FORMAT)?;
        let status_address = gateway.get("status-address", ADDRESS_FORMAT)?;
        let peer_address = gateway.get("peer-address", ADDRESS_FORMAT)?;
        let key = gateway.get_digest("peer-key")?;
        let key = key.ok_or_else(|| gateway.missing_key("peer-key", HEX_FORMAT))?;
        let seconds = gateway.get_in_range(
            "stop-within-seconds",
            "1 to 3600",
            STOP_DEFAULT_SECONDS,
            Rate(1.0)..=STOP_MAX_SECONDS,
        )?;
        let long_prompts_yield = gateway.get_choice("long-prompts-yield", &SWITCH)?;
        let megabytes = gateway.get_in_range(
            "memory-megabytes",
            "32 to 1000000",
            MEMORY_DEFAULT_MEGABYTES,
            MEMORY_MIN_MEGABYTES..=MEMORY_MAX_MEGABYTES,
        )?;
        let descriptors = gateway.get_in_range(
            "descriptors",
            "256 to 10000000",
            DESCRIPTORS_DEFAULT,
            DESCRIPTORS_MIN..=DESCRIPTORS_MAX,
        )?;
        let cores = gateway.get_in_range(
            "processor-cores",
            "0 to 1000",
            Rate(0.0),
            Rate(0.0)..=PROCESSOR_MAX_CORES,
        )?;
        gateway.check_unknown_keys()?;
        let zones = reader
            .required("zones")?
            .get_all(NAME_FORMAT, NAME_FORMAT)?;
        let platform = Platform::read(reader.required("platform")?)?;
        reader.check_unknown_sections()?;
        Ok(Gateway {
            host,
            region,
            zone,
            caller_address,
            status_address,
            peer_address,
            key: Secret::new(key),
            long_prompts_yield: long_prompts_yield.unwrap_or(false),
            memory: Bytes((megabytes.0 * 1_048_576.0) as u64),
            descriptors: descriptors.0 as usize,
            processor: (cores.0 * 1e3) as u32,
            stop_within: Span((seconds.0 * 1e6) as u64),
            zones,
            platform,
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
