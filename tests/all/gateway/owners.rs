//! Identifiers of one owner never name what belongs to another, whatever identifiers callers choose and
//! whatever the client accounts are called.

use clients::owner::Owner;
use clients::{Account, Accounts};
use compact_str::CompactString;
use serde_json::{Value, json};
use standins::worker::Fault;
use turns::TurnKey;

use crate::cases;
use crate::cluster::{START_TIMEOUT, eventually};
use crate::gateway::cluster::{Cluster, KEPT_TURN, PLAIN_TURN, RESUMABLE_TURN, document, turn};
use crate::gateway::http::{Answer, Request};

const HOSTS: u16 = 2;
/// Paths of the public routes, on which turns are retained and are not.
const PUBLIC_KEPT_TURN: &str = "/open-kept/a";
const PUBLIC_PLAIN_TURN: &str = "/open/a";
/// What the worker of a turn receives, if it receives a history, begins with this.
const FIRST_INPUT: &str = "own words ";

/// A caller: the key of its account, and the paths that it may use.
#[derive(Clone, Copy)]
struct Caller {
    key: &'static str,
    kept: &'static str,
    plain: &'static str,
}

const fn account(key: &'static str) -> Caller {
    Caller {
        key,
        kept: KEPT_TURN,
        plain: PLAIN_TURN,
    }
}

const ADA: Caller = account("key-ada");
const BOB: Caller = account("key-bob");
const TEAM: Caller = account("key-team");
const TEAM_ADA: Caller = account("key-team-ada");
const ANYONE: Caller = Caller {
    key: "",
    kept: PUBLIC_KEPT_TURN,
    plain: PUBLIC_PLAIN_TURN,
};

/// Starts gateways with client accounts, some with a slash in their names, and public routes.
fn start() -> Cluster {
    let cluster = Cluster::start(HOSTS, 1);
    let mut text: Value = serde_json::from_str(&document(2, 3_000)).unwrap();
    text["Tenants"] = json!([
        {"Name": "ada", "ApiKeys": [ADA.key]}, {"Name": "bob", "ApiKeys": [BOB.key]},
        {"Name": "team", "ApiKeys": [TEAM.key]}, {"Name": "team/ada", "ApiKeys": [TEAM_ADA.key]}]);
    let routes = text["Routes"].as_array_mut().unwrap();
    for (prefix, of) in [("/open-kept/", "/kept/"), ("/open/", "/turn/")] {
        let mut route = routes
            .iter()
            .find(|route| route["Prefix"] == of)
            .unwrap()
            .clone();
        route["Name"] = json!(prefix);
        route["Prefix"] = json!(prefix);
        route["Public"] = json!(true);
        routes.push(route);
    }
    let text = text.to_string();
    cluster.store.state().put("op", "config", text.as_bytes());
    for host in 0..HOSTS {
        eventually(START_TIMEOUT, "the document is in force", || {
            cluster.environment_version(host) == Some(2)
        });
    }
    cluster
}

fn request(caller: Caller, path: &str, id: &str, program: &str) -> Request {
    let request = turn(path, id, program, 900);
    if caller.key.is_empty() {
        request
    } else {
        request.with_header("Credential", caller.key)
    }
}

/// Sends a turn that is retained.
fn send(cluster: &Cluster, host: u16, caller: Caller, id: &str, previous: &str) -> Answer {
    let request = request(caller, caller.kept, id, &format!("p-{}", id.len()));
    let request = match previous {
        "" => request.with_body(FIRST_INPUT),
        previous => request
            .with_header("Previous-Turn", previous)
            .with_body("next"),
    };
    request.send(cluster.caller_address(host))
}

fn is_whole(answer: &Answer) -> bool {
    answer.status == 200 && answer.is_complete
}

/// Returns the body with which a worker ran a turn.
fn body(cluster: &Cluster, id: &str) -> String {
    String::from_utf8(cluster.runs(id)[0].body.clone()).unwrap()
}

/// An owner, the identifier of its turn, and another owner that names this turn by another identifier.
struct Foreign {
    owner: Caller,
    id: &'static str,
    other: Caller,
    other_id: &'static str,
}

