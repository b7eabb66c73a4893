//! Errors in settings files and environment documents.

use std::fmt;

use compact_str::CompactString;

/// Why a settings file or an environment document is rejected, and at which place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Name of the file.
    pub file: CompactString,
    /// Line number, from 1; 0 if the error belongs to no line.
    pub line: usize,
    /// Name of the section; empty if the error concerns the whole file.
    pub section: CompactString,
    /// Name of the key; empty if the error concerns the whole section.
    pub key: CompactString,
    /// What is wrong at this place.
    pub problem: Box<Problem>,
}

/// What is wrong with a file, section, key or value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Problem {
    /// The file cannot be read; holds the error of the operating system.
    Unreadable(CompactString),
    /// The text is not INI; holds the message of the parser.
    Syntax(CompactString),
    /// A required section is missing.
    MissingSection,
    /// A required key is missing; holds a description of the allowed values.
    MissingKey(CompactString),
    /// The section is unknown; holds the most similar name of a valid section.
    UnknownSection(CompactString),
    /// The key is unknown; holds the most similar name of a valid key.
    UnknownKey(CompactString),
    /// The section or key occurs twice.
    Duplicate,
    /// The value is not allowed; holds the value, the reason and a description of allowed values.
    InvalidValue(CompactString, CompactString, CompactString),
    /// The value is a name that the document does not define; holds the value, its kind and the
    /// most similar defined name.
    UndefinedName(CompactString, CompactString, CompactString),
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
            Problem::InvalidValue(value, why, allowed) => {
                write!(f, "= {value:?} {why}; allowed: {allowed}")
            }
            Problem::UndefinedName(value, kind, near) => {
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

/// Result of parsing and checking settings.
pub type Result<T> = std::result::Result<T, Error>;
