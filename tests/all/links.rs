//! What callers see when connections between processes fail.

use std::time::Duration;

use standins::engine::expected;

use crate::cluster::Config;

#[test]
fn calls_pass_through_slow_links() {
    let cluster = Config::new().with_links().start();
    for link in cluster.links.values() {
        link.delay(Duration::from_millis(12));
    }
    let caller = cluster.caller(0, "meche");
    let program = caller.create("advisor", 5_000, 20);
    let answer = caller.model(&program, 1, "Which wax?", 8);
    assert_eq!(answer.text, expected("Which wax?", 8));
}
