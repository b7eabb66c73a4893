//! Waits until a version of the document is in force at every live host.

use std::time::{Duration, Instant};

use serde_json::Value;

use crate::commands::ctl::server::Server;
use crate::commands::{Error, Result};

const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Waits until `version` or a higher one is in force at every live host.
///
/// # Errors
/// [`Error::NotInForce`] with the lagging hosts if `timeout` has passed.
pub(crate) fn wait(server: &Server, version: u64, timeout: Duration) -> Result<Value> {
    let start = Instant::now();
    loop {
        let status = server.get("/v1/status")?;
        let lagging = lagging_hosts(&status, version);
        if lagging.is_empty() {
            return Ok(status);
        }
        if start.elapsed() > timeout {
            return Err(Error::NotInForce(version, lagging));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Returns the live hosts that have not reported `version` or a higher one as in force, each with
/// its reported state. A host is live if it is listed or connected, and not leaving.
pub(crate) fn lagging_hosts(status: &Value, version: u64) -> Vec<String> {
    let hosts = status["hosts"].as_array();
    let live = hosts.into_iter().flatten();
    let live = live.filter(|host| host["leaving"] != true);
    let lagging = live.filter(|host| host["version"].as_u64().unwrap_or(0) < version);
    lagging.map(describe).collect()
}

fn describe(host: &Value) -> String {
    let name = host["host"].as_str().unwrap_or("?");
    match (&host["connected"], host["version"].as_u64()) {
        (Value::Bool(false), _) => format!("{name} (not connected)"),
        (_, Some(version)) => format!("{name} (version {version})"),
        _ => format!("{name} (no version reported)"),
    }
}
