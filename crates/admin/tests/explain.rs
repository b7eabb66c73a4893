//! The account of a program whose owner changed while an order was open.

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

fn step(writer: u64, event: Event) -> LoggedEvent {
    let host: Host = format!("entry-{writer}").parse().unwrap();
    LoggedEvent {
        writer: Incarnation(writer),
        host,
        slot: Slot(0),
        event,
    }
}

#[test]
fn takeover_withdrawal_and_second_order_are_told_in_order() {
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
    let steps = [
        step(1, Event::Created(created())),
        step(1, Event::Tranche(Tokens(50))),
        step(1, intent(7, 20)),
        step(2, adopted),
        step(2, Event::Withdrawn(Seq(1))),
        step(2, intent(8, 60)),
        step(2, Event::Turn(turn)),
        step(2, ended),
    ];
    let account = explain_from_log(Program::default(), &steps).unwrap();
    let lines = account["events"].as_array().unwrap();
    let events: Vec<&str> = lines
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
    assert_eq!(events, expected);
    let detail = |index: usize| lines[index]["detail"].as_str().unwrap();
    assert!(
        detail(3).contains("entry-1 (log 0000000000000001)"),
        "{}",
        detail(3)
    );
    assert_eq!(lines[3]["at"], 50);
    assert!(detail(7).contains("idle"));
    assert!(!account.to_string().contains("pallets"));
}
