//! The policies that are compared: a preset and settings that differ from it.

use std::fmt;
use std::str::FromStr;

use policy::Settings;
use settings::Document;

const OFF: &str = "order = arrival\naffinity = off\nslowness = off\n\
                   hedge-budget = 0\nadmission = 0\n";

/// A policy to be measured.
#[derive(Clone, Debug, PartialEq)]
pub struct Variant {
    /// How it was written.
    pub name: String,
    /// Its lines of the document's `[policy]` section.
    pub lines: String,
    /// The settings that they give.
    pub knobs: Settings,
}

/// A policy that cannot be read.
#[derive(Clone, Debug, PartialEq)]
pub enum Error {
    /// There is no such preset.
    Preset(String),
    /// A setting is refused by the document's check.
    Setting(settings::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Preset(name) => write!(
                f,
                "{name} is no preset: default, round-robin, least-outstanding"
            ),
            Error::Setting(error) => error.fmt(f),
        }
    }
}

impl FromStr for Variant {
    type Err = Error;

    /// Reads `PRESET[,KEY=VALUE...]`.
    fn from_str(text: &str) -> Result<Self, Error> {
        let mut parts = text.split(',');
        let preset = parts.next().unwrap_or_default();
        let base = match preset {
            "default" => String::new(),
            "round-robin" | "least-outstanding" => format!("routing = {preset}\n{OFF}"),
            _ => return Err(Error::Preset(preset.to_owned())),
        };
        let parts: Vec<&str> = parts.collect();
        let keys: Vec<&str> = parts.iter().filter_map(|part| key(part)).collect();
        let kept = base
            .lines()
            .filter(|line| !key(line).is_some_and(|key| keys.contains(&key)));
        let lines: Vec<&str> = kept.chain(parts.iter().copied()).collect();
        let lines = lines.join("\n");
        let document = format!("[environment]\nname = trial\n[policy]\n{lines}\n");
        let document = Document::parse("variant", &document).map_err(Error::Setting)?;
        Ok(Variant {
            name: text.to_owned(),
            lines,
            knobs: document.policy.settings,
        })
    }
}

fn key(line: &str) -> Option<&str> {
    line.split('=').next().map(str::trim)
}
