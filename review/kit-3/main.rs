//! The cases of the review, with their stand-ins of the platform's store, of workers and of clients.
//!
//! Usage, in the repository: `kit CASE RECORD`. `TROUBLE=0` leaves the disruption out.

mod denied;
mod fleet;
mod http;
mod json;
mod memory;
mod quota;
mod record;
mod store;
mod waves;
mod worker;

use std::path::Path;
use std::time::Duration;

use record::Record;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: kit CASE RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    fleet::start_watchdog(Duration::from_secs(115));
    let record = Record::new(Path::new(path));
    record.say(&format!("case {case}, {}", if has_trouble { "with the disruption" } else { "without the disruption" }));
    let code = match case.as_str() {
        "denied" => denied::run(&record, has_trouble),
        "quota" => quota::run(&record, has_trouble),
        "waves" => waves::run(&record, has_trouble),
        "memory" => memory::run(&record, has_trouble),
        _ => 2,
    };
    record.say(&format!("exit {code}"));
    std::process::exit(code);
}
