//! Operators' requests about programs, accounts and hosts, served by this entry and its peers.

use std::rc::Rc;

use futures_util::future::join_all;
use log::Cause;
use serde_json::{Value, json};
use smol::future::FutureExt;
use units::{Host, Program, Span};
use wire::{Body, EntryRequest, Frame, Link, Stream};

use crate::live::LiveProgram;
use crate::traffic::Traffic;

const PEER_TIMEOUT: Span = Span::from_ms(1_000);

/// Returns what the owner of a program, this entry or a connected peer, has in memory about it.
pub(crate) async fn explain(traffic: &Traffic, id: Program) -> Option<Value> {
    if let Some(explanation) = explain_local(traffic, id) {
        return Some(explanation);
    }
    send_to_peers(traffic, EntryRequest::Explain(id)).await
}

/// Sends a request to all connected entries; returns the first answer with a value.
async fn send_to_peers(traffic: &Traffic, request: EntryRequest) -> Option<Value> {
    let view = traffic.shared.view.load_full();
    let links = view.entries.iter();
    let links: Vec<Link> = links
        .filter_map(|peer| traffic.link_to_host(&peer.host))
        .collect();
    let answers = links.iter().map(|link| send_to_peer(link, request));
    join_all(answers).await.into_iter().flatten().next()
}

fn explain_local(traffic: &Traffic, id: Program) -> Option<Value> {
    let live = traffic.owned_program(id)?;
    let owner = &traffic.shared.identity.host;
    let program = live.program.borrow();
    Some(admin::explain_from_memory(id, &program, owner))
}

/// Ends a program here or at the peer that owns it; `None` if no connected entry owns it.
pub(crate) async fn end(traffic: &Traffic, id: Program) -> Option<Value> {
    if let Some(ended) = end_local(traffic, id).await {
        return Some(ended);
    }
    send_to_peers(traffic, EntryRequest::End(id)).await
}

async fn end_local(traffic: &Traffic, id: Program) -> Option<Value> {
    let live = traffic.owned_program(id)?;
    let ended = traffic.end(&live, Cause::Operator).await.is_ok();
    Some(json!({"program": id.to_string(), "ended": ended}))
}

/// The usage of each account against its limits: the programs here plus the last reports of peers.
pub(crate) fn accounts(traffic: &Traffic) -> Value {
    let mut usages = traffic.usage();
    traffic.quota.add_peers(&mut usages);
    let Ok(environment) = traffic.environment() else {
        return json!({"accounts": []});
    };
    let accounts = environment.document.accounts.iter();
    let accounts: Vec<Value> = accounts
        .map(|(name, account)| {
            let usage = usages.get(name).copied().unwrap_or_default();
            json!({
                "account": name, "programs": usage.programs, "children": usage.children,
                "programs_max": account.programs_max, "share": account.share,
                "calls": usage.calls, "tokens": usage.tokens,
            })
        })
        .collect();
    json!({"accounts": accounts})
}

/// Sends a request to one peer; `None` if the peer has no answer or `PEER_TIMEOUT` passes.
pub(crate) async fn send_to_peer(link: &Link, request: EntryRequest) -> Option<Value> {
    let answer = async { link.call(&Frame::Ask(request)).await.ok() };
    let timeout = async {
        smol::Timer::after(PEER_TIMEOUT.into()).await;
        None
    };
    match answer.or(timeout).await? {
        Frame::Body(body) => serde_json::from_slice(&body.bytes).ok(),
        _ => None,
    }
}

/// Responds to a peer's request; a frame without a body means that there is no answer.
pub(crate) async fn respond(
    traffic: &Traffic,
    request: EntryRequest,
    stream: &mut Stream,
) -> wire::Result<()> {
    let answer = match request {
        EntryRequest::Explain(id) => explain_local(traffic, id),
        EntryRequest::Usage => Some(json!(traffic.usage())),
        EntryRequest::End(id) => end_local(traffic, id).await,
    };
    let body = |value: Value| {
        let bytes = value.to_string().into_bytes();
        Frame::Body(Body { bytes })
    };
    stream.send(&answer.map_or(Frame::Ack, body)).await?;
    stream.finish()
}

/// Has the process on a host drain; `None` if there is no connection to the host.
pub(crate) async fn drain(traffic: &Traffic, host: &Host) -> Option<Value> {
    if *host == traffic.shared.identity.host {
        traffic.observe(board::Observation::Leaving).await;
        return Some(json!({"host": host, "told": true}));
    }
    let link = traffic.link_to_host(host)?;
    let answer = async { link.call(&Frame::Drain).await.is_ok() };
    let timeout = async {
        smol::Timer::after(PEER_TIMEOUT.into()).await;
        false
    };
    Some(json!({"host": host, "told": answer.or(timeout).await}))
}

/// Summaries of the programs that have not ended, highest token use first.
pub(crate) fn programs(traffic: &Traffic) -> Value {
    let mut programs = traffic.programs();
    programs.retain(|live| live.program.borrow().ended().is_none());
    programs.sort_by_key(|live| std::cmp::Reverse(live.program.borrow().ledger().spent()));
    let summaries: Vec<Value> = programs.iter().map(summary).collect();
    json!({"host": traffic.shared.identity.host, "programs": summaries})
}

fn summary(live: &Rc<LiveProgram>) -> Value {
    let program = live.program.borrow();
    let created = program.created();
    json!({
        "program": live.id.to_string(), "account": created.account, "class": created.class,
        "calls": program.turns().len(), "running": program.is_running(),
        "created_at": created.at, "spent_tokens": program.ledger().spent(),
    })
}
