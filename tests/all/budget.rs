//! Budgets of parents and sub-agents.

use serde_json::json;

use crate::caller::Caller;
use crate::cluster::Config;

fn spent_tokens(caller: &Caller, program: &str) -> u64 {
    let history = caller.history(program).unwrap().1;
    history["spent_tokens"].as_u64().unwrap()
}

fn create_child(caller: &Caller, program: &str, seq: u64, tokens: u64, calls: u64) -> String {
    let call = json!({"seq": seq, "program": {"tokens": tokens, "calls": calls}});
    let child = caller.call(program, &call);
    child.last_line["program"].as_str().unwrap().to_owned()
}

#[test]
fn unused_tokens_of_a_sub_agent_return_once_to_its_parent() {
    let cluster = Config::new().start();
    let (here, there) = (cluster.caller(0, "meche"), cluster.caller(1, "meche"));
    let program = here.create("reorder", 10_000, 20);
    let child = create_child(&here, &program, 1, 4_000, 8);
    assert_eq!(spent_tokens(&here, &program), 4_000);
    let grandchild = create_child(&here, &child, 1, 1_000, 2);
    let answer = here.model(&grandchild, 1, "Draft the order", 8);
    let used = answer.last_line["usage"]["tokens"].as_u64().unwrap();
    for caller in [&here, &there] {
        assert_eq!(caller.end(&child).unwrap().0, 200);
        assert_eq!(spent_tokens(&here, &program), used);
    }
    let late = here.model(&grandchild, 2, "More?", 8);
    assert_eq!((late.code(), late.ran()), ("ended", "no"));
    // The returned tokens can be given to another sub-agent.
    create_child(&here, &program, 2, 9_000, 2);
}
