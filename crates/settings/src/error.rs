//! What is wrong with a text.

use std::fmt;

use compact_str::CompactString;

/// Why a settings file or a document is not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The file.
    pub file: CompactString,
    /// The line, from 1; 0 if the matter has no line.
    pub line: usize,
    /// The section; empty for the file as a whole.
    pub section: CompactString,
    /// The key; empty for the section as a whole.
    pub key: CompactString,
    /// What is wrong.
    pub problem: Box<Problem>,
}

/// What is wrong at a place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Problem {
    /// The file cannot be read.
    Unreadable(CompactString),
    /// The text is not INI.
    Syntax(CompactString),
    /// The section is missing.
    MissingSection,
    /// The key is missing: what is allowed.
    MissingKey(CompactString),
    /// The section is unknown; the nearest valid one.
    UnknownSection(CompactString),
    /// The key is unknown; the nearest valid one.
    UnknownKey(CompactString),
    /// The section or key is there twice.
    Duplicate,
    /// The value is not allowed: value, reason, what is allowed.
    Value(CompactString, CompactString, CompactString),
    /// The value names something that the document does not define: value, kind, nearest valid one.
    Undefined(CompactString, CompactString, CompactString),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        f.write_str(": ")?;
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "{} ", self.key)?;
        }
        self.problem.fmt(f)
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Problem::Unreadable(why) => write!(f, "cannot be read: {why}"),
            Problem::Syntax(why) => write!(f, "is not INI: {why}"),
            Problem::MissingSection => f.write_str("is a required section and missing"),
            Problem::MissingKey(allowed) => {
                write!(f, "is a required key and missing; allowed: {allowed}")
            }
            Problem::UnknownSection(near) => write!(f, "is an unknown section; nearest: {near}"),
            Problem::UnknownKey(near) => write!(f, "is an unknown key; nearest: {near}"),
            Problem::Duplicate => f.write_str("is there twice"),
            Problem::Value(value, why, allowed) => {
                write!(f, "= {value:?} {why}; allowed: {allowed}")
            }
            Problem::Undefined(value, kind, near) => {
                write!(f, "names {value:?}, which is no {kind} of this document")?;
                match near.as_str() {
                    "" => Ok(()),
                    near => write!(f, "; nearest: {near}"),
                }
            }
        }
    }
}

impl std::error::Error for Error {}

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, Error>;
