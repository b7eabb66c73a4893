//! What this entry and its peers know of programs, for operators.

use std::rc::Rc;

use futures_util::future::join_all;
use serde_json::{Value, json};
use smol::future::FutureExt;
use units::{Program, Span};
use wire::{Body, Frame, Link, Stream};

use crate::live::Live;
use crate::traffic::Traffic;

const PEER_TIMEOUT: Span = Span::from_ms(1_000);

/// What the owner of a program knows of it, here or at a peer.
pub(crate) async fn explain(traffic: &Traffic, id: Program) -> Option<Value> {
    if let Some(account) = local(traffic, id) {
        return Some(account);
    }
    let view = traffic.shared.view.load_full();
    let links = view.entries.iter();
    let links: Vec<Link> = links.filter_map(|peer| traffic.link(&peer.host)).collect();
    let answers = links.iter().map(|link| ask(link, id));
    join_all(answers).await.into_iter().flatten().next()
}

fn local(traffic: &Traffic, id: Program) -> Option<Value> {
    let live = traffic.local(id)?;
    let owner = &traffic.shared.identity.host;
    let program = live.program.borrow();
    Some(admin::from_memory(id, &program, owner))
}

/// Asks a peer, within a bound.
async fn ask(link: &Link, id: Program) -> Option<Value> {
    let answer = async { link.call(&Frame::Explain(id)).await.ok() };
    let expire = async {
        smol::Timer::after(PEER_TIMEOUT.into()).await;
        None
    };
    match answer.or(expire).await? {
        Frame::Body(body) => serde_json::from_slice(&body.bytes).ok(),
        _ => None,
    }
}

/// Answers a peer that asks for a program.
pub(crate) async fn answer(
    traffic: &Traffic,
    id: Program,
    stream: &mut Stream,
) -> wire::Result<()> {
    let frame = match local(traffic, id) {
        Some(account) => Frame::Body(Body {
            bytes: account.to_string().into_bytes(),
        }),
        None => Frame::Ack,
    };
    stream.send(&frame).await?;
    stream.finish()
}

/// One line about each program, for lists.
pub(crate) fn list(programs: impl Iterator<Item = Rc<Live>>) -> Value {
    let summaries: Vec<Value> = programs.map(|live| summary(&live)).collect();
    json!({"programs": summaries})
}

fn summary(live: &Live) -> Value {
    let program = live.program.borrow();
    json!({
        "program": live.id.to_string(), "account": program.created().account,
        "class": program.created().class, "calls": program.turns().len(),
        "running": program.is_running(), "created_at": program.created().at,
        "spent_tokens": program.ledger().spent(),
    })
}
