//! What an entry shows of its environment: hosts, versions in force, endpoints.

use board::{Member, View};
use platform::api::HostRole;
use serde_json::{Value, json};
use units::{Host, Time};

/// The status of the environment as the entry on host `own` sees it at `now`.
pub(crate) fn render(view: &View, name: &str, own: &Host, now: Time) -> Value {
    let environment = view.environment.as_ref();
    let since = environment.map(|environment| now.since(environment.since).as_ms());
    let endpoints: Vec<Value> = view.endpoints.iter().map(endpoint).collect();
    let entries = view.entries.iter().map(|peer| peer.host.to_string());
    let mut hosts = vec![json!({
        "host": own, "role": HostRole::Entry, "listed": true, "connected": true,
        "leaving": view.leaving, "version": view.replica.version(), "age_ms": 0,
    })];
    hosts.extend(view.members.iter().map(|host| member(host, now)));
    json!({
        "environment": name, "host": own,
        "version": environment.map(|environment| environment.version),
        "in_force_ms": since,
        "heard_ms": view.replica.heard().map(|heard| now.since(heard).as_ms()),
        "leaving": view.leaving, "hosts": hosts, "endpoints": endpoints,
        "entries": entries.collect::<Vec<_>>(),
    })
}

fn member(member: &Member, now: Time) -> Value {
    json!({
        "host": member.host, "role": member.role, "listed": member.listed,
        "connected": member.connected, "leaving": member.leaving, "version": member.version,
        "age_ms": member.reported.map(|at| now.since(at).as_ms()),
    })
}

fn endpoint(endpoint: &board::Endpoint) -> Value {
    json!({
        "name": endpoint.name, "host": endpoint.host, "zone": endpoint.zone,
        "running": endpoint.load.running, "queued": endpoint.load.queued,
    })
}
