//! Settings of a gateway process.

use std::collections::HashMap;
use std::net::SocketAddr;

use units::{Host, Rate, Region, Span, Zone};

use crate::document::SWITCH;
use crate::error::Result;
use crate::process::{ADDRESS_FORMAT, NAME_FORMAT, Platform, Secret, read_file};
use crate::reader::{HEX_FORMAT, Reader};

/// Default and maximum of the key `stop-within-seconds`.
const STOP_DEFAULT_SECONDS: Rate = Rate(8.0);
const STOP_MAX_SECONDS: Rate = Rate(3_600.0);

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
