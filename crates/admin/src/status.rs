//! What an entry shows of its environment: hosts, versions in force, endpoints.

use board::{Endpoint, Member, View};
use serde_json::{Value, json};
use store::api::HostRole;
use telemetry::Metrics;
use units::{Host, Span, Time};

const SLOW_RATIO: u64 = 2;

/// The status of the environment as the entry on host `own` sees it at `now`.
pub(crate) fn render(view: &View, name: &str, own: &Host, now: Time) -> Value {
    let environment = view.environment.as_ref();
    let since = environment.map(|environment| now.since(environment.since).as_ms());
    let endpoints = endpoint_summaries(view);
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
        "heard_ms": view.replica.last_contact().map(|heard| now.since(heard).as_ms()),
        "leaving": view.leaving, "hosts": hosts, "endpoints": endpoints,
        "entries": entries.collect::<Vec<_>>(),
    })
}

/// Why this process is not ready at `now`; empty if it is.
pub(crate) fn unready(view: &View, stale_after: Span, now: Time) -> Vec<&'static str> {
    let known = view.environment.is_some();
    let stale = known && !view.replica.is_fresh(stale_after, now);
    let reasons = [
        (!known, "no environment document"),
        (stale, "neither store nor peers heard"),
        (!view.has_open_log, "no open log"),
        (view.leaving, "leaving"),
    ];
    let holding = reasons.iter().filter(|(holds, _)| *holds);
    holding.map(|(_, reason)| *reason).collect()
}

/// Sets the metrics that show the state of the board.
pub(crate) fn measure(view: &View, metrics: &Metrics, now: Time) {
    let version = view.replica.version();
    let heard = view
        .replica
        .last_contact()
        .map_or(Span(0), |heard| now.since(heard));
    let live = view.members.iter().filter(|host| !host.leaving);
    let unreachable = live.clone().filter(|host| !host.connected).count();
    let behind = live.filter(|host| host.version < version).count();
    metrics.set_gauge("document-version", version.0 as i64);
    metrics.set_gauge("document-heard-milliseconds", heard.as_ms() as i64);
    metrics.set_gauge("endpoints-count", view.endpoints.len() as i64);
    metrics.set_gauge("hosts-unreachable-count", unreachable as i64);
    metrics.set_gauge("hosts-behind-count", behind as i64);
}

fn member(member: &Member, now: Time) -> Value {
    json!({
        "host": member.host, "role": member.role, "listed": member.listed,
        "connected": member.connected, "leaving": member.leaving, "version": member.version,
        "age_ms": member.reported_at.map(|at| now.since(at).as_ms()),
    })
}

/// The endpoints that may be given new work, each with the reason why it counts as slow, if it does.
pub fn endpoint_summaries(view: &View) -> Vec<Value> {
    let one = |endpoint: &Endpoint| {
        json!({
            "name": endpoint.name, "host": endpoint.host, "zone": endpoint.zone,
            "running": endpoint.load.running, "queued": endpoint.load.queued,
            "slots": endpoint.slots, "token_us": endpoint.load.token_time.0,
            "slow": slow(endpoint, &view.endpoints),
        })
    };
    view.endpoints.iter().map(one).collect()
}

/// Why an endpoint counts as slow among those that serve the same.
fn slow(endpoint: &Endpoint, all: &[Endpoint]) -> Option<String> {
    let own = endpoint.load.token_time;
    let alike = all.iter().filter(|other| other.serves == endpoint.serves);
    let mut times: Vec<Span> = alike
        .map(|other| other.load.token_time)
        .filter(|time| *time > Span(0))
        .collect();
    times.sort_unstable();
    let median = *times.get(times.len().checked_sub(1)? / 2)?;
    (own.0 >= SLOW_RATIO * median.0).then(|| format!("{own} a token, median of its kind {median}"))
}
