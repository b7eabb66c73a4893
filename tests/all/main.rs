//! Integration tests that run each role as a separate process.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a failed step fails the test"
)]

mod bad_input;
mod budget;
mod budgets;
mod caller;
mod caller_api;
mod chaos;
#[expect(dead_code, reason = "shared with the tests of crowds")]
mod cluster;
mod documents;
mod drain;
mod explain;
mod failures;
mod gateway;
mod history;
mod leave;
mod links;
mod observability;
mod operators;
mod outage;
mod races;
mod retention;
mod scenario;
mod scenarios;
mod script;
mod settings;
mod store;
mod takeover;
mod whole_path;

/// Defines one test for each named case of a function: `cases!(check; name: argument, ...)`.
#[macro_export]
macro_rules! cases {
    ($check:path; $($name:ident: $argument:expr),+ $(,)?) => {
        $(
            #[test]
            fn $name() {
                $check($argument);
            }
        )+
    };
}
