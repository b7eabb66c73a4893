//! Settings of a gateway.

use std::collections::HashMap;
use std::net::SocketAddr;

use units::{Host, Rate, Region, Span, Zone};

use crate::error::Result;
use crate::process::{ADDRESS, NAME, Platform, Secret, read};
use crate::reader::{HEX, Reader};

/// Time within which a stopping process has to end, by default and at most, in seconds.
const STOP_DEFAULT_SECONDS: Rate = Rate(8.0);
const STOP_MAX_SECONDS: Rate = Rate(3_600.0);

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct Gateway {
    /// The host's name.
    pub host: Host,
    /// The host's region.
    pub region: Region,
    /// The host's availability zone.
    pub zone: Zone,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address of `/ready`, `/live` and `/metrics`.
    pub status_address: SocketAddr,
    /// The address for other gateways.
    pub peer_address: SocketAddr,
    /// The key shared by all gateways of the environment.
    pub key: Secret,
    /// Time from the signal to stop until the process is killed.
    pub stop_within: Span,
    /// The region of each availability zone.
    pub zones: HashMap<Zone, Region>,
    /// The platform's store.
    pub platform: Platform,
}

impl Gateway {
    /// Reads the settings in `text`; `file` names it in errors.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let reader = Reader::new(file, text)?;
        let process = reader.required("process")?;
        let host = process.get("host", NAME)?;
        let region = process.get("region", NAME)?;
        let zone = process.get("zone", NAME)?;
        process.close()?;
        let gateway = reader.required("gateway")?;
        let caller_address = gateway.get("caller-address", ADDRESS)?;
        let status_address = gateway.get("status-address", ADDRESS)?;
        let peer_address = gateway.get("peer-address", ADDRESS)?;
        let key = gateway.secret("peer-key")?;
        let key = key.ok_or_else(|| gateway.missing("peer-key", HEX))?;
        let seconds = gateway.within(
            "stop-within-seconds",
            "1 to 3600",
            STOP_DEFAULT_SECONDS,
            Rate(1.0)..=STOP_MAX_SECONDS,
        )?;
        gateway.close()?;
        let zones = reader.required("zones")?.all(NAME, NAME)?;
        let platform = Platform::read(reader.required("platform")?)?;
        reader.close()?;
        Ok(Gateway {
            host,
            region,
            zone,
            caller_address,
            status_address,
            peer_address,
            key: Secret::new(key),
            stop_within: Span((seconds.0 * 1e6) as u64),
            zones,
            platform,
        })
    }

    /// Reads the settings in a file.
    pub fn load(file: &str) -> Result<Self> {
        Self::parse(file, &read(file)?)
    }
}
