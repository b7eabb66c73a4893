//! Plays the scripted cases of the review: `drill NAME RECORD` plays a case and exits with 1 if the
//! rule was broken, 0 if it held and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod fleet;
mod http;
mod json;
mod platform;
mod worker;

mod budget_forgotten;
mod budget_stranded;
mod program_id_ignored;
mod turn_quarantined;
mod turn_too_long;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// Whether the rule of a case held.
pub type Verdict = fleet::Result<bool>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let arguments: Vec<&str> = arguments.iter().skip(1).map(String::as_str).collect();
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let verdict = match arguments[..] {
        ["worker", id, gap_ms, event_tokens] => {
            let gap = Duration::from_millis(gap_ms.parse().unwrap_or(10));
            let address = ([127, 0, 0, 1], 0).into();
            return match worker::run(address, id, gap, event_tokens.parse().unwrap_or(1)) {
                Ok(()) => ExitCode::SUCCESS,
                Err(_) => ExitCode::FAILURE,
            };
        }
        ["budget-forgotten", record] => budget_forgotten::run(Path::new(record), has_trouble),
        ["program-id-ignored", record] => program_id_ignored::run(Path::new(record), has_trouble),
        ["turn-quarantined", record] => turn_quarantined::run(Path::new(record), has_trouble),
        ["budget-stranded", record] => budget_stranded::run(Path::new(record), has_trouble),
        ["turn-too-long", record] => turn_too_long::run_in_series(Path::new(record), has_trouble),
        ["turns-at-once", record] => turn_too_long::run_at_once(Path::new(record), has_trouble),
        _ => Err("usage: drill NAME RECORD".into()),
    };
    match verdict {
        Ok(true) => {
            println!("held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("broken");
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}
