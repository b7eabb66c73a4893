//! Policies to compare: a preset with the settings that differ from it.

use std::fmt;
use std::str::FromStr;

use policy::Settings;
use settings::Document;

/// Settings of the baselines, which use no estimates, no hedging and no admission control.
const BASELINE_SETTINGS: &str = "order = arrival\naffinity = off\nslowness = off\n\
                   hedge-budget = 0\nadmission = 0\n";

/// A policy to be measured.
#[derive(Clone, Debug, PartialEq)]
pub struct Variant {
    /// Text from which the policy was read: `PRESET[,KEY=VALUE...]`.
    pub name: String,
    /// Lines of the `[policy]` section of the environment document.
    pub policy_lines: String,
    /// Settings that the lines result in.
    pub settings: Settings,
}

/// Reason why a policy cannot be read.
#[derive(Clone, Debug, PartialEq)]
pub enum Error {
    /// There is no preset of this name.
    UnknownPreset(String),
    /// The check of the environment document refuses a setting.
    InvalidSetting(settings::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::UnknownPreset(name) => write!(
                f,
                "unknown preset {name}: use default, round-robin or least-outstanding"
            ),
            Error::InvalidSetting(error) => error.fmt(f),
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
            "round-robin" | "least-outstanding" => {
                format!("routing = {preset}\n{BASELINE_SETTINGS}")
            }
            _ => return Err(Error::UnknownPreset(preset.to_owned())),
        };
        let overrides: Vec<&str> = parts.collect();
        let overridden_keys: Vec<&str> = overrides.iter().filter_map(|line| key(line)).collect();
        let kept = base
            .lines()
            .filter(|line| !key(line).is_some_and(|key| overridden_keys.contains(&key)));
        let policy_lines: Vec<&str> = kept.chain(overrides.iter().copied()).collect();
        let policy_lines = policy_lines.join("\n");
        let document = format!("[environment]\nname = trial\n[policy]\n{policy_lines}\n");
        let document = Document::parse("variant", &document).map_err(Error::InvalidSetting)?;
        Ok(Variant {
            name: text.to_owned(),
            policy_lines,
            settings: document.policy.settings,
        })
    }
}

fn key(line: &str) -> Option<&str> {
    line.split('=').next().map(str::trim)
}