fn turn_of_another_owner_does_not_exist(foreign: Foreign) {
    let cluster = start();
    let own = send(&cluster, 0, foreign.owner, foreign.id, "");
    assert!(is_whole(&own), "{own:?}");
    for host in 0..HOSTS {
        let id = format!("foreign-{host}");
        let answer = send(&cluster, host, foreign.other, &id, foreign.other_id);
        assert_eq!(answer.status, 404, "{answer:?}");
        assert!(cluster.runs(&id).is_empty());
    }
}

fn turn_of_another_owner_is_not_replaced(foreign: Foreign) {
    let cluster = start();
    let own = send(&cluster, 0, foreign.owner, foreign.id, "");
    assert!(is_whole(&own), "{own:?}");
    let path = foreign.other.kept;
    let other = request(foreign.other, path, foreign.other_id, "q").with_body("foreign words ");
    let other = other.send(cluster.caller_address(0));
    assert!(is_whole(&other), "{other:?}");
    let next = send(&cluster, 1, foreign.owner, "next", foreign.id);
    assert!(is_whole(&next), "{next:?}");
    let body = body(&cluster, "next");
    assert!(body.starts_with(FIRST_INPUT), "{body}");
    assert!(!body.contains("foreign"), "{body}");
}

// A caller without a key continued the turn of an account: an identifier with a slash looked like that
// of an account, and the account's history reached a worker for another caller.
cases! { turn_of_another_owner_does_not_exist;
    anyone_does_not_continue_a_turn_of_an_account:
        Foreign { owner: ADA, id: "t1", other: ANYONE, other_id: "ada/t1" },
    an_account_does_not_continue_a_turn_of_anyone:
        Foreign { owner: ANYONE, id: "ada/t1", other: ADA, other_id: "t1" },
    an_account_does_not_continue_a_turn_of_one_with_a_longer_name:
        Foreign { owner: TEAM_ADA, id: "t1", other: TEAM, other_id: "ada/t1" },
    an_account_does_not_continue_a_turn_of_one_with_a_shorter_name:
        Foreign { owner: TEAM, id: "ada/t1", other: TEAM_ADA, other_id: "t1" },
    anyone_does_not_continue_a_turn_by_its_quoted_name:
        Foreign { owner: TEAM_ADA, id: "t1", other: ANYONE, other_id: "8:team/ada/t1" },
}

// A caller without a key replaced the turn of an account, which then went on with another history.
cases! { turn_of_another_owner_is_not_replaced;
    anyone_does_not_replace_a_turn_of_an_account:
        Foreign { owner: ADA, id: "t1", other: ANYONE, other_id: "ada/t1" },
    an_account_does_not_replace_a_turn_of_anyone:
        Foreign { owner: ANYONE, id: "ada/t1", other: ADA, other_id: "t1" },
    an_account_does_not_replace_a_turn_of_one_with_a_longer_name:
        Foreign { owner: TEAM_ADA, id: "t1", other: TEAM, other_id: "ada/t1" },
    an_account_does_not_replace_a_turn_of_one_with_a_shorter_name:
        Foreign { owner: TEAM, id: "ada/t1", other: TEAM_ADA, other_id: "t1" },
}

// A second turn with the same identifier replaced the stored one, so that a program went on with
// another history than the one that it had seen.
#[test]
fn a_stored_turn_is_not_replaced_by_another_of_its_owner() {
    let cluster = start();
    let first = send(&cluster, 0, ADA, "t1", "");
    assert!(is_whole(&first), "{first:?}");
    let second = |host| {
        let request = request(ADA, KEPT_TURN, "t1", "q").with_body("other words ");
        request.send(cluster.caller_address(host))
    };
    // The host that has the turn in memory refuses the second one; another finds it at its end.
    assert_eq!(second(0).status, 409);
    assert_eq!(cluster.runs("t1").len(), 1);
    let late = second(1);
    assert!(!is_whole(&late), "{late:?}");
    for host in 0..HOSTS {
        let id = format!("next-{host}");
        let next = send(&cluster, host, ADA, &id, "t1");
        assert!(is_whole(&next), "{next:?}");
        assert!(body(&cluster, &id).starts_with(FIRST_INPUT));
    }
}

