//! Turns that continue long conversations, many at a time.
//!
//! A turn holds the text of all turns before it, which the caller does not send: small requests can
//! make a host hold any amount of it.

use std::thread;

use crate::cluster::{START_TIMEOUT, eventually};
use crate::gateway::cluster::{Cluster, KEPT_TURN, turn};
use crate::gateway::http::Answer;
use crate::readers;
use crate::site::{Site, head};

/// Turns of a conversation; their text fits into a body of legal size.
const TURNS: usize = 4;
/// Body of a turn of a conversation.
const LONG_BYTES: usize = 220_000;
/// Sub-agents that continue one conversation at the same time.
const SUB_AGENTS: usize = 6;
/// Time between two events of an answer, so that all turns of a crowd are under way together.
const PAUSE_MS: u64 = 300;

/// Sends a turn that continues `previous`, if that is not empty.
fn send(cluster: &Cluster, program: usize, id: &str, previous: &str, bytes: usize) -> Answer {
    let program = format!("p{program}");
    let request = turn(KEPT_TURN, id, &program, 9_000).with_body(&"a".repeat(bytes));
    let request = match previous {
        "" => request,
        previous => request.with_header("Previous-Turn", previous),
    };
    request.send(cluster.caller_address(0))
}

/// Has this many conversations, one after the other; returns the last turn of each.
fn converse(site: &Site, conversations: usize) -> Vec<String> {
    let conversation = |program| {
        let mut previous = String::new();
        for number in 0..TURNS {
            let id = format!("c{program}-{number}");
            let answer = send(&site.cluster, program, &id, &previous, LONG_BYTES);
            assert!(answer.status == 200 && answer.is_complete, "{answer:?}");
            previous = id;
        }
        previous
    };
    (0..conversations).map(conversation).collect()
}

/// Has sub-agents continue all conversations at once.
fn fan_out(site: &Site, conversations: &[String], sub_agents: usize) {
    site.cluster.models[0].state().pause_ms = PAUSE_MS;
    thread::scope(|scope| {
        for (program, previous) in conversations.iter().enumerate() {
            for agent in 0..sub_agents {
                scope.spawn(move || {
                    let id = format!("a{program}-{agent}");
                    let answer = send(&site.cluster, program, &id, previous, 1_000);
                    // A refusal promises that the request did not run.
                    if matches!(answer.status, 408 | 429 | 503) {
                        assert!(site.cluster.runs(&id).is_empty(), "{id}: {answer:?}");
                    }
                });
            }
        }
    });
    site.cluster.models[0].state().pause_ms = 0;
}

/// Starts the gateway again, so that it has no turn in memory.
fn restart(site: &mut Site) {
    site.cluster.kill(0);
    site.cluster.spawn(0);
    site.cluster.eventually_ready(0);
    eventually(START_TIMEOUT, "the document is in force", || {
        site.cluster.environment_version(0) == Some(2)
    });
}

// The text of their chains was counted nowhere.
#[test]
fn sub_agents_of_long_conversations() {
    let site = Site::start();
    let conversations = converse(&site, 16);
    fan_out(&site, &conversations, SUB_AGENTS);
    site.check();
}

// Reading turns from the store takes several times their text, and all sub-agents read them at once.
#[test]
fn sub_agents_of_long_conversations_that_are_not_in_memory() {
    let mut site = Site::start();
    let conversations = converse(&site, 16);
    restart(&mut site);
    fan_out(&site, &conversations, SUB_AGENTS);
    site.check();
}

// The text of all of them exceeds the memory of the host.
#[test]
fn more_long_conversations_than_the_host_has_memory_for() {
    let mut site = Site::start();
    let conversations = converse(&site, 100);
    restart(&mut site);
    fan_out(&site, &conversations, 1);
    site.check();
}

// Each of them alone leaves a host its memory.
#[test]
fn long_conversations_beside_unread_answers_and_unfinished_bodies() {
    const UNFINISHED_BYTES: usize = 1_000_000;
    let mut site = Site::start();
    let conversations = converse(&site, 16);
    let callers = readers::ask(&site, 200);
    site.connect(48);
    let mut bytes = head("unfinished", &format!("Content-Length: {UNFINISHED_BYTES}"));
    bytes.extend(std::iter::repeat_n(b'x', UNFINISHED_BYTES - 10));
    site.send_at_once(&bytes);
    fan_out(&site, &conversations, SUB_AGENTS);
    site.check();
    drop(callers);
}

// A host without other load serves any chain that an engine can read.
#[test]
fn one_long_conversation_is_continued_in_calm() {
    let mut site = Site::start();
    let conversations = converse(&site, 1);
    restart(&mut site);
    let answer = send(&site.cluster, 0, "next", &conversations[0], 1_000);
    assert!(answer.status == 200 && answer.is_complete, "{answer:?}");
    let body = &site.cluster.runs("next")[0].body;
    assert!(body.len() > TURNS * LONG_BYTES);
    site.check();
}
