//! The lines of a script and the calls that they describe.

use std::collections::HashMap;
use std::time::Duration;

use serde_json::{Value, json};

use crate::history::{Kind, input};

/// A line of a script, which holds one command.
pub struct Line<'a> {
    /// Verb and its arguments.
    pub words: Vec<&'a str>,
    /// Values of the options by key.
    pub options: HashMap<&'a str, &'a str>,
    /// Whether the next commands start before this one has finished.
    pub background: bool,
}

impl<'a> Line<'a> {
    /// Parses a line of a script.
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

    /// Returns the value of a numeric option.
    pub fn number(&self, key: &str, default: u64) -> u64 {
        self.options
            .get(key)
            .map_or(default, |value| value.parse().unwrap())
    }

    /// Returns the value of a text option.
    pub fn text(&self, key: &str, default: &'a str) -> &'a str {
        self.options.get(key).copied().unwrap_or(default)
    }

    /// Returns whether the command is a second, concurrent request for a call.
    pub fn is_repeat(&self) -> bool {
        self.words.last() == Some(&"again")
    }

    /// Returns the entries that the caller tries in turn.
    pub fn entries(&self) -> Vec<u16> {
        let list = self.text("at", "0").split(',');
        list.map(|entry| entry.parse().unwrap()).collect()
    }

    /// Returns the call that the line describes.
    pub fn call(&self) -> Call {
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
        Call {
            program: name.to_owned(),
            seq,
            kind,
            input: text,
            body,
            entries: self.entries(),
            retry_timeout: Duration::from_secs(self.number("patience", 0)),
        }
    }
}

/// A call with the options of its caller.
pub struct Call {
    /// Name of the program.
    pub program: String,
    /// Position of the call in its program.
    pub seq: u64,
    /// Kind of the call.
    pub kind: Kind,
    /// Input of the call.
    pub input: String,
    /// Body of the request, without the continuation token of the last answer.
    pub body: Value,
    /// Entries that the caller tries in turn.
    pub entries: Vec<u16>,
    /// Time for which the caller retries; it sends at least one request.
    pub retry_timeout: Duration,
}