// A caller without a key spent the tokens of an account's program.
#[test]
fn a_program_of_another_owner_has_another_budget() {
    const BUDGET: u64 = 120;
    let cluster = start();
    let spend = |caller: Caller, program: &str, name: &str| {
        let mut answered = 0;
        for number in 0..20_u16 {
            let id = format!("{name}-{number}");
            let request = turn(caller.plain, &id, program, BUDGET);
            let request = match caller.key {
                "" => request,
                key => request.with_header("Credential", key),
            };
            let answer = request.send(cluster.caller_address(number % HOSTS));
            answered += usize::from(is_whole(&answer));
        }
        answered
    };
    let others = [
        spend(ANYONE, "ada/p", "anyone"),
        spend(BOB, "p", "bob"),
        spend(TEAM, "ada/p", "team"),
    ];
    assert!(others.iter().all(|answered| *answered > 0), "{others:?}");
    assert!(spend(ADA, "p", "ada") > 0);
    assert!(spend(TEAM_ADA, "p", "team-ada") > 0);
}

// The origin of a stream was recorded under the bare identifier of its attempt, so that another
// account's attempt with this identifier replaced it, and the first caller could not resume.
#[test]
fn a_stream_can_be_resumed_whatever_other_owners_call_theirs() {
    let cluster = start();
    let begin = |caller: Caller, host: u16| {
        cluster.models[0].state().faults = [Fault::Truncated].into();
        let request = request(caller, RESUMABLE_TURN, "s1", "p").with_body("body");
        let answer = request.send(cluster.caller_address(host));
        assert_eq!(
            (answer.status, answer.is_complete),
            (200, false),
            "{answer:?}"
        );
    };
    begin(ADA, 0);
    begin(BOB, 0);
    for (host, id) in [(0, "r0"), (1, "r1")] {
        eventually(START_TIMEOUT, "the stream is resumed", || {
            let id = format!("{id}-{}", rand::random::<u32>());
            let request = request(ADA, RESUMABLE_TURN, &id, "p")
                .with_header("Last-Event-Id", "3")
                .with_header("Resumes", "s1")
                .with_body("body");
            is_whole(&request.send(cluster.caller_address(host)))
        });
    }
}

/// Writes a turn as releases did that stored no owner.
fn store_as_earlier_release(cluster: &Cluster, key: &TurnKey, input: &str) {
    let no_predecessors: Vec<CompactString> = Vec::new();
    let output: &[u8] = b"answer\n";
    let stored = (no_predecessors, "model-0", input.as_bytes(), output);
    let stored = bincode::serde::encode_to_vec(stored, bincode::config::standard()).unwrap();
    let value = [1_u32.to_le_bytes().to_vec(), stored].concat();
    let mut store = cluster.store.state();
    store.put_in(&key.partition, &key.row(0), &value);
}

// Chains that were stored before an update go on after it.
#[test]
fn a_turn_that_an_earlier_release_stored_is_continued_by_its_owner_only() {
    let cluster = start();
    let owner = |name: &str| Owner::Account(name.into());
    let turns = [
        (ADA, owner("ada").id("t1"), "words of ada "),
        (TEAM, owner("team").id("x/t1"), "words of team "),
        (ANYONE, Owner::Anonymous.id("talk/t1"), "words of anyone "),
    ];
    let mut accounts = Accounts::default();
    for name in ["ada", "team"] {
        let account = Account {
            name: name.into(),
            rank: None,
            limit: None,
        };
        accounts.insert(account, &[]).unwrap();
    }
    for (_, id, input) in &turns {
        let [key, _] = TurnKey::candidates(&id.name(&accounts));
        store_as_earlier_release(&cluster, &key, input);
    }
    for (number, (caller, id, input)) in turns.iter().enumerate() {
        let next = format!("next-{number}");
        let answer = send(&cluster, 0, *caller, &next, id.unowned());
        assert!(is_whole(&answer), "{id}: {answer:?}");
        assert_eq!(body(&cluster, &next), format!("{input}answer\nnext"));
    }
    for (caller, id) in [(ANYONE, "ada/t1"), (ANYONE, "team/x/t1"), (BOB, "t1")] {
        assert_eq!(send(&cluster, 1, caller, "foreign", id).status, 404, "{id}");
    }
    assert!(cluster.runs("foreign").is_empty());
}
