//! The lines of a script and the calls that they ask for.

use std::collections::HashMap;
use std::time::Duration;

use serde_json::{Value, json};

use crate::history::{Kind, input};

/// One command.
pub struct Line<'a> {
    /// The verb and its words.
    pub words: Vec<&'a str>,
    /// The options by key.
    pub options: HashMap<&'a str, &'a str>,
    /// Whether it goes on while later commands run.
    pub background: bool,
}

impl<'a> Line<'a> {
    /// Reads a line of a script.
    pub fn parse(line: &'a str) -> Self {
        let (line, background) = match line.strip_suffix(" &") {
            Some(line) => (line, true),
            None => (line, false),
        };
        let (options, words) = line
            .split_whitespace()
            .partition::<Vec<_>, _>(|word| word.contains('='));
        let options = options.iter().filter_map(|option| option.split_once('='));
        Line {
            words,
            options: options.collect(),
            background,
        }
    }

    /// The number of an option.
    pub fn number(&self, key: &str, default: u64) -> u64 {
        self.options
            .get(key)
            .map_or(default, |value| value.parse().unwrap())
    }

    /// The text of an option.
    pub fn text(&self, key: &str, default: &'a str) -> &'a str {
        self.options.get(key).copied().unwrap_or(default)
    }

    /// Whether it is the second request for a call at the same time.
    pub fn is_again(&self) -> bool {
        self.words.last() == Some(&"again")
    }

    /// The entries that the caller tries in turn.
    pub fn entries(&self) -> Vec<u16> {
        let list = self.text("at", "0").split(',');
        list.map(|entry| entry.parse().unwrap()).collect()
    }

    /// The call that a line asks for.
    pub fn order(&self) -> Order {
        let (verb, name) = (self.words[0], self.words[1]);
        let seq: u64 = self.words[2].parse().unwrap();
        let text = self
            .options
            .get("text")
            .map_or_else(|| input(name, seq), |text| text.to_string());
        let (kind, body) = match verb {
            "model" => {
                let max = self.number("max", 16);
                let body =
                    json!({"seq": seq, "model": "advisor", "input": text, "max_tokens": max});
                (Kind::Model(max), body)
            }
            "order" => (
                Kind::Order,
                json!({"seq": seq, "service": "stock", "input": text}),
            ),
            "lookup" => (
                Kind::Lookup,
                json!({"seq": seq, "service": "catalogue", "input": text}),
            ),
            _ => {
                let (tokens, calls) = (self.number("tokens", 1_000), self.number("calls", 5));
                let program = json!({"tokens": tokens, "calls": calls});
                (
                    Kind::Child,
                    json!({"seq": seq, "program": program, "input": text}),
                )
            }
        };
        Order {
            program: name.to_owned(),
            seq,
            kind,
            input: text,
            body,
            entries: self.entries(),
            patience: Duration::from_secs(self.number("patience", 0)),
        }
    }
}

/// A call as a caller makes it.
pub struct Order {
    /// The program's name.
    pub program: String,
    /// The call's position.
    pub seq: u64,
    /// What it does.
    pub kind: Kind,
    /// Its input.
    pub input: String,
    /// The body of the request, without the token of the last answer.
    pub body: Value,
    /// The entries that the caller tries in turn.
    pub entries: Vec<u16>,
    /// How long the caller tries.
    pub patience: Duration,
}
