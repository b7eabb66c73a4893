//! Explanation of a program whose owner changed while the first dispatch of a call was pending.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use admin::explain_from_log;
use log::{Answer, Budget, Call, Cause, Created, Event, Intent, LoggedEvent, Route, Turn, Usage};
use units::{Calls, Digest, Host, Incarnation, Program, Seq, Slot, Time, Tokens, Version};

fn call() -> Call {
    Call {
        seq: Seq(1),
        digest: Digest::of(b"call"),
        target: Some("stock".parse().unwrap()),
        input: b"reserve 2 pallets".to_vec(),
    }
}

fn route(sidecar: u64, at: u64) -> Route {
    Route {
        entry: "entry-a".parse().unwrap(),
        endpoint: "stock-1".parse().unwrap(),
        sidecar: Incarnation(sidecar),
        attempt: 0,
        document: Version(3),
        why: "least expected completion".into(),
        at: Time(at),
    }
}

fn created() -> Created {
    Created {
        account: "meche".parse().unwrap(),
        class: "reorder".parse().unwrap(),
        budget: Budget {
            tokens: Tokens(100),
            calls: Calls(9),
        },
        deadline: Time(9_000_000),
        parent: None,
        document: Version(3),
        entry: "entry-a".parse().unwrap(),
        at: Time(1),
    }
}

fn logged(writer: u64, event: Event) -> LoggedEvent {
    let host: Host = format!("entry-{writer}").parse().unwrap();
    LoggedEvent {
        writer: Incarnation(writer),
        host,
        slot: Slot(0),
        event,
    }
}

#[test]
fn takeover_withdrawal_and_second_intent_are_listed_in_log_order() {
    let turn = Turn {
        call: call(),
        answer: Answer::Complete(b"done".to_vec()),
        usage: Usage::default(),
        route: Some(route(8, 60)),
        at: Time(70),
    };
    let intent = |sidecar, at| {
        Event::Intent(Intent {
            call: call(),
            route: route(sidecar, at),
        })
    };
    let ended = Event::Ended {
        cause: Cause::Idle,
        at: Time(80),
    };
    let adopted = Event::Adopted {
        from: Incarnation(1),
        at: Time(50),
    };
    let events = [
        logged(1, Event::Created(created())),
        logged(1, Event::Tranche(Tokens(50))),
        logged(1, intent(7, 20)),
        logged(2, adopted),
        logged(2, Event::Withdrawn(Seq(1))),
        logged(2, intent(8, 60)),
        logged(2, Event::Turn(turn)),
        logged(2, ended),
    ];
    let explanation = explain_from_log(Program::default(), &events).unwrap();
    let lines = explanation["events"].as_array().unwrap();
    let kinds: Vec<&str> = lines
        .iter()
        .map(|line| line["event"].as_str().unwrap())
        .collect();
    let expected = [
        "created",
        "granted",
        "intent",
        "taken over",
        "withdrawn",
        "intent",
        "answered",
        "ended",
    ];
    assert_eq!(kinds, expected);
    let detail = |index: usize| lines[index]["detail"].as_str().unwrap();
    assert!(
        detail(3).contains("entry-1 (log 0000000000000001)"),
        "{}",
        detail(3)
    );
    assert_eq!(lines[3]["at"], 50);
    assert!(detail(7).contains("idle"));
    assert!(!explanation.to_string().contains("pallets"));
}
