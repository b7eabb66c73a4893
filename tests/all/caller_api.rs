//! The examples in the caller API reference give the output shown there.

use std::collections::BTreeMap;
use std::process::Command;

use serde_json::Value;

use crate::cluster::Config;

const REFERENCE: &str = include_str!("../../docs/caller-api.md");
const REFUSAL_SOURCE: &str = include_str!("../../crates/entry/src/refusal.rs");
/// Stands for any value in an expected answer.
const ANY: &str = "…";

/// Returns the code blocks of one language, in order.
fn blocks(language: &str) -> Vec<&'static str> {
    let parts = REFERENCE.split("```").skip(1).step_by(2);
    parts
        .filter_map(|part| part.strip_prefix(language)?.strip_prefix('\n'))
        .collect()
}

/// Runs an example and returns each line of its output as JSON.
fn run(example: &str, variables: &BTreeMap<&str, String>) -> Vec<Value> {
    let output = Command::new("bash")
        .args(["-euc", example])
        .envs(variables)
        .output();
    let output = output.unwrap();
    assert!(output.status.success(), "{example}\n{output:?}");
    let text = String::from_utf8(output.stdout).unwrap();
    let parse = |line| serde_json::from_str(line).unwrap_or_else(|_| panic!("{example}\n{text}"));
    text.lines().map(parse).collect()
}

/// Returns whether an answer has exactly the keys of the expected one, and its values except where
/// the expected value is `ANY`.
fn matches(answer: &Value, expected: &Value) -> bool {
    match (answer, expected) {
        (_, Value::String(any)) if any == ANY => true,
        (Value::Object(answer), Value::Object(expected)) => {
            answer.len() == expected.len()
                && expected.iter().all(|(key, expected)| {
                    answer
                        .get(key)
                        .is_some_and(|answer| matches(answer, expected))
                })
        }
        _ => answer == expected,
    }
}

#[test]
fn examples_of_the_reference_give_the_answers_shown() {
    let cluster = Config::new().with_engines(1).start();
    let mut variables = BTreeMap::from([
        ("ENTRY", cluster.caller_address(0).to_string()),
        ("TOKEN", "meche-token".to_owned()),
    ]);
    let (examples, answers) = (blocks("sh"), blocks("json"));
    assert_eq!(examples.len(), answers.len());
    assert!(examples.len() >= 9);
    for (example, expected) in examples.iter().zip(answers) {
        let lines = run(example, &variables);
        let expected: Vec<Value> = expected
            .lines()
            .map(|line| serde_json::from_str(line).unwrap())
            .collect();
        let is_match = lines.len() == expected.len()
            && lines
                .iter()
                .zip(&expected)
                .all(|(line, expected)| matches(line, expected));
        assert!(is_match, "{example}\n{lines:#?}\n{expected:#?}");
        let last = lines.last().unwrap();
        if let Some(program) = last["program"].as_str() {
            let name = if last["type"] == "done" {
                "CHILD"
            } else {
                "PROGRAM"
            };
            variables.entry(name).or_insert(program.to_owned());
        }
        if let Some(after) = last["after"].as_str() {
            variables.insert("AFTER", after.to_owned());
        }
    }
}

#[test]
fn reference_has_every_code_of_a_refusal() {
    let codes = REFUSAL_SOURCE.split("pub(crate) fn code").nth(1).unwrap();
    let codes = codes.split("pub(crate) fn ran").next().unwrap();
    for code in codes.split('"').skip(1).step_by(2) {
        assert!(REFERENCE.contains(&format!("`{code}`")), "{code}");
    }
}
