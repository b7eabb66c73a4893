//! State of the environment as an entry reports it: hosts, versions in force, endpoints, readiness.

use board::{Endpoint, Member, View};
use serde_json::{Value, json};
use store::api::HostRole;
use telemetry::Metrics;
use units::{Host, Span, Time};

/// An endpoint is slow if its time per token is at least this multiple of the median.
const SLOW_RATIO: u64 = 2;

/// Returns the status of the environment as JSON, as seen at `now` by the entry on host `own`.
pub(crate) fn render(view: &View, environment_name: &str, own: &Host, now: Time) -> Value {
    let environment = view.environment.as_ref();
    let in_force_ms = environment.map(|environment| now.since(environment.since).as_ms());
    let endpoints = endpoint_summaries(view);
    let entries = view.entries.iter().map(|peer| peer.host.to_string());
    let mut hosts = vec![json!({
        "host": own, "role": HostRole::Entry, "listed": true, "connected": true,
        "leaving": view.leaving, "version": view.replica.version(), "age_ms": 0,
    })];
    hosts.extend(view.members.iter().map(|host| member_json(host, now)));
    json!({
        "environment": environment_name, "host": own,
        "version": environment.map(|environment| environment.version),
        "in_force_ms": in_force_ms,
        "heard_ms": view.replica.last_contact().map(|contact| now.since(contact).as_ms()),
        "leaving": view.leaving, "hosts": hosts, "endpoints": endpoints,
        "entries": entries.collect::<Vec<_>>(),
    })
}

/// Returns the reasons why this process is not ready at `now`; empty if it is ready.
pub(crate) fn unready_reasons(view: &View, stale_after: Span, now: Time) -> Vec<&'static str> {
    let has_document = view.environment.is_some();
    let is_stale = has_document && !view.replica.is_fresh(stale_after, now);
    let reasons = [
        (!has_document, "no environment document"),
        (is_stale, "neither store nor peers heard"),
        (!view.has_open_log, "no open log"),
        (view.leaving, "leaving"),
    ];
    let applicable = reasons.iter().filter(|(applies, _)| *applies);
    applicable.map(|(_, reason)| *reason).collect()
}

/// Sets the gauges for the state of the board.
pub(crate) fn set_gauges(view: &View, metrics: &Metrics, now: Time) {
    let version = view.replica.version();
    let since_contact = view
        .replica
        .last_contact()
        .map_or(Span(0), |contact| now.since(contact));
    let staying = view.members.iter().filter(|host| !host.leaving);
    let unreachable = staying.clone().filter(|host| !host.connected).count();
    let behind = staying.filter(|host| host.version < version).count();
    metrics.set_gauge("document-version", version.0 as i64);
    metrics.set_gauge("document-heard-milliseconds", since_contact.as_ms() as i64);
    metrics.set_gauge("endpoints-count", view.endpoints.len() as i64);
    metrics.set_gauge("hosts-unreachable-count", unreachable as i64);
    metrics.set_gauge("hosts-behind-count", behind as i64);
}

fn member_json(member: &Member, now: Time) -> Value {
    json!({
        "host": member.host, "role": member.role, "listed": member.listed,
        "connected": member.connected, "leaving": member.leaving, "version": member.version,
        "age_ms": member.reported_at.map(|at| now.since(at).as_ms()),
    })
}

/// Returns the endpoints that may be given new work as JSON, each with its load and, if it counts as
/// slow, the reason.
pub fn endpoint_summaries(view: &View) -> Vec<Value> {
    let summary = |endpoint: &Endpoint| {
        json!({
            "name": endpoint.name, "host": endpoint.host, "zone": endpoint.zone,
            "running": endpoint.load.running, "queued": endpoint.load.queued,
            "slots": endpoint.slots, "token_us": endpoint.load.token_time.0,
            "slow": slow_reason(endpoint, &view.endpoints),
        })
    };
    view.endpoints.iter().map(summary).collect()
}

/// Returns why an endpoint counts as slow among those that serve the same targets, if it does.
fn slow_reason(endpoint: &Endpoint, all: &[Endpoint]) -> Option<String> {
    let own = endpoint.load.token_time;
    let comparable = all.iter().filter(|other| other.serves == endpoint.serves);
    let mut times: Vec<Span> = comparable
        .map(|other| other.load.token_time)
        .filter(|time| *time > Span(0))
        .collect();
    times.sort_unstable();
    let median = *times.get(times.len().checked_sub(1)? / 2)?;
    (own.0 >= SLOW_RATIO * median.0).then(|| format!("{own} a token, median of its kind {median}"))
}
